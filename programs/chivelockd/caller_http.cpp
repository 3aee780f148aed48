#include "caller_http.h"

#include "decision_service.h"

#include <schema/schema.h>

#include <nlohmann/json.hpp>
#include <pistache/peer.h>

#include <atomic>
#include <chrono>
#include <thread>

#include <sys/socket.h>

namespace chivelock {

namespace {

namespace http = Pistache::Http;

constexpr std::string_view lookupPrefix = "/v1/lookups/";
constexpr millis refusalRetryAfter {100};

constexpr std::string_view lookupSchema = R"({
  "type": "object", "additionalProperties": false,
  "properties": {
    "query": {},
    "key": {"type": "string", "minLength": 1, "maxLength": 256},
    "time_limit_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
    "request_id": {"type": "string", "pattern": "^[A-Za-z0-9._:-]{1,128}$"},
    "came_back": {"type": "boolean"},
    "ticket": {"type": "string", "minLength": 1, "maxLength": 256}
  }
})";

/** Generates an id, unique within this process, for a lookup whose caller gave none. */
std::string generateRequestId(const daemon_settings &settings)
{
    static std::atomic<std::uint64_t> count = 0;
    return "vm" + std::to_string(settings.vm.value) + "-" + std::to_string(settings.entry.incarnation) + "-"
        + std::to_string(++count);
}

class request_handler : public http::Handler
{
public:
    HTTP_PROTOTYPE(request_handler)

    explicit request_handler(caller_http *service)
        : m_service(service)
    {
    }

    void onRequest(const http::Request &request, http::ResponseWriter response) override
    {
        m_service->handleRequest(request, std::move(response));
    }

private:
    caller_http *m_service;
};

/** @return the state of the connection that the response is written to. */
std::shared_ptr<std::atomic<connection_state>> connectionOf(const http::ResponseWriter &response)
{
    static constexpr const char *key = "connection_state";
    const std::shared_ptr<Pistache::Tcp::Peer> peer = response.peer();
    if (auto known = std::static_pointer_cast<std::atomic<connection_state>>(peer->tryGetData(key))) {
        return known;
    }
    auto added = std::make_shared<std::atomic<connection_state>>(connection_state::Idle);
    peer->putData(key, added);
    return added;
}

/** @return whether the connection had no unanswered request. */
bool beginRequest(std::atomic<connection_state> &connection)
{
    connection_state previous = connection_state::Idle;
    while (!connection.compare_exchange_weak(
        previous, previous == connection_state::Idle ? connection_state::Busy : connection_state::Pipelined)) { }
    return previous == connection_state::Idle;
}

/** @return whether the connection may serve further requests. */
bool endRequest(std::atomic<connection_state> &connection)
{
    connection_state expected = connection_state::Busy;
    return connection.compare_exchange_strong(expected, connection_state::Idle);
}

void closeAfterAnswer(const http::ResponseWriter &response)
{
    if (const auto peer = response.getPeer()) {
        shutdown(peer->fd(), SHUT_WR);
    }
}

void sendError(const waiting_caller &caller, http::Code code, std::string_view detail)
{
    const nlohmann::json body = {{"outcome", "not_run"}, {"reason", "bad_request"}, {"detail", detail}};
    caller_http::send(caller, {static_cast<std::uint16_t>(code), "application/json", body.dump(), millis(), false});
}

} // namespace

caller_http::caller_http(const daemon_settings &settings)
    : m_settings(settings)
{
}

void caller_http::connect(kernel &services)
{
    m_decision = &services.find<decision_service>(decision_service::serviceName);
}

tl::expected<void, kernel_error> caller_http::start()
{
    try {
        const Pistache::Address address(m_settings.listen.address, Pistache::Port(m_settings.listen.httpPort));
        m_endpoint = std::make_unique<http::Endpoint>(address);
        auto options = http::Endpoint::options();
        options.threads(static_cast<int>(m_settings.listen.httpThreads));
        options.flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay);
        options.maxRequestSize(m_settings.listen.maxRequestBytes);
        m_endpoint->init(options);
        m_endpoint->setHandler(http::make_handler<request_handler>(this));
        m_endpoint->serveThreaded();
    } catch (const std::exception &problem) {
        return tl::unexpected(kernel_error {std::string(serviceName), problem.what()});
    }
    return {};
}

void caller_http::stop()
{
    m_endpoint->shutdown();
}

void caller_http::refuseNewAndDrain()
{
    constexpr int maxPolls = 100;
    constexpr std::chrono::milliseconds pollInterval(10);
    m_refusingNew = true;
    for (int polls = 0; polls < maxPolls; ++polls) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_waiting.empty()) {
                break;
            }
        }
        std::this_thread::sleep_for(pollInterval);
    }
    // The last replies may still be in the queues of the HTTP threads; this delay lets them be sent.
    constexpr std::chrono::milliseconds flushDelay(100);
    std::this_thread::sleep_for(flushDelay);
}

std::optional<waiting_caller> caller_http::removeWaiting(caller_id caller)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(caller);
    if (found == m_waiting.end()) {
        return std::nullopt;
    }
    waiting_caller removed = std::move(found->second);
    m_waiting.erase(found);
    return removed;
}

