#define BOOST_TEST_MODULE placement
#include <boost/test/included/unit_test.hpp>

#include <placement/placement.h>

#include <algorithm>
#include <vector>

using namespace chivelock;
using namespace chivelock::placement;

namespace {

constexpr double largeCores = 0.5;
constexpr double smallCores = 0.12;

/** The VMs of a zone with two large and 19 small VMs, one of which plans; the large ones have the ranks 0 and 1. */
std::vector<vm> zoneSeenBy(std::size_t ownRank)
{
    std::vector<vm> vms;
    for (std::size_t rank = 0; rank < 21; ++rank) {
        vm one;
        one.rank = rank;
        one.capacity = rank < 2 ? largeCores : smallCores;
        one.isOwn = rank == ownRank;
        vms.push_back(one);
    }
    return vms;
}

std::vector<part> partsOf(std::span<const vm> vms, std::size_t shards)
{
    const std::size_t atOnce = shardsAtOnce(std::ranges::min(vms, {}, &vm::capacity).capacity);
    const std::size_t count = (shards + atOnce - 1) / atOnce;
    std::vector<part> parts(count);
    for (std::size_t at = 0; at < shards; ++at) {
        parts[at % count].shards += 1;
    }
    for (std::size_t at = 0; at < count; ++at) {
        parts[at].vms = servingVms(vms, at, count);
    }
    return parts;
}

/** What a plan gives to each VM. */
struct division {
    std::vector<std::size_t> shards; ///< by VM
    std::size_t messages = 0;
};

division divide(std::span<const vm> vms, std::size_t shards, std::uint64_t seed = 1)
{
    seeded_random random(seed);
    const std::vector<part> parts = partsOf(vms, shards);
    const auto own = std::ranges::find(vms, true, &vm::isOwn);
    const std::vector<std::size_t> vmOfPart = plan(parts, vms, own->capacity, random);
    division result;
    result.shards.resize(vms.size());
    for (std::size_t at = 0; at < parts.size(); ++at) {
        result.shards.at(vmOfPart[at]) += parts[at].shards;
    }
    for (std::size_t at = 0; at < vms.size(); ++at) {
        result.messages += result.shards[at] > 0 && !vms[at].isOwn ? 1 : 0;
    }
    return result;
}

} // namespace

// Guards against seven messages from a small VM for a lookup that two large VMs serve sooner.
BOOST_AUTO_TEST_CASE(a_small_vm_delegates_most_shards_to_the_large_ones)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const division made = divide(zoneSeenBy(20), 90, seed);
        BOOST_TEST(made.messages <= 3U);
        BOOST_TEST(made.shards[0] + made.shards[1] >= 60U);
    }
}

BOOST_AUTO_TEST_CASE(a_large_vm_shares_a_lookup_with_the_other_large_one)
{
    const division made = divide(zoneSeenBy(0), 90);
    BOOST_TEST(made.messages <= 3U);
    BOOST_TEST(made.shards[0] >= 30U);
    BOOST_TEST(made.shards[1] >= 30U);
}
