#define BOOST_TEST_MODULE fleet
#include <boost/test/included/unit_test.hpp>

#include "fleet_world.h"

using namespace chivelock;
using namespace chivelock::testing;

BOOST_AUTO_TEST_CASE(one_process_reads_the_store_and_all_receive_its_updates)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    BOOST_TEST(fleet.countReaders() == 1U);
    BOOST_TEST(fleet.countHolders("a") == 8U);
    fleet.write("b", "2");
    fleet.run(millis(100));
    BOOST_TEST(fleet.countHolders("b") == 8U);
    fleet.run(millis(6000));
    BOOST_TEST(fleet.node(5).fleetSize(fleet.now()) == 8U);
    BOOST_TEST(fleet.fullContentReads == 1U);
}

BOOST_AUTO_TEST_CASE(each_process_has_at_most_fan_out_followers)
{
    fleet_world fleet(40, 3);
    fleet.write("a", "1");
    fleet.run(millis(8000));
    BOOST_TEST(fleet.countHolders("a") == 40U);
    BOOST_TEST(fleet.maxFollowers() <= 3U);
    fleet.write("b", "2");
    fleet.run(millis(200));
    BOOST_TEST(fleet.countHolders("b") == 40U);
    BOOST_TEST(fleet.countReaders() <= 3U);
}

// Guards against configuration updates that do not arrive while the reader's process is paused. Its connections stay
// open, so its followers receive neither messages nor a close; they must look for another upstream within a timeout.
BOOST_AUTO_TEST_CASE(a_paused_reader_is_replaced_without_a_second_full_read)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    fleet.setPaused(0, true);
    fleet.write("b", "2");
    fleet.run(millis(2500));
    BOOST_TEST(fleet.countHolders("b") == 7U);
    BOOST_TEST(fleet.fullContentReads == 1U);
    fleet.setPaused(0, false);
    fleet.run(millis(8000));
    BOOST_TEST(fleet.countHolders("b") == 8U);
    BOOST_TEST(fleet.countReaders() == 1U);
}

// Guards against a fleet without store updates although the store serves most VMs. The store refuses only the reader;
// the reader's report that it lost the store must make other processes read.
BOOST_AUTO_TEST_CASE(other_processes_read_the_store_when_it_refuses_the_reader)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    fleet.setStoreUnavailable(0, true);
    fleet.write("b", "2");
    fleet.run(millis(6500));
    BOOST_TEST(fleet.countHolders("b") == 8U);
    fleet.run(millis(8000));
    BOOST_TEST(fleet.countReaders() <= 2U);
}

// Guards against VMs that use an outdated configuration for eight seconds although the store serves them. The store
// stops serving all seeds, including the reader, without notice. Each seed that takes over must not be trusted as a
// reader before the store has answered it: otherwise the others wait until its own store call times out.
BOOST_AUTO_TEST_CASE(other_processes_read_the_store_when_it_refuses_all_seeds)
{
    fleet_world fleet(20, 4);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    for (std::size_t seed = 0; seed < 3; ++seed) {
        fleet.setStoreUnavailable(seed, true);
    }
    fleet.write("b", "2");
    fleet.run(millis(1600));
    BOOST_TEST(fleet.countHolders("b") >= 17U);
}

// Guards against an isolated VM that treats leaving leafs as returned. It receives nothing from the store or its peers
// while the store works; its own isolation must not count as a failure of the store.
BOOST_AUTO_TEST_CASE(an_isolated_process_has_no_contact_with_peers)
{
    fleet_world fleet(6);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    BOOST_TEST(fleet.node(0).hasResponsivePeer(fleet.now()));
    BOOST_TEST(fleet.node(5).hasResponsivePeer(fleet.now()));
    fleet.partition(1);
    fleet.run(millis(1000));
    BOOST_TEST(!fleet.node(0).hasResponsivePeer(fleet.now()));
}

