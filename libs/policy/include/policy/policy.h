#pragma once

/**
 * @file
 * The runner: decides which leaf gets which request of a shard, when a second try starts, when a shard is refused.
 * Pure: events come in with the time, actions come out; no input or output, no thread, no clock.
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
    millis latency; ///< moving average of its answers
};

/** Chooses one of several leafs. @pre the span is not empty. */
template<typename chooser>
concept chooses_replica = requires(const chooser &choose,
                                   std::span<const replica_candidate> candidates,
                                   seeded_random &random)
{
    {
        choose(candidates, random)
        } -> std::same_as<std::size_t>;
};

/** Fewest in flight, then lowest latency. */
struct least_in_flight {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

/** The better of two drawn at random. */
struct power_of_two {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

/** Any, with equal chance; kept as a baseline for measurements. */
struct uniform_choice {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

static_assert(chooses_replica<least_in_flight> && chooses_replica<power_of_two> && chooses_replica<uniform_choice>);

using replica_chooser = std::variant<least_in_flight, power_of_two, uniform_choice>;

/** How a runner treats load; docs/design/ tells which values were measured against which. */
struct runner_settings {
    replica_chooser chooser = least_in_flight();
    std::uint32_t extraInFlight = 1; ///< beyond a leaf's slots, while many requests wait: hides the round trip
    double extraFromWaiting = 2; ///< waiting requests for each slot of a shard from which on the extra is used
    bool hedging = true;
    double hedgeQuantile = 0.93; ///< of the service times; a request older than that gets a second try
    double hedgeBudget = 0.08; ///< second tries for each first try, at most
    std::uint32_t maxHedges = 2; ///< for one shard of one lookup
    bool hedgeOnlyOntoIdle = false; ///< true: never beyond a leaf's slots; false: within the limit in force
    bool hedgeBeforeQueue = true; ///< a due hedge takes the next free slot: its win frees the slot of a straggler
    bool cancelLosers = true;
    double retryBudget = 0.1; ///< tries after a failure for each first try, at most
    std::uint32_t maxTries = 3;
    bool admission = true; ///< refuse at once what would wait too long
    double queueShare = 0.4; ///< of the time left that a request may wait in the queue
    bool urgentFirst = true;
    bool returnedFirst = true; ///< callers who come back when told go before new ordinary ones
    std::uint32_t ordinaryFloor = 8; ///< one in so many sends is ordinary, if one waits
    bool dropExpired = true;
    bool ejection = true;
    std::uint32_t failuresToEject = 5;
    millis ejectFor {1000};
    double maxEjectedShare = 0.5; ///< of a shard's leafs
    millis freshBound {2000}; ///< no new work to a leaf without a sign of staying for so long
    millis probeInterval {500}; ///< a leaf in use is probed so often
    millis firstServiceGuess {10}; ///< before anything was measured
    bool checkReplies = true; ///< false only in tests that show what the check of snapshot, map and shard prevents
};

/** Names one request to a leaf within this process. */
using call_id = std::uint64_t;

/** Send this request to the leaf. */
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
    millis deadline; ///< instant; the leaf is told what remains at the send
    millis notAfter; ///< instant; if the send comes later (the process slept), it must not be made at all
    bool once = false; ///< unrepeatable: no layer below may send it again on its own
};

/** Tell the leaf to drop the request, and report its end. */
struct leaf_cancel {
    call_id id = 0;
    leaf_id leaf;
};

/** Ask the leaf for its health. */
struct leaf_probe {
    leaf_id leaf;
    millis askedAt; ///< instant; the report gives it back
};

/** Tell the root how a shard ended. */
struct runner_reply {
    vm_id to;
    shard_reply reply;
};

/** Tell the root that the run is in hand. */
struct runner_accept {
    vm_id to;
    run_accepted accepted;
};

/** A leaf was seen to leave: peers should know. */
struct leaf_left {
    leaving_leaf leaf;
};

/** An unrepeatable request ended. */
struct once_result {
    std::uint64_t onceId = 0;
    shard_status status = shard_status::Ok;
    bool mayHaveRun = false; ///< false only on proof: never sent, or refused by the leaf itself
    shard_reply reply;
};

using runner_action =
    std::variant<leaf_call, leaf_cancel, leaf_probe, runner_reply, runner_accept, leaf_left, once_result>;

/** How one request to a leaf ended. */
enum class call_status : std::uint8_t {
    Ok,
    NotSent, ///< proof that the leaf never saw it
    Shed, ///< the leaf refused: busy
    Leaving, ///< the leaf refused: it leaves
    SnapshotGone, ///< the leaf refused: it does not hold the snapshot or map version
    Cancelled, ///< the leaf dropped it on our word
    Failed ///< anything else; it may have run
};

/** What a leaf answered. */
struct leaf_reply {
    call_id id = 0;
    call_status status = call_status::Failed;
    shard_id shard;
    snapshot_id snapshot;
    map_version version;
    snapshot_id heldSnapshot; ///< newest one held, with @ref call_status::SnapshotGone
    bool saysLeaving = false; ///< it answers but announces that it leaves
    std::uint64_t incarnation = 0;
    millis retryAfter;
    std::vector<result_row> rows;
};

/** What a leaf says of itself; load is told but not believed. */
struct health_report {
    leaf_id leaf;
    millis askedAt; ///< as in @ref leaf_probe: the report says nothing about any earlier time
    bool reachable = false;
    bool serving = false;
    bool cold = false;
    bool leaving = false;
    std::uint64_t incarnation = 0;
};

/** An unrepeatable request for exactly one shard. */
struct once_request {
    std::uint64_t onceId = 0;
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

/** Tokens that grow with the work done, so that extra work stays a bounded share of it. */
class ratio_budget
{
public:
    explicit ratio_budget(double ratio)
        : m_ratio(ratio)
    {
    }

