#pragma once

/**
 * @file
 * What one process knows about leafs: which are registered, how fast and healthy they are, and how many extra requests
 * may be sent to a service. No input or output, no thread, no clock: each event is passed in with its time.
 */

#include <base/base.h>
#include <hedging/hedging.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivelock {

/**
 * An entry that is missing within this time after the last failure of the store may have expired because of the outage.
 * Leafs need two seconds to write their entries again. Four seconds after an outage the data of the store counts as
 * reliable again, and a reader notices the end of the outage up to one second late.
 */
inline constexpr millis outageExpiryWindow(2500);

/** A leaf's own entry in the platform's store. */
struct leaf_entry {
    std::string id;
    service_name service;
    std::string address; ///< IP number and port
    zone_name zone;
    unsigned slots = 1; ///< number of requests that the leaf processes at the same time
    bool draining = false;
    millis coldFor; ///< remaining time during which its caches are cold after its start
    /** Start of the process by its own wall clock. A later start under the same id is a new incarnation. */
    std::optional<millis> leafStartedAt;
    std::uint64_t sequence = 0; ///< rises with each write of the entry; starts again with each incarnation
};

/** Estimates a quantile of a stream of times without storing them: each value moves the estimate by a small step. */
class quantile_tracker
{
public:
    quantile_tracker(double quantile, millis initial)
        : m_quantile(quantile)
        , m_estimate(initial)
    {
    }

    void add(millis value);

    [[nodiscard]] millis estimate() const
    {
        return m_estimate;
    }

private:
    double m_quantile;
    millis m_estimate;
};

/** Share of the parts of lookups that were late for a partial answer, over the last seconds. */
class late_part_share
{
public:
    /** @param late of the @p all parts that were asked for. */
    void add(std::size_t late, std::size_t all, millis now);

    /** @return from 0 to 1; 0 if there were no lookups. */
    [[nodiscard]] double at(millis now) const;

private:
    [[nodiscard]] double keptAt(millis now) const;

    double m_late = 0; ///< each part decays since its time
    double m_all = 0;
    millis m_updatedAt;
};

/** Latency of the requests of one route at its leafs. */
struct route_latency {
    explicit route_latency(millis objective);

    /** @param took time from the send to the answer. @param worked the part of it outside the leaf's queue. */
    void add(millis took, millis worked);

    /** @return time without an answer after which a hedge is sent to a second leaf, as long as @ref times has too few
     *  samples. */
    [[nodiscard]] millis hedgeDelay() const;

    /** @return whether so many parts are late that lookups can't be answered without late ones. */
    [[nodiscard]] bool needsLateParts(millis now) const;

    quantile_tracker typical; ///< median time without the leaf's queue
    quantile_tracker slow; ///< high quantile of the time with the leaf's queue
    response_times times; ///< time from the send to the answer
    late_part_share late;
    millis objective;
};

/**
 * Limits the extra sends of one VM to one service. The limit for the fleet is a share of the requests for the service
 * plus a fixed number in each window. The VMs share no state: each one keeps to the same share of its own requests and
 * to its part of the fixed number, so the sum over the fleet stays within the limit whatever the other VMs do.
 */
class retry_budget
{
public:
    retry_budget(double ratio, millis window)
        : m_ratio(ratio)
        , m_window(window)
    {
    }

    void countRequest(millis now);

    /** @param fixedAllowance extra sends of this VM in each window besides the share of its requests.
     *  @param reserve share of the allowance that is not used. @return whether the extra send may be made. */
    [[nodiscard]] bool tryAcquire(double fixedAllowance, double reserve, millis now);

private:
    struct slice {
        std::int64_t index = 0;
        double requests = 0;
        double extras = 0;
    };

    slice &current(millis now);

    double m_ratio;
    millis m_window;
    std::deque<slice> m_slices;
};

/** Short form of a leaf's id for reports, of which there are many. If two ids collide, one leaf is wrongly treated as
 *  slow. */
using leaf_digest = std::uint32_t;

/** Number of a cold-cache admission slot of one VM at one leaf. */
using cold_admission_slot = std::int64_t;

/** What a VM needs to know of the fleet to compute its admission slots at cold leafs. */
struct cold_admission_fleet {
    std::size_t size = 1; ///< number of VMs; an estimate should be too high rather than too low
    std::uint64_t ownSeed = 0; ///< differs between VMs
};

