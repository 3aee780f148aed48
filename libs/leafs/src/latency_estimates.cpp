#include <leafs/leafs.h>

#include <algorithm>
#include <cmath>

namespace chivelock {

namespace {

// Relative change of an estimate by one value. The estimate follows a change within about 20 answers.
constexpr double trackerStep = 0.1;
// This share of the answers arrives before a hedge is sent. A hedge occupies a slot of a leaf that is half loaded, and
// mostly transfers bytes from another zone.
constexpr double hedgeQuantile = 0.98;
constexpr double initialMedianShare = 0.15; // of the objective, before the first answers
constexpr double initialTailShare = 0.3;
constexpr double minHedgeOverMedian = 1.4; // an earlier hedge would mostly cross the first answer in transit
constexpr double lateShareOfOverload = 0.15; // single slow leafs, whose shards are hedged, rarely add up to more
constexpr millis lateShareMemory(3000);
constexpr double maxHedgeOverObjective = 0.45; // a later hedge could not be answered in time either

} // namespace

void quantile_tracker::add(millis value)
{
    const bool above = value > m_estimate;
    m_estimate = m_estimate * (above ? 1 + trackerStep * m_quantile : 1 - trackerStep * (1 - m_quantile));
    constexpr millis minEstimate(0.1); // an estimate of zero could never grow again
    m_estimate = std::max(m_estimate, minEstimate);
}

double late_part_share::keptAt(millis now) const
{
    return std::exp(-std::max((now - m_updatedAt).count(), 0.0) / lateShareMemory.count());
}

void late_part_share::add(std::size_t late, std::size_t all, millis now)
{
    const double kept = keptAt(now);
    m_late = m_late * kept + static_cast<double>(late);
    m_all = m_all * kept + static_cast<double>(all);
    m_updatedAt = now;
}

double late_part_share::at(millis now) const
{
    constexpr double minParts = 1; // fewer are left of a time too long ago
    return m_all * keptAt(now) < minParts ? 0 : m_late / m_all;
}

route_latency::route_latency(millis latencyObjective)
    : typical(0.5, latencyObjective * initialMedianShare)
    , slow(hedgeQuantile, latencyObjective * initialTailShare)
    , objective(latencyObjective)
{
}

void route_latency::add(millis took, millis worked)
{
    typical.add(worked);
    slow.add(took);
    times.add(took);
}

millis route_latency::hedgeDelay() const
{
    const millis minDelay = typical.estimate() * minHedgeOverMedian;
    const millis maxDelay = std::max(minDelay, objective * maxHedgeOverObjective);
    return std::clamp(slow.estimate(), minDelay, maxDelay);
}

bool route_latency::needsLateParts(millis now) const
{
    return late.at(now) > lateShareOfOverload;
}

} // namespace chivelock
