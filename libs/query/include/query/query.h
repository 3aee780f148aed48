#pragma once

/**
 * @file
 * The root of a lookup: plans it over the runners, pins one snapshot, collects the shards, gives the one final answer.
 * And the tickets, which make sure that an unrepeatable lookup runs at most once. Pure: events come in with the time,
 * actions come out.
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

/** Names one waiting caller within this process. */
using caller_id = std::uint64_t;

/** A caller's request. */
struct lookup_request {
    caller_id caller = 0;
    std::string requestId;
    kind_name kind;
    std::string shardKey; ///< for kinds that go to one shard
    std::string body;
    millis remaining; ///< the caller's own time limit; the kind's hard limit caps it
    std::string ticket; ///< for unrepeatable kinds; empty: none yet
    bool cameBack = false; ///< it was refused before and returns at the time it was told
};

/** How the root treats runners; docs/design/ tells the measurements. */
struct root_settings {
    bool direct = false; ///< run every shard here: the baseline, and the fallback when a runner can't be reached
    millis ackTimeout {25}; ///< a runner that does not answer a run or a probe for so long is passed by
    millis avoidStalled {1000}; ///< how long a runner that did not answer gets no new runs
    std::uint32_t maxRestarts = 2; ///< on a newer snapshot
    millis admissionMemory {0}; ///< how long one refusal stands for the next lookups of that service and class
    std::size_t maxLookups = 20000; ///< in hand at once; beyond, refused at once
};

/** Send a message to a peer (or to this process's own runner). */
struct peer_send {
    vm_id to;
    peer_message message;
};

/** The final answer to a caller. */
struct caller_answer {
    caller_id caller = 0;
    lookup_answer answer;
};

/** Ask the platform for the topology now: a leaf knows a newer snapshot. */
struct topology_wanted {
};

using root_action = std::variant<peer_send, caller_answer, topology_wanted>;

/** Counts for metrics; they only rise. */
struct root_counters {
    std::uint64_t lookups = 0;
    std::uint64_t staleReplies = 0; ///< late, doubled, or for another attempt: dropped
    std::uint64_t mismatchedReplies = 0; ///< of another snapshot or map: dropped
    std::uint64_t restarts = 0; ///< on a newer snapshot
    std::uint64_t reroutes = 0; ///< shards taken from a runner that did not answer
    std::uint64_t refusedHere = 0; ///< by limits of this process, before anything was sent
};

/** Leaves out one guard, so that a test can show what it prevents. Never set by the product. */
struct root_guards {
    bool checkSnapshot = true;
    bool checkAttempt = true;
    bool dropDoubled = true;
};

/** Joins rows of shards by the rule; at most @p maxRows. */
[[nodiscard]] std::vector<result_row>
mergeRows(merge_rule rule, std::vector<std::vector<result_row>> parts, std::uint32_t maxRows);

/** The shard that a key falls to. @pre shards is not empty. */
[[nodiscard]] shard_id shardOfKey(std::string_view key, std::span<const shard_info> shards);

/** Holds a kind to this process's share of its fleet-wide limits. The share is the limit divided by the listed VMs,
 *  at least one: nothing is agreed between VMs, and both sides of a partition together stay within the limit. */
class kind_limiter
{
public:
    /** Takes one lookup in, or @return after what time to come back. */
    std::optional<millis> admit(const kind_entry &kind, std::size_t listedVms, millis now);

    /** A lookup that was taken in has ended. */
    void release(const kind_name &kind);

private:
    struct kind_use {
        std::uint32_t inFlight = 0;
        double tokens = -1; ///< below 0: not yet filled
        millis refilled;
    };

    std::unordered_map<kind_name, kind_use> m_use;
};

