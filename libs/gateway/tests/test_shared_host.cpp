#define BOOST_TEST_MODULE shared_host
#include <boost/test/included/unit_test.hpp>

#include "shared_host_fleet.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr std::uint64_t seeds = 5;
constexpr millis faultAfter(4000);
constexpr millis recoversWithin(2000); // after the end of a fault, or after its begin if other leafs are well
constexpr millis lookupEnd(1000); // lookups that arrive in this time before the end of a play have no answer yet
constexpr double minServedShare = 0.98;
constexpr double maxLoadFactor = 1.3; // of the requests to leafs in calm seconds

} // namespace

// Guards against second sends that double the load of leafs just when all of them are late.
BOOST_AUTO_TEST_CASE(second_sends_do_not_overload_leafs_that_all_paused)
{
    constexpr millis pause(500);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        shared_host_fleet fleet({.seed = seed});
        const millis began = fleet.now;
        fleet.runLoad(faultAfter);
        for (std::size_t zone = 0; zone < shared_host_fleet::zones; ++zone) {
            fleet.pauseHost(zone, pause);
        }
        const millis paused = fleet.now;
        fleet.runLoad(pause + recoversWithin * 2 + lookupEnd);
        const double calmLoad = fleet.requestsPerShard(began, paused);
        BOOST_TEST(fleet.requestsPerShard(paused, paused + pause + recoversWithin) <= calmLoad * maxLoadFactor);
        const lookup_count after = fleet.countLookups(paused + pause + recoversWithin, fleet.now - lookupEnd);
        BOOST_TEST(static_cast<double>(after.served) >= minServedShare * static_cast<double>(after.asked));
    }
}

// Guards against the loss of a zone's leafs taking down those of the other zones with second sends.
BOOST_AUTO_TEST_CASE(lookups_are_served_by_the_other_zones_while_one_is_silent)
{
    lookup_count all;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        shared_host_fleet fleet({.hostTime = millis(0.8), .seed = seed});
        fleet.runLoad(faultAfter);
        fleet.silence(0);
        const millis silenced = fleet.now;
        fleet.runLoad(millis(8000));
        const lookup_count served = fleet.countLookups(silenced + recoversWithin, fleet.now - lookupEnd);
        all.asked += served.asked;
        all.served += served.served;
    }
    BOOST_TEST(static_cast<double>(all.served) >= minServedShare * static_cast<double>(all.asked));
}

// Guards against giving up and asking again for parts that lookups need although they are late.
BOOST_AUTO_TEST_CASE(lookups_are_served_while_the_hosts_of_the_leafs_are_nearly_saturated)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        shared_host_fleet fleet({.hostTime = millis(2), .seed = seed}); // 0.9 of its time
        const millis began = fleet.now;
        fleet.runLoad(millis(10000));
        const lookup_count count = fleet.countLookups(began + recoversWithin, fleet.now - lookupEnd);
        BOOST_TEST(static_cast<double>(count.served) >= minServedShare * static_cast<double>(count.asked));
    }
}
