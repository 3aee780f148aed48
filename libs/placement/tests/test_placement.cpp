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

BOOST_AUTO_TEST_CASE(a_vm_that_is_behind_gets_less)
{
    std::vector<vm> vms = zoneSeenBy(20);
    const division before = divide(vms, 90);
    vms[0].lag = millis(4);
    BOOST_TEST(divide(vms, 90).shards[0] < before.shards[0]);
    vms[0].lag = millis(15);
    BOOST_TEST(divide(vms, 90).shards[0] == 0U);
}

BOOST_AUTO_TEST_CASE(the_planning_vm_keeps_less_if_it_is_behind)
{
    std::vector<vm> vms = zoneSeenBy(0);
    const division before = divide(vms, 90);
    vms[0].lag = millis(4);
    BOOST_TEST(divide(vms, 90).shards[0] < before.shards[0]);
}

BOOST_AUTO_TEST_CASE(small_vms_take_the_parts_of_their_rank_if_the_large_ones_are_behind)
{
    std::vector<vm> vms = zoneSeenBy(20);
    vms[0].lag = vms[1].lag = millis(60);
    const division made = divide(vms, 90);
    const std::size_t parts = partsOf(vms, 90).size();
    BOOST_TEST(made.shards[0] + made.shards[1] == 0U);
    for (std::size_t at = 0; at < vms.size(); ++at) {
        BOOST_TEST(made.shards[at] <= 90 / parts + 1);
    }
}

// Guards against lookups that wait for a busy VM: all VMs of a part are behind, and others of the zone are not.
BOOST_AUTO_TEST_CASE(any_ready_vm_serves_a_part_whose_vms_are_all_far_behind)
{
    std::vector<vm> vms(4);
    for (std::size_t rank = 0; rank < vms.size(); ++rank) {
        vms[rank].rank = rank;
    }
    BOOST_CHECK((servingVms(vms, 0, 2) == std::vector<std::size_t> {0, 2}));
    vms[0].lag = vms[2].lag = millis(100);
    BOOST_CHECK((servingVms(vms, 0, 2) == std::vector<std::size_t> {1, 3}));
    vms[1].lag = vms[3].lag = millis(100);
    BOOST_CHECK((servingVms(vms, 0, 2) == std::vector<std::size_t> {0, 2}));
}

BOOST_AUTO_TEST_CASE(vms_of_equal_capacity_without_lag_are_even)
{
    std::vector<vm> vms(3);
    BOOST_TEST(!isUneven(vms));
    vms[1].capacity = 0.998; // as rounded in a message
    BOOST_TEST(!isUneven(vms));
    vms[1].lag = millis(10);
    BOOST_TEST(isUneven(vms));
    vms[1] = {};
    vms[2].capacity = 0.5;
    BOOST_TEST(isUneven(vms));
    BOOST_TEST(!isUneven({}));
}

// Guards against a part that is lost because no VM can take it, and against division by a capacity of zero.
BOOST_AUTO_TEST_CASE(parts_without_vms_and_vms_without_capacity_are_handled)
{
    seeded_random random(1);
    const std::vector<vm> vms {{0, 0, {}, {}, true, false}};
    const std::vector<part> parts {{5, {}}, {5, {0}}, {0, {0}}};
    BOOST_CHECK((plan(parts, vms, 0, random) == std::vector<std::size_t> {nobody, 0, nobody}));
}

BOOST_AUTO_TEST_CASE(vms_that_finish_equally_soon_share_the_parts)
{
    const std::vector<vm> vms {{0, 1, {}, {}, false, false}, {1, 1, {}, {}, false, false}};
    const std::vector<part> parts {{10, {0, 1}}};
    std::vector<std::size_t> times(vms.size());
    seeded_random random(1);
    for (int at = 0; at < 100; ++at) {
        times[plan(parts, vms, 1, random).front()] += 1;
    }
    BOOST_TEST(times[0] > 20U);
    BOOST_TEST(times[1] > 20U);
}

BOOST_AUTO_TEST_CASE(earlier_work_of_the_planning_vm_counts)
{
    vm_loads loads;
    loads.onDelegated("a", 10, 0.12, millis(1000));
    loads.onDelegated("a", 10, 0.12, millis(1001));
    BOOST_TEST(loads.busyFor("a", millis(1001)).count() == 9, boost::test_tools::tolerance(0.01));
    BOOST_TEST(loads.busyFor("a", millis(1020)).count() == 0);
    BOOST_TEST(loads.busyFor("b", millis(1020)).count() == 0);
}

BOOST_AUTO_TEST_CASE(an_old_report_fades_to_no_lag_and_keeps_the_capacity)
{
    vm_loads loads;
    loads.onLoad("a", {smallCores, millis(40), 0}, millis(1000));
    BOOST_TEST(loads.lagOf("a", millis(1000)).count() == 40);
    BOOST_TEST(loads.lagOf("a", millis(1500)).count() == 20, boost::test_tools::tolerance(0.01));
    BOOST_TEST(loads.behind(millis(1500)) == 1U);
    BOOST_TEST(loads.lagOf("a", millis(2000)).count() == 0);
    BOOST_TEST(loads.behind(millis(2000)) == 0U);
    BOOST_TEST(loads.capacityOf("a").value() == smallCores);
}

// Guards against a VM behind a narrow link that reports no lag.
BOOST_AUTO_TEST_CASE(the_measured_delay_counts_whatever_a_vm_reports)
{
    vm_loads loads;
    loads.onReportDelay("a", millis(80), millis(50), millis(1000));
    loads.onLoad("a", {smallCores, millis(0), 0}, millis(1001));
    BOOST_TEST(loads.lagOf("a", millis(1001)).count() > 25);
    loads.onReportDelay("a", millis(40), millis(50), millis(1002));
    BOOST_TEST(loads.lagOf("a", millis(1002)).count() > 25);
    loads.onReportDelay("a", millis(10), millis(50), millis(1003));
    BOOST_TEST(loads.lagOf("a", millis(1003)).count() <= 10);
    loads.retain([](const std::string &) { return false; });
    BOOST_TEST(loads.lagOf("a", millis(1003)).count() == 0);
    BOOST_TEST(loads.known() == 0U);
}

BOOST_AUTO_TEST_CASE(the_lag_is_a_decaying_maximum)
{
    lag_meter meter;
    meter.record(millis(40), millis(1000));
    meter.record(millis(1), millis(1010));
    BOOST_TEST(meter.lagAt(millis(1010)).count() > 30);
    BOOST_TEST(meter.lagAt(millis(1400)).count() < 5);
    meter.record(millis(60), millis(1410));
    BOOST_TEST(meter.lagAt(millis(1410)).count() == 60);
}
