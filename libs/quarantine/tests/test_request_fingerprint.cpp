#define BOOST_TEST_MODULE request_fingerprint
#include <boost/test/included/unit_test.hpp>

#include <quarantine/quarantine.h>

using namespace chivelock;

namespace {

const request_identity plain {"token a", "h", "GET", "/all/a?page=1", ""};

request_identity with(std::string_view request_identity::*part, std::string_view text)
{
    request_identity changed = plain;
    changed.*part = text;
    return changed;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_same_request_has_the_same_key)
{
    BOOST_CHECK(fingerprintOf(plain) == fingerprintOf(plain));
}

BOOST_AUTO_TEST_CASE(each_part_counts)
{
    BOOST_CHECK(fingerprintOf(plain) != fingerprintOf(with(&request_identity::caller, "token b")));
    BOOST_CHECK(fingerprintOf(plain) != fingerprintOf(with(&request_identity::host, "g")));
    BOOST_CHECK(fingerprintOf(plain) != fingerprintOf(with(&request_identity::method, "PUT")));
    BOOST_CHECK(fingerprintOf(plain) != fingerprintOf(with(&request_identity::target, "/all/a?page=2")));
    BOOST_CHECK(fingerprintOf(plain) != fingerprintOf(with(&request_identity::body, "x")));
}

BOOST_AUTO_TEST_CASE(parts_are_not_taken_for_each_other)
{
    request_identity one = plain;
    one.target = "/a";
    one.body = "b";
    request_identity other = plain;
    other.target = "/ab";
    other.body = "";
    BOOST_CHECK(fingerprintOf(one) != fingerprintOf(other));
}

BOOST_AUTO_TEST_CASE(callers_are_told_apart_whatever_they_send)
{
    BOOST_CHECK(fingerprintOf(plain).caller != fingerprintOf(with(&request_identity::caller, "token b")).caller);
    BOOST_CHECK_EQUAL(fingerprintOf(plain).content, fingerprintOf(with(&request_identity::caller, "token b")).content);
}

BOOST_AUTO_TEST_CASE(work_without_a_request_has_no_known_key)
{
    BOOST_CHECK(!request_fingerprint().isKnown());
    BOOST_CHECK(fingerprintOf(plain).isKnown());
}
