#pragma once

/**
 * @file
 * The gateway's data path: callers, the engine, leafs and the platform's store share one reactor thread. A ring buffer
 * between threads would cost two wake-ups for each leaf request, too much for a VM with a quarter of a core.
 */

#include "caller_server.h"
#include "helper_links.h"
#include "leaf_pool.h"
#include "peer_traffic.h"
#include "queued_work.h"
#include "status_pages.h"
#include "store_feed.h"

#include <gateway/gateway.h>
#include <kernel/kernel.h>
#include <metrics/metrics.h>
#include <priority/priority.h>
#include <settings/settings.h>

#include <map>
#include <memory>
#include <thread>
#include <unordered_map>

namespace chivelock {

class gateway_service : public kernel_service,
                        public request_listener,
                        public send_listener,
                        public feed_listener,
                        public helper_listener,
                        public status_source
{
public:
    static constexpr std::string_view serviceName = "gateway";

    explicit gateway_service(gateway_daemon_settings settings);
    ~gateway_service() override;

    [[nodiscard]] std::string_view name() const override;
    void connect(kernel &services) override;
    [[nodiscard]] tl::expected<void, kernel_error> start() override;
    void stop() override;

    /** Begins a planned stop. May be called from any thread. */
    void beginStop();

    /** Applies the settings that may change at run time; addresses keep their values. May be called from any thread. */
    void changeSettings(gateway_daemon_settings settings);

    /** @return a descriptor that becomes readable once a planned stop is complete. */
    [[nodiscard]] int finishedFd() const;

private:
    struct pending_request;
    using delegation_key = std::pair<link_id, delegation_id>;

    void onRequest(session_id session, http_request request) override;
    void onCallerLeft(session_id session) override;
    void onLeafReply(send_id id, gateway_reply reply) override;
    void onLeafFailure(send_id id, send_failure failure) override;
    void onSkippedAnswer(const skipped_answer &skipped) override;
    void onRepeatedRequest(const repeated_request &repeated) override;
    void onStoreItems(std::string_view prefix, const std::vector<store_item> &items) override;
    void onFleetState(const fleet_state &state) override;
    void onFleetMembers(const std::vector<fleet_member> &members) override;
    void onLeafReports(const std::vector<leaf_report> &reports) override;
    [[nodiscard]] std::vector<leaf_report> takeLeafReports() override;
    [[nodiscard]] std::vector<request_evidence>
    onRequestEvidence(const std::vector<request_evidence> &evidence) override;
    [[nodiscard]] std::vector<request_evidence> allRequestEvidence() override;
    void onHelpersChanged(std::vector<helper_vm> helpers, std::size_t ownRank) override;
    void onHelperLost(const std::string &address) override;
    void onProgress(delegation_id id, delegated_progress progress) override;
    void onHelperLoad(const std::string &address, const vm_load &load) override;
    void onDelegatorLinked(link_id from) override;
    void onDelegatedRequest(link_id from, delegate_request request) override;
    void onDelegatedCancel(link_id from, const delegate_cancel &cancel) override;
    void onDelegatorLost(link_id from) override;

    void enqueue(queued_work work, const queue_terms &terms);
    void postBeginning();
    void beginNext();
    void begin(queued_request queued, millis waited);
    void begin(queued_delegation queued, millis waited);
    [[nodiscard]] queue_terms termsOf(std::uint32_t rank, millis objective) const;
    [[nodiscard]] bool dropQueued(session_id session);
    [[nodiscard]] bool dropQueued(const delegation_key &delegator);
    void countCallerLeftInQueue(const std::string &requestId);
    [[nodiscard]] bool isQueued(const delegation_key &delegator) const;

    [[nodiscard]] tl::expected<void, kernel_error> open();
    void flush();
    void perform(send_action action);
    void perform(const cancel_action &action);
    void perform(const answer_action &action);
    void perform(const log_event_action &action);
    void perform(const asked_leafs_action &action);
    void perform(const quarantine_update_action &action);
    void perform(delegate_action action);
    void perform(const delegate_cancel_action &action);
    void perform(progress_action action);
    void armDueTimer();
    void runHousekeeping();
    void handleProcessPause(millis now);
    [[nodiscard]] vm_load currentLoad(millis now) const;
    void recordLag(millis delay, millis now);
    void applyPressureLimits();
    void applyLeafEvents(const std::vector<store_item> &items);
    bool applyLeafEvent(const store_item &item, bool shouldLog);
    void applyOperatorKeys(const std::vector<store_item> &items);
    void applyZoneDrain(const zone_name &zone, const store_item &item);
    void applyConfig(const store_item &item);
    void continueStop();
    void giveLastAnswers(millis now);
    [[nodiscard]] bool isAllWorkDone() const;
    void endStop(millis spent);
    void logPeerTraffic();
    void logPlacement() const;
    void logLeafSends();
    [[nodiscard]] bool answerReadinessProbe() override;
    [[nodiscard]] std::string metricsPage() const override;

    gateway_daemon_settings m_settings;
    boot_clock m_clock;
    boost::asio::io_context m_reactor;
    gateway_engine m_engine;
    peer_traffic m_traffic;
    std::unique_ptr<caller_server> m_callers;
    std::unique_ptr<status_pages> m_pages;
    std::unique_ptr<leaf_pool> m_pool;
    std::unique_ptr<store_feed> m_feed;
    std::unique_ptr<helper_links> m_helperLinks;
    boost::asio::steady_timer m_dueTimer;
    boost::asio::steady_timer m_housekeepingTimer;
    boost::asio::steady_timer m_stopTimer;
    millis m_dueTimerExpiry = millis::never();
    placement::lag_meter m_lag; ///< of the reactor
    std::uint32_t m_queuedBytes = 0; ///< in the links to other VMs, as of the last sample
    millis m_nextQueueSample;
    millis m_nextHousekeeping;
    millis m_nextTrafficLog;
    std::uint64_t m_loggedSecondSends = 0;
    std::unordered_map<exchange_id, pending_request> m_pendingRequests;
    std::unordered_map<session_id, exchange_id> m_exchangeBySession;
    std::map<delegation_key, exchange_id> m_delegatedExchanges; ///< for work that other VMs delegated
    run_queue<queued_work> m_runQueue; ///< used only if routes have priorities
    bool m_beginningPosted = false; ///< the reactor will begin the next item of the queue
    bool m_leafsReceived = false;
    bool m_stopping = false;
    bool m_closing = false;
    millis m_stopBegan;
    stop_schedule m_stopSchedule; ///< as of the settings when the stop began
    bool m_lastAnswersGiven = false;
    unsigned m_notReadyAnswers = 0; ///< readiness probes answered "not ready" since the stop began
    bool m_finished = false;
    int m_finishedFd;
    lookup_metrics m_latencies;
    answer_sizes m_answerSizes;
    struct counts {
        std::uint64_t requests = 0;
        std::uint64_t hedges = 0;
        std::uint64_t retries = 0;
        std::uint64_t delegatedSecondSends = 0;
        std::uint64_t refused = 0;
        std::uint64_t quarantined = 0;
        std::uint64_t failed = 0;
        std::uint64_t partial = 0;
        std::uint64_t disconnectedCallers = 0;
        std::uint64_t processPauses = 0;
        std::uint64_t delegationsSent = 0;
        std::uint64_t delegationsAccepted = 0;
        millis queueTime; ///< sum over all work that was queued
    } m_counts;
    std::thread m_thread;
};

} // namespace chivelock
