#define BOOST_TEST_MODULE planned_stop
#include <boost/test/included/unit_test.hpp>

#include "gateway_world.h"

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr millis timeLimit(8000);
constexpr millis grace(6000);
constexpr std::size_t learntRequests = 100; // enough for the response times of a route to be known

struct stopping_world : gateway_world {
    explicit stopping_world(bool idempotent, fake_leaf_behaviour behaviour = {})
    {
        gateway_route route = singleRoute(idempotent);
        route.timeout = timeLimit;
        publish({route});
        leafs = {addLeaf("single", behaviour), addLeaf("single", behaviour)};
    }

    void learn(millis processingTime)
    {
        for (std::size_t at = 0; at < learntRequests; ++at) {
            submit("/one/learn", timeLimit, processingTime);
            runFor(processingTime + millis(1));
        }
    }

    void beginStop()
    {
        schedule = stop_schedule::of(now, grace);
        engine.beginStop(schedule.answersBy, now);
    }

    void runUntil(millis time)
    {
        runFor(time - now);
    }

    std::vector<std::string> leafs;
    stop_schedule schedule;
};

} // namespace

BOOST_AUTO_TEST_CASE(steps_of_a_stop_come_in_order_before_the_process_is_killed)
{
    const millis began(1000);
    for (const millis length : {millis(300), millis(2000), grace, millis(60000)}) {
        const stop_schedule schedule = stop_schedule::of(began, length);
        BOOST_CHECK(began < schedule.closesIdleAt);
        BOOST_CHECK(schedule.closesIdleAt < schedule.answersBy);
        BOOST_CHECK(schedule.answersBy < schedule.endsBy);
        BOOST_CHECK(schedule.endsBy < began + length);
    }
}

BOOST_AUTO_TEST_CASE(request_whose_leaf_is_silent_is_answered_before_the_process_ends)
{
    for (const bool idempotent : {true, false}) {
        stopping_world world(idempotent, {.neverAnswers = true});
        const exchange_id before = world.submit("/one/x", timeLimit);
        world.runFor(millis(500));
        world.beginStop();
        const exchange_id after = world.submit("/one/y", timeLimit);
        world.runUntil(world.schedule.answersBy);
        for (const exchange_id id : {before, after}) {
            const auto &[answer, at] = world.answerOf(id);
            BOOST_CHECK(answer.outcome == exchange_outcome::Failed);
            BOOST_TEST(answer.cause == stoppingCause);
            BOOST_CHECK(at == world.schedule.answersBy);
        }
        BOOST_TEST(world.engine.openExchanges() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(request_that_would_outlast_the_stop_is_refused_before_it_reaches_a_leaf)
{
    for (const bool idempotent : {true, false}) {
        stopping_world world(idempotent);
        world.learn(millis(1300));
        world.beginStop();
        world.runFor(millis(4200));
        const std::size_t runsBefore = world.runs.size();
        const millis sentAt = world.now;
        const auto &[answer, at] = world.answerOf(world.submit("/one/x", timeLimit, millis(1300)));
        BOOST_CHECK(answer.outcome == exchange_outcome::Refused);
        BOOST_TEST(answer.cause == stoppingCause);
        BOOST_CHECK(at == sentAt);
        BOOST_CHECK(answer.retryAfter == minRetryAfter); // other VMs serve it at once
        BOOST_TEST(world.runs.size() == runsBefore);
    }
}

// Guards against refusing every request of a route of which a few answers were lost.
BOOST_AUTO_TEST_CASE(lost_answers_are_no_reason_to_refuse_during_a_stop)
{
    for (const bool idempotent : {true, false}) {
        stopping_world world(idempotent);
        for (int lost = 0; lost < 3; ++lost) {
            world.submit("/one/lost", timeLimit, timeLimit * 2);
        }
        world.learn(millis(100));
        world.beginStop();
        const exchange_id id = world.submit("/one/x", timeLimit, millis(100));
        world.runFor(millis(150));
        BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Relayed);
    }
}

BOOST_AUTO_TEST_CASE(request_that_ends_before_the_stop_is_served)
{
    stopping_world world(false);
    world.learn(millis(220));
    world.beginStop();
    world.runFor(millis(4200));
    const exchange_id id = world.submit("/one/x", timeLimit, millis(220));
    world.runFor(millis(300));
    BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Relayed);
}

// Guards against refusing nearly all requests of a stop because a few leafs answer late.
BOOST_AUTO_TEST_CASE(a_few_late_answers_do_not_make_a_stop_refuse_requests)
{
    constexpr std::size_t usualPerLate = 19;
    constexpr std::size_t manyRequests = 2000; // an estimate that follows single answers has reached the late ones
    for (const std::size_t learnt : {learntRequests, manyRequests}) {
        stopping_world world(true);
        for (std::size_t at = 0; at < learnt; ++at) {
            const millis took(at % (usualPerLate + 1) == usualPerLate ? 5000 : 220);
            world.submit("/one/learn", timeLimit, took);
            world.runFor(took + millis(1));
        }
        world.beginStop();
        world.runFor(millis(1000));
        const exchange_id id = world.submit("/one/x", timeLimit, millis(220));
        world.runFor(millis(300));
        BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Relayed);
    }
}

