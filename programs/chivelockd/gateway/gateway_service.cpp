#include "gateway_service.h"

#include "pending.h"
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

constexpr millis housekeepingInterval(500); // expiry of leafs and notice of standstills need no more
constexpr millis trafficLineInterval(10000); // coarse enough to cost nothing, fine enough to see what one trouble sent
constexpr millis standstillGap(300); // a timer is never that late on a VM that merely is busy
constexpr millis longStandstill(1000); // leafs close idle connections meanwhile
constexpr millis stopLook(50);
constexpr millis closeBeforeGrace(1500); // for what was read last to be answered before the process is killed
constexpr millis endBeforeGrace(500); // for the threads to end and the last lines to be written, on a busy VM
constexpr unsigned noticesToEnd = 3; // the platform takes a VM out after two; one more in case one crossed the signal

// A leaf request costs some 60 microseconds of a core, all included: a core does a hundred in 6 ms, beside leafs that
// take 4 to 15 ms. Handing work out pays from about eight requests on.
constexpr double shardsPerCore = 100;
constexpr std::size_t leastShardsAtOnce = 8;

// From deciding to the answer's last byte on its way: part of it is work, half a millisecond of a core for the merged
// answer of some hundred shards behind whatever the VM is doing.
constexpr millis leastAnswerMargin(3);
constexpr millis answerWork(0.5);

gateway_settings engineSettings(const gateway_daemon_settings &from)
{
    gateway_settings settings;
    settings.zone = from.zone;
    settings.retryRatio = from.retryRatio;
    settings.retrySlack = from.retrySlack;
    settings.retryWindow = from.retryWindow;
    settings.drainLimit = from.drainLimit;
    settings.callerRoundTrip = from.callerRoundTrip;
    settings.answerMargin = leastAnswerMargin + answerWork * (1 / from.cpuShare);
    settings.shardsAtOnce = std::max(leastShardsAtOnce, static_cast<std::size_t>(from.cpuShare * shardsPerCore));
    constexpr double holdShare = 0.73; // of the drain limit; the rest is for the store's word to arrive
    settings.removalHold = from.drainLimit * holdShare;
    return settings;
}

} // namespace

gateway_service::gateway_service(gateway_daemon_settings settings)
    : m_settings(std::move(settings))
    , m_reactor(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE_IO)
    , m_engine(engineSettings(m_settings), std::hash<std::string>()(m_settings.vmName))
    , m_traffic(m_settings.zone)
    , m_dueTimer(m_reactor)
    , m_houseTimer(m_reactor)
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
    (void)services; // it works with no other service
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
    housekeep();
    m_thread = std::thread([this] {
        const auto work = asio::make_work_guard(m_reactor);
        m_reactor.run();
    });
    return {};
}

tl::expected<void, kernel_error> gateway_service::open()
{
    m_pool = std::make_unique<leaf_pool>(m_reactor, *this);
    m_callers = std::make_unique<caller_server>(m_reactor, *this, writeFaultAnswer);
    m_callers->setLimits({}, m_settings.maxConnections);
    m_pages = std::make_unique<status_pages>(m_reactor, *this);
    m_feed = std::make_unique<store_feed>(m_reactor, m_settings, m_traffic, *this);
    helper_settings helping {m_settings.peers.address, m_settings.helperPort, m_settings.zone};
    m_helperLinks = std::make_unique<helper_links>(m_reactor, std::move(helping), m_traffic, *this);
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
        return tl::unexpected(kernel_error {std::string(serviceName), "can't listen: " + error.message()});
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
    const millis now = m_clock.now();
    m_counts.requests += 1;
    platform::caller_marks marks = platform::readCallerMarks(request.headers);
    if (marks.requestId.empty()) {
        constexpr unsigned badRequest = 400;
        m_callers->reply(
            session, platform::writeOwnAnswer(badRequest, "no_request_id", std::nullopt, m_stopping), m_stopping);
        return;
    }
    caller_request asked;
    asked.id = marks.requestId;
    asked.host = findHeader(request.headers, "Host");
    asked.target = request.target;
    asked.patience = marks.patience;
    asked.roundTrip = m_callers->roundTripTo(session);
    const exchange_id id = m_engine.arrive(asked, now);
    pending &kept = m_pending[id];
    kept.session = session;
    kept.requestId = std::move(marks.requestId);
    kept.toHead = request.method == "HEAD";
    kept.text = std::make_shared<platform::leaf_request_text>(platform::writeLeafRequest(request));
    m_bySession[session] = id;
    flush();
}

