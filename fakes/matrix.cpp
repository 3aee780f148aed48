/**
 * @file
 * The fault matrix: every fault at every step of every scenario, then pairs of faults by seeded sampling, then each
 * guard left out. Prints cases and violations; ends with 1 if a case with all guards broke a promise, or if leaving
 * out a guard broke none.
 */

#include "scenarios.h"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace chivelock;
using namespace chivelock::fakes;

struct matrix_case {
    scenario chosen;
    std::vector<placed_fault> faults;
    guard leftOut = guard::None;
    std::uint64_t seed = 1;
};

/** Runs cases on all cores; each case is alone with its own fleet, so the results do not depend on the threads. */
std::vector<case_result> runAll(const std::vector<matrix_case> &cases)
{
    std::vector<case_result> results(cases.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < cases.size(); index = next++) {
            const matrix_case &one = cases[index];
            results[index] = runCase(one.chosen, one.faults, one.leftOut, one.seed);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back(work);
    }
    std::ranges::for_each(threads, [](std::thread &thread) { thread.join(); });
    return results;
}

std::string describe(const matrix_case &one)
{
    std::string text(toString(one.chosen));
    for (const placed_fault &placed : one.faults) {
        text += ", " + std::string(toString(placed.what)) + " at step " + std::to_string(placed.step);
    }
    return text + ", seed " + std::to_string(one.seed);
}

std::size_t printViolations(const std::vector<matrix_case> &cases, const std::vector<case_result> &results)
{
    constexpr std::size_t shown = 5;
    std::size_t broken = 0;
    for (std::size_t index = 0; index < cases.size(); ++index) {
        if (results[index].violations.empty()) {
            continue;
        }
        if (broken++ < shown) {
            const violation &first = results[index].violations.front();
            std::cout << "  VIOLATION " << first.promise << ": " << first.detail << " (" << describe(cases[index])
                      << ")\n";
        }
    }
    return broken;
}

std::vector<std::uint64_t> stepsOf()
{
    std::vector<matrix_case> plain;
    for (std::size_t index = 0; index < scenarioCount; ++index) {
        plain.push_back({static_cast<scenario>(index), {}});
    }
    const std::vector<case_result> results = runAll(plain);
    std::cout << "no fault: " << plain.size() << " cases, " << printViolations(plain, results) << " with violations\n";
    std::vector<std::uint64_t> steps;
    std::ranges::transform(results, std::back_inserter(steps), &case_result::steps);
    return steps;
}

std::size_t singles(const std::vector<std::uint64_t> &steps)
{
    constexpr std::uint64_t mostSteps = 150;
    std::size_t total = 0;
    std::size_t broken = 0;
    std::cout << std::left << std::setw(22) << "fault";
    for (std::size_t index = 0; index < scenarioCount; ++index) {
        std::cout << std::setw(12) << toString(static_cast<scenario>(index));
    }
    std::cout << "(cases run / with violations)\n";
    for (std::size_t number = 1; number < faultCount; ++number) {
        std::cout << std::setw(22) << toString(static_cast<fault>(number));
        for (std::size_t index = 0; index < scenarioCount; ++index) {
            std::vector<matrix_case> cases;
            for (std::uint64_t step = 1; step <= std::min(mostSteps, steps[index]); ++step) {
                cases.push_back({static_cast<scenario>(index), {{static_cast<fault>(number), step}}});
            }
            const std::vector<case_result> results = runAll(cases);
            const auto bad = static_cast<std::size_t>(
                std::ranges::count_if(results, [](const case_result &result) { return !result.violations.empty(); }));
            std::cout << std::setw(12) << std::to_string(cases.size()) + "/" + std::to_string(bad) << std::flush;
            total += cases.size();
            broken += bad;
            if (bad > 0) {
                std::cout << '\n';
                printViolations(cases, results);
            }
        }
        std::cout << '\n';
    }
    std::cout << "single faults: " << total << " cases, " << broken << " with violations\n";
    return broken;
}

std::size_t pairs(const std::vector<std::uint64_t> &steps, std::uint64_t seed)
{
    constexpr std::size_t pairCases = 3000;
    seeded_random random(seed);
    std::vector<matrix_case> cases;
    for (std::size_t index = 0; index < pairCases; ++index) {
        const std::size_t chosen = random.below(scenarioCount);
        const auto draw = [&] {
            return placed_fault {static_cast<fault>(1 + random.below(faultCount - 1)),
                                 1 + random.below(std::max<std::size_t>(1, steps[chosen]))};
        };
        const placed_fault first = draw();
        cases.push_back({static_cast<scenario>(chosen), {first, draw()}, guard::None, random.next() % 100000});
    }
    const std::vector<case_result> results = runAll(cases);
    const std::size_t broken = printViolations(cases, results);
    std::cout << "pairs of faults (seed " << seed << "): " << cases.size() << " cases, " << broken
              << " with violations\n";
    return broken;
}

/** Where leaving a guard out must show. */
struct guard_case {
    guard leftOut;
    scenario chosen;
    fault what;
};

std::size_t guards(const std::vector<std::uint64_t> &steps)
{
    const std::vector<guard_case> plans = {{guard::Snapshot, scenario::Lookups, fault::LeafOtherSnapshot},
                                           {guard::Attempt, scenario::Split, fault::FramesLate},
                                           {guard::Doubled, scenario::Lookups, fault::FramesDoubled},
                                           {guard::NotAfter, scenario::Leaving, fault::EntryFrozenLong},
                                           {guard::FreshSigns, scenario::Leaving, fault::PlatformDown},
                                           {guard::TicketIssuer, scenario::Ticket, fault::CutBothWays},
                                           {guard::NeverBack, scenario::Change, fault::PlatformOldPublication},
                                           {guard::Notice, scenario::Stop, fault::None}};
    std::size_t silent = 0;
    for (const guard_case &plan : plans) {
        std::vector<matrix_case> cases;
        const std::uint64_t most = plan.what == fault::None ? 1 : steps[static_cast<std::size_t>(plan.chosen)];
        for (std::uint64_t step = 0; step < most; ++step) {
            cases.push_back({plan.chosen, {{plan.what, step}}, plan.leftOut});
        }
        const std::vector<case_result> results = runAll(cases);
        std::map<std::string, std::size_t> byPromise;
        for (const case_result &result : results) {
            if (!result.violations.empty()) {
                ++byPromise[result.violations.front().promise];
            }
        }
        std::cout << "without " << std::setw(24) << toString(plan.leftOut);
        for (const auto &[promise, count] : byPromise) {
            std::cout << promise << ": " << count << " of " << cases.size() << " cases broken; ";
        }
        std::cout << (byPromise.empty() ? "NOTHING BROKEN\n" : "\n");
        silent += byPromise.empty() ? 1 : 0;
    }
    return silent;
}

} // namespace

int main(int argc, char **argv)
{
    constexpr std::uint64_t defaultSeed = 20261202;
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : defaultSeed;
    const std::vector<std::uint64_t> steps = stepsOf();
    const std::size_t broken = singles(steps) + pairs(steps, seed);
    const std::size_t silent = guards(steps);
    std::cout << "violations with all guards: " << broken << "; guards whose loss broke nothing: " << silent << '\n';
    return broken == 0 && silent == 0 ? 0 : 1;
}
