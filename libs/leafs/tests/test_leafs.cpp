#define BOOST_TEST_MODULE leafs
#include <boost/test/included/unit_test.hpp>

#include <leafs/leafs.h>

#include <numeric>

#include <algorithm>

using namespace chivelock;

namespace {

leaf_entry entryOf(std::string id)
{
    leaf_entry entry;
    entry.id = std::move(id);
    entry.service = {"s"};
    return entry;
}

} // namespace

// Symptom: nothing can be served for seconds after the store was away.
// Sequence: entries lapse while the store is down; it comes back without them; the leafs register again.
// Cause: their absence was taken for their end at once.
BOOST_AUTO_TEST_CASE(lapsed_entries_are_kept_until_their_time_to_return_is_over)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(0));
    directory.replaceAll({}, millis(1000));
    BOOST_TEST(directory.expire(millis(3100)) == 0U);
    BOOST_TEST(directory.of({"s"}).size() == 1U);
    directory.put(entry, millis(3150));
    BOOST_TEST(directory.expire(millis(9000)) == 0U);
    directory.remove("a", millis(9000));
    BOOST_TEST(directory.expire(millis(11250)) == 1U);
    BOOST_TEST(directory.of({"s"}).empty());
}

// Symptom: a leaf gets requests 3.3 s after the store knew that it leaves.
// Sequence: it drains; a process starts a little later and reads that; it asks the leaf for as long as one that has
// seen the change may. Cause: the time at which this process learned of it was taken for the time of the change.
BOOST_AUTO_TEST_CASE(a_leaf_that_drains_when_first_seen_may_have_drained_for_long)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.draining = true;
    directory.put(entry, millis(50000));
    BOOST_TEST((directory.find("a")->drainSeenAt == millis()));
    entry.id = "b";
    entry.draining = false;
    directory.put(entry, millis(50000));
    entry.draining = true;
    directory.put(entry, millis(51000));
    BOOST_TEST((directory.find("b")->drainSeenAt == millis(51000)));
}

// Symptom: a VM that was cut off asks a leaf 3.3 s after the store knew that it leaves.
// Sequence: it can reach the store again 1.5 s after the leaf began to drain, reads that, and asks for two seconds
// more. Cause: the end of the gap was taken for the time of the change.
BOOST_AUTO_TEST_CASE(what_is_learnt_after_a_gap_may_be_as_old_as_the_gap)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(1000));
    directory.noteCurrent(millis(2000));
    entry.draining = true;
    directory.put(entry, millis(15000));
    BOOST_TEST((directory.find("a")->drainSeenAt == millis(2000)));
}

// Symptom: a leaf gets requests 3.2 s after the store knew that it leaves.
// Sequence: its entry is removed, since it leaves; a heartbeat that it had sent before arrives and writes the entry
// again. Cause: the entry's return was taken for the leaf's. A leaf that has returned keeps its entry; this one's
// lapses again.
BOOST_AUTO_TEST_CASE(an_entry_that_a_late_heartbeat_wrote_again_is_doubtful)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.remove("a", millis(20000));
    directory.put(entry, millis(20100));
    const std::shared_ptr<leaf> known = directory.find("a");
    BOOST_TEST(known->isLeaving());
    BOOST_TEST((known->drainSeenAt == millis(20000)));
    directory.expire(millis(23000));
    BOOST_TEST(known->isLeaving());
    // A second write may come two seconds after the removal, and lapses three intervals after that.
    directory.expire(millis(26700));
    BOOST_TEST(known->isLeaving());
    // Nothing removed it again: it is back.
    directory.expire(millis(26900));
    BOOST_TEST(!known->isLeaving());
    BOOST_TEST((known->drainSeenAt == millis::never()));
}

// As above, of a leaf that left before anything was known of it here.
BOOST_AUTO_TEST_CASE(an_entry_that_was_removed_before_it_was_seen_is_doubtful)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    BOOST_TEST(!directory.remove("a", millis(20000)));
    directory.put(entry, millis(20100));
    BOOST_TEST(directory.find("a")->isLeaving());
    BOOST_TEST((directory.find("a")->drainSeenAt == millis(20000)));
    directory.expire(millis(26700));
    BOOST_TEST(directory.find("a")->isLeaving());
    directory.expire(millis(26900));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a leaf that was forgotten by the time a late write of it comes, and is asked as a new one.
