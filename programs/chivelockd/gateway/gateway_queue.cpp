/** @file The work that the gateway has read and not begun. */

#include "gateway_service.h"

#include "pending_request.h"

#include <boost/asio/post.hpp>

namespace chivelock {

namespace asio = boost::asio;

namespace {

/** @return the header values by which an HTTP client identifies itself. */
std::string credentialsFrom(const http_headers &headers)
{
    std::string credentials(findHeader(headers, "Authorization"));
    credentials.push_back('\n'); // separator: never occurs in a header value
    return credentials.append(findHeader(headers, "Cookie"));
}

/** @return the client account: that of the credentials, or of the client's address if there are none. */
account_id accountOf(std::string_view credentials, const std::string &address)
{
    constexpr std::string_view noCredentials = "\n";
    return credentials != noCredentials ? fingerprintOf({credentials, {}, {}, {}, {}}).caller
                                        : fingerprintOf({address, {}, {}, {}, {}}).caller;
}

} // namespace

queue_terms gateway_service::termsOf(std::uint32_t rank, millis objective) const
{
    return {m_engine.urgencyOf(rank), m_clock.now(), objective};
}

/** Begins the work at once if the routes have no priorities; what was queued before them still goes first. */
void gateway_service::enqueue(queued_work work, const queue_terms &terms)
{
    if (!m_engine.hasPriorities() && m_runQueue.isEmpty()) {
        std::visit([this](auto &one) { begin(std::move(one), millis()); }, work);
        return;
    }
    m_runQueue.push(std::move(work), terms);
    postBeginning();
}

/**
 * Lets the reactor begin one item after the events that are ready now, such as answers of leafs, and poll its sockets
 * before the next item. If nothing else is ready, the item begins after one poll that does not wait.
 */
void gateway_service::postBeginning()
{
    if (m_beginningPosted || m_runQueue.isEmpty()) {
        return;
    }
    m_beginningPosted = true;
    asio::post(m_reactor, [this] {
        m_beginningPosted = false;
        beginNext();
        postBeginning();
    });
}

void gateway_service::beginNext()
{
    const millis now = m_clock.now();
    auto next = m_runQueue.pop(now);
    if (!next) {
        return;
    }
    const millis waited = now - next->terms.arrivedAt;
    m_counts.queueTime = m_counts.queueTime + waited;
    std::visit([&](auto &one) { begin(std::move(one), waited); }, next->item);
}

void gateway_service::begin(queued_request queued, millis waited)
{
    if (m_callers->closeIfCallerLeft(queued.session)) {
        countCallerLeftInQueue(queued.marks.requestId);
        return;
    }
    const http_request &request = queued.request;
    caller_request engineRequest;
    engineRequest.id = queued.marks.requestId;
    engineRequest.host = findHeader(request.headers, "Host");
    engineRequest.target = request.target;
    engineRequest.callerTimeout = queued.marks.patience;
    engineRequest.roundTrip = m_callers->roundTripTo(queued.session);
    engineRequest.newConnection = m_callers->isFirstRequest(queued.session);
    engineRequest.waited = waited;
    const std::string caller = credentialsFrom(request.headers);
    engineRequest.key = fingerprintOf({caller, engineRequest.host, request.method, request.target, request.body});
    engineRequest.account = accountOf(caller, m_callers->addressOf(queued.session));
    const exchange_id id = m_engine.arrive(engineRequest, m_clock.now());
    pending_request &added = m_pendingRequests[id];
    added.session = queued.session;
    added.requestId = std::move(queued.marks.requestId);
    added.toHead = request.method == "HEAD";
    added.text = std::make_shared<platform::leaf_request_text>(platform::writeLeafRequest(request));
    added.queuedFor = waited;
    m_exchangeBySession[queued.session] = id;
    flush();
}

/** The time of the first report is not shortened: it tells for how long leafs have been silent, not this VM. */
void gateway_service::begin(queued_delegation queued, millis waited)
{
    delegate_request &request = queued.request;
    request.work.cutoffIn = request.work.cutoffIn - waited;
    request.work.limitIn = request.work.limitIn - waited;
    const exchange_id id = m_engine.acceptDelegatedWork(request.requestId, request.work, m_clock.now());
    pending_request &added = m_pendingRequests[id];
    added.delegator = queued.delegator;
    added.requestId = std::move(request.requestId);
    added.toHead = request.toHead;
    added.text = std::make_shared<platform::leaf_request_text>(
        platform::leaf_request_text {std::move(request.beforeTime), std::move(request.afterTime)});
    added.queuedFor = waited;
    m_delegatedExchanges[queued.delegator] = id;
    flush();
}

/** Removes the request of a caller that left. @return false if it is not queued. */
bool gateway_service::dropQueued(session_id session)
{
    std::string requestId;
    const auto isOfSession = [&](const queued_work &one) {
        const auto *request = std::get_if<queued_request>(&one);
        const bool matches = request != nullptr && request->session == session;
        requestId = matches ? request->marks.requestId : requestId;
        return matches;
    };
    if (m_runQueue.removeIf(isOfSession) == 0) {
        return false;
    }
    countCallerLeftInQueue(requestId);
    return true;
}

/** Nothing was sent for the request yet. */
void gateway_service::countCallerLeftInQueue(const std::string &requestId)
{
    m_counts.disconnectedCallers += 1;
    logEvent(log_level::Info, "caller_left", {{"id", requestId}, {"cause", std::string("queued")}});
}

bool gateway_service::dropQueued(const delegation_key &delegator)
{
    return m_runQueue.removeIf([&](const queued_work &one) {
        const auto *work = std::get_if<queued_delegation>(&one);
        return work != nullptr && work->delegator == delegator;
    }) > 0;
}

bool gateway_service::isQueued(const delegation_key &delegator) const
{
    return m_runQueue.contains([&](const queued_work &one) {
        const auto *work = std::get_if<queued_delegation>(&one);
        return work != nullptr && work->delegator == delegator;
    });
}

} // namespace chivelock
