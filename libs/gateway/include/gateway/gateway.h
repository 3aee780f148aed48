#pragma once

/**
 * @file
 * Decisions of the gateway for requests that are forwarded to one leaf of a service, or to one leaf of each of many
 * shards whose parts are merged. The engine does no I/O, starts no thread and reads no clock: it receives events with
 * the current time and returns actions, so that every decision can be tested without a network.
 */

#include "delegated_work.h"
#include "gateway_actions.h"
#include "gateway_counts.h"
#include "gateway_settings.h"
#include "sent_requests.h"
#include "stop_schedule.h"

#include <admission/admission.h>
#include <base/base.h>
#include <hedging/hedging.h>
#include <leafs/leafs.h>
#include <placement/placement.h>
#include <priority/priority.h>
#include <quarantine/quarantine.h>
#include <regions/regions.h>
#include <routing/routing.h>
#include <zones/zones.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelock {

/** The properties of a caller's request that decisions depend on. */
struct caller_request {
    std::string id; ///< the caller's id of the request, for logs
    std::string_view host;
    std::string_view target;
    std::optional<millis> callerTimeout; ///< the caller's timeout, if the request states one
    std::optional<millis> roundTrip {}; ///< measured round trip to the caller, if known
    request_fingerprint key {}; ///< equal for all attempts of the same request
    bool newConnection = false; ///< first request on its connection: the caller also waited for the handshake
    millis waited {}; ///< time since the request was read; counts against its deadline
    account_id account = 0; ///< the client account that sent it
};

/** Handles all requests of one process. */
class gateway_engine
{
public:
    gateway_engine(gateway_settings settings, std::uint64_t seed);
    gateway_engine(const gateway_engine &) = delete;
    gateway_engine &operator=(const gateway_engine &) = delete;
    ~gateway_engine();

    /** @return false if @p config is not newer than the configuration in force. */
    bool applyConfig(gateway_config config);

    [[nodiscard]] const route_table *config() const
    {
        return m_table.get();
    }

    [[nodiscard]] leaf_directory &leafs()
    {
        return m_leafs;
    }

    /** Drains or undrains a zone. @param drained true if the zone's leafs must get no more requests; false to undrain.
     *  @return false if the zone is in that state already. */
    bool setZoneDrained(const zone_name &zone, bool drained, millis now);

    /** Applies new settings; windows that have begun keep the old ones. */
    void changeSettings(gateway_settings settings)
    {
        m_settings = std::move(settings);
        m_regions = region_policy(m_settings.regions);
        m_requests.changeSettings(m_settings.quarantine);
    }

    /**
     * Sets the number of VMs among which the fleet's limits are divided.
     * @param possible number that may run, where more may do so than are known; it divides what the fleet must not
     * exceed even then: the fixed part of retry budgets and the requests to cold leafs.
     */
    void setFleetSize(std::size_t size, std::size_t possible = 0)
    {
        m_fleetSize = size;
        m_possibleFleetSize = std::max(size, possible);
    }

    /** Accepts a request. Its answer is emitted as an action, possibly by this call. */
    exchange_id arrive(const caller_request &request, millis now);

    /** Whether routes of several ranks exist and the settings let the more urgent ones go first. */
    [[nodiscard]] bool hasPriorities() const
    {
        return m_settings.scheduling.priorities && !m_scale.isUniform();
    }

    /** @return as @ref priority_scale::urgencyOf, in the configuration in force. */
    [[nodiscard]] double urgencyOf(std::uint32_t rank) const
    {
        return hasPriorities() ? m_scale.urgencyOf(rank) : 1;
    }

    [[nodiscard]] const priority_counts &priorityCounts() const
    {
        return m_priorityCounts;
    }

    [[nodiscard]] const send_counts &sendCounts() const
    {
        return m_sendCounts;
    }

    [[nodiscard]] silent_leafs countSilentLeafs(millis now) const;

    /** Accepts work that another VM delegates; its results are emitted as @ref progress_action. */
    exchange_id acceptDelegatedWork(std::string requestId, const delegated_work &work, millis now);

    /** Sets the reachable VMs, to which shards with leafs near them can be delegated.
     *  @param ownRank this VM's @ref helper_vm::rank. */
    void setHelpers(std::vector<helper_vm> helpers, std::size_t ownRank);