// Guards against a VM that uses an outdated configuration after the links to all its peers stop delivering messages,
// although the store is reachable: a process without an upstream must read the store itself.
BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_read_and_merge_again)
{
    fleet_world fleet(8);
    fleet.write("a", "1");
    fleet.run(millis(3000));
    fleet.partition(4);
    fleet.write("b", "2");
    fleet.run(millis(2500));
    BOOST_TEST(fleet.countHolders("b") == 8U);
    BOOST_TEST(fleet.node(7).fleetSize(fleet.now()) == 8U);
    fleet.partition(0);
    fleet.run(millis(15000));
    BOOST_TEST(fleet.countReaders() == 1U);
}

// Guards against VMs that each take the whole fleet's limits for themselves, because they reach none of the seeds.
BOOST_AUTO_TEST_CASE(processes_that_hear_none_of_the_others_do_not_count_themselves_as_the_fleet)
{
    constexpr std::size_t seeds = 3;
    constexpr std::size_t nodes = 8;
    fleet_world fleet(nodes);
    fleet.write("a", "1");
    for (std::size_t seed = 0; seed < seeds; ++seed) {
        fleet.start(seed, millis::never());
    }
    fleet.run(millis(40000));
    for (std::size_t index = seeds; index < nodes; ++index) {
        BOOST_TEST(fleet.node(index).possibleFleetSize(fleet.now()) >= nodes);
    }
    for (std::size_t seed = 0; seed < seeds; ++seed) {
        fleet.start(seed, fleet.now());
    }
    fleet.run(millis(40000)); // the largest size is kept for 30 s
    for (std::size_t index = 0; index < nodes; ++index) {
        BOOST_TEST(fleet.node(index).possibleFleetSize(fleet.now()) == nodes);
    }
}

BOOST_AUTO_TEST_CASE(process_whose_settings_name_no_other_counts_itself)
{
    fleet_node node({.address = "a:1", .zone = {"z"}, .seeds = {"a:1"}, .prefixes = {prefix}}, 1);
    node.start(millis(1000));
    constexpr millis afterTheEstimate(7000);
    BOOST_TEST(node.possibleFleetSize(afterTheEstimate) == 1U);
}

BOOST_AUTO_TEST_CASE(all_processes_know_all_members)
{
    fleet_world fleet(20, 3);
    fleet.write("a", "1");
    fleet.run(millis(10000));
    for (std::size_t index = 0; index < 20; ++index) {
        BOOST_TEST(fleet.memberCountAt(index) == 20U);
    }
    fleet.setPaused(7, true);
    fleet.run(millis(10000));
    BOOST_TEST(fleet.memberCountAt(3) == 19U);
}

// Guards against each VM of a large fleet having to detect a slow leaf itself. The VM that detects it first may be far
// down the tree, and a tree that carries only store updates, and only downwards, does not forward its report.
BOOST_AUTO_TEST_CASE(a_leaf_report_reaches_all_processes_within_a_second)
{
    fleet_world fleet(20, 3);
    fleet.write("a", "1");
    fleet.run(millis(5000));
    fleet.report(19, "leaf", 4);
    fleet.run(millis(1000));
    for (std::size_t index = 0; index < 19; ++index) {
        BOOST_TEST_REQUIRE(fleet.receivedReportsAt(index).size() == 1U);
        BOOST_TEST(fleet.receivedReportsAt(index).front().slowness == 4);
        const millis age = fleet.now() - fleet.receivedReportsAt(index).front().observedAt;
        // The age excludes the network latency of the messages, which adds up over several hops.
        BOOST_TEST(std::abs(age.count() - 1000) < 100);
    }
    // No process receives the report twice, and its sender does not receive it back.
    fleet.run(millis(5000));
    BOOST_TEST(fleet.receivedReportsAt(19).empty());
    BOOST_TEST(fleet.receivedReportsAt(0).size() == 1U);
}

BOOST_AUTO_TEST_CASE(reports_about_the_slowest_leafs_are_sent_first)
{
    fleet_world fleet(2);
    fleet.write("a", "1");
    fleet.run(millis(5000));
    for (int leaf = 0; leaf < 100; ++leaf) {
        fleet.report(1, "leaf" + std::to_string(leaf), 1 + leaf);
    }
    fleet.run(millis(120)); // one tick, at the daemon's tick interval
    const std::vector<leaf_report> &firstReports = fleet.receivedReportsAt(0);
    BOOST_TEST(!firstReports.empty());
    BOOST_TEST(firstReports.size() < 100U);
    BOOST_TEST(std::ranges::min(firstReports, {}, &leaf_report::slowness).slowness > 50);
    fleet.run(millis(1000));
    BOOST_TEST(fleet.receivedReportsAt(0).size() == 100U);
}

