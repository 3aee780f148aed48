#include <policy/policy.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivelock {

namespace {

constexpr double bucketGrowth = 1.1; ///< ratio of the upper bounds of neighbouring buckets
constexpr double firstBucketMs = 0.05;
constexpr double decayFactor = 0.999; ///< per sample, so that about the last thousand samples count
constexpr double meanWeight = 0.02;

std::size_t bucketIndex(millis sample, std::size_t count)
{
    const double steps = std::log(std::max(sample.count(), firstBucketMs) / firstBucketMs) / std::log(bucketGrowth);
    return std::min(count - 1, static_cast<std::size_t>(steps));
}

} // namespace

void ratio_budget::deposit()
{
    m_tokens = std::min(maxTokens, m_tokens + m_ratio);
}

bool ratio_budget::tryWithdraw()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void latency_sketch::add(millis sample)
{
    // New samples get a growing weight: scaling the buckets down instead would touch each of them for every sample.
    // All weights are scaled back before they grow too large.
    constexpr double largestWeight = 1e9;
    const double weight = m_total > 0 ? m_total * (1 - decayFactor) + 1 : 1;
    m_buckets.at(bucketIndex(sample, bucketCount)) += weight;
    m_total += weight;
    m_mean = m_mean == 0 ? sample.count() : m_mean + meanWeight * (sample.count() - m_mean);
    if (m_total > largestWeight) {
        const double scale = minSamples * 10 / m_total;
        std::ranges::for_each(m_buckets, [scale](double &bucket) { bucket *= scale; });
        m_total *= scale;
    }
}

millis latency_sketch::quantile(double share, millis fallback) const
{
    if (m_total < minSamples) {
        return fallback;
    }
    double wanted = share * m_total;
    const auto reached = std::ranges::find_if(m_buckets, [&wanted](double bucket) {
        wanted -= bucket;
        return wanted <= 0;
    });
    const auto index = std::min<std::ptrdiff_t>(reached - m_buckets.begin(), bucketCount - 1);
    return millis(firstBucketMs * std::pow(bucketGrowth, static_cast<double>(index) + 1));
}

millis latency_sketch::mean(millis fallback) const
{
    return m_total < 1 ? fallback : millis(m_mean);
}

} // namespace chivelock
