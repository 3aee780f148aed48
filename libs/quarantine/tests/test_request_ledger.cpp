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
    ledger.addEnds(guilty, route, 1, leafs(10, 2), false, start);
    ledger.addEnds(guilty, route, 2, leafs(20, 1), true, start);
    return ledger;
}

/** Leafs end under many requests at once, and under each attempt of this one that is under way. */
void endUnderMany(request_ledger &ledger, const request_fingerprint &key, millis at)
{
    constexpr attempt_tag attempts = 6;
    for (attempt_tag attempt = 1; attempt <= attempts; ++attempt) {
        ledger.addEnds(key, route, attempt, leafs(10, 3), false, at);
    }
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

BOOST_AUTO_TEST_CASE(two_leafs_and_that_of_a_trial_are_a_verdict)
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
    ledger.addEnds(guilty, route, 1, leafs(10, 100), false, start);
    BOOST_CHECK(standing(ledger) == request_standing::Suspect);
}

/**
 * Symptom: a lookup that hundreds ask for is refused by all VMs for 693 s, then for 1,387 s.
 * Sequence: another request ends leafs. The popular one is under way in several attempts, each of which loses three.
 * Cause: attempts that lose leafs in one event counted as tries of their own.
 */
BOOST_AUTO_TEST_CASE(many_attempts_that_lose_leafs_in_one_event_are_no_verdict)
{
    request_ledger ledger({});
    endUnderMany(ledger, guilty, start);
    BOOST_CHECK(standing(ledger) == request_standing::Suspect);
    endUnderMany(ledger, guilty, start + millis(3000));
    BOOST_CHECK(standing(ledger, millis(3000)) == request_standing::Suspect);
}

/** That it was answered before it ended anything speaks for it, and is known without anything held against it. */
BOOST_AUTO_TEST_CASE(one_that_was_answered_before_has_three_trials)
{
    request_ledger ledger({});
    BOOST_CHECK(!ledger.addAnswer(guilty, start));
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
    millis at = start + millis(5000);
    endUnderMany(ledger, guilty, at);
    for (attempt_tag trial = 20; trial < 22; ++trial) {
        at = at + millis(1000);
        ledger.addEnds(guilty, route, trial, leafs(trial, 1), true, at);
        BOOST_CHECK(ledger.standingOf(guilty, at) == request_standing::Suspect);
    }
    at = at + millis(1000);
    ledger.addEnds(guilty, route, 22, leafs(22, 1), true, at);
    BOOST_CHECK(ledger.standingOf(guilty, at) == request_standing::Quarantined);
}

/** Each VM tries a suspect for itself, and the next event may end the leafs of all these trials. */
BOOST_AUTO_TEST_CASE(trials_of_several_vms_at_one_time_are_one_event)
{
    request_ledger ledger({});
    std::ignore = ledger.addAnswer(guilty, start);
    const millis at = start + millis(5000);
    endUnderMany(ledger, guilty, at);
    for (attempt_tag trial = 20; trial < 28; ++trial) {
        ledger.addEnds(guilty, route, trial, leafs(trial, 1), true, at + millis(trial));
    }
    BOOST_CHECK(ledger.standingOf(guilty, at + millis(100)) == request_standing::Suspect);
}

/**
 * Symptom: a request nobody knows yet is refused for ten minutes.
 * Sequence: leafs end under it and another one; the one leaf that is asked next has both, and ends.
 * Cause: the evidence against both is the same. Another trial tells them apart.
 */
