#define BOOST_TEST_MODULE fleet_parts
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** Text that does not compress, as of an entry that another writer left. */
std::string foreignValue(std::size_t bytes, std::uint64_t seed)
{
    seeded_random random(seed);
    std::string text;
    while (text.size() < bytes) {
        text += static_cast<char>(random.below(256));
    }
    return text;
}

struct foreign_entries {
    std::size_t count;
    std::size_t bytes;
};

constexpr foreign_entries largeEntries[] = {{5, 1000000}, {40, 240000}, {1500, 5000}, {12, 1048000}};

void writeForeign(fleet_world &world, const foreign_entries &entries)
{
    for (std::size_t at = 0; at < entries.count; ++at) {
        world.write("foreign" + std::to_string(at), foreignValue(entries.bytes, at + 1));
    }
}

fleet_world_settings smallFleetSettings()
{
    fleet_world_settings settings;
    settings.nodeCount = 12;
    settings.zoneCount = 3;
    settings.fanOut = 2;
    settings.linkBytesPerMs = 25000; // 200 Mbit/s
    return settings;
}

std::string lastKeyOf(const foreign_entries &entries)
{
    return "foreign" + std::to_string(entries.count - 1);
}

} // namespace

// Guards against processes that never have the contents after a restart: one message with all of them broke the link.
BOOST_AUTO_TEST_CASE(contents_larger_than_a_frame_reach_all_restarted_processes)
{
    for (const foreign_entries &entries : largeEntries) {
        fleet_world world(smallFleetSettings());
        world.write("leaf", "ready");
        writeForeign(world, entries);
        world.run(millis(15000));
        world.restartAll(millis(1500), millis(300));
        world.run(millis(15000));
        BOOST_TEST(world.countHolders("leaf") == 12U);
        BOOST_TEST(world.countHolders(lastKeyOf(entries)) == 12U);
        BOOST_TEST(world.brokenLinks == 0U);
        BOOST_TEST(world.countReaders() == 1U);
        BOOST_TEST(world.countFalselyCurrent() == 0U);
    }
}

// Guards against running processes that learn of no leaf any more: one message with all changes broke the link.
BOOST_AUTO_TEST_CASE(changes_larger_than_a_frame_reach_all_running_processes)
{
    for (const foreign_entries &entries : largeEntries) {
        fleet_world world(smallFleetSettings());
        world.write("leaf", "ready");
        world.run(millis(5000));
        writeForeign(world, entries);
        world.write("leaf", "draining");
        for (int step = 0; step < 100; ++step) {
            world.run(millis(100));
            BOOST_TEST(world.countFalselyCurrent() == 0U);
            world.write("born" + std::to_string(step), "ready"); // between two parts
        }
        world.write("leaf", "");
        world.run(millis(5000));
        BOOST_TEST(world.countHolders("born99") == 12U);
        BOOST_TEST(world.countHolders("born1") == 12U);
        BOOST_TEST(world.countHolders(lastKeyOf(entries)) == 12U);
        BOOST_TEST(world.valuesReceived(7, "leaf") == "ready,draining,deleted");
        BOOST_TEST(world.brokenLinks == 0U);
        BOOST_TEST(world.maxFreshnessAge().count() < 2000);
    }
}

// Guards against a follower without an end: its link ends before anything arrives, whatever the reason, again and
// again.
BOOST_AUTO_TEST_CASE(a_process_whose_links_all_break_reads_the_store)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_world_settings settings = smallFleetSettings();
        settings.nodeCount = 24;
        settings.seed = seed;
        fleet_world world(settings);
        world.closesLinksAtItems = true;
        world.write("leaf", "ready");
        world.run(millis(3000));
        BOOST_TEST(world.countHolders("leaf") == 24U);
        world.write("leaf", "draining");
        world.run(millis(3000));
        BOOST_TEST(world.countHolders("leaf") == 24U);
        BOOST_TEST(world.countFalselyCurrent() == 0U);
        world.closesLinksAtItems = false;
        world.run(millis(15000));
        BOOST_TEST(world.countReaders() == 1U);
    }
}

namespace {

/** One process that follows another by hand. */
struct follower_of_parts {
    static constexpr link_id upstream = 1;
    fleet_node node {{.address = "b:1", .zone = {"z"}, .seeds = {"a:1", "b:1"}, .prefixes = {prefix}}, 1};
    std::vector<store_item> used;
    std::vector<follow_request> requests;

    follower_of_parts()
    {
        node.start(millis(1000));
        node.onLinkOpen(upstream, millis(1001));
        upstream_state state;
        state.accepted = true;
        state.storeOk = true;
        state.path = {"a:1"};
        receive(state);
        requests.clear();
    }

    void receive(fleet_message message)
    {
        node.onMessage(upstream, std::move(message), millis(1002));
        for (const fleet_action &action : node.takeActions()) {
            if (const auto *changes = std::get_if<store_changes_action>(&action)) {
                std::ranges::copy(changes->items, std::back_inserter(used));
            } else if (const auto *sent = std::get_if<send_message_action>(&action)) {
                if (const auto *request = std::get_if<follow_request>(&sent->message)) {
                    requests.push_back(*request);
                }
            }
        }
    }

