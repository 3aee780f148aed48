#define BOOST_TEST_MODULE load
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

#include <cmath>
#include <utility>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

/** Outcomes of the lookups of one kind. */
struct lookup_stats {
    std::size_t lookups = 0;
    std::size_t inTime = 0; ///< merged within the objective
    double value = 0; ///< sum of the squared share of merged parts, over the lookups in time
    std::size_t late = 0;
    std::size_t unserved = 0;

    [[nodiscard]] double valueShare() const
    {
        return value / static_cast<double>(lookups);
    }
};

/**
 * An index of twenty shards with two leafs of two slots each. Full lookups (28 ms at each leaf, objective 200 ms) and
 * quick lookups (9.2 ms, objective 80 ms) arrive at random; together they occupy 2.1 of each shard's four slots.
 */
class index_world : public gateway_world
{
public:
    static constexpr std::size_t shards = 20;
    static constexpr millis fullObjective {200};
    static constexpr millis quickObjective {80};

    explicit index_world(std::uint64_t seed)
        : m_loadRandom(seed)
    {
        gateway_route full = gatherRoute(shards, 0.89);
        full.objective = fullObjective;
        full.timeout = millis(2000);
        gateway_route quick = gatherRoute(shards, 0.75);
        quick.name = "quick";
        quick.pathPrefix = "/quick/";
        quick.objective = quickObjective;
        quick.timeout = millis(800);
        publish({full, quick});
        for (std::size_t shard = 0; shard < shards; ++shard) {
            addLeaf(shardName(shard), {.slots = 2, .reportsLoad = true});
            addLeaf(shardName(shard), {.slots = 2, .reportsLoad = true});
        }
    }

    /** @return the first leaf of each of the first @p count shards. */
    std::vector<fake_leaf_behaviour *> firstLeafs(std::size_t count)
    {
        std::vector<fake_leaf_behaviour *> found;
        for (std::size_t shard = 0; shard < count; ++shard) {
            found.push_back(&behaviours.lower_bound(shardName(shard) + "-")->second);
        }
        return found;
    }

    void runLoad(millis time, double lookupsPerSecond = 90)
    {
        const millis end = now + time;
        while (now < end) {
            constexpr double fullShare = 0.75;
            const bool full = m_loadRandom.uniform() < fullShare;
            const double jitter = 0.65 + 0.7 * m_loadRandom.uniform();
            const exchange_id id = full ? submit("/all/x", millis(2000), millis(28 * jitter))
                                        : submit("/quick/x", millis(800), millis(9.2 * jitter));
            (full ? m_full : m_quick).push_back(id);
            runFor(millis(-std::log(1 - m_loadRandom.uniform()) * 1000 / lookupsPerSecond));
        }
    }

    /** @return the outcomes of all full lookups since the last call. */
    lookup_stats takeFullStats()
    {
        return countOutcomes(std::exchange(m_full, {}), fullObjective);
    }

    lookup_stats takeQuickStats()
    {
        return countOutcomes(std::exchange(m_quick, {}), quickObjective);
    }

private:
    [[nodiscard]] lookup_stats countOutcomes(const std::vector<exchange_id> &lookups, millis objective) const
    {
        constexpr millis returnDelay(3);
        lookup_stats result;
        result.lookups = lookups.size();
        for (const exchange_id id : lookups) {
            const answer_action &answer = answerOf(id).answer;
            const bool merged = answer.outcome == exchange_outcome::Merged;
            const bool inTime = merged && answer.elapsed + returnDelay <= objective;
            const double share = 1 - static_cast<double>(answer.missing) / shards;
            result.inTime += inTime ? 1 : 0;
            result.value += inTime ? share * share : 0;
            result.late += merged && !inTime ? 1 : 0;
            result.unserved += merged ? 0 : 1;
        }
        return result;
    }

    seeded_random m_loadRandom;
    std::vector<exchange_id> m_full;
    std::vector<exchange_id> m_quick;
};

/** @return a route whose callers wait seven times as long as a leaf takes. */
gateway_route longObjectiveRoute(std::size_t shards, double coverage)
{
    gateway_route route = gateway_world::gatherRoute(shards, coverage);
    route.objective = millis(200);
    route.timeout = millis(2000);
    return route;
}

void logStats(const char *label, const lookup_stats &stats)
{
    BOOST_TEST_MESSAGE(label << ": lookups " << stats.lookups << ", in time " << stats.inTime << ", late " << stats.late
                             << ", unserved " << stats.unserved << ", value " << stats.valueShare());
}

} // namespace

