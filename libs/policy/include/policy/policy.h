#pragma once

/**
 * @file
 * The runner: selects the leaf for each shard request, starts hedges and retries, and refuses shards under overload.
 * It does no I/O and uses no threads or clock: each event is passed in with the current time, and the resulting actions
 * are returned to the caller.
 */

#include <base/base.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <array>
#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelock {

/** A leaf that could take a request now. */
struct replica_candidate {
    leaf_id leaf;
    std::uint32_t inFlight = 0;
    millis latency; ///< moving average over its successful answers
};

/** Selects the index of one candidate. @pre the span is not empty. */
template<typename chooser>
concept chooses_replica = requires(const chooser &choose,
                                   std::span<const replica_candidate> candidates,
                                   seeded_random &random)
{
    {
        choose(candidates, random)
        } -> std::same_as<std::size_t>;
};

/** Selects the leaf with the fewest requests in flight; ties go to the lowest latency. */
struct least_in_flight {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

/** Draws two leafs at random and selects the less loaded one (power of two choices). */
struct power_of_two {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

/** Selects a leaf uniformly at random; the baseline for measurements. */
struct uniform_choice {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

static_assert(chooses_replica<least_in_flight> && chooses_replica<power_of_two> && chooses_replica<uniform_choice>);

using replica_chooser = std::variant<least_in_flight, power_of_two, uniform_choice>;

/**
 * Load handling of a runner: leaf selection, queueing, admission, hedging, retries and ejection.
 * A scheduled retry is a refused request that the caller repeats after the Retry-After time it was given.
 */
struct runner_settings {
    replica_chooser chooser = least_in_flight();
    std::uint32_t extraInFlight = 1; ///< sent beyond a leaf's slots while many requests wait; hides the round-trip time
    double extraMinWaitingPerSlot = 2; ///< waiting requests per slot of a shard at which @ref extraInFlight applies
    bool hedging = true;
    double hedgeQuantile = 0.93; ///< quantile of the service times after which a running request is hedged
    double hedgeBudget = 0.08; ///< hedges per first send, at most
    std::uint32_t maxHedges = 2; ///< for one shard of one lookup
    bool hedgeOnlyOntoFreeSlots = false; ///< true: hedge only onto free slots; false: up to the leaf's in-flight limit
    bool hedgeBeforeQueue = true; ///< a due hedge takes the next free slot; if it wins, a straggler's slot is freed
    bool cancelLosers = true; ///< cancel the requests still at leafs when another one has answered the shard
    double retryBudget = 0.1; ///< retries after a failure per first send, at most
    std::uint32_t maxSends = 3; ///< first send and retries of one shard; hedges not counted
    bool admission = true; ///< refuse a request at once if its predicted wait is too long
    double maxQueueWaitShare = 0.4; ///< share of the remaining time that a request may spend in the queue
    bool urgentFirst = true;
    bool scheduledRetriesFirst = true; ///< scheduled retries go before new ordinary requests
    std::uint32_t ordinaryFloor = 8; ///< at least one send in this many is not urgent, if such a request waits
    bool dropExpired = true; ///< do not send a queued request that cannot be answered before its deadline
    bool ejectionEnabled = true;
    std::uint32_t failuresToEject = 5; ///< consecutive failures
    millis ejectionDuration {1000};
    double maxEjectedShare = 0.5; ///< of a shard's leafs; if more are to be avoided, they are used all the same
    millis maxHealthAge {2000}; ///< a leaf whose health was last confirmed longer ago gets no new work
    millis probeInterval {500}; ///< between health probes of a leaf in use
    millis initialServiceTime {10}; ///< assumed until service times have been measured
    bool checkReplies = true; ///< false only in tests that show what the check of snapshot, map and shard prevents
};

/** Identifies one request to a leaf within this process. */
using call_id = std::uint64_t;

/** Action: send this request to the leaf. */
struct leaf_call {
    call_id id = 0;
    leaf_id leaf;
    std::string requestId;
    service_name service;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    urgency priority = urgency::Ordinary;
    std::uint32_t maxRows = 0;
    std::shared_ptr<const std::string> body;
    millis deadline; ///< instant; the leaf receives the time that remains at the send
    millis notAfter; ///< instant; a send delayed past it, for example by a process pause, must be dropped
    bool once = false; ///< non-idempotent: the lower layers must not resend it on their own
};

/** Action: cancel the request at the leaf, and report how it ended. */
struct leaf_cancel {
    call_id id = 0;
    leaf_id leaf;
};

/** Action: request the health of the leaf. */
struct leaf_probe {
    leaf_id leaf;
    millis askedAt; ///< instant; copied into the @ref health_report
};

/** Action: send the result of a shard to the root. */
struct runner_reply {
    vm_id to;
    shard_reply reply;
};

/** Action: confirm to the root that the run was received or is in progress. */
struct runner_accept {
    vm_id to;
    run_accepted accepted;
};

/** Action: notify the peers that a leaf is leaving. */
struct leaving_leaf_report {
    leaving_leaf leaf;
};

/** Action: report the result of a non-idempotent request. */
struct at_most_once_result {
    std::uint64_t atMostOnceId = 0;
    shard_status status = shard_status::Ok;
    bool mayHaveRun = false; ///< false only if proven: never sent, or refused by the leaf itself
    shard_reply reply;
};

using runner_action = std::
    variant<leaf_call, leaf_cancel, leaf_probe, runner_reply, runner_accept, leaving_leaf_report, at_most_once_result>;

/** How one request to a leaf ended. */
enum class call_status : std::uint8_t {
    Ok,
    NotSent, ///< proven not to have reached the leaf
    Shed, ///< refused by the leaf: overloaded
    Leaving, ///< refused by the leaf: it is leaving
    SnapshotGone, ///< refused by the leaf: it does not hold the snapshot or map version
    Cancelled, ///< dropped by the leaf after a @ref leaf_cancel
    Failed ///< any other failure; the leaf may have run the request
};

/** A leaf's reply to one request. */
struct leaf_reply {
    call_id id = 0;
    call_status status = call_status::Failed;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    snapshot_id heldSnapshot; ///< newest snapshot that the leaf holds, with @ref call_status::SnapshotGone
    bool announcesLeaving = false; ///< the leaf answered, and announces that it is leaving
    std::uint64_t incarnation = 0;
    millis retryAfter;
    std::vector<result_row> rows;
};

/** A leaf's report of its own health. The load that a leaf reports is not trusted, and not part of it. */
struct health_report {
    leaf_id leaf;
    millis askedAt; ///< from @ref leaf_probe; the report confirms the leaf's health as of this time, not of its arrival
    bool reachable = false;
    bool serving = false;
    bool cold = false;
    bool leaving = false;
    std::uint64_t incarnation = 0;
};

/** A non-idempotent request for exactly one shard; it runs at most once. */
struct at_most_once_request {
    std::uint64_t atMostOnceId = 0;
    std::string requestId;
    service_name service;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    urgency priority = urgency::Ordinary;
    std::uint32_t maxRows = 0;
    std::shared_ptr<const std::string> body;
    millis deadline; ///< instant
};

/** Token budget: each first send deposits a fraction of a token, so that extra sends stay a bounded share of them. */
class ratio_budget
{
public:
    explicit ratio_budget(double ratio)
        : m_ratio(ratio)
    {
    }

