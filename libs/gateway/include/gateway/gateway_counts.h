#pragma once

/** @file Counts of the engine's decisions since the start, for logs and metrics; a part of gateway.h. */

#include <cstddef>
#include <cstdint>

namespace chivelock {

/** Counts of decisions by urgency. */
struct priority_counts {
    std::uint64_t placesGivenFirst = 0; ///< places at leafs given to a call although an older one waited
    std::uint64_t budgetLeft =
        0; ///< extra sends not made, because the rest of the budget is left to more urgent routes
};

/** Requests to leafs. A second send is a hedge, or a retry of a request that a leaf may have run. */
struct send_counts {
    std::uint64_t all = 0; ///< sent by this VM, also for others
    std::uint64_t second = 0; ///< second sends that this VM decided, including those that it delegated
    std::uint64_t useful = 0; ///< of these, those that brought the part first
    std::uint64_t withheld =
        0; ///< shards not asked again in time because too many second sends of the lookup had no answer
};

/** Leafs that this VM does not ask at present, because they did not answer it. */
struct silent_leafs {
    std::size_t down = 0; ///< a request was given up, or no connection was possible
    std::size_t stalled = 0; ///< a request is overdue for longer than a pause
};

} // namespace chivelock
