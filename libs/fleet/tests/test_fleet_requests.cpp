#define BOOST_TEST_MODULE fleet_requests
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

#include <array>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr request_fingerprint guilty {1, 2};
constexpr std::array<leaf_digest, 2> two {10, 11};
constexpr std::array<leaf_digest, 1> third {12};

std::size_t refusing(const fleet_world &world)
{
    return world.standing(guilty, request_standing::Quarantined);
}

/** Node @p at has seen enough for a verdict. */
void convict(fleet_world &world, std::size_t at)
{
    world.accuse(at, guilty, 1, two, false);
    world.accuse(at, guilty, 2, third, true);
}

fleet_world_settings fleetOf(std::size_t nodes, std::size_t zones)
{
    fleet_world_settings settings;
    settings.nodes = nodes;
    settings.zones = zones;
    settings.startSpread = millis(300);
    return settings;
}

} // namespace

/**
 * Symptom: the same request ends leafs once more for each VM.
 * Sequence: it is tried at one VM, its caller asks the next one some milliseconds later.
 * Cause: what one VM had found out stayed with it.
 */
BOOST_AUTO_TEST_CASE(what_one_vm_found_out_all_know_within_some_round_trips)
{
    constexpr std::size_t nodes = 300;
    fleet_world world(fleetOf(nodes, 6));
    world.write("config", "c");
    world.run(millis(6000));
    convict(world, nodes - 1);
    world.run(millis(20)); // 1 ms each way, some five links of the tree and back
    BOOST_CHECK_EQUAL(refusing(world), nodes);
    world.run(millis(1000));
    BOOST_CHECK_LE(world.requestMessages, nodes * 4); // each piece of news once on each link, and no echo
}

BOOST_AUTO_TEST_CASE(two_sides_of_a_cut_that_each_saw_a_part_know_all_when_it_heals)
{
    fleet_world world(fleetOf(8, 4));
    world.write("config", "c");
    world.run(millis(6000));
    world.split(4);
    world.run(millis(3000));
    world.accuse(0, guilty, 1, two, false);
    world.accuse(7, guilty, 2, third, true);
    world.run(millis(1000));
    BOOST_CHECK_EQUAL(refusing(world), 0U);
    // On the side without a seed VMs do not find each other and read the store each by itself.
    BOOST_CHECK_EQUAL(world.standing(guilty, request_standing::Suspect), 5U);
    world.split(0);
    world.run(millis(6000));
    BOOST_CHECK_EQUAL(refusing(world), 8U);
}

/** A VM that starts is told before it has a configuration, without which it serves nobody. Only the first seed reads
 * the store itself; it is told as soon as the others have found it. */
BOOST_AUTO_TEST_CASE(a_vm_that_starts_is_warned_before_it_serves)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_world_settings settings = fleetOf(8, 4);
        settings.seed = seed;
        fleet_world world(settings);
        world.write("config", "c");
        world.run(millis(6000));
        convict(world, seed % 8);
        world.run(millis(100));
        for (std::size_t at = 0; at < 8; ++at) {
            world.kill(at);
            world.start(at, world.now() + millis(50));
            world.run(millis(1000));
            BOOST_REQUIRE_EQUAL(refusing(world), 8U);
            BOOST_REQUIRE_LE(world.servedUnwarned(guilty), at == 0 ? 1U : 0U);
            world.run(millis(3000));
            world.forgetUnwarned();
        }
    }
}

/** Symptom: a verdict is lost. Sequence: the VM that saw it is killed in the moment of telling, or the tree's top is.
 */
BOOST_AUTO_TEST_CASE(a_verdict_outlives_the_vms_that_saw_it)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_world_settings settings = fleetOf(8, 4);
        settings.seed = seed;
        fleet_world world(settings);
        world.write("config", "c");
        world.run(millis(6000));
        const std::size_t witness = seed % 8;
        convict(world, witness);
        world.run(millis(1.5)); // one message of the first link has arrived
        world.kill(witness);
        world.start(witness, world.now() + millis(200));
        world.run(millis(8000));
        BOOST_REQUIRE_EQUAL(refusing(world), 8U);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_clears_everywhere)
{
    fleet_world world(fleetOf(8, 4));
    world.write("config", "c");
    world.run(millis(6000));
    convict(world, 1);
    world.run(millis(700));
    world.clear(5, guilty);
    world.run(millis(100));
    BOOST_CHECK_EQUAL(world.standing(guilty, request_standing::Clear), 8U);
    world.kill(3);
    world.start(3, world.now() + millis(50));
    world.run(millis(4000));
    BOOST_CHECK_EQUAL(world.standing(guilty, request_standing::Clear), 8U);
}

/**
 * Symptom: a lookup that one VM has answered all the time is refused by all.
 * Sequence: leafs end under it at another VM, once under many attempts and once at a trial.
 * Cause: that it was answered before was known only where it was answered.
 */
