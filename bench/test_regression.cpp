#define BOOST_TEST_MODULE regression
#include <boost/test/included/unit_test.hpp>

#include "experiment.h"

using namespace chivelock;
using namespace chivelock::bench;

// Bounds on results in virtual time. The same input gives the same result on any machine, so a crossed bound always
// means that the decisions have changed. docs/design/load.md has the figures from which the bounds are derived.

namespace {

constexpr std::uint64_t seed = 31;

experiment pointAt(double load)
{
    experiment point;
    point.load = load;
    point.seed = seed;
    point.duration = millis(15000);
    return point;
}

experiment limited(double load)
{
    experiment point = pointAt(load);
    point.hardLimit = millis(400);
    return point;
}

} // namespace

BOOST_AUTO_TEST_CASE(half_load_tail_is_within_twice_the_straggler_free_one_at_few_extra_attempts)
{
    experiment with = pointAt(0.5);
    experiment without = with;
    without.service.stragglerShare = 0;
    without.load = with.load * without.service.meanMs() / with.service.meanMs();
    without.runner.hedging = false;
    const auto results = runAll({with, without});
    BOOST_TEST(results[0].all.quantile(0.99) <= 2 * results[1].all.quantile(0.99));
    BOOST_TEST(results[0].attemptsPerFirstSend <= 1.08);
}

BOOST_AUTO_TEST_CASE(runners_beat_direct_mode_near_capacity)
{
    experiment direct = pointAt(0.9);
    direct.root.direct = true;
    const auto results = runAll({pointAt(0.9), direct});
    BOOST_TEST(results[0].all.quantile(0.99) <= 0.6 * results[1].all.quantile(0.99));
    BOOST_TEST(results[0].all.answered == results[0].all.asked);
}

BOOST_AUTO_TEST_CASE(twice_the_capacity_keeps_goodput_and_refuses_at_once)
{
    const measures result = run(limited(2));
    BOOST_TEST(result.goodput >= 0.9);
    BOOST_TEST(result.all.maxRefusalMs <= 5);
    BOOST_TEST(result.urgent.quantile(0.99) <= 140);
    BOOST_TEST(result.ordinary.answered > 0);
}

BOOST_AUTO_TEST_CASE(without_admission_overload_collapses)
{
    experiment without = limited(2);
    without.runner.admission = false;
    BOOST_TEST(run(without).goodput < 0.6);
}

BOOST_AUTO_TEST_CASE(same_input_gives_same_output)
{
    const auto results = runAll({limited(1.2), limited(1.2)});
    BOOST_TEST(results[0].all.latencies == results[1].all.latencies);
    BOOST_TEST(results[0].all.refused == results[1].all.refused);
}
