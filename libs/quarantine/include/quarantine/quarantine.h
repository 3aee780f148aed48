#pragma once

/**
 * @file
 * Requests that end the leafs that run them (queries of death). A caller's attempts have ids of their own, so nothing
 * but the request itself tells that it comes again. No input or output, no thread, no clock.
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
 * What makes two attempts the same request: what a leaf gets to see of it. Not the address that it comes from: leafs
 * see this VM's alone, and one client account reaches each zone's VMs from another address.
 */
struct request_identity {
    std::string_view caller; ///< the credentials in it; empty if it has none
    std::string_view host;
    std::string_view method;
    std::string_view target; ///< path and query, byte for byte
    std::string_view body; ///< whole, however it was framed
};

/** Stands for a request across attempts, connections and VMs. The caller has a digest of its own, so that no request of
 *  one caller is ever taken for one of another. */
struct request_fingerprint {
    std::uint64_t caller = 0;
    std::uint64_t content = 0;
    auto operator<=>(const request_fingerprint &) const = default;

    /** False for work whose request is not told, by a VM of an earlier version. */
    [[nodiscard]] bool isKnown() const
    {
        return caller != 0 || content != 0;
    }
};

[[nodiscard]] request_fingerprint fingerprintOf(const request_identity &request);

/** @return the key in hexadecimal digits, for logs. */
[[nodiscard]] std::string toString(const request_fingerprint &key);

/** Stands for a route by its name, which all VMs share. */
using route_digest = std::uint32_t;

[[nodiscard]] route_digest digestOfRoute(std::string_view name);

/** Drawn for each attempt: ids of attempts are the callers' choice. */
using attempt_tag = std::uint32_t;

/** Stands in place of a leaf for an attempt at which leafs worked until its time was up: none survived it, none ended.
 */
inline constexpr leaf_digest noLeaf = 0;

/** A leaf that ended while it ran an attempt. */
struct leaf_end {
    attempt_tag attempt = 0;
    leaf_digest leaf = noLeaf;
    millis at; ///< on the clock of whoever holds it
    bool alone = false; ///< the only leaf that had the attempt, of a request that was suspect before
};

/**
 * What is known against one request and for it. Two of the same request are joined by taking all ends and the later
 * answer, whichever way round and however often, so VMs need no order and nobody who decides.
 */
struct request_evidence {
    request_fingerprint key;
    route_digest route = 0;
    std::vector<leaf_end> ends; ///< since the last answer, by attempt and leaf
    millis answeredAt = millis() - millis::never(); ///< when a leaf last ran the request to its end
    bool vouched = false; ///< leafs ran it to its end before any of these ended
};

/** @return how many leafs ended under it since the last answer, as far as they are kept. */
[[nodiscard]] std::size_t endedLeafs(const request_evidence &about);

/** @return attempts since the last answer that no leaf survived, as far as they are kept. */
[[nodiscard]] std::size_t triesInVain(const request_evidence &about);

/** What became of trials of a suspect request at one leaf each. */
struct trial_events {
    std::size_t inVain = 0; ///< no leaf survived, ended or not
    std::size_t ended = 0; ///< of them, those in which a leaf ended
};

/** @return trials since the last answer. Those of several VMs at one time are one event: whatever ended the leaf of one
 *  may have ended that of the next. */
[[nodiscard]] trial_events trialsOf(const request_evidence &about);

/** How a request is treated. */
enum class request_standing : std::uint8_t {
    Clear,
    Suspect, ///< leafs ended under it and none has answered it: one leaf at a time
    Quarantined ///< refused
};

[[nodiscard]] std::string_view toString(request_standing standing);

/** Figures of the verdict; each with its reason. */
struct quarantine_settings {
    std::size_t leafsForVerdict = 3; ///< that end under a request before it is refused
    /** Leafs end for other reasons, and then every request under way seems guilty, in as many attempts as are under
     * way. That the one leaf that is asked next ends as well, before it has answered, is another event. */
    std::size_t trialsForVerdict = 1;
    std::size_t trialsForVouched = 3; ///< of a request that leafs answered before: others end leafs more likely
    std::size_t silentTrialsForVerdict = 2; ///< that no leaf survived, ended or not: leafs may be at work for long
    /** After a trial that ended a leaf under two suspects at once, either of which may have ended it. */
    millis doubtfulHold {1500};
    millis hold {600000}; ///< a leaf's software or data are mended in minutes at the soonest
    unsigned mostDoublings = 2; ///< of the hold, by one for each further attempt under which a leaf ended
    double spread =
        0.5; ///< of the hold, by chance for each VM: the first to try again tells the others what came of it
    std::size_t leafsForGuard = 2; ///< that end under one attempt before others of the route are sent with care
    millis guardFor {10000}; ///< leafs are back after some seconds, and the next such request meets them
    std::size_t capacity = 512; ///< requests; 230 kB at most, and as much once for each VM that joins
    millis vouchFor {600000}; ///< an answer is remembered: leafs' software and data change in minutes at the soonest
};

