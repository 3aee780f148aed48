#define BOOST_TEST_MODULE emptied_zones
#include <boost/test/included/unit_test.hpp>

#include <zones/zones.h>

#include <string>

using namespace chivelock;

namespace {

const zone_name north {"north"};
const zone_name south {"south"};
constexpr millis start(10000);
constexpr millis easing(4000);

} // namespace

BOOST_AUTO_TEST_CASE(zones_that_nobody_spoke_of_get_their_whole_part)
{
    const emptied_zones zones;
    BOOST_CHECK(!zones.isEmptied(north));
    BOOST_CHECK_EQUAL(zones.shareOf(north, start), 1.0);
}

BOOST_AUTO_TEST_CASE(each_of_several_emptied_zones_gets_nothing_until_it_is_given_back)
{
    emptied_zones zones(easing);
    BOOST_CHECK(zones.empty(north));
    BOOST_CHECK(zones.empty(south));
    BOOST_CHECK(!zones.empty(north));
    BOOST_CHECK_EQUAL(zones.shareOf(north, start), 0.0);
    BOOST_CHECK(zones.giveBack(south, start));
    BOOST_CHECK(zones.isEmptied(north));
    BOOST_CHECK(!zones.isEmptied(south));
}

BOOST_AUTO_TEST_CASE(requests_come_back_to_a_zone_bit_by_bit)
{
    emptied_zones zones(easing);
    zones.empty(north);
    zones.giveBack(north, start);
    double before = 0;
    for (double after = 0; after <= 1; after += 0.25) {
        const double share = zones.shareOf(north, start + easing * after);
        BOOST_CHECK(share > 0 && share <= 1 && share >= before);
        before = share;
    }
    BOOST_CHECK_LE(zones.shareOf(north, start), 0.2);
    BOOST_CHECK_EQUAL(zones.shareOf(north, start + easing), 1.0);
}

BOOST_AUTO_TEST_CASE(one_that_is_emptied_again_gets_nothing_at_once)
{
    emptied_zones zones(easing);
    zones.empty(north);
    zones.giveBack(north, start);
    zones.empty(north);
    BOOST_CHECK_EQUAL(zones.shareOf(north, start + easing), 0.0);
}

BOOST_AUTO_TEST_CASE(giving_back_what_was_not_emptied_changes_nothing)
{
    emptied_zones zones(easing);
    BOOST_CHECK(!zones.giveBack(north, start));
    BOOST_CHECK_EQUAL(zones.shareOf(north, start), 1.0);
}

BOOST_AUTO_TEST_CASE(ten_thousand_are_kept_and_all_given_back)
{
    constexpr std::size_t many = 10000;
    emptied_zones zones(easing);
    for (std::size_t at = 0; at < many; ++at) {
        zones.empty({std::to_string(at)});
    }
    BOOST_CHECK_EQUAL(zones.size(), many);
    for (std::size_t at = 0; at < many; ++at) {
        zones.giveBack({std::to_string(at)}, start);
    }
    BOOST_CHECK_EQUAL(zones.size(), 0U);
}