    /** Records the load that a helper reported about itself. */
    void onHelperLoad(const std::string &address, const vm_load &load, millis now)
    {
        m_vmLoads.onLoad(address, load, now);
    }

    [[nodiscard]] const placement::vm_loads &helperLoads() const
    {
        return m_vmLoads;
    }

    /** @return how the parts of all lookups were placed. */
    [[nodiscard]] const placement::placed_parts &placed() const
    {
        return m_placed;
    }

    /** Records the load of this VM, as measured by its reactor. */
    void setOwnLoad(const vm_load &load, millis now)
    {
        m_ownLoad = load;
        m_ownLoadAt = now;
    }

    void onProgress(delegation_id id, delegated_progress progress, millis now);

    /** The connection to the helper was lost or could not be made. */
    void onHelperLost(std::string_view address, millis now);

    /** The VM that delegated the exchange no longer needs it. */
    void onDelegationCancelled(exchange_id id, millis now);

    /** A leaf ran the request of this delegated exchange to completion, as reported by the VM that delegated it. */
    void onSurvived(exchange_id id);

    void onReply(send_id id, gateway_reply reply, millis now);
    void onSendFailed(send_id id, send_failure failure, millis now);
    void onCallerLeft(exchange_id id, millis now);

    /** @return observations about leafs since the last call that other VMs need. */
    [[nodiscard]] std::vector<leaf_report> takeReports();

    /** Applies the observations of other VMs. @return how many leafs became slow, or stopped being slow, by them. */
    std::size_t onReports(std::span<const leaf_report> reports);

    /** @return this VM's evidence on queries of death since the last call, for the other VMs. */
    [[nodiscard]] std::vector<request_evidence> takeRequestEvidence();

    /** Applies the evidence of other VMs. @return the part that was new here, to be forwarded. */
    [[nodiscard]] std::vector<request_evidence> onRequestEvidence(std::span<const request_evidence> evidence,
                                                                  millis now);

    [[nodiscard]] const request_ledger &requests() const
    {
        return m_requests;
    }

    /** This process was paused for @p gap: answers that became overdue meanwhile don't count against the leafs. */
    void onProcessPause(millis gap);

    /**
     * Begins a planned stop. Requests in progress get their final answer by @p answersBy at the latest; new ones are
     * refused once they would probably not be answered by then.
     */
    void beginStop(millis answersBy, millis now);

    /** Logs each request that has no final answer yet, because the process is about to end. */
    void logUnanswered(millis now);

    /** Performs all actions that are due by @p now. */
    void advance(millis now);

    /** @return when @ref advance must be called next. */
    [[nodiscard]] millis nextDue() const;

    [[nodiscard]] std::vector<gateway_action> takeActions();

    /** When hedges of a route are sent at present. */
    struct hedge_state {
        millis delay; ///< time without an answer
        std::string_view cause; ///< a string constant
        millis loggedDelay;
        std::string_view loggedCause;
        millis loggedAt = millis() - millis::never();
    };

    /** @return the hedge delays of the routes for which requests were sent, by route. */
    [[nodiscard]] const std::map<std::string, hedge_state> &hedgeStates() const
    {
        return m_hedgeStates;
    }

    /** @return the number of leafs that are known to pause from reports of helpers. */
    [[nodiscard]] std::size_t pausedLeafs(millis now) const;

    /** Decisions under overload, for metrics. */
    [[nodiscard]] const overload_control &overload() const
    {
        return m_overload;
    }

    [[nodiscard]] std::size_t openExchanges() const
    {
        return m_exchanges.size();
    }

private:
    struct shard_call;
    struct exchange;
    struct attempt_evidence;
    struct zone_vms;

    /** One request sent to a leaf; outlives its exchange until the leaf has answered or @ref closeAt has passed. */
    struct send {
        send_id id = 0;
        exchange_id exchange = 0;
        std::size_t call = 0;
        std::shared_ptr<leaf> to;
        std::shared_ptr<attempt_evidence> evidence;
        route_latency *latency = nullptr;
        millis sentAt;
        millis expectedBy; ///< see @ref leaf::open_send
        millis deadline; ///< time after which the leaf may stop working on it
        millis closeAt; ///< the send is cancelled then
        double queue = 0; ///< @ref leafQueuePerSlot at the time of the send
        bool idempotent = true;
        bool second = false; ///< the request may have run at another leaf before
    };

