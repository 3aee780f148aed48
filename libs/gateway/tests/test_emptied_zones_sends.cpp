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

/** A leaf of each shard in each of two zones, and some of a single service. */
struct zoned_world : gateway_world {
    zoned_world()
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

    void empty(const std::string &zone)
    {
        BOOST_REQUIRE(engine.setZoneEmptied({zone}, true, now));
        runs.clear();
        arrivals.clear();
    }

    void giveBack(const std::string &zone)
    {
        BOOST_REQUIRE(engine.setZoneEmptied({zone}, false, now));
        runs.clear();
    }

    [[nodiscard]] std::size_t arrivalsIn(const std::string &zone)
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            arrivals, [&](const leaf_run &one) { return engine.leafs().find(one.leafId)->entry.zone.value == zone; }));
    }

    const answer_action &answered(const std::string &target, millis within = millis(700))
    {
        const exchange_id id = ask(target);
        run(within);
        return answerOf(id).answer;
    }

    void everyLeaf(const std::string &zone, const fake_behaviour &behaviour)
    {
        for (auto &[id, known] : behaviours) {
            known = engine.leafs().find(id)->entry.zone.value == zone ? behaviour : known;
        }
    }
};

} // namespace

/**
 * Symptom: leafs of a zone that an operator has emptied, for work on its hosts, go on getting requests.
 * Sequence: the operator's word is read with the configuration. Cause: it was taken for no word at all.
 */
BOOST_AUTO_TEST_CASE(no_leaf_of_an_emptied_zone_is_asked)
{
    zoned_world world;
    world.empty(north);
    for (std::size_t at = 0; at < 20; ++at) {
        const answer_action &lookup = world.answered("/all/" + std::to_string(at));
        BOOST_REQUIRE(lookup.outcome == exchange_outcome::Merged);
        BOOST_REQUIRE_EQUAL(lookup.missing, 0U);
        BOOST_REQUIRE(world.answered("/one/x").outcome == exchange_outcome::Relayed);
    }
    BOOST_CHECK_EQUAL(world.arrivalsIn(north), 0U);
}

/** Neither as a second leaf, when the first is silent, nor when it refuses, fails, breaks or is gone. */
BOOST_AUTO_TEST_CASE(no_second_request_goes_there)
{
    std::vector<fake_behaviour> troubles(5);
    troubles[0].silent = true;
    troubles[1].refuses = true;
    troubles[2].status = 500;
    troubles[3].breaks = true;
    troubles[4].refusesConnections = true;
    for (const fake_behaviour &trouble : troubles) {
        zoned_world world;
        world.empty(north);
        world.everyLeaf(south, trouble);
        for (std::size_t at = 0; at < 5; ++at) {
            constexpr millis longestPatience(2000);
            world.answered("/all/" + std::to_string(at), longestPatience);
            world.answered("/one/" + std::to_string(at), longestPatience);
        }
        BOOST_CHECK_EQUAL(world.arrivalsIn(north), 0U);
    }
}

/** Known to be unservable: refused as not run in the same step, with the zone for the log and a time to come back. */
BOOST_AUTO_TEST_CASE(what_has_leafs_nowhere_else_is_refused_at_once)
{
    for (const std::string target : {"/all/x", "/one/x"}) {
        zoned_world world;
        world.empty(north);
        world.empty(south);
        const millis asked = world.now;
        const exchange_id id = world.ask(target);
        BOOST_REQUIRE(world.answers.contains(id));
        const answer_action &answer = world.answerOf(id).answer;
        BOOST_CHECK(world.answerOf(id).at == asked);
        BOOST_CHECK(answer.outcome == exchange_outcome::Refused);
        BOOST_CHECK_EQUAL(answer.cause, "zone_emptied");
        BOOST_CHECK(answer.emptiedZone.value == north || answer.emptiedZone.value == south);
        BOOST_CHECK(answer.retryAfter >= millis(500));
        BOOST_CHECK(world.arrivals.empty());
    }
}

BOOST_AUTO_TEST_CASE(shards_that_have_leafs_nowhere_else_are_left_out_as_coverage_allows)
{
    zoned_world world;
    const std::string only = world.addLeaf("shard0", {}, north);
    for (const auto &[id, behaviour] : world.behaviours) {
        if (id.starts_with("shard0-") && id != only) {
            world.engine.leafs().remove(id, world.now - millis(100000));
        }
    }
    world.engine.leafs().expire(world.now);
    world.empty(north);
    const answer_action &answer = world.answered("/all/x");
    BOOST_CHECK(answer.outcome == exchange_outcome::Merged);
    BOOST_CHECK_EQUAL(answer.missing, 1U);
    BOOST_CHECK_EQUAL(answer.emptiedZone.value, north);
    BOOST_CHECK(answer.elapsed <= millis(20));
}

