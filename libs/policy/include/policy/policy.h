#pragma once

/**
 * @file
 * The runner: selects the leaf for each shard request, starts hedges and retries, and refuses shards under overload.
 * It does no I/O and uses no threads or clock: each event is passed in with the current time, and the resulting actions
 * are returned to the caller.
 */

#include "budget_and_latency.h"
#include "leaf_table.h"
#include "replica_choice.h"
#include "runner_messages.h"
#include "runner_settings.h"

#include <base/base.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelock {

/** Monotonic counters for metrics. */
struct runner_counters {
    std::uint64_t firstSends = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgeWins = 0;
    std::uint64_t cancels = 0;
    std::uint64_t refusedOverload = 0; ///< shards refused by this runner's admission control
    std::uint64_t leafSheds = 0; ///< requests refused by overloaded leafs
    std::uint64_t leafFailures = 0;
    std::uint64_t staleReplies = 0; ///< late or duplicate replies, dropped
    std::uint64_t mismatchedReplies = 0; ///< replies for another shard, snapshot or map version, dropped
    std::uint64_t droppedExpired = 0;
};

/** Runs shards on leafs on behalf of all roots of the fleet. */
class runner_engine
{
public:
    runner_engine(runner_settings settings, std::uint64_t seed);
    runner_engine(const runner_engine &) = delete;
    runner_engine &operator=(const runner_engine &) = delete;

    using actions = std::vector<runner_action>;

    void onTopology(const topology_ptr &document);
    void onRun(vm_id root, const run_shards &run, millis now, actions &out);
    void onAtMostOnceRequest(const at_most_once_request &request, millis now, actions &out);
    void onProbe(vm_id root, const run_probe &probe, actions &out) const;
    void onCancel(const run_cancel &cancel, millis now, actions &out);
    void onLeafReply(const leaf_reply &reply, millis now, actions &out);
    void onHealth(const health_report &report, millis now, actions &out);
    void onLeaving(leaving_leaf leaf);
    void setOwnedLeafs(std::span<const leaf_id> leafs);
    void tick(millis now, actions &out);

    [[nodiscard]] const runner_counters &counters() const
    {
        return m_counters;
    }

    /** Shards in progress, queued or at a leaf. */
    [[nodiscard]] std::size_t taskCount() const
    {
        return m_tasks.size();
    }

    /** When the next timer is due and @ref tick must be called. */
    [[nodiscard]] millis nextTimer() const
    {
        return m_timers.empty() ? millis::never() : m_timers.top().at;
    }

    /** Requests in flight at leafs. */
    [[nodiscard]] std::size_t callCount() const
    {
        return m_calls.size();
    }

private:
    using task_id = std::uint64_t;

    /** The queue and measurements of one shard. */
    struct shard_state {
        std::deque<task_id> urgentQueue;
        std::deque<task_id> scheduledRetryQueue; ///< ordinary requests repeated after their Retry-After time
        std::deque<task_id> ordinaryQueue;
        std::deque<call_id> dueHedges; ///< requests whose hedge waits for a free slot
        std::size_t urgentWaiting = 0; ///< excludes tasks that have ended, as do the other counts; the queues hold them
        std::size_t scheduledRetriesWaiting = 0;
        std::size_t ordinaryWaiting = 0;
        std::vector<leaf_id> leafs;
        std::uint32_t sendsSinceOrdinary = 0;
        double urgentShare = 0; ///< of recent sends
        double recentRefusals = 0; ///< refusals with a Retry-After time; decayed by each new refusal
        double recentScheduledRetries = 0; ///< callers that retried after that time; decayed by each new refusal
        millis nextRetryTime; ///< instant; latest reserved retry time, the next refused caller gets a later one
    };

    /** Identifies a shard within one map version of a service. */
    struct shard_ref {
        service_name service;
        map_version version;
        shard_id shard;
        bool operator==(const shard_ref &) const = default;
    };

    struct shard_ref_hash {
        std::size_t operator()(const shard_ref &shardRef) const noexcept;
    };

    /** Measurements and budgets of one service. */
    struct service_state {
        explicit service_state(const runner_settings &settings)
            : hedges(settings.hedgeBudget)
            , retries(settings.retryBudget)
        {
        }
        latency_sketch times;
        ratio_budget hedges;
        ratio_budget retries;
    };

    struct task {
        vm_id root;
        request_key key;
        std::uint32_t attempt = 0;
        std::string requestId;
        shard_ref shardRef;
        snapshot_id snapshot;
        urgency priority = urgency::Ordinary;
        bool honouredRetryAfter = false;
        std::uint32_t maxRows = 0;
        std::shared_ptr<const std::string> body;
        millis deadline;
        millis arrived;
        bool queued = false;
        std::optional<std::uint64_t> atMostOnceId;
        std::uint32_t unhedgedSends = 0;
        std::uint32_t hedges = 0;
        std::vector<call_id> calls;
        std::vector<leaf_id> failedLeafs;
        snapshot_id heldSnapshot;
        bool sawSnapshotGone = false;
        bool mayHaveRun = false;
    };

