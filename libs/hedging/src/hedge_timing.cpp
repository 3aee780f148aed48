#include <hedging/hedging.h>

#include <algorithm>

namespace chivelock {

namespace {

constexpr double minHedgeOverMedian = 1.4; // an earlier hedge would mostly cross the first answer in transit
constexpr double clearlyBelow = 0.7; // the chance of the first answer relative to the second one's
constexpr double minSecondChance = 0.5; // below it, most hedges would be answered too late
constexpr double lastChanceShare = 0.9; // of the chance of a second request that is sent at once
constexpr double stepFactor = 1.08; // between the times that are considered
constexpr millis minHedgeDelay(1);
constexpr double unseenAnswers = 1; // requests assumed to be lost, so that no chance is certain
// Of the extra requests that the fleet allows. The rest is for retries of failed requests, and for the requests of a
// second when more leafs than usual are slow.
constexpr double leastUrgentShare = 0.35;
constexpr double mostUrgentShare = 0.55;

} // namespace

std::string_view toString(hedge_reason reason)
{
    switch (reason) {
    case hedge_reason::Pays:
        return "pays";
    case hedge_reason::LastChance:
        return "last_chance";
    case hedge_reason::Late:
        return "late";
    }
    return "unknown";
}

double hedgeShare(double budgetRatio, double urgency)
{
    return budgetRatio * (leastUrgentShare + (mostUrgentShare - leastUrgentShare) * std::clamp(urgency, 0.0, 1.0));
}

double hedge_timing::firstChance(millis age, millis timeLeft) const
{
    if (age >= timeLeft) {
        return 0;
    }
    const double answered = m_times.shareWithin(age);
    const double unanswered = 1 - answered + unseenAnswers / std::max(1.0, m_times.samples());
    return (m_times.shareWithin(timeLeft) - answered) / unanswered;
}

double hedge_timing::secondChance(millis age, const hedge_conditions &given) const
{
    const millis left = given.timeLeft - age - given.hop;
    return left > millis() ? m_times.shareWithin(left) : 0;
}

std::optional<hedge_decision> hedge_timing::decide(const hedge_conditions &given) const
{
    if (!m_times.hasEnoughSamples()) {
        return std::nullopt;
    }
    constexpr double median = 0.5;
    const double immediate = secondChance(millis(), given);
    std::optional<millis> lastChance;
    for (millis age = std::max(minHedgeDelay, m_times.quantile(median) * minHedgeOverMedian); age < given.timeLeft;
         age = age * stepFactor) {
        const double second = secondChance(age, given);
        if (second < minSecondChance) {
            break;
        }
        if (firstChance(age, given.timeLeft) >= second * clearlyBelow) {
            continue;
        }
        if (1 - m_times.shareWithin(age) <= given.maxShare) {
            return hedge_decision {age, hedge_reason::Pays};
        }
        if (!lastChance || second >= immediate * lastChanceShare) {
            lastChance = age;
        }
    }
    if (lastChance) {
        return hedge_decision {*lastChance, hedge_reason::LastChance};
    }
    return hedge_decision {std::max(given.timeLeft, m_times.quantile(1 - given.maxShare)), hedge_reason::Late};
}

} // namespace chivelock
