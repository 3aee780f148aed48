#define BOOST_TEST_MODULE saturated_hosts
#include <boost/test/included/unit_test.hpp>

#include "shared_host_fleet.h"

using namespace chivelock;
using namespace chivelock::testing;

// Guards against holding lookups until their time limit while leafs get more than they can handle.
BOOST_AUTO_TEST_CASE(lookups_beyond_the_capacity_of_the_leafs_are_refused_at_once)
{
    constexpr std::uint64_t seeds = 3;
    constexpr millis noticedWithin(2000);
    constexpr millis lookupEnd(1000); // lookups that arrive in this time before the end of a play have no answer yet
    constexpr double maxFailedShare = 0.02;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        shared_host_fleet fleet({.hostTime = millis(3), .seed = seed}); // 1.35 times what the hosts can handle
        const millis began = fleet.now;
        fleet.runLoad(millis(10000));
        const lookup_count count = fleet.countLookups(began + noticedWithin, fleet.now - lookupEnd);
        BOOST_TEST(static_cast<double>(count.failed) <= maxFailedShare * static_cast<double>(count.asked));
    }
}
