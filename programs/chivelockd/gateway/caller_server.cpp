#include "caller_server.h"

#include "addresses.h"
#include "caller_session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivelock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr millis sweepInterval(250); // idle connections are closed at most this late, never early
constexpr millis acceptPause(20); // until the next attempt to accept; new connections wait in the backlog meanwhile
constexpr std::size_t maxClosedForMemory = 64; // each takes a pass over all connections; the next event goes on
constexpr std::size_t maxClosedForOne = 8; // connections that may turn out to have made progress when one is closed

// Retry-After of refusals. Each refused caller gets another step, so that they do not return at the same time.
constexpr millis retryBase(100);
constexpr millis retryStep(25);
constexpr std::uint64_t retrySteps = 8;

} // namespace

caller_server::caller_server(asio::io_context &reactor, request_listener &listener, const server_answers &answers)
    : m_reactor(reactor)
    , m_listener(listener)
    , m_answers(answers)
    , m_acceptor(reactor)
    , m_sweepTimer(reactor)
    , m_acceptTimer(reactor)
    , m_input(answers.source)
{
    constexpr std::size_t fixedConnections = 1000;
    m_table.setLimits(fixedConnections, {});
}

caller_server::~caller_server()
{
    for (const auto &[id, one] : m_sessions) {
        one->closeConnection();
    }
}

error_code caller_server::listen(const std::string &address, std::uint16_t port)
{
    const error_code error = listenAt(m_acceptor, address, port);
    if (!error) {
        accept();
        sweep();
    }
    return error;
}

void caller_server::setLimits(const caller_limits &limits)
{
    m_limits = limits;
}

void caller_server::setPressureLimits(std::size_t maxConnections, const byte_limits &bytes)
{
    m_table.setLimits(maxConnections, bytes);
    m_limitsMemory = bytes.all > 0;
}

std::optional<millis> caller_server::roundTripTo(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? std::nullopt : found->second->roundTrip();
}

bool caller_server::isFirstRequest(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found != m_sessions.end() && found->second->requests() == 1;
}

bool caller_server::closeIfCallerLeft(session_id id)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return true;
    }
    const std::shared_ptr<session> one = found->second;
    return one->closeIfCallerLeft();
}

std::string caller_server::addressOf(session_id id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? std::string() : found->second->peerAddress();
}

void caller_server::accept()
{
    if (m_table.isSaturated(boot_clock().now())) {
        acceptLater();
        return;
    }
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error == asio::error::no_descriptors || error == asio::error::no_memory) {
            if (const auto first = m_table.firstToReplace(boot_clock().now())) {
                (void)closeForPressure(*first);
            }
            acceptLater();
            return;
        }
        if (!error) {
            open(std::move(socket));
        }
        accept();
    });
}

void caller_server::acceptLater()
{
    m_acceptTimer.expires_after(std::chrono::milliseconds(acceptPause.ceiled()));
    m_acceptTimer.async_wait([this](const error_code &error) {
        if (!error && m_acceptor.is_open()) {
            accept();
        }
    });
}

void caller_server::open(tcp::socket socket)
{
    const std::string address = addressOfPeer(socket);
    const bool refused = !makeRoom(address);
    const session_id id = m_nextId++;
    const auto made = std::make_shared<session>(*this, id, std::move(socket));
    m_sessions.emplace(id, made);
    m_table.open(id, address, refused, boot_clock().now());
    if (m_limitsMemory) {
        made->limitSendBuffer();
    }
    made->start();
}

/** @return whether a further connection from this client address can be kept. */
bool caller_server::makeRoom(std::string_view address)
{
    for (std::size_t attempt = 0; attempt < maxClosedForOne; ++attempt) {
        const admission decided = m_table.admit(address, boot_clock().now());
        if (!decided.closeFirst) {
            return decided.keep;
        }
        if (closeForPressure(*decided.closeFirst)) {
            return decided.keep;
        }
    }
    return false;
}