/**
 * Whether this VM may ask a cold leaf now; it may send one request in each admission slot. A cold leaf sustains few
 * requests a second from the whole fleet and crashes under many more. The VMs have no common counter, and if each one
 * saved up its allowance, all would spend it in the next burst. So each VM has slots of one second at its own times,
 * drawn for each leaf, and an unused slot is lost.
 * @param perSecond requests that the leaf sustains, above 0. @return the current slot; nothing between slots.
 */
[[nodiscard]] std::optional<cold_admission_slot>
coldAdmissionSlotAt(leaf_digest leaf, const cold_admission_fleet &fleet, double perSecond, millis now);

/** Load of a leaf, as reported in its answers. */
struct leaf_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    std::optional<double> hostSlowdown; ///< current processing time on its host relative to the usual time
};

[[nodiscard]] leaf_digest digestOf(std::string_view leafId);

/** Short form of a zone's name for reports. */
using zone_digest = std::uint16_t;

[[nodiscard]] zone_digest digestOf(const zone_name &zone);

/** Observation of a leaf by one VM, sent to the others. A single VM sends few requests to each leaf, but the whole
 * fleet reaches a slow leaf many times a second. */
struct leaf_report {
    leaf_digest leaf = 0;
    zone_digest observer = 0; ///< zone of the reporting VM: a leaf may be reachable from one zone and not from another
    double slowness = 1; ///< see @ref leaf::slowness
    bool unreachable = false; ///< unresponsive, or no connection possible
    millis observedAt; ///< on the clock of the VM that holds the report
};

using send_id = std::uint64_t;

/** State of one leaf as known to this process. */
struct leaf {
    explicit leaf(leaf_entry described)
        : entry(std::move(described))
    {
    }

    struct open_send {
        send_id id = 0;
        millis sentAt;
        millis expectedBy; ///< no answer until then indicates a stall
    };

    leaf_entry entry;
    millis coldUntil;
    std::optional<cold_admission_slot> lastColdAdmissionSlot; ///< last admission slot in which this VM asked the leaf
    millis drainingSince = millis::never(); ///< earliest time since which the leaf may be leaving
    millis missingSince = millis::never(); ///< earliest time since which its entry may be missing from the store
    bool mayHaveExpired = false; ///< its entry may be missing only because of a store outage
    millis removeAt = millis::never(); ///< when the leaf is removed from the directory
    /** Its entry reappeared after a removal and is unconfirmed until then. */
    millis unconfirmedUntil = millis() - millis::never();
    bool misdirected = false; ///< another instance answered at its address
    /** The entry was overwritten by another writer; the leaf is not asked until its entry is written again. */
    bool entryUnreadable = false;
    millis restartSeenAt = millis() - millis::never(); ///< reports from before then concern the previous incarnation
    std::vector<open_send> open;
    millis lastReplyAt = millis() - millis::never();
    double slowness = 1; ///< its processing time relative to the typical time of the route
    millis slownessAt; ///< when the slowness was last measured
    leaf_speed speed; ///< its usual processing time relative to the typical one, to which the slowness returns
    millis pausedUntil = millis() - millis::never(); ///< it is assumed not to answer before
    double fleetSlowness = 1; ///< slowness as last reported to or by the other VMs
    millis fleetSlownessAt; ///< time of that value; it decays in all VMs alike
    bool reportedUnreachable = false; ///< reachability as last reported by this VM
    millis peerSawUnreachableAt = millis() - millis::never(); ///< when another VM last found the leaf unreachable
    /** Average processing time over the requests of all routes in the proportion in which they arrive; 0 before the
     * first request. */
    millis averageServiceTime;
    double failing = 0; ///< share of failures among recent answers
    millis failingAt;
    double refusing = 0; ///< share of refusals among recent answers
    millis refusingAt;
    unsigned keptConnections = 0; ///< idle connections that the next request can use
    /** When it accepted a new connection after another one had closed without an answer. */
    millis reconnectedAt = millis() - millis::never();
    millis heldBackUntil = millis() - millis::never(); ///< it holds as many request bytes as it may until about then
    unsigned consecutiveFailures = 0; ///< consecutive failures without an answer in between
    millis downUntil = millis() - millis::never();
    leaf_load load;
    millis loadAt = millis() - millis::never();

    /** Records that the cache of the leaf stays cold for @p remaining, as stated by the leaf. */
    void setCold(millis remaining, millis now);

    /** @return since when a request to the leaf has been overdue; never if the leaf is not stalled. */
    [[nodiscard]] millis stalledSince() const;

