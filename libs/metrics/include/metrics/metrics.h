#pragma once

/**
 * @file
 * Latency histograms (Boost.Histogram) and counts, written in the Prometheus text format. Used by one thread.
 */

#include <base/base.h>

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** What one histogram is about. */
struct lookup_labels {
    std::string kind;
    std::string priority;
    std::string outcome;
    auto operator<=>(const lookup_labels &) const = default;
};

/** One count or level to be written; the name ends in _total for a count that only rises. */
struct metric_value {
    std::string_view name;
    std::string_view help;
    double value = 0;
    std::string_view label; ///< value of the label "cause"; empty for none
};

/** Counts times in buckets that grow by a constant factor. */
class latency_histogram
{
public:
    latency_histogram();
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;
    ~latency_histogram();

    void add(millis value);
    [[nodiscard]] std::uint64_t count() const;

    /** @return the upper edge of the bucket that holds the quantile, zero without values. @pre 0 <= share <= 1. */
    [[nodiscard]] millis quantile(double share) const;

    /** Upper edge and count of values up to it, for each bucket, for exposition. */
    struct cumulative_bucket {
        double upperMs;
        std::uint64_t count;
    };
    [[nodiscard]] std::vector<cumulative_bucket> cumulative() const;
    [[nodiscard]] double sumMs() const;

private:
    struct storage;
    std::unique_ptr<storage> m_storage;
};

/** All histograms of one process. */
class lookup_metrics
{
public:
    void add(const lookup_labels &labels, millis elapsed);

    /** The whole page of /metrics. */
    [[nodiscard]] std::string write(std::span<const metric_value> values) const;

private:
    std::map<lookup_labels, latency_histogram> m_histograms;
};

} // namespace chivelock
