#include "observability/observability.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {
constexpr double kBucketWidth = 0.11;
} // namespace

// Guards against quantiles that are off by more than the bucket width.
BOOST_AUTO_TEST_CASE(quantiles_are_within_one_bucket)
{
  LatencyHistogram histogram;
  for (int ms = 1; ms <= 1000; ms++) {
    histogram.record(ms);
  }
  BOOST_TEST(histogram.total() == 1000);
  BOOST_TEST(histogram.quantile(0.5) >= 500);
  BOOST_TEST(histogram.quantile(0.5) <= 500 * (1 + kBucketWidth));
  BOOST_TEST(histogram.quantile(0.99) >= 990);
  BOOST_TEST(histogram.quantile(0.99) <= 990 * (1 + kBucketWidth));
}

BOOST_AUTO_TEST_CASE(counts_restore_and_merge)
{
  LatencyHistogram histogram;
  histogram.record(0);
  histogram.record(5);
  histogram.record(1e9);
  LatencyHistogram copy = LatencyHistogram::fromCounts(histogram.counts());
  copy.merge(histogram);
  BOOST_TEST(copy.total() == 6);
  BOOST_TEST(copy.quantile(1) == kLatencyHighestMs);
  BOOST_TEST(copy.countUpTo(5) == 4);
}

BOOST_AUTO_TEST_CASE(metrics_text_has_labels_and_quantiles)
{
  MetricsRegistry metrics;
  metrics.count("requests_total", "entry=\"basket\"", 2);
  metrics.recordLatency("latency_ms", "entry=\"basket\"", 3);
  const std::string text = metrics.text();
  BOOST_TEST(text.find("magnoliadrum_requests_total{entry=\"basket\"} 2") != std::string::npos);
  BOOST_TEST(text.find("quantile=\"0.99\"") != std::string::npos);
}
