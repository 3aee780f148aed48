#define BOOST_TEST_MODULE fleet_items
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

std::string configText(std::size_t version)
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

fleet_world_settings zonedFleetSettings()
{
    fleet_world_settings settings;
    settings.nodeCount = 60;
    settings.zoneCount = 6;
    return settings;
}

std::size_t countLogEvents(const fleet_world &world, std::string_view event)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        world.logEvents, [&](const std::string &logEvent) { return logEvent.starts_with(event); }));
}

} // namespace

// Guards against a change of one route of 400 that is sent as 40 kB to each of 60 VMs, five in six of them in another
// zone: 2 MB. A patch of a few hundred bytes crosses into each zone once: 29 kB for 20 changes, including heartbeats.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_is_sent_as_a_patch)
{
    fleet_world world(zonedFleetSettings());
    world.write("config", configText(1));
    world.run(millis(5000));
    const std::size_t bytesBefore = world.crossZoneBytes;
    for (std::size_t version = 2; version <= 21; ++version) {
        world.write("config", configText(version));
        world.run(millis(200));
        BOOST_TEST(world.countHolders("config") == 60U);
    }
    BOOST_TEST(world.crossZoneBytes - bytesBefore < 60000U);
}

// Guards against a VM that uses a configuration that nobody wrote, or permanently has none. A patch may not match the
// VM's stored value, or have wrong bytes, size or digest; unless this is checked, the fault spreads down the tree.
BOOST_AUTO_TEST_CASE(a_patch_that_does_not_apply_is_replaced_by_the_full_contents)
{
    const std::vector<std::function<void(item_patch &)>> faults = {
        [](item_patch &patch) { patch.baseRevision -= 1; },
        [](item_patch &patch) { patch.digest ^= 1; },
        [](item_patch &patch) { patch.size += 1; },
        [](item_patch &patch) { patch.size = ~0U; },
        [](item_patch &patch) { patch.bytes.resize(patch.bytes.size() / 2); },
        [](item_patch &patch) { patch.bytes.clear(); },
    };
    for (const auto &fault : faults) {
        fleet_world world(zonedFleetSettings());
        world.write("config", configText(1));
        world.run(millis(5000));
        world.corruptItems = [&](store_items &items) { std::ranges::for_each(items.patches, fault); };
        for (std::size_t version = 2; version <= 4; ++version) {
            world.write("config", configText(version));
            world.write("other" + std::to_string(version), "x");
            world.run(millis(500));
            BOOST_TEST(world.countHolders("config") == 60U);
            BOOST_TEST(world.countHolders("other" + std::to_string(version)) == 60U);
        }
        // At most once for each VM and change: a refused patch must not cause an endless loop.
        BOOST_TEST(countLogEvents(world, "patch_refused") > 0U);
        BOOST_TEST(countLogEvents(world, "patch_refused") <= 3U * 60U);
        BOOST_TEST(countLogEvents(world, "lost_upstream") == 0U);
    }
}

// Guards against a recreated key that is sent as a patch or without its creation: its followers know the removed one.
BOOST_AUTO_TEST_CASE(only_a_recreated_key_is_sent_with_its_creation)
{
    fleet_world world(zonedFleetSettings());
    std::vector<std::uint64_t> creations;
    std::size_t patches = 0;
    world.corruptItems = [&](store_items &items) {
        std::ranges::transform(items.items, std::back_inserter(creations), &store_item::created);
        patches += items.patches.size();
    };
    world.write("config", configText(1));
    world.run(millis(5000));
    creations.clear();
    world.write("config", configText(2));
    world.run(millis(200));
    BOOST_TEST(creations.empty());
    BOOST_TEST(patches > 0U);
    patches = 0;
    world.write("config", "");
    world.write("config", configText(3));
    world.run(millis(200));
    BOOST_REQUIRE(!creations.empty());
    BOOST_TEST(std::ranges::count(creations, 0U) == 0);
    BOOST_TEST(patches == 0U);
    BOOST_TEST(world.countHolders("config") == 60U);
}

BOOST_AUTO_TEST_CASE(a_resumed_process_receives_only_the_updates_it_missed)
{
    fleet_world world(zonedFleetSettings());
    world.write("config", configText(1));
    for (int item = 0; item < 500; ++item) {
        world.write("leaf" + std::to_string(item), configText(1).substr(0, 200));
    }
    world.run(millis(5000));
    world.setPaused(17, true);
    world.write("leaf7", "changed");
    world.run(millis(6000));
    const std::size_t bytesBefore = world.crossZoneBytes;
    world.setPaused(17, false);
    world.run(millis(3000));
    BOOST_TEST(world.countHolders("leaf7") == 60U);
    // Heartbeats on five links for three seconds, and less than the full contents.
    BOOST_TEST(world.crossZoneBytes - bytesBefore < 30000U);
}

BOOST_AUTO_TEST_CASE(two_processes_with_one_address_do_not_cause_a_loop)
{
    fleet_node node({.address = "a:1", .zone = {"z"}, .seeds = {"a:1"}, .prefixes = {prefix}}, 1);
    node.start(millis(1000));
    (void)node.takeActions();
    follow_request request;
    request.address = "b:1";
    request.zone = {"z"};
    constexpr link_id firstLink = link_id {1} << 40U;
    for (link_id link = firstLink; link < firstLink + 10; ++link) {
        node.onMessage(link, request, millis(1010));
    }
    // The newest link holds the address; nothing is sent on the earlier links any more.
    std::set<link_id> notifiedLinks;
    (void)node.takeActions();
    node.tick(millis(1500));
    for (const fleet_action &action : node.takeActions()) {
        if (const auto *sent = std::get_if<send_message_action>(&action)) {
            notifiedLinks.insert(sent->links.begin(), sent->links.end());
        }
    }
    BOOST_TEST(notifiedLinks == std::set<link_id> {firstLink + 9});
}

BOOST_AUTO_TEST_CASE(corrupted_compressed_frames_are_rejected_or_bounded)
{
    store_items items {prefix, true, 7, {{"k", 7, false, configText(1)}}, {}};
    const std::string frame = encodeFleetFrame(items);
    BOOST_TEST(frame.size() < configText(1).size() / 2);
    std::vector<std::uint8_t> payload(frame.begin() + 4, frame.end());
    BOOST_REQUIRE(decodeFleetPayload(payload).has_value());
    for (std::size_t offset = 0; offset < payload.size(); offset += 7) {
        std::vector<std::uint8_t> corrupted = payload;
        corrupted[offset] ^= 0x55;
        const auto decoded = decodeFleetPayload(corrupted);
        // A corrupted frame may still decode to a message, but not to one with more than a frame may hold.
        BOOST_TEST((!decoded || std::get_if<store_items>(&*decoded) == nullptr
                    || std::get<store_items>(*decoded).items.size() <= 1U));
    }
    payload.resize(payload.size() / 2);
    BOOST_TEST(!decodeFleetPayload(payload).has_value());
}
