#pragma once

/**
 * @file
 * Detection of requests that crash the leafs that run them (queries of death). Each attempt of a caller has its own id,
 * so a repeated request is recognised only by its content. No input or output, no thread, no clock.
 */

#include <base/base.h>
#include <leafs/leafs.h>

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/**
 * The parts that two attempts must share to count as the same request: all that a leaf sees of it. The source address
 * is not a part: leafs see only the VM's address, and one client account reaches the VMs of each zone from a different
 * address.
 */
struct request_identity {
    std::string_view caller; ///< credentials in the request; empty if it has none
    std::string_view host;
    std::string_view method;
    std::string_view target; ///< path and query, byte for byte
    std::string_view body; ///< complete, without the transfer encoding
};

/** Identifies a request across attempts, connections and VMs. The caller has a separate digest, so that a request of
 * one caller is never taken for a request of another. */
struct request_fingerprint {
    std::uint64_t caller = 0;
    std::uint64_t content = 0;
    auto operator<=>(const request_fingerprint &) const = default;

    /** False for delegated work from a VM of an earlier version, which does not send the request's key. */
    [[nodiscard]] bool isKnown() const
    {
        return caller != 0 || content != 0;
    }
};

[[nodiscard]] request_fingerprint fingerprintOf(const request_identity &request);

/** @return the key in hexadecimal digits, for logs. */
[[nodiscard]] std::string toString(const request_fingerprint &key);

/** Identifies a route by its name, which is the same on all VMs. */
using route_digest = std::uint32_t;

[[nodiscard]] route_digest digestOfRoute(std::string_view name);

/** Random number drawn for each attempt, since callers choose the attempt ids in their requests. */
using attempt_tag = std::uint32_t;

/** Takes the place of a leaf for an attempt that timed out: no leaf finished it, and none crashed. */
inline constexpr leaf_digest noLeaf = 0;

/** A leaf that crashed while it ran an attempt, or an attempt that timed out (@ref noLeaf). */
struct leaf_crash {
    attempt_tag attempt = 0;
    leaf_digest leaf = noLeaf;
    millis at; ///< on the clock of the VM that holds this record
    bool alone = false; ///< canary: the attempt of a suspect request was sent to this leaf only
};

/**
 * Crashes and answers known for one request. Merging takes the union of the crashes and the later answer; it is
 * commutative and idempotent, so the VMs need no message order and no coordinator.
 */
struct request_evidence {
    request_fingerprint key;
    route_digest route = 0;
    std::vector<leaf_crash> ends; ///< crashes since the last answer, one for each attempt and leaf
    millis answeredAt = millis() - millis::never(); ///< when a leaf last completed the request
    bool vouched = false; ///< leafs had completed the request before the first of these crashes
};

/** @return how many leafs crashed under the request since its last answer, of the crashes that are kept. */
[[nodiscard]] std::size_t crashedLeafs(const request_evidence &about);

/** @return attempts since the last answer that crashed a leaf or timed out, of those that are kept. */
[[nodiscard]] std::size_t failedAttempts(const request_evidence &about);

/** Outcomes of the canary requests of a suspect request. Each canary request is sent to a single leaf. */
struct canary_outcomes {
    std::size_t failed = 0; ///< canaries that crashed a leaf or timed out
    std::size_t crashed = 0; ///< of the failed ones, those that crashed a leaf
};

/** @return outcomes since the last answer. Simultaneous canary requests of several VMs count as one event, since one
 *  other cause may have crashed the leafs of all of them. */
[[nodiscard]] canary_outcomes canaryOutcomesOf(const request_evidence &about);

/** Quarantine state of a request: how it is treated. */
enum class quarantine_state : std::uint8_t {
    Clear,
    Suspect, ///< leafs crashed under it and none has answered since: sent to one leaf first
    Quarantined ///< refused
};

[[nodiscard]] std::string_view toString(quarantine_state state);

/** Thresholds and times for quarantining a request. */
struct quarantine_settings {
    std::size_t leafsForVerdict = 3; ///< leafs that must crash under a request before it is quarantined
    /** Crashed canary requests that are needed besides. Leafs also crash for other reasons, and then every request in
     * flight appears to be the cause, in each of its attempts. A crash of the next leaf that is asked alone, before it
     * has answered, is a separate event. */
    std::size_t canariesForVerdict = 1;
    /** The same for a request that leafs had answered before: another cause of the crashes is more likely. */
    std::size_t canariesForAnswered = 3;
    /** Failed canary requests that suffice, whether they crashed a leaf or timed out: a leaf may run for long before it
     * crashes. */
    std::size_t failedCanariesForVerdict = 2;
    /** Hold after a canary request that crashed a leaf which ran two suspects: either may be the cause. */
    millis ambiguousHold {1500};
    millis hold {600000}; ///< a fix of a leaf's software or data takes minutes at least
    unsigned maxHoldDoublings = 2; ///< the hold doubles for each further failed attempt, at most this often
    /** Random extra share of the hold, different on each VM: the first VM that sends the request again reports the
     * outcome to the others. */
    double holdJitter = 0.5;
    /** Leafs that must crash under one attempt before other requests of the route require a canary. */
    std::size_t leafsForCanaries = 2;
    /** How long a route requires canaries: crashed leafs are back after some seconds, and the next such request would
     * reach them. */
    millis canaryFor {10000};
    std::size_t capacity = 512; ///< requests; at most 230 kB of memory, and as much sent once to each VM that joins
    millis answerRetention {600000}; ///< a leaf's software and data change after minutes at the earliest
};

