#include "experiment.h"

#include <fakes/documents.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

namespace chivelock::bench {

namespace {

using nlohmann::json;

constexpr millis warmUp {4000};

std::string catalogueFor(const experiment &config)
{
    const auto kind = [&config](const std::string &name) {
        return json {{"name", name},
                     {"owner", "bench"},
                     {"class", name},
                     {"service", "search"},
                     {"fan_out", "all"},
                     {"repeatable", true},
                     {"whole_only", config.requiresCompleteAnswer},
                     {"min_coverage", config.requiresCompleteAnswer ? 1.0 : 0.8},
                     {"soft_limit_ms",
                      config.requiresCompleteAnswer ? config.hardLimit.ceiled() : config.hardLimit.ceiled() / 2},
                     {"hard_limit_ms", config.hardLimit.ceiled()},
                     {"max_in_flight", 1000000},
                     {"max_per_second", 10000000},
                     {"max_rows", 1}};
    };
    return json {{"revision", 1}, {"kinds", {kind("urgent"), kind("ordinary")}}}.dump();
}

fakes::service_time_sampler serviceTimeSampler(const service_model &service)
{
    return [service](seeded_random &random) {
        const double exponential = -service.exponentialMs * std::log(1 - random.uniform());
        const bool straggles = random.uniform() < service.stragglerShare;
        return millis((service.baseMs + exponential) * (straggles ? service.stragglerFactor : 1));
    };
}

fakes::fleet_options optionsFor(const experiment &config)
{
    fakes::fleet_options options;
    options.entries = config.entries;
    options.topology = fakes::topologyText(1, {{"search", config.shards, config.leafsPerShard, config.slots, 1, 1}});
    options.vms = fakes::vmListText(1, config.entries);
    options.catalogue = catalogueFor(config);
    options.hop = config.hop;
    options.draw = serviceTimeSampler(config.service);
    options.seed = config.seed;
    options.entry.runner = config.runner;
    options.entry.root = config.root;
    return options;
}

/** Sends open-loop lookups to all entries and records the answers. */
class bench_run
{
public:
    explicit bench_run(const experiment &config)
        : m_config(config)
        , m_fleet(optionsFor(config))
        , m_random(config.seed * 77 + 5)
    {
        const double slots = static_cast<double>(config.leafsPerShard) * config.slots;
        m_capacityPerMs = slots / config.service.meanMs();
    }

    measures run()
    {
        m_begin = m_fleet.time().now() + warmUp;
        m_end = m_begin + m_config.duration;
        m_fleet.onAnswer = [this](const fakes::caller_record &caller) { onAnswer(caller); };
        m_fleet.time().at(m_fleet.time().now() + millis(1500), [this] { arrive(); });
        m_fleet.time().runUntil(m_begin);
        const double busyBefore = busyMs();
        const std::uint64_t messagesBefore = m_fleet.peerMessages();
        const runner_counters before = counters();
        m_fleet.time().runUntil(m_end);
        const double busy = busyMs() - busyBefore;
        const std::uint64_t messages = m_fleet.peerMessages() - messagesBefore;
        const runner_counters after = counters();
        m_fleet.time().runUntil(m_end + m_config.hardLimit + millis(500));
        return finish(busy, messages, before, after);
    }

private:
    void arrive()
    {
        if (m_fleet.time().now() >= m_end) {
            return;
        }
        ask(m_random.uniform() < m_config.urgentShare ? "urgent" : "ordinary", false);
        const double gap = -std::log(1 - m_random.uniform()) / (m_capacityPerMs * m_config.load);
        m_fleet.time().after(millis(gap), [this] { arrive(); });
    }

    void ask(const std::string &kind, bool isRetry)
    {
        lookup_request request;
        request.kind = {kind};
        request.remaining = m_config.hardLimit;
        const std::size_t entry = m_random.below(m_config.entries);
        request.requestId = isRetry ? "returned" : "first";
        request.honouredRetryAfter = isRetry;
        m_fleet.ask(entry, request);
    }