BOOST_AUTO_TEST_CASE(healthy_leafs_serve_lookups_in_time)
{
    index_world world(1);
    world.runLoad(millis(6000));
    world.runFor(millis(2500));
    const lookup_stats full = world.takeFullStats();
    const lookup_stats quick = world.takeQuickStats();
    logStats("healthy full", full);
    logStats("healthy quick", quick);
    BOOST_TEST(full.valueShare() > 0.97);
    BOOST_TEST(quick.valueShare() > 0.9);
}

// Eight of forty leafs are slow, so their shards have a little over two slots for a load of 2.1. The wait at the other
// leaf counted as slowness and again as queue; half of all lookups waited for the partial-answer deadline or were
// refused, as the shard was given up. Lookups already late that resend at once take slots from lookups still in time.
BOOST_AUTO_TEST_CASE(a_queue_at_a_shards_remaining_leaf_is_not_taken_for_slowness)
{
    lookup_stats full;
    lookup_stats quick;
    for (const std::uint64_t seed : {1, 2, 3}) {
        index_world world(seed);
        world.runLoad(millis(2000));
        std::ranges::for_each(world.firstLeafs(8), [](fake_leaf_behaviour *one) { one->slowdownFactor = 8; });
        world.runFor(millis(300));
        (void)world.takeFullStats();
        (void)world.takeQuickStats();
        world.runLoad(millis(8000));
        world.runFor(millis(2500));
        const lookup_stats fullOfSeed = world.takeFullStats();
        const lookup_stats quickOfSeed = world.takeQuickStats();
        logStats("slow full", fullOfSeed);
        logStats("slow quick", quickOfSeed);
        BOOST_TEST_MESSAGE("wasted slot time " << world.wastedSlotTime.count());
        full.lookups += fullOfSeed.lookups;
        full.value += fullOfSeed.value;
        quick.lookups += quickOfSeed.lookups;
        quick.value += quickOfSeed.value;
    }
    BOOST_TEST_MESSAGE("full " << full.valueShare() << ", quick " << quick.valueShare());
    // Full lookups had 0.874 with this fault. Quick lookups pay for its correction: 0.583 instead of 0.707.
    BOOST_TEST(full.valueShare() > 0.9);
    BOOST_TEST(quick.valueShare() > 0.5);
}

// Guards against leafs of an overloaded shard working mostly for callers that have their answer: after a partial answer
// the leaf that was not awaited ran until the caller's deadline, 1.8 s later. Leafs were given the caller's deadline
// instead of the time until which their part is useful.
BOOST_AUTO_TEST_CASE(leafs_stop_soon_after_the_partial_answer)
{
    gateway_world world;
    world.publish({longObjectiveRoute(10, 0.9)});
    for (std::size_t shard = 0; shard < 10; ++shard) {
        world.addLeaf(gateway_world::shardName(shard),
                      {.processingTime = millis(28), .slots = 2, .slowdownFactor = shard == 0 ? 40.0 : 1.0});
    }
    const exchange_id id = world.submit("/all/x");
    world.runFor(millis(2500));
    BOOST_TEST(world.answerOf(id).answer.missing == 1U);
    BOOST_TEST(world.wastedSlotTime.count() < 215); // 1,120 ms when leafs were given the caller's deadline
}

// Guards against a leaf that is forty times as slow getting half of its shard's requests: each request there ends at
// its deadline, and the leaf's report of that was not counted as evidence of slowness.
BOOST_AUTO_TEST_CASE(a_leaf_that_always_times_out_is_detected_as_slow)
{
    gateway_world world;
    world.publish({longObjectiveRoute(1, 1.0)});
    const std::string slow =
        world.addLeaf(gateway_world::shardName(0), {.processingTime = millis(28), .slots = 2, .slowdownFactor = 40});
    world.addLeaf(gateway_world::shardName(0), {.processingTime = millis(28), .slots = 2});
    for (int at = 0; at < 100; ++at) {
        world.submit("/all/x");
        world.runFor(millis(60));
    }
    world.runFor(millis(2500));
    const auto slowLeafArrivals =
        std::ranges::count_if(world.arrivals, [&](const auto &one) { return one.leafId == slow; });
    BOOST_TEST_MESSAGE("requests at the slow leaf " << slowLeafArrivals);
    BOOST_TEST(world.engine.leafs().find(slow)->slowness > 1.3);
}

