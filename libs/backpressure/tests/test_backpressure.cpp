#define BOOST_TEST_MODULE backpressure
#include <boost/test/included/unit_test.hpp>

#include <backpressure/backpressure.h>

using namespace chivelock;

namespace {

constexpr std::size_t fixedConnections = 1000;
constexpr std::size_t kilobyte = 1024;
const byte_limits noByteLimits;

/** A table whose connections open at time 0. */
class table_of : public connection_table
{
public:
    table_of(std::size_t connections, const byte_limits &bytes)
    {
        setLimits(connections, bytes);
    }

    void add(connection_id id, const std::string &address = "10.0.0.1")
    {
        open(id, address, false, millis());
    }

    void use(connection_id id, connection_use use, std::size_t bytes, millis now)
    {
        update(id, use, bytes, true, now);
    }
};

} // namespace

// Guards against limits on VMs whose settings do not state their resources.
BOOST_AUTO_TEST_CASE(unknown_resources_keep_the_fixed_limit_and_bound_no_bytes)
{
    const pressure_limits limits = limitsFor({}, fixedConnections, 300);
    BOOST_TEST(limits.callerConnections == fixedConnections);
    BOOST_TEST(limits.callers.all == 0U);
    BOOST_TEST(limits.leafs.perAccount == 0U);
    byte_ledger<int> ledger;
    ledger.setLimits(limits.leafs);
    ledger.add(1, std::size_t {1} << 40);
    BOOST_TEST(ledger.hasRoom(1, 1));
    BOOST_TEST(!ledger.isOverLimit());
}

// Guards against callers that leave leafs no descriptors, and leafs that leave callers none.
BOOST_AUTO_TEST_CASE(callers_and_leafs_share_the_descriptors)
{
    constexpr std::size_t descriptors = 4100;
    const std::size_t usual = limitsFor({512, descriptors}, fixedConnections, 300).callerConnections;
    BOOST_TEST(usual > 2500U);
    BOOST_TEST(usual < descriptors - 300);
    const std::size_t manyLeafs = limitsFor({512, descriptors}, fixedConnections, 1400).callerConnections;
    BOOST_TEST(manyLeafs + 2 * 1400 < descriptors);
    BOOST_TEST(limitsFor({512, descriptors}, fixedConnections, 4000).callerConnections > 900U);
}

BOOST_AUTO_TEST_CASE(little_memory_bounds_connections_below_the_descriptors)
{
    const pressure_limits small = limitsFor({32, 8192}, fixedConnections, 0);
    const pressure_limits large = limitsFor({512, 8192}, fixedConnections, 0);
    BOOST_TEST(small.callerConnections < 1000U);
    BOOST_TEST(large.callerConnections > 4000U);
    BOOST_TEST(small.callers.all + small.leafs.all < (std::size_t {32} << 20) / 2);
}

// Guards against a request that could never be sent because it is larger than the limit.
BOOST_AUTO_TEST_CASE(an_account_that_holds_nothing_may_hold_one_large_item)
{
    byte_ledger<int> ledger;
    ledger.setLimits({100, 1000});
    BOOST_TEST(ledger.hasRoom(1, 500));
    ledger.add(1, 500);
    BOOST_TEST(!ledger.hasRoom(1, 1));
    BOOST_TEST(ledger.hasRoom(2, 500));
    ledger.remove(1, 500);
    BOOST_TEST(ledger.total() == 0U);
}

// Guards against leafs that read nothing and leave those that read one request at a time.
BOOST_AUTO_TEST_CASE(accounts_that_hold_all_leave_a_share_to_the_others)
{
    byte_ledger<int> ledger;
    ledger.setLimits({100, 1600});
    constexpr int stuckAccounts = 16;
    for (int account = 1; account <= stuckAccounts; ++account) {
        ledger.add(account, 100);
    }
    ledger.add(0, 10);
    BOOST_TEST(ledger.hasRoom(0, 10));
    BOOST_TEST(!ledger.hasRoom(0, 90));
    BOOST_TEST(!ledger.hasRoom(1, 1));
}