    void earn();
    [[nodiscard]] bool spend();

private:
    static constexpr double capacity = 20;
    static constexpr double start = 3;
    double m_ratio;
    double m_tokens = start;
};

/** Quantiles of recent times, in buckets a tenth apart; old samples fade. */
class latency_sketch
{
public:
    void add(millis sample);

    /** @return the quantile, or @p fallback with too few samples. */
    [[nodiscard]] millis quantile(double share, millis fallback) const;

    [[nodiscard]] millis mean(millis fallback) const;

private:
    static constexpr std::size_t bucketCount = 128;
    static constexpr double enoughSamples = 20;
    std::array<double, bucketCount> m_buckets {};
    double m_total = 0;
    double m_mean = 0;
};

/** What one process knows of each leaf. */
class leaf_table
{
public:
    explicit leaf_table(const runner_settings &settings)
        : m_settings(settings)
    {
    }

    void onTopology(const topology_document &document);

    /** The leaf gave a sign that it stays. A leaving incarnation stays leaving whatever it says later.
     *  @param askedAt when it was asked, not when the answer was read: an answer may have lain unread while this
     *  process slept, and the leaf may have begun to leave meanwhile. */
    void onSign(leaf_id leaf, std::uint64_t incarnation, millis askedAt);

    /** @return true if this was new. */
    bool onLeaving(leaving_leaf leaf);

    void onCold(leaf_id leaf, bool cold);
    void onSuccess(leaf_id leaf, millis latency);
    void onFailure(leaf_id leaf, millis now);
    void onShed(leaf_id leaf);
    void onSent(leaf_id leaf, millis now);
    void onEnded(leaf_id leaf);
    void onProbed(leaf_id leaf, millis now);

    /** Whether new work may go to the leaf: no evidence that it leaves, and a fresh sign that it stays. */
    [[nodiscard]] bool mayReceive(leaf_id leaf, millis now) const;
    [[nodiscard]] bool isLeaving(leaf_id leaf) const;
    [[nodiscard]] bool isEjected(leaf_id leaf, millis now) const;

    /** Until when a send decided now may be made. */
    [[nodiscard]] millis freshUntil(leaf_id leaf) const;

    /** Requests that the leaf may have from this process. */
    [[nodiscard]] std::uint32_t limit(leaf_id leaf, bool withExtra) const;
    [[nodiscard]] std::uint32_t inFlight(leaf_id leaf) const;
    [[nodiscard]] std::uint32_t slots(leaf_id leaf) const;
    [[nodiscard]] replica_candidate candidate(leaf_id leaf) const;

