#define BOOST_TEST_MODULE regions
#include <boost/test/included/unit_test.hpp>

#include <regions/regions.h>

#include <vector>

using namespace chivelock;

namespace {

const region_policy policy({{{"north-a"}, {"north"}}, {{"north-b"}, {"north"}}, {{"south-a"}, {"south"}}});

} // namespace

BOOST_AUTO_TEST_CASE(a_route_without_home_regions_is_allowed_everywhere)
{
    BOOST_TEST(policy.allows({}, {"south-a"}));
    BOOST_TEST(policy.allows({}, {"elsewhere"}));
}

BOOST_AUTO_TEST_CASE(a_route_with_home_regions_is_allowed_only_in_their_zones)
{
    const std::vector<region_name> north = {{"north"}};
    BOOST_TEST(policy.allows(north, {"north-a"}));
    BOOST_TEST(policy.allows(north, {"north-b"}));
    BOOST_TEST(!policy.allows(north, {"south-a"}));
    const std::vector<region_name> both = {{"north"}, {"south"}};
    BOOST_TEST(policy.allows(both, {"south-a"}));
}

// Guards against a request that leaves its region because the settings do not name the region of a zone.
BOOST_AUTO_TEST_CASE(a_zone_of_unknown_region_is_in_no_home_region)
{
    const std::vector<region_name> north = {{"north"}};
    BOOST_TEST(!policy.allows(north, {"elsewhere"}));
    BOOST_TEST(!region_policy().allows(north, {"north-a"}));
}
