#pragma once

/** @file State of one request in progress; private to the engine. */

#include <gateway/gateway.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace chivelock {

/** For fewer shards, a message to another VM costs as much as it saves. */
inline constexpr std::size_t minDelegatedShards = 3;

/** Leafs pause for short times. One that has been unresponsive for longer than this gets no further requests. */
inline constexpr millis maxShortPause(350);

/**
 * Half-life of a leaf's slowness; a slow leaf is tried again after a second or two. Hosts are busy for half a second at
 * a time, and while a leaf is avoided for longer than that, its share of the requests goes to other zones.
 */
inline constexpr millis slownessHalfLife(500);

/** Slowness above which a leaf is logged as slow, whether measured here or reported by another VM. */
inline constexpr double slowLogThreshold = 2;

inline constexpr double otherZoneShare = 0.3; ///< of the objective, see expectedCost
inline constexpr double stallShare = 0.5; ///< of the objective: expected additional cost of a stalled leaf

/** Cause of a refusal: the request may crash leafs, and the only ones that could run it are still needed. */
inline constexpr std::string_view lastLeafsKept = "last_leafs_kept";

/** @return the cost in milliseconds of waiting for the rest of a pause; at most that of a stalled leaf. */
[[nodiscard]] double pauseCost(const leaf &candidate, const route_latency &latency, millis now);

/** @return @p value after exponential decay over @p age. */
[[nodiscard]] inline double decayed(double value, millis age, millis halfLife)
{
    return value * std::exp2(-std::max(age.count(), 0.0) / halfLife.count());
}

/** @return the leaf's response time relative to the typical one. Since the last measurement it approaches the leaf's
 *  usual speed. */
[[nodiscard]] inline double currentSlowness(const leaf &candidate, millis now)
{
    const double usual = candidate.speed.factor();
    return usual + decayed(candidate.slowness - usual, now - candidate.slownessAt, slownessHalfLife);
}

/** @return the wait in the leaf's queue in units of one request's service time, with @p requestsAtLeaf at the leaf. */
[[nodiscard]] inline double queuePerSlot(double requestsAtLeaf, unsigned slots)
{
    const double places = std::max(1U, slots);
    return std::max(0.0, requestsAtLeaf - places + 1) / places;
}

/** @return as @ref queuePerSlot, from this VM's open sends and the load that the leaf reported recently. */
[[nodiscard]] double leafQueuePerSlot(const leaf &candidate, const route_latency &latency, millis now);

/**
 * @return the time that a leaf of usual speed needs for a request behind @p queue others. The queued requests are of
 * all routes: a short request waits for long ones, and an estimate that took them to be of its own route was a third of
 * the true wait.
 */
[[nodiscard]] inline millis timeWithQueue(double queue, const leaf &candidate, const route_latency &latency)
{
    const millis typical = latency.typical.estimate();
    return typical + std::max(candidate.averageServiceTime, typical) * queue;
}

/** What is kept of a shard's answer until the merge. */
struct shard_part {
    std::string stamp; ///< the leaf's digest of its whole answer
    std::string body; ///< its greatest records, as many as the merge can take
};

/** One shard of a gather, or the only call of a request to one leaf. */
struct gateway_engine::shard_call {
    service_name service;
    std::vector<std::shared_ptr<leaf>> tried; ///< leafs with an open send or a failure; not asked again
    unsigned open = 0; ///< sends without an answer yet
    unsigned mayHaveRun = 0; ///< sends that may have run; excludes those proven not to have
    unsigned sends = 0;
    unsigned limitedSends = 0; ///< second sends that count in the limit of the lookup
    bool secondWithheld = false; ///< a second send was not made because of that limit
    millis nextHedge = millis::never();
    bool waiting = false; ///< not sent yet, for example because no leaf has a free connection
    bool held = false; ///< held back: not sent, or not resent, until a leaf has survived the request
    bool done = false; ///< its part has been received
    bool missing = false; ///< abandoned
    bool reachedLeaf = false; ///< a leaf received the request, even if it refused it
    bool leafCrashed = false; ///< a leaf crashed while it ran the request
    std::string lastAsked; ///< id of the leaf that the request was last sent to
    unsigned openDelegations = 0; ///< delegations of this call that have not ended
    bool helperLate = false; ///< the helper's first report is overdue
    bool pendingReported = false; ///< reported as pending; the delegating VM may ask a second leaf
    bool mergedWithOthers = false; ///< a helper merged its records with those of other shards
    bool reported = false; ///< its result was reported to the delegating VM
    shard_part part;

