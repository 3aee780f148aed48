#define BOOST_TEST_MODULE metrics
#include <boost/test/included/unit_test.hpp>

#include <metrics/metrics.h>

#include <vector>

using namespace chivelock;

BOOST_AUTO_TEST_CASE(quantile_error_is_within_one_bucket)
{
    latency_histogram histogram;
    for (int value = 1; value <= 1000; ++value) {
        histogram.add(millis(value));
    }
    BOOST_TEST(histogram.count() == 1000);
    BOOST_TEST(histogram.quantile(0.5).count() >= 500);
    BOOST_TEST(histogram.quantile(0.5).count() <= 500 * 1.25);
    BOOST_TEST(histogram.quantile(0.99).count() >= 990);
    BOOST_TEST(latency_histogram().quantile(0.5).count() == 0);
}

BOOST_AUTO_TEST_CASE(page_contains_buckets_labels_and_causes)
{
    lookup_metrics metrics;
    metrics.add({"recipes", "urgent", "whole"}, millis(5));
    const std::vector<metric_value> values = {{"x_total", "help", 3, "leaf"}, {"x_total", "help", 4, "own_queue"}};
    const std::string page = metrics.write(values);
    BOOST_TEST(page.find(R"(kind="recipes",class="urgent",outcome="whole")") != std::string::npos);
    BOOST_TEST(page.find(R"(x_total{cause="leaf"} 3)") != std::string::npos);
    BOOST_TEST(page.find(R"(x_total{cause="own_queue"} 4)") != std::string::npos);
    BOOST_TEST(page.find(R"(le="+Inf"} 1)") != std::string::npos);
}
