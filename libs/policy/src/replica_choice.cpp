#include <policy/policy.h>

#include <algorithm>
#include <tuple>

namespace chivelock {

namespace {

auto rank(const replica_candidate &candidate)
{
    return std::tuple(candidate.inFlight, candidate.latency);
}

} // namespace

std::size_t least_in_flight::operator()(std::span<const replica_candidate> candidates, seeded_random & /*random*/) const
{
    const auto best = std::ranges::min_element(candidates, {}, rank);
    return static_cast<std::size_t>(best - candidates.begin());
}

std::size_t power_of_two::operator()(std::span<const replica_candidate> candidates, seeded_random &random) const
{
    const std::size_t first = random.below(candidates.size());
    const std::size_t second = random.below(candidates.size());
    return rank(candidates[second]) < rank(candidates[first]) ? second : first;
}

std::size_t uniform_choice::operator()(std::span<const replica_candidate> candidates, seeded_random &random) const
{
    return random.below(candidates.size());
}

} // namespace chivelock