BOOST_AUTO_TEST_CASE(a_new_connection_replaces_the_one_that_leaves_its_answer_unread)
{
    table_of table(2, noByteLimits);
    table.add(1);
    table.add(2);
    table.use(1, connection_use::Idle, 0, millis());
    table.use(2, connection_use::Answering, kilobyte, millis(1000));
    const admission decided = table.admit("10.0.0.1", millis(3000));
    BOOST_TEST(decided.keep);
    BOOST_TEST(decided.closeFirst.value().id == 2U);
    BOOST_TEST((decided.closeFirst->cause == closing_cause::NotReading));
}

// Guards against a caller whose request was read and that gets no answer.
BOOST_AUTO_TEST_CASE(a_connection_whose_request_is_served_is_never_closed)
{
    table_of table(2, {1, 1});
    table.add(1);
    table.add(2);
    table.use(1, connection_use::Serving, kilobyte, millis());
    table.use(2, connection_use::Serving, kilobyte, millis());
    const admission decided = table.admit("10.0.0.1", millis(60000));
    BOOST_TEST(!decided.keep);
    BOOST_TEST(!decided.closeFirst.has_value());
    BOOST_TEST(!table.nextOverLimit(millis(60000)).has_value());
    BOOST_TEST(table.isMemoryFull());
}

// Guards against closing a connection on which the next request is on its way.
BOOST_AUTO_TEST_CASE(a_connection_that_was_used_just_now_is_not_closed_for_a_new_one)
{
    table_of table(1, noByteLimits);
    table.add(1);
    table.use(1, connection_use::Idle, 0, millis(1000));
    BOOST_TEST(!table.admit("10.0.0.1", millis(1100)).keep);
    BOOST_TEST(table.admit("10.0.0.1", millis(2000)).keep);
}

BOOST_AUTO_TEST_CASE(of_idle_connections_the_one_without_a_request_for_longest_goes_first)
{
    table_of table(3, noByteLimits);
    for (const connection_id id : {1, 2, 3}) {
        table.add(id);
        table.use(id, connection_use::Idle, 0, millis(id == 2 ? 100 : 500));
    }
    BOOST_TEST(table.admit("10.0.0.1", millis(5000)).closeFirst.value().id == 2U);
}

// Guards against a caller that reads slowly and is closed in favour of one that does not read.
BOOST_AUTO_TEST_CASE(over_the_memory_limit_a_caller_that_reads_outlives_one_that_does_not)
{
    table_of table(10, {100 * kilobyte, 110 * kilobyte});
    table.add(1);
    table.add(2);
    table.use(2, connection_use::Answering, 20 * kilobyte, millis());
    for (millis now; now < millis(3000); now = now + millis(100)) {
        table.use(1, connection_use::Answering, 95 * kilobyte, now);
    }
    const auto first = table.nextOverLimit(millis(3000));
    BOOST_TEST(first.value().id == 2U);
    BOOST_TEST((first->cause == closing_cause::MemoryFull));
    table.close(2);
    BOOST_TEST(!table.nextOverLimit(millis(3000)).has_value());
}

// Guards against a reset in the middle of an answer: none of these callers has been silent for long, and the one that
// reads is among them.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_outlives_those_that_have_not_read_yet)
{
    table_of table(100, {0, 100 * kilobyte});
    constexpr connection_id reader = 1;
    for (connection_id id = reader; id <= 40; ++id) {
        table.add(id);
        table.use(id, connection_use::Answering, 10 * kilobyte, millis(id == reader ? 0 : 30));
    }
    for (millis now; now <= millis(60); now = now + millis(20)) {
        table.use(reader, connection_use::Answering, 12 * kilobyte, now);
    }
    while (const auto next = table.nextOverLimit(millis(61))) {
        BOOST_TEST(next->id != reader);
        table.close(next->id);
    }
    BOOST_TEST(!table.isMemoryFull());
    BOOST_TEST(table.kept() > 10U);
}