BOOST_AUTO_TEST_CASE(updates_in_any_order_never_restore_an_older_state)
{
    store_view view;
    view.applyContents({{"a", 5, false, "1"}, {"b", 3, false, "1"}}, 6);
    BOOST_TEST(view.applyChanges({{"a", 4, false, "0"}}, 7).empty());
    BOOST_TEST(view.applyChanges({{"b", 8, true, {}}}, 8).size() == 1U);
    BOOST_TEST(view.applyChanges({{"b", 7, false, "2"}}, 8).empty());
    BOOST_TEST(view.applyChanges({{"c", 9, false, "1"}}, 9).size() == 1U);
    BOOST_TEST(view.applyChanges({{"never", 9, true, {}}}, 9).size() == 1U);
    BOOST_TEST(view.applyChanges({{"never", 9, false, "1"}}, 9).empty());
    // Full contents read at revision 8 cannot include c, which was written at revision 9.
    BOOST_TEST(view.applyContents({{"a", 5, false, "1"}}, 8).empty());
    BOOST_TEST(view.contents().size() == 2U);
    BOOST_TEST(view.changesSince(7)->size() == 3U);
    BOOST_TEST(!view.changesSince(2).has_value());
}

// Guards against a reader that missed a deletion and treats the recreated key as the old entry.
BOOST_AUTO_TEST_CASE(a_recreated_key_implies_a_deletion)
{
    store_view view;
    view.applyContents({{"a", 5, false, "1", 2}}, 6);
    const std::vector<store_item> updates = view.applyContents({{"a", 9, false, "2", 8}}, 9);
    BOOST_REQUIRE(updates.size() == 2U);
    BOOST_TEST(updates.front().deleted);
    BOOST_TEST(updates.front().revision == 7U);
    BOOST_TEST(updates.back().value == "2");
    BOOST_TEST(view.applyChanges({{"a", 10, false, "3", 8}}, 10).size() == 1U);
}

// Guards against a VM that joins, or falls behind, between a deletion and a late write and receives only the write.
BOOST_AUTO_TEST_CASE(updates_after_a_late_write_include_the_deletion_before_it)
{
    store_view view;
    view.applyContents({{"a", 5, false, "1"}, {"b", 3, false, "1"}}, 6);
    view.applyChanges({{"a", 7, true, {}}}, 7);
    view.applyChanges({{"a", 8, false, "1"}}, 8);
    store_view laggingView;
    laggingView.applyContents({{"a", 5, false, "1"}, {"b", 3, false, "1"}}, 6);
    store_view newView;
    const std::vector<store_item> missedUpdates = laggingView.applyChanges(*view.changesSince(6), view.revision());
    const std::vector<store_item> fullContents = newView.applyContents(view.contentsWithDeletions(), view.revision());
    for (const std::vector<store_item> &updates : {missedUpdates, fullContents}) {
        const auto deletion = std::ranges::find_if(updates, [](const store_item &item) { return item.deleted; });
        const auto lateWrite = std::ranges::find(updates, 8U, &store_item::revision);
        BOOST_REQUIRE(deletion != updates.end());
        BOOST_REQUIRE(lateWrite != updates.end());
        BOOST_TEST((deletion < lateWrite));
        BOOST_TEST(deletion->key == "a");
    }
    BOOST_TEST(newView.contents().size() == 2U);
}

