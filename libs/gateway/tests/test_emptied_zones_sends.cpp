#define BOOST_TEST_MODULE emptied_zones_sends
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"
#include "two_vms.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr std::size_t shards = 6;
const std::string north = "north";
const std::string south = "south";

gateway_settings settingsIn(const std::string &zone)
{
    gateway_settings settings;
    settings.zone = {zone};
    settings.retrySlack = 1000;
    return settings;
}

/** Two zones, each with one leaf of each shard and one of the single service. */
struct two_zone_world : gateway_world {
    two_zone_world()
        : gateway_world(settingsIn(north))
    {
        publish({gatherRoute(shards, 0.6), singleRoute(true)});
        for (const std::string &zone : {north, south}) {
            for (std::size_t at = 0; at < shards; ++at) {
                addLeaf(shardName(at), {}, zone);
            }
            addLeaf("single", {}, zone);
        }
    }

    void drainZone(const std::string &zone)
    {
        BOOST_REQUIRE(engine.setZoneDrained({zone}, true, now));
        runs.clear();
        arrivals.clear();
    }

    void undrainZone(const std::string &zone)
    {
        BOOST_REQUIRE(engine.setZoneDrained({zone}, false, now));
        runs.clear();
    }

    [[nodiscard]] std::size_t arrivalsIn(const std::string &zone)
    {
        return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](const leaf_arrival &one) {
            return engine.leafs().find(one.leafId)->entry.zone.value == zone;
        }));
    }

    const answer_action &submitAndWait(const std::string &target, millis duration = millis(700))
    {
        const exchange_id id = submit(target);
        runFor(duration);
        return answerOf(id).answer;
    }

    void setBehaviour(const std::string &zone, const fake_leaf_behaviour &behaviour)
    {
        for (auto &[id, current] : behaviours) {
            current = engine.leafs().find(id)->entry.zone.value == zone ? behaviour : current;
        }
    }
};

} // namespace

// Guards against requests to leafs of a zone that an operator has drained to work on its hosts: the drain was read with
// the configuration and ignored.
BOOST_AUTO_TEST_CASE(leafs_of_a_drained_zone_receive_no_requests)
{
    two_zone_world world;
    world.drainZone(north);
    for (std::size_t at = 0; at < 20; ++at) {
        const answer_action &merged = world.submitAndWait("/all/" + std::to_string(at));
        BOOST_REQUIRE(merged.outcome == exchange_outcome::Merged);
        BOOST_REQUIRE_EQUAL(merged.missing, 0U);
        BOOST_REQUIRE(world.submitAndWait("/one/x").outcome == exchange_outcome::Relayed);
    }
    BOOST_CHECK_EQUAL(world.arrivalsIn(north), 0U);
}

// Covers a first leaf that is unresponsive, refuses, fails, breaks the connection or accepts no connection.
BOOST_AUTO_TEST_CASE(hedges_and_retries_avoid_a_drained_zone)
{
    std::vector<fake_leaf_behaviour> failures(5);
    failures[0].neverAnswers = true;
    failures[1].refusesRequests = true;
    failures[2].status = 500;
    failures[3].dropsConnection = true;
    failures[4].refusesConnections = true;
    for (const fake_leaf_behaviour &failure : failures) {
        two_zone_world world;
        world.drainZone(north);
        world.setBehaviour(south, failure);
        for (std::size_t at = 0; at < 5; ++at) {
            constexpr millis longestTimeout(2000);
            world.submitAndWait("/all/" + std::to_string(at), longestTimeout);
            world.submitAndWait("/one/" + std::to_string(at), longestTimeout);
        }
        BOOST_CHECK_EQUAL(world.arrivalsIn(north), 0U);
    }
}

// A request known to be unservable is refused in the same step as not run, with the drained zone for the log and a
// Retry-After time.
BOOST_AUTO_TEST_CASE(requests_with_leafs_only_in_drained_zones_are_refused_at_once)
{
    for (const std::string target : {"/all/x", "/one/x"}) {
        two_zone_world world;
        world.drainZone(north);
        world.drainZone(south);
        const millis submittedAt = world.now;
        const exchange_id id = world.submit(target);
        BOOST_REQUIRE(world.answers.contains(id));
        const answer_action &answer = world.answerOf(id).answer;
        BOOST_CHECK(world.answerOf(id).at == submittedAt);
        BOOST_CHECK(answer.outcome == exchange_outcome::Refused);
        BOOST_CHECK_EQUAL(answer.cause, "zone_emptied");
        BOOST_CHECK(answer.drainedZone.value == north || answer.drainedZone.value == south);
        BOOST_CHECK(answer.retryAfter >= millis(500));
        BOOST_CHECK(world.arrivals.empty());
    }
}