void gateway_service::onCallerLeft(session_id session)
{
    const auto found = m_bySession.find(session);
    if (found == m_bySession.end()) {
        return;
    }
    m_counts.callersLeft += 1;
    const exchange_id id = found->second;
    m_bySession.erase(found);
    m_pending.erase(id);
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

void gateway_service::flush()
{
    for (auto actions = m_engine.takeActions(); !actions.empty(); actions = m_engine.takeActions()) {
        for (gateway_action &action : actions) {
            std::visit([this](auto &one) { perform(std::move(one)); }, action);
        }
    }
    armTimer();
}

void gateway_service::perform(send_action action)
{
    const auto found = m_pending.find(action.exchange);
    if (found == m_pending.end()) {
        return;
    }
    leaf_message message;
    message.id = action.id;
    message.to = std::move(action.to);
    message.text = found->second.text;
    message.requestId = found->second.requestId;
    message.remaining = action.deadline - m_clock.now();
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
    const auto found = m_pending.find(action.exchange);
    if (found == m_pending.end()) {
        return;
    }
    const session_id session = found->second.session;
    m_pending.erase(found);
    m_bySession.erase(session);
    m_callers->reply(session, platform::writeCallerAnswer(action, m_stopping), m_stopping);
    m_counts.hedges += action.hedges;
    m_counts.retries += action.retries;
    m_counts.refused += action.outcome == exchange_outcome::Refused ? 1 : 0;
    m_counts.failed += action.outcome == exchange_outcome::Failed ? 1 : 0;
    m_counts.partial += action.outcome == exchange_outcome::Merged && action.missing > 0 ? 1 : 0;
    m_latencies.add({action.route, "all", std::string(toString(action.outcome))}, action.elapsed);
    logEvent(log_level::Info,
             "request",
             {{"id", action.requestId},
              {"route", action.route},
              {"version", action.version},
              {"outcome", std::string(toString(action.outcome))},
              {"cause", std::string(action.cause)},
              {"status", std::uint64_t {action.reply.status}},
              {"shards", std::uint64_t {action.shards}},
              {"missing", std::uint64_t {action.missing}},
              {"sends", std::uint64_t {action.sends}},
              {"hedges", std::uint64_t {action.hedges}},
              {"retries", std::uint64_t {action.retries}},
              {"elapsed_ms", action.elapsed.ceiled()},
              {"ways_us", action.ways.micros()},
              {"retry_after_ms", action.retryAfter.ceiled()}});
}

void gateway_service::perform(const note_action &action)
{
    logEvent(log_level::Info,
             action.event,
             {{"id", action.requestId},
              {"cause", std::string(action.cause)},
              {"service", action.service},
              {"leaf", action.leafId},
              {"age_ms", action.age.ceiled()},
              {"input_ms", action.input.ceiled()}});
}

void gateway_service::armTimer()
{
    const millis due = m_engine.nextDue();
    if (due >= m_armedFor) {
        return; // it fires no later than needed
    }
    m_armedFor = due;
    const millis wait = std::max(due - m_clock.now(), millis());
    m_dueTimer.expires_after(std::chrono::microseconds(wait.micros()));
    m_dueTimer.async_wait([this](const error_code &stopped) {
        if (stopped) {
            return;
        }
        m_armedFor = millis::never();
        m_engine.advance(m_clock.now());
        flush();
    });
}

void gateway_service::housekeep()
{
    const millis now = m_clock.now();
    if (m_nextHousekeeping > millis() && now - m_nextHousekeeping > standstillGap) {
        noticeStandstill(now);
    }
    m_engine.advance(now);
    flush();
    if (now >= m_nextTrafficLine) {
        m_nextTrafficLine = now + trafficLineInterval;
        logTraffic();
    }
    m_nextHousekeeping = now + housekeepingInterval;
    m_houseTimer.expires_after(std::chrono::milliseconds(housekeepingInterval.ceiled()));
    m_houseTimer.async_wait([this](const error_code &stopped) {
        if (!stopped) {
            housekeep();
        }
    });
}

/** Bytes so far, as own zone/other zones/unknown: a process that is killed has told most of them before. */
void gateway_service::logTraffic()
{
    logEvent(log_level::Info,
             "peer_traffic",
             {{"to_other_zones", m_traffic.bytesToOtherZones()},
              {"whole_documents", m_traffic.bytesOf(peer_message_kind::WholeDocuments)},
              {"document_changes", m_traffic.bytesOf(peer_message_kind::DocumentChanges)},
              {"fleet_state", m_traffic.bytesOf(peer_message_kind::FleetState)},
              {"fleet_members", m_traffic.bytesOf(peer_message_kind::FleetMembers)},
              {"leaf_reports", m_traffic.bytesOf(peer_message_kind::LeafReports)},
              {"handed_work", m_traffic.bytesOf(peer_message_kind::HandedWork)},
              {"work_progress", m_traffic.bytesOf(peer_message_kind::WorkProgress)}});
}

void gateway_service::noticeStandstill(millis now)
{
    const millis gap = now - m_nextHousekeeping;
    m_counts.standstills += 1;
    logEvent(log_level::Warning, "stood_still", {{"gap_ms", gap.ceiled()}, {"outcome", std::string("ask_anew")}});
    m_engine.onStandstill(gap);
    if (gap > longStandstill) {
        m_pool->closeIdle();
        m_feed->refresh();
    }
}

// ---- start and stop

bool gateway_service::answerReadiness()
{
    m_notReadyTold += m_stopping ? 1 : 0;
    return !m_stopping && m_leafsKnown && m_engine.config() != nullptr;
}

void gateway_service::beginStop()
{
    asio::post(m_reactor, [this] {
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stopBegan = m_clock.now();
        m_feed->leave();
        logEvent(log_level::Info, "stopping", {{"callers", std::uint64_t {m_callers->sessions()}}});
        continueStop();
    });
}

void gateway_service::changeSettings(gateway_daemon_settings settings)
{
    asio::post(m_reactor, [this, changed = std::move(settings)]() mutable {
        changed.callers = m_settings.callers;
        changed.readiness = m_settings.readiness;
        changed.metrics = m_settings.metrics;
        changed.storeAddress = m_settings.storeAddress;
        m_settings = std::move(changed);
        m_engine.changeSettings(engineSettings(m_settings));
    });
}

/**
 * New callers keep coming until the platform has noticed that this VM is not ready; they are served. Connections that
 * stay open are closed late, so that no request crosses the close that could still have been answered.
 */
void gateway_service::continueStop()
{
    const millis spent = m_clock.now() - m_stopBegan;
    const bool noticed = m_notReadyTold >= noticesToEnd && m_callers->sessions() == 0;
    if (!m_closing && (spent >= m_settings.grace - closeBeforeGrace || noticed)) {
        m_closing = true;
        m_callers->stopListening();
    }
    if (m_closing) {
        m_callers->closeIdle();
    }
    const bool done = m_closing && m_callers->sessions() == 0;
    if (done || spent >= m_settings.grace - endBeforeGrace) {
        logTraffic();
        logEvent(log_level::Info,
                 "stopped",
                 {{"spent_ms", spent.ceiled()}, {"unanswered", std::uint64_t {m_pending.size()}}});
        const std::uint64_t one = 1;
        (void)!write(m_finishedFd, &one, sizeof one);
        return;
    }
    m_stopTimer.expires_after(std::chrono::milliseconds(stopLook.ceiled()));
    m_stopTimer.async_wait([this](const error_code &stopped) {
        if (!stopped) {
            continueStop();
        }
    });
}

std::string gateway_service::metricsPage() const
{
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    const std::uint64_t version = m_engine.config() == nullptr ? 0 : m_engine.config()->config().version;
    std::vector<metric_value> values = {
        {"chivelock_gateway_requests_total", "Requests read from callers.", number(m_counts.requests), {}},
        {"chivelock_gateway_partial_total", "Merged answers with shards missing.", number(m_counts.partial), {}},
        {"chivelock_gateway_refused_total", "Requests that were not run.", number(m_counts.refused), {}},
        {"chivelock_gateway_failed_total", "Requests given up that may have run.", number(m_counts.failed), {}},
        {"chivelock_gateway_callers_left_total", "Callers that left unanswered.", number(m_counts.callersLeft), {}},
        {"chivelock_gateway_hedges_total", "Second requests to silent shards.", number(m_counts.hedges), {}},
        {"chivelock_gateway_retries_total", "Requests sent again after a failure.", number(m_counts.retries), {}},
        {"chivelock_gateway_standstills_total", "Times this process stood still.", number(m_counts.standstills), {}},
        {"chivelock_leaf_sends_total", "Requests to leafs.", number(m_pool->counts().sent), {}},
        {"chivelock_leaf_connections_opened_total", "New connections.", number(m_pool->counts().opened), {}},
        {"chivelock_leaf_stray_answers_total", "Answers to other requests.", number(m_pool->counts().strayAnswers), {}},
        {"chivelock_work_handed_out_total", "Shards of a request given to another VM.", number(m_counts.handedOut), {}},
        {"chivelock_work_taken_in_total", "Shards of a request taken for another VM.", number(m_counts.takenIn), {}},
        {"chivelock_store_calls_total", "Calls to the store.", number(m_feed->storeCalls()), {}},
        {"chivelock_callers", "Open connections of callers.", number(m_callers->sessions()), {}},
        {"chivelock_exchanges", "Requests under way.", number(m_engine.openExchanges()), {}},
        {"chivelock_config_version", "Configuration in force.", number(version), {}},
    };
    m_traffic.write(values);
    return m_latencies.write(values);
}

} // namespace chivelock
