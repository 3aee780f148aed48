/**
 * @file
 * Compares variants of the policy settings under load, in virtual time. Prints a table and writes a CSV file.
 * Usage: bench [SUITE] [FIRST_SEED] [SEEDS] [CSV]; suites: main, far, overload, hedges, all
 */

#include "experiment.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>

namespace {

using namespace chivelock;
using namespace chivelock::bench;

struct variant {
    std::string name;
    std::function<void(experiment &)> change;
};

experiment base()
{
    return {};
}

std::vector<variant> mainVariants()
{
    return {
        {"runner (default)", [](experiment &) {}},
        {"direct", [](experiment &e) { e.root.direct = true; }},
        {"direct, no hedge", [](experiment &e) { e.root.direct = true, e.runner.hedging = false; }},
        {"direct, no hedge, random",
         [](experiment &e) { e.root.direct = true, e.runner.hedging = false, e.runner.chooser = uniform_choice(); }},
        {"runner, no hedge", [](experiment &e) { e.runner.hedging = false; }},
        {"runner, one hedge", [](experiment &e) { e.runner.maxHedges = 1; }},
        {"runner, hedge onto idle", [](experiment &e) { e.runner.hedgeOnlyOntoFreeSlots = true; }},
        {"runner, extra at once", [](experiment &e) { e.runner.extraMinWaitingPerSlot = 0; }},
        {"runner, extra from 1", [](experiment &e) { e.runner.extraMinWaitingPerSlot = 1; }},
        {"runner, extra from 4", [](experiment &e) { e.runner.extraMinWaitingPerSlot = 4; }},
        {"runner, hedge after queue", [](experiment &e) { e.runner.hedgeBeforeQueue = false; }},
        {"runner, no cancel", [](experiment &e) { e.runner.cancelLosers = false; }},
        {"runner, slots exactly", [](experiment &e) { e.runner.extraInFlight = 0; }},
        {"runner, slots + 2", [](experiment &e) { e.runner.extraInFlight = 2; }},
        {"runner, random choice", [](experiment &e) { e.runner.chooser = uniform_choice(); }},
        {"runner, power of two", [](experiment &e) { e.runner.chooser = power_of_two(); }},
        {"straggler-free, no hedge",
         [](experiment &e) {
             const double mean = e.service.meanMs();
             e.service.stragglerShare = 0;
             e.load *= e.service.meanMs() / mean; // keeps the number of arrivals per second
             e.runner.hedging = false;
         }},
    };
}

std::vector<variant> overloadVariants()
{
    const auto limited = [](experiment &e) {
        e.hardLimit = millis(400);
        e.retryRefused = true;
    };
    const auto with = [limited](const std::function<void(experiment &)> &more) {
        return [limited, more](experiment &e) {
            limited(e);
            more(e);
        };
    };
    return {{"runner (default)", limited},
            {"direct", with([](experiment &e) { e.root.direct = true; })},
            {"no admission", with([](experiment &e) { e.runner.admission = false; })},
            {"no precedence for returned", with([](experiment &e) { e.runner.scheduledRetriesFirst = false; })},
            {"refusal memory 15 ms", with([](experiment &e) { e.root.refusalCacheTtl = millis(15); })},
            {"no urgent first", with([](experiment &e) { e.runner.urgentFirst = false; })},
            {"no floor for ordinary", with([](experiment &e) { e.runner.ordinaryFloor = 1000000; })},
            {"no drop of expired", with([](experiment &e) { e.runner.dropExpired = false; })},
            {"queue share 0.2", with([](experiment &e) { e.runner.maxQueueWaitShare = 0.2; })},
            {"queue share 0.7", with([](experiment &e) { e.runner.maxQueueWaitShare = 0.7; })},
            {"partial allowed", with([](experiment &e) { e.requiresCompleteAnswer = false; })}};
}

std::vector<variant> hedgeVariants()
{
    std::vector<variant> variants;
    for (const double budget : {0.0, 0.02, 0.04, 0.06, 0.08, 0.12, 0.2}) {
        for (const double quantile : {0.85, 0.9, 0.93, 0.95}) {
            const std::string name =
                "budget " + std::to_string(budget).substr(0, 4) + " quantile " + std::to_string(quantile).substr(0, 4);
            variants.push_back({name, [budget, quantile](experiment &e) {
                                    e.runner.hedging = budget > 0;
                                    e.runner.hedgeBudget = budget;
                                    e.runner.hedgeQuantile = quantile;
                                }});
        }
    }
    return variants;
}

/** Returns the variants with the longer network delay between the southern availability zones. */
std::vector<variant> withDistantZones(std::vector<variant> variants)
{
    for (variant &one : variants) {
        one.change = [change = one.change](experiment &e) {
            e.hop = millis(1.5);
            change(e);
        };
    }
    return variants;
}

double medianOf(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

/** Prints one line per point, with medians over the seeds and the spread of p99, and writes one CSV line per run. */
class table
{
public:
    explicit table(const std::string &csvPath)
    {
        if (!csvPath.empty()) {
            m_csv.open(csvPath);
            m_csv << "variant,load,seed,p50,p99,p999,urgent_p99,ordinary_p99,goodput,answered,partial,refused,failed,"
                     "attempts,service_ms,refusal_ms,come_back,messages\n";
        }
        std::cout << std::left << std::setw(30) << "variant" << std::right;
        for (const char *head : {"load",
                                 "p50",
                                 "p99",
                                 "(spread)",
                                 "p99.9",
                                 "urg.p99",
                                 "goodput",
                                 "whole%",
                                 "refused%",
                                 "failed%",
                                 "attempts",
                                 "svc ms",
                                 "slow.ref",
                                 "comeback"}) {
            std::cout << std::setw(width) << head;
        }
        std::cout << '\n';
    }

    void addRow(const experiment &point, std::span<const measures> results)
    {
        const auto median = [&](auto value) {
            std::vector<double> values;
            std::ranges::transform(results, std::back_inserter(values), value);
            return medianOf(values);
        };
        std::vector<double> tails;
        std::ranges::transform(
            results, std::back_inserter(tails), [](const measures &m) { return m.all.quantile(0.99); });
        const auto [least, most] = std::ranges::minmax(tails);
        const auto share = [](std::uint64_t part, const measures &m) {
            return 100.0 * static_cast<double>(part) / std::max<double>(1, static_cast<double>(m.all.asked));
        };
        std::cout << std::left << std::setw(30) << point.variant << std::right << std::fixed << std::setprecision(2)
                  << std::setw(width) << point.load << std::setprecision(1);
        printColumn(median([](const measures &m) { return m.all.quantile(0.5); }));
        printColumn(median([](const measures &m) { return m.all.quantile(0.99); }));
        std::cout << std::setw(width) << "+-" + std::to_string(static_cast<int>((most - least) / 2));
        printColumn(median([](const measures &m) { return m.all.quantile(0.999); }));
        printColumn(median([](const measures &m) { return m.urgent.quantile(0.99); }));
        std::cout << std::setprecision(3);
        printColumn(median([](const measures &m) { return m.goodput; }));
        std::cout << std::setprecision(1);
        printColumn(median([&](const measures &m) { return share(m.all.answered - m.all.partial, m); }));
        printColumn(median([&](const measures &m) { return share(m.all.refused, m); }));
        printColumn(median([&](const measures &m) { return share(m.all.failed, m); }));
        std::cout << std::setprecision(3);
        printColumn(median([](const measures &m) { return m.attemptsPerFirstSend; }));
        std::cout << std::setprecision(1);
        printColumn(median([](const measures &m) { return m.serviceMsPerAnswer; }));
        printColumn(median([](const measures &m) { return m.all.maxRefusalMs; }));
        printColumn(median([](const measures &m) { return m.retrySuccessShare; }));
        std::cout << std::endl;
    }

    void addCsvRow(const experiment &point, const measures &m)
    {
        m_csv << '"' << point.variant << "\"," << point.load << ',' << point.seed << ',' << m.all.quantile(0.5) << ','
              << m.all.quantile(0.99) << ',' << m.all.quantile(0.999) << ',' << m.urgent.quantile(0.99) << ','
              << m.ordinary.quantile(0.99) << ',' << m.goodput << ',' << m.all.answered << ',' << m.all.partial << ','
              << m.all.refused << ',' << m.all.failed << ',' << m.attemptsPerFirstSend << ',' << m.serviceMsPerAnswer
              << ',' << m.all.maxRefusalMs << ',' << m.retrySuccessShare << ',' << m.peerMessagesPerLookup << '\n';
    }

private:
    static constexpr int width = 9;

    static void printColumn(double value)
    {
        std::cout << std::setw(width) << value;
    }

    std::ofstream m_csv;
};

struct suite {
    std::string name;
    std::vector<variant> variants;
    std::vector<double> loads;
};

struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t count = 3;
};

void runSuite(const suite &chosen, seed_range seeds, table &out)
{
    std::vector<experiment> points;
    for (const variant &one : chosen.variants) {
        for (const double load : chosen.loads) {
            for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
                experiment point = base();
                point.variant = one.name;
                point.load = load;
                point.seed = seed;
                one.change(point);
                points.push_back(point);
            }
        }
    }
    const std::vector<measures> results = runAll(points);
    for (std::size_t index = 0; index < points.size(); index += seeds.count) {
        out.addRow(points[index], std::span(results).subspan(index, seeds.count));
        for (std::size_t seed = 0; seed < seeds.count; ++seed) {
            out.addCsvRow(points[index + seed], results[index + seed]);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::string wanted = arguments.empty() ? "main" : arguments[0];
    const seed_range seeds {arguments.size() > 1 ? std::stoull(arguments[1]) : 1,
                            arguments.size() > 2 ? std::stoull(arguments[2]) : 3};
    const std::vector<suite> suites = {{"main", mainVariants(), {0.35, 0.5, 0.7, 0.9}},
                                       {"far", withDistantZones(mainVariants()), {0.35, 0.5, 0.7, 0.9}},
                                       {"overload", overloadVariants(), {0.5, 0.9, 1.2, 2, 4}},
                                       {"hedges", hedgeVariants(), {0.5}}};
    table out(arguments.size() > 3 ? arguments[3] : "");
    for (const suite &one : suites) {
        if (wanted == one.name || wanted == "all") {
            std::cout << "suite " << one.name << ", seeds " << seeds.first << " to " << seeds.first + seeds.count - 1
                      << '\n';
            runSuite(one, seeds, out);
        }
    }
    return 0;
}