// Guards against a reset of a caller that reads in large steps: it looks like one that reads nothing until the second.
BOOST_AUTO_TEST_CASE(callers_keep_their_answers_until_they_have_been_silent_for_long)
{
    table_of table(100, {0, 100 * kilobyte});
    for (connection_id id = 1; id <= 14; ++id) {
        table.add(id);
        table.use(id, connection_use::Answering, 10 * kilobyte, millis());
        table.update(id, connection_use::Answering, 10 * kilobyte, true, millis(4), 32 * kilobyte);
    }
    BOOST_TEST(!table.nextOverLimit(millis(300)).has_value());
    BOOST_TEST(!table.hasMemoryFor(20 * kilobyte));
    BOOST_TEST(table.hasMemoryFor(kilobyte));
    table.update(3, connection_use::Answering, 9 * kilobyte, true, millis(300), 33 * kilobyte);
    BOOST_TEST(table.nextOverLimit(millis(505)).value().id != 3U);
}

// Guards against memory that stays taken by callers whose hosts have not even room for the first bytes.
BOOST_AUTO_TEST_CASE(a_caller_that_takes_nothing_gives_way_soon)
{
    table_of table(100, {0, 100 * kilobyte});
    for (connection_id id = 1; id <= 11; ++id) {
        table.add(id);
        table.use(id, connection_use::Answering, 10 * kilobyte, millis());
        table.update(
            id, connection_use::Answering, 10 * kilobyte, true, millis(4), id == 5 ? 2 * kilobyte : 32 * kilobyte);
    }
    BOOST_TEST(!table.firstStopped(millis(100), 0).has_value());
    BOOST_TEST(table.firstStopped(millis(110), 0).value().id == 5U);
    BOOST_TEST(!table.firstStopped(millis(110), 5).has_value());
}

// Guards against the receive buffer of a caller that reads nothing being taken for reading.
BOOST_AUTO_TEST_CASE(a_caller_that_took_only_the_first_bytes_does_not_count_as_reading)
{
    table_of table(100, {0, 18 * kilobyte});
    table.add(1);
    table.add(2);
    table.use(1, connection_use::Answering, 15 * kilobyte, millis());
    table.use(2, connection_use::Answering, 15 * kilobyte, millis(50));
    table.use(1, connection_use::Answering, 14 * kilobyte, millis(2));
    table.use(2, connection_use::Answering, 14 * kilobyte, millis(90));
    BOOST_TEST(table.nextOverLimit(millis(100)).value().id == 1U);
}

// Guards against resets that only make room for new requests, which can be refused instead.
BOOST_AUTO_TEST_CASE(callers_that_read_keep_their_answers_until_the_memory_is_full)
{
    table_of table(100, {0, 100 * kilobyte});
    for (connection_id id = 1; id <= 3; ++id) {
        table.add(id);
        table.use(id, connection_use::Answering, 40 * kilobyte, millis(100 * static_cast<double>(id)));
        table.use(id, connection_use::Answering, 40 * kilobyte, millis(1000));
    }
    BOOST_TEST(!table.hasMemoryFor(20 * kilobyte));
    BOOST_TEST(!table.nextOverLimit(millis(1001)).has_value());
    table.use(1, connection_use::Answering, 90 * kilobyte, millis(1000));
    BOOST_TEST(table.nextOverLimit(millis(1001)).value().id == 3U);
}

// Guards against a caller that reads with pauses and is closed for a new connection.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_with_pauses_keeps_its_connection)
{
    table_of table(1, noByteLimits);
    table.add(1);
    for (const double at : {0.0, 700.0, 1400.0}) {
        table.use(1, connection_use::Answering, kilobyte, millis(at));
    }
    BOOST_TEST(!table.admit("10.0.0.2", millis(2000)).keep);
    BOOST_TEST(table.admit("10.0.0.2", millis(4000)).closeFirst.value().id == 1U);
}

