#pragma once

/** @file Selection of a leaf among those that could take a request; a part of policy.h. */

#include <base/base.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace chivelock {

/** A leaf that could take a request now. */
struct replica_candidate {
    leaf_id leaf;
    std::uint32_t inFlight = 0;
    millis latency; ///< moving average over its successful answers
};

/** Selects the index of one candidate. @pre the span is not empty. */
template<typename chooser>
concept chooses_replica = requires(const chooser &choose,
                                   std::span<const replica_candidate> candidates,
                                   seeded_random &random)
{
    {
        choose(candidates, random)
        } -> std::same_as<std::size_t>;
};

/** Selects the leaf with the fewest requests in flight; ties go to the lowest latency. */
struct least_in_flight {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

/** Draws two leafs at random and selects the less loaded one (power of two choices). */
struct power_of_two {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

/** Selects a leaf uniformly at random; the baseline for measurements. */
struct uniform_choice {
    std::size_t operator()(std::span<const replica_candidate> candidates, seeded_random &random) const;
};

static_assert(chooses_replica<least_in_flight> && chooses_replica<power_of_two> && chooses_replica<uniform_choice>);

using replica_chooser = std::variant<least_in_flight, power_of_two, uniform_choice>;

} // namespace chivelock
