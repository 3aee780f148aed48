#pragma once

/**
 * @file
 * The root of a lookup: it assigns the shards to runners, pins one snapshot, collects the shard replies and produces
 * the single final answer. Also the tickets that make a non-idempotent lookup run at most once. The code does no I/O
 * and reads no clock: callers pass in events with the current time and carry out the returned actions.
 */

#include <base/base.h>
#include <catalogue/catalogue.h>
#include <membership/membership.h>
#include <policy/policy.h>
#include <topology/topology.h>
#include <wire/wire.h>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chivelock {

/** Identifies one waiting caller within this process. */
using caller_id = std::uint64_t;

struct lookup_request {
    caller_id caller = 0;
    std::string requestId;
    kind_name kind;
    std::string shardKey; ///< selects the shard, for kinds that query a single shard
    std::string body;
    millis remaining; ///< time left until the caller's own limit; capped by the hard limit of the kind
    std::string ticket; ///< for non-idempotent kinds; empty if the caller has none yet
    bool honouredRetryAfter = false; ///< the request was refused before and is retried after the given Retry-After time
};

/** Limits and timeouts of the root. The measurements behind the defaults are in docs/design/. */
struct root_settings {
    bool direct = false; ///< run every shard in this process (the baseline); otherwise only if a runner is unusable
    millis ackTimeout {25}; ///< a runner that does not answer a run or a probe within this time counts as stalled
    millis stalledRunnerCooldown {1000}; ///< how long a stalled or unreachable runner gets no new runs
    std::uint32_t maxRestarts = 2; ///< restarts of one lookup on a newer snapshot
    millis refusalCacheTtl {0}; ///< how long a refusal also applies to new lookups of the same service and priority
    std::size_t maxLookups = 20000; ///< lookups in flight; further ones are refused immediately
};

/** Action: send a message to a peer or to this process's own runner. */
struct peer_send {
    vm_id to;
    peer_message message;
};

/** Action: give a caller the final answer. */
struct caller_answer {
    caller_id caller = 0;
    lookup_answer answer;
};

/** Action: fetch the topology from the platform now. The leafs of a shard no longer hold the pinned snapshot and may
 *  already hold a newer one. */
struct topology_refresh {
};

using root_action = std::variant<peer_send, caller_answer, topology_refresh>;

/** Monotonic counters for metrics. */
struct root_counters {
    std::uint64_t lookups = 0;
    std::uint64_t staleReplies = 0; ///< dropped: late, duplicate, or of another attempt
    std::uint64_t mismatchedReplies = 0; ///< dropped: of another snapshot or map version
    std::uint64_t restarts = 0; ///< lookups restarted on a newer snapshot
    std::uint64_t reroutes = 0; ///< shards taken over from a runner that was unresponsive or could not use their leafs
    std::uint64_t refusedLocally = 0; ///< lookups refused by limits of this process before anything was sent
};

/** Checks that a test can switch off to show what each one prevents. Production code leaves all of them on. */
struct root_guards {
    bool checkSnapshot = true;
    bool checkAttempt = true;
    bool dropDuplicates = true;
};

/** Merges the rows of all shards by @p rule. @return at most @p maxRows rows. */
[[nodiscard]] std::vector<result_row>
mergeRows(merge_rule rule, std::vector<std::vector<result_row>> parts, std::uint32_t maxRows);

/** @return the shard that stores @p key. @pre @p shards is not empty. */
[[nodiscard]] shard_id shardOfKey(std::string_view key, std::span<const shard_info> shards);

/** Limits each kind to this process's share of its fleet-wide limits: the limit divided by the number of listed VMs,
 *  but at least one. VMs need no coordination for that, and both sides of a network partition together stay within the
 *  limit, apart from rounding: a VM admits at least one lookup and rounds its in-flight share up. */
class kind_limiter
{
public:
    /** Admits one lookup. @return nothing if it is admitted, otherwise the time after which to retry. */
    std::optional<millis> admit(const kind_entry &kind, std::size_t listedVms, millis now);

    /** Frees the in-flight slot of an admitted lookup that has ended. */
    void release(const kind_name &kind);

private:
    struct kind_usage {
        std::uint32_t inFlight = 0;
        double tokens = -1; ///< token bucket; negative before the first fill
        millis refilled;
    };

    std::unordered_map<kind_name, kind_usage> m_usage;
};

/** Runs the lookups that this process is the root of. */
class root_engine
{
public:
    root_engine(
        vm_id self, std::uint64_t incarnation, root_settings settings, std::uint64_t seed, root_guards guards = {});
    root_engine(const root_engine &) = delete;
    root_engine &operator=(const root_engine &) = delete;

    using actions = std::vector<root_action>;

