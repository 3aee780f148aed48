#define BOOST_TEST_MODULE fleet_requests
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

#include <array>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr request_fingerprint crashingRequest {1, 2};
constexpr std::array<leaf_digest, 2> firstTwoLeafs {10, 11};
constexpr std::array<leaf_digest, 1> thirdLeaf {12};

std::size_t countRefusing(const fleet_world &world)
{
    return world.countInQuarantineState(crashingRequest, quarantine_state::Quarantined);
}

/** Records enough crashes at node @p index for a quarantine verdict. */
void recordVerdictEvidence(fleet_world &world, std::size_t index)
{
    world.recordCrashes(index, crashingRequest, 1, firstTwoLeafs, false);
    world.recordCrashes(index, crashingRequest, 2, thirdLeaf, true);
}

fleet_world_settings fleetSettings(std::size_t nodeCount, std::size_t zoneCount)
{
    fleet_world_settings settings;
    settings.nodeCount = nodeCount;
    settings.zoneCount = zoneCount;
    settings.startSpread = millis(300);
    return settings;
}

} // namespace

/**
 * Guards against a request that crashes leafs again through each VM. Its caller retries it at the next VM some
 * milliseconds after the first; the next VM must have the first one's request evidence by then.
 */
BOOST_AUTO_TEST_CASE(request_evidence_reaches_all_vms_within_some_round_trips)
{
    constexpr std::size_t nodeCount = 300;
    fleet_world world(fleetSettings(nodeCount, 6));
    world.write("config", "c");
    world.run(millis(6000));
    recordVerdictEvidence(world, nodeCount - 1);
    world.run(millis(20)); // 1 ms one way, about five links up the tree and down again
    BOOST_CHECK_EQUAL(countRefusing(world), nodeCount);
    world.run(millis(1000));
    BOOST_CHECK_LE(world.requestEvidenceMessages,
                   nodeCount * 4); // each item of evidence once on each link, without an echo
}

BOOST_AUTO_TEST_CASE(evidence_from_both_sides_of_a_partition_is_joined_when_it_ends)
{
    fleet_world world(fleetSettings(8, 4));
    world.write("config", "c");
    world.run(millis(6000));
    world.partition(4);
    world.run(millis(3000));
    world.recordCrashes(0, crashingRequest, 1, firstTwoLeafs, false);
    world.recordCrashes(7, crashingRequest, 2, thirdLeaf, true);
    world.run(millis(1000));
    BOOST_CHECK_EQUAL(countRefusing(world), 0U);
    // On the side without a seed, VMs do not find each other, and each reads the store itself.
    BOOST_CHECK_EQUAL(world.countInQuarantineState(crashingRequest, quarantine_state::Suspect), 5U);
    world.partition(0);
    world.run(millis(6000));
    BOOST_CHECK_EQUAL(countRefusing(world), 8U);
}

/** A starting VM receives the request evidence before its configuration, without which it serves no caller. Only the
 * first seed reads the store itself; it receives the evidence as soon as the others have found it. */
BOOST_AUTO_TEST_CASE(a_starting_vm_receives_request_evidence_before_it_serves)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_world_settings settings = fleetSettings(8, 4);
        settings.seed = seed;
        fleet_world world(settings);
        world.write("config", "c");
        world.run(millis(6000));
        recordVerdictEvidence(world, seed % 8);
        world.run(millis(100));
        for (std::size_t index = 0; index < 8; ++index) {
            world.kill(index);
            world.start(index, world.now() + millis(50));
            world.run(millis(1000));
            BOOST_REQUIRE_EQUAL(countRefusing(world), 8U);
            BOOST_REQUIRE_LE(world.countWithMissedEvidence(crashingRequest), index == 0 ? 1U : 0U);
            world.run(millis(3000));
            world.clearMissedEvidence();
        }
    }
}

/** Guards against a lost quarantine verdict when the VM that reached it, or the reader at the top of the tree, is
 * killed while the request evidence is sent. */
BOOST_AUTO_TEST_CASE(a_verdict_outlives_the_vms_that_reached_it)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_world_settings settings = fleetSettings(8, 4);
        settings.seed = seed;
        fleet_world world(settings);
        world.write("config", "c");
        world.run(millis(6000));
        const std::size_t observer = seed % 8;
        recordVerdictEvidence(world, observer);
        world.run(millis(1.5)); // one message on the first link has arrived
        world.kill(observer);
        world.start(observer, world.now() + millis(200));
        world.run(millis(8000));
        BOOST_REQUIRE_EQUAL(countRefusing(world), 8U);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_clears_the_request_at_all_vms)
{
    fleet_world world(fleetSettings(8, 4));
    world.write("config", "c");
    world.run(millis(6000));
    recordVerdictEvidence(world, 1);
    world.run(millis(700));
    world.recordAnswer(5, crashingRequest);
    world.run(millis(100));
    BOOST_CHECK_EQUAL(world.countInQuarantineState(crashingRequest, quarantine_state::Clear), 8U);
    world.kill(3);
    world.start(3, world.now() + millis(50));
    world.run(millis(4000));
    BOOST_CHECK_EQUAL(world.countInQuarantineState(crashingRequest, quarantine_state::Clear), 8U);
}

/**
 * Guards against all VMs refusing a lookup that one VM has answered all along. Leafs crash under it at another VM, once
 * under many attempts and once in a canary request; earlier answers must be known to all VMs, not only where they
 * were given.
 */
