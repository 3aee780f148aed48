#define BOOST_TEST_MODULE fleet
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

BOOST_AUTO_TEST_CASE(one_process_reads_and_all_know)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    BOOST_TEST(fleet.readers() == 1U);
    BOOST_TEST(fleet.holders("a") == 8U);
    fleet.write("b", "2");
    fleet.run(millis(100));
    BOOST_TEST(fleet.holders("b") == 8U);
    fleet.run(millis(6000));
    BOOST_TEST(fleet.node(5).fleetSize(fleet.now()) == 8U);
    BOOST_TEST(fleet.contentReads == 1U);
}

BOOST_AUTO_TEST_CASE(a_process_passes_on_to_a_few_only)
{
    fleet_world fleet(40, 3);
    fleet.write("a", "1");
    fleet.run(millis(8000));
    BOOST_TEST(fleet.holders("a") == 40U);
    BOOST_TEST(fleet.mostFollowers() <= 3U);
    fleet.write("b", "2");
    fleet.run(millis(200));
    BOOST_TEST(fleet.holders("b") == 40U);
    BOOST_TEST(fleet.readers() <= 3U);
}

// Symptom: configuration does not arrive for as long as one VM is frozen.
// Sequence: the reader freezes with its connections open; followers hear nothing and see no end.
// Cause: only time tells; a follower must look for another within the silence limit.
BOOST_AUTO_TEST_CASE(a_frozen_reader_is_replaced_and_nothing_is_read_twice)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    fleet.freeze(0, true);
    fleet.write("b", "2");
    fleet.run(millis(2500));
    BOOST_TEST(fleet.holders("b") == 7U);
    BOOST_TEST(fleet.contentReads == 1U);
    fleet.freeze(0, false);
    fleet.run(millis(8000));
    BOOST_TEST(fleet.holders("b") == 8U);
    BOOST_TEST(fleet.readers() == 1U);
}

// Symptom: the fleet is blind although the store serves most of its VMs.
// Sequence: the store turns the one reader away and answers the others.
// Cause: the reader's word that its store is lost must make others read.
BOOST_AUTO_TEST_CASE(a_store_that_turns_the_reader_away_is_read_by_others)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    fleet.cutFromStore(0, true);
    fleet.write("b", "2");
    fleet.run(millis(6500));
    BOOST_TEST(fleet.holders("b") == 8U);
    fleet.run(millis(8000));
    BOOST_TEST(fleet.readers() <= 2U);
}

// Symptom: a VM that is cut off from its peers serves an old configuration.
// Sequence: the links to all peers go silent, the store can be reached.
// Cause: without anyone to follow, a process must read for itself.
// Symptom: VMs that the store serves handle requests by an old configuration for eight seconds.
// Sequence: the store turns all seeds away, the reader among them, without a sign; each that takes over claims to read
// until its own call times out.
// Cause: a reader was believed before the store had answered it.
BOOST_AUTO_TEST_CASE(a_store_that_turns_all_seeds_away_is_read_by_the_rest)
{
    fleet_world fleet(20, 4);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    for (std::size_t seed = 0; seed < 3; ++seed) {
        fleet.cutFromStore(seed, true);
    }
    fleet.write("b", "2");
    fleet.run(millis(1600));
    BOOST_TEST(fleet.holders("b") >= 17U);
}

// Symptom: a VM that was cut off takes leafs that leave for ones that came back.
// Sequence: it hears neither the store nor its peers; the store is well.
// Cause: its own silence was taken for trouble of the store.
BOOST_AUTO_TEST_CASE(who_is_cut_off_hears_nobody)
{
    fleet_world fleet(6);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    BOOST_TEST(fleet.node(0).hearsPeers(fleet.now()));
    BOOST_TEST(fleet.node(5).hearsPeers(fleet.now()));
    fleet.split(1);
    fleet.run(millis(1000));
    BOOST_TEST(!fleet.node(0).hearsPeers(fleet.now()));
}

BOOST_AUTO_TEST_CASE(both_sides_of_a_cut_read_and_join_again)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    fleet.split(4);
    fleet.write("b", "2");
    fleet.run(millis(2500));
    BOOST_TEST(fleet.holders("b") == 8U);
    BOOST_TEST(fleet.node(7).fleetSize(fleet.now()) == 8U);
    fleet.split(0);
    fleet.run(millis(15000));
    BOOST_TEST(fleet.readers() == 1U);
}