BOOST_AUTO_TEST_CASE(a_leaf_that_is_written_long_after_its_end_is_doubtful)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.remove("a", millis(20000));
    BOOST_TEST(directory.expire(millis(22300)) == 1U);
    directory.put(entry, millis(25500));
    BOOST_TEST(directory.find("a")->isLeaving());
    BOOST_TEST((directory.find("a")->drainSeenAt == millis(20000)));
    directory.expire(millis(30200));
    BOOST_TEST(directory.find("a")->isLeaving());
    directory.expire(millis(30400));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a leaf that drained, ended, and is asked again for a late write that says ready.
BOOST_AUTO_TEST_CASE(a_leaf_that_drained_and_ended_does_not_come_back_under_its_birth)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.bornAt = millis(1e12);
    directory.put(entry, millis(10000));
    entry.draining = true;
    directory.put(entry, millis(20000));
    directory.remove("a", millis(23500));
    BOOST_TEST(directory.expire(millis(26000)) == 1U);
    entry.draining = false;
    directory.put(entry, millis(28000));
    directory.expire(millis(50000));
    BOOST_TEST(directory.find("a")->isLeaving());
    BOOST_TEST((directory.find("a")->drainSeenAt == millis(20000)));
    directory.remove("a", millis(50000));
    directory.expire(millis(53000));
    entry.bornAt = millis(1e12 + 1);
    directory.put(entry, millis(54000));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a leaf that left while this VM heard nothing, and is taken for one that leaves just now.
BOOST_AUTO_TEST_CASE(a_removal_learnt_after_a_silence_is_as_old_as_the_silence)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.noteCurrent(millis(20000));
    directory.remove("a", millis(21500));
    BOOST_TEST((directory.find("a")->missingSince == millis(20000)));
    BOOST_TEST(directory.expire(millis(22300)) == 1U);
    directory.put(entry, millis(24000));
    BOOST_TEST(directory.find("a")->isLeaving());
    // A silence of more than its time to be remembered.
    directory.noteCurrent(millis(30000));
    directory.remove("a", millis(130000));
    BOOST_TEST(directory.expire(millis(130000)) == 1U);
    directory.put(entry, millis(131000));
    BOOST_TEST(directory.find("a")->isLeaving());
}

// Guards against a leaf that is believed to have outlived its entry's lapse while the store was silent.
BOOST_AUTO_TEST_CASE(a_doubt_ends_only_by_what_the_store_has_told)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.noteCurrent(millis(19900));
    directory.remove("a", millis(20000));
    directory.put(entry, millis(23000));
    directory.noteCurrent(millis(25000));
    directory.expire(millis(28000));
    BOOST_TEST(directory.find("a")->isLeaving());
    directory.noteCurrent(millis(27700));
    directory.expire(millis(28200));
    BOOST_TEST(directory.find("a")->isLeaving());
    directory.noteCurrent(millis(27900));
    directory.expire(millis(28400));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against memory that grows with each leaf that ever ended.
BOOST_AUTO_TEST_CASE(of_many_departed_leafs_the_latest_are_kept)
{
    constexpr int leafs = 5000;
    leaf_directory directory(millis(2200));
    leaf_entry entry;
    entry.service = {"s"};
    for (int at = 0; at < leafs; ++at) {
        directory.remove("a" + std::to_string(at), millis(20000 + at));
    }
    entry.id = "a0";
    directory.put(entry, millis(26000));
    BOOST_TEST(!directory.find("a0")->isLeaving());
    entry.id = "a" + std::to_string(leafs - 1);
    directory.put(entry, millis(26000));
    BOOST_TEST(directory.find(entry.id)->isLeaving());
}

BOOST_AUTO_TEST_CASE(an_entry_that_lapsed_while_the_store_was_away_is_back_at_once)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.noteStoreTrouble(millis(19000));
    directory.remove("a", millis(20000));
    directory.put(entry, millis(21500));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against trouble of the store that excuses a leaf which left before it, or after it was over.
BOOST_AUTO_TEST_CASE(the_stores_trouble_excuses_only_what_lapses_for_it)
{
    const auto isDoubted = [](millis removedAt) {
        leaf_directory directory(millis(2200));
        leaf_entry entry = entryOf("a");
        directory.put(entry, millis(1000));
        const bool before = removedAt < millis(20000);
        if (before) {
            directory.remove("a", removedAt);
        }
        for (int at = 20000; at <= 22000; at += 100) {
            directory.noteStoreTrouble(millis(at));
        }
        if (!before) {
            directory.remove("a", removedAt);
        }
        directory.put(entry, std::max(removedAt, millis(22000)) + millis(300));
        return directory.find("a")->isLeaving();
    };
    BOOST_TEST(isDoubted(millis(19900)));
    BOOST_TEST(!isDoubted(millis(20100)));
    BOOST_TEST(!isDoubted(millis(24400)));
    BOOST_TEST(isDoubted(millis(25600)));
}

