#define BOOST_TEST_MODULE fleet_start
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr std::size_t largeFleetNodeCount = 300;
constexpr std::size_t seedCount = 3;

/** 300 VMs in six zones, each with 0.12 of a core and 40 Mbit/s, as in a trial of that size. */
fleet_world_settings largeFleetSettings()
{
    fleet_world_settings settings;
    settings.nodeCount = largeFleetNodeCount;
    settings.zoneCount = 6;
    settings.startSpread = millis(300);
    settings.linkBytesPerMs = 5000;
    settings.cpuTimePerMessage = millis(1); // 120 us of a full core
    settings.cpuBytesPerMs = 10000; // reading and decoding a megabyte takes 12 ms of a full core
    settings.drawInterval = millis(120);
    return settings;
}

/** JSON-like random text with little repetition. */
std::string documentText(std::size_t bytes, std::uint64_t seed)
{
    seeded_random random(seed);
    std::string text;
    while (text.size() < bytes) {
        text += "{\"name\":\"r-" + std::to_string(random.below(1U << 30U)) + "\",\"timeoutMs\":600,\"service\":\"s"
            + std::to_string(random.below(500)) + "\"},";
    }
    return text;
}

void writeStoreContents(fleet_world &world)
{
    constexpr std::size_t configBytes = 80000;
    world.write("config", documentText(configBytes, 1));
    for (std::size_t leaf = 0; leaf < 500; ++leaf) {
        constexpr std::size_t entryBytes = 200;
        world.write("leaf" + std::to_string(leaf), documentText(entryBytes, leaf + 2));
    }
}

} // namespace

// Guards against VMs without a configuration refusing 2,200 callers for 3 to 8 s after a power loss. 295 processes and
// the seeds start within 0.3 s, none finds an upstream within 250 ms, and each reads both full documents on a slow link
// and CPU. The fleet's size and who is about to have the contents must decide who reads, not one constant.
BOOST_AUTO_TEST_CASE(a_simultaneous_start_has_few_readers_and_all_know_the_contents_soon)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_world_settings settings = largeFleetSettings();
        settings.seed = seed;
        fleet_world world(settings);
        writeStoreContents(world);
        world.run(millis(1300));
        BOOST_TEST(world.maxStartupTime().count() <= 1000);
        world.run(millis(3700));
        BOOST_TEST(world.storeCalls <= 40U);
        BOOST_TEST(world.countReaders() == 1U);
        BOOST_TEST(world.countHolders("config") == largeFleetNodeCount);
        BOOST_TEST(world.countCrossZoneLinks() <= 12U);
    }
}

BOOST_AUTO_TEST_CASE(two_restarts_within_ten_seconds_cause_few_store_calls)
{
    fleet_world world(largeFleetSettings());
    writeStoreContents(world);
    world.run(millis(5000));
    for (int restart = 0; restart < 2; ++restart) {
        const std::size_t callsBefore = world.storeCalls;
        world.restartAll(millis(700), millis(300));
        world.run(millis(2500));
        BOOST_TEST(world.maxStartupTime().count() <= 1000);
        BOOST_TEST(world.storeCalls - callsBefore <= 40U);
        world.run(millis(2500));
    }
    BOOST_TEST(world.countReaders() == 1U);
}

BOOST_AUTO_TEST_CASE(seeds_that_start_late_do_not_delay_the_fleet)
{
    fleet_world world(largeFleetSettings());
    writeStoreContents(world);
    for (std::size_t seed = 0; seed < seedCount; ++seed) {
        world.start(seed, world.now() + millis(4000));
    }
    world.run(millis(1900));
    BOOST_TEST(world.countHolders("config") >= largeFleetNodeCount - seedCount);
    world.run(millis(10000));
    BOOST_TEST(world.countReaders() == 1U);
}

BOOST_AUTO_TEST_CASE(a_fleet_without_running_seeds_receives_the_configuration)
{
    fleet_world world(largeFleetSettings());
    writeStoreContents(world);
    for (std::size_t seed = 0; seed < seedCount; ++seed) {
        world.start(seed, millis::never());
    }
    world.run(millis(1800));
    BOOST_TEST(world.countHolders("config") == largeFleetNodeCount - seedCount);
}

// Guards against a VM without a configuration although the store serves it. The store does not serve any seed from the
// start, and the other processes wait for the seeds; the random draws that decide who reads must wait no longer than
// for the seeds' first store call.
BOOST_AUTO_TEST_CASE(seeds_without_the_store_at_startup_do_not_delay_the_fleet)
{
    for (const bool unresponsive : {true, false}) {
        fleet_world world(largeFleetSettings());
        writeStoreContents(world);
        for (std::size_t seed = 0; seed < seedCount; ++seed) {
            world.setStoreUnavailable(seed, true, unresponsive);
        }
        world.run(millis(2800));
        BOOST_TEST(world.countHolders("config") == largeFleetNodeCount);
        BOOST_TEST(world.storeCalls <= 60U);
    }
}

