#pragma once

/** @file Budget of extra sends and measurement of service times; a part of policy.h. */

#include <base/base.h>

#include <array>
#include <cstddef>

namespace chivelock {

/** Token budget: each first send deposits a fraction of a token, so that extra sends stay a bounded share of them. */
class ratio_budget
{
public:
    explicit ratio_budget(double ratio)
        : m_ratio(ratio)
    {
    }

    void deposit();

    /** Takes one token. @return false if none is left. */
    [[nodiscard]] bool tryWithdraw();

private:
    static constexpr double maxTokens = 20;
    static constexpr double initialTokens = 3;
    double m_ratio;
    double m_tokens = initialTokens;
};

/** Quantiles and mean of recent times. Each bucket is 10 % wider than the one before; old samples decay. */
class latency_sketch
{
public:
    void add(millis sample);

    /** @return the quantile, or @p fallback while there are too few samples. */
    [[nodiscard]] millis quantile(double share, millis fallback) const;

    [[nodiscard]] millis mean(millis fallback) const;

private:
    static constexpr std::size_t bucketCount = 128;
    static constexpr double minSamples = 20;
    std::array<double, bucketCount> m_buckets {};
    double m_total = 0;
    double m_mean = 0;
};

} // namespace chivelock