BOOST_AUTO_TEST_CASE(all_know_who_there_is)
{
    fleet_world fleet(20, 3);
    fleet.write("a", "1");
    fleet.run(millis(10000));
    for (std::size_t at = 0; at < 20; ++at) {
        BOOST_TEST(fleet.membersAt(at) == 20U);
    }
    fleet.freeze(7, true);
    fleet.run(millis(10000));
    BOOST_TEST(fleet.membersAt(3) == 19U);
}

// Symptom: each VM of a large fleet finds out alone that a leaf is slow.
// Sequence: one VM far down the tree finds out. Cause: the tree carried the store's word only, and that downwards.
BOOST_AUTO_TEST_CASE(a_report_about_a_leaf_reaches_all_within_a_second)
{
    fleet_world fleet(20, 3);
    fleet.write("a", "1");
    fleet.run(millis(5000));
    fleet.report(19, "leaf", 4);
    fleet.run(millis(1000));
    for (std::size_t at = 0; at < 19; ++at) {
        BOOST_TEST_REQUIRE(fleet.reportsAt(at).size() == 1U);
        BOOST_TEST(fleet.reportsAt(at).front().slowness == 4);
        const millis age = fleet.now() - fleet.reportsAt(at).front().observedAt;
        // The way of each message is not counted: a step for each of some hops.
        BOOST_TEST(std::abs(age.count() - 1000) < 100);
    }
    // Nobody hears it twice, and the one that said it does not hear it back.
    fleet.run(millis(5000));
    BOOST_TEST(fleet.reportsAt(19).empty());
    BOOST_TEST(fleet.reportsAt(0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_many_reports_the_slowest_leafs_go_first)
{
    fleet_world fleet(2);
    fleet.write("a", "1");
    fleet.run(millis(5000));
    for (int at = 0; at < 100; ++at) {
        fleet.report(1, "leaf" + std::to_string(at), 1 + at);
    }
    fleet.run(millis(120)); // a tick, as often as the daemon has one
    const std::vector<leaf_report> &first = fleet.reportsAt(0);
    BOOST_TEST(!first.empty());
    BOOST_TEST(first.size() < 100U);
    BOOST_TEST(std::ranges::min(first, {}, &leaf_report::slowness).slowness > 50);
    fleet.run(millis(1000));
    BOOST_TEST(fleet.reportsAt(0).size() == 100U);
}

BOOST_AUTO_TEST_CASE(news_in_any_order_never_goes_back)
{
    store_view view;
    view.applyContents({{"a", 5, false, "1"}, {"b", 3, false, "1"}}, 6);
    BOOST_TEST(view.applyChanges({{"a", 4, false, "0"}}, 7).empty());
    BOOST_TEST(view.applyChanges({{"b", 8, true, {}}}, 8).size() == 1U);
    BOOST_TEST(view.applyChanges({{"b", 7, false, "2"}}, 8).empty());
    BOOST_TEST(view.applyChanges({{"c", 9, false, "1"}}, 9).size() == 1U);
    BOOST_TEST(view.applyChanges({{"never", 9, true, {}}}, 9).size() == 1U);
    BOOST_TEST(view.applyChanges({{"never", 9, false, "1"}}, 9).empty());
    // Contents read at revision 8 can't know of c.
    BOOST_TEST(view.applyContents({{"a", 5, false, "1"}}, 8).empty());
    BOOST_TEST(view.contents().size() == 2U);
    BOOST_TEST(view.changesSince(7)->size() == 3U);
    BOOST_TEST(!view.changesSince(2).has_value());
}

// Guards against a reader that missed a deletion and takes what was written after it for the same thing.
BOOST_AUTO_TEST_CASE(a_key_that_came_to_be_anew_was_deleted_in_between)
{
    store_view view;
    view.applyContents({{"a", 5, false, "1", 2}}, 6);
    const std::vector<store_item> news = view.applyContents({{"a", 9, false, "2", 8}}, 9);
    BOOST_REQUIRE(news.size() == 2U);
    BOOST_TEST(news.front().deleted);
    BOOST_TEST(news.front().revision == 7U);
    BOOST_TEST(news.back().value == "2");
    BOOST_TEST(view.applyChanges({{"a", 10, false, "3", 8}}, 10).size() == 1U);
}

// Guards against a VM that begins to listen, or falls behind, between a removal and a late write, and hears the write
// alone.
BOOST_AUTO_TEST_CASE(who_comes_after_a_late_write_hears_of_the_removal_before_it)
{
    store_view view;
    view.applyContents({{"a", 5, false, "1"}, {"b", 3, false, "1"}}, 6);
    view.applyChanges({{"a", 7, true, {}}}, 7);
    view.applyChanges({{"a", 8, false, "1"}}, 8);
    store_view behind;
    behind.applyContents({{"a", 5, false, "1"}, {"b", 3, false, "1"}}, 6);
    store_view empty;
    const std::vector<store_item> missed = behind.applyChanges(*view.changesSince(6), view.revision());
    const std::vector<store_item> all = empty.applyContents(view.contentsWithDeletions(), view.revision());
    for (const std::vector<store_item> &news : {missed, all}) {
        const auto removal = std::ranges::find_if(news, [](const store_item &one) { return one.deleted; });
        const auto write = std::ranges::find(news, 8U, &store_item::revision);
        BOOST_REQUIRE(removal != news.end());
        BOOST_REQUIRE(write != news.end());
        BOOST_TEST((removal < write));
        BOOST_TEST(removal->key == "a");
    }
    BOOST_TEST(empty.contents().size() == 2U);
}

// Guards against a reader that has just begun and takes a late write for a new thing, though others know the removal.
BOOST_AUTO_TEST_CASE(a_reader_that_starts_hears_of_past_deletions_from_its_followers)
{
    for (const bool writtenAfterStart : {true, false}) {
        fleet_world fleet(8);
        fleet.write("leaf", "ready");
        fleet.write("other", "ready");
        fleet.run(millis(4000));
        fleet.write("leaf", "");
        fleet.run(millis(500));
        if (!writtenAfterStart) {
            fleet.write("leaf", "ready");
            fleet.run(millis(300));
        }
        fleet.kill(0);
        fleet.start(0, fleet.now() + millis(200));
        fleet.run(millis(2500));
        BOOST_TEST(fleet.node(0).isReading());
        if (writtenAfterStart) {
            fleet.write("leaf", "ready");
            fleet.run(millis(300));
        }
        BOOST_TEST(fleet.heardOf(0, "leaf").ends_with("deleted,ready"));
    }
}

// Guards against leafs doubted by all after an outage: what lapsed for it has not gone.
BOOST_AUTO_TEST_CASE(what_lapses_in_the_stores_trouble_is_no_past_deletion)
{
    fleet_world fleet(8);
    fleet.write("leaf", "ready");
    fleet.run(millis(4000));
    for (std::size_t at = 0; at < 8; ++at) {
        fleet.cutFromStore(at, true);
    }
    fleet.run(millis(3000));
    for (std::size_t at = 1; at < 8; ++at) {
        BOOST_TEST(fleet.node(at).storeInTrouble());
    }
    fleet.write("leaf", "");
    for (std::size_t at = 0; at < 8; ++at) {
        fleet.cutFromStore(at, false);
    }
    fleet.run(millis(1500));
    fleet.write("leaf", "ready");
    fleet.run(millis(500));
    fleet.kill(5);
    fleet.start(5, fleet.now() + millis(100));
    fleet.run(millis(6000));
    BOOST_TEST(fleet.heardOf(5, "leaf") == "ready");
    for (std::size_t at = 0; at < 8; ++at) {
        BOOST_TEST(!fleet.node(at).storeInTrouble());
    }
}

// Guards against a whole document that grows with all that was ever deleted.
BOOST_AUTO_TEST_CASE(only_the_latest_deletions_are_told)
{
    store_view view;
    view.applyContents({}, 1);
    for (std::uint64_t at = 2; at < 1002; ++at) {
        view.applyChanges({{"k" + std::to_string(at), at, true, {}}}, at);
    }
    const std::vector<store_item> told = view.contentsWithDeletions();
    BOOST_TEST(told.size() == 256U);
    BOOST_TEST(std::ranges::min(told, {}, &store_item::revision).revision == 746U);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_refused)
{
    const std::vector<std::uint8_t> nonsense(32, 0xAB);
    BOOST_TEST(!decodeFleetPayload(nonsense).has_value());
    BOOST_TEST(!decodeFleetPayload({}).has_value());
}
