#pragma once

#include "events.h"

#include <kernel/kernel.h>
#include <settings/settings.h>

#include <pistache/endpoint.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace chivelock {

class decision_service;

/** State of a caller's connection. */
enum class connection_state : std::uint8_t {
    Idle,
    Busy, ///< a request is unanswered
    Pipelined ///< further requests arrived meanwhile and were dropped; closes after the answer
};

/** A caller that has not been sent its answer yet. */
struct waiting_caller {
    std::shared_ptr<Pistache::Http::ResponseWriter> response;
    std::shared_ptr<std::atomic<connection_state>> connection;
    bool toHead = false; ///< the answer has no body
};

/** Contents of an HTTP response. */
struct http_reply {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    millis retryAfter; ///< 0: no Retry-After headers
    bool lastOnConnection = false; ///< sends "Connection: close", because this process is stopping
};

/**
 * HTTP server for callers (Pistache). Validates requests and passes them to the decision thread. Pistache sends answers
 * in the order in which they become ready. Therefore a request that arrives before the answer to the one before it is
 * dropped, and the connection closes after that answer, so that the caller sends the request again on another one.
 */
class caller_http : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "caller_http";

    /** Maximum number of callers and pages waiting for an answer; further requests are refused immediately. */
    static constexpr std::size_t maxWaitingCallers = 30000;

    explicit caller_http(const daemon_settings &settings);

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    /** Refuses all new requests. Returns when every waiting request has been answered, or after about one second. */
    void refuseNewAndDrain();

    /** Removes the caller from the table and returns it, so that each caller is answered only once. */
    [[nodiscard]] std::optional<waiting_caller> removeWaiting(caller_id caller);

    /** Sends the reply. A failure, such as a closed connection, is only logged at debug level. */
    static void send(const waiting_caller &caller, const http_reply &reply);

    /** Called by the HTTP threads for each request. */
    void handleRequest(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response);

private:
    void handleLookup(const Pistache::Http::Request &request, const std::string &kind, const waiting_caller &caller);
    void handleReport(report_kind kind, const waiting_caller &caller);
    /** @return the new caller's id, or nothing if @ref maxWaitingCallers are waiting. */
    [[nodiscard]] std::optional<caller_id> addWaiting(const waiting_caller &caller);
    void sendRefusal(const waiting_caller &caller,
                     const std::string &requestId,
                     const std::string &kind,
                     bool hasTicket,
                     answer_reason reason) const;

    const daemon_settings &m_settings;
    steady_clock m_clock;
    decision_service *m_decision = nullptr;
    std::unique_ptr<Pistache::Http::Endpoint> m_endpoint;
    std::atomic<bool> m_refusingNew = false;
    std::mutex m_mutex;
    std::unordered_map<caller_id, waiting_caller> m_waiting;
    caller_id m_nextCaller = 1;
};

} // namespace chivelock