// Guards against one leaf request in nine being a hedge, most of them to another zone, with leafs half full: requests
// slower than 94 in 100 were hedged although nearly all of them would have been in time. The hedge delay was a fixed
// percentile, for a lookup that can wait seven times as long as a leaf takes.
BOOST_AUTO_TEST_CASE(few_hedges_are_sent_to_healthy_leafs)
{
    index_world world(3);
    world.runLoad(millis(8000));
    world.runFor(millis(2500));
    std::size_t hedges = 0;
    std::size_t sends = 0;
    for (const auto &[id, one] : world.answers) {
        hedges += one.answer.hedges;
        sends += one.answer.sends;
    }
    BOOST_TEST_MESSAGE("hedges " << hedges << " of " << sends << " sends");
    BOOST_TEST(static_cast<double>(hedges) < 0.07 * static_cast<double>(sends)); // 0.113 at 94 in 100, 0.056 at 98
}

namespace {

/** One shard with one leaf in the local zone and one in another zone. */
struct local_and_remote_leaf_world : gateway_world {
    local_and_remote_leaf_world()
        : gateway_world(settingsIn("here"))
    {
        publish({longObjectiveRoute(1, 1.0)});
        localLeaf = addLeaf(shardName(0), {.processingTime = millis(28), .slots = 2}, "here");
        remoteLeaf = addLeaf(shardName(0), {.processingTime = millis(28), .slots = 2}, "elsewhere");
    }

    static gateway_settings settingsIn(const std::string &zone)
    {
        gateway_settings settings;
        settings.zone = {zone};
        return settings;
    }

    [[nodiscard]] std::size_t arrivalsAt(const std::string &id) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [&](const auto &one) { return one.leafId == id; }));
    }

    std::string localLeaf;
    std::string remoteLeaf;
};

} // namespace

// Guards against a third of all parts coming from other zones although local leafs would answer in time: with one
// request queued at the local leaf, the next one went to the other zone to be answered 20 ms sooner. Time and bytes
// were weighed by the leafs' usual time, not by the value of an answer in time.
BOOST_AUTO_TEST_CASE(a_local_leaf_with_a_short_queue_is_preferred)
{
    local_and_remote_leaf_world world;
    for (int at = 0; at < 40; ++at) {
        world.submit("/all/x");
        world.runFor(millis(60));
    }
    const std::size_t before = world.arrivalsAt(world.remoteLeaf);
    for (int at = 0; at < 4; ++at) {
        world.submit("/all/x");
    }
    BOOST_TEST(world.arrivalsAt(world.remoteLeaf) == before);
    for (int at = 0; at < 6; ++at) {
        world.submit("/all/x");
    }
    BOOST_TEST(world.arrivalsAt(world.remoteLeaf) > before); // a long queue takes too much of the objective
}

// Guards against serving 5 in 100 lookups fewer while most leafs refuse a part of their requests: the local leaf was
// asked again and again because the cost of another zone outweighed that of a refusal. Each refusal uses a send of the
// retry budget, which is then spent.
BOOST_AUTO_TEST_CASE(a_remote_leaf_is_preferred_to_a_local_one_that_refuses)
{
    local_and_remote_leaf_world world;
    world.behaviours.at(world.localLeaf).refusalProbability = 0.6;
    for (int at = 0; at < 100; ++at) {
        world.submit("/all/x");
        world.runFor(millis(60));
    }
    const std::size_t before = world.arrivalsAt(world.localLeaf);
    for (int at = 0; at < 100; ++at) {
        world.submit("/all/x");
        world.runFor(millis(60));
    }
    BOOST_TEST(world.arrivalsAt(world.localLeaf) - before < 30U);
}

// Guards against a leaf that is taken for unreachable because enough request bytes are under way to it.
BOOST_AUTO_TEST_CASE(a_request_beyond_what_a_leaf_may_hold_goes_to_another_one_and_the_leaf_stays_in_use)
{
    gateway_world world;
    world.publish({gateway_world::singleRoute(false)});
    const std::string full = world.addLeaf("single", {.holdsTooMuch = true});
    const exchange_id alone = world.submit("/one/x");
    world.runFor(millis(1600));
    BOOST_CHECK(world.answerOf(alone).answer.outcome == exchange_outcome::Refused);
    world.addLeaf("single");
    for (int at = 0; at < 10; ++at) {
        const exchange_id id = world.submit("/one/x");
        world.runFor(millis(300));
        BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Relayed);
    }
    BOOST_TEST(world.runs.size() == 10U);
    world.behaviours.at(full).holdsTooMuch = false;
    for (int at = 0; at < 10; ++at) {
        world.submit("/one/x");
    }
    world.runFor(millis(300));
    BOOST_TEST(std::ranges::count(world.runs, full, &gateway_world::leaf_arrival::leafId) > 0);
}
