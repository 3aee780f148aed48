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

std::string catalogueFor(const experiment &what)
{
    const auto kind = [&what](const std::string &name) {
        return json {
            {"name", name},
            {"owner", "bench"},
            {"class", name},
            {"service", "search"},
            {"fan_out", "all"},
            {"repeatable", true},
            {"whole_only", what.requiresCompleteAnswer},
            {"min_coverage", what.requiresCompleteAnswer ? 1.0 : 0.8},
            {"soft_limit_ms", what.requiresCompleteAnswer ? what.hardLimit.ceiled() : what.hardLimit.ceiled() / 2},
            {"hard_limit_ms", what.hardLimit.ceiled()},
            {"max_in_flight", 1000000},
            {"max_per_second", 10000000},
            {"max_rows", 1}};
    };
    return json {{"revision", 1}, {"kinds", {kind("urgent"), kind("ordinary")}}}.dump();
}

fakes::service_time_sampler drawOf(const service_model &service)
{
    return [service](seeded_random &random) {
        const double exponential = -service.exponentialMs * std::log(1 - random.uniform());
        const bool straggles = random.uniform() < service.stragglerShare;
        return millis((service.baseMs + exponential) * (straggles ? service.stragglerFactor : 1));
    };
}

fakes::fleet_options optionsFor(const experiment &what)
{
    fakes::fleet_options options;
    options.entries = what.entries;
    options.topology = fakes::topologyText(1, {{"search", what.shards, what.leafsEach, what.slots, 1, 1}});
    options.vms = fakes::vmListText(1, what.entries);
    options.catalogue = catalogueFor(what);
    options.hop = what.hop;
    options.draw = drawOf(what.service);
    options.seed = what.seed;
    options.entry.runner = what.runner;
    options.entry.root = what.root;
    return options;
}

/** Open-loop callers on all entries, and what they see. */
class bench_run
{
public:
    explicit bench_run(const experiment &what)
        : m_what(what)
        , m_fleet(optionsFor(what))
        , m_random(what.seed * 77 + 5)
    {
        const double slots = static_cast<double>(what.leafsEach) * what.slots;
        m_capacityPerMs = slots / what.service.meanMs();
    }

    measures run()
    {
        m_begin = m_fleet.time().now() + warmUp;
        m_end = m_begin + m_what.duration;
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
        m_fleet.time().runUntil(m_end + m_what.hardLimit + millis(500));
        return finish(busy, messages, before, after);
    }

private:
    void arrive()
    {
        if (m_fleet.time().now() >= m_end) {
            return;
        }
        ask(m_random.uniform() < m_what.urgentShare ? "urgent" : "ordinary", false);
        const double gap = -std::log(1 - m_random.uniform()) / (m_capacityPerMs * m_what.load);
        m_fleet.time().after(millis(gap), [this] { arrive(); });
    }

    void ask(const std::string &kind, bool returned)
    {
        lookup_request request;
        request.kind = {kind};
        request.remaining = m_what.hardLimit;
        const std::size_t entry = m_random.below(m_what.entries);
        request.requestId = returned ? "returned" : "first";
        request.honouredRetryAfter = returned;
        m_fleet.ask(entry, request);
    }

    void onAnswer(const fakes::caller_record &caller)
    {
        const lookup_answer &answer = caller.answers.back();
        const bool answered = answer.outcome == lookup_outcome::Whole || answer.outcome == lookup_outcome::Partial;
        const bool returned = caller.request.requestId == "returned";
        if (caller.askedAt >= m_begin && caller.askedAt < m_end) {
            note(caller, answer, answered);
            m_comeBacks += returned ? 1 : 0;
            m_comeBackAnswered += returned && answered ? 1 : 0;
        }
        if (!answered && !returned && m_what.comeBack && answer.retryAfter > millis()) {
            m_fleet.time().after(answer.retryAfter, [this, kind = caller.request.kind.value] { ask(kind, true); });
        }
    }

    void note(const fakes::caller_record &caller, const lookup_answer &answer, bool answered)
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
                one->slowestRefusalMs = std::max(one->slowestRefusalMs, took);
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
        for (std::size_t entry = 0; entry < m_what.entries; ++entry) {
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
        m_result.attemptsPerNeeded = 1 + extra / first;
        m_result.serviceMsPerAnswer = busy / answered;
        m_result.goodput = answered / m_what.duration.count() / m_capacityPerMs;
        m_result.comeBacks = m_comeBacks;
        m_result.comeBackSuccess =
            m_comeBacks == 0 ? 0 : static_cast<double>(m_comeBackAnswered) / static_cast<double>(m_comeBacks);
        m_result.peerMessagesPerLookup =
            static_cast<double>(messages) / std::max<double>(1, static_cast<double>(m_result.all.asked));
        return std::move(m_result);
    }

    const experiment &m_what;
    fakes::fake_fleet m_fleet;
    seeded_random m_random;
    double m_capacityPerMs = 0;
    millis m_begin;
    millis m_end;
    std::uint64_t m_comeBacks = 0;
    std::uint64_t m_comeBackAnswered = 0;
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

measures run(const experiment &what)
{
    return bench_run(what).run();
}

std::vector<measures> runAll(const std::vector<experiment> &what)
{
    std::vector<measures> results(what.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < what.size(); index = next++) {
            results[index] = run(what[index]);
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