/** @return false if the connection has made progress that the table did not know; it stays open then. */
bool caller_server::closeForPressure(const connection_closing &closing)
{
    const std::shared_ptr<session> one = m_sessions.at(closing.id);
    if (one->sampleProgress()) {
        return false;
    }
    const bool wasRefused = m_table.isRefused(closing.id);
    const bool forMemory = closing.cause == closing_cause::AccountFull || closing.cause == closing_cause::MemoryFull;
    m_counts.closedForMemory += forMemory ? 1 : 0;
    m_counts.closedIdle += closing.cause == closing_cause::Idle ? 1 : 0;
    m_counts.closedUnread += closing.cause == closing_cause::NotReading && !wasRefused ? 1 : 0;
    logEvent(log_level::Info,
             "caller_closed",
             {{"cause", std::string(toString(closing.cause))},
              {"caller", one->peerAddress()},
              {"bytes", std::uint64_t {closing.bytes}},
              {"silent_ms", closing.silence.ceiled()},
              {"transfer_ms", closing.transferTime.ceiled()},
              {"callers", std::uint64_t {m_table.kept()}},
              {"limit", std::uint64_t {m_table.limit()}}});
    one->closeForPressure();
    return true;
}

/** @return whether the request that arrived on this connection may be served. */
bool caller_server::mayServe(session_id id, std::string_view address)
{
    if (m_table.isMemoryFull()) {
        enforceMemoryLimit(id);
    }
    if (m_table.isMemoryFull()) {
        return false;
    }
    if (m_table.isRefused(id)) {
        m_table.setRefused(id, !makeRoom(address));
    }
    return !m_table.isRefused(id);
}

std::string caller_server::writeRefusal(std::string_view cause, std::string_view address)
{
    const millis retryAfter = retryBase + retryStep * static_cast<double>(m_counts.refused % retrySteps);
    m_counts.refused += 1;
    logEvent(log_level::Info,
             "caller_refused",
             {{"cause", std::string(cause)},
              {"caller", std::string(address)},
              {"callers", std::uint64_t {m_table.kept()}},
              {"limit", std::uint64_t {m_table.limit()}},
              {"bytes", std::uint64_t {m_table.bytesHeld()}},
              {"retry_after_ms", retryAfter.ceiled()}});
    return m_answers.refusal(cause, retryAfter);
}

/** @param except a connection that is being processed and stays open. */
void caller_server::enforceMemoryLimit(session_id except)
{
    for (std::size_t attempt = 0; attempt < maxClosedForMemory; ++attempt) {
        const auto next = m_table.nextOverLimit(boot_clock().now(), except);
        if (!next) {
            return;
        }
        (void)closeForPressure(*next); // one that has made progress is now behind the others
    }
}

void caller_server::closeStopped(std::size_t needed, session_id except)
{
    for (std::size_t attempt = 0; attempt < maxClosedForMemory && !m_table.hasMemoryFor(needed); ++attempt) {
        const auto next = m_table.firstStopped(boot_clock().now(), except);
        if (!next) {
            return;
        }
        (void)closeForPressure(*next);
    }
}

bool caller_server::reserveAnswer(session_id id, std::size_t bytes)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return true; // the caller's leaving is reported separately
    }
    const std::shared_ptr<session> kept = found->second;
    closeStopped(bytes, id);
    if (!m_table.hasMemoryFor(bytes)) {
        kept->refuse("memory_full");
        return false;
    }
    kept->reserve(bytes);
    return true;
}

void caller_server::sweep()
{
    m_sweepTimer.expires_after(std::chrono::milliseconds(sweepInterval.ceiled()));
    m_sweepTimer.async_wait([this](const error_code &error) {
        if (error) {
            return;
        }
        const millis now = boot_clock().now();
        for (const auto &one : allSessions()) {
            one->sampleUnread();
            one->closeIfOverdue(now, m_limits);
        }
        enforceMemoryLimit(noSession);
        sweep();
    });
}

void caller_server::reply(session_id id, std::string bytes, bool close)
{
    const auto found = m_sessions.find(id);
    if (found != m_sessions.end()) {
        const std::shared_ptr<session> kept = found->second;
        kept->reply(std::move(bytes), close);
    }
}

void caller_server::stopListening()
{
    error_code ignored; // nothing depends on the result
    m_acceptor.close(ignored);
}

void caller_server::closeIdle()
{
    const millis now = boot_clock().now();
    std::ranges::for_each(allSessions(), [now](const auto &one) { one->closeIfIdle(now); });
}

void caller_server::refuseIncomplete(std::string_view cause)
{
    std::ranges::for_each(allSessions(), [cause](const auto &one) { one->refuseIfIncomplete(cause); });
}

/** @return a copy, since closing a session removes it from the map. */
std::vector<std::shared_ptr<caller_server::session>> caller_server::allSessions() const
{
    std::vector<std::shared_ptr<session>> all;
    std::ranges::transform(m_sessions, std::back_inserter(all), [](const auto &one) { return one.second; });
    return all;
}

} // namespace chivelock
