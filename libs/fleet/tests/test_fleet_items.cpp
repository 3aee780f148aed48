#define BOOST_TEST_MODULE fleet_items
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

std::string configOf(std::size_t version)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t route = 0; route < 400; ++route) {
        seeded_random random(route == version ? route + 100000 : route);
        text += "{\"name\":\"r" + std::to_string(random.below(1U << 30U)) + "\",\"timeoutMs\":600,\"service\":\"s"
            + std::to_string(random.below(1U << 30U)) + "\",\"pathPrefix\":\"/p"
            + std::to_string(random.below(1U << 30U)) + "/\"},";
    }
    return text + "]}";
}

fleet_world_settings zonedFleet()
{
    fleet_world_settings settings;
    settings.nodes = 60;
    settings.zones = 6;
    return settings;
}

std::size_t notesOf(const fleet_world &world, std::string_view event)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(world.notes, [&](const std::string &one) { return one.starts_with(event); }));
}

} // namespace

// Before: a change of one route of 400 went as 40 kB to each of 60 VMs, five in six of them in another zone: 2 MB. Now
// a difference of some hundred bytes crosses into each zone once: 29 kB measured for twenty changes, signs of life and
// all.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_is_told_as_that)
{
    fleet_world world(zonedFleet());
    world.write("config", configOf(1));
    world.run(millis(5000));
    const std::size_t before = world.bytesAcross;
    for (std::size_t version = 2; version <= 21; ++version) {
        world.write("config", configOf(version));
        world.run(millis(200));
        BOOST_TEST(world.holders("config") == 60U);
    }
    BOOST_TEST(world.bytesAcross - before < 60000U);
}

// Symptom: a VM serves a configuration that nobody wrote, or none for good.
// Sequence: a difference does not fit what the VM holds, or its bytes, size or digest are wrong.
// Cause: a difference is only as good as what it is applied to; without a check the mistake spreads down the tree.
BOOST_AUTO_TEST_CASE(a_difference_that_does_not_fit_brings_the_whole)
{
    const std::vector<std::function<void(item_patch &)>> faults = {
        [](item_patch &one) { one.baseRevision -= 1; },
        [](item_patch &one) { one.digest ^= 1; },
        [](item_patch &one) { one.size += 1; },
        [](item_patch &one) { one.size = ~0U; },
        [](item_patch &one) { one.bytes.resize(one.bytes.size() / 2); },
        [](item_patch &one) { one.bytes.clear(); },
    };
    for (const auto &fault : faults) {
        fleet_world world(zonedFleet());
        world.write("config", configOf(1));
        world.run(millis(5000));
        world.spoil = [&](store_items &items) { std::ranges::for_each(items.patches, fault); };
        for (std::size_t version = 2; version <= 4; ++version) {
            world.write("config", configOf(version));
            world.write("other" + std::to_string(version), "x");
            world.run(millis(500));
            BOOST_TEST(world.holders("config") == 60U);
            BOOST_TEST(world.holders("other" + std::to_string(version)) == 60U);
        }
        // Once for each VM and change at most: no loop.
        BOOST_TEST(notesOf(world, "patch_refused") > 0U);
        BOOST_TEST(notesOf(world, "patch_refused") <= 3U * 60U);
        BOOST_TEST(notesOf(world, "lost_upstream") == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_process_that_comes_back_gets_what_it_lacks)
{
    fleet_world world(zonedFleet());
    world.write("config", configOf(1));
    for (int item = 0; item < 500; ++item) {
        world.write("leaf" + std::to_string(item), configOf(1).substr(0, 200));
    }
    world.run(millis(5000));
    world.freeze(17, true);
    world.write("leaf7", "changed");
    world.run(millis(6000));
    const std::size_t before = world.bytesAcross;
    world.freeze(17, false);
    world.run(millis(3000));
    BOOST_TEST(world.holders("leaf7") == 60U);
    // Signs of life of five links for three seconds, and less than a whole document.
    BOOST_TEST(world.bytesAcross - before < 30000U);
}

BOOST_AUTO_TEST_CASE(two_processes_that_claim_one_address_end_in_no_loop)
{
    fleet_node node({.address = "a:1", .zone = {"z"}, .seeds = {"a:1"}, .prefixes = {prefix}}, 1);
    node.start(millis(1000));
    (void)node.takeActions();
    follow_request request;
    request.address = "b:1";
    request.zone = {"z"};
    constexpr link_id first = link_id {1} << 40U;
    for (link_id link = first; link < first + 10; ++link) {
        node.onMessage(link, request, millis(1010));
    }
    // The newest holds the address; the earlier links are not told anything any more.
    std::set<link_id> told;
    (void)node.takeActions();
    node.tick(millis(1500));
    for (const fleet_action &action : node.takeActions()) {
        if (const auto *one = std::get_if<tell_action>(&action)) {
            told.insert(one->links.begin(), one->links.end());
        }
    }
    BOOST_TEST(told == std::set<link_id> {first + 9});
}

BOOST_AUTO_TEST_CASE(compressed_frames_that_lie_are_refused)
{
    store_items items {prefix, true, 7, {{"k", 7, false, configOf(1)}}, {}};
    const std::string frame = encodeFleetFrame(items);
    BOOST_TEST(frame.size() < configOf(1).size() / 2);
    std::vector<std::uint8_t> payload(frame.begin() + 4, frame.end());
    BOOST_REQUIRE(decodeFleetPayload(payload).has_value());
    for (std::size_t at = 0; at < payload.size(); at += 7) {
        std::vector<std::uint8_t> broken = payload;
        broken[at] ^= 0x55;
        const auto read = decodeFleetPayload(broken);
        // Whatever it is taken for, it must not be more than a frame may hold.
        BOOST_TEST(
            (!read || std::get_if<store_items>(&*read) == nullptr || std::get<store_items>(*read).items.size() <= 1U));
    }
    payload.resize(payload.size() / 2);
    BOOST_TEST(!decodeFleetPayload(payload).has_value());
}
