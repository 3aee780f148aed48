#include <backpressure/backpressure.h>

#include <algorithm>
#include <tuple>

namespace chivelock {

namespace {

// Many round trips. A shorter silence says nothing about the caller, and its next request may be on its way.
constexpr millis settledAfter(500);

// Several retransmission timeouts in a row. A caller that was reading and is silent for longer counts as gone.
constexpr millis longestTransferPause(2000);

// Of the limit of all. Below it, callers that have not stopped reading keep what they hold, and requests for large
// answers are refused instead: in the first moments nothing tells a caller that will read from one that won't.
constexpr double fullMemory = 1.5;

constexpr std::size_t smallAnswerBytes = 16384;

// A caller whose host has not had room for the first bytes for so long does not read.
constexpr millis beginsReadingWithin(100);
constexpr std::size_t leastReceiveBuffer = 16384;

constexpr std::size_t shortShareDivisor = 8; // connections are short once less than this part of the limit is free
constexpr std::size_t leastShareOfAddress = 8; // connections that any client address may open
// One sixteenth of the descriptors for callers is for refusals, see pressure_limits.cpp.
constexpr std::size_t keptPerRefused = 15;
constexpr std::size_t leastRefusals = 16;

constexpr double idleBytes = 1024; // weight of a connection that holds nothing

bool isUnfinished(connection_use use)
{
    return use == connection_use::Answering || use == connection_use::Receiving || use == connection_use::Closing;
}

std::size_t maxRefusals(std::size_t limit)
{
    return std::max(leastRefusals, limit / keptPerRefused);
}

} // namespace

std::string_view toString(closing_cause cause)
{
    switch (cause) {
    case closing_cause::NotReading:
        return "not_reading";
    case closing_cause::Idle:
        return "idle";
    case closing_cause::AccountFull:
        return "connection_memory";
    case closing_cause::MemoryFull:
        return "memory";
    }
    return "unknown";
}

void connection_table::setLimits(std::size_t connections, const byte_limits &bytes)
{
    m_limit = connections;
    m_ledger.setLimits(bytes);
}

std::size_t connection_table::shareOfAddress() const
{
    return std::max(leastShareOfAddress, m_limit / std::max<std::size_t>(1, m_keptByAddress.size()));
}

std::size_t connection_table::keptFrom(const std::string &address) const
{
    const auto found = m_keptByAddress.find(address);
    return found == m_keptByAddress.end() ? 0 : found->second;
}

/** How much a connection is in the way: the time without progress times the bytes that it holds. */
double connection_table::weightOf(connection_id id, const connection &one, millis now) const
{
    return (now - one.progressAt).count() * (idleBytes + static_cast<double>(m_ledger.heldBy(id)));
}

connection_closing
connection_table::closingOf(connection_id id, const connection &one, closing_cause cause, millis now) const
{
    return {id, cause, m_ledger.heldBy(id), now - one.progressAt, one.transferTime()};
}

/**
 * Whether the caller has made progress with the current answer or request for longer than it has been silent since. The
 * first bytes of an answer are no progress of this kind: they go into the receive buffer of a caller that never reads,
 * too.
 */
bool connection_table::connection::isTransferring(millis now) const
{
    const millis silence = now - progressAt;
    return isUnfinished(use) && transferTime() > silence && silence < longestTransferPause;
}

bool connection_table::connection::hasStopped(millis now) const
{
    const bool hasNotBegun = use == connection_use::Answering && received < leastReceiveBuffer;
    return !isTransferring(now) && now - progressAt >= (hasNotBegun ? beginsReadingWithin : settledAfter);
}

/** Chooses among settled connections: unfinished ones first, then those of addresses above their share. */
template<typename predicate>
std::optional<connection_closing> connection_table::firstForNew(predicate isCandidate, millis now) const
{
    const std::size_t share = shareOfAddress();
    std::optional<connection_closing> best;
    std::tuple<bool, bool, double> bestOrder;
    for (const auto &[id, one] : m_connections) {
        if (one.refused || one.use == connection_use::Serving || now - one.progressAt < settledAfter
            || one.isTransferring(now) || !isCandidate(one)) {
            continue;
        }
        const bool unfinished = isUnfinished(one.use);
        const std::tuple order(unfinished, keptFrom(one.address) > share, weightOf(id, one, now));
        if (!best || order > bestOrder) {
            bestOrder = order;
            best = closingOf(id, one, unfinished ? closing_cause::NotReading : closing_cause::Idle, now);
        }
    }
    return best;
}

std::optional<connection_closing> connection_table::firstRefused(millis now) const
{
    const auto mayClose = [now](const auto &entry) {
        return entry.second.refused && now - entry.second.progressAt >= settledAfter;
    };
    const auto found = std::ranges::find_if(m_connections, mayClose);
    return found == m_connections.end()
        ? std::nullopt
        : std::optional(closingOf(found->first, found->second, closing_cause::NotReading, now));
}

admission connection_table::admit(std::string_view address, millis now) const
{
    const std::string from(address);
    const bool isShort = kept() + m_limit / shortShareDivisor >= m_limit;
    const bool isOverShare = isShort && keptFrom(from) >= shareOfAddress();
    if (kept() < m_limit && !isOverShare) {
        return {true, std::nullopt};
    }
    const auto isCandidate = [&](const connection &one) { return !isOverShare || one.address == from; };
    if (const auto first = firstForNew(isCandidate, now)) {
        return {true, first};
    }
    return {false, m_refused < maxRefusals(m_limit) ? std::nullopt : firstRefused(now)};
}

std::optional<connection_closing> connection_table::firstToReplace(millis now) const
{
    const auto isAny = [](const connection &) { return true; };
    return firstForNew(isAny, now);
}

bool connection_table::isSaturated(millis now) const
{
    return kept() >= m_limit && m_refused >= maxRefusals(m_limit) && !firstRefused(now) && !firstToReplace(now);
}

void connection_table::open(connection_id id, std::string address, bool refused, millis now)
{
    m_refused += refused ? 1 : 0;
    if (!refused) {
        m_keptByAddress[address] += 1;
    }
    m_connections[id] = {std::move(address), connection_use::Idle, now, now, refused, 0};
}

void connection_table::setRefused(connection_id id, bool refused)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.refused == refused) {
        return;
    }
    found->second.refused = refused;
    if (refused) {
        m_refused += 1;
        countOut(found->second.address);
    } else {
        m_refused -= 1;
        m_keptByAddress[found->second.address] += 1;
    }
}

