#define BOOST_TEST_MODULE hedging
#include <boost/test/included/unit_test.hpp>

#include <hedging/hedging.h>

#include <algorithm>
#include <functional>

using namespace chivelock;

namespace {

constexpr double budgetRatio = 0.2;
constexpr millis pauseLength(100);
constexpr double pausedShare = 0.04; // 100 ms in each 2.4 s
constexpr unsigned requests = 3000;

/** Response times of a route whose work takes @ref work, at leafs that pause. */
struct pausing_leafs {
    explicit pausing_leafs(millis usual, double paused = pausedShare)
        : work(usual)
        , share(paused)
    {
    }

    millis next()
    {
        constexpr double spread = 0.6; // of the work
        const millis worked = work * (1 - spread / 2 + spread * random.uniform());
        return random.uniform() < share ? worked + pauseLength * random.uniform() : worked;
    }

    millis work;
    double share;
    seeded_random random {3};
};

response_times learnt(pausing_leafs &leafs)
{
    response_times times;
    for (unsigned at = 0; at < requests; ++at) {
        times.add(leafs.next());
    }
    return times;
}

struct hedged_outcome {
    double hedged = 0; ///< share of the requests
    double inTime = 0;
};

/** @return what becomes of requests of which each is hedged after @p delay without an answer. */
hedged_outcome play(pausing_leafs &leafs, millis delay, const hedge_conditions &given)
{
    hedged_outcome outcome;
    for (unsigned at = 0; at < requests; ++at) {
        const millis first = leafs.next();
        const bool hedged = first > delay;
        const millis second = hedged ? delay + given.hop + leafs.next() : millis::never();
        outcome.hedged += hedged ? 1.0 / requests : 0;
        outcome.inTime += std::min(first, second) <= given.timeLeft ? 1.0 / requests : 0;
    }
    return outcome;
}

// A quick look-up: 27 ms are left at the VM, and today's bound is 18 ms.
constexpr millis quickTimeLeft(27);
constexpr millis todaysDelay(18);
constexpr millis helperHop(4);

} // namespace

BOOST_AUTO_TEST_CASE(the_share_within_a_time_follows_the_response_times)
{
    response_times times;
    for (unsigned at = 0; at < 100; ++at) {
        times.add(millis(at % 10 == 0 ? 80 : 4));
    }
    BOOST_CHECK_LT(times.shareWithin(millis(3)), 0.05);
    BOOST_CHECK_CLOSE(times.shareWithin(millis(20)), 0.9, 3);
    BOOST_CHECK_CLOSE(times.shareWithin(millis(100)), 1.0, 1);
    BOOST_CHECK_CLOSE(times.quantile(0.5).count(), 4.0, 15);
}

BOOST_AUTO_TEST_CASE(a_change_of_the_load_is_learnt_within_some_hundred_answers)
{
    response_times times;
    for (unsigned at = 0; at < 2000; ++at) {
        times.add(millis(4));
    }
    for (unsigned at = 0; at < 600; ++at) {
        times.add(millis(12));
    }
    BOOST_CHECK_LT(times.shareWithin(millis(8)), 0.2);
}

BOOST_AUTO_TEST_CASE(times_beyond_the_buckets_and_of_zero_do_no_harm)
{
    response_times times;
    times.add(millis());
    times.add(millis::never());
    BOOST_CHECK_GT(times.shareWithin(millis(1)), 0.4);
    BOOST_CHECK_LT(times.shareWithin(millis(1000)), 0.6);
    BOOST_CHECK_LE(times.shareWithin(millis::never()), 1.0);
}

BOOST_AUTO_TEST_CASE(without_enough_samples_nothing_is_decided)
{
    response_times times;
    times.add(millis(4));
    BOOST_CHECK(!hedge_timing(times).decide({quickTimeLeft, helperHop, 0.1}).has_value());
}

// Guards against hedges that are sent too late for the second answer, as those at today's bound were.
BOOST_AUTO_TEST_CASE(hedges_against_pauses_are_answered_in_time_and_stay_within_the_budget)
{
    constexpr millis quickWork(6);
    pausing_leafs leafs(quickWork);
    const hedge_conditions given {quickTimeLeft, helperHop, hedgeShare(budgetRatio, 1)};
    const auto decided = hedge_timing(learnt(leafs)).decide(given);
    BOOST_REQUIRE(decided.has_value());
    BOOST_CHECK(decided->reason == hedge_reason::Pays);
    BOOST_CHECK(decided->delay < millis(14));
    const hedged_outcome before = play(leafs, todaysDelay, given);
    const hedged_outcome after = play(leafs, decided->delay, given);
    BOOST_CHECK_LE(after.hedged, given.maxShare);
    BOOST_CHECK_GT(after.inTime, 0.995);
    constexpr double fewerMisses = 3;
    BOOST_CHECK_GT(1 - before.inTime, (1 - after.inTime) * fewerMisses);
}