void caller_http::send(const waiting_caller &caller, const http_reply &reply)
{
    constexpr double millisPerSecond = 1000;
    try {
        http::ResponseWriter &response = *caller.response;
        if (reply.retryAfter > millis()) {
            // Retry-After is in whole seconds; X-Retry-After-Ms and the body carry the time in milliseconds.
            const auto seconds =
                static_cast<std::int64_t>((reply.retryAfter.count() + millisPerSecond - 1) / millisPerSecond);
            response.headers().addRaw(
                http::Header::Raw("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))));
            response.headers().addRaw(http::Header::Raw("X-Retry-After-Ms", std::to_string(reply.retryAfter.ceiled())));
        }
        const bool reusable = endRequest(*caller.connection);
        if (reply.lastOnConnection || !reusable) {
            response.headers().addRaw(http::Header::Raw("Connection", "close"));
        }
        response.headers().addRaw(http::Header::Raw("Content-Type", reply.contentType));
        auto written = response.send(static_cast<http::Code>(reply.status), caller.toHead ? std::string() : reply.body);
        if (!reusable) {
            written.then([caller](ssize_t) { closeAfterAnswer(*caller.response); }, Pistache::Async::IgnoreException);
        }
    } catch (const std::exception &problem) {
        logEvent(log_level::Debug, "caller_gone", {{"problem", std::string(problem.what())}});
    }
}

void caller_http::handleRequest(const http::Request &request, http::ResponseWriter response)
{
    const auto connection = connectionOf(response);
    if (!beginRequest(*connection)) {
        logEvent(log_level::Debug, "pipelined_request_dropped", {});
        return;
    }
    const bool toHead = request.method() == http::Method::Head;
    const waiting_caller caller {std::make_shared<http::ResponseWriter>(std::move(response)), connection, toHead};
    const std::string &resource = request.resource();
    const bool isGet = request.method() == http::Method::Get;
    if (resource.starts_with(lookupPrefix)) {
        if (request.method() != http::Method::Post) {
            sendError(caller, http::Code::Method_Not_Allowed, "use POST");
            return;
        }
        handleLookup(request, resource.substr(lookupPrefix.size()), caller);
    } else if (isGet && resource == "/v1/health") {
        send(caller,
             {static_cast<std::uint16_t>(http::Code::Ok),
              "application/json",
              R"({"alive":true})",
              millis(),
              m_decision->isStopping()});
    } else if (isGet && resource == "/v1/ready") {
        handleReport(report_kind::Ready, caller);
    } else if (isGet && resource == "/v1/status") {
        handleReport(report_kind::Status, caller);
    } else if (isGet && resource == "/v1/audit") {
        handleReport(report_kind::Audit, caller);
    } else if (isGet && resource == "/metrics") {
        handleReport(report_kind::Metrics, caller);
    } else {
        sendError(caller, http::Code::Not_Found, "no such resource");
    }
}

void caller_http::handleLookup(const http::Request &request, const std::string &kind, const waiting_caller &caller)
{
    const millis receivedAt = m_clock.now();
    const std::string &text = request.body();
    const auto document = parseAndValidate(text.empty() ? "{}" : text, lookupSchema);
    if (!document) {
        sendError(caller, http::Code::Bad_Request, toString(document.error()));
        return;
    }
    constexpr double maxTimeLimitMs = 60000;
    lookup_request lookup;
    lookup.kind = {kind};
    lookup.requestId = document->contains("request_id") ? document->at("request_id").get<std::string>()
                                                        : generateRequestId(m_settings);
    lookup.shardKey = document->value("key", "");
    lookup.ticket = document->value("ticket", "");
    lookup.honouredRetryAfter = document->value("came_back", false);
    lookup.remaining = millis(document->value("time_limit_ms", maxTimeLimitMs));
    lookup.body = document->value("query", nlohmann::json()).dump();
    const std::string requestId = lookup.requestId;
    const bool hasTicket = !lookup.ticket.empty();
    if (m_refusingNew) {
        sendRefusal(caller, requestId, kind, hasTicket, answer_reason::Stopping);
        return;
    }
    const std::optional<caller_id> id = addWaiting(caller);
    if (!id) {
        sendRefusal(caller, requestId, kind, hasTicket, answer_reason::RingFull);
        return;
    }
    lookup.caller = *id;
    if (!m_decision->offer(lookup_received {std::move(lookup), receivedAt})) {
        if (removeWaiting(*id)) {
            sendRefusal(caller, requestId, kind, hasTicket, answer_reason::RingFull);
        }
    }
}

void caller_http::handleReport(report_kind kind, const waiting_caller &caller)
{
    const std::optional<caller_id> id = addWaiting(caller);
    if (!id || !m_decision->offer(report_requested {*id, kind})) {
        if (!id || removeWaiting(*id)) {
            send(caller,
                 {static_cast<std::uint16_t>(http::Code::Service_Unavailable),
                  "application/json",
                  R"({"reason":"ring_full"})",
                  refusalRetryAfter,
                  false});
        }
    }
}

std::optional<caller_id> caller_http::addWaiting(const waiting_caller &caller)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.size() >= maxWaitingCallers) {
        return std::nullopt;
    }
    const caller_id id = m_nextCaller++;
    m_waiting.emplace(id, caller);
    return id;
}

void caller_http::sendRefusal(const waiting_caller &caller,
                              const std::string &requestId,
                              const std::string &kind,
                              bool hasTicket,
                              answer_reason reason) const
{
    // The request was not passed on, so without a ticket it certainly did not run. With a ticket, an earlier attempt
    // may have run.
    lookup_answer answer;
    answer.requestId = requestId;
    answer.kind = {kind};
    answer.outcome = outcomeOfRefusal(hasTicket);
    answer.reason = reason;
    answer.retryAfter = refusalRetryAfter;
    send(caller,
         {httpStatusOf(answer), "application/json", writeAnswer(answer), refusalRetryAfter, m_decision->isStopping()});
}

} // namespace chivelock