// Guards against answers that are fetched, although there is no memory for them.
BOOST_AUTO_TEST_CASE(the_expected_size_of_an_answer_follows_the_recent_ones_of_its_route)
{
    answer_sizes sizes;
    BOOST_TEST(sizes.expected("large") == 0U);
    sizes.record("large", 100 * kilobyte);
    BOOST_TEST(sizes.expected("large") == 100 * kilobyte);
    for (int answer = 0; answer < 100; ++answer) {
        sizes.record("large", 10 * kilobyte);
    }
    BOOST_TEST(sizes.expected("large") < 11 * kilobyte);
    BOOST_TEST(sizes.expected("small") == 0U);
}

BOOST_AUTO_TEST_CASE(silence_and_held_bytes_both_count)
{
    table_of table(10, {0, kilobyte});
    table.add(1);
    table.add(2);
    table.use(1, connection_use::Answering, 10 * kilobyte, millis(8000));
    table.use(2, connection_use::Answering, 2 * kilobyte, millis(0));
    BOOST_TEST(table.nextOverLimit(millis(9000)).value().id == 2U);
    BOOST_TEST(table.nextOverLimit(millis(90000)).value().id == 1U);
}

// Guards against an answer that is larger than the limit of one connection and can therefore not be read.
BOOST_AUTO_TEST_CASE(a_connection_above_its_own_limit_is_closed_only_without_progress)
{
    table_of table(10, {kilobyte, 0});
    table.add(1);
    table.use(1, connection_use::Answering, 5 * kilobyte, millis(1000));
    BOOST_TEST(!table.nextOverLimit(millis(1200)).has_value());
    BOOST_TEST((table.nextOverLimit(millis(2000)).value().cause == closing_cause::AccountFull));
}

// Guards against one client address that takes all connections.
BOOST_AUTO_TEST_CASE(one_address_gets_only_its_share_once_connections_are_short)
{
    table_of table(100, noByteLimits);
    connection_id next = 1;
    const auto flood = [&](const std::string &from, unsigned attempts) {
        for (unsigned at = 0; at < attempts; ++at) {
            if (table.admit(from, millis(10)).keep) {
                table.add(next);
                table.use(next++, connection_use::Serving, 0, millis(10));
            }
        }
    };
    table.open(next++, "10.0.0.2", false, millis());
    const auto keptFromFlood = [&] {
        flood("10.0.0.1", 500);
        return table.kept() - 1;
    };
    BOOST_TEST(keptFromFlood() < 95U);
    BOOST_TEST(table.admit("10.0.0.2", millis(10)).keep);
    BOOST_TEST(table.admit("10.0.0.3", millis(10)).keep);
}

BOOST_AUTO_TEST_CASE(a_single_address_may_use_all_connections)
{
    table_of table(100, noByteLimits);
    for (connection_id id = 1; id <= 100; ++id) {
        BOOST_TEST(table.admit("10.0.0.1", millis()).keep);
        table.add(id);
    }
    BOOST_TEST(!table.admit("10.0.0.1", millis()).keep);
}

BOOST_AUTO_TEST_CASE(an_address_above_its_share_gives_way_before_others)
{
    table_of table(40, noByteLimits);
    for (connection_id id = 1; id <= 30; ++id) {
        table.add(id, "10.0.0.1");
    }
    for (connection_id id = 31; id <= 40; ++id) {
        table.add(id, "10.0.0.2");
    }
    table.use(35, connection_use::Idle, 0, millis(0));
    for (connection_id id = 1; id <= 30; ++id) {
        table.use(id, connection_use::Idle, 0, millis(1000));
    }
    BOOST_TEST(table.admit("10.0.0.3", millis(3000)).closeFirst.value().id <= 30U);
    BOOST_TEST(table.admit("10.0.0.1", millis(3000)).closeFirst.value().id <= 30U);
}

