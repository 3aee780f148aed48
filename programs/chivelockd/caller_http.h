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

/** A caller whose answer is still to be written. */
struct waiting_caller {
    std::shared_ptr<Pistache::Http::ResponseWriter> response;
};

/** One HTTP reply. */
struct http_reply {
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    millis retryAfter; ///< 0: none
    bool lastOnConnection = false; ///< asks the caller to close, as this process is about to end
};

/** Takes callers' requests (HTTP by Pistache), checks their form and hands them to the decision thread. */
class caller_http : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "caller_http";

    /** Callers and pages that may wait at once; beyond, the answer is a refusal at once. */
    static constexpr std::size_t maxWaiting = 30000;

    explicit caller_http(const daemon_settings &settings);

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    /** From now on each request is refused at once; returns when those in hand have been answered, or after a bound. */
    void refuseNew();

    /** Takes the caller out of the table; each is answered once. */
    [[nodiscard]] std::optional<waiting_caller> take(caller_id caller);

    /** Writes the reply; a caller that has gone is no error. */
    static void send(const waiting_caller &caller, const http_reply &reply);

    /** Called by the HTTP threads for each request. */
    void handle(const Pistache::Http::Request &request, Pistache::Http::ResponseWriter response);

private:
    void handleLookup(const Pistache::Http::Request &request, const std::string &kind, const waiting_caller &caller);
    void handleReport(report_kind kind, const waiting_caller &caller);
    [[nodiscard]] std::optional<caller_id> keep(const waiting_caller &caller);
    void refuse(const waiting_caller &caller,
                const std::string &requestId,
                const std::string &kind,
                bool hasTicket,
                answer_reason reason) const;

    const daemon_settings &m_settings;
    steady_clock m_clock;
    decision_service *m_decision = nullptr;
    std::unique_ptr<Pistache::Http::Endpoint> m_endpoint;
    std::atomic<bool> m_refusing = false;
    std::mutex m_mutex;
    std::unordered_map<caller_id, waiting_caller> m_waiting;
    caller_id m_next = 1;
};

} // namespace chivelock