BOOST_AUTO_TEST_CASE(of_two_suspects_that_a_leaf_had_none_is_refused_for_long)
{
    request_ledger ledger({});
    for (const request_fingerprint &key : {guilty, other}) {
        ledger.addEnds(key, route, 1, leafs(10, 2), false, start);
        ledger.addEnds(key, route, key == guilty ? 2 : 3, leafs(20, 1), true, start + millis(1000));
    }
    const millis at = start + millis(1000);
    constexpr millis mostForInnocent(2000);
    BOOST_CHECK(ledger.heldFor(guilty, at) <= mostForInnocent);
    BOOST_CHECK(ledger.heldFor(other, at) <= mostForInnocent);
    const millis released = at + mostForInnocent;
    ledger.addEnds(guilty, route, 4, leafs(30, 1), true, released);
    BOOST_CHECK(ledger.heldFor(guilty, released) >= quarantine_settings().hold);
    std::ignore = ledger.addAnswer(other, released);
    BOOST_CHECK(ledger.standingOf(other, released) == request_standing::Clear);
}

/** Whoever asks something else each time pushes a request out that came again and again as late as the memory allows.
 */
BOOST_AUTO_TEST_CASE(answers_are_remembered_in_bounded_memory_and_popular_ones_for_longest)
{
    answer_memory memory;
    constexpr millis within(600000);
    auto noteOthers = [&, next = std::uint64_t {1}](std::size_t count) mutable {
        for (std::size_t at = 0; at < count; ++at, ++next) {
            memory.note({7, next * 0x9e3779b97f4a7c15U}, start);
        }
    };
    BOOST_CHECK(!memory.knows(guilty, within, start));
    for (std::size_t again = 0; again < 50; ++again) {
        memory.note(guilty, start);
        noteOthers(1000);
        BOOST_REQUIRE(memory.knows(guilty, within, start));
    }
    noteOthers(1000000);
    BOOST_CHECK(!memory.knows(guilty, within, start));
    memory.note(guilty, start);
    BOOST_CHECK(!memory.knows(guilty, within, start + within));
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
    ledger.addEnds(guilty, route, 1, leafs(10, 3), false, start);
    ledger.addEnds(guilty, route, 2, none, true, start);
    BOOST_CHECK(standing(ledger) == request_standing::Suspect);
    ledger.addEnds(guilty, route, 3, none, true, start + millis(300));
    BOOST_CHECK(standing(ledger, millis(300)) == request_standing::Quarantined);
}

BOOST_AUTO_TEST_CASE(time_that_is_up_is_no_evidence_by_itself)
{
    request_ledger ledger({});
    const std::array<leaf_digest, 1> none {noLeaf};
    for (attempt_tag attempt = 1; attempt < 8; ++attempt) {
        ledger.addEnds(guilty, route, attempt, none, true, start + millis(1000) * attempt);
    }
    BOOST_CHECK(standing(ledger) != request_standing::Quarantined);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_and_what_is_told_late_does_not_count)
{
    request_ledger ledger = convicted();
    const std::vector<request_evidence> late = ledger.all();
    ledger.addAnswer(guilty, start + millis(5));
    BOOST_CHECK(standing(ledger, millis(6)) == request_standing::Clear);
    ledger.join(late, start + millis(50));
    BOOST_CHECK(standing(ledger, millis(50)) == request_standing::Clear);
}

BOOST_AUTO_TEST_CASE(an_answer_clears_on_other_vms_too)
{
    request_ledger here = convicted();
    request_ledger there = convicted();
    here.addAnswer(guilty, start + millis(700));
    BOOST_CHECK_EQUAL(there.join(here.takeNews(), start + millis(701)).size(), 1U);
    BOOST_CHECK(standing(there, millis(701)) == request_standing::Clear);
}

/** Two sides of a cut that each saw less than a verdict have one together, whichever way they are joined. */
BOOST_AUTO_TEST_CASE(evidence_joins_in_any_order_and_any_number_of_times)
{
    std::array<request_ledger, 3> seen {request_ledger({}), request_ledger({}), request_ledger({})};
    for (std::uint32_t at = 0; at < seen.size(); ++at) {
        seen[at].addEnds(guilty, route, at, leafs(at * 10 + 1, 1), at == 2, start);
    }
    std::array<std::size_t, 5> order {0, 1, 2, 0, 1};
    do {
        request_ledger joined({});
        std::ranges::for_each(order, [&](std::size_t at) { joined.join(seen[at].all(), start); });
        BOOST_REQUIRE(standing(joined) == request_standing::Quarantined);
        BOOST_REQUIRE_EQUAL(joined.find(guilty)->ends.size(), 3U);
    } while (std::ranges::next_permutation(order).found);
}