/**
 * Requests that leafs have answered, in a direct-mapped table of fixed size. A request that was answered repeatedly
 * withstands as many colliding requests as it had repeats before it is replaced.
 */
class answered_request_cache
{
public:
    void record(const request_fingerprint &key, millis now);

    /** @return whether the request is in the table with an answer at most @p within old. */
    [[nodiscard]] bool contains(const request_fingerprint &key, millis within, millis now) const;

private:
    struct slot {
        request_fingerprint key;
        millis at;
        std::uint32_t repeats = 0;
    };
    [[nodiscard]] static std::size_t slotIndex(const request_fingerprint &key);

    std::vector<slot> m_slots; ///< allocated with the first answer
};

/** Evidence of one VM about requests: its own observations and the reports of other VMs. */
class request_ledger
{
public:
    /** @param seed differs between VMs, so that their holds end at different times. */
    explicit request_ledger(quarantine_settings settings, std::uint64_t seed = 0);

    /** Applies new settings to all evidence, also to what was collected before. */
    void changeSettings(quarantine_settings settings)
    {
        m_settings = settings;
    }

    [[nodiscard]] quarantine_state quarantineStateOf(const request_fingerprint &key, millis now) const;

    /** @return the time for which the request is still refused; 0 if it is not quarantined. */
    [[nodiscard]] millis quarantineRemaining(const request_fingerprint &key, millis now) const;

    /** Whether requests of the route require a canary, because a request of the route crashed leafs recently and
     * similar ones may follow. */
    [[nodiscard]] bool requiresCanary(route_digest route, millis now) const;

    /** @return the least number of requests that explain the crashes under requests of the route in the time for which
     *  it requires canaries. Crashes at about the same time have one cause. */
    [[nodiscard]] std::size_t countCrashingRequests(route_digest route, millis now) const;

    /** Records that these leafs crashed under an attempt that no leaf has answered. @p leafs holds @ref noLeaf if it
     *  timed out. @param alone whether the attempt was a canary request. */
    void recordCrashes(const request_fingerprint &key,
                       route_digest route,
                       attempt_tag attempt,
                       std::span<const leaf_digest> leafs,
                       bool alone,
                       millis now);

    /** Records that a leaf completed the request. @return whether there was evidence against the request until now. */
    bool recordAnswer(const request_fingerprint &key, millis now);

    /** Whether a leaf has completed the request within the retention time, of the answers that this VM still has. */
    [[nodiscard]] bool wasAnsweredRecently(const request_fingerprint &key, millis now) const
    {
        return m_answered.contains(key, m_settings.answerRetention, now);
    }

    /** Merges the evidence of another VM. @return the evidence that was new here, to be forwarded; what this VM adds to
     *  it is returned by @ref takeUpdates. */
    std::vector<request_evidence> join(std::span<const request_evidence> received, millis now);

    /** @return requests with new evidence from this VM itself since the last call. */
    [[nodiscard]] std::vector<request_evidence> takeUpdates();

    /** @return all evidence, for a VM that has just joined. */
    [[nodiscard]] std::vector<request_evidence> all() const;

    /** @return the evidence about the request, or nullptr. The pointer is valid until the next change. */
    [[nodiscard]] const request_evidence *find(const request_fingerprint &key) const;

    /** Removes expired evidence. */
    void expire(millis now);

    [[nodiscard]] std::size_t size() const
    {
        return m_known.size();
    }

private:
    bool joinOne(const request_evidence &received, millis now);
    bool addCrash(request_evidence &to, const leaf_crash &crash) const;
    void updateCanaryRoutes(const request_evidence &about);
    void evictIfFull();
    [[nodiscard]] bool isQueryOfDeath(const request_evidence &about) const;
    [[nodiscard]] bool isAmbiguous(const request_evidence &about) const;
    [[nodiscard]] millis releaseAt(const request_evidence &about) const;
    [[nodiscard]] millis expiryOf(const request_evidence &about) const;

    quarantine_settings m_settings;
    std::uint64_t m_seed;
    std::map<request_fingerprint, request_evidence> m_known;
    answered_request_cache m_answered;
    std::map<route_digest, millis> m_canariesUntil;
    std::set<request_fingerprint> m_updates;
    millis m_nextExpiry;
};

} // namespace chivelock