/** A request that waits for a free connection when the word comes gets its answer with the next look. */
BOOST_AUTO_TEST_CASE(what_waits_is_not_sent_there_later)
{
    gateway_world world(settingsIn(north));
    world.publish({gateway_world::singleRoute(true)});
    fake_behaviour slow;
    slow.work = millis(60);
    slow.slots = 200;
    world.addLeaf("single", slow, north);
    std::vector<exchange_id> asked;
    for (std::size_t at = 0; at < 150; ++at) { // the leaf takes 100 connections
        asked.push_back(world.ask("/one/" + std::to_string(at)));
    }
    world.engine.setZoneEmptied({north}, true, world.now);
    world.arrivals.clear();
    const millis emptied = world.now;
    world.run(millis(10));
    BOOST_CHECK(world.arrivals.empty());
    const auto late = std::ranges::count_if(asked, [&](exchange_id id) {
        return world.answers.contains(id) && world.answerOf(id).answer.cause == std::string_view("zone_emptied")
            && world.answerOf(id).at <= emptied + millis(10);
    });
    BOOST_CHECK_EQUAL(late, 50);
    world.run(millis(500));
    const auto served = std::ranges::count_if(
        asked, [&](exchange_id id) { return world.answerOf(id).answer.outcome == exchange_outcome::Relayed; });
    BOOST_CHECK_EQUAL(served, 100); // what leafs had in hand is brought
}

/** Nor a request that is suspected of ending leafs, and that is tried at one leaf alone. */
BOOST_AUTO_TEST_CASE(no_trial_goes_there)
{
    zoned_world world;
    world.endsLeafs = [](exchange_id) { return true; };
    world.answered("/all/ending");
    world.replaceEnded();
    world.empty(north);
    world.answered("/all/ending");
    BOOST_CHECK_EQUAL(world.arrivalsIn(north), 0U);
}

/**
 * Symptom: when a zone is given back its leafs, cold by now, meet all requests at once, and all of these are late.
 * Cause: leafs of the own zone cost least, so that every VM there turns to them with the same word.
 */
BOOST_AUTO_TEST_CASE(requests_come_back_to_a_zone_bit_by_bit)
{
    zoned_world world;
    world.empty(north);
    world.giveBack(north);
    const auto shareNow = [&] {
        world.arrivals.clear();
        for (std::size_t at = 0; at < 30; ++at) {
            world.answered("/all/" + std::to_string(at));
            world.now = world.now - millis(700); // as if all came at one moment
        }
        return static_cast<double>(world.arrivalsIn(north)) / static_cast<double>(world.arrivals.size());
    };
    const double first = shareNow();
    BOOST_CHECK(first > 0 && first < 0.3);
    world.run(millis(2000));
    const double half = shareNow();
    BOOST_CHECK(half > first && half < 0.8);
    world.run(millis(3000));
    BOOST_CHECK_GT(shareNow(), 0.95);
}

BOOST_AUTO_TEST_CASE(while_requests_come_back_none_is_refused_that_has_leafs_nowhere_else)
{
    zoned_world world;
    world.engine.setZoneEmptied({south}, true, world.now);
    world.empty(north);
    world.giveBack(north);
    for (std::size_t at = 0; at < 20; ++at) {
        BOOST_REQUIRE(world.answered("/all/" + std::to_string(at)).outcome == exchange_outcome::Merged);
    }
    BOOST_CHECK_EQUAL(world.arrivalsIn(south), 0U);
}

/** A VM that takes work of another one knows the word as well, perhaps sooner. */
BOOST_AUTO_TEST_CASE(a_helper_asks_no_leaf_there)
{
    for (const std::size_t knowing : {0U, 1U}) {
        two_vms world;
        world.engineOf(knowing).setZoneEmptied({"there"}, true, world.now);
        const exchange_id id = world.ask();
        world.run(millis(700));
        BOOST_CHECK(world.runs.empty() || knowing == 1);
        BOOST_CHECK_EQUAL(world.sends[1], 0U);
        BOOST_REQUIRE(world.answers.contains(id));
    }
}