/** Symptom: VMs talk for ever about one answer. Cause: ages grow on the way, so that an echo looks newer. */
BOOST_AUTO_TEST_CASE(an_echo_is_no_news)
{
    request_ledger here = convicted();
    request_ledger there({});
    BOOST_CHECK_EQUAL(there.join(here.all(), start).size(), 1U);
    here.addAnswer(guilty, start + millis(700));
    std::vector<request_evidence> echo = here.takeNews();
    BOOST_CHECK_EQUAL(there.join(echo, start + millis(700)).size(), 1U);
    std::ranges::for_each(echo, [](request_evidence &one) { one.answeredAt = one.answeredAt + millis(40); });
    BOOST_CHECK(here.join(echo, start + millis(740)).empty());
    BOOST_CHECK(there.join(echo, start + millis(740)).empty());
}

BOOST_AUTO_TEST_CASE(after_the_hold_it_is_tried_with_care_and_the_next_hold_is_longer)
{
    request_ledger ledger = convicted();
    const millis first = ledger.heldFor(guilty, start);
    const millis released = start + first + millis(1);
    BOOST_CHECK(ledger.standingOf(guilty, released) == request_standing::Suspect);
    ledger.addEnds(guilty, route, 3, leafs(30, 1), true, released);
    BOOST_CHECK(ledger.standingOf(guilty, released) == request_standing::Quarantined);
    BOOST_CHECK(ledger.heldFor(guilty, released) >= first * 1.9);
}

BOOST_AUTO_TEST_CASE(vms_release_one_after_the_other)
{
    std::set<std::int64_t> moments;
    constexpr std::uint64_t vms = 8;
    for (std::uint64_t seed = 0; seed < vms; ++seed) {
        request_ledger ledger({}, seed);
        ledger.join(convicted().all(), start);
        moments.insert(ledger.heldFor(guilty, start).ceiled() / 1000);
    }
    BOOST_CHECK_EQUAL(moments.size(), vms);
}

BOOST_AUTO_TEST_CASE(a_route_is_guarded_while_leafs_ended_under_its_requests_of_late)
{
    request_ledger ledger({});
    ledger.addEnds(guilty, route, 1, leafs(10, 1), false, start);
    BOOST_CHECK(!ledger.isGuarded(route, start)); // one leaf may end for any reason
    ledger.addEnds(other, route, 2, leafs(20, 2), false, start);
    BOOST_CHECK(ledger.isGuarded(route, start));
    BOOST_CHECK(!ledger.isGuarded(route + 1, start));
    const millis end = start + quarantine_settings().guardFor;
    BOOST_CHECK(!ledger.isGuarded(route, end));
    ledger.addEnds({1, 4}, route, 3, leafs(30, 1), false, end - millis(1));
    BOOST_CHECK(ledger.isGuarded(route, end)); // it goes on
}

/** Symptom: memory grows, or a verdict is lost. Sequence: a caller changes a byte of what ends leafs each time. */
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_verdicts_go_last)
{
    request_ledger ledger = convicted();
    for (std::uint64_t at = 0; at < 2000; ++at) {
        ledger.addEnds({2, at + 1}, route, 7, leafs(1, 3), false, start + millis(1));
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
    ledger.addEnds({}, route, 1, leafs(10, 3), false, start);
    ledger.addEnds({}, route, 2, leafs(20, 3), true, start);
    BOOST_CHECK_EQUAL(ledger.size(), 0U);
}
