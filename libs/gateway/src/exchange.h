#pragma once

/** @file One caller's request under way; private to the engine. */

#include <gateway/gateway.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace chivelock {

/** A leaf silent for this long is not in one of its short pauses: nobody waits for it any more. */
inline constexpr millis hopelessAfter(350);

/**
 * A leaf that was slow is tried again after a second or two. Hosts are busy for half a second at a time, and a leaf
 * that is spared for longer than that sends its share of the requests to other zones.
 */
inline constexpr millis slownessHalfLife(500);

/** A log line when a leaf passes twice the usual time, whether measured here or told by another VM. */
inline constexpr double tellSlowAt = 2;

/** @return what is left of @p value after @p age. */
[[nodiscard]] inline double faded(double value, millis age, millis halfLife)
{
    return value * std::exp2(-std::max(age.count(), 0.0) / halfLife.count());
}

/** @return its times over what is typical, as far as that still counts. */
[[nodiscard]] inline double currentSlowness(const leaf &candidate, millis now)
{
    return 1 + faded(candidate.slowness - 1, now - candidate.slownessAt, slownessHalfLife);
}

/** Time in the leaf's queue, in units of one request's time, if @p atWork requests are there. */
[[nodiscard]] inline double queueOf(double atWork, unsigned slots)
{
    const double places = std::max(1U, slots);
    return std::max(0.0, atWork - places + 1) / places;
}

/** @return as @ref queueOf, from what this VM has sent and what the leaf told of late. */
[[nodiscard]] double leafQueue(const leaf &candidate, const route_pace &pace, millis now);

/**
 * @return the time that a leaf of usual speed needs for a request behind @p queue others. Those are of all routes: a
 * short request waits for long ones, and priced as if they were of its own kind its wait was a third of the true one.
 */
[[nodiscard]] inline millis timeBehind(double queue, const leaf &candidate, const route_pace &pace)
{
    const millis typical = pace.typical.estimate();
    return typical + std::max(candidate.mixedWork, typical) * queue;
}

/** One shard of a gather, or the whole of a request to one leaf. */
struct gateway_engine::shard_call {
    service_name service;
    std::vector<std::shared_ptr<leaf>> tried; ///< has a send out or has failed; not asked again
    unsigned open = 0; ///< sends without an answer yet
    unsigned mayHaveRun = 0; ///< sends not proven to have left nothing running
    unsigned sends = 0;
    millis nextHedge = millis::never();
    bool waiting = false; ///< not sent yet: no leaf has a free connection
    bool held = false; ///< not sent, or not sent again, until a leaf has survived the request
    bool done = false; ///< has its part
    bool missing = false; ///< given up
    bool reachedLeaf = false; ///< a leaf got it, also if that refused it
    bool leafEnded = false; ///< a leaf ended while it ran it
    std::string lastAsked; ///< id of the leaf that was asked last
    unsigned handed = 0; ///< pieces of work in other VMs' hands
    bool helperLate = false; ///< the VM that has it in hand has not spoken when it should have
    bool pendingTold = false; ///< the VM for which it is may ask a second leaf
    bool told = false; ///< its end was told to the VM for which it is
    gateway_reply part;

    /** Nobody has been asked for it. */
    [[nodiscard]] bool isUntouched() const
    {
        return !done && !missing && open == 0 && handed == 0 && sends == 0;
    }
};

/** What one attempt shows of its request; its sends keep it when it has been answered. */
struct gateway_engine::attempt_evidence {
    request_fingerprint key;
    route_digest route = 0;
    attempt_tag attempt = 0;
    std::set<leaf_digest> ended; ///< leafs that ended while they ran it
    bool survived = false; ///< a leaf ran it to its end
    bool alone = false; ///< of a suspect, at one leaf
};

/** One request. */
struct gateway_engine::exchange {
    exchange_id id = 0;
    std::string requestId;
    request_fingerprint key;
    std::shared_ptr<const route_table> table; ///< keeps the route alive, and the shards of one version together
    const gateway_route *route = nullptr;
    std::optional<gateway_route> ownRoute; ///< of work for another VM: it knows the route, this one what to do
    route_pace *pace = nullptr;
    millis arrivedAt;
    millis ways; ///< of the caller's time, spent before and after this VM's part
    millis limit; ///< final answer then at the latest
    millis cutoff = millis::never(); ///< a partial answer is given from then on
    millis sendBy = millis::never(); ///< refused if nothing was sent by then
    millis scheduled = millis::never();
    std::vector<shard_call> calls;
    std::size_t done = 0;
    std::size_t missing = 0;
    zone_name emptiedZone; ///< see @ref answer_action::emptiedZone
    millis speakBy = millis::never(); ///< the VM for which it is must have heard of it by then
    bool spoke = false; ///< the VM for which it is has heard of it
    bool pendingTold = false; ///< and knows which shards are still out
    std::vector<delegation_id> delegations;
    std::map<zone_name, std::size_t> partsIn; ///< of its shards in each zone, see partsOf
    std::map<std::string, std::vector<std::size_t>> secondSends; ///< calls that go out with this step, by VM
    bool alone = false; ///< of work for another VM: each shard is told by itself
    std::vector<std::string> mergedRecords; ///< of parts that other VMs brought
    std::shared_ptr<attempt_evidence> evidence;
    std::size_t trialWidth = 0; ///< leafs that may be asked before one has survived it; 0 for any number
    asked_action asked; ///< for the log
    std::optional<gateway_reply> failure; ///< of a request to one leaf: the last failing answer
    unsigned sends = 0;
    unsigned hedges = 0;
    unsigned retries = 0;
    unsigned handedSeconds = 0; ///< of the hedges and retries, those that other VMs send
    bool ended = false;

    [[nodiscard]] bool isDelegated() const
    {
        return ownRoute.has_value();
    }

    /** A leaf or another VM may still bring something. */
    [[nodiscard]] bool isUnderWay() const
    {
        return std::ranges::any_of(calls, [](const shard_call &call) { return call.open > 0 || call.handed > 0; });
    }

    [[nodiscard]] bool mayHaveRun() const;

    /** Shards that a merged answer needs. */
    [[nodiscard]] std::size_t neededParts() const;
};

} // namespace chivelock
