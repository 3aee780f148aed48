#include <metrics/metrics.h>

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>

namespace chivelock {

namespace {

namespace bh = boost::histogram;

constexpr unsigned bucketCount = 60;
constexpr double lowestEdgeMs = 0.25;
constexpr double highestEdgeMs = 60000;

using time_axis = bh::axis::regular<double, bh::axis::transform::log>;

prometheus::ClientMetric metricOf(const lookup_labels &labels, const latency_histogram &histogram)
{
    prometheus::ClientMetric metric;
    metric.label = {{"kind", labels.kind}, {"class", labels.priority}, {"outcome", labels.outcome}};
    metric.histogram.sample_count = histogram.count();
    metric.histogram.sample_sum = histogram.sumMs();
    for (const auto &bucket : histogram.cumulative()) {
        metric.histogram.bucket.push_back({bucket.count, bucket.upperMs});
    }
    return metric;
}

prometheus::MetricFamily familyOf(const metric_value &value)
{
    const bool isCounter = value.name.ends_with("_total");
    prometheus::MetricFamily family;
    family.name = value.name;
    family.help = value.help;
    family.type = isCounter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    return family;
}

prometheus::ClientMetric metricOf(const metric_value &value)
{
    prometheus::ClientMetric metric;
    if (!value.label.empty()) {
        metric.label = {{"cause", std::string(value.label)}};
    }
    metric.counter.value = value.value;
    metric.gauge.value = value.value;
    return metric;
}

} // namespace

struct latency_histogram::storage {
    decltype(bh::make_histogram(time_axis(bucketCount, lowestEdgeMs, highestEdgeMs))) counts =
        bh::make_histogram(time_axis(bucketCount, lowestEdgeMs, highestEdgeMs));
    std::uint64_t total = 0;
    double sumMs = 0;
};

latency_histogram::latency_histogram()
    : m_storage(std::make_unique<storage>())
{
}

latency_histogram::latency_histogram(latency_histogram &&) noexcept = default;
latency_histogram &latency_histogram::operator=(latency_histogram &&) noexcept = default;
latency_histogram::~latency_histogram() = default;

void latency_histogram::add(millis value)
{
    m_storage->counts(value.count());
    m_storage->sumMs += value.count();
    ++m_storage->total;
}

std::uint64_t latency_histogram::count() const
{
    return m_storage->total;
}

double latency_histogram::sumMs() const
{
    return m_storage->sumMs;
}

millis latency_histogram::quantile(double probability) const
{
    require(probability >= 0 && probability <= 1, "the probability of a quantile must be between 0 and 1");
    const double targetCount = probability * static_cast<double>(m_storage->total);
    const auto buckets = cumulative();
    const auto found = std::ranges::find_if(buckets, [targetCount](const cumulative_bucket &bucket) {
        return static_cast<double>(bucket.count) >= targetCount;
    });
    return m_storage->total == 0 || found == buckets.end() ? millis() : millis(std::min(found->upperMs, highestEdgeMs));
}

std::vector<latency_histogram::cumulative_bucket> latency_histogram::cumulative() const
{
    std::vector<cumulative_bucket> buckets;
    std::uint64_t countUpToEdge = 0;
    const auto &axis = m_storage->counts.axis();
    for (int index = -1; index <= axis.size(); ++index) {
        countUpToEdge += static_cast<std::uint64_t>(m_storage->counts.at(index));
        const bool last = index == axis.size();
        buckets.push_back({last ? std::numeric_limits<double>::infinity() : axis.value(index + 1), countUpToEdge});
    }
    return buckets;
}

void lookup_metrics::add(const lookup_labels &labels, millis elapsed)
{
    m_histograms[labels].add(elapsed);
}

std::string lookup_metrics::write(std::span<const metric_value> values) const
{
    std::vector<prometheus::MetricFamily> families;
    prometheus::MetricFamily lookups;
    lookups.name = "chivelock_lookup_milliseconds";
    lookups.help = "Time from receipt of a lookup to its final answer";
    lookups.type = prometheus::MetricType::Histogram;
    std::ranges::transform(m_histograms, std::back_inserter(lookups.metric), [](const auto &item) {
        return metricOf(item.first, item.second);
    });
    families.push_back(std::move(lookups));
    for (const metric_value &value : values) {
        if (families.back().name != value.name) {
            families.push_back(familyOf(value));
        }
        families.back().metric.push_back(metricOf(value));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace chivelock