BOOST_AUTO_TEST_CASE(shards_with_leafs_only_in_drained_zones_are_omitted_within_coverage)
{
    two_zone_world world;
    const std::string only = world.addLeaf("shard0", {}, north);
    for (const auto &[id, behaviour] : world.behaviours) {
        if (id.starts_with("shard0-") && id != only) {
            world.engine.leafs().remove(id, world.now - millis(100000));
        }
    }
    world.engine.leafs().expire(world.now);
    world.drainZone(north);
    const answer_action &answer = world.submitAndWait("/all/x");
    BOOST_CHECK(answer.outcome == exchange_outcome::Merged);
    BOOST_CHECK_EQUAL(answer.missing, 1U);
    BOOST_CHECK_EQUAL(answer.drainedZone.value, north);
    BOOST_CHECK(answer.elapsed <= millis(20));
}

// A request that waits for a free connection when its zone is drained is answered at the engine's next poll.
BOOST_AUTO_TEST_CASE(waiting_requests_are_not_sent_to_a_zone_drained_meanwhile)
{
    gateway_world world(settingsIn(north));
    world.publish({gateway_world::singleRoute(true)});
    fake_leaf_behaviour slow;
    slow.processingTime = millis(60);
    slow.slots = 200;
    world.addLeaf("single", slow, north);
    std::vector<exchange_id> exchanges;
    for (std::size_t at = 0; at < 150; ++at) { // the leaf accepts 100 connections
        exchanges.push_back(world.submit("/one/" + std::to_string(at)));
    }
    world.engine.setZoneDrained({north}, true, world.now);
    world.arrivals.clear();
    const millis drainedAt = world.now;
    world.runFor(millis(10));
    BOOST_CHECK(world.arrivals.empty());
    const auto refusedCount = std::ranges::count_if(exchanges, [&](exchange_id id) {
        return world.answers.contains(id) && world.answerOf(id).answer.cause == std::string_view("zone_emptied")
            && world.answerOf(id).at <= drainedAt + millis(10);
    });
    BOOST_CHECK_EQUAL(refusedCount, 50);
    world.runFor(millis(500));
    const auto relayedCount = std::ranges::count_if(
        exchanges, [&](exchange_id id) { return world.answerOf(id).answer.outcome == exchange_outcome::Relayed; });
    BOOST_CHECK_EQUAL(relayedCount, 100); // the requests that were already sent are completed
}

// Covers the canary of a request that is suspected of crashing leafs.
BOOST_AUTO_TEST_CASE(canary_requests_avoid_a_drained_zone)
{
    two_zone_world world;
    world.crashesLeaf = [](exchange_id) { return true; };
    world.submitAndWait("/all/ending");
    world.replaceCrashed();
    world.drainZone(north);
    world.submitAndWait("/all/ending");
    BOOST_CHECK_EQUAL(world.arrivalsIn(north), 0U);
}

// Guards against late answers after an undrain: leafs of the local zone cost least, so every VM sent them all requests
// at once, while their caches were cold.
BOOST_AUTO_TEST_CASE(an_undrained_zone_receives_requests_gradually)
{
    two_zone_world world;
    world.drainZone(north);
    world.undrainZone(north);
    const auto measureShare = [&] {
        world.arrivals.clear();
        for (std::size_t at = 0; at < 30; ++at) {
            world.submitAndWait("/all/" + std::to_string(at));
            world.now = world.now - millis(700); // as if all requests arrived at one moment
        }
        return static_cast<double>(world.arrivalsIn(north)) / static_cast<double>(world.arrivals.size());
    };
    const double initialShare = measureShare();
    BOOST_CHECK(initialShare > 0 && initialShare < 0.3);
    world.runFor(millis(2000));
    const double rampShare = measureShare();
    BOOST_CHECK(rampShare > initialShare && rampShare < 0.8);
    world.runFor(millis(3000));
    BOOST_CHECK_GT(measureShare(), 0.95);
}

BOOST_AUTO_TEST_CASE(requests_with_leafs_only_in_an_undrained_zone_are_served_during_the_ramp)
{
    two_zone_world world;
    world.engine.setZoneDrained({south}, true, world.now);
    world.drainZone(north);
    world.undrainZone(north);
    for (std::size_t at = 0; at < 20; ++at) {
        BOOST_REQUIRE(world.submitAndWait("/all/" + std::to_string(at)).outcome == exchange_outcome::Merged);
    }
    BOOST_CHECK_EQUAL(world.arrivalsIn(south), 0U);
}

// Either VM may learn of the drain first: the one that delegates or the helper.
BOOST_AUTO_TEST_CASE(a_helper_asks_no_leaf_of_a_drained_zone)
{
    for (const std::size_t informedVm : {0U, 1U}) {
        two_vms world;
        world.engineOf(informedVm).setZoneDrained({"there"}, true, world.now);
        const exchange_id id = world.submit();
        world.runFor(millis(700));
        BOOST_CHECK(world.runs.empty() || informedVm == 1);
        BOOST_CHECK_EQUAL(world.sends[1], 0U);
        BOOST_REQUIRE(world.answers.contains(id));
    }
}