BOOST_AUTO_TEST_CASE(an_answer_at_one_vm_counts_for_the_request_at_all_vms)
{
    fleet_world world(fleetSettings(8, 4));
    world.write("config", "c");
    world.run(millis(6000));
    world.recordAnswer(5, crashingRequest);
    world.run(millis(1000));
    recordVerdictEvidence(world, 1);
    world.run(millis(100));
    BOOST_CHECK_EQUAL(world.countInQuarantineState(crashingRequest, quarantine_state::Suspect), 8U);
}

/**
 * Guards against a query of death that is sent to all shards twice, and four attempts of which reach leafs although it
 * should be known. It arrives first at a VM that has been told to stop, then at the next one. A stopping VM serves
 * callers for seconds, so it must not close its links to the fleet at once.
 */
BOOST_AUTO_TEST_CASE(a_stopping_vm_sends_and_receives_evidence_until_it_ends)
{
    constexpr std::size_t nodeCount = 8;
    constexpr millis readerSearchTime(600); // a stopping reader looks for the process that reads after it
    for (std::size_t stoppingNode = 0; stoppingNode < nodeCount; ++stoppingNode) {
        fleet_world world(fleetSettings(nodeCount, 4));
        world.write("config", "c");
        world.run(millis(6000));
        const bool wasReader = world.node(stoppingNode).isReading();
        world.leave(stoppingNode);
        recordVerdictEvidence(world, stoppingNode);
        world.run(wasReader ? readerSearchTime : millis(20));
        BOOST_TEST_MESSAGE("node " << stoppingNode << (wasReader ? ", the reader" : ""));
        BOOST_CHECK_EQUAL(countRefusing(world), nodeCount);
        world.recordAnswer((stoppingNode + 1) % nodeCount, crashingRequest);
        world.run(readerSearchTime);
        BOOST_CHECK_EQUAL(world.countInQuarantineState(crashingRequest, quarantine_state::Clear), nodeCount);
        world.run(millis(2000));
        BOOST_CHECK_EQUAL(world.countFollowers(stoppingNode), 0U);
        BOOST_CHECK_EQUAL(world.memberCountAt((stoppingNode + 1) % nodeCount), nodeCount - 1);
        BOOST_CHECK_EQUAL(world.countReaders(), 1U);
        world.write("config", "d");
        world.run(millis(1000));
        BOOST_CHECK_EQUAL(world.countHolders("config"), nodeCount);
    }
}

/** All VMs stop and restart one after the other, as in the rollout of a new version. */
BOOST_AUTO_TEST_CASE(request_evidence_outlives_a_rolling_restart_of_all_vms)
{
    constexpr std::size_t nodeCount = 8;
    fleet_world world(fleetSettings(nodeCount, 4));
    world.write("config", "c");
    world.run(millis(6000));
    for (std::size_t stoppingNode = 0; stoppingNode < nodeCount; ++stoppingNode) {
        world.leave(stoppingNode);
        world.run(millis(300));
        if (stoppingNode == 0) {
            recordVerdictEvidence(world, stoppingNode);
        }
        world.run(millis(1500));
        world.kill(stoppingNode);
        world.start(stoppingNode, world.now() + millis(200));
        world.run(millis(1500));
    }
    BOOST_CHECK_EQUAL(countRefusing(world), nodeCount);
}

BOOST_AUTO_TEST_CASE(no_evidence_message_is_sent_without_evidence)
{
    fleet_world world(fleetSettings(8, 4));
    world.write("config", "c");
    world.run(millis(10000));
    BOOST_CHECK_EQUAL(world.requestEvidenceMessages, 0U);
}

BOOST_AUTO_TEST_CASE(request_evidence_is_complete_after_encoding_and_decoding)
{
    request_evidence_message message;
    request_evidence &evidence = message.requests.emplace_back();
    evidence.key = crashingRequest;
    evidence.route = 7;
    evidence.ends = {{1, 10, millis() - millis(5)}, {2, 12, millis() - millis(90000), true}};
    evidence.vouched = true;
    evidence.answeredAt = millis() - millis(100000);
    message.requests.push_back({{3, 4}, 8, {}, millis() - millis::never()});
    const std::string frame = encodeFleetFrame(message);
    constexpr std::ptrdiff_t lengthBytes = 4;
    const std::vector<std::uint8_t> payload(frame.begin() + lengthBytes, frame.end());
    const auto decoded = std::get<request_evidence_message>(decodeFleetPayload(payload).value());
    BOOST_REQUIRE_EQUAL(decoded.requests.size(), 2U);
    BOOST_CHECK(decoded.requests[0].key == crashingRequest);
    BOOST_CHECK_EQUAL(decoded.requests[0].route, 7U);
    BOOST_CHECK_EQUAL(decoded.requests[0].ends[1].leaf, 12U);
    BOOST_CHECK(decoded.requests[0].ends[1].at == millis() - millis(90000));
    BOOST_CHECK(!decoded.requests[0].ends[0].alone && decoded.requests[0].ends[1].alone);
    BOOST_CHECK(decoded.requests[0].vouched && !decoded.requests[1].vouched);
    BOOST_CHECK(decoded.requests[0].answeredAt == evidence.answeredAt);
    BOOST_CHECK(decoded.requests[1].answeredAt == millis() - millis::never());
}
