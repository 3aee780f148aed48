#define BOOST_TEST_MODULE fleet_current
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** Writes an update every 50 ms and checks all nodes 50 ms after each. @return the greatest number of falsely current
 *  nodes that a check found. */
std::size_t maxFalselyCurrentDuring(fleet_world &world, millis duration, std::size_t &writeCount)
{
    constexpr millis step(50);
    std::size_t maximum = 0;
    for (millis elapsed; elapsed < duration; elapsed = elapsed + step) {
        ++writeCount;
        world.write("k" + std::to_string(writeCount % 20), "v" + std::to_string(writeCount));
        world.run(step);
        maximum = std::max(maximum, world.countFalselyCurrent());
    }
    return maximum;
}

} // namespace

// Guards against a VM that reports its state as current while its upstream process is paused.
BOOST_AUTO_TEST_CASE(messages_from_a_paused_process_do_not_confirm_freshness)
{
    for (const std::size_t nodeCount : {8U, 78U}) {
        fleet_world world(fleet_world_settings {.nodeCount = nodeCount, .zoneCount = 4, .fanOut = 4});
        std::size_t writeCount = 0;
        BOOST_TEST(maxFalselyCurrentDuring(world, millis(4000), writeCount) == 0U);
        world.setPaused(0, true);
        BOOST_TEST(maxFalselyCurrentDuring(world, millis(2500), writeCount) == 0U);
        world.setPaused(0, false);
        BOOST_TEST(maxFalselyCurrentDuring(world, millis(4000), writeCount) == 0U);
        BOOST_TEST((world.maxFreshnessAge() < millis(2000)));
    }
}

// Guards against ages of messages that are lost when several processes on one path pause, in turn or at the same time,
// end, or lose the store.
BOOST_AUTO_TEST_CASE(store_freshness_stays_true_while_processes_on_a_path_pause_in_turn)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        seeded_random random(seed);
        fleet_world world(fleet_world_settings {.nodeCount = 30, .zoneCount = 2, .fanOut = 3, .seed = seed});
        std::size_t writeCount = 0;
        std::size_t maxFalselyCurrent = maxFalselyCurrentDuring(world, millis(4000), writeCount);
        std::set<std::size_t> pausedNodes;
        for (int round = 0; round < 12; ++round) {
            const std::size_t index = random.below(round % 3 == 0 ? 3 : 30);
            if (pausedNodes.erase(index) > 0) {
                world.setPaused(index, false);
            } else if (round % 5 == 4) {
                world.kill(index);
                world.start(index, world.now() + millis(200));
            } else if (pausedNodes.size() < 4) {
                pausedNodes.insert(index);
                world.setPaused(index, true);
            }
            world.setStoreUnavailable(0, round % 4 == 3, seed % 2 == 0);
            maxFalselyCurrent = std::max(
                maxFalselyCurrent, maxFalselyCurrentDuring(world, millis(200 + 900 * random.uniform()), writeCount));
        }
        std::ranges::for_each(pausedNodes, [&](std::size_t index) { world.setPaused(index, false); });
        world.setStoreUnavailable(0, false);
        maxFalselyCurrent = std::max(maxFalselyCurrent, maxFalselyCurrentDuring(world, millis(5000), writeCount));
        BOOST_TEST(maxFalselyCurrent == 0U, "seed " << seed << ": " << maxFalselyCurrent << " nodes falsely current");
        BOOST_TEST((world.maxFreshnessAge() < millis(2000)));
    }
}

// Guards against a store freshness that lags so far behind that leaving leafs are given up too early.
BOOST_AUTO_TEST_CASE(an_undisturbed_fleet_is_current_within_a_heartbeat_and_some_ticks)
{
    for (const std::size_t nodeCount : {8U, 78U, 300U}) {
        fleet_world world(fleet_world_settings {.nodeCount = nodeCount, .zoneCount = 6});
        world.run(millis(6000));
        millis maxAge;
        for (int step = 0; step < 40; ++step) {
            world.run(millis(50));
            maxAge = std::max(maxAge, world.maxFreshnessAge());
        }
        BOOST_TEST_MESSAGE(nodeCount << " processes: store freshness lags by at most " << maxAge.ceiled() << " ms");
        BOOST_TEST((maxAge < millis(1400)));
    }
}