BOOST_AUTO_TEST_CASE(a_request_that_will_be_answered_in_time_anyway_is_not_hedged_early)
{
    pausing_leafs leafs(millis(60));
    const hedge_conditions given {millis(400), helperHop, hedgeShare(budgetRatio, 1)};
    const auto decided = hedge_timing(learnt(leafs)).decide(given);
    BOOST_REQUIRE(decided.has_value());
    BOOST_CHECK_LT(play(leafs, decided->delay, given).hedged, 0.01);
    BOOST_CHECK_GT(play(leafs, decided->delay, given).inTime, 0.999);
}

// Guards against a surge of hedges while all leafs are slow, when a second request only adds to the queues.
BOOST_AUTO_TEST_CASE(no_hedge_is_sent_before_the_cutoff_if_all_leafs_are_slow)
{
    pausing_leafs leafs(millis(40));
    const hedge_conditions given {quickTimeLeft, helperHop, hedgeShare(budgetRatio, 1)};
    const auto decided = hedge_timing(learnt(leafs)).decide(given);
    BOOST_REQUIRE(decided.has_value());
    BOOST_CHECK(decided->reason == hedge_reason::Late);
    BOOST_CHECK(decided->delay >= quickTimeLeft);
}

// Guards against hedges that come too late because more leafs hang than the budget was planned for.
BOOST_AUTO_TEST_CASE(with_many_silent_leafs_hedges_are_sent_at_the_last_time_at_which_they_help)
{
    constexpr double manyPaused = 0.4;
    pausing_leafs leafs(millis(4), manyPaused);
    const hedge_conditions given {quickTimeLeft, helperHop, hedgeShare(budgetRatio, 0)};
    const auto decided = hedge_timing(learnt(leafs)).decide(given);
    BOOST_REQUIRE(decided.has_value());
    BOOST_CHECK(decided->reason == hedge_reason::LastChance);
    BOOST_CHECK(decided->delay < quickTimeLeft - helperHop - leafs.work);
}

BOOST_AUTO_TEST_CASE(urgent_routes_may_hedge_more_and_all_of_them_less_than_the_budget)
{
    BOOST_CHECK_GT(hedgeShare(budgetRatio, 1), hedgeShare(budgetRatio, 0));
    BOOST_CHECK_GE(hedgeShare(budgetRatio, 0), 0.05);
    BOOST_CHECK_LE(hedgeShare(budgetRatio, 1), 0.12);
}

BOOST_AUTO_TEST_CASE(a_hedge_is_never_sent_before_a_fixed_multiple_of_the_median)
{
    response_times times;
    for (unsigned at = 0; at < requests; ++at) {
        times.add(millis(10));
    }
    const auto decided = hedge_timing(times).decide({millis(60), millis(1), 1.0});
    BOOST_REQUIRE(decided.has_value());
    BOOST_CHECK(decided->delay >= times.quantile(0.5) * 1.4);
}

BOOST_AUTO_TEST_CASE(the_usual_speed_of_a_leaf_is_learnt_and_pauses_hardly_change_it)
{
    constexpr double usual = 1.3;
    leaf_speed speed;
    seeded_random random(5);
    BOOST_CHECK_EQUAL(speed.factor(), 1.0);
    for (unsigned at = 0; at < 400; ++at) {
        constexpr double ratioOfPause = 20;
        speed.add(random.uniform() < pausedShare ? ratioOfPause : usual);
    }
    BOOST_CHECK_CLOSE(speed.factor(), usual, 15);
    speed.reset();
    BOOST_CHECK_EQUAL(speed.factor(), 1.0);
}

BOOST_AUTO_TEST_CASE(the_speed_of_a_leaf_is_bounded)
{
    leaf_speed slow;
    leaf_speed fast;
    for (unsigned at = 0; at < 400; ++at) {
        slow.add(1000);
        fast.add(0.001);
    }
    BOOST_CHECK_CLOSE(slow.factor(), 4.0, 0.1);
    BOOST_CHECK_CLOSE(fast.factor(), 0.5, 0.1);
}

BOOST_AUTO_TEST_CASE(a_released_second_send_makes_room_for_another)
{
    second_send_limit limit(20);
    for (std::size_t at = 0; at < 6; ++at) {
        BOOST_TEST(!limit.isReached());
        limit.onSent();
    }
    BOOST_TEST(limit.isReached());
    limit.onReleased();
    BOOST_TEST(!limit.isReached());
}
