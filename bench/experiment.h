#pragma once

#include <fakes/fake_fleet.h>

#include <string>
#include <vector>

namespace chivelock::bench {

/** Distribution of service times: base plus exponential, multiplied by stragglerFactor for a share of requests. */
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

/** One measurement point: a variant of the policy settings at one load. */
struct experiment {
    std::string variant;
    double load = 0.5; ///< arrival rate, as a share of the capacity with this service model and without extra attempts
    std::uint64_t seed = 1;
    std::size_t entries = 8;
    std::uint32_t shards = 20;
    std::uint32_t leafsPerShard = 2;
    std::uint32_t slots = 2;
    millis hop {0.5};
    service_model service;
    double urgentShare = 0.2;
    millis hardLimit {10000}; ///< long enough to measure the full latency tail
    bool requiresCompleteAnswer = true;
    millis duration {30000};
    bool retryRefused = false; ///< refused callers retry once, after the given Retry-After time
    runner_settings runner;
    root_settings root;
};

/** Results for callers of one priority class. */
struct class_measures {
    std::vector<double> latencies; ///< of answered lookups, in ms, sorted when the run ends
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0; ///< not run, or ended early, because of overload
    std::uint64_t failed = 0; ///< ended without an answer for any other reason
    double maxRefusalMs = 0;

    [[nodiscard]] double quantile(double share) const;
};

/** Results of one experiment. */
struct measures {
    class_measures urgent;
    class_measures ordinary;
    class_measures all;
    double attemptsPerFirstSend = 0; ///< leaf requests sent per first request to a shard of an admitted lookup
    double serviceMsPerAnswer = 0; ///< leaf slot time per answered lookup
    double goodput = 0; ///< answered lookups per second, as a share of the capacity
    double retrySuccessShare = 0; ///< share of answered lookups among those retried after the given Retry-After time
    std::uint64_t refusedRetries = 0;
    double peerMessagesPerLookup = 0;
    double directCallsPerLeaf = 0;
};

/** Runs the experiment in virtual time. The same input always gives the same result. */
[[nodiscard]] measures run(const experiment &config);

/** Runs experiments on all processor cores and returns their results in the order of the input. */
[[nodiscard]] std::vector<measures> runAll(const std::vector<experiment> &experiments);

} // namespace chivelock::bench
