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

/** HTTP client (libcurl) for the leafs: sends searches, cancels and health checks. Reports exactly one result to the
 *  decision thread for each accepted search. */
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
    enum class transfer_kind : std::uint8_t {
        Search,
        Cancel,
        Probe
    };

    /** One HTTP request and its response. */
    struct transfer {
        transfer_kind kind = transfer_kind::Search;
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
    void startSearch(leaf_call call, const leaf_endpoint &endpoint);
    void startCancel(const leaf_cancel &cancel);
    void startProbe(const leaf_probe &probe, const leaf_endpoint &endpoint);
    transfer &createTransfer(transfer_kind kind, const leaf_endpoint &endpoint, std::string_view path);
    void startTransfer(transfer &request, millis timeout);
    void finishTransfer(CURL *handle, CURLcode result);
    void finishSearch(const transfer &ended, CURLcode result, long status);
    void finishProbe(const transfer &ended, CURLcode result, long status);
    void reportNotSent(const leaf_call &call);
    void notifyDecision(decision_event &&event);
    [[nodiscard]] std::string leafRequestName(call_id id) const;
    CURL *acquireHandle();

    const daemon_settings &m_settings;
    steady_clock m_clock;
    bounded_ring<leaf_command> m_ring;
    decision_service *m_decision = nullptr;
    CURLM *m_multi = nullptr;
    curl_slist *m_headers = nullptr;
    std::unordered_map<CURL *, std::unique_ptr<transfer>> m_transfers;
    std::unordered_map<call_id, leaf_endpoint> m_openSearches; ///< the leaf to which a cancel of the search is sent
    std::vector<CURL *> m_idleHandles;
    std::vector<decision_event> m_undelivered; ///< rejected by the full decision ring; offered again in the next round
    std::atomic<bool> m_stopThread = false;
    std::thread m_thread;
};

} // namespace chivelock