    /** Shards of one exchange that were delegated to another VM. */
    struct delegation {
        exchange_id exchange = 0;
        std::string helper;
        std::vector<std::size_t> calls; ///< indexes into the exchange's calls, in the order of the work's shards
        std::vector<bool> shardDone; ///< shards whose final report has been received, in the same order
        std::vector<std::shared_ptr<leaf>> silentLeafs; ///< of the shards that were reported as pending
        millis delegatedAt;
        millis firstReportIn; ///< see @ref delegated_work::firstReportIn
        millis reportExpectedIn; ///< from delegating the work until a helper without backlog has reported
        millis firstReportTimeout; ///< from delegating the work until the first report is overdue
        bool reportReceived = false;
        bool second = false; ///< the requests may have run at other leafs before
        bool late = false; ///< the first report is overdue; requests to second leafs are allowed
    };

    /** Calls that wait for a leaf of one service. */
    struct waiting_calls {
        std::set<waiting_position> calls;
        millis servedAt; ///< when the free places were last offered to all of them
    };

    /** Calls of one exchange to delegate to one VM. */
    struct helper_group {
        std::string helper;
        std::vector<std::size_t> calls;
    };
    using helper_plan = std::vector<helper_group>;

    /** Zones that have leafs of one shard, not counting leaving leafs. */
    struct shard_zones {
        std::set<zone_name> all;
        std::set<zone_name> usable; ///< zones with a leaf that can be asked now
    };

    enum class due_kind : std::uint8_t {
        Exchange,
        Send,
        Delegation
    };

    struct due {
        millis at;
        due_kind kind = due_kind::Exchange;
        std::uint64_t id = 0;
        bool operator>(const due &other) const
        {
            return at > other.at;
        }
    };
    struct choice {
        std::shared_ptr<leaf> to; ///< nullptr if no leaf may be asked
        double cost = 0;
        bool full = false; ///< no leaf because all candidates have reached their connection limit
        bool overloaded = false; ///< no leaf because the candidates' queues exceed the remaining time
        const zone_name *drained = nullptr; ///< a drained zone that has some of the leafs
        bool outsideRegions = false; ///< some of the leafs are outside the home regions of the route

        /** @return why no leaf was chosen, as a string constant for logs and callers. */
        [[nodiscard]] std::string_view reason() const
        {
            if (overloaded) {
                return "overloaded";
            }
            if (drained != nullptr) {
                return "zone_emptied";
            }
            return outsideRegions ? "region_not_allowed" : "no_leaf";
        }
    };

