#define BOOST_TEST_MODULE zones
#include <boost/test/included/unit_test.hpp>

#include <zones/zones.h>

#include <string>

using namespace chivelock;

namespace {

const zone_name north {"north"};
const zone_name south {"south"};
constexpr millis start(10000);
constexpr millis rampUp(4000);

} // namespace

BOOST_AUTO_TEST_CASE(a_zone_that_was_never_drained_gets_all_its_requests)
{
    const drained_zones zones;
    BOOST_CHECK(!zones.isDrained(north));
    BOOST_CHECK_EQUAL(zones.trafficShare(north, start), 1.0);
}

BOOST_AUTO_TEST_CASE(each_of_several_drained_zones_gets_nothing_until_it_is_undrained)
{
    drained_zones zones(rampUp);
    BOOST_CHECK(zones.drain(north));
    BOOST_CHECK(zones.drain(south));
    BOOST_CHECK(!zones.drain(north));
    BOOST_CHECK_EQUAL(zones.trafficShare(north, start), 0.0);
    BOOST_CHECK(zones.undrain(south, start));
    BOOST_CHECK(zones.isDrained(north));
    BOOST_CHECK(!zones.isDrained(south));
}

BOOST_AUTO_TEST_CASE(the_share_of_an_undrained_zone_rises_gradually)
{
    drained_zones zones(rampUp);
    zones.drain(north);
    zones.undrain(north, start);
    double previous = 0;
    for (double elapsed = 0; elapsed <= 1; elapsed += 0.25) {
        const double share = zones.trafficShare(north, start + rampUp * elapsed);
        BOOST_CHECK(share > 0 && share <= 1 && share >= previous);
        previous = share;
    }
    BOOST_CHECK_LE(zones.trafficShare(north, start), 0.2);
    BOOST_CHECK_EQUAL(zones.trafficShare(north, start + rampUp), 1.0);
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_drained_again_gets_nothing_at_once)
{
    drained_zones zones(rampUp);
    zones.drain(north);
    zones.undrain(north, start);
    zones.drain(north);
    BOOST_CHECK_EQUAL(zones.trafficShare(north, start + rampUp), 0.0);
}

BOOST_AUTO_TEST_CASE(undraining_a_zone_that_was_not_drained_changes_nothing)
{
    drained_zones zones(rampUp);
    BOOST_CHECK(!zones.undrain(north, start));
    BOOST_CHECK_EQUAL(zones.trafficShare(north, start), 1.0);
}

BOOST_AUTO_TEST_CASE(ten_thousand_zones_can_be_drained_and_undrained)
{
    constexpr std::size_t zoneCount = 10000;
    drained_zones zones(rampUp);
    for (std::size_t at = 0; at < zoneCount; ++at) {
        zones.drain({std::to_string(at)});
    }
    BOOST_CHECK_EQUAL(zones.size(), zoneCount);
    for (std::size_t at = 0; at < zoneCount; ++at) {
        zones.undrain({std::to_string(at)}, start);
    }
    BOOST_CHECK_EQUAL(zones.size(), 0U);
}
