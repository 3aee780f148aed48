#include "gateway_service.h"

#include "engine_settings.h"
#include "pending_request.h"
#include "status_pages.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

namespace chivelock {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr millis housekeepingInterval(500); // often enough for the expiry of leafs and the detection of process pauses

// Coarse enough to cost nothing, fine enough to show the traffic of a single incident.
constexpr millis trafficLogInterval(10000);

constexpr std::size_t fixedConnections = 1000; // of callers, if neither the settings nor the descriptors give a limit
constexpr millis minProcessPause(300); // a busy VM never delays a timer this much
constexpr millis longProcessPause(1000); // leafs may have closed idle connections meanwhile

} // namespace

gateway_service::gateway_service(gateway_daemon_settings settings)
    : m_settings(std::move(settings))
    , m_reactor(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO)
    , m_engine(engineSettings(m_settings), std::hash<std::string>()(m_settings.vmName))
    , m_traffic(m_settings.zone)
    , m_dueTimer(m_reactor)
    , m_housekeepingTimer(m_reactor)
    , m_stopTimer(m_reactor)
    , m_finishedFd(eventfd(0, EFD_CLOEXEC))
{
    m_engine.leafs().setHeartbeat(m_settings.leafHeartbeat);
}

gateway_service::~gateway_service()
{
    close(m_finishedFd);
}

std::string_view gateway_service::name() const
{
    return serviceName;
}

void gateway_service::connect(kernel &services)
{
    (void)services; // the gateway uses no other service
}

int gateway_service::finishedFd() const
{
    return m_finishedFd;
}

tl::expected<void, kernel_error> gateway_service::start()
{
    if (auto opened = open(); !opened) {
        return opened;
    }
    runHousekeeping();
    m_thread = std::thread([this] {
        const auto work = asio::make_work_guard(m_reactor);
        m_reactor.run();
    });
    return {};
}

tl::expected<void, kernel_error> gateway_service::open()
{
    m_pool = std::make_unique<leaf_pool>(m_reactor, *this);
    m_callers =
        std::make_unique<caller_server>(m_reactor, *this, server_answers {writeReadErrorAnswer, writeRefusalAnswer});
    applyPressureLimits();
    m_pages = std::make_unique<status_pages>(m_reactor, *this);
    m_feed = std::make_unique<store_feed>(m_reactor, m_settings, m_traffic, *this);
    helper_settings helperLinkSettings {m_settings.peers.address, m_settings.helperPort, m_settings.zone};
    m_helperLinks = std::make_unique<helper_links>(m_reactor, std::move(helperLinkSettings), m_traffic, *this);
    error_code error = m_callers->listen(m_settings.callers.address, m_settings.callers.port);
    if (!error) {
        error = m_pages->readiness().listen(m_settings.readiness.address, m_settings.readiness.port);
    }
    if (!error && m_settings.metrics) {
        error = m_pages->metrics().listen(m_settings.metrics->address, m_settings.metrics->port);
    }
    if (!error) {
        error = m_helperLinks->start();
    }
    if (!error) {
        error = m_feed->start();
    }
    if (error) {
        return tl::unexpected(
            kernel_error {std::string(serviceName), "could not listen at a configured address: " + error.message()});
    }
    return {};
}

