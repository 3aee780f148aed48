#include <hedging/hedging.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivelock {

namespace {

constexpr double bucketGrowth = 1.15; // wider than the interpolation error and narrower than the spread of the work
constexpr double firstBucketMs = 0.25; // upper bound of the first bucket
constexpr double keptShare = 1 - 1.0 / 300; // about 300 times are remembered, enough to tell a share of a few in 100
constexpr double minSamples = 60; // with fewer, the share of the pauses is unknown

} // namespace

double response_times::positionOf(millis time)
{
    static const double logGrowth = std::log(bucketGrowth);
    const double ms = time.count();
    return ms <= firstBucketMs ? std::max(0.0, ms / firstBucketMs) : 1 + std::log(ms / firstBucketMs) / logGrowth;
}

millis response_times::lowerBoundOf(double position)
{
    return millis(position <= 1 ? position * firstBucketMs : firstBucketMs * std::pow(bucketGrowth, position - 1));
}

void response_times::add(millis took)
{
    std::ranges::for_each(m_weights, [](float &weight) { weight *= static_cast<float>(keptShare); });
    const auto bucket = static_cast<std::size_t>(positionOf(took));
    m_weights[std::min(bucket, bucketCount - 1)] += 1;
    m_total = m_total * keptShare + 1;
}

double response_times::shareWithin(millis time) const
{
    const double position = positionOf(time);
    const auto whole = std::min(static_cast<std::size_t>(position), bucketCount);
    if (m_total <= 0) {
        return 0;
    }
    double within = std::accumulate(m_weights.begin(), m_weights.begin() + static_cast<std::ptrdiff_t>(whole), 0.0);
    if (whole < bucketCount) {
        within += m_weights[whole] * (position - static_cast<double>(whole));
    }
    return std::min(1.0, within / m_total);
}

millis response_times::quantile(double share) const
{
    double missing = share * m_total;
    for (std::size_t at = 0; at < bucketCount; ++at) {
        const double weight = m_weights[at];
        if (weight > 0 && missing <= weight) {
            return lowerBoundOf(static_cast<double>(at) + std::max(0.0, missing) / weight);
        }
        missing -= weight;
    }
    return lowerBoundOf(bucketCount);
}

bool response_times::hasEnoughSamples() const
{
    return m_total >= minSamples;
}

} // namespace chivelock