    void begin(exchange &work, millis now);
    void beginSingle(exchange &work, millis now);
    void beginGather(exchange &work, millis now);
    [[nodiscard]] bool refuseIfOverloaded(exchange &work, millis now);
    [[nodiscard]] bool refuseIfStopping(exchange &work, millis now);
    [[nodiscard]] bool isLimitedByStop(const exchange &work) const;
    void limitToStop(exchange &work) const;
    [[nodiscard]] admission_request describeLoad(const exchange &work, millis now) const;
    [[nodiscard]] bool isHedgeHarmful(const exchange &work, const shard_call &call, millis now) const;
    [[nodiscard]] bool hasFreeSlot(const exchange &work, const shard_call &call, millis now) const;
    [[nodiscard]] millis ownLag(millis now) const;
    [[nodiscard]] millis
    retryAfterOf(const exchange &work, exchange_outcome outcome, std::string_view cause, millis earliest, millis now);
    void recordCompleted(const exchange &work, exchange_outcome outcome, millis now);
    [[nodiscard]] millis estimateNetworkTime(const caller_request &request) const;
    [[nodiscard]] choice chooseLeaf(const exchange &work, const shard_call &call, bool forHedge, millis now);
    [[nodiscard]] double expectedCost(const leaf &candidate, const route_latency &latency, millis now);
    [[nodiscard]] static bool
    isOverloaded(const leaf &candidate, const route_latency &latency, millis timeLeft, millis now);
    [[nodiscard]] bool mayAsk(const leaf &candidate, millis now) const;
    [[nodiscard]] bool mayAskCold(const leaf &candidate, millis now) const;
    void useColdSlot(leaf &asked, millis now) const;
    [[nodiscard]] bool admits(const zone_name &zone, millis now);
    [[nodiscard]] shard_zones zonesOf(const exchange &work, const shard_call &call, millis now);
    [[nodiscard]] unsigned connectionShare(const service_name &service) const;
    [[nodiscard]] static millis usefulUntil(const exchange &work, millis now);
    [[nodiscard]] static bool isAvoided(const exchange &work, const leaf &candidate, millis now);
    void rememberPause(delegation_id id, const pending_shard &pending, millis now);
    static void endPause(const delegation &from, std::uint32_t shard);
    void learnPauseLength(const send &ended, millis now);
    void
    listAvoidedLeafs(const exchange &work, const shard_call &call, std::vector<std::string> &triedLeafs, millis now);
    void sendFirst(exchange &work, std::size_t call, const std::shared_ptr<leaf> &to, millis now);
    bool sendApart(exchange &work, std::size_t call, const std::shared_ptr<leaf> &to, millis now);
    [[nodiscard]] std::optional<hedge_decision> decideHedge(const exchange &work, millis timeLeft, millis hop) const;
    [[nodiscard]] static millis timeLeftInTime(const exchange &work, millis now);
    void updateHedgeDelay(exchange &work, millis now);
    void recordHedgeDelay(const exchange &work, millis now);
    [[nodiscard]] millis firstReportDelay(const exchange &work, millis cutoffIn) const;
    [[nodiscard]] millis pendingReportDue(const exchange &work, const delegated_work &asked, millis now) const;
    void learnHelperHop(const delegation &from, const delegated_progress &progress, millis now);
    void sendCall(exchange &work, std::size_t call, const std::shared_ptr<leaf> &to, millis now);
    bool trySpendBudget(const service_name &service, double reserve, millis now);
    retry_budget &budgetOf(const service_name &service);
    route_latency &latencyOf(const gateway_route &route);
    void retryCall(exchange &work, std::size_t call, std::string_view cause, millis now);
    void resend(exchange &work, std::size_t call, std::string_view cause, const std::shared_ptr<leaf> &to, millis now);
    void failCall(exchange &work, std::size_t call, std::string_view cause, millis now);
    void acceptPart(exchange &work, std::size_t call, gateway_reply reply, millis now);
    void sendDueHedges(exchange &work, millis now);
    void sendWaiting(exchange &work, millis now);
    void sendWaitingCall(exchange &work, std::size_t call, millis now);
    void rankRoutes();
    [[nodiscard]] bool spendExtra(const exchange &work, const service_name &service, double reserve, millis now);
    [[nodiscard]] bool hasFreePlace(const service_name &service, millis now) const;
    void enlistWaiting(const exchange &work, std::size_t call);
    void withdrawWaiting(const exchange &work);
    [[nodiscard]] std::vector<waiting_position> callsToServe(const service_name &service, millis now);
    void serveWaiting(const service_name &service, const exchange *current, millis now);
    void pollWaiting(exchange &work, std::size_t call, millis now);
    void serveCall(const waiting_position &next, const exchange *current, millis now);
    void onPlaceFreed(const leaf &at, millis now);
    void advanceExchange(exchange &work, millis now);
    void finishGatherIfDone(exchange &work, millis now);
    void advanceDue(const due &next, millis now);
    static void recordSkippedLeafs(exchange &work, const choice &none);
    void addCalls(exchange &work, std::span<const service_name> shards);
    void fanOut(exchange &work, millis now);
    void beginCanary(exchange &work, millis now);
    [[nodiscard]] bool maySendMore(const exchange &work, millis now) const;
    [[nodiscard]] bool mayHedge(const exchange &work, const shard_call &call, millis now) const;
    [[nodiscard]] bool isCanaryAttempt(const exchange &work) const;
    void sendCanaries(exchange &work, millis now);
    [[nodiscard]] std::size_t countLivingLeafs(const service_name &shard, millis now) const;
    [[nodiscard]] bool hasSpareLeaf(const service_name &shard, millis now) const;
    [[nodiscard]] bool mayRiskLastLeaf(const exchange &work, millis now) const;
    void continueCanary(exchange &work, millis now);
    void holdCall(exchange &work, std::size_t call, millis now);
    void endCanary(const exchange &work);
    void releaseHeld(exchange &work, millis now);
    void recordSurvived(exchange &work, millis now);
    static void recordLeafCrash(exchange &work, std::string_view leafId);
    void recordLateOutcome(const send &ended, bool survived, bool leafCrashed, millis now);
    void submitEvidence(exchange &work, millis now);
    void logQuarantineState(exchange_id attempt, const request_fingerprint &key, millis now);
    void refuseQuarantined(const caller_request &request, const gateway_route &route, exchange_id id, millis now);
    [[nodiscard]] bool isResponsive(const std::string &helper, millis now) const;
    [[nodiscard]] std::size_t partCount(const zone_name &zone, std::size_t shards, millis now) const;
    [[nodiscard]] std::string helperFor(const zone_name &zone, std::size_t part, std::size_t parts, millis now);
    void
    planZone(exchange &work, const zone_name &zone, std::span<const std::size_t> calls, helper_plan &plan, millis now);
    [[nodiscard]] zone_vms vmsOf(const zone_name &zone, bool withUnresponsive, millis now) const;
    [[nodiscard]] std::size_t shardsAtOnceIn(const zone_name &zone, millis now) const;
    [[nodiscard]] bool placeZone(exchange &work,
                                 const zone_name &zone,
                                 std::span<const std::vector<std::size_t>> groups,
                                 helper_plan &plan,
                                 millis now);
    [[nodiscard]] std::string
    secondHelperFor(exchange &work, const zone_name &zone, std::size_t part, std::size_t parts, millis now);
    void recordReportDelay(const delegation &from, millis now);
    [[nodiscard]] helper_plan planHelpers(exchange &work, millis now);
    void delegateCalls(exchange &work, const std::string &helper, std::vector<std::size_t> calls, millis now);
    void delegate(exchange &work, const std::string &helper, std::vector<std::size_t> calls, bool second, millis now);
    void sendSecond(exchange &work, std::size_t call, const std::shared_ptr<leaf> &to, millis now);
    void delegateSecondSends(exchange &work, millis now);
    static void recordLateParts(exchange &work, millis now);
    [[nodiscard]] bool maySendSecond(const exchange &work, shard_call &call);
    void countSecondSend(exchange &work, shard_call &call);
    void recordUsefulSecond(exchange &work, shard_call &call);
    static void releaseSecond(exchange &work, shard_call &call);
    [[nodiscard]] static bool markShardDone(delegation &from, std::uint32_t shard);
    void onReportOverdue(delegation_id id, millis now);
    void reclaimDelegation(delegation_id id, std::string_view cause, millis now);
    void resumeCall(exchange &work, std::size_t call, const lost_shard &lost, millis now);
    void onPendingShard(exchange &work, std::size_t call, const pending_shard &pending, millis now);
    void retryIfUnreached(exchange &work, std::size_t call, std::string_view cause, millis now);
    void cancelDelegations(exchange &work, bool callerLeft);
    void acceptDelegatedParts(exchange &work, delegated_progress &progress, delegation &from, millis now);
    [[nodiscard]] static bool
    isUsable(const exchange &work, std::span<const delegated_part> parts, const delegation &from);
    void discardReport(exchange &work, delegated_progress &progress, delegation &from, millis now);
    void takePart(exchange &work, shard_call &call, std::string stamp, millis now);
    void excludeTriedLeafs(exchange &work, std::span<const std::string> leafIds);
    exchange_id refuseDelegated(exchange &work, millis now);
    void reportProgress(exchange &work, bool last, millis now);
    void reportSinglePart(const exchange &work, std::uint32_t shard);
    void sendUnassigned(exchange &work, millis now);
    void answer(exchange &work, exchange_outcome outcome, std::string_view cause, millis now);
    void answerMerged(exchange &work, std::string_view cause, millis now);
    void answerUnserved(exchange &work, std::string_view cause, bool timedOut, millis now);
    void answerWithoutExchange(const caller_request &request,
                               exchange_outcome outcome,
                               std::string_view cause,
                               exchange_id id);
    void erase(exchange_id id);
    void recordAskedLeaf(exchange &work, const leaf &asked, millis now);
    void logAskedLeafs(exchange &work);
    void schedule(exchange &work, millis now);
    [[nodiscard]] std::optional<send> endSend(send_id id);
    [[nodiscard]] exchange *ownerOf(const send &ended);
    void settle(exchange &work, millis now);
    double updateSlowness(leaf &of, const send &ended, const gateway_reply &reply, millis now);
    void updateLeafOnReply(leaf &from, const send &ended, const gateway_reply &reply, millis now);
    void updateCold(leaf &from, millis remaining, millis now);
    void updateLeafOnFailure(leaf &from, send_failure failure, millis now);
    void reportIfChanged(leaf &about, millis now);
    [[nodiscard]] bool applyReport(const leaf_report &report);
    void logEvent(const exchange &work,
                  std::string_view event,
                  std::string_view cause,
                  const leaf *about,
                  const service_name &service,
                  millis input,
                  millis now);
    void logLeafHealth(std::string_view event, std::string_view cause, const leaf &about, millis input);
    [[nodiscard]] const service_name &pickSplitService(const gateway_route &route);
    void answerSingle(exchange &work, gateway_reply reply, millis now);

