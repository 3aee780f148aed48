#pragma once

#include "events.h"

#include <kernel/kernel.h>
#include <settings/settings.h>

#include <curl/curl.h>

#include <atomic>
#include <memory>
#include <thread>
#include <unordered_map>
#include <vector>

namespace chivelock {

class decision_service;

/** Speaks HTTP (libcurl) with the leafs: searches, cancels, health. Every search it takes gets exactly one end. */
class leaf_client : public kernel_service
{
public:
    static constexpr std::string_view serviceName = "leaf_client";

    explicit leaf_client(const daemon_settings &settings);

    [[nodiscard]] std::string_view name() const override
    {
        return serviceName;
    }

    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    [[nodiscard]] bool offer(leaf_command &&command)
    {
        return m_ring.push(std::move(command));
    }

private:
    enum class purpose : std::uint8_t {
        Search,
        Cancel,
        Probe
    };

    /** One HTTP exchange. */
    struct transfer {
        purpose what = purpose::Search;
        CURL *handle = nullptr;
        leaf_call call;
        leaf_endpoint endpoint;
        leaf_probe probe;
        std::string url;
        std::string body;
        std::string reply;
    };

    struct command_handler;

    void run();
    void beginSearch(leaf_call call, const leaf_endpoint &endpoint);
    void beginCancel(const leaf_cancel &cancel);
    void beginProbe(const leaf_probe &probe, const leaf_endpoint &endpoint);
    transfer &prepare(purpose what, const leaf_endpoint &endpoint, std::string_view path);
    void launch(transfer &started, millis timeout);
    void finish(CURL *handle, CURLcode result);
    void finishSearch(const transfer &ended, CURLcode result, long status);
    void finishProbe(const transfer &ended, CURLcode result, long status);
    void refuseUnsent(const leaf_call &call);
    void tell(decision_event &&event);
    [[nodiscard]] std::string callName(call_id id) const;
    CURL *takeHandle();

    const daemon_settings &m_settings;
    steady_clock m_clock;
    bounded_ring<leaf_command> m_ring;
    decision_service *m_decision = nullptr;
    CURLM *m_multi = nullptr;
    curl_slist *m_headers = nullptr;
    std::unordered_map<CURL *, std::unique_ptr<transfer>> m_transfers;
    std::unordered_map<call_id, leaf_endpoint> m_openSearches; ///< where a cancel must go
    std::vector<CURL *> m_idleHandles;
    std::vector<decision_event> m_untold; ///< ends that found the decision ring full; told before anything else
    std::atomic<bool> m_end = false;
    std::thread m_thread;
};

} // namespace chivelock