BOOST_AUTO_TEST_CASE(request_whose_own_time_limit_ends_before_the_stop_is_served_as_usual)
{
    stopping_world world(true, {.neverAnswers = true});
    world.beginStop();
    const exchange_id id = world.submit("/one/x", millis(1000));
    world.runFor(millis(1000));
    BOOST_TEST(world.answerOf(id).answer.cause == "time");
}

BOOST_AUTO_TEST_CASE(request_that_arrives_after_the_last_answers_is_refused)
{
    stopping_world world(false);
    world.beginStop();
    world.runUntil(world.schedule.answersBy);
    const exchange_id id = world.submit("/one/x", timeLimit);
    BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Refused);
    BOOST_TEST(world.runs.empty());
}

BOOST_AUTO_TEST_CASE(work_that_outlasts_its_estimate_is_answered_by_its_leaf_at_the_end)
{
    stopping_world world(false);
    world.learn(millis(220));
    world.beginStop();
    world.runFor(millis(4200));
    const exchange_id id = world.submit("/one/x", timeLimit, millis(2500));
    world.runUntil(world.schedule.answersBy);
    BOOST_CHECK(world.answerOf(id).answer.outcome != exchange_outcome::Refused);
    BOOST_CHECK(world.answerOf(id).at <= world.schedule.answersBy);
}

BOOST_AUTO_TEST_CASE(lookup_gets_its_parts_before_the_process_ends)
{
    constexpr std::size_t shards = 10;
    gateway_world world;
    gateway_route route = gateway_world::gatherRoute(shards, 0.8);
    route.objective = millis(400);
    world.publish({route});
    world.addShards(shards - 1, 2);
    world.addLeaf(gateway_world::shardName(shards - 1), {.neverAnswers = true});
    const exchange_id id = world.submit("/all/x");
    const millis answersBy = world.now + millis(100);
    world.engine.beginStop(answersBy, world.now);
    world.runFor(millis(100));
    BOOST_CHECK(world.answerOf(id).answer.outcome == exchange_outcome::Merged);
    BOOST_TEST(world.answerOf(id).answer.missing == 1U);
}

BOOST_AUTO_TEST_CASE(work_for_another_vm_ends_with_the_stop)
{
    gateway_world world;
    world.publish({gateway_world::gatherRoute(1, 1)});
    world.addLeaf(gateway_world::shardName(0), {.neverAnswers = true});
    delegated_work work;
    work.route = "all";
    work.shards = {{gateway_world::shardName(0)}};
    work.objective = work.cutoffIn = millis(100);
    work.limitIn = timeLimit;
    work.firstReportIn = millis(50);
    work.topRecords = 4;
    world.engine.acceptDelegatedWork("q1", work, world.now);
    const millis answersBy = world.now + millis(500);
    world.engine.beginStop(answersBy, world.now);
    world.runFor(millis(500));
    BOOST_TEST(world.engine.openExchanges() == 0U);
}
