#define BOOST_TEST_MODULE request_ledger
#include <boost/test/included/unit_test.hpp>

#include <quarantine/quarantine.h>

#include <algorithm>
#include <array>
#include <numeric>

using namespace chivelock;

namespace {

constexpr request_fingerprint guilty {1, 2};
constexpr request_fingerprint other {1, 3};
constexpr route_digest route = 9;
constexpr millis start(10000);

/** @param count leafs, the first of which is @p first. */
std::vector<leaf_digest> leafs(leaf_digest first, std::size_t count)
{
    std::vector<leaf_digest> result(count);
    std::iota(result.begin(), result.end(), first);
    return result;
}

request_ledger convicted()
{
    request_ledger ledger({});
    ledger.addEnds(guilty, route, 1, leafs(10, 2), start);
    ledger.addEnds(guilty, route, 2, leafs(20, 1), start);
    return ledger;
}

request_standing standing(const request_ledger &ledger, millis after = millis())
{
    return ledger.standingOf(guilty, start + after);
}

} // namespace

BOOST_AUTO_TEST_CASE(nothing_is_held_against_a_request_that_nobody_spoke_of)
{
    BOOST_CHECK(standing(request_ledger({})) == request_standing::Clear);
}

BOOST_AUTO_TEST_CASE(three_leafs_in_two_attempts_are_a_verdict)
{
    BOOST_CHECK(standing(convicted()) == request_standing::Quarantined);
    BOOST_CHECK(convicted().heldFor(guilty, start) >= quarantine_settings().hold);
    BOOST_CHECK(convicted().standingOf(other, start) == request_standing::Clear);
}

/**
 * Symptom: callers are refused for ten minutes for nothing.
 * Sequence: a host goes and takes many leafs at once; every lookup under way has lost many and has no answer yet.
 * Cause: how many leafs ended says nothing of guilt, as long as they ended at one moment.
 */
BOOST_AUTO_TEST_CASE(one_attempt_is_no_verdict_however_many_leafs_ended)
{
    request_ledger ledger({});
    ledger.addEnds(guilty, route, 1, leafs(10, 100), start);
    BOOST_CHECK(standing(ledger) == request_standing::Suspect);
}

/**
 * Symptom: a request under which many leafs ended goes on reaching leafs.
 * Sequence: what it ends leafs by takes longer than it is given, so that the leaf that is asked alone says that time is
 * up. Cause: only attempts that ended a leaf counted.
 */
BOOST_AUTO_TEST_CASE(attempts_that_no_leaf_survives_count_too)
{
    request_ledger ledger({});
    const std::array<leaf_digest, 1> none {noLeaf};
    ledger.addEnds(guilty, route, 1, leafs(10, 3), start);
    ledger.addEnds(guilty, route, 2, none, start);
    BOOST_CHECK(standing(ledger) == request_standing::Suspect);
    ledger.addEnds(guilty, route, 3, none, start);
    BOOST_CHECK(standing(ledger) == request_standing::Quarantined);
}

BOOST_AUTO_TEST_CASE(time_that_is_up_is_no_evidence_by_itself)
{
    request_ledger ledger({});
    const std::array<leaf_digest, 1> none {noLeaf};
    for (attempt_tag attempt = 1; attempt < 8; ++attempt) {
        ledger.addEnds(guilty, route, attempt, none, start);
    }
    BOOST_CHECK(standing(ledger) != request_standing::Quarantined);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_and_what_is_told_late_does_not_count)
{
    request_ledger ledger = convicted();
    const std::vector<request_evidence> late = ledger.all();
    ledger.addAnswer(guilty, start + millis(5));
    BOOST_CHECK(standing(ledger, millis(6)) == request_standing::Clear);
    ledger.join(late);
    BOOST_CHECK(standing(ledger, millis(50)) == request_standing::Clear);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_on_other_vms_too)
{
    request_ledger here = convicted();
    request_ledger there = convicted();
    here.addAnswer(guilty, start + millis(700));
    BOOST_CHECK_EQUAL(there.join(here.takeNews()).size(), 1U);
    BOOST_CHECK(standing(there, millis(701)) == request_standing::Clear);
}

