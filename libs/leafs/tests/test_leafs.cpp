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

// Guards against seconds without service after a store outage. Entries expire while the store is down, and
// leafs register again after it is back. A missing entry must not remove the leaf at once.
BOOST_AUTO_TEST_CASE(expired_entries_are_kept_until_their_hold_time_is_over)
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

// Guards against requests to a leaf 3.3 s after the store knew that it leaves. A process that starts after the drain
// began must not take the time at which it read the entry for the start of the drain.
BOOST_AUTO_TEST_CASE(a_leaf_that_drains_when_first_seen_may_have_drained_for_long)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.draining = true;
    directory.put(entry, millis(50000));
    BOOST_TEST((directory.find("a")->drainingSince == millis()));
    entry.id = "b";
    entry.draining = false;
    directory.put(entry, millis(50000));
    entry.draining = true;
    directory.put(entry, millis(51000));
    BOOST_TEST((directory.find("b")->drainingSince == millis(51000)));
}

// Guards against a VM that asks a leaf 3.3 s after the store knew that it leaves. The VM reaches the store again 1.5 s
// after the drain began, and asks for two seconds more. The end of the gap must not count as the time of the change.
BOOST_AUTO_TEST_CASE(a_change_received_after_a_gap_may_be_as_old_as_the_gap)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(1000));
    directory.noteCurrent(millis(2000));
    entry.draining = true;
    directory.put(entry, millis(15000));
    BOOST_TEST((directory.find("a")->drainingSince == millis(2000)));
}

// Guards against requests to a leaf 3.2 s after the store knew that it leaves. Its entry is removed, and a heartbeat
// that was sent before writes it again. A leaf that has really returned keeps its entry; this one expires again.
BOOST_AUTO_TEST_CASE(an_entry_that_a_late_heartbeat_wrote_again_is_unconfirmed)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.remove("a", millis(20000));
    directory.put(entry, millis(20100));
    const std::shared_ptr<leaf> known = directory.find("a");
    BOOST_TEST(known->isLeaving());
    BOOST_TEST((known->drainingSince == millis(20000)));
    directory.expire(millis(23000));
    BOOST_TEST(known->isLeaving());
    // A second write may come two seconds after the removal, and expires three intervals after that.
    directory.expire(millis(26700));
    BOOST_TEST(known->isLeaving());
    // The entry was not removed again: the return is confirmed.
    directory.expire(millis(26900));
    BOOST_TEST(!known->isLeaving());
    BOOST_TEST((known->drainingSince == millis::never()));
}

// The same for a leaf that was removed before this process had seen its entry.
BOOST_AUTO_TEST_CASE(an_entry_that_was_removed_before_it_was_seen_is_unconfirmed)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    BOOST_TEST(!directory.remove("a", millis(20000)));
    directory.put(entry, millis(20100));
    BOOST_TEST(directory.find("a")->isLeaving());
    BOOST_TEST((directory.find("a")->drainingSince == millis(20000)));
    directory.expire(millis(26700));
    BOOST_TEST(directory.find("a")->isLeaving());
    directory.expire(millis(26900));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a removed leaf that is treated as a new one when a late write of its entry arrives.
BOOST_AUTO_TEST_CASE(an_entry_that_is_written_long_after_its_removal_is_unconfirmed)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.remove("a", millis(20000));
    BOOST_TEST(directory.expire(millis(22300)) == 1U);
    directory.put(entry, millis(25500));
    BOOST_TEST(directory.find("a")->isLeaving());
    BOOST_TEST((directory.find("a")->drainingSince == millis(20000)));
    directory.expire(millis(30200));
    BOOST_TEST(directory.find("a")->isLeaving());
    directory.expire(millis(30400));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a drained and stopped leaf that is asked again because a late write of its entry says ready.
BOOST_AUTO_TEST_CASE(a_drained_leaf_returns_only_as_a_new_incarnation)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.leafStartedAt = millis(1e12);
    directory.put(entry, millis(10000));
    entry.draining = true;
    directory.put(entry, millis(20000));
    directory.remove("a", millis(23500));
    BOOST_TEST(directory.expire(millis(26000)) == 1U);
    entry.draining = false;
    directory.put(entry, millis(28000));
    directory.expire(millis(50000));
    BOOST_TEST(directory.find("a")->isLeaving());
    BOOST_TEST((directory.find("a")->drainingSince == millis(20000)));
    directory.remove("a", millis(50000));
    directory.expire(millis(53000));
    entry.leafStartedAt = millis(1e12 + 1);
    directory.put(entry, millis(54000));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a leaf that left while this VM received no updates, and that counts as leaving only since now.
