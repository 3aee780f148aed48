#pragma once

#include <fakes/fake_fleet.h>

#include <string>
#include <vector>

namespace chivelock::bench {

/** Service times of one request: base + exponential, and a share of stragglers. */
struct service_model {
    double baseMs = 2;
    double exponentialMs = 8;
    double stragglerShare = 0.05;
    double stragglerFactor = 10;

    [[nodiscard]] double meanMs() const
    {
        return (baseMs + exponentialMs) * (1 + stragglerShare * (stragglerFactor - 1));
    }
};

/** One point: a variant of the policy under one load. */
struct experiment {
    std::string variant;
    double load = 0.5; ///< of the capacity with this service model and no extra attempts
    std::uint64_t seed = 1;
    std::size_t entries = 8;
    std::uint32_t shards = 20;
    std::uint32_t leafsEach = 2;
    std::uint32_t slots = 2;
    millis hop {0.5};
    service_model service;
    double urgentShare = 0.2;
    millis hardLimit {10000}; ///< long: the whole tail is seen
    bool requiresCompleteAnswer = true;
    millis duration {30000};
    bool comeBack = false; ///< refused callers return once, when told
    runner_settings runner;
    root_settings root;
};

/** What callers of one class saw. */
struct class_measures {
    std::vector<double> latencies; ///< of answered lookups, ms, sorted at the end
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0; ///< not run, or given up for overload
    std::uint64_t failed = 0; ///< any other end
    double slowestRefusalMs = 0;

    [[nodiscard]] double quantile(double share) const;
};

struct measures {
    class_measures urgent;
    class_measures ordinary;
    class_measures all;
    double attemptsPerNeeded = 0; ///< leaf requests sent for each shard of each admitted lookup's first try
    double serviceMsPerAnswer = 0; ///< time of leafs' slots for each answered lookup
    double goodput = 0; ///< answered lookups per second over the capacity
    double comeBackSuccess = 0; ///< of refused callers who returned when told
    std::uint64_t comeBacks = 0;
    double peerMessagesPerLookup = 0;
    double directCallsPerLeaf = 0;
};

/** Runs the experiment in virtual time; the same input gives the same output. */
[[nodiscard]] measures run(const experiment &what);

/** Runs many on all cores, in order of the input. */
[[nodiscard]] std::vector<measures> runAll(const std::vector<experiment> &what);

} // namespace chivelock::bench