    void onTopology(const topology_ptr &document, millis now, actions &out);
    void onCatalogue(std::shared_ptr<const catalogue_document> document);

    /** Starts an idempotent lookup. @p members supplies the runners that the shards are assigned to. */
    void submit(const lookup_request &request, const membership &members, millis now, actions &out);

    void onAccepted(vm_id from, const run_accepted &accepted, millis now);
    void onReply(vm_id from, const shard_reply &reply, const membership &members, millis now, actions &out);

    /** Moves the waiting shards of an unreachable runner to this process immediately. */
    void onUnreachable(vm_id runner, const membership &members, millis now, actions &out);
    void tick(const membership &members, millis now, actions &out);

    /** Gives every lookup in flight its final answer. Called when the time limit of a shutdown is reached. */
    void finishAllLookups(millis now, actions &out);

    [[nodiscard]] std::size_t inFlight() const
    {
        return m_lookups.size();
    }

    /** @return the time at which @ref tick has work to do next. */
    [[nodiscard]] millis nextTimer() const
    {
        return m_timers.empty() ? millis::never() : m_timers.top().at;
    }

    [[nodiscard]] const root_counters &counters() const
    {
        return m_counters;
    }

    /** The limiter also covers the non-idempotent lookups of this process. */
    [[nodiscard]] kind_limiter &limiter()
    {
        return m_limiter;
    }

private:
    using sequence = std::uint64_t;

    enum class shard_phase : std::uint8_t {
        Waiting,
        Covered,
        Missing
    };

    struct shard_progress {
        shard_id id;
        shard_phase phase = shard_phase::Waiting;
        vm_id runner;
        std::uint32_t reroutes = 0;
        answer_reason reason = answer_reason::None;
        std::vector<result_row> rows;
    };

    struct runner_progress {
        vm_id vm;
        millis lastMessageAt;
        std::optional<millis> awaitingAckSince;
        std::size_t outstanding = 0;
    };

    struct lookup {
        lookup_request request;
        kind_entry kind;
        millis started;
        millis deadline;
        millis softDeadline;
        std::uint32_t attempt = 1;
        snapshot_id snapshot;
        map_version version;
        std::vector<shard_progress> shards; ///< sorted by id
        std::vector<runner_progress> runners;
        std::size_t waiting = 0;
        std::size_t covered = 0;
        std::uint32_t leafAttempts = 0;
        std::shared_ptr<const std::string> body;
        millis retryAfter;
        std::size_t refusedShards = 0; ///< refused by their runners before any leaf received them
    };

    enum class timer_purpose : std::uint8_t {
        Soft,
        Hard,
        Liveness
    };

    struct timer {
        millis at;
        timer_purpose purpose;
        sequence target;
        bool operator>(const timer &other) const
        {
            return at > other.at;
        }
    };

    /** A recent refusal by a runner. New lookups are refused because of it before anything is sent. */
    struct cached_refusal {
        millis expires;
        millis retryAt;
    };

    /** The owner of each shard of a service, valid for one map version and membership epoch. */
    struct owner_cache {
        map_version version;
        snapshot_id snapshot;
        std::uint64_t epoch = 0;
        std::vector<vm_id> owners;
    };

    /** The Retry-After time is the default one of the reason. */
    [[nodiscard]] lookup_answer makeRefusal(const lookup_request &request, answer_reason reason) const;
    [[nodiscard]] lookup_answer
    makeRefusal(const lookup_request &request, answer_reason reason, millis retryAfter) const;
    std::optional<lookup_answer>
    checkLimits(const lookup_request &request, const kind_entry &kind, const membership &members, millis now);
    std::optional<lookup_answer> pinSnapshot(lookup &entry);
    void pinShards(lookup &entry, const service_map &map);
    void start(sequence id, const membership &members, millis now, actions &out);
    std::span<const vm_id> ownersOf(const service_map &map, const membership &members);
    [[nodiscard]] vm_id usableRunner(vm_id owner, const membership &members, millis now) const;
    void sendRuns(sequence id, std::span<const shard_id> shards, vm_id runner, millis now, actions &out);
    void onShardOk(sequence id, shard_progress &shard, const shard_reply &reply, millis now, actions &out);
    void onShardFailed(sequence id,
                       shard_progress &shard,
                       const shard_reply &reply,
                       const membership &members,
                       millis now,
                       actions &out);
    static void markMissing(lookup &entry, shard_progress &shard, answer_reason reason);
    void restart(sequence id, snapshot_id heldSnapshot, const membership &members, millis now, actions &out);
    bool repinSnapshot(lookup &entry, snapshot_id heldSnapshot);
    void cacheRefusal(const lookup &entry, const shard_reply &reply, millis now);
    void cancelRuns(const lookup &entry, sequence id, actions &out) const;
    void reroute(sequence id, vm_id from, millis now, actions &out);
    void checkLiveness(sequence id, const membership &members, millis now, actions &out);
    void finishIfDone(sequence id, millis now, actions &out);
    [[nodiscard]] static bool coverageSuffices(const lookup &entry);
    void finish(sequence id, lookup_outcome outcome, answer_reason reason, millis now, actions &out);
    [[nodiscard]] static answer_reason firstMissingReason(const lookup &entry);
    static runner_progress &findOrAddRunner(lookup &entry, vm_id vm, millis now);
    [[nodiscard]] request_key keyOf(sequence id) const;
    void restartAckTimeouts(millis now);
    shard_progress *findWaitingShard(lookup &entry, const shard_reply &reply);