BOOST_AUTO_TEST_CASE(a_removal_received_after_a_gap_may_be_as_old_as_the_gap)
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
    // A gap that is longer than the retention of removed leafs.
    directory.noteCurrent(millis(30000));
    directory.remove("a", millis(130000));
    BOOST_TEST(directory.expire(millis(130000)) == 1U);
    directory.put(entry, millis(131000));
    BOOST_TEST(directory.find("a")->isLeaving());
}

// Guards against a return that is confirmed by passing time while the store is unresponsive.
BOOST_AUTO_TEST_CASE(a_return_is_confirmed_only_by_updates_of_the_store)
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

// Guards against memory that grows with every leaf that was ever removed.
BOOST_AUTO_TEST_CASE(of_many_removed_leafs_the_latest_are_kept)
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

BOOST_AUTO_TEST_CASE(an_entry_that_expired_in_a_store_outage_returns_without_confirmation)
{
    leaf_directory directory(millis(2200));
    directory.setHeartbeat(millis(1200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(10000));
    directory.recordStoreFailure(millis(19000));
    directory.remove("a", millis(20000));
    directory.put(entry, millis(21500));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a store outage that confirms the return of a leaf which left before the outage, or after it was over.
BOOST_AUTO_TEST_CASE(a_store_outage_explains_only_entries_that_expire_because_of_it)
{
    const auto isUnconfirmed = [](millis removedAt) {
        leaf_directory directory(millis(2200));
        leaf_entry entry = entryOf("a");
        directory.put(entry, millis(1000));
        const bool before = removedAt < millis(20000);
        if (before) {
            directory.remove("a", removedAt);
        }
        for (int at = 20000; at <= 22000; at += 100) {
            directory.recordStoreFailure(millis(at));
        }
        if (!before) {
            directory.remove("a", removedAt);
        }
        directory.put(entry, std::max(removedAt, millis(22000)) + millis(300));
        return directory.find("a")->isLeaving();
    };
    BOOST_TEST(isUnconfirmed(millis(19900)));
    BOOST_TEST(!isUnconfirmed(millis(20100)));
    BOOST_TEST(!isUnconfirmed(millis(24400)));
    BOOST_TEST(isUnconfirmed(millis(25600)));
}

// Guards against all leafs being unconfirmed at once if the store fails a second time before they are back.
BOOST_AUTO_TEST_CASE(a_second_store_outage_does_not_make_leafs_of_the_first_unconfirmed)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    directory.put(entry, millis(1000));
    directory.recordStoreFailure(millis(20000));
    directory.remove("a", millis(20500));
    directory.recordStoreFailure(millis(21900));
    directory.put(entry, millis(22300));
    BOOST_TEST(!directory.find("a")->isLeaving());
}

// Guards against a leaf that is asked for the rest of its life after its entry said that it drains.
BOOST_AUTO_TEST_CASE(a_return_after_a_store_outage_does_not_cancel_a_drain)
{
    for (const bool knownBefore : {true, false}) {
        leaf_directory directory(millis(2200));
        leaf_entry entry = entryOf("a");
        if (knownBefore) {
            directory.put(entry, millis(10000));
        }
        directory.noteCurrent(millis(18900));
        directory.recordStoreFailure(millis(19000));
        directory.remove("a", millis(20000));
        entry.draining = true;
        directory.put(entry, millis(21500));
        BOOST_TEST(directory.find("a")->isLeaving());
        BOOST_TEST((directory.find("a")->drainingSince <= millis(18900)));
    }
}

// Guards against a drain time that starts again with each update of the entry.
BOOST_AUTO_TEST_CASE(a_leaf_drains_since_its_first_draining_entry)
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
    BOOST_TEST((directory.find("a")->drainingSince == millis(2000)));
}

// Guards against a restarted leaf that gets no requests for seconds, or only as a last resort. It drains, stops, and
// starts again under its id with a later start and a lower sequence. The state of its earlier incarnation, above all
// the drain, must not apply to the new one.
BOOST_AUTO_TEST_CASE(a_leaf_that_restarts_under_its_id_is_a_new_incarnation)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.address = "10.0.0.1:80";
    entry.leafStartedAt = millis(1e12);
    entry.sequence = 40;
    entry.draining = true;
    directory.put(entry, millis(1000));
    const std::shared_ptr<leaf> earlier = directory.find("a");
    earlier->consecutiveFailures = 3;
    earlier->slowness = 9;
    directory.remove("a", millis(2000));
    entry.leafStartedAt = millis(1e12 + 5000);
    entry.sequence = 1;
    entry.draining = false;
    entry.address = "10.0.0.2:80";
    BOOST_TEST(directory.put(entry, millis(3000)));
    const std::shared_ptr<leaf> later = directory.find("a");
    BOOST_TEST(later != earlier);
    BOOST_TEST(!later->isLeaving());
    BOOST_TEST((later->drainingSince == millis::never()));
    BOOST_TEST(later->slowness == 1);
    BOOST_TEST(later->entry.address == "10.0.0.2:80");
    BOOST_TEST(directory.of({"s"}).size() == 1U);
    BOOST_TEST(directory.find(digestOf("a")) == later);
}

