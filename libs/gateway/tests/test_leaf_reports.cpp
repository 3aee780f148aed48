#define BOOST_TEST_MODULE leaf_reports
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

using namespace chivelock;
using namespace chivelock::testing;

// Symptom: a tenth of the lookups of a large fleet are late for as long as some leafs are slow.
// Sequence: leafs turn slow; each VM meets each of them once a second and has to wait for it some times before it
// believes that. Cause: what one VM found out stayed with it.
BOOST_AUTO_TEST_CASE(what_one_vm_finds_out_of_a_slow_leaf_the_others_know)
{
    gateway_world finder;
    gateway_world hearer;
    for (gateway_world *world : {&finder, &hearer}) {
        world->publish({gateway_world::singleRoute(true)});
        world->addLeaf("single");
        for (int at = 0; at < 30; ++at) {
            world->ask("/one/x");
            world->run(millis(20));
        }
        (void)world->engine.takeReports();
        world->behaviours["single-0"].work = millis(60);
        world->arrivals.clear();
    }
    for (int at = 0; at < 8; ++at) {
        finder.ask("/one/x");
        finder.run(millis(100));
    }
    hearer.run(millis(800));
    hearer.addLeaf("single");
    std::vector<leaf_report> reports = finder.engine.takeReports();
    BOOST_TEST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().leaf == digestOf("single-0"));
    BOOST_TEST(reports.front().slowness > 1.3);
    hearer.engine.onReports(reports);
    for (int at = 0; at < 8; ++at) {
        hearer.ask("/one/x");
        hearer.run(millis(100));
    }
    BOOST_TEST(std::ranges::count(hearer.arrivals, "single-0", &gateway_world::leaf_run::leafId) == 0);
}

// Symptom: one VM loses its links to the leafs, and all VMs refuse requests.
// Sequence: it reports every leaf as out of reach; the others believe it. Cause: another VM's word that a leaf is out
// of reach was taken for a fact about the leaf.
BOOST_AUTO_TEST_CASE(a_vm_that_is_cut_off_from_leafs_stops_nobody_else)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true)});
    const std::string first = world.addLeaf("single");
    const std::string second = world.addLeaf("single");
    world.engine.onReports(std::vector<leaf_report> {{digestOf(first), 0, 1, true, world.now}});
    for (int at = 0; at < 5; ++at) {
        world.ask("/one/x");
        world.run(millis(20));
    }
    BOOST_TEST(std::ranges::count(world.arrivals, first, &gateway_world::leaf_run::leafId) == 0);
    const std::vector<leaf_report> both = {{digestOf(first), 0, 1, true, world.now},
                                           {digestOf(second), 0, 1, true, world.now}};
    world.engine.onReports(both);
    const exchange_id id = world.ask("/one/x");
    world.run(millis(50));
    BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Relayed);
}

// Symptom: callers of one zone wait for a leaf that is slow for that zone alone.
// Sequence: VMs of other zones find it as fast as ever and say so. Cause: their word went before the own zone's.
BOOST_AUTO_TEST_CASE(the_own_zones_word_of_a_leaf_goes_before_other_zones)
{
    gateway_settings settings;
    settings.zone = {"here"};
    gateway_world world(settings);
    world.publish({gateway_world::singleRoute(true)});
    const std::string id = world.addLeaf("single");
    const auto slowness = [&] { return world.engine.leafs().find(id)->slowness; };
    const auto hear = [&](const std::string &zone, double value) {
        const std::vector<leaf_report> reports = {{digestOf(id), digestOf(zone_name {zone}), value, false, world.now}};
        world.engine.onReports(reports);
    };
    hear("here", 4);
    BOOST_TEST(slowness() == 4);
    world.run(millis(500));
    hear("there", 1);
    BOOST_TEST(slowness() == 4);
    hear("here", 2);
    BOOST_TEST(slowness() == 2);
    world.run(millis(1500));
    hear("there", 1);
    BOOST_TEST(slowness() == 1);
}

// Symptom: lookups meet a leaf whose host is busy again and again.
// Sequence: the leaf tells with its answer that work takes four times as long there now; the next request goes to it
// all the same. Cause: only times of answers were believed, and of those it takes some.
BOOST_AUTO_TEST_CASE(a_busy_host_is_believed_at_once_and_soon_forgotten)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true)});
    const std::string busy = world.addLeaf("single");
    for (int at = 0; at < 30; ++at) {
        world.ask("/one/x");
        world.run(millis(20));
    }
    world.behaviours[busy] = {.work = millis(40), .hostSlowdown = 4};
    world.ask("/one/x");
    world.run(millis(50));
    world.addLeaf("single");
    world.arrivals.clear();
    world.ask("/one/x");
    world.run(millis(50));
    BOOST_TEST(std::ranges::count(world.arrivals, busy, &gateway_world::leaf_run::leafId) == 0);
    world.behaviours[busy] = {.hostSlowdown = 1};
    for (int at = 0; at < 40; ++at) {
        world.run(millis(100));
        world.ask("/one/x");
    }
    BOOST_TEST(std::ranges::count(world.arrivals, busy, &gateway_world::leaf_run::leafId) > 5);
}

BOOST_AUTO_TEST_CASE(a_slow_leaf_that_calls_its_host_idle_is_found_slow_all_the_same)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true)});
    const std::string slow = world.addLeaf("single");
    for (int at = 0; at < 30; ++at) {
        world.ask("/one/x");
        world.run(millis(20));
    }
    world.behaviours[slow] = {.work = millis(60), .hostSlowdown = 1};
    for (int at = 0; at < 3; ++at) {
        world.ask("/one/x");
        world.run(millis(70));
    }
    BOOST_TEST(world.engine.leafs().find(slow)->slowness > 1.7);
}

// Symptom: a leaf that has just started again is passed over as slow for a second.
// Sequence: it ends while slow; another VM's word of that arrives after its new start.
// Cause: the word names the id, which both lives have.
BOOST_AUTO_TEST_CASE(word_of_a_leafs_earlier_life_says_nothing_of_the_new_one)
{
    gateway_world world;
    leaf_entry entry;
    entry.id = "single-1";
    entry.service = {"single"};
    entry.bornAt = millis(1e12);
    world.engine.leafs().put(entry, millis(1000));
    entry.bornAt = millis(1e12 + 9000);
    world.engine.leafs().put(entry, millis(10000));
    const leaf_digest digest = digestOf("single-1");
    const leaf_report early[] = {{digest, 0, 20, false, millis(9990)}};
    BOOST_TEST(world.engine.onReports(early) == 0U);
    const leaf_report later[] = {{digest, 0, 20, false, millis(11500)}};
    BOOST_TEST(world.engine.onReports(later) == 1U);
}