void gateway_service::stop()
{
    m_reactor.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

// ---- requests

void gateway_service::onRequest(session_id session, http_request request)
{
    m_counts.requests += 1;
    platform::caller_marks marks = platform::readCallerMarks(request.headers);
    if (marks.requestId.empty()) {
        constexpr unsigned badRequest = 400;
        m_callers->reply(
            session, platform::writeOwnAnswer(badRequest, "no_request_id", std::nullopt, m_stopping), m_stopping);
        return;
    }
    const route_table *table = m_engine.config();
    const gateway_route *route =
        table == nullptr ? nullptr : table->find(findHeader(request.headers, "Host"), request.target);
    if (route != nullptr && !m_callers->reserveAnswer(session, m_answerSizes.expected(route->name))) {
        return;
    }
    // A request without a route is answered at once, which costs no more than to queue it.
    const queue_terms terms = route == nullptr ? termsOf(0, millis()) : termsOf(route->rank, route->objective);
    enqueue(queued_request {session, std::move(request), std::move(marks)}, terms);
}

void gateway_service::onCallerLeft(session_id session)
{
    if (dropQueued(session)) {
        return;
    }
    const auto found = m_exchangeBySession.find(session);
    if (found == m_exchangeBySession.end()) {
        return;
    }
    m_counts.disconnectedCallers += 1;
    const exchange_id id = found->second;
    m_exchangeBySession.erase(found);
    m_pendingRequests.erase(id);
    m_engine.onCallerLeft(id, m_clock.now());
    flush();
}

void gateway_service::onLeafReply(send_id id, gateway_reply reply)
{
    m_engine.onReply(id, std::move(reply), m_clock.now());
    flush();
}

void gateway_service::onLeafFailure(send_id id, send_failure failure)
{
    m_engine.onSendFailed(id, failure, m_clock.now());
    flush();
}

void gateway_service::onSkippedAnswer(const skipped_answer &skipped)
{
    logEvent(log_level::Info,
             "answer_skipped",
             {{"id", skipped.requestId},
              {"named", skipped.namedId},
              {"previous", skipped.previousId},
              {"leaf", skipped.leafId},
              {"digest", skipped.digest},
              {"status", std::uint64_t {skipped.status}},
              {"bytes", std::uint64_t {skipped.bodyBytes}},
              {"outcome", std::string(skipped.connectionClosed ? "connection_closed" : "next_awaited")}});
}

void gateway_service::onRepeatedRequest(const repeated_request &repeated)
{
    logEvent(log_level::Info,
             "request_repeated",
             {{"id", repeated.requestId},
              {"leaf", repeated.leafId},
              {"outcome", std::string(repeated.newConnection ? "new_connection" : "kept_connection")}});
}

void gateway_service::flush()
{
    const millis began = m_clock.now();
    for (auto actions = m_engine.takeActions(); !actions.empty(); actions = m_engine.takeActions()) {
        for (gateway_action &action : actions) {
            std::visit([this](auto &one) { perform(std::move(one)); }, action);
        }
    }
    if (const std::vector<request_evidence> evidence = m_engine.takeRequestEvidence(); !evidence.empty()) {
        m_feed->publishRequestEvidence(evidence);
    }
    armDueTimer();
    const millis ended = m_clock.now();
    recordLag(ended - began, ended);
}

void gateway_service::perform(send_action action)
{
    const auto found = m_pendingRequests.find(action.exchange);
    if (found == m_pendingRequests.end()) {
        return;
    }
    leaf_message message;
    message.id = action.id;
    message.to = std::move(action.to);
    message.text = found->second.text;
    message.requestId = found->second.requestId;
    message.remaining = action.deadline - m_clock.now();
    message.attemptEnd = action.attemptEnd;
    message.toHead = found->second.toHead;
    message.once = action.once;
    m_pool->send(std::move(message));
}

void gateway_service::perform(const cancel_action &action)
{
    m_pool->cancel(action.id);
}

void gateway_service::perform(const answer_action &action)
{
    const auto found = m_pendingRequests.find(action.exchange);
    if (found == m_pendingRequests.end()) {
        return;
    }
    const session_id session = found->second.session;
    const millis queuedFor = found->second.queuedFor;
    m_pendingRequests.erase(found);
    m_exchangeBySession.erase(session);
    std::string bytes = platform::writeCallerAnswer(action, m_stopping);
    if (action.outcome == exchange_outcome::Relayed || action.outcome == exchange_outcome::Merged) {
        m_answerSizes.record(action.route, bytes.size());
    }
    m_callers->reply(session, std::move(bytes), m_stopping);
    m_counts.hedges += action.hedges;
    m_counts.retries += action.retries;
    m_counts.delegatedSecondSends += action.delegatedSecondSends;
    m_counts.refused += action.outcome == exchange_outcome::Refused ? 1 : 0;
    m_counts.quarantined += action.cause == "quarantined" ? 1 : 0;
    m_counts.failed += action.outcome == exchange_outcome::Failed ? 1 : 0;
    m_counts.partial += action.outcome == exchange_outcome::Merged && action.missing > 0 ? 1 : 0;
    m_latencies.add({action.route, "all", std::string(toString(action.outcome))}, action.elapsed);
    logEvent(log_level::Info,
             "request",
             {{"id", action.requestId},
              {"key", toString(action.key)},
              {"route", action.route},
              {"version", action.version},
              {"outcome", std::string(toString(action.outcome))},
              {"cause", std::string(action.cause)},
              {"status", std::uint64_t {action.reply.status}},
              {"digest", action.reply.stamp},
              {"shards", std::uint64_t {action.shards}},
              {"missing", std::uint64_t {action.missing}},
              {"emptied_zone", action.drainedZone.value},
              {"sends", std::uint64_t {action.sends}},
              {"hedges", std::uint64_t {action.hedges}},
              {"retries", std::uint64_t {action.retries}},
              {"second_handed", std::uint64_t {action.delegatedSecondSends}},
              {"parts_placed", action.placed.all},
              {"parts_large", action.placed.large},
              {"parts_own", action.placed.own},
              {"own_lag_ms", m_lag.lagAt(m_clock.now()).ceiled()},
              {"elapsed_ms", action.elapsed.ceiled()},
              {"queued_us", queuedFor.micros()},
              {"ways_us", action.networkTime.micros()},
              {"retry_after_ms", action.retryAfter.ceiled()}});
}

void gateway_service::perform(const log_event_action &action)
{
    logEvent(log_level::Info,
             action.event,
             {{"id", action.requestId},
              {"key", action.key.isKnown() ? toString(action.key) : std::string()},
              {"cause", std::string(action.cause)},
              {"route", action.route},
              {"service", action.service},
              {"leaf", action.leafId},
              {"age_ms", action.age.ceiled()},
              {"input_ms", action.input.ceiled()}});
}

void gateway_service::perform(const asked_leafs_action &action)
{
    std::string leafs;
    for (const asked_leaf &one : action.leafs) {
        leafs += (leafs.empty() ? "" : ",") + one.id + "+" + std::to_string(one.after.ceiled());
        leafs += one.leavingFor ? "!" + std::to_string(one.leavingFor->ceiled()) : "";
    }
    logEvent(log_level::Info,
             "leafs_asked",
             {{"id", action.requestId},
              {"key", toString(action.key)},
              {"leafs", leafs},
              {"more", std::uint64_t {action.more}}});
}

/** Logs the request line only here; the log lines of the attempts contain just the key. */
void gateway_service::perform(const quarantine_update_action &action)
{
    constexpr std::size_t maxRequestTextBytes = 200; // enough for a path, without letting callers fill the log
    const auto found = m_pendingRequests.find(action.exchange);
    std::string text;
    if (found != m_pendingRequests.end()) {
        text = found->second.text->beforeTime.substr(
            0, std::min(found->second.text->beforeTime.find("\r\n"), maxRequestTextBytes));
    }
    logEvent(
        log_level::Warning,
        "request_verdict",
        {{"key", toString(action.key)},
         {"outcome", std::string(toString(action.state))},
         {"leafs", std::uint64_t {action.leafs}},
         {"attempts", std::uint64_t {action.attempts}},
         {"held_ms", action.quarantineRemaining.ceiled()},
         {"told_by", std::string("self")},
         {"caller", found != m_pendingRequests.end() ? m_callers->addressOf(found->second.session) : std::string()},
         {"request", text}});
}

void gateway_service::armDueTimer()
{
    const millis due = m_engine.nextDue();
    if (due >= m_dueTimerExpiry) {
        return; // the timer fires early enough already
    }
    m_dueTimerExpiry = due;
    const millis now = m_clock.now();
    const millis wait = std::max(due - now, millis());
    m_dueTimer.expires_after(std::chrono::microseconds(wait.micros()));
    m_dueTimer.async_wait([this, expiry = now + wait](const error_code &timerError) {
        if (timerError) {
            return;
        }
        m_dueTimerExpiry = millis::never();
        const millis fired = m_clock.now();
        recordLag(fired - expiry, fired);
        m_engine.advance(fired);
        flush();
    });
}

void gateway_service::runHousekeeping()
{
    const millis now = m_clock.now();
    if (m_nextHousekeeping > millis()) {
        recordLag(now - m_nextHousekeeping, now);
    }
    if (m_nextHousekeeping > millis() && now - m_nextHousekeeping > minProcessPause) {
        handleProcessPause(now);
    }
    m_engine.advance(now);
    applyPressureLimits();
    m_pool->closeUnread(now);
    flush();
    if (now >= m_nextTrafficLog) {
        m_nextTrafficLog = now + trafficLogInterval;
        logPeerTraffic();
        logPlacement();
    }
    logLeafSends();
    m_nextHousekeeping = now + housekeepingInterval;
    m_housekeepingTimer.expires_after(std::chrono::milliseconds(housekeepingInterval.ceiled()));
    m_housekeepingTimer.async_wait([this](const error_code &timerError) {
        if (!timerError) {
            runHousekeeping();
        }
    });
}

/** Derives the limits anew, since the connections to leafs come and go. */
void gateway_service::applyPressureLimits()
{
    const vm_resources vm {m_settings.memoryMegabytes, m_settings.maxDescriptors};
    pressure_limits limits = limitsFor(vm, fixedConnections, m_pool->connections());
    limits.callerConnections = std::min(limits.callerConnections, m_settings.maxConnections.value_or(SIZE_MAX));
    m_callers->setPressureLimits(limits.callerConnections, limits.callers);
    m_pool->setLimits(limits);
}

void gateway_service::handleProcessPause(millis now)
{
    const millis gap = now - m_nextHousekeeping;
    m_counts.processPauses += 1;
    logEvent(log_level::Warning, "stood_still", {{"gap_ms", gap.ceiled()}, {"outcome", std::string("ask_anew")}});
    m_engine.onProcessPause(gap);
    if (gap > longProcessPause) {
        m_pool->closeIdle();
        m_feed->reconnect();
    }
}

} // namespace chivelock
