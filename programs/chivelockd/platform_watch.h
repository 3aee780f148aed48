#pragma once

#include "events.h"

#include <kernel/kernel.h>
#include <settings/settings.h>

#include <curl/curl.h>

#include <array>
#include <atomic>
#include <thread>

namespace chivelock {

class decision_service;

/**
 * Client of the platform's configuration service. Watches three documents with one long poll each.
 * Protocol: GET {url}/v1/config/{name}?after={revision}&wait_ms={n} returns 200 with the document as soon as its
 * revision is later, or 204 after the wait time. The client only reads.
 */
class platform_watch : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "platform_watch";

    explicit platform_watch(const daemon_settings &settings);

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    /** Starts reads that are delayed after a failure immediately. Called when a leaf holds a newer revision. */
    void retryNow();

private:
    struct watched_document {
        platform_document document;
        std::string_view path;
        CURL *handle = nullptr;
        std::string text {};
        std::uint64_t revision = 0;
        bool reading = false; ///< a request is in flight
        millis nextReadAt {};
    };

    void run();
    void startRead(watched_document &watched);
    void finishRead(CURL *handle, CURLcode result, millis now);
    /** Passes the document to the decision thread and schedules the next read. */
    void forwardDocument(watched_document &watched);
    /** @return the configured retry time, scaled by a random factor from 0.5 to 1.5. */
    [[nodiscard]] millis retryDelay();

    const daemon_settings &m_settings;
    steady_clock m_clock;
    seeded_random m_random;
    log_limiter m_failureLog;
    decision_service *m_decision = nullptr;
    CURLM *m_multi = nullptr;
    std::array<watched_document, 3> m_documents;
    std::atomic<bool> m_retryNow = false;
    std::atomic<bool> m_stopThread = false;
    std::thread m_thread;
};

} // namespace chivelock