// Guards against a reader that has just started and treats a late write as a new entry, although other processes know
// of the deletion.
BOOST_AUTO_TEST_CASE(a_starting_reader_receives_recent_deletions_from_its_followers)
{
    for (const bool writeAfterStart : {true, false}) {
        fleet_world fleet(8);
        fleet.write("leaf", "ready");
        fleet.write("other", "ready");
        fleet.run(millis(4000));
        fleet.write("leaf", "");
        fleet.run(millis(500));
        if (!writeAfterStart) {
            fleet.write("leaf", "ready");
            fleet.run(millis(300));
        }
        fleet.kill(0);
        fleet.start(0, fleet.now() + millis(200));
        fleet.run(millis(2500));
        BOOST_TEST(fleet.node(0).isReading());
        if (writeAfterStart) {
            fleet.write("leaf", "ready");
            fleet.run(millis(300));
        }
        BOOST_TEST(fleet.valuesReceived(0, "leaf").ends_with("deleted,ready"));
    }
}

// Guards against a VM that starts while the process above it stands still, reads the store alone, and passes on a late
// write as a new entry.
BOOST_AUTO_TEST_CASE(a_starting_reader_that_hears_nobody_waits_for_the_others)
{
    fleet_world fleet(fleet_world_settings {.nodeCount = 8, .fanOut = 2});
    fleet.write("leaf", "ready");
    fleet.write("other", "ready");
    fleet.run(millis(4000));
    fleet.write("leaf", "");
    fleet.run(millis(500));
    fleet.write("leaf", "ready");
    fleet.run(millis(300));
    fleet.kill(1);
    fleet.setPaused(0, true);
    fleet.setPaused(2, true);
    fleet.start(1, fleet.now() + millis(50));
    for (int step = 0; step < 300; ++step) {
        fleet.run(millis(10));
        BOOST_REQUIRE(fleet.valuesReceived(1, "leaf") != "ready");
    }
    BOOST_TEST(fleet.valuesReceived(1, "leaf").ends_with("deleted,ready"));
    BOOST_TEST(fleet.valuesReceived(1, "other") == "ready");
}

// Guards against a VM that takes itself for the only one because the others run without the store, and passes on a late
// write as a new entry.
BOOST_AUTO_TEST_CASE(a_starting_reader_waits_for_a_process_that_has_lost_the_store)
{
    fleet_world fleet(3);
    fleet.write("leaf", "ready");
    fleet.run(millis(4000));
    fleet.write("leaf", "");
    fleet.run(millis(500));
    fleet.write("leaf", "ready");
    fleet.run(millis(300));
    fleet.kill(1);
    fleet.kill(2);
    fleet.setStoreUnavailable(0, true);
    fleet.run(millis(700));
    fleet.start(1, fleet.now() + millis(50));
    for (int step = 0; step < 300; ++step) {
        fleet.run(millis(10));
        BOOST_REQUIRE(fleet.valuesReceived(1, "leaf") != "ready");
    }
    BOOST_TEST(fleet.valuesReceived(1, "leaf").ends_with("deleted,ready"));
}

// Guards against a VM that follows another one which has not heard the others yet, and takes what that one read alone
// for what the fleet knows.
BOOST_AUTO_TEST_CASE(a_starting_follower_waits_with_a_reader_that_hears_nobody)
{
    for (const millis readerDelay : {millis(50), millis(400)}) {
        fleet_world fleet(4);
        fleet.write("leaf", "ready");
        fleet.run(millis(4000));
        fleet.write("leaf", "");
        fleet.run(millis(500));
        fleet.write("leaf", "ready");
        fleet.run(millis(300));
        fleet.setPaused(2, true);
        fleet.setPaused(3, true);
        fleet.kill(0);
        fleet.kill(1);
        fleet.start(0, fleet.now() + readerDelay);
        fleet.start(1, fleet.now() + millis(50));
        for (int step = 0; step < 60; ++step) {
            fleet.run(millis(10));
            BOOST_REQUIRE(fleet.valuesReceived(0, "leaf") != "ready");
            BOOST_REQUIRE(fleet.valuesReceived(1, "leaf") != "ready");
        }
        fleet.setPaused(3, false);
        fleet.run(millis(900));
        BOOST_TEST(fleet.valuesReceived(0, "leaf").ends_with("deleted,ready"));
        BOOST_TEST(fleet.valuesReceived(1, "leaf").ends_with("deleted,ready"));
    }
}