/** Lookups that this process is the root of. */
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

    /** Starts a repeatable lookup; @p members says who runs what. */
    void submit(const lookup_request &request, const membership &members, millis now, actions &out);

    void onAccepted(vm_id from, const run_accepted &accepted, millis now);
    void onReply(vm_id from, const shard_reply &reply, const membership &members, millis now, actions &out);

    /** The runner can't be reached: its shards go elsewhere at once. */
    void onUnreachable(vm_id runner, const membership &members, millis now, actions &out);
    void tick(const membership &members, millis now, actions &out);

    /** Gives every lookup in hand its final answer: the stop's time is up. */
    void stopAll(millis now, actions &out);

    [[nodiscard]] std::size_t inFlight() const
    {
        return m_lookups.size();
    }

    /** When @ref tick has something to do next. */
    [[nodiscard]] millis nextTimer() const
    {
        return m_timers.empty() ? millis::never() : m_timers.top().at;
    }

    [[nodiscard]] const root_counters &counters() const
    {
        return m_counters;
    }

    /** Shared with the unrepeatable lookups of this process. */
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
        millis lastHeard;
        std::optional<millis> awaitingSince;
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
        std::size_t refusedShards = 0; ///< by their runners, before any leaf saw them
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

    /** What was refused of late, so that the next lookups are refused before anything is sent. */
    struct refusal_memory {
        millis until;
        millis comeBack;
    };

    /** One owner for each shard of a service, valid for one map version and membership epoch. */
    struct owner_cache {
        map_version version;
        snapshot_id snapshot;
        std::uint64_t epoch = 0;
        std::vector<vm_id> owners;
    };

    [[nodiscard]] lookup_answer refusal(const lookup_request &request, answer_reason reason, millis retryAfter) const;
    std::optional<lookup_answer>
    checkLimits(const lookup_request &request, const kind_entry &kind, const membership &members, millis now);
    std::optional<lookup_answer> pin(lookup &entry);
    void pinShards(lookup &entry, const service_map &map);
    void start(sequence id, const membership &members, millis now, actions &out);
    std::span<const vm_id> ownersOf(const service_map &map, const membership &members);
    [[nodiscard]] vm_id usableRunner(vm_id owner, const membership &members, millis now) const;
    void sendRuns(sequence id, std::span<const shard_id> shards, vm_id runner, millis now, actions &out);
    void onShardOk(sequence id, shard_progress &shard, const shard_reply &reply, millis now, actions &out);
    void onShardLost(sequence id,
                     shard_progress &shard,
                     const shard_reply &reply,
                     const membership &members,
                     millis now,
                     actions &out);
    static void markMissing(lookup &entry, shard_progress &shard, answer_reason reason);
    void restart(sequence id, snapshot_id told, const membership &members, millis now, actions &out);
    bool repin(lookup &entry, snapshot_id told);
    void noteRefusal(const lookup &entry, const shard_reply &reply, millis now);
    void cancelRuns(const lookup &entry, sequence id, actions &out) const;
    void reroute(sequence id, vm_id from, millis now, actions &out);
    void checkLiveness(sequence id, const membership &members, millis now, actions &out);
    void finishIfDone(sequence id, millis now, actions &out);
    [[nodiscard]] static bool coverageSuffices(const lookup &entry);
    void finish(sequence id, lookup_outcome outcome, answer_reason reason, millis now, actions &out);
    [[nodiscard]] static answer_reason commonReason(const lookup &entry);
    static runner_progress &runnerOf(lookup &entry, vm_id vm, millis now);
    [[nodiscard]] request_key keyOf(sequence id) const;
    void forgivePause(millis now);
    shard_progress *findWaiting(lookup &entry, const shard_reply &reply);

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
    std::map<service_name, std::array<refusal_memory, 2>> m_refusals;
    std::map<service_name, owner_cache> m_owners;
    std::map<service_name, snapshot_id> m_toldSnapshots; ///< newer than published, as leafs told
    millis m_lastTick;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    root_counters m_counters;
    sequence m_next = 1;
};

/** The parts of a ticket; the text form is what callers hold. */
struct ticket_parts {
    vm_id issuer;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    millis expires; ///< instant of the issuer's clock
};

/** Reads the parts without checking that they are genuine, so that any VM knows whom to ask. */
[[nodiscard]] std::optional<ticket_parts> parseTicket(std::string_view ticket);

struct ticket_settings {
    std::size_t capacity = 50000; ///< tickets kept at once; beyond, none is issued
    millis lifetime {600000};
    bool onlyIssuer = true; ///< false only in tests that show what binding a ticket to its issuer prevents
};

/** What the holder of a ticket may do now. */
enum class ticket_verdict : std::uint8_t {
    Start, ///< unused: this request may run, now and only now
    Running,
    Done, ///< the stored answer stands
    Voided, ///< never ran and never will
    Unknown, ///< not this incarnation's, expired or forged
    Mismatch ///< used for another request
};

/** Tickets of one incarnation of one process. A ticket starts at most one run, ever. */
class ticket_book
{
public:
    /** @param key secret bytes that live only in this process. */
    ticket_book(vm_id self, std::uint64_t incarnation, std::string key, ticket_settings settings);

    /** @return a new ticket, nothing if the table is full or issuing has stopped. */
    std::optional<std::string> issue(millis now);

    /** Marks the ticket as running if the verdict is @ref ticket_verdict::Start.
     *  @param digest of kind, key and body: a ticket belongs to the first request that uses it. */
    ticket_verdict use(std::string_view ticket, std::uint64_t digest, millis now);

    /** Stores how the run of ticket @p number ended. */
    void finish(std::uint64_t number, lookup_answer answer);

    /** The run did not happen, by proof: the ticket is void for ever. */
    void makeVoid(std::uint64_t number, lookup_answer answer);

    /** The answer of a done or void ticket. */
    [[nodiscard]] const lookup_answer *answerOf(std::uint64_t number) const;

    /** No ticket is issued from now on, and none that is unused may start. */
    void stop();

    void forgetExpired(millis now);

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
    std::map<std::uint64_t, record> m_records; ///< by number, so the oldest comes first
    std::uint64_t m_nextNumber = 1;
    bool m_stopped = false;
};

/** The answer as the JSON document that callers get. */
[[nodiscard]] std::string writeAnswer(const lookup_answer &answer);

/** The HTTP status that goes with an answer. */
[[nodiscard]] std::uint16_t httpStatusOf(const lookup_answer &answer);

} // namespace chivelock