    struct call {
        task_id owner = 0; ///< 0 once the task has ended
        leaf_id leaf;
        service_name service;
        millis sentAt;
        bool isHedge = false;
        bool cancelled = false;
        std::optional<std::uint64_t> atMostOnceId;
    };

    enum class timer_purpose : std::uint8_t {
        Expire,
        Hedge
    };

    struct timer {
        millis at;
        timer_purpose purpose;
        std::uint64_t target; ///< a task for Expire, a call for Hedge
        bool operator>(const timer &other) const
        {
            return at > other.at;
        }
    };

    struct attempt_key {
        request_key key;
        std::uint32_t attempt = 0;
        bool operator==(const attempt_key &) const = default;
    };

    struct attempt_hash {
        std::size_t operator()(const attempt_key &value) const noexcept
        {
            return std::hash<request_key>()(value.key) * 31 + value.attempt;
        }
    };

    [[nodiscard]] bool isInProgress(const attempt_key &attempt, shard_id shard) const;
    shard_state *findShard(const shard_ref &shardRef);
    service_state &serviceOf(const service_name &name);
    void admit(task_id id, task &&entry, millis now, actions &out);
    [[nodiscard]] millis predictedWait(const shard_state &shard, const task &entry, millis acceptable, millis now);
    void refuse(task_id id, shard_state &shard, millis excessWait, millis now, actions &out);
    void enqueue(task_id id, bool atFront);
    void dispatch(const shard_ref &shardRef, millis now, actions &out);
    std::optional<task_id> popNext(shard_state &shard);
    enum class queue_rank : std::uint8_t {
        Urgent,
        ScheduledRetry,
        Ordinary
    };

    /** One queue of a shard, and the number of its tasks that have not ended. */
    struct queue_view {
        std::deque<task_id> &tasks;
        std::size_t &waiting;
    };

    [[nodiscard]] queue_rank rankOf(const task &entry) const;
    static queue_view queueOf(shard_state &shard, queue_rank rank);
    /** Takes the task out of the waiting count; its id may still be in the queue. */
    void markDequeued(task &entry);
    static void reportLateAtMostOnceResult(const call &ended, const leaf_reply &reply, actions &out);
    [[nodiscard]] static bool queuesEmpty(const shard_state &shard);
    [[nodiscard]] static std::size_t waitingCount(const shard_state &shard);
    [[nodiscard]] bool usesExtra(const shard_state &shard) const;
    std::optional<leaf_id> chooseLeaf(const shard_state &shard, const task &entry, bool onlyIdle, millis now);
    void probeStaleLeafs(const shard_state &shard, millis now, actions &out);
    [[nodiscard]] bool cannotFinishInTime(const task &entry, millis now);
    void send(task_id id, leaf_id leaf, bool isHedge, millis now, actions &out);
    void onHedgeDue(call_id id, millis now, actions &out);
    bool tryHedge(call_id id, const shard_state &shard, millis now, actions &out);
    void sendDueHedges(shard_state &shard, millis now, actions &out);
    void onValidAnswer(task_id id, call_id winner, const leaf_reply &reply, millis now, actions &out);
    void onFailedCall(task_id id, leaf_id leaf, const leaf_reply &reply, millis now, actions &out);
    [[nodiscard]] bool mayRetry(task &entry, const leaf_reply &reply, millis now);
    void endTask(task_id id, shard_reply reply, millis now, actions &out);
    [[nodiscard]] shard_reply replyFor(const task &entry, shard_status status) const;
    [[nodiscard]] static shard_status statusOfFailure(const task &entry, call_status last);
    void expire(task_id id, millis now, actions &out);
    void updateLeafHealth(const leaf_reply &reply, const call &ended, millis now, actions &out);
    void redispatchShardsOf(leaf_id leaf, millis now, actions &out);

    runner_settings m_settings;
    seeded_random m_random;
    leaf_table m_leafs;
    std::unordered_map<service_name, service_state> m_services;
    std::unordered_map<shard_ref, shard_state, shard_ref_hash> m_shards;
    std::unordered_map<leaf_id, std::vector<shard_ref>> m_shardsOfLeaf;
    std::map<service_name, std::deque<map_version>> m_heldVersions;
    std::unordered_map<task_id, task> m_tasks;
    std::unordered_map<attempt_key, std::vector<task_id>, attempt_hash> m_attempts;
    std::unordered_map<call_id, call> m_calls;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    runner_counters m_counters;
    std::uint64_t m_nextId = 1;
    millis m_nextProbeRound;
};

} // namespace chivelock