    /** @return true if the call was neither sent nor delegated and has no result. */
    [[nodiscard]] bool isUnassigned() const
    {
        return !done && !missing && open == 0 && openDelegations == 0 && sends == 0;
    }
};

/** Evidence from one attempt about its request; open sends keep it alive after the attempt was answered. */
struct gateway_engine::attempt_evidence {
    request_fingerprint key;
    route_digest route = 0;
    attempt_tag attempt = 0;
    std::set<leaf_digest> crashedLeafs; ///< leafs that crashed while they ran it
    bool survived = false; ///< a leaf ran it to completion
    bool singleLeaf = false; ///< the request is suspect and the attempt is sent to one leaf at a time
};

/** One request in progress, from a caller or delegated by another VM. */
struct gateway_engine::exchange {
    exchange_id id = 0;
    std::string requestId;
    request_fingerprint key;
    account_id account = 0; ///< of the client; 0 for delegated work
    std::shared_ptr<const route_table> table; ///< keeps the route alive and all shards at one configuration version
    const gateway_route *route = nullptr;
    std::optional<gateway_route> ownRoute; ///< built from delegated work; the delegating VM has the configured one
    route_latency *latency = nullptr;
    millis hedgeDelay; ///< time without an answer after which a hedge is sent
    std::string_view hedgeCause; ///< why then; a string constant
    millis hedgeDecidedAt = millis::never();
    double urgency = 1; ///< see @ref priority_scale; as when the request began
    millis arrivedAt; ///< when it was read
    millis begunAt; ///< when its processing began
    millis networkTime; ///< part of the caller's timeout spent before and after this VM's processing
    millis limit; ///< latest time of the final answer
    millis cutoff = millis::never(); ///< from then on a partial answer is given
    millis sendBy = millis::never(); ///< the request is refused if nothing was sent by then
    millis scheduled = millis::never();
    std::vector<shard_call> calls;
    std::size_t done = 0;
    std::size_t missing = 0;
    bool leafsOutsideRegions = false; ///< leafs were skipped because they are outside the home regions of the route
    zone_name drainedZone; ///< see @ref answer_action::drainedZone
    millis firstReportDue = millis::never(); ///< latest time of the first report to the delegating VM
    millis pendingReportDue = millis::never(); ///< when the silent shards are reported to the delegating VM
    bool firstReportSent = false; ///< a report was sent to the delegating VM
    bool pendingReported = false; ///< the pending shards were reported to the delegating VM
    std::vector<delegation_id> delegations;
    std::map<zone_name, std::size_t> partsByZone; ///< number of parts of its shards by zone, see partCount
    std::map<std::string, std::vector<std::size_t>> secondSends; ///< calls to delegate at the end of this step, by VM
    bool reportSeparately = false; ///< of delegated work: each shard is reported separately
    std::vector<std::string> mergedRecords; ///< records of several parts each, as other VMs merged them
    std::shared_ptr<attempt_evidence> evidence;
    std::size_t canaryLimit = 0; ///< canary requests allowed before a leaf has survived the request; 0 for no limit
    asked_leafs_action asked; ///< for the log
    std::optional<gateway_reply> failure; ///< of a request to one leaf: the last failed answer
    second_send_limit secondSendLimit;
    unsigned sends = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    unsigned delegatedSecondSends = 0; ///< hedges and retries that were delegated to other VMs
    placement::placed_parts placed;
    bool latenessRecorded = false; ///< its late parts were counted
    bool ended = false;

    [[nodiscard]] bool isDelegated() const
    {
        return ownRoute.has_value();
    }

    /** @return true if a send or a delegation is still open. */
    [[nodiscard]] bool isUnderWay() const
    {
        return std::ranges::any_of(calls,
                                   [](const shard_call &call) { return call.open > 0 || call.openDelegations > 0; });
    }

    [[nodiscard]] bool mayHaveRun() const;

    /** @return why too few shards have a leaf, as a string constant for logs and callers. */
    [[nodiscard]] std::string_view causeOfTooFewShards() const;

    /** @return how many parts a merged answer requires. */
    [[nodiscard]] std::size_t neededParts() const;
};

} // namespace chivelock