    void confirmFreshness()
    {
        upstream_state state;
        state.accepted = true;
        state.storeOk = true;
        state.path = {"a:1"};
        state.currentAsOf = millis();
        receive(state);
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return node.view(prefix).revision();
    }
};

store_items part(std::uint32_t at, std::vector<store_item> items, bool isUnfinished)
{
    return {prefix, true, 9, std::move(items), {}, at, isUnfinished};
}

} // namespace

// Guards against removed leafs and a revision that was never reached: both would follow from a part taken for the
// whole.
BOOST_AUTO_TEST_CASE(unfinished_contents_are_not_used)
{
    follower_of_parts follower;
    follower.receive(part(0, {{"a", 1, false, "1"}, {"b", 2, false, "1"}, {"c", 3, false, "1"}}, false));
    follower.confirmFreshness();
    const millis currentBefore = follower.node.currentAsOf();
    BOOST_TEST(follower.used.size() == 3U);
    follower.used.clear();
    store_items first = part(0, {{"a", 10, false, "2"}}, true);
    first.revision = 20;
    follower.receive(first);
    follower.node.tick(millis(1500));
    follower.node.tick(millis(1600));
    follower.confirmFreshness();
    BOOST_TEST(follower.used.empty());
    BOOST_TEST(follower.revision() == 9U);
    BOOST_TEST(follower.node.currentAsOf().count() == currentBefore.count());
    follower.receive(store_items {prefix, false, 21, {{"d", 21, false, "1"}, {"a", 21, true, {}}}, {}});
    BOOST_TEST(follower.used.empty());
    store_items last = part(1, {{"c", 3, false, "1"}}, false);
    last.revision = 21;
    follower.receive(last);
    BOOST_TEST(follower.revision() == 21U);
    BOOST_TEST(follower.node.view(prefix).find("a") == nullptr);
    BOOST_TEST(follower.node.view(prefix).find("b") == nullptr);
    BOOST_TEST(follower.node.view(prefix).find("c") != nullptr);
    BOOST_TEST(follower.node.view(prefix).find("d") != nullptr);
    BOOST_TEST(follower.requests.empty());
}

// Guards against contents with a gap: a part that does not continue the one before is not used, nor is the last one.
BOOST_AUTO_TEST_CASE(a_missing_part_makes_the_contents_be_requested_anew)
{
    follower_of_parts follower;
    follower.receive(part(0, {{"a", 1, false, "1"}}, true));
    follower.receive(part(2, {{"c", 3, false, "1"}}, false));
    BOOST_TEST(follower.used.empty());
    BOOST_TEST(!follower.node.view(prefix).known());
    BOOST_TEST(follower.requests.size() == 1U);
    follower.receive(part(0, {{"a", 1, false, "1"}}, true));
    follower.receive(part(1, {{"b", 2, false, "1"}, {"c", 3, false, "1"}}, false));
    BOOST_TEST(follower.used.size() == 3U);
}

// Guards against a late write taken for a new entry: the deletion before it must arrive with the contents.
BOOST_AUTO_TEST_CASE(parts_keep_a_deletion_and_the_write_after_it)
{
    follower_of_parts follower;
    follower.receive(part(0, {{"a", 7, false, "1"}}, true));
    follower.receive(part(1, {{"b", 2, false, "1"}, {"a", 5, true, {}}}, false));
    BOOST_REQUIRE(follower.used.size() == 3U);
    BOOST_TEST(follower.used[1].deleted);
    BOOST_TEST(follower.used[2].key == "a");
}

// Guards against a roll in which a process of an older version takes the first part for the whole.
BOOST_AUTO_TEST_CASE(a_follower_that_does_not_accept_parts_gets_one_message)
{
    fleet_node node({.address = "a:1", .zone = {"z"}, .seeds = {"a:1"}, .prefixes = {prefix}}, 1);
    node.start(millis(1000));
    node.onStoreState(prefix, true, millis(1001));
    node.onStoreContents(
        prefix, {{"a", 1, false, foreignValue(900000, 1)}, {"b", 2, false, foreignValue(900000, 2)}}, 2);
    constexpr link_id link = link_id {1} << 40U;
    for (const bool acceptsParts : {false, true}) {
        (void)node.takeActions();
        follow_request request;
        request.address = "b:1";
        request.zone = {"z"};
        request.acceptsParts = acceptsParts;
        node.onMessage(link, request, millis(1010));
        std::vector<store_items> sent;
        for (int confirmed = 0; confirmed < 3; ++confirmed) {
            for (const fleet_action &action : node.takeActions()) {
                const auto *message = std::get_if<send_message_action>(&action);
                if (message != nullptr && std::holds_alternative<store_items>(message->message)) {
                    sent.push_back(std::get<store_items>(message->message));
                }
            }
            node.onMessage(link, follow_heartbeat(), millis(1011));
        }
        BOOST_TEST(sent.size() == (acceptsParts ? 2U : 1U));
        BOOST_TEST(sent.front().isUnfinished == acceptsParts);
        BOOST_TEST(!sent.back().isUnfinished);
    }
}
