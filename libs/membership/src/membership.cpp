#include <membership/membership.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace chivelock {

namespace {

/** Ping rounds per ping of a gone member. Pinging it lets both sides of a network partition find each other again. */
constexpr std::uint32_t roundsPerGonePing = 5;

bool isNewer(const member_rumour &received, const member_rumour &current)
{
    return std::tie(received.incarnation, received.version, received.state)
        > std::tie(current.incarnation, current.version, current.state);
}

} // namespace

membership::membership(vm_id self, std::uint64_t incarnation, membership_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_self {self, incarnation, 0, member_state::Alive}
{
    refreshRunners();
}

void membership::onVmList(const vm_list_document &list)
{
    for (auto &[id, entry] : m_members) {
        entry.listed = false;
    }
    for (const vm_info &vm : list.vms) {
        if (vm.id == m_self.vm) {
            continue;
        }
        member &entry = m_members[vm.id];
        entry.latest.vm = vm.id;
        entry.listed = true;
        entry.listedAsLeaving = vm.leaving;
    }
    std::erase_if(m_members, [](const auto &item) { return !item.second.listed; });
    const auto unlisted = [this](vm_id id) { return !m_members.contains(id); };
    std::erase_if(m_awaitingAck, unlisted);
    std::erase_if(m_suspects, unlisted);
    std::erase_if(m_unsentRumours, unlisted);
    shufflePingOrder();
    refreshRunners();
}

std::optional<outgoing_heartbeat> membership::onHeartbeat(const heartbeat &message, own_revisions own, millis now)
{
    mergeRumour(message.self, now);
    for (const member_rumour &rumour : message.rumours) {
        mergeRumour(rumour, now);
    }
    for (const leaving_leaf &leaf : message.leavingLeafs) {
        announceLeavingLeaf(leaf);
    }
    const auto found = m_members.find(message.self.vm);
    if (found != m_members.end() && message.isAck && found->second.awaitedNonce == message.nonce) {
        found->second.awaitedNonce.reset();
        m_awaitingAck.erase(message.self.vm);
    }
    refreshRunnersIfChanged();
    if (message.isAck) {
        return std::nullopt;
    }
    heartbeat ack = compose(message.self.vm, own);
    ack.isAck = true;
    ack.nonce = message.nonce;
    return outgoing_heartbeat {message.self.vm, std::move(ack)};
}

void membership::onUnreachable(vm_id vm, millis now)
{
    const auto found = m_members.find(vm);
    if (found != m_members.end() && found->second.latest.state == member_state::Alive) {
        setState(found->second, member_state::Suspect, now);
        refreshRunnersIfChanged();
    }
}

std::vector<outgoing_heartbeat> membership::tick(own_revisions own, millis now)
{
    const bool wasPaused = now - m_lastTick > m_settings.pauseThreshold;
    m_lastTick = now;
    if (wasPaused) {
        // No acks could be read during the pause. Suspecting the other members would split the fleet after each pause.
        std::ranges::for_each(m_awaitingAck, [this](vm_id id) { m_members.at(id).awaitedNonce.reset(); });
        m_awaitingAck.clear();
    }
    suspectUnackedMembers(now);
    expireSuspects(now);
    std::vector<outgoing_heartbeat> sends;
    if (now < m_nextPingAt) {
        return sends;
    }
    m_nextPingAt = now + m_settings.pingInterval;
    const std::optional<vm_id> target = nextPingTarget();
    if (!target) {
        return sends;
    }
    member &entry = m_members.at(*target);
    heartbeat message = compose(*target, own);
    message.nonce = ++m_nonce;
    entry.awaitedNonce = message.nonce;
    m_awaitingAck.insert(*target);
    entry.pingedAt = now;
    sends.push_back({*target, std::move(message)});
    return sends;
}

void membership::startLeaving()
{
    m_self.state = member_state::Leaving;
    ++m_self.version;
    refreshRunners();
}

void membership::announceLeavingLeaf(leaving_leaf leaf)
{
    m_leavingLeafs.try_emplace(leaf, 0);
}

bool membership::isRunner(vm_id vm) const
{
    return std::ranges::binary_search(m_runners, vm);
}

std::size_t membership::listedCount() const
{
    return 1 + static_cast<std::size_t>(std::ranges::count_if(m_members, [](const auto &item) {
               return !item.second.listedAsLeaving;
           }));
}

std::vector<member_rumour> membership::members() const
{
    std::vector<member_rumour> all {m_self};
    std::ranges::transform(m_members, std::back_inserter(all), [](const auto &item) { return item.second.latest; });
    return all;
}

std::optional<member_rumour> membership::find(vm_id vm) const
{
    if (vm == m_self.vm) {
        return m_self;
    }
    const auto found = m_members.find(vm);
    return found != m_members.end() ? std::optional(found->second.latest) : std::nullopt;
}

void membership::mergeRumour(const member_rumour &rumour, millis now)
{
    if (rumour.vm == m_self.vm) {
        refuteIfContradicted(rumour);
        return;
    }
    const auto found = m_members.find(rumour.vm);
    if (found == m_members.end() || !isNewer(rumour, found->second.latest)) {
        return;
    }
    found->second.latest.incarnation = rumour.incarnation;
    found->second.latest.version = rumour.version;
    setState(found->second, rumour.state, now);
}

void membership::refuteIfContradicted(const member_rumour &rumour)
{
    const bool contradicted =
        rumour.incarnation == m_self.incarnation && rumour.version >= m_self.version && rumour.state != m_self.state;
    if (contradicted) {
        m_self.version = rumour.version + 1;
    }
}

void membership::setState(member &target, member_state state, millis now)
{
    const vm_id id = target.latest.vm;
    const bool changes = target.latest.state != state;
    m_runnersChanged = m_runnersChanged || changes;
    target.latest.state = state;
    // Every VM already assumes that a listed member is alive. Rumours that repeat it would fill the heartbeats of a
    // large fleet for minutes and delay the rumours about lost members.
    if (changes || state != member_state::Alive) {
        target.rumourSends = 0;
        m_unsentRumours.insert(id);
    }
    if (state == member_state::Suspect) {
        target.suspectSince = now;
        m_suspects.insert(id);
    } else {
        m_suspects.erase(id);
    }
}

void membership::refreshRunnersIfChanged()
{
    if (std::exchange(m_runnersChanged, false)) {
        refreshRunners();
    }
}

void membership::refreshRunners()
{
    std::vector<vm_id> runners;
    for (const auto &[id, entry] : m_members) {
        if (entry.listed && !entry.listedAsLeaving && entry.latest.state == member_state::Alive) {
            runners.push_back(id);
        }
    }
    if (m_self.state == member_state::Alive || runners.empty()) {
        runners.push_back(m_self.vm);
    }
    std::ranges::sort(runners);
    if (runners != m_runners) {
        m_runners = std::move(runners);
        ++m_epoch;
    }
}

heartbeat membership::compose(vm_id to, own_revisions own)
{
    heartbeat message;
    message.self = m_self;
    message.catalogueRevision = own.catalogue;
    message.topologyRevision = own.topology;
    addRumours(message, to);
    addLeavingLeafs(message);
    return message;
}

void membership::addRumours(heartbeat &message, vm_id to)
{
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end() && receiver->second.latest.state != member_state::Alive) {
        message.rumours.push_back(receiver->second.latest); // lets the receiver refute it
    }
    std::vector<member *> candidates;
    for (const vm_id id : m_unsentRumours) {
        member &entry = m_members.at(id);
        if (id != to && entry.latest.incarnation != 0) {
            candidates.push_back(&entry);
        }
    }
    const std::size_t count = std::min<std::size_t>(candidates.size(), m_settings.maxRumoursPerHeartbeat);
    std::ranges::partial_sort(
        candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {}, &member::rumourSends);
    for (member *entry : std::span(candidates).first(count)) {
        message.rumours.push_back(entry->latest);
        if (++entry->rumourSends >= maxSendsPerUpdate()) {
            m_unsentRumours.erase(entry->latest.vm);
        }
    }
}