// Guards against a draining leaf that is asked as if it stayed, or a restarted leaf taken for its earlier incarnation.
// A delayed heartbeat overwrites a newer entry; the start and the sequence, not the write order, decide which is newer.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_changes_nothing)
{
    leaf_directory directory(millis(2200));
    leaf_entry entry = entryOf("a");
    entry.leafStartedAt = millis(1e12);
    entry.sequence = 5;
    entry.draining = true;
    directory.put(entry, millis(1000));
    leaf_entry overtaken = entry;
    overtaken.sequence = 4;
    overtaken.draining = false;
    BOOST_TEST(!directory.put(overtaken, millis(1100)));
    BOOST_TEST(directory.find("a")->isLeaving());
    leaf_entry earlierIncarnation = entry;
    earlierIncarnation.leafStartedAt = millis(1e12 - 60000);
    earlierIncarnation.sequence = 900;
    earlierIncarnation.draining = false;
    BOOST_TEST(!directory.put(earlierIncarnation, millis(1200)));
    BOOST_TEST(directory.find("a")->isLeaving());
}

// Guards against requests to an address that another writer put into a leaf's entry, and against a leaf that stays out
// of use after it. Unreadable bytes replace the entry; the old entry must not be used on, nor the leaf count as
// removed.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_disables_its_leaf_until_it_is_written_again)
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

BOOST_AUTO_TEST_CASE(a_quantile_is_estimated_without_storing_values)
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

BOOST_AUTO_TEST_CASE(the_retry_budget_uses_a_sliding_window)
{
    retry_budget budget(0.2, millis(10000));
    for (int at = 0; at < 100; ++at) {
        budget.countRequest(millis(100 * at));
    }
    unsigned taken = 0;
    while (budget.tryAcquire(1, 0, millis(10000))) {
        ++taken;
    }
    BOOST_TEST(taken >= 19U);
    BOOST_TEST(taken <= 21U);
    BOOST_TEST(!budget.tryAcquire(0, 0, millis(30000)));
}

// Guards against a leaf that is treated as stalled because of one long request, although it answers others meanwhile.
// Not only the oldest open request must be considered.
BOOST_AUTO_TEST_CASE(an_answer_to_another_request_shows_that_a_leaf_is_not_stalled)
{
    leaf one({});
    one.open = {{1, millis(0), millis(30)}};
    BOOST_TEST((one.stalledSince() == millis(30)));
    one.lastReplyAt = millis(40);
    BOOST_TEST((one.stalledSince() == millis::never()));
}

// Guards against a cold leaf, which sustains few requests a second, that crashes again after each restart. All VMs send
// to it at once, and none of them knows how many requests the others send.
BOOST_AUTO_TEST_CASE(all_vms_together_keep_to_the_rate_that_a_cold_leaf_sustains)
{
    constexpr double overage = 1.5;
    constexpr double slack = 5;
    constexpr millis step(10);
    constexpr std::size_t stepsOfSecond = 100;
    for (const double sustained : {0.5, 2.0, 10.0, 50.0, 400.0}) {
        for (const std::size_t vms : {1U, 8U, 78U, 300U}) {
            std::vector<double> sent; // requests in each step, by VMs that use every slot
            std::vector<std::optional<cold_admission_slot>> used(vms);
            for (millis now(1000000); sent.size() < 60 * stepsOfSecond; now = now + step) {
                double count = 0;
                for (std::size_t vm = 0; vm < vms; ++vm) {
                    const auto slot = coldAdmissionSlotAt(7, {vms, vm + 1}, sustained, now);
                    count += slot && slot != used[vm] ? 1 : 0;
                    used[vm] = slot ? slot : used[vm];
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
            BOOST_TEST_CONTEXT(vms << " VMs, " << sustained << " a second")
            {
                BOOST_CHECK_LE(most, sustained * overage + slack);
                BOOST_CHECK_GT(all, 0.0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_running_leaf_may_turn_cold_again)
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
    entry.coldFor = millis(1e300); // no real leaf: it would count as cold forever
    entry.sequence = 3;
    leafs.put(entry, millis(6000));
    BOOST_CHECK(leafs.find("l")->coldUntil <= millis(6000 + 60000));
}