    gateway_settings m_settings;
    seeded_random m_random;
    std::shared_ptr<const route_table> m_table;
    leaf_directory m_leafs;
    drained_zones m_zones;
    region_policy m_regions;
    std::size_t m_fleetSize;
    std::size_t m_possibleFleetSize; ///< see @ref setFleetSize
    millis m_answersBy = millis::never(); ///< of the planned stop, see @ref beginStop
    std::uint64_t m_seed; ///< differs between VMs
    std::unordered_map<service_name, retry_budget> m_budgets;
    std::unordered_map<std::string, route_latency> m_routeLatencies;
    std::map<std::string, hedge_state> m_hedgeStates; ///< by route
    std::vector<std::shared_ptr<leaf>> m_pausedLeafs; ///< some may answer again already
    quantile_tracker m_pauseLength {0.8, millis(80)}; ///< time of a pause after it was noticed
    quantile_tracker m_helperHop {0.5, millis(3)}; ///< time of the messages to a helper and back
    std::map<std::string, std::map<std::string, double>> m_shareCredits; ///< by route and service, in requests
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> m_exchanges;
    std::unordered_map<send_id, send> m_sends;
    overload_control m_overload;
    vm_load m_ownLoad;
    millis m_ownLoadAt = millis() - millis::never(); ///< when @ref m_ownLoad was measured
    placement::vm_loads m_vmLoads;
    placement::placed_parts m_placed;
    std::vector<helper_vm> m_helpers;
    std::size_t m_ownRank = 0;
    std::unordered_map<std::string, millis> m_unresponsiveUntil; ///< helpers that did not report in time
    std::map<leaf_digest, leaf_report> m_reports; ///< to send to other VMs, by leaf
    request_ledger m_requests;
    seeded_random m_attemptTags; ///< a separate generator, so that tags don't affect the choice of leafs
    std::map<request_fingerprint, exchange_id> m_canaries; ///< the attempt that sends the canary, by suspect request
    std::unordered_map<delegation_id, delegation> m_delegations;
    std::priority_queue<due, std::vector<due>, std::greater<>> m_due;
    std::uint64_t m_nextId = 1;
    std::vector<gateway_action> m_actions;
    priority_scale m_scale;
    std::unordered_map<service_name, double> m_highestUrgency; ///< of the routes that use the service
    std::unordered_map<service_name, waiting_calls> m_waitingCalls; ///< only if routes have priorities
    priority_counts m_priorityCounts;
    send_counts m_sendCounts;
};

/** Size of a record; a shorter remainder at the end of a part is ignored. */
inline constexpr std::size_t recordBytes = 16;

/** @return the greatest @p count records of all parts in descending bytewise order; duplicates are kept. */
[[nodiscard]] std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count);

/** @return all that a merge for @p count records can take from the part: a leaf may send megabytes, and the part waits
 *  for those of slower shards. */
[[nodiscard]] std::string greatestRecords(std::string part, std::size_t count);

} // namespace chivelock
