#define BOOST_TEST_MODULE sent_requests
#include <boost/test/included/unit_test.hpp>

#include <gateway/sent_requests.h>

#include <string>

using namespace chivelock;

BOOST_AUTO_TEST_CASE(only_requests_that_were_sent_are_contained)
{
    sent_requests sent;
    BOOST_TEST(!sent.contains("a"));
    sent.add("a", millis(1000), millis());
    sent.add("b", millis(1000), millis());
    BOOST_TEST(sent.contains("a"));
    BOOST_TEST(sent.contains("b"));
    BOOST_TEST(!sent.contains("c"));
}

BOOST_AUTO_TEST_CASE(a_new_connection_has_carried_nothing)
{
    sent_requests sent;
    sent.add("a", millis(1000), millis());
    sent.clear();
    BOOST_TEST(!sent.contains("a"));
}

// Guards against a copy that matches again once a frozen VM sends the request, whose time limit began on its arrival
// there.
BOOST_AUTO_TEST_CASE(a_request_is_contained_for_seconds_after_its_attempt)
{
    sent_requests sent;
    sent.add("a", millis(800), millis());
    sent.add("b", millis(4800), millis(4000));
    BOOST_TEST(sent.contains("a"));
}

// Guards against memory that grows with each request on a connection.
BOOST_AUTO_TEST_CASE(requests_of_attempts_that_ended_long_ago_are_dropped)
{
    sent_requests sent;
    constexpr int seconds = 600;
    for (int second = 0; second < seconds; ++second) {
        const millis now(second * 1000.0);
        sent.add("request " + std::to_string(second), now + millis(800), now);
    }
    BOOST_TEST(sent.size() <= 7U);
    BOOST_TEST(!sent.contains("request 0"));
}
