#include <leafs/leafs.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

constexpr millis second(1000);

/**
 * Share of a cold leaf's sustained rate that the slots of all VMs use. Each second also overlaps with slots that began
 * in the second before, and the slots are placed at random: with a quarter, the requests of one second exceed the
 * allowed rate less than once in a million.
 */
constexpr double admittedShare = 0.25;

} // namespace

std::optional<cold_admission_slot>
coldAdmissionSlotAt(leaf_digest leaf, const cold_admission_fleet &fleet, double perSecond, millis now)
{
    const double fleetRate = perSecond * admittedShare;
    const auto vms = static_cast<double>(std::max<std::size_t>(1, fleet.size));
    const millis period = second * (vms / fleetRate);
    constexpr std::uint64_t steps = 1U << 20U;
    const std::uint64_t offset = XXH3_64bits_withSeed(&leaf, sizeof leaf, fleet.ownSeed) % steps;
    const double slotNumber = now.count() / period.count() + static_cast<double>(offset) / steps;
    const millis timeIntoSlot = period * (slotNumber - std::floor(slotNumber));
    if (timeIntoSlot >= std::min(second, period)) {
        return std::nullopt;
    }
    return static_cast<cold_admission_slot>(std::floor(slotNumber));
}

} // namespace chivelock
