#define BOOST_TEST_MODULE admission
#include <boost/test/included/unit_test.hpp>

#include <admission/admission.h>

#include <algorithm>
#include <vector>

using namespace chivelock;

namespace {

constexpr millis start(10000);

request_fingerprint keyOf(std::uint64_t content)
{
    return {1, content};
}

/** A request of a single look-up with an objective of 250 ms, with leafs that would need @p expected. */
admission_request requestOf(std::uint64_t content, millis expected)
{
    admission_request request;
    request.key = keyOf(content);
    request.objective = millis(250);
    request.timeLeft = millis(2500);
    request.usual = millis(60);
    request.expected = expected;
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_rate_follows_the_completions_of_the_last_second)
{
    completion_rate rate;
    for (int at = 0; at < 300; ++at) {
        rate.add(start + millis(10.0 * at));
    }
    const millis end = start + millis(3000);
    BOOST_TEST(rate.perSecond(end) > 80);
    BOOST_TEST(rate.perSecond(end) < 110);
    BOOST_TEST(rate.perSecond(end + millis(3000)) < 10);
}

// Guards against callers that are refused at one moment and come back together.
BOOST_AUTO_TEST_CASE(each_refused_caller_gets_its_own_time)
{
    retry_times times;
    std::vector<millis> given(20);
    std::ranges::generate(given, [&] { return times.next(100, {millis(50), millis(800)}, start); });
    BOOST_TEST((given.front() == millis(50)));
    BOOST_TEST(std::ranges::is_sorted(given));
    BOOST_TEST((given.back() == millis(50 + 19 * 20)));
}

// Guards against times beyond what the caller waits for, and against one time for all callers beyond the free times.
BOOST_AUTO_TEST_CASE(no_time_exceeds_the_window)
{
    retry_times times;
    std::vector<millis> given(200);
    std::ranges::generate(given, [&] { return times.next(10, {millis(50), millis(800)}, start); });
    BOOST_TEST((std::ranges::max(given) <= millis(800)));
    std::ranges::sort(given);
    BOOST_TEST((std::ranges::adjacent_find(given) == given.end()));
    BOOST_TEST((times.next(10, {millis(50), millis(20)}, start) <= millis(20)));
}

BOOST_AUTO_TEST_CASE(a_returning_request_is_recognised_once)
{
    returning_requests returning;
    returning.add(keyOf(1), millis(100), start);
    BOOST_TEST(!returning.take(keyOf(2), start + millis(100)));
    BOOST_TEST(!returning.take(keyOf(1), start + millis(50))); // before its time
    BOOST_TEST(returning.take(keyOf(1), start + millis(100)));
    BOOST_TEST(!returning.take(keyOf(1), start + millis(100)));
}

// Guards against a caller's old promise, and against promises without bound in memory.
BOOST_AUTO_TEST_CASE(promises_expire_and_are_bounded)
{
    returning_requests returning;
    for (std::uint64_t at = 1; at <= 10000; ++at) {
        returning.add(keyOf(at), millis(100), start);
    }
    BOOST_TEST(returning.size() <= 4096U);
    BOOST_TEST(!returning.take(keyOf(1), start + millis(5000)));
    BOOST_TEST(returning.size() == 0U);
}

BOOST_AUTO_TEST_CASE(an_account_above_its_share_is_recognised)
{
    fair_shares shares;
    for (int at = 0; at < 10; ++at) {
        shares.begin(1);
    }
    BOOST_TEST(!shares.isAboveShare(1)); // alone
    shares.begin(2);
    shares.begin(0); // unknown accounts have no share
    BOOST_TEST(shares.isAboveShare(1));
    BOOST_TEST(!shares.isAboveShare(2));
    for (int at = 0; at < 10; ++at) {
        shares.end(1);
    }
    BOOST_TEST(!shares.isAboveShare(1));
    BOOST_TEST(shares.accounts() == 1U);
}

BOOST_AUTO_TEST_CASE(full_leafs_refuse_what_would_be_late)
{
    overload_control control;
    BOOST_TEST((control.judge("s", requestOf(1, millis(150)), start) == admission_verdict::Admitted));
    BOOST_TEST((control.judge("s", requestOf(2, millis(260)), start) == admission_verdict::LeafsOverloaded));
    BOOST_TEST(control.counts().leafsOverloaded == 1U);
}

// Guards against refusals that gain nothing: the route is late even without a queue, and its callers can wait.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_return_in_time_is_served_late)
{
    overload_control control;
    admission_request slow = requestOf(1, millis(400));
    slow.usual = millis(240);
    BOOST_TEST((control.judge("s", slow, start) == admission_verdict::Admitted));
    slow.expected = millis(1400); // hardly before the limit
    BOOST_TEST((control.judge("s", slow, start) == admission_verdict::LeafsOverloaded));
}

BOOST_AUTO_TEST_CASE(the_less_urgent_route_is_refused_first)
{
    overload_control control;
    admission_request urgent = requestOf(1, millis(230));
    urgent.urgency = 1;
    BOOST_TEST((control.judge("s", urgent, start) == admission_verdict::Admitted));
    BOOST_TEST((control.judge("s", requestOf(2, millis(230)), start) == admission_verdict::LeafsOverloaded));
}

BOOST_AUTO_TEST_CASE(a_returning_request_precedes_new_ones)
{
    overload_control control;
    const retry_window window {millis(50), millis(800)};
    BOOST_TEST((control.judge("s", requestOf(1, millis(210)), start) == admission_verdict::LeafsOverloaded));
    const millis later = start + control.retryAfter("s", keyOf(1), window, start);
    BOOST_TEST((control.judge("s", requestOf(2, millis(210)), later) == admission_verdict::LeafsOverloaded));
    BOOST_TEST((control.judge("s", requestOf(1, millis(210)), later) == admission_verdict::Returned));
}

// Guards against a stale report of a leaf, or a wrong lag, that refuses all requests.
BOOST_AUTO_TEST_CASE(an_estimate_refuses_only_a_share)
{
    overload_control control;
    std::size_t refused = 0;
    for (std::uint64_t at = 0; at < 100; ++at) {
        admission_request request = requestOf(at + 1, millis(500));
        request.estimated = true;
        const millis now = start + millis(10.0 * static_cast<double>(at));
        refused += control.judge("s", request, now) == admission_verdict::LeafsOverloaded ? 1 : 0;
    }
    BOOST_TEST(refused >= 15U);
    BOOST_TEST(refused <= 35U);
    BOOST_TEST(control.counts().refusalsWithheld == 100 - refused);
}