// Guards against 4,848 calls to a store that is down for all processes. Each process loses its upstream reader and
// calls the store itself, repeatedly; processes must not all do so within the same second, regardless of their number.
BOOST_AUTO_TEST_CASE(a_store_that_is_down_receives_few_calls)
{
    fleet_world world(largeFleetSettings());
    writeStoreContents(world);
    world.run(millis(5000));
    const std::size_t callsBefore = world.storeCalls;
    for (std::size_t index = 0; index < largeFleetNodeCount; ++index) {
        world.setStoreUnavailable(index, true, true);
    }
    world.run(millis(6000));
    BOOST_TEST(world.storeCalls - callsBefore <= 300U);
    for (std::size_t index = 0; index < largeFleetNodeCount; ++index) {
        world.setStoreUnavailable(index, false);
    }
    world.write("config", documentText(80000, 99));
    world.run(millis(2500));
    BOOST_TEST(world.countHolders("config") == largeFleetNodeCount);
    world.run(millis(15000));
    BOOST_TEST(world.countReaders() == 1U);
}

// Guards against VMs that use an outdated configuration although the store serves them. The store stops serving a third
// of the VMs, including the reader and the other seeds; then the configuration changes. The fleet must learn of a
// process that the store serves.
BOOST_AUTO_TEST_CASE(a_store_that_serves_two_thirds_is_read_for_the_whole_fleet)
{
    for (const bool unresponsive : {true, false}) {
        fleet_world world(largeFleetSettings());
        writeStoreContents(world);
        world.run(millis(5000));
        const std::size_t callsBefore = world.storeCalls;
        for (std::size_t index = 0; index < largeFleetNodeCount; index += 3) {
            world.setStoreUnavailable(index, true, unresponsive);
        }
        world.setStoreUnavailable(1, true, unresponsive);
        world.setStoreUnavailable(2, true, unresponsive);
        world.write("config", documentText(80000, 99));
        world.run(millis(3500));
        BOOST_TEST(world.countHolders("config") == largeFleetNodeCount);
        BOOST_TEST(world.storeCalls - callsBefore <= 60U);
    }
}

BOOST_AUTO_TEST_CASE(a_restarted_zone_follows_the_fleet_at_once)
{
    fleet_world world(largeFleetSettings());
    writeStoreContents(world);
    world.run(millis(5000));
    const std::size_t callsBefore = world.storeCalls;
    for (std::size_t index = 4; index < largeFleetNodeCount; index += 6) {
        world.kill(index);
        world.start(index, world.now() + millis(500));
    }
    world.run(millis(2000));
    BOOST_TEST(world.countHolders("config") == largeFleetNodeCount);
    BOOST_TEST(world.maxStartupTime().count() <= 1000);
    BOOST_TEST(world.storeCalls - callsBefore <= 10U);
    BOOST_TEST(world.countCrossZoneLinks() <= 12U);
}

// Guards against a zone without store updates for seconds. The VM that connects the zone to the reader pauses; the VMs
// below look for another upstream, and the reader refers them back to the paused VM for as long as it remembers that
// VM as the zone's link.
BOOST_AUTO_TEST_CASE(a_paused_process_that_links_a_zone_is_replaced)
{
    fleet_world_settings settings = largeFleetSettings();
    settings.nodeCount = 60;
    fleet_world world(settings);
    writeStoreContents(world);
    world.run(millis(5000));
    for (std::size_t index = 3; index < settings.nodeCount; ++index) {
        if (!world.node(index).isReading()) {
            continue;
        }
        BOOST_FAIL("a node that is not a seed reads the store");
    }
    std::set<std::size_t> pausedNodes;
    for (std::size_t index = 3; index < settings.nodeCount; index += 6) {
        if (world.countFollowers(index) > 0) {
            pausedNodes.insert(index);
        }
    }
    BOOST_TEST(!pausedNodes.empty());
    std::ranges::for_each(pausedNodes, [&](std::size_t index) { world.setPaused(index, true); });
    world.write("config", documentText(80000, 99));
    world.run(millis(3500));
    BOOST_TEST(world.countHolders("config") == settings.nodeCount - pausedNodes.size());
}

// Guards against member lists that differ between VMs permanently. Processes end and restart while others change their
// place in the tree; lists are sent as changes, and a change that is lost would stay lost.
BOOST_AUTO_TEST_CASE(all_processes_know_all_members_after_any_sequence_of_restarts)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        fleet_world_settings settings = largeFleetSettings();
        settings.nodeCount = 80;
        settings.seed = seed;
        fleet_world world(settings);
        writeStoreContents(world);
        seeded_random random(seed);
        for (int round = 0; round < 30; ++round) {
            const std::size_t index = random.below(settings.nodeCount);
            world.kill(index);
            world.start(index, world.now() + millis(300) * random.uniform());
            world.run(millis(400) * random.uniform());
        }
        world.run(millis(12000));
        for (std::size_t index = 0; index < settings.nodeCount; ++index) {
            BOOST_TEST(world.memberCountAt(index) == settings.nodeCount);
        }
        world.run(millis(35000)); // the greatest recent fleet size is remembered for 30 s
        BOOST_TEST(world.node(7).fleetSize(world.now()) == settings.nodeCount);
    }
}
