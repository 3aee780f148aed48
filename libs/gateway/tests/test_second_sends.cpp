#define BOOST_TEST_MODULE second_sends
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr std::size_t shards = 60;
constexpr std::size_t limit = 9; // 0.15 of the shards

/** Lookups over sixty shards with two leafs each; the usual response time is known. */
class warm_world : public gateway_world
{
public:
    explicit warm_world(double coverage)
    {
        publish({gatherRoute(shards, coverage)});
        addShards(shards, 2);
        for (std::size_t at = 0; at < 30; ++at) {
            submit("/all/x");
            runFor(millis(20));
        }
        runFor(millis(2000));
    }

    /** From now on the leafs of @p shard that have been asked do not answer. */
    void silenceShard(std::size_t shard)
    {
        for (auto &[id, behaviour] : behaviours) {
            behaviour.neverAnswers = behaviour.neverAnswers || id.starts_with(shardName(shard) + "-");
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(second_sends_that_bring_the_part_count_as_useful)
{
    warm_world world(1.0);
    const send_counts before = world.engine.sendCounts();
    world.behaviours.begin()->second.neverAnswers = true;
    for (std::size_t at = 0; at < 4; ++at) {
        world.submit("/all/x");
        world.runFor(millis(100));
    }
    const send_counts &after = world.engine.sendCounts();
    BOOST_TEST(after.second - before.second > 0U);
    BOOST_TEST(after.useful - before.useful == after.second - before.second);
}

BOOST_AUTO_TEST_CASE(silent_leafs_are_counted)
{
    warm_world world(0.9);
    BOOST_TEST(world.engine.countSilentLeafs(world.now).stalled == 0U);
    world.silenceShard(0);
    world.submit("/all/x");
    world.runFor(millis(500));
    BOOST_TEST(world.engine.countSilentLeafs(world.now).stalled == 2U);
    world.runFor(millis(250));
    BOOST_TEST(world.engine.countSilentLeafs(world.now).down == 2U);
}

// Guards against asking all shards twice when all leafs are late.
BOOST_AUTO_TEST_CASE(a_lookup_asks_few_shards_twice_while_no_second_leaf_answers)
{
    warm_world world(1.0);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        world.silenceShard(shard);
    }
    const send_counts before = world.engine.sendCounts();
    world.submit("/all/x");
    world.runFor(millis(550));
    BOOST_TEST(world.engine.sendCounts().second - before.second == limit);
    BOOST_TEST(world.engine.sendCounts().withheld - before.withheld == shards - limit);
}

// Guards against the limit leaving shards without a part although their second leafs answer.
BOOST_AUTO_TEST_CASE(all_shards_are_asked_twice_while_second_leafs_answer)
{
    warm_world world(1.0);
    std::size_t leafNumber = 0;
    for (auto &[id, behaviour] : world.behaviours) {
        behaviour.neverAnswers = ++leafNumber % 2 == 1; // one of the two leafs of each shard
    }
    const exchange_id id = world.submit("/all/x");
    world.runFor(millis(550));
    BOOST_TEST(world.answerOf(id).answer.missing == 0U);
    BOOST_TEST(world.answerOf(id).answer.hedges > limit);
    BOOST_TEST(world.answerOf(id).answer.elapsed.count() < 150);
}
