#define BOOST_TEST_MODULE request_fingerprint
#include <boost/test/included/unit_test.hpp>

#include <quarantine/quarantine.h>

using namespace chivelock;

namespace {

const request_identity baseRequest {"token a", "h", "GET", "/all/a?page=1", ""};

request_identity with(std::string_view request_identity::*field, std::string_view text)
{
    request_identity changed = baseRequest;
    changed.*field = text;
    return changed;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_same_request_has_the_same_key)
{
    BOOST_CHECK(fingerprintOf(baseRequest) == fingerprintOf(baseRequest));
}

BOOST_AUTO_TEST_CASE(each_part_changes_the_key)
{
    BOOST_CHECK(fingerprintOf(baseRequest) != fingerprintOf(with(&request_identity::caller, "token b")));
    BOOST_CHECK(fingerprintOf(baseRequest) != fingerprintOf(with(&request_identity::host, "g")));
    BOOST_CHECK(fingerprintOf(baseRequest) != fingerprintOf(with(&request_identity::method, "PUT")));
    BOOST_CHECK(fingerprintOf(baseRequest) != fingerprintOf(with(&request_identity::target, "/all/a?page=2")));
    BOOST_CHECK(fingerprintOf(baseRequest) != fingerprintOf(with(&request_identity::body, "x")));
}

BOOST_AUTO_TEST_CASE(moving_bytes_between_parts_changes_the_key)
{
    request_identity one = baseRequest;
    one.target = "/a";
    one.body = "b";
    request_identity other = baseRequest;
    other.target = "/ab";
    other.body = "";
    BOOST_CHECK(fingerprintOf(one) != fingerprintOf(other));
}

BOOST_AUTO_TEST_CASE(two_callers_have_different_keys_for_the_same_request)
{
    BOOST_CHECK(fingerprintOf(baseRequest).caller != fingerprintOf(with(&request_identity::caller, "token b")).caller);
    BOOST_CHECK_EQUAL(fingerprintOf(baseRequest).content,
                      fingerprintOf(with(&request_identity::caller, "token b")).content);
}

BOOST_AUTO_TEST_CASE(work_without_a_request_has_an_unknown_key)
{
    BOOST_CHECK(!request_fingerprint().isKnown());
    BOOST_CHECK(fingerprintOf(baseRequest).isKnown());
}