    void onAnswer(const fakes::caller_record &caller)
    {
        const lookup_answer &answer = caller.answers.back();
        const bool answered = answer.outcome == lookup_outcome::Whole || answer.outcome == lookup_outcome::Partial;
        const bool isRetry = caller.request.requestId == "returned";
        if (caller.askedAt >= m_begin && caller.askedAt < m_end) {
            recordAnswer(caller, answer, answered);
            m_refusedRetries += isRetry ? 1 : 0;
            m_refusedRetriesAnswered += isRetry && answered ? 1 : 0;
        }
        if (!answered && !isRetry && m_config.retryRefused && answer.retryAfter > millis()) {
            m_fleet.time().after(answer.retryAfter, [this, kind = caller.request.kind.value] { ask(kind, true); });
        }
    }

    void recordAnswer(const fakes::caller_record &caller, const lookup_answer &answer, bool answered)
    {
        const double took = (*caller.answeredAt - caller.askedAt).count();
        class_measures &ofClass = caller.request.kind.value == "urgent" ? m_result.urgent : m_result.ordinary;
        for (class_measures *one : {&ofClass, &m_result.all}) {
            ++one->asked;
            if (answered) {
                ++one->answered;
                one->partial += answer.outcome == lookup_outcome::Partial ? 1 : 0;
                one->latencies.push_back(took);
            } else if (answer.reason == answer_reason::Overloaded) {
                ++one->refused;
                one->maxRefusalMs = std::max(one->maxRefusalMs, took);
            } else {
                ++one->failed;
            }
        }
    }

    [[nodiscard]] double busyMs()
    {
        double sum = 0;
        std::ranges::for_each(m_fleet.leafs(), [&sum](const auto &item) { sum += item.second->busy().count(); });
        return sum;
    }

    [[nodiscard]] runner_counters counters()
    {
        runner_counters sum;
        for (std::size_t entry = 0; entry < m_config.entries; ++entry) {
            const runner_counters &one = m_fleet.core(entry).runnerCounters();
            sum.firstSends += one.firstSends;
            sum.retries += one.retries;
            sum.hedges += one.hedges;
        }
        return sum;
    }

    measures finish(double busy, std::uint64_t messages, const runner_counters &before, const runner_counters &after)
    {
        for (class_measures *one : {&m_result.urgent, &m_result.ordinary, &m_result.all}) {
            std::ranges::sort(one->latencies);
        }
        const double answered = std::max<double>(1, static_cast<double>(m_result.all.answered));
        const double first = std::max<double>(1, static_cast<double>(after.firstSends - before.firstSends));
        const double extra = static_cast<double>(after.hedges - before.hedges + after.retries - before.retries);
        m_result.attemptsPerFirstSend = 1 + extra / first;
        m_result.serviceMsPerAnswer = busy / answered;
        m_result.goodput = answered / m_config.duration.count() / m_capacityPerMs;
        m_result.refusedRetries = m_refusedRetries;
        m_result.retrySuccessShare = m_refusedRetries == 0
            ? 0
            : static_cast<double>(m_refusedRetriesAnswered) / static_cast<double>(m_refusedRetries);
        m_result.peerMessagesPerLookup =
            static_cast<double>(messages) / std::max<double>(1, static_cast<double>(m_result.all.asked));
        return std::move(m_result);
    }

    const experiment &m_config;
    fakes::fake_fleet m_fleet;
    seeded_random m_random;
    double m_capacityPerMs = 0;
    millis m_begin;
    millis m_end;
    std::uint64_t m_refusedRetries = 0;
    std::uint64_t m_refusedRetriesAnswered = 0;
    measures m_result;
};

} // namespace

double class_measures::quantile(double share) const
{
    if (latencies.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
    return latencies[std::min(index, latencies.size() - 1)];
}

measures run(const experiment &config)
{
    return bench_run(config).run();
}

std::vector<measures> runAll(const std::vector<experiment> &experiments)
{
    std::vector<measures> results(experiments.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < experiments.size(); index = next++) {
            results[index] = run(experiments[index]);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back(work);
    }
    std::ranges::for_each(threads, [](std::thread &thread) { thread.join(); });
    return results;
}

} // namespace chivelock::bench