// Guards against all leafs doubted at once where the store is away a second time before they are back.
BOOST_AUTO_TEST_CASE(a_second_trouble_of_the_store_does_not_take_back_what_the_first_excuses)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(1000));
    directory.noteStoreTrouble(millis(20000));
    directory.remove("a", millis(20500));
    directory.noteStoreTrouble(millis(21900));
    directory.put(entry, millis(22300));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a leaf that is asked for as long as it lives, after its own word that it leaves.
BOOST_AUTO_TEST_CASE(a_return_after_the_stores_trouble_does_not_take_back_a_leafs_word)
{
    for (const bool knownBefore : {true, false}) {
        leaf_directory directory(millis(2200));
        leaf_entry entry = entryOf("a");
        if (knownBefore) {
            directory.put(entry, millis(10000));
        }
        directory.noteCurrent(millis(18900));
        directory.noteStoreTrouble(millis(19000));
        directory.remove("a", millis(20000));
        entry.draining = true;
        directory.put(entry, millis(21500));
        BOOST_TEST(directory.find("a")->isLeaving());
        BOOST_TEST((directory.find("a")->drainSeenAt <= millis(18900)));
    }
}

// Guards against a leaf whose time to be asked begins anew with each word of it.
BOOST_AUTO_TEST_CASE(a_leaf_drains_from_its_first_word_on)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(1000));
    entry.draining = true;
    directory.put(entry, millis(2000));
    entry.draining = false;
    directory.put(entry, millis(2100));
    BOOST_TEST(directory.find("a")->isLeaving());
    entry.draining = true;
    directory.put(entry, millis(3000));
    BOOST_TEST((directory.find("a")->drainSeenAt == millis(2000)));
}

// Symptom: a leaf that has started again gets nothing for seconds, or is asked as a last resort only.
// Sequence: it drains, ends, and starts again under its id; its entry says ready, with a later start and a lower count.
// Cause: what was believed of its earlier life, above all that it leaves, was held against the new one.
BOOST_AUTO_TEST_CASE(a_leaf_that_starts_again_under_its_id_is_another_leaf)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.address = "10.0.0.1:80";
    entry.bornAt = millis(1e12);
    entry.sequence = 40;
    entry.draining = true;
    directory.put(entry, millis(1000));
    const std::shared_ptr<leaf> earlier = directory.find("a");
    earlier->failuresInRow = 3;
    earlier->slowness = 9;
    directory.remove("a", millis(2000));
    entry.bornAt = millis(1e12 + 5000);
    entry.sequence = 1;
    entry.draining = false;
    entry.address = "10.0.0.2:80";
    BOOST_TEST(directory.put(entry, millis(3000)));
    const std::shared_ptr<leaf> later = directory.find("a");
    BOOST_TEST(later != earlier);
    BOOST_TEST(!later->isLeaving());
    BOOST_TEST((later->drainSeenAt == millis::never()));
    BOOST_TEST(later->slowness == 1);
    BOOST_TEST(later->entry.address == "10.0.0.2:80");
    BOOST_TEST(directory.of({"s"}).size() == 1U);
    BOOST_TEST(directory.find(digestOf("a")) == later);
}

// Symptom: a leaf that drains is asked as if it stayed, or one that has started again is taken for its earlier life.
// Sequence: a heartbeat that was long on its way is written over a newer entry.
// Cause: the entry written last was believed, whatever its start and count say.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_changes_nothing)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.bornAt = millis(1e12);
    entry.sequence = 5;
    entry.draining = true;
    directory.put(entry, millis(1000));
    leaf_entry overtaken = entry;
    overtaken.sequence = 4;
    overtaken.draining = false;
    BOOST_TEST(!directory.put(overtaken, millis(1100)));
    BOOST_TEST(directory.find("a")->isLeaving());
    leaf_entry earlierLife = entry;
    earlierLife.bornAt = millis(1e12 - 60000);
    earlierLife.sequence = 900;
    earlierLife.draining = false;
    BOOST_TEST(!directory.put(earlierLife, millis(1200)));
    BOOST_TEST(directory.find("a")->isLeaving());
}

// Symptom: requests go to whatever another writer has put into a leaf's entry, or a leaf is gone for good after it.
// Sequence: bytes that can't be read are written under a leaf's key; the leaf writes its entry again.
// Cause: the old entry was used on, or the leaf taken for removed and doubted when it came back.
BOOST_AUTO_TEST_CASE(a_spoilt_entry_names_no_leaf_until_it_is_written_again)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(1000));
    BOOST_TEST(directory.markUnreadable("a"));
    BOOST_TEST(!directory.markUnreadable("unknown"));
    BOOST_TEST(directory.find("a")->entryUnreadable);
    BOOST_TEST(directory.put(entry, millis(2000)));
    BOOST_TEST(!directory.find("a")->entryUnreadable);
    BOOST_TEST(!directory.find("a")->isLeaving());
}

