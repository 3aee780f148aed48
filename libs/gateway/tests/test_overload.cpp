#define BOOST_TEST_MODULE overload
#include <boost/test/included/unit_test.hpp>

#include "crowd_world.h"
#include "gateway_world.h"

#include <string>

using namespace chivelock;
using namespace chivelock::testing;

namespace {

constexpr double usualPerSecond = 10.6;
constexpr double crowdPerSecond = usualPerSecond * 14;
constexpr millis crowdTime(11000);
constexpr millis restTime(5000); // until all callers have their answer

void add(crowd_stats &sum, const crowd_stats &one)
{
    sum.callers += one.callers;
    sum.inTime += one.inTime;
    sum.late += one.late;
    sum.returned += one.returned;
    sum.returnedInTime += one.returnedInTime;
    sum.lost += one.lost;
}

void logStats(const std::string &label, const crowd_stats &stats)
{
    BOOST_TEST_MESSAGE(label << ": callers " << stats.callers << ", in time " << stats.inTime << ", late " << stats.late
                             << ", refused then served " << stats.returned << " (in time " << stats.returnedInTime
                             << "), lost " << stats.lost << ", value " << stats.value());
}

/** @return what the callers of a crowd got, over five seeds. */
crowd_stats playCrowd(crowd_settings settings, double perSecond)
{
    crowd_stats sum;
    for (settings.seed = 1; settings.seed <= 5; ++settings.seed) {
        crowd_world world(settings);
        world.load(perSecond, crowdTime);
        world.runFor(crowdTime + restTime);
        add(sum, world.stats());
        BOOST_TEST(world.runsOfRefused == 0U);
        BOOST_TEST(std::ranges::all_of(world.callers, [](const crowd_caller &one) { return one.ended; }));
    }
    logStats(std::string(settings.overload ? "with" : "without") + ", VMs " + std::to_string(settings.vms), sum);
    return sum;
}

/** A VM with one lookup over ten shards and one single look-up, as its lag reports reach the engine. */
struct lagging_world : gateway_world {
    lagging_world()
    {
        publish({gatherRoute(10, 0.9), singleRoute(true)});
        addShards(10, 2);
        addLeaf("single");
        addLeaf("single");
    }

    /** @return the cause of the request's answer, if it was refused at once. */
    std::string refusalOf(const std::string &target)
    {
        const exchange_id id = submit(target);
        const auto found = answers.find(id);
        return found == answers.end() ? std::string() : std::string(found->second.answer.cause);
    }
};

} // namespace

// Guards against a crowd of single look-ups that fills the queues of all leafs, so that all callers are served late.
BOOST_AUTO_TEST_CASE(a_crowd_of_single_look_ups_is_served_in_time)
{
    for (const std::size_t vms : {1, 24}) {
        crowd_settings settings;
        settings.vms = vms;
        settings.overload = false;
        const crowd_stats before = playCrowd(settings, crowdPerSecond);
        settings.overload = true;
        const crowd_stats after = playCrowd(settings, crowdPerSecond);
        BOOST_TEST(after.late * 2 < before.late);
        BOOST_TEST(after.lost <= before.lost);
        BOOST_TEST(after.value() > before.value() + 0.04);
    }
}

// Guards against refusals of a load that the leafs can serve.
BOOST_AUTO_TEST_CASE(a_load_below_the_capacity_is_not_refused)
{
    crowd_settings settings;
    settings.vms = 24;
    settings.pauses = true;
    const crowd_stats stats = playCrowd(settings, 90);
    BOOST_TEST(stats.returned + stats.lost <= stats.callers / 200);
    BOOST_TEST(stats.value() > 0.99);
}