// Guards against followers that take a late write for an update, because those that read the store restarted meanwhile.
BOOST_AUTO_TEST_CASE(followers_learn_of_a_removal_that_no_reader_has_told_them)
{
    fleet_world fleet(8);
    fleet.write("leaf", "ready");
    fleet.run(millis(4000));
    for (const std::size_t seed : {0U, 1U, 2U}) {
        fleet.kill(seed);
        fleet.start(seed, fleet.now() + millis(250));
    }
    fleet.write("leaf", "");
    fleet.write("leaf", "ready");
    fleet.run(millis(3000));
    for (std::size_t index = 3; index < 8; ++index) {
        BOOST_TEST(fleet.valuesReceived(index, "leaf").ends_with("deleted,ready"));
    }
}

// Guards against a VM that stays without contents because it is the only one that runs.
BOOST_AUTO_TEST_CASE(a_process_that_runs_alone_uses_the_contents_at_once)
{
    fleet_world fleet(8);
    fleet.write("leaf", "ready");
    for (std::size_t index = 1; index < 8; ++index) {
        fleet.start(index, millis::never());
    }
    fleet.run(millis(120));
    BOOST_TEST(fleet.valuesReceived(0, "leaf") == "ready");
}

// Guards against a VM that waits without end for processes that never answer.
BOOST_AUTO_TEST_CASE(a_process_that_nobody_answers_uses_the_contents_after_a_while)
{
    fleet_world fleet(8);
    fleet.write("leaf", "ready");
    fleet.run(millis(3000));
    fleet.kill(0);
    for (std::size_t index = 1; index < 8; ++index) {
        fleet.setPaused(index, true);
    }
    fleet.start(0, fleet.now());
    fleet.run(millis(1500));
    BOOST_TEST(fleet.valuesReceived(0, "leaf").empty());
    fleet.run(millis(400));
    BOOST_TEST(fleet.valuesReceived(0, "leaf") == "ready");
}

// Guards against all VMs treating leafs as unconfirmed after a store outage: entries that expired because of the outage
// were not deleted.
BOOST_AUTO_TEST_CASE(entries_that_expire_in_a_store_outage_are_not_recent_deletions)
{
    fleet_world fleet(8);
    fleet.write("leaf", "ready");
    fleet.run(millis(4000));
    for (std::size_t index = 0; index < 8; ++index) {
        fleet.setStoreUnavailable(index, true);
    }
    fleet.run(millis(3000));
    for (std::size_t index = 1; index < 8; ++index) {
        BOOST_TEST(fleet.node(index).isStoreUnavailable());
    }
    fleet.write("leaf", "");
    for (std::size_t index = 0; index < 8; ++index) {
        fleet.setStoreUnavailable(index, false);
    }
    fleet.run(millis(1500));
    fleet.write("leaf", "ready");
    fleet.run(millis(500));
    fleet.kill(5);
    fleet.start(5, fleet.now() + millis(100));
    fleet.run(millis(6000));
    BOOST_TEST(fleet.valuesReceived(5, "leaf") == "ready");
    for (std::size_t index = 0; index < 8; ++index) {
        BOOST_TEST(!fleet.node(index).isStoreUnavailable());
    }
}

// Guards against full contents that grow with every key that was ever deleted.
BOOST_AUTO_TEST_CASE(full_contents_include_only_the_latest_deletions)
{
    store_view view;
    view.applyContents({}, 1);
    for (std::uint64_t revision = 2; revision < 1002; ++revision) {
        view.applyChanges({{"k" + std::to_string(revision), revision, true, {}}}, revision);
    }
    const std::vector<store_item> contents = view.contentsWithDeletions();
    BOOST_TEST(contents.size() == 256U);
    BOOST_TEST(std::ranges::min(contents, {}, &store_item::revision).revision == 746U);
}

BOOST_AUTO_TEST_CASE(malformed_payloads_are_rejected)
{
    const std::vector<std::uint8_t> malformed(32, 0xAB);
    BOOST_TEST(!decodeFleetPayload(malformed).has_value());
    BOOST_TEST(!decodeFleetPayload({}).has_value());
}