BOOST_AUTO_TEST_CASE(a_quantile_is_followed_without_keeping_values)
{
    quantile_tracker median(0.5, millis(100));
    quantile_tracker slow(0.9, millis(1));
    seeded_random random(1);
    for (int at = 0; at < 5000; ++at) {
        const millis value(10 + 20 * random.uniform());
        median.add(value);
        slow.add(value);
    }
    BOOST_TEST(median.estimate().count() > 17);
    BOOST_TEST(median.estimate().count() < 23);
    BOOST_TEST(slow.estimate().count() > 24);
    BOOST_TEST(slow.estimate().count() < 32);
}

BOOST_AUTO_TEST_CASE(the_budget_slides_with_its_window)
{
    retry_budget budget(0.2, millis(10000));
    for (int at = 0; at < 100; ++at) {
        budget.countRequest(millis(100 * at));
    }
    unsigned taken = 0;
    while (budget.tryTake(1, 0, millis(10000))) {
        ++taken;
    }
    BOOST_TEST(taken >= 19U);
    BOOST_TEST(taken <= 21U);
    BOOST_TEST(!budget.tryTake(0, 0, millis(30000)));
}

// Symptom: a leaf that serves one long request is passed over as if it stood still.
// Sequence: one request takes long, others are answered meanwhile.
// Cause: only the oldest open request was looked at.
BOOST_AUTO_TEST_CASE(an_answer_to_another_request_shows_that_a_leaf_is_at_work)
{
    leaf one({});
    one.open = {{1, millis(0), millis(30)}};
    BOOST_TEST((one.stalledSince() == millis(30)));
    one.lastReplyAt = millis(40);
    BOOST_TEST((one.stalledSince() == millis::never()));
}

/**
 * Symptom: a leaf that has just started, and bears few requests a second until it is warm, ends again and again.
 * Sequence: all VMs turn to it at once. Cause: none of them knows how much the others ask of it.
 */
BOOST_AUTO_TEST_CASE(all_vms_together_ask_a_cold_leaf_within_what_it_bears)
{
    constexpr double overage = 1.5;
    constexpr double slack = 5;
    constexpr millis step(10);
    constexpr std::size_t stepsOfSecond = 100;
    for (const double bears : {0.5, 2.0, 10.0, 50.0, 400.0}) {
        for (const std::size_t vms : {1U, 8U, 78U, 300U}) {
            std::vector<double> sent; // in each step, by VMs that ask as often as they may
            std::vector<std::optional<cold_turn>> used(vms);
            for (millis now(1000000); sent.size() < 60 * stepsOfSecond; now = now + step) {
                double count = 0;
                for (std::size_t vm = 0; vm < vms; ++vm) {
                    const auto turn = coldTurnOf(7, {vms, vm + 1}, bears, now);
                    count += turn && turn != used[vm] ? 1 : 0;
                    used[vm] = turn ? turn : used[vm];
                }
                sent.push_back(count);
            }
            double most = 0;
            double all = 0;
            for (std::size_t at = 0; at + stepsOfSecond <= sent.size(); ++at) {
                const auto first = sent.begin() + static_cast<std::ptrdiff_t>(at);
                most = std::max(most, std::accumulate(first, first + stepsOfSecond, 0.0));
            }
            all = std::accumulate(sent.begin(), sent.end(), 0.0);
            BOOST_TEST_CONTEXT(vms << " VMs, " << bears << " a second")
            {
                BOOST_CHECK_LE(most, bears * overage + slack);
                BOOST_CHECK_GT(all, 0.0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_leaf_that_runs_may_turn_cold_again)
{
    leaf_directory leafs(millis(1000));
    leaf_entry entry;
    entry.id = "l";
    entry.service = {"s"};
    leafs.put(entry, millis(1000));
    BOOST_CHECK(leafs.find("l")->coldUntil <= millis(1000));
    entry.coldFor = millis(3000);
    entry.sequence = 2;
    leafs.put(entry, millis(5000));
    BOOST_CHECK(leafs.find("l")->coldUntil == millis(8000));
    entry.coldFor = millis(1e300); // of no leaf: it would be spared for ever
    entry.sequence = 3;
    leafs.put(entry, millis(6000));
    BOOST_CHECK(leafs.find("l")->coldUntil <= millis(6000 + 60000));
}