// Guards against one account's crowd taking the leafs from the other accounts.
BOOST_AUTO_TEST_CASE(the_account_with_the_crowd_is_refused_first)
{
    crowd_stats ordinary[2];
    crowd_stats crowd[2];
    for (const bool overload : {false, true}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            crowd_settings settings;
            settings.overload = overload;
            settings.seed = seed;
            crowd_world world(settings);
            constexpr account_id crowdAccount = 1;
            world.load(180, crowdTime, crowdAccount);
            for (account_id account = 2; account < 12; ++account) {
                world.load(2, crowdTime, account);
            }
            world.runFor(crowdTime + restTime);
            add(ordinary[overload ? 1 : 0], world.stats([](const auto &one) { return one.account != 1; }));
            add(crowd[overload ? 1 : 0], world.stats([](const auto &one) { return one.account == 1; }));
        }
        logStats(overload ? "ordinary, with" : "ordinary, without", ordinary[overload ? 1 : 0]);
        logStats(overload ? "crowd, with" : "crowd, without", crowd[overload ? 1 : 0]);
    }
    BOOST_TEST(ordinary[1].value() > ordinary[0].value() + 0.3);
    BOOST_TEST(ordinary[1].value() > 0.9);
    BOOST_TEST(ordinary[1].value() > crowd[1].value());
}

// Guards against callers that are refused at one moment and come back as one burst, or later than they would wait.
BOOST_AUTO_TEST_CASE(refused_callers_come_back_at_different_times)
{
    crowd_settings settings;
    crowd_world world(settings);
    constexpr millis burstTime(10);
    world.load(15000, burstTime);
    world.runFor(burstTime + restTime);
    std::vector<millis> returns;
    for (const crowd_caller &one : world.callers) {
        if (one.refused) {
            returns.push_back(one.arrivedAt + one.retryAfter);
            BOOST_TEST((one.retryAfter >= minRetryAfter));
            BOOST_TEST((one.retryAfter <= settings.timeout * (1.0 / 3)));
        }
    }
    std::ranges::sort(returns);
    BOOST_TEST_REQUIRE(returns.size() > 60U);
    std::size_t most = 0;
    for (auto first = returns.begin(); first != returns.end(); ++first) {
        const auto end = std::ranges::upper_bound(returns, *first + millis(50));
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    BOOST_TEST_MESSAGE("refused " << returns.size() << ", most returns within 50 ms: " << most);
    BOOST_TEST(most < returns.size() / 4);
}

// Guards against a stalled VM that accepts requests which it can only answer late, and against an unbounded refusal.
BOOST_AUTO_TEST_CASE(a_vm_that_is_behind_refuses_a_bounded_share)
{
    lagging_world world;
    std::size_t refused = 0;
    for (int at = 0; at < 50; ++at) {
        world.engine.setOwnLoad({0.12, millis(500), 0}, world.now);
        refused += world.refusalOf("/one/x" + std::to_string(at)) == "vm_overloaded" ? 1 : 0;
        world.runFor(millis(20));
    }
    BOOST_TEST_MESSAGE("refused " << refused << " of 50");
    BOOST_TEST(refused >= 10U);
    BOOST_TEST(refused <= 25U);
    BOOST_TEST(std::ranges::all_of(world.answers, [](const auto &one) {
        return one.second.answer.outcome != exchange_outcome::Refused || one.second.answer.sends == 0;
    }));
}

// Guards against refusals because of a lag that was reported long ago, or that was never measured.
BOOST_AUTO_TEST_CASE(an_old_or_unknown_lag_refuses_nothing)
{
    lagging_world world;
    BOOST_TEST(world.refusalOf("/one/x").empty());
    BOOST_TEST(world.refusalOf("/all/x").empty());
    world.engine.setOwnLoad({0.12, millis(500), 0}, world.now);
    world.runFor(millis(1000));
    BOOST_TEST(world.refusalOf("/one/y").empty());
    BOOST_TEST(world.refusalOf("/all/y").empty());
}

// Guards against the switch having no effect.
BOOST_AUTO_TEST_CASE(nothing_is_refused_for_lag_with_the_switch_off)
{
    gateway_settings settings;
    settings.scheduling.overload = false;
    lagging_world world;
    world.engine.changeSettings(settings);
    world.engine.setOwnLoad({0.12, millis(500), 0}, world.now);
    BOOST_TEST(world.refusalOf("/one/x").empty());
}