/** Two sides of a cut that each saw less than a verdict have one together, whichever way they are joined. */
BOOST_AUTO_TEST_CASE(evidence_joins_in_any_order_and_any_number_of_times)
{
    std::array<request_ledger, 3> seen {request_ledger({}), request_ledger({}), request_ledger({})};
    for (std::uint32_t at = 0; at < seen.size(); ++at) {
        seen[at].addEnds(guilty, route, at, leafs(at * 10 + 1, 1), start);
    }
    std::array<std::size_t, 5> order {0, 1, 2, 0, 1};
    do {
        request_ledger joined({});
        std::ranges::for_each(order, [&](std::size_t at) { joined.join(seen[at].all()); });
        BOOST_REQUIRE(standing(joined) == request_standing::Quarantined);
        BOOST_REQUIRE_EQUAL(joined.find(guilty)->ends.size(), 3U);
    } while (std::ranges::next_permutation(order).found);
}

/** Symptom: VMs talk for ever about one answer. Cause: ages grow on the way, so that an echo looks newer. */
BOOST_AUTO_TEST_CASE(an_echo_is_no_news)
{
    request_ledger here = convicted();
    request_ledger there({});
    BOOST_CHECK_EQUAL(there.join(here.all()).size(), 1U);
    here.addAnswer(guilty, start + millis(700));
    std::vector<request_evidence> echo = here.takeNews();
    BOOST_CHECK_EQUAL(there.join(echo).size(), 1U);
    std::ranges::for_each(echo, [](request_evidence &one) { one.answeredAt = one.answeredAt + millis(40); });
    BOOST_CHECK(here.join(echo).empty());
    BOOST_CHECK(there.join(echo).empty());
}

BOOST_AUTO_TEST_CASE(after_the_hold_it_is_tried_with_care_and_the_next_hold_is_longer)
{
    request_ledger ledger = convicted();
    const millis first = ledger.heldFor(guilty, start);
    const millis released = start + first + millis(1);
    BOOST_CHECK(ledger.standingOf(guilty, released) == request_standing::Suspect);
    ledger.addEnds(guilty, route, 3, leafs(30, 1), released);
    BOOST_CHECK(ledger.standingOf(guilty, released) == request_standing::Quarantined);
    BOOST_CHECK(ledger.heldFor(guilty, released) >= first * 1.9);
}

BOOST_AUTO_TEST_CASE(vms_release_one_after_the_other)
{
    std::set<std::int64_t> moments;
    constexpr std::uint64_t vms = 8;
    for (std::uint64_t seed = 0; seed < vms; ++seed) {
        request_ledger ledger({}, seed);
        ledger.join(convicted().all());
        moments.insert(ledger.heldFor(guilty, start).ceiled() / 1000);
    }
    BOOST_CHECK_EQUAL(moments.size(), vms);
}

BOOST_AUTO_TEST_CASE(a_route_is_guarded_while_leafs_ended_under_its_requests_of_late)
{
    request_ledger ledger({});
    ledger.addEnds(guilty, route, 1, leafs(10, 1), start);
    BOOST_CHECK(!ledger.isGuarded(route, start)); // one leaf may end for any reason
    ledger.addEnds(other, route, 2, leafs(20, 2), start);
    BOOST_CHECK(ledger.isGuarded(route, start));
    BOOST_CHECK(!ledger.isGuarded(route + 1, start));
    const millis end = start + quarantine_settings().guardFor;
    BOOST_CHECK(!ledger.isGuarded(route, end));
    ledger.addEnds({1, 4}, route, 3, leafs(30, 1), end - millis(1));
    BOOST_CHECK(ledger.isGuarded(route, end)); // it goes on
}

/** Symptom: memory grows, or a verdict is lost. Sequence: a caller changes a byte of what ends leafs each time. */
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_verdicts_go_last)
{
    request_ledger ledger = convicted();
    for (std::uint64_t at = 0; at < 2000; ++at) {
        ledger.addEnds({2, at + 1}, route, 7, leafs(1, 3), start + millis(1));
    }
    BOOST_CHECK_EQUAL(ledger.size(), quarantine_settings().capacity);
    BOOST_CHECK(standing(ledger, millis(1)) == request_standing::Quarantined);
}

BOOST_AUTO_TEST_CASE(what_is_old_is_forgotten)
{
    request_ledger ledger = convicted();
    ledger.expire(start + ledger.heldFor(guilty, start) + millis(1));
    BOOST_CHECK_EQUAL(ledger.size(), 1U);
    ledger.expire(start + quarantine_settings().hold * 3);
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
}

BOOST_AUTO_TEST_CASE(work_whose_request_is_not_told_is_never_held_against_anybody)
{
    request_ledger ledger({});
    ledger.addEnds({}, route, 1, leafs(10, 3), start);
    ledger.addEnds({}, route, 2, leafs(20, 3), start);
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
}