    /** Whether the leaf drains, its entry is missing, or its return is unconfirmed. Such a leaf is asked only if no
     * other leaf is available. */
    [[nodiscard]] bool isLeaving() const
    {
        return entry.draining || removeAt < millis::never() || unconfirmedUntil > millis();
    }

    /** @return earliest time since which the leaf may be leaving; nothing if it is not leaving. */
    [[nodiscard]] std::optional<millis> leavingSince() const;

    /** @return the state of the leaf for log events. */
    [[nodiscard]] std::string_view stateName() const;
};

/** What is kept of a removed leaf, since a delayed write may make its entry reappear. */
struct removed_leaf {
    millis missingSince;
    bool mayHaveExpired = false; ///< its entry may have expired because of a store outage
    bool draining = false; ///< according to its own entry
    std::optional<millis> leafStartedAt;
    millis keptUntil;
};

/** Leafs by id and by service, according to the platform's store. */
class leaf_directory
{
public:
    /** @param hold how long a leaf stays usable after its entry is missing: entries expire during a store outage. */
    explicit leaf_directory(millis hold)
        : m_hold(hold)
    {
    }

    /** Sets how often leafs write their entries. The store removes an entry after three intervals without a write. */
    void setHeartbeat(millis interval)
    {
        m_heartbeat = interval;
    }

    /** Records that the store does not answer: entries expire, and their leafs write them again after the outage. */
    void recordStoreFailure(millis now)
    {
        m_storeFailedAt = now;
    }

    /** Records that all changes of the store up to @p asOf have been received. A change that arrives after a gap may
     * have happened as early as that. */
    void noteCurrent(millis asOf)
    {
        m_currentAsOf = asOf;
    }

    /** @return the highest possible age of a change that is received now. */
    [[nodiscard]] millis maxUpdateAge(millis now) const
    {
        return now - std::min(now, m_currentAsOf);
    }

    /** Adds or updates a leaf. @return true if its availability changed. */
    bool put(const leaf_entry &entry, millis now);

    /** Records that the entry can't be parsed: the leaf is not asked until the entry is written again.
     *  @return false for an unknown id. */
    bool markUnreadable(std::string_view id);

    /** Records that the entry is missing from the store. @param longAgo it was removed at an unknown time, perhaps long
     *  before this process knew of it. @return false for an unknown id. */
    bool remove(std::string_view id, millis now, bool longAgo = false);

    /** Removes all leafs that are not in @p entries and puts the others. */
    void replaceAll(std::span<const leaf_entry> entries, millis now);

    /** Removes leafs whose hold time is over. @return how many. */
    std::size_t expire(millis now);

    [[nodiscard]] std::span<const std::shared_ptr<leaf>> of(const service_name &service) const;
    [[nodiscard]] std::shared_ptr<leaf> find(std::string_view id) const;
    [[nodiscard]] std::shared_ptr<leaf> find(leaf_digest digest) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_byId.size();
    }

    [[nodiscard]] std::size_t countInZone(const zone_name &zone) const;

    template<std::invocable<const leaf &> Visitor>
    void forEach(Visitor visit) const
    {
        std::ranges::for_each(m_byId, [&](const auto &one) { visit(std::as_const(*one.second)); });
    }

private:
    [[nodiscard]] bool isWithinOutageWindow(millis now) const;
    [[nodiscard]] millis earliestMissingTime(bool mayHaveExpired, millis now) const;
    void add(const leaf_entry &entry, millis now);
    bool update(leaf &known, const leaf_entry &entry, millis now);
    void unlink(const leaf &removed);
    void keepRemoved(std::string_view id, const removed_leaf &removed);
    void expireRemoved(millis now);
    void markReturned(leaf &known, const removed_leaf &before, millis now);
    void confirmReturn(leaf &known, millis now);

    millis m_hold;
    millis m_heartbeat {1200};
    millis m_currentAsOf = millis::never();
    millis m_storeFailedAt = millis() - millis::never(); ///< last failure of the store
    std::map<std::string, std::shared_ptr<leaf>, std::less<>> m_byId;
    std::map<std::string, removed_leaf, std::less<>> m_removed;
    std::unordered_map<service_name, std::vector<std::shared_ptr<leaf>>> m_byService;
    std::unordered_map<leaf_digest, std::shared_ptr<leaf>> m_byDigest;
    millis m_nextExpiry = millis::never();
};

} // namespace chivelock
