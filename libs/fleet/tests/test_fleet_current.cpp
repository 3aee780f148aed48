#define BOOST_TEST_MODULE fleet_current
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** Writes something new each 50 ms and looks after each step. @return nodes that took themselves for current wrongly.
 */
std::size_t falselyCurrentWhile(fleet_world &world, millis time, std::size_t &written)
{
    constexpr millis step(50);
    std::size_t most = 0;
    for (millis spent; spent < time; spent = spent + step) {
        ++written;
        world.write("k" + std::to_string(written % 20), "v" + std::to_string(written));
        world.run(step);
        most = std::max(most, world.falselyCurrent());
    }
    return most;
}

} // namespace

// Guards against a VM that takes itself for current while the one above it stands still.
BOOST_AUTO_TEST_CASE(nobody_is_current_by_what_a_silent_process_once_said)
{
    for (const std::size_t nodes : {8U, 78U}) {
        fleet_world world(fleet_world_settings {.nodes = nodes, .zones = 4, .fanOut = 4});
        std::size_t written = 0;
        BOOST_TEST(falselyCurrentWhile(world, millis(4000), written) == 0U);
        world.freeze(0, true);
        BOOST_TEST(falselyCurrentWhile(world, millis(2500), written) == 0U);
        world.freeze(0, false);
        BOOST_TEST(falselyCurrentWhile(world, millis(4000), written) == 0U);
        BOOST_TEST((world.oldestCurrent() < millis(2000)));
    }
}

// Guards against ages that are lost where several processes of one path stand still, by turns or at one moment, end, or
// are cut from the store.
BOOST_AUTO_TEST_CASE(ages_add_up_along_a_path_that_stands_still_by_turns)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        seeded_random random(seed);
        fleet_world world(fleet_world_settings {.nodes = 30, .zones = 2, .fanOut = 3, .seed = seed});
        std::size_t written = 0;
        std::size_t wrong = falselyCurrentWhile(world, millis(4000), written);
        std::set<std::size_t> still;
        for (int turn = 0; turn < 12; ++turn) {
            const std::size_t at = random.below(turn % 3 == 0 ? 3 : 30);
            if (still.erase(at) > 0) {
                world.freeze(at, false);
            } else if (turn % 5 == 4) {
                world.kill(at);
                world.start(at, world.now() + millis(200));
            } else if (still.size() < 4) {
                still.insert(at);
                world.freeze(at, true);
            }
            world.cutFromStore(0, turn % 4 == 3, seed % 2 == 0);
            wrong = std::max(wrong, falselyCurrentWhile(world, millis(200 + 900 * random.uniform()), written));
        }
        std::ranges::for_each(still, [&](std::size_t at) { world.freeze(at, false); });
        world.cutFromStore(0, false);
        wrong = std::max(wrong, falselyCurrentWhile(world, millis(5000), written));
        BOOST_TEST(wrong == 0U, "seed " << seed << ": " << wrong << " wrongly current");
        BOOST_TEST((world.oldestCurrent() < millis(2000)));
    }
}

// Guards against a vouched moment so old that leafs which leave are given up before their time.
BOOST_AUTO_TEST_CASE(a_calm_fleet_is_current_within_a_beat_and_some_ticks)
{
    for (const std::size_t nodes : {8U, 78U, 300U}) {
        fleet_world world(fleet_world_settings {.nodes = nodes, .zones = 6});
        world.run(millis(6000));
        millis oldest;
        for (int step = 0; step < 40; ++step) {
            world.run(millis(50));
            oldest = std::max(oldest, world.oldestCurrent());
        }
        BOOST_TEST_MESSAGE(nodes << " processes: current within " << oldest.ceiled() << " ms");
        BOOST_TEST((oldest < millis(1400)));
    }
}
