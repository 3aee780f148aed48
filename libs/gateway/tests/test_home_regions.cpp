#define BOOST_TEST_MODULE home_regions
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr std::size_t shards = 6;
const std::string northZone = "north-a";
const std::string southZone = "south-a";

gateway_settings settingsWithRegions()
{
    gateway_settings settings;
    settings.zone = {southZone};
    settings.retrySlack = 1000;
    settings.regions = {{{northZone}, {"north"}}, {{southZone}, {"south"}}};
    return settings;
}

/** A VM in the south whose routes may be handled only in the given regions, and leafs in both regions. */
struct two_region_world : gateway_world {
    explicit two_region_world(const std::vector<region_name> &homes)
        : gateway_world(settingsWithRegions())
    {
        gateway_route all = gatherRoute(shards, 0.6);
        gateway_route one = singleRoute(true);
        all.homeRegions = homes;
        one.homeRegions = homes;
        publish({all, one});
        for (const std::string &zone : {northZone, southZone}) {
            for (std::size_t at = 0; at < shards; ++at) {
                addLeaf(shardName(at), {}, zone);
            }
            addLeaf("single", {}, zone);
        }
    }

    const answer_action &submitAndWait(const std::string &target)
    {
        const exchange_id id = submit(target);
        runFor(millis(700));
        return answerOf(id).answer;
    }

    [[nodiscard]] bool hasArrivalsIn(const std::string &zone)
    {
        return std::ranges::any_of(arrivals, [&](const leaf_arrival &one) {
            return engine.leafs().find(one.leafId)->entry.zone.value == zone;
        });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_go_only_to_leafs_in_their_home_regions)
{
    two_region_world world({{"north"}});
    BOOST_TEST((world.submitAndWait("/all/x").outcome == exchange_outcome::Merged));
    BOOST_TEST((world.submitAndWait("/one/x").outcome == exchange_outcome::Relayed));
    BOOST_TEST(!world.hasArrivalsIn(southZone));
}

// Guards against hedges and retries that leave the home regions when the leafs there are silent or fail.
BOOST_AUTO_TEST_CASE(second_requests_stay_in_the_home_regions)
{
    two_region_world world({{"north"}});
    for (auto &[id, behaviour] : world.behaviours) {
        behaviour.neverAnswers = id.starts_with("shard0") || id.starts_with("shard1");
        behaviour.dropsConnection = id.starts_with("single") || id.starts_with("shard2");
    }
    world.submitAndWait("/all/x");
    world.submitAndWait("/one/x");
    BOOST_TEST(!world.hasArrivalsIn(southZone));
}

// Guards against a refusal that looks like missing leafs, which an operator would search for in vain.
BOOST_AUTO_TEST_CASE(requests_without_an_allowed_leaf_are_refused_with_the_cause)
{
    two_region_world world({{"west"}});
    for (const std::string target : {"/all/x", "/one/x"}) {
        const answer_action &answer = world.submitAndWait(target);
        BOOST_TEST((answer.outcome == exchange_outcome::Refused));
        BOOST_TEST(answer.cause == "region_not_allowed");
    }
    BOOST_TEST(world.arrivals.empty());
}

BOOST_AUTO_TEST_CASE(routes_without_home_regions_use_all_leafs)
{
    two_region_world world({});
    world.submitAndWait("/all/x");
    BOOST_TEST(world.hasArrivalsIn(southZone));
}

// Guards against a helper that asks leafs outside the home regions, whose configuration it may not have yet.
BOOST_AUTO_TEST_CASE(delegated_work_stays_in_the_home_regions_it_names)
{
    two_region_world world({});
    delegated_work work;
    work.route = "unknown here";
    work.key = world.keyOf("/all/x");
    work.shards = {{two_region_world::shardName(0)}, {two_region_world::shardName(1)}};
    work.homeRegions = {{"north"}};
    work.topRecords = 4;
    work.objective = millis(100);
    work.firstReportIn = millis(20);
    work.cutoffIn = millis(80);
    work.limitIn = millis(500);
    world.engine.acceptDelegatedWork("q", work, world.now);
    world.runFor(millis(700));
    BOOST_TEST(world.arrivals.size() == 2U);
    BOOST_TEST(!world.hasArrivalsIn(southZone));
}

// Guards against more requests than a cold leaf sustains: its cache was cleared, and its entry still says warm.
BOOST_AUTO_TEST_CASE(a_leaf_that_states_a_cold_cache_is_cold)
{
    two_region_world world({});
    send_id sent = 0;
    std::shared_ptr<leaf> target;
    world.arrive({"q", "h", "/one/x", millis(600), {}, world.keyOf("/one/x")});
    for (const gateway_action &action : world.engine.takeActions()) {
        if (const auto *send = std::get_if<send_action>(&action)) {
            sent = send->id;
            target = send->to;
        }
    }
    BOOST_REQUIRE(target);
    gateway_reply reply;
    reply.status = 200;
    reply.stamp = "digest";
    reply.coldFor = millis(2500);
    world.engine.onReply(sent, reply, world.now);
    BOOST_TEST((target->coldUntil == world.now + millis(2500)));
}