BOOST_AUTO_TEST_CASE(a_vm_that_answered_a_request_speaks_for_it_everywhere)
{
    fleet_world world(fleetOf(8, 4));
    world.write("config", "c");
    world.run(millis(6000));
    world.clear(5, guilty);
    world.run(millis(1000));
    convict(world, 1);
    world.run(millis(100));
    BOOST_CHECK_EQUAL(world.standing(guilty, request_standing::Suspect), 8U);
}

/**
 * Symptom: a request that ends leafs is sent to all shards twice, and four attempts of it reach leafs when it should be
 * known.
 * Sequence: it comes first to a VM that has been told to stop, then to the next one.
 * Cause: whoever stops closed its links to the fleet at once, and serves callers for seconds after that.
 */
BOOST_AUTO_TEST_CASE(a_vm_that_stops_tells_and_hears_until_it_ends)
{
    constexpr std::size_t nodes = 8;
    constexpr millis untilFound(600); // the one at the top looks for whoever reads after it
    for (std::size_t stopping = 0; stopping < nodes; ++stopping) {
        fleet_world world(fleetOf(nodes, 4));
        world.write("config", "c");
        world.run(millis(6000));
        const bool wasTop = world.node(stopping).isReading();
        world.leave(stopping);
        convict(world, stopping);
        world.run(wasTop ? untilFound : millis(20));
        BOOST_TEST_MESSAGE("node " << stopping << (wasTop ? ", at the top" : ""));
        BOOST_CHECK_EQUAL(refusing(world), nodes);
        world.clear((stopping + 1) % nodes, guilty);
        world.run(untilFound);
        BOOST_CHECK_EQUAL(world.standing(guilty, request_standing::Clear), nodes);
        world.run(millis(2000));
        BOOST_CHECK_EQUAL(world.followersOf(stopping), 0U);
        BOOST_CHECK_EQUAL(world.membersAt((stopping + 1) % nodes), nodes - 1);
        BOOST_CHECK_EQUAL(world.readers(), 1U);
        world.write("config", "d");
        world.run(millis(1000));
        BOOST_CHECK_EQUAL(world.holders("config"), nodes);
    }
}

/** All of them one after the other, as when a new version is rolled out. */
BOOST_AUTO_TEST_CASE(what_is_found_out_outlives_all_vms_stopping_in_turn)
{
    constexpr std::size_t nodes = 8;
    fleet_world world(fleetOf(nodes, 4));
    world.write("config", "c");
    world.run(millis(6000));
    for (std::size_t stopping = 0; stopping < nodes; ++stopping) {
        world.leave(stopping);
        world.run(millis(300));
        if (stopping == 0) {
            convict(world, stopping);
        }
        world.run(millis(1500));
        world.kill(stopping);
        world.start(stopping, world.now() + millis(200));
        world.run(millis(1500));
    }
    BOOST_CHECK_EQUAL(refusing(world), nodes);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_while_nothing_is_found_out)
{
    fleet_world world(fleetOf(8, 4));
    world.write("config", "c");
    world.run(millis(10000));
    BOOST_CHECK_EQUAL(world.requestMessages, 0U);
}

BOOST_AUTO_TEST_CASE(evidence_comes_back_whole_from_the_wire)
{
    request_news news;
    request_evidence &one = news.requests.emplace_back();
    one.key = guilty;
    one.route = 7;
    one.ends = {{1, 10, millis() - millis(5)}, {2, 12, millis() - millis(90000), true}};
    one.vouched = true;
    one.answeredAt = millis() - millis(100000);
    news.requests.push_back({{3, 4}, 8, {}, millis() - millis::never()});
    const std::string frame = encodeFleetFrame(news);
    constexpr std::ptrdiff_t lengthBytes = 4;
    const std::vector<std::uint8_t> payload(frame.begin() + lengthBytes, frame.end());
    const auto read = std::get<request_news>(decodeFleetPayload(payload).value());
    BOOST_REQUIRE_EQUAL(read.requests.size(), 2U);
    BOOST_CHECK(read.requests[0].key == guilty);
    BOOST_CHECK_EQUAL(read.requests[0].route, 7U);
    BOOST_CHECK_EQUAL(read.requests[0].ends[1].leaf, 12U);
    BOOST_CHECK(read.requests[0].ends[1].at == millis() - millis(90000));
    BOOST_CHECK(!read.requests[0].ends[0].alone && read.requests[0].ends[1].alone);
    BOOST_CHECK(read.requests[0].vouched && !read.requests[1].vouched);
    BOOST_CHECK(read.requests[0].answeredAt == one.answeredAt);
    BOOST_CHECK(read.requests[1].answeredAt == millis() - millis::never());
}
