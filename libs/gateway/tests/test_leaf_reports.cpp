#define BOOST_TEST_MODULE leaf_reports
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

using namespace chivelock;
using namespace chivelock::testing;

// Guards against a tenth of the lookups of a large fleet being late while some leafs are slow: each VM sends each of
// them one request per second and needs several slow answers to rate it as slow, and VMs did not share their findings.
BOOST_AUTO_TEST_CASE(a_slow_leaf_reported_by_one_vm_is_avoided_by_others)
{
    gateway_world reportingWorld;
    gateway_world receivingWorld;
    for (gateway_world *world : {&reportingWorld, &receivingWorld}) {
        world->publish({gateway_world::singleRoute(true)});
        world->addLeaf("single");
        for (int at = 0; at < 30; ++at) {
            world->submit("/one/x");
            world->runFor(millis(20));
        }
        (void)world->engine.takeReports();
        world->behaviours["single-0"].processingTime = millis(60);
        world->arrivals.clear();
    }
    for (int at = 0; at < 8; ++at) {
        reportingWorld.submit("/one/x");
        reportingWorld.runFor(millis(100));
    }
    receivingWorld.runFor(millis(800));
    receivingWorld.addLeaf("single");
    std::vector<leaf_report> reports = reportingWorld.engine.takeReports();
    BOOST_TEST_REQUIRE(reports.size() == 1U);
    BOOST_TEST(reports.front().leaf == digestOf("single-0"));
    BOOST_TEST(reports.front().slowness > 1.3);
    receivingWorld.engine.onReports(reports);
    for (int at = 0; at < 8; ++at) {
        receivingWorld.submit("/one/x");
        receivingWorld.runFor(millis(100));
    }
    BOOST_TEST(std::ranges::count(receivingWorld.arrivals, "single-0", &gateway_world::leaf_arrival::leafId) == 0);
}

// Guards against one VM that loses its links to the leafs making all VMs refuse requests: it reports every leaf as
// unreachable, and the other VMs took these reports for facts about the leafs.
BOOST_AUTO_TEST_CASE(reports_of_unreachable_leafs_cannot_exclude_all_leafs)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true)});
    const std::string first = world.addLeaf("single");
    const std::string second = world.addLeaf("single");
    world.engine.onReports(std::vector<leaf_report> {{digestOf(first), 0, 1, true, world.now}});
    for (int at = 0; at < 5; ++at) {
        world.submit("/one/x");
        world.runFor(millis(20));
    }
    BOOST_TEST(std::ranges::count(world.arrivals, first, &gateway_world::leaf_arrival::leafId) == 0);
    const std::vector<leaf_report> bothUnreachable = {{digestOf(first), 0, 1, true, world.now},
                                                      {digestOf(second), 0, 1, true, world.now}};
    world.engine.onReports(bothUnreachable);
    const exchange_id id = world.submit("/one/x");
    world.runFor(millis(50));
    BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Relayed);
}

// Guards against callers of one zone waiting for a leaf that is slow for that zone only: VMs of other zones report it
// as fast, and their reports replaced those of the local zone.
BOOST_AUTO_TEST_CASE(reports_of_the_local_zone_take_precedence)
{
    gateway_settings settings;
    settings.zone = {"here"};
    gateway_world world(settings);
    world.publish({gateway_world::singleRoute(true)});
    const std::string id = world.addLeaf("single");
    const auto slowness = [&] { return world.engine.leafs().find(id)->slowness; };
    const auto receiveReport = [&](const std::string &zone, double value) {
        const std::vector<leaf_report> reports = {{digestOf(id), digestOf(zone_name {zone}), value, false, world.now}};
        world.engine.onReports(reports);
    };
    receiveReport("here", 4);
    BOOST_TEST(slowness() == 4);
    world.runFor(millis(500));
    receiveReport("there", 1);
    BOOST_TEST(slowness() == 4);
    receiveReport("here", 2);
    BOOST_TEST(slowness() == 2);
    world.runFor(millis(1500));
    receiveReport("there", 1);
    BOOST_TEST(slowness() == 1);
}

// Guards against repeated requests to a leaf on a busy host: the leaf reports with its answer that work now takes four
// times as long, but only answer times were considered, and several of them are needed to rate a leaf as slow.
BOOST_AUTO_TEST_CASE(a_reported_host_slowdown_applies_at_once_and_decays)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true)});
    const std::string busyLeaf = world.addLeaf("single");
    for (int at = 0; at < 30; ++at) {
        world.submit("/one/x");
        world.runFor(millis(20));
    }
    world.behaviours[busyLeaf] = {.processingTime = millis(40), .hostSlowdown = 4};
    world.submit("/one/x");
    world.runFor(millis(50));
    world.addLeaf("single");
    world.arrivals.clear();
    world.submit("/one/x");
    world.runFor(millis(50));
    BOOST_TEST(std::ranges::count(world.arrivals, busyLeaf, &gateway_world::leaf_arrival::leafId) == 0);
    world.behaviours[busyLeaf] = {.hostSlowdown = 1};
    for (int at = 0; at < 40; ++at) {
        world.runFor(millis(100));
        world.submit("/one/x");
    }
    BOOST_TEST(std::ranges::count(world.arrivals, busyLeaf, &gateway_world::leaf_arrival::leafId) > 5);
}

BOOST_AUTO_TEST_CASE(a_slow_leaf_that_reports_an_idle_host_is_detected_as_slow)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(true)});
    const std::string slowLeaf = world.addLeaf("single");
    for (int at = 0; at < 30; ++at) {
        world.submit("/one/x");
        world.runFor(millis(20));
    }
    world.behaviours[slowLeaf] = {.processingTime = millis(60), .hostSlowdown = 1};
    for (int at = 0; at < 3; ++at) {
        world.submit("/one/x");
        world.runFor(millis(70));
    }
    BOOST_TEST(world.engine.leafs().find(slowLeaf)->slowness > 1.7);
}

// Guards against avoiding a restarted leaf as slow for a second: another VM's report about the earlier process arrives
// after the restart and names the id, which both processes have.
BOOST_AUTO_TEST_CASE(reports_about_an_earlier_process_of_a_leaf_are_ignored)
{
    gateway_world world;
    leaf_entry entry;
    entry.id = "single-1";
    entry.service = {"single"};
    entry.leafStartedAt = millis(1e12);
    world.engine.leafs().put(entry, millis(1000));
    entry.leafStartedAt = millis(1e12 + 9000);
    world.engine.leafs().put(entry, millis(10000));
    const leaf_digest digest = digestOf("single-1");
    const leaf_report early[] = {{digest, 0, 20, false, millis(9990)}};
    BOOST_TEST(world.engine.onReports(early) == 0U);
    const leaf_report later[] = {{digest, 0, 20, false, millis(11500)}};
    BOOST_TEST(world.engine.onReports(later) == 1U);
}