// Guards against descriptors that are used up by connections that are only refused.
BOOST_AUTO_TEST_CASE(refused_connections_are_bounded)
{
    table_of table(1, noByteLimits);
    table.add(1);
    table.use(1, connection_use::Serving, 0, millis());
    connection_id next = 2;
    while (!table.isSaturated(millis(100)) && next < 1000) {
        BOOST_TEST(!table.admit("10.0.0.1", millis(100)).keep);
        table.open(next++, "10.0.0.1", true, millis(100));
    }
    BOOST_TEST(next < 100U);
    BOOST_TEST(table.kept() == 1U);
    const admission later = table.admit("10.0.0.1", millis(5000));
    BOOST_TEST(!later.keep);
    BOOST_TEST(later.closeFirst.value().id > 1U);
    BOOST_TEST(!table.isSaturated(millis(5000)));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_kept_once_there_is_room)
{
    table_of table(1, noByteLimits);
    table.add(1);
    table.open(2, "10.0.0.1", true, millis());
    BOOST_TEST(table.isRefused(2));
    table.close(1);
    BOOST_TEST(table.admit("10.0.0.1", millis(100)).keep);
    table.setRefused(2, false);
    BOOST_TEST(!table.isRefused(2));
    BOOST_TEST(table.kept() == 1U);
    table.close(2);
    BOOST_TEST(table.kept() == 0U);
}

// Guards against state that survives its connection, and against events that arrive after it was closed.
BOOST_AUTO_TEST_CASE(late_events_on_a_closed_connection_change_nothing)
{
    table_of table(1, {0, kilobyte});
    table.add(1);
    table.use(1, connection_use::Answering, 2 * kilobyte, millis());
    table.close(1);
    table.update(1, connection_use::Answering, 4 * kilobyte, true, millis(100));
    table.setRefused(1, false);
    table.close(1);
    BOOST_TEST(table.bytesHeld() == 0U);
    BOOST_TEST(table.kept() == 0U);
    BOOST_TEST(table.admit("10.0.0.1", millis(100)).keep);
}

// Guards against a pause of the VM after which all connections count as not reading: one sample is needed before.
BOOST_AUTO_TEST_CASE(progress_that_is_sampled_after_a_pause_protects_a_connection)
{
    table_of table(2, noByteLimits);
    table.add(1);
    table.add(2);
    table.use(1, connection_use::Answering, kilobyte, millis());
    table.use(2, connection_use::Answering, kilobyte, millis());
    const millis afterPause(60000);
    table.update(1, connection_use::Answering, kilobyte / 2, true, afterPause);
    table.update(2, connection_use::Answering, kilobyte, false, afterPause);
    BOOST_TEST(table.admit("10.0.0.1", afterPause).closeFirst.value().id == 2U);
}

// Guards against a process that ends for lack of memory, and against small answers that pay for large ones beside them.
BOOST_AUTO_TEST_CASE(the_largest_incomplete_answer_is_given_up_first)
{
    incomplete_answers<int> answers;
    answers.setLimit(1000);
    answers.update(1, 700);
    answers.update(2, 250);
    BOOST_TEST(!answers.firstToGiveUp().has_value());
    answers.update(3, 60);
    BOOST_TEST(answers.firstToGiveUp().value() == 1);
    answers.update(1, 0);
    BOOST_TEST(!answers.firstToGiveUp().has_value());
    BOOST_TEST(answers.total() == 310U);
    answers.update(2, 0);
    answers.update(3, 100);
    BOOST_TEST(answers.total() == 100U);
}

BOOST_AUTO_TEST_CASE(incomplete_answers_have_no_limit_if_the_memory_is_not_known)
{
    incomplete_answers<int> answers;
    answers.setLimit(limitsFor({}, 1000, 0).incompleteAnswers);
    answers.update(1, std::size_t {1} << 40);
    BOOST_TEST(!answers.firstToGiveUp().has_value());
    BOOST_TEST(limitsFor({240, 0}, 1000, 0).incompleteAnswers == std::size_t {20} << 20);
}
