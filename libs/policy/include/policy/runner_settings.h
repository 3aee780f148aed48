#pragma once

/** @file Settings of the runner; a part of policy.h. */

#include "replica_choice.h"

#include <base/base.h>

#include <cstdint>

namespace chivelock {

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

} // namespace chivelock
