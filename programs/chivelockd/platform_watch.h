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
 * The adapter to the platform's configuration service: watches three documents with one waiting read each.
 * Protocol: GET {url}/v1/config/{name}?after={revision}&wait_ms={n} gives 200 with a document of a later revision, or
 * 204 when the wait ends. Nothing is ever written.
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

    /** A read that waits after a failure is made at once: a leaf knows something newer. */
    void hurry();

private:
    struct watched {
        platform_document which;
        std::string_view path;
        CURL *handle = nullptr;
        std::string text {};
        std::uint64_t revision = 0;
        bool running = false;
        millis startAt {};
    };

    void run();
    void begin(watched &document);
    void finish(CURL *handle, CURLcode result, millis now);
    void takeText(watched &document);
    [[nodiscard]] millis pauseAfterFailure();

    const daemon_settings &m_settings;
    steady_clock m_clock;
    seeded_random m_random;
    log_limiter m_failureLog;
    decision_service *m_decision = nullptr;
    CURLM *m_multi = nullptr;
    std::array<watched, 3> m_documents;
    std::atomic<bool> m_hurry = false;
    std::atomic<bool> m_end = false;
    std::thread m_thread;
};

} // namespace chivelock
