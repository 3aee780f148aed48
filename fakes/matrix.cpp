/**
 * @file
 * Fault-injection matrix. Runs every scenario with every fault at every step, then with pairs of faults sampled from a
 * seed, then with each safety check (guard) disabled. Prints the numbers of cases and violations. Exits with status 1
 * if a case with all guards violates a guarantee, or if disabling a guard causes no violation.
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
    guard disabledGuard = guard::None;
    std::uint64_t seed = 1;
};

/** Runs cases on all processor cores. Each case has its own fleet, so the results do not depend on the threads. */
std::vector<case_result> runCases(const std::vector<matrix_case> &cases)
{
    std::vector<case_result> results(cases.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < cases.size(); index = next++) {
            const matrix_case &item = cases[index];
            results[index] = runCase(item.chosen, item.faults, item.disabledGuard, item.seed);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back(work);
    }
    std::ranges::for_each(threads, [](std::thread &thread) { thread.join(); });
    return results;
}

std::string describe(const matrix_case &item)
{
    std::string text(toString(item.chosen));
    for (const placed_fault &placed : item.faults) {
        text += ", " + std::string(toString(placed.what)) + " at step " + std::to_string(placed.step);
    }
    return text + ", seed " + std::to_string(item.seed);
}

std::size_t printViolations(const std::vector<matrix_case> &cases, const std::vector<case_result> &results)
{
    constexpr std::size_t maxShown = 5;
    std::size_t violating = 0;
    for (std::size_t index = 0; index < cases.size(); ++index) {
        if (results[index].violations.empty()) {
            continue;
        }
        if (violating++ < maxShown) {
            const violation &first = results[index].violations.front();
            std::cout << "  VIOLATION " << first.promise << ": " << first.detail << " (" << describe(cases[index])
                      << ")\n";
        }
    }
    return violating;
}

std::vector<std::uint64_t> runWithoutFaults()
{
    std::vector<matrix_case> cases;
    for (std::size_t index = 0; index < scenarioCount; ++index) {
        cases.push_back({static_cast<scenario>(index), {}});
    }
    const std::vector<case_result> results = runCases(cases);
    std::cout << "no fault: " << cases.size() << " cases, " << printViolations(cases, results) << " with violations\n";
    std::vector<std::uint64_t> steps;
    std::ranges::transform(results, std::back_inserter(steps), &case_result::steps);
    return steps;
}

std::size_t runSingleFaults(const std::vector<std::uint64_t> &steps)
{
    constexpr std::uint64_t maxSteps = 150;
    std::size_t total = 0;
    std::size_t violating = 0;
    std::cout << std::left << std::setw(22) << "fault";
    for (std::size_t index = 0; index < scenarioCount; ++index) {
        std::cout << std::setw(12) << toString(static_cast<scenario>(index));
    }
    std::cout << "(cases run / with violations)\n";
    for (std::size_t number = 1; number < faultCount; ++number) {
        std::cout << std::setw(22) << toString(static_cast<fault>(number));
        for (std::size_t index = 0; index < scenarioCount; ++index) {
            std::vector<matrix_case> cases;
            for (std::uint64_t step = 1; step <= std::min(maxSteps, steps[index]); ++step) {
                cases.push_back({static_cast<scenario>(index), {{static_cast<fault>(number), step}}});
            }
            const std::vector<case_result> results = runCases(cases);
            const auto violatingCases = static_cast<std::size_t>(
                std::ranges::count_if(results, [](const case_result &result) { return !result.violations.empty(); }));
            std::cout << std::setw(12) << std::to_string(cases.size()) + "/" + std::to_string(violatingCases)
                      << std::flush;
            total += cases.size();
            violating += violatingCases;
            if (violatingCases > 0) {
                std::cout << '\n';
                printViolations(cases, results);
            }
        }
        std::cout << '\n';
    }
    std::cout << "single faults: " << total << " cases, " << violating << " with violations\n";
    return violating;
}

std::size_t runFaultPairs(const std::vector<std::uint64_t> &steps, std::uint64_t seed)
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
    const std::vector<case_result> results = runCases(cases);
    const std::size_t violating = printViolations(cases, results);
    std::cout << "pairs of faults (seed " << seed << "): " << cases.size() << " cases, " << violating
              << " with violations\n";
    return violating;
}

/** A scenario and a fault with which disabling the guard must cause a violation. */
struct guard_case {
    guard disabledGuard;
    scenario chosen;
    fault what;
};

std::size_t runWithDisabledGuards(const std::vector<std::uint64_t> &steps)
{
    const std::vector<guard_case> plans = {{guard::SnapshotCheck, scenario::Lookups, fault::LeafOtherSnapshot},
                                           {guard::AttemptCheck, scenario::Split, fault::FramesReordered},
                                           {guard::DuplicateCheck, scenario::Lookups, fault::FramesDuplicated},
                                           {guard::SendTimeCheck, scenario::Leaving, fault::EntryFrozenLong},
                                           {guard::HealthFreshness, scenario::Leaving, fault::PlatformDown},
                                           {guard::TicketIssuerCheck, scenario::Ticket, fault::CutBothWays},
                                           {guard::RevisionCheck, scenario::Change, fault::PlatformOldPublication},
                                           {guard::StopNotice, scenario::Stop, fault::None}};
    std::size_t guardsWithoutEffect = 0;
    for (const guard_case &plan : plans) {
        std::vector<matrix_case> cases;
        const std::uint64_t stepCount = plan.what == fault::None ? 1 : steps[static_cast<std::size_t>(plan.chosen)];
        for (std::uint64_t step = 0; step < stepCount; ++step) {
            cases.push_back({plan.chosen, {{plan.what, step}}, plan.disabledGuard});
        }
        const std::vector<case_result> results = runCases(cases);
        std::map<std::string, std::size_t> byPromise;
        for (const case_result &result : results) {
            if (!result.violations.empty()) {
                ++byPromise[result.violations.front().promise];
            }
        }
        std::cout << "without " << std::setw(24) << toString(plan.disabledGuard);
        for (const auto &[promise, count] : byPromise) {
            std::cout << promise << ": " << count << " of " << cases.size() << " cases broken; ";
        }
        std::cout << (byPromise.empty() ? "NOTHING BROKEN\n" : "\n");
        guardsWithoutEffect += byPromise.empty() ? 1 : 0;
    }
    return guardsWithoutEffect;
}

} // namespace

int main(int argc, char **argv)
{
    constexpr std::uint64_t defaultSeed = 20261202;
    const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : defaultSeed;
    const std::vector<std::uint64_t> steps = runWithoutFaults();
    const std::size_t violating = runSingleFaults(steps) + runFaultPairs(steps, seed);
    const std::size_t guardsWithoutEffect = runWithDisabledGuards(steps);
    std::cout << "violations with all guards: " << violating
              << "; guards whose loss broke nothing: " << guardsWithoutEffect << '\n';
    return violating == 0 && guardsWithoutEffect == 0 ? 0 : 1;
}