    /** Leafs in use whose last probe is older than the interval. */
    [[nodiscard]] std::vector<leaf_id> dueForProbe(millis now) const;

    /** Whether a probe is wanted at once and none went out just now. */
    [[nodiscard]] bool needsProbe(leaf_id leaf, millis now) const;

    /** Leafs of the shards that this process runs; they are kept probed while idle. */
    void setOwned(std::span<const leaf_id> leafs);

private:
    struct leaf_state {
        leaf_info info;
        std::uint64_t incarnation = 0;
        std::optional<std::uint64_t> leavingIncarnation;
        std::optional<millis> lastSign;
        std::optional<millis> lastProbe;
        std::optional<millis> lastUse;
        bool owned = false;
        bool cold = false;
        std::uint32_t inFlight = 0;
        double shedLimit = 0; ///< falls when the leaf sheds, grows with each success
        double latency = 0;
        std::uint32_t failures = 0;
        std::optional<millis> ejectedUntil;
    };

    leaf_state *find(leaf_id leaf);
    [[nodiscard]] const leaf_state *find(leaf_id leaf) const;

    const runner_settings &m_settings;
    std::unordered_map<leaf_id, leaf_state> m_leafs;
};

/** Counts for metrics; they only rise. */
struct runner_counters {
    std::uint64_t firstTries = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgeWins = 0;
    std::uint64_t cancels = 0;
    std::uint64_t refusedOverload = 0; ///< our own refusals
    std::uint64_t leafSheds = 0; ///< refusals of leafs
    std::uint64_t leafFailures = 0;
    std::uint64_t staleReplies = 0; ///< late or doubled, dropped
    std::uint64_t mismatchedReplies = 0; ///< of another shard, snapshot or map, dropped
    std::uint64_t droppedExpired = 0;
};

/** Runs shards at leafs for every root of the fleet. */
class runner_engine
{
public:
    runner_engine(runner_settings settings, std::uint64_t seed);
    runner_engine(const runner_engine &) = delete;
    runner_engine &operator=(const runner_engine &) = delete;

    using actions = std::vector<runner_action>;

    void onTopology(const topology_ptr &document);
    void onRun(vm_id root, const run_shards &run, millis now, actions &out);
    void onOnce(const once_request &request, millis now, actions &out);
    void onProbe(vm_id root, const run_probe &probe, actions &out) const;
    void onCancel(const run_cancel &cancel, millis now, actions &out);
    void onLeafReply(const leaf_reply &reply, millis now, actions &out);
    void onHealth(const health_report &report, millis now, actions &out);
    void onLeaving(leaving_leaf leaf);
    void setOwned(std::span<const leaf_id> leafs);
    void tick(millis now, actions &out);

    [[nodiscard]] const runner_counters &counters() const
    {
        return m_counters;
    }

    /** Shards in hand, waiting or at a leaf. */
    [[nodiscard]] std::size_t taskCount() const
    {
        return m_tasks.size();
    }

    /** When @ref tick has something to do next. */
    [[nodiscard]] millis nextTimer() const
    {
        return m_timers.empty() ? millis::never() : m_timers.top().at;
    }

    /** Requests at leafs that have not ended. */
    [[nodiscard]] std::size_t callCount() const
    {
        return m_calls.size();
    }

private:
    using task_id = std::uint64_t;

    /** The queue and measurements of one shard. */
    struct shard_state {
        std::deque<task_id> urgentQueue;
        std::deque<task_id> returnedQueue; ///< ordinary, of callers who come back when told
        std::deque<task_id> ordinaryQueue;
        std::deque<call_id> dueHedges; ///< requests whose second try waits for a free slot
        std::size_t urgentWaiting = 0; ///< queues also hold tasks that ended meanwhile; these counts do not
        std::size_t returnedWaiting = 0;
        std::size_t ordinaryWaiting = 0;
        std::vector<leaf_id> leafs;
        std::uint32_t sendsSinceOrdinary = 0;
        double urgentShare = 0; ///< of recent sends
        double recentRefusals = 0; ///< each with a promised place; fades with each new one
        double recentReturns = 0; ///< callers who took their place; fades alike
        millis nextReturn; ///< when the next refused caller is told to come back
    };