/**
 * Requests that leafs have answered. Fixed in size, whatever callers ask: each request has one place, which another one
 * takes over, but that a request that came again is kept for as many others as it came again.
 */
class answer_memory
{
public:
    void note(const request_fingerprint &key, millis now);

    /** @return whether it was answered not longer ago than @p within, as far as that is still known. */
    [[nodiscard]] bool knows(const request_fingerprint &key, millis within, millis now) const;

private:
    struct place {
        request_fingerprint key;
        millis at;
        std::uint32_t repeats = 0;
    };
    [[nodiscard]] static std::size_t placeOf(const request_fingerprint &key);

    std::vector<place> m_places; ///< none before the first answer
};

/** What one VM believes of requests, from what it saw and what others told it. */
class request_ledger
{
public:
    /** @param seed of this VM, by which its holds differ from others'. */
    explicit request_ledger(quarantine_settings settings, std::uint64_t seed = 0);

    /** New figures; what is known is judged by them from now on. */
    void changeSettings(quarantine_settings settings)
    {
        m_settings = settings;
    }

    [[nodiscard]] request_standing standingOf(const request_fingerprint &key, millis now) const;

    /** @return how long the request is still refused. */
    [[nodiscard]] millis heldFor(const request_fingerprint &key, millis now) const;

    /** Whether leafs ended of late under a request of the route, which may be followed by others like it. */
    [[nodiscard]] bool isGuarded(route_digest route, millis now) const;

    /** An attempt that no leaf has answered ended these leafs. */
    void addEnds(const request_fingerprint &key,
                 route_digest route,
                 attempt_tag attempt,
                 std::span<const leaf_digest> leafs,
                 bool alone,
                 millis now);

    /** A leaf ran the request to its end. @return whether something was held against it until now. */
    bool addAnswer(const request_fingerprint &key, millis now);

    /** Whether a leaf ran the request to its end of late, as far as this VM remembers. */
    [[nodiscard]] bool wasAnswered(const request_fingerprint &key, millis now) const
    {
        return m_answered.knows(key, m_settings.vouchFor, now);
    }

    /** Joins what another VM knows. @return what was new here, to be passed on; what this VM adds to it comes with
     *  @ref takeNews. */
    std::vector<request_evidence> join(std::span<const request_evidence> told, millis now);

    /** @return what this VM saw itself since the last call. */
    [[nodiscard]] std::vector<request_evidence> takeNews();

    /** @return all that is known, for a VM that has just come. */
    [[nodiscard]] std::vector<request_evidence> all() const;

    /** @return what is known of the request; nullptr for nothing. Until the next change. */
    [[nodiscard]] const request_evidence *find(const request_fingerprint &key) const;

    /** Forgets what is too old to matter. */
    void expire(millis now);

    [[nodiscard]] std::size_t size() const
    {
        return m_known.size();
    }

private:
    bool joinOne(const request_evidence &told, millis now);
    bool addEnd(request_evidence &to, const leaf_end &end) const;
    void updateGuard(const request_evidence &about);
    void makeRoom();
    [[nodiscard]] bool isGuilty(const request_evidence &about) const;
    [[nodiscard]] bool isDoubtful(const request_evidence &about) const;
    [[nodiscard]] millis releaseAt(const request_evidence &about) const;
    [[nodiscard]] millis forgetAt(const request_evidence &about) const;

    quarantine_settings m_settings;
    std::uint64_t m_seed;
    std::map<request_fingerprint, request_evidence> m_known;
    answer_memory m_answered;
    std::map<route_digest, millis> m_guardedUntil;
    std::set<request_fingerprint> m_news;
    millis m_nextExpiry;
};

} // namespace chivelock