void membership::addLeavingLeafs(heartbeat &message)
{
    constexpr std::size_t maxLeafsPerHeartbeat = 4;
    for (auto &[leaf, sends] : m_leavingLeafs) {
        if (sends < maxSendsPerUpdate() && message.leavingLeafs.size() < maxLeafsPerHeartbeat) {
            message.leavingLeafs.push_back(leaf);
            ++sends;
        }
    }
}

std::optional<vm_id> membership::nextPingTarget()
{
    for (std::size_t checked = 0; checked < m_pingOrder.size(); ++checked) {
        if (m_nextPingIndex >= m_pingOrder.size()) {
            shufflePingOrder();
        }
        const vm_id candidate = m_pingOrder[m_nextPingIndex++];
        member &entry = m_members.at(candidate);
        const bool skipped =
            entry.latest.state == member_state::Gone && ++entry.roundsWhileGone % roundsPerGonePing != 0;
        if (!skipped && !entry.awaitedNonce) {
            return candidate;
        }
    }
    return std::nullopt;
}

void membership::shufflePingOrder()
{
    m_pingOrder.clear();
    std::ranges::transform(m_members, std::back_inserter(m_pingOrder), [](const auto &item) { return item.first; });
    for (std::size_t index = m_pingOrder.size(); index > 1; --index) {
        std::swap(m_pingOrder[index - 1], m_pingOrder[m_random.below(index)]);
    }
    m_nextPingIndex = 0;
}

void membership::suspectUnackedMembers(millis now)
{
    const std::set<vm_id> awaited = m_awaitingAck;
    for (const vm_id id : awaited) {
        member &entry = m_members.at(id);
        if (now - entry.pingedAt >= m_settings.ackTimeout) {
            entry.awaitedNonce.reset();
            m_awaitingAck.erase(id);
            onUnreachable(id, now);
        }
    }
}

void membership::expireSuspects(millis now)
{
    const std::set<vm_id> suspects = m_suspects;
    for (const vm_id id : suspects) {
        member &entry = m_members.at(id);
        if (now - entry.suspectSince >= m_settings.suspicionTimeout) {
            setState(entry, member_state::Gone, now);
        }
    }
    refreshRunnersIfChanged();
}

std::uint32_t membership::maxSendsPerUpdate() const
{
    constexpr std::uint32_t sendFactor = 3;
    return sendFactor * static_cast<std::uint32_t>(std::bit_width(m_members.size() + 1));
}

} // namespace chivelock