    vm_id m_self;
    std::uint64_t m_incarnation;
    root_settings m_settings;
    root_guards m_guards;
    seeded_random m_random;
    topology_ptr m_topology;
    std::shared_ptr<const catalogue_document> m_catalogue = std::make_shared<catalogue_document>();
    std::unordered_map<sequence, lookup> m_lookups;
    std::unordered_map<vm_id, millis> m_stalledUntil;
    kind_limiter m_limiter;
    std::map<service_name, std::array<cached_refusal, 2>> m_cachedRefusals;
    std::map<service_name, owner_cache> m_owners;
    std::map<service_name, snapshot_id> m_reportedSnapshots; ///< reported by leafs and newer than published
    millis m_lastTick;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    root_counters m_counters;
    sequence m_nextSequence = 1;
};

/** The fields of a ticket. Callers hold the ticket as text. */
struct ticket_parts {
    vm_id issuer;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    millis expires; ///< by the issuer's clock
};

/** Parses a ticket without verifying its signature, so that any VM can find the issuer and forward the ticket to it. */
[[nodiscard]] std::optional<ticket_parts> parseTicket(std::string_view ticket);

struct ticket_settings {
    std::size_t capacity = 50000; ///< tickets stored; no ticket is issued beyond this number
    millis lifetime {600000};
    bool checkIssuer = true; ///< reject tickets of other issuers; false only in tests that show what this prevents
};

/** Result of presenting a ticket. */
enum class ticket_verdict : std::uint8_t {
    Start, ///< first use: this request may run now, and only this once
    Running,
    Done, ///< the run has ended and its answer is stored
    Voided, ///< the request never ran and never will
    Unknown, ///< of another issuer or incarnation, expired, or forged
    Mismatch ///< already used for another request
};

/** The tickets issued by one incarnation of one process. A ticket starts at most one run, ever. */
class ticket_table
{
public:
    /** @param key secret bytes that are kept only in the memory of this process. */
    ticket_table(vm_id self, std::uint64_t incarnation, std::string key, ticket_settings settings);

    /** @return a new ticket, or nothing if the table is full or @ref stop was called. */
    std::optional<std::string> issue(millis now);

    /** Presents a ticket, and marks it as running if the verdict is @ref ticket_verdict::Start.
     *  @param digest of kind, key and body; never 0. It binds the ticket to the first request that uses it. */
    ticket_verdict use(std::string_view ticket, std::uint64_t digest, millis now);

    /** Stores the final answer of the run of ticket @p number. */
    void finish(std::uint64_t number, lookup_answer answer);

    /** Voids ticket @p number permanently. Called only when it is proven that its request did not run. */
    void makeVoid(std::uint64_t number, lookup_answer answer);

    /** @return the stored answer of a done or voided ticket. */
    [[nodiscard]] const lookup_answer *answerOf(std::uint64_t number) const;

    /** From now on, no ticket is issued and no unused ticket may start a run. */
    void stop();

    void eraseExpired(millis now);

    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

private:
    enum class record_state : std::uint8_t {
        Unused,
        Running,
        Done,
        Voided
    };

    struct record {
        record_state state = record_state::Unused;
        millis expires;
        std::uint64_t digest = 0;
        lookup_answer answer;
    };

    [[nodiscard]] std::string sign(std::string_view text) const;

    vm_id m_self;
    std::uint64_t m_incarnation;
    std::string m_key;
    ticket_settings m_settings;
    std::map<std::uint64_t, record> m_records; ///< by ticket number, oldest first
    std::uint64_t m_nextNumber = 1;
    bool m_stopped = false;
};

/** @return the answer as the JSON document sent to callers. */
[[nodiscard]] std::string writeAnswer(const lookup_answer &answer);

[[nodiscard]] std::uint16_t httpStatusOf(const lookup_answer &answer);

} // namespace chivelock