    void deposit();

    /** Takes one token. @return false if none is left. */
    [[nodiscard]] bool tryWithdraw();

private:
    static constexpr double maxTokens = 20;
    static constexpr double initialTokens = 3;
    double m_ratio;
    double m_tokens = initialTokens;
};

/** Quantiles and mean of recent times. Each bucket is 10 % wider than the one before; old samples decay. */
class latency_sketch
{
public:
    void add(millis sample);

    /** @return the quantile, or @p fallback while there are too few samples. */
    [[nodiscard]] millis quantile(double share, millis fallback) const;

    [[nodiscard]] millis mean(millis fallback) const;

private:
    static constexpr std::size_t bucketCount = 128;
    static constexpr double minSamples = 20;
    std::array<double, bucketCount> m_buckets {};
    double m_total = 0;
    double m_mean = 0;
};

/** Health, load and limits of each leaf, as observed by this process. */
class leaf_table
{
public:
    explicit leaf_table(const runner_settings &settings)
        : m_settings(settings)
    {
    }

    void onTopology(const topology_document &document);

    /** Records that the leaf was healthy as of @p askedAt. An incarnation that is leaving stays leaving, whatever it
     *  reports later.
     *  @param askedAt when the leaf was asked, not when its answer was read: an answer may have waited unread during a
     *  process pause, and the leaf may have started to leave in that time. */
    void onHealthConfirmed(leaf_id leaf, std::uint64_t incarnation, millis askedAt);

