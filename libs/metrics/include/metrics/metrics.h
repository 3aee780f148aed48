#pragma once

/**
 * @file
 * Latency histograms (Boost.Histogram), counters and gauges, written in the Prometheus text format. Not thread-safe.
 */

#include <base/base.h>

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelock {

/** Labels of one latency histogram. */
struct lookup_labels {
    std::string kind;
    std::string priority;
    std::string outcome;
    auto operator<=>(const lookup_labels &) const = default;
};

/** Value of a counter or gauge to be written. A name that ends in _total marks a counter, which only increases. */
struct metric_value {
    std::string_view name;
    std::string_view help;
    double value = 0;
    std::string_view label; ///< value of the label "cause"; empty: the metric has no label
};

/** Counts durations in buckets whose width grows by a constant factor. */
class latency_histogram
{
public:
    latency_histogram();
    latency_histogram(latency_histogram &&) noexcept;
    latency_histogram &operator=(latency_histogram &&) noexcept;
    ~latency_histogram();

    void add(millis value);
    [[nodiscard]] std::uint64_t count() const;

    /** @return the upper edge of the bucket that contains the quantile, or zero without values.
     *  @pre 0 <= probability <= 1. */
    [[nodiscard]] millis quantile(double probability) const;

    /** Upper edge of a bucket and the number of values up to that edge, as the Prometheus text format needs them. */
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

/** All lookup latency histograms of one process. */
class lookup_metrics
{
public:
    void add(const lookup_labels &labels, millis elapsed);

    /** @return the full text of the /metrics page: the histograms and @p values. */
    [[nodiscard]] std::string write(std::span<const metric_value> values) const;

private:
    std::map<lookup_labels, latency_histogram> m_histograms;
};

} // namespace chivelock
