#include <leafs/leafs.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis second(1000);

/** Of what a cold leaf bears. A second meets turns that began in the one before as well, and whose they are is drawn:
 *  with a quarter, more than the allowed rate falls into one second less than once in a million. */
constexpr double usedShare = 0.25;

} // namespace

std::optional<cold_turn> coldTurnOf(leaf_digest leaf, const cold_fleet &fleet, double perSecond, millis now)
{
    const double fleetRate = perSecond * usedShare;
    const auto vms = static_cast<double>(std::max<std::size_t>(1, fleet.size));
    const millis period = second * (vms / fleetRate);
    constexpr std::uint64_t steps = 1U << 20U;
    const std::uint64_t draw = XXH3_64bits_withSeed(&leaf, sizeof leaf, fleet.ownSeed) % steps;
    const double turns = now.count() / period.count() + static_cast<double>(draw) / steps;
    const millis intoTurn = period * (turns - std::floor(turns));
    if (intoTurn >= std::min(second, period)) {
        return std::nullopt;
    }
    return static_cast<cold_turn>(std::floor(turns));
}

} // namespace chivelock