    struct shard_place {
        service_name service;
        map_version version;
        shard_id shard;
        bool operator==(const shard_place &) const = default;
    };

    struct place_hash {
        std::size_t operator()(const shard_place &place) const noexcept;
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
        shard_place place;
        snapshot_id snapshot;
        urgency priority = urgency::Ordinary;
        bool cameBack = false;
        std::uint32_t maxRows = 0;
        std::shared_ptr<const std::string> body;
        millis deadline;
        millis arrived;
        bool queued = false;
        std::optional<std::uint64_t> onceId;
        std::uint32_t tries = 0;
        std::uint32_t hedges = 0;
        std::vector<call_id> calls;
        std::vector<leaf_id> failedAt;
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
        std::optional<std::uint64_t> onceId;
    };

    enum class timer_purpose : std::uint8_t {
        Expire,
        Hedge
    };

    struct timer {
        millis at;
        timer_purpose purpose;
        std::uint64_t target; ///< task for expire, call for hedge
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

    [[nodiscard]] bool isInHand(const attempt_key &attempt, shard_id shard) const;
    shard_state *findShard(const shard_place &place);
    service_state &serviceOf(const service_name &name);
    void admit(task_id id, task &&entry, millis now, actions &out);
    [[nodiscard]] millis predictedWait(const shard_state &shard, const task &entry, millis acceptable, millis now);
    void refuse(task_id id, shard_state &shard, millis excess, millis now, actions &out);
    void enqueue(task_id id, bool atFront);
    void dispatch(const shard_place &place, millis now, actions &out);
    std::optional<task_id> popNext(shard_state &shard);
    enum class queue_rank : std::uint8_t {
        Urgent,
        Returned,
        Ordinary
    };

    /** One queue of a shard: its tasks, and how many of them have not ended. */
    struct queue_view {
        std::deque<task_id> &tasks;
        std::size_t &waiting;
    };

    [[nodiscard]] queue_rank rankOf(const task &entry) const;
    static queue_view queueOf(shard_state &shard, queue_rank rank);
    void leaveQueue(task &entry);
    static void tellLateOnce(const call &ended, const leaf_reply &reply, actions &out);
    [[nodiscard]] static bool queuesEmpty(const shard_state &shard);
    [[nodiscard]] static std::size_t waitingIn(const shard_state &shard);
    [[nodiscard]] bool usesExtra(const shard_state &shard) const;
    std::optional<leaf_id> chooseLeaf(const shard_state &shard, const task &entry, bool onlyIdle, millis now);
    void probeStale(const shard_state &shard, millis now, actions &out);
    [[nodiscard]] bool cannotFinish(const task &entry, millis now);
    void send(task_id id, leaf_id leaf, bool isHedge, millis now, actions &out);
    void onHedgeDue(call_id id, millis now, actions &out);
    bool tryHedge(call_id id, const shard_state &shard, millis now, actions &out);
    void sendDueHedges(shard_state &shard, millis now, actions &out);
    void onValidAnswer(task_id id, call_id winner, const leaf_reply &reply, millis now, actions &out);
    void onFailedTry(task_id id, leaf_id leaf, const leaf_reply &reply, millis now, actions &out);
    [[nodiscard]] bool mayRetry(task &entry, const leaf_reply &reply, millis now);
    void endTask(task_id id, shard_reply reply, millis now, actions &out);
    [[nodiscard]] shard_reply replyFor(const task &entry, shard_status status) const;
    [[nodiscard]] static shard_status statusOfFailure(const task &entry, call_status last);
    void expire(task_id id, millis now, actions &out);
    void noteLeafEvidence(const leaf_reply &reply, const call &ended, millis now, actions &out);
    void redispatchShardsOf(leaf_id leaf, millis now, actions &out);

    runner_settings m_settings;
    seeded_random m_random;
    leaf_table m_leafs;
    std::unordered_map<service_name, service_state> m_services;
    std::unordered_map<shard_place, shard_state, place_hash> m_shards;
    std::unordered_map<leaf_id, std::vector<shard_place>> m_placesOfLeaf;
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