void connection_table::countOut(const std::string &address)
{
    if (const auto kept = m_keptByAddress.find(address); --kept->second == 0) {
        m_keptByAddress.erase(kept);
    }
}

void connection_table::close(connection_id id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    if (found->second.refused) {
        m_refused -= 1;
    } else {
        countOut(found->second.address);
    }
    m_connections.erase(found);
    m_ledger.close(id);
}

void connection_table::update(
    connection_id id, connection_use use, std::size_t bytes, bool progressed, millis at, std::size_t received)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection &one = found->second;
    one.useSince = one.use == use ? one.useSince : at;
    one.use = use;
    one.received = received;
    one.progressAt = progressed ? std::max(one.progressAt, at) : one.progressAt;
    if (m_ledger.heldBy(id) != bytes) {
        m_ledger.close(id);
        m_ledger.add(id, bytes);
    }
}

bool connection_table::isMemoryFull() const
{
    return m_ledger.isOverLimitBy(fullMemory);
}

bool connection_table::hasMemoryFor(std::size_t answerBytes) const
{
    return m_ledger.hasRoomForAll(answerBytes) || (answerBytes <= smallAnswerBytes && !isMemoryFull());
}

/**
 * Chooses callers that have stopped first; then, of those that may still read, the one that holds most, which has
 * received least of answers of one size; then those that read, of these the one that has done so for the shortest time.
 */
std::optional<connection_closing> connection_table::nextOverLimit(millis now, connection_id except) const
{
    std::optional<connection_closing> best;
    std::tuple<bool, bool, double> bestOrder;
    for (const auto &[id, one] : m_connections) {
        const bool transfers = one.isTransferring(now);
        const bool stopped = one.hasStopped(now);
        const bool settled = now - one.progressAt >= settledAfter;
        const bool isOver = stopped && settled && m_ledger.isAccountOverLimit(id);
        const bool isCandidate = id != except && one.use != connection_use::Serving && m_ledger.heldBy(id) > 0;
        const bool mayClose = stopped ? isOver || m_ledger.isOverLimit() : isMemoryFull();
        if (!isCandidate || !mayClose) {
            continue;
        }
        const auto held = static_cast<double>(m_ledger.heldBy(id));
        const double unfinishedWeight = transfers ? -one.transferTime().count() : held;
        const std::tuple order(!transfers, stopped, stopped ? weightOf(id, one, now) : unfinishedWeight);
        if (!best || order > bestOrder) {
            bestOrder = order;
            best = closingOf(id, one, isOver ? closing_cause::AccountFull : closing_cause::MemoryFull, now);
        }
    }
    return best;
}

std::optional<connection_closing> connection_table::firstStopped(millis now, connection_id except) const
{
    std::optional<connection_closing> best;
    double bestWeight = 0;
    for (const auto &[id, one] : m_connections) {
        const bool holds = one.use != connection_use::Serving && m_ledger.heldBy(id) > 0;
        const double weight = weightOf(id, one, now);
        if (id != except && holds && one.hasStopped(now) && weight > bestWeight) {
            bestWeight = weight;
            best = closingOf(id, one, closing_cause::MemoryFull, now);
        }
    }
    return best;
}

bool connection_table::isRefused(connection_id id) const
{
    const auto found = m_connections.find(id);
    return found != m_connections.end() && found->second.refused;
}

} // namespace chivelock