    /** @return true if the leaf was not known to be leaving. */
    bool onLeaving(leaving_leaf leaf);

    void setCold(leaf_id leaf, bool cold);
    void onSuccess(leaf_id leaf, millis latency);
    void onFailure(leaf_id leaf, millis now);
    void onShed(leaf_id leaf);
    void onCallSent(leaf_id leaf, millis now);
    void onCallEnded(leaf_id leaf);
    void onProbeSent(leaf_id leaf, millis now);

    /** Whether new work may be sent to the leaf: not known to be leaving, and its health was confirmed recently. */
    [[nodiscard]] bool mayReceive(leaf_id leaf, millis now) const;
    [[nodiscard]] bool isLeaving(leaf_id leaf) const;
    [[nodiscard]] bool isEjected(leaf_id leaf, millis now) const;

    /** When the latest confirmation of the leaf's health expires; a send decided now must not be made later. */
    [[nodiscard]] millis healthValidUntil(leaf_id leaf) const;

    /** The number of requests that this process may have in flight at the leaf. */
    [[nodiscard]] std::uint32_t inFlightLimit(leaf_id leaf, bool withExtra) const;
    [[nodiscard]] std::uint32_t inFlight(leaf_id leaf) const;
    [[nodiscard]] std::uint32_t slots(leaf_id leaf) const;
    [[nodiscard]] replica_candidate candidate(leaf_id leaf) const;

    /** Leafs in use whose last probe was sent at least a probe interval ago. */
    [[nodiscard]] std::vector<leaf_id> leafsDueForProbe(millis now) const;

    /** Whether the leaf needs an immediate probe: its health must be confirmed, and none was sent very recently. */
    [[nodiscard]] bool needsProbe(leaf_id leaf, millis now) const;

    /** Sets the leafs of the shards that this process runs; they are probed even while idle. @pre sorted. */
    void setOwnedLeafs(std::span<const leaf_id> leafs);

private:
    struct leaf_state {
        leaf_info info;
        std::uint64_t incarnation = 0;
        std::optional<std::uint64_t> leavingIncarnation;
        std::optional<millis> healthConfirmedAt;
        std::optional<millis> lastProbe;
        std::optional<millis> lastUse;
        bool owned = false;
        bool cold = false;
        std::uint32_t inFlight = 0;
        double concurrencyLimit = 0; ///< multiplied down when the leaf sheds a request, raised by each success
        double latency = 0;
        std::uint32_t failures = 0;
        std::optional<millis> ejectedUntil;
    };

    leaf_state *find(leaf_id leaf);
    [[nodiscard]] const leaf_state *find(leaf_id leaf) const;

    const runner_settings &m_settings;
    std::unordered_map<leaf_id, leaf_state> m_leafs;
};

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
