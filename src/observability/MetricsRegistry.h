#pragma once

#include "observability/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace magnoliadrum {

/** Counters, gauges and latency histograms of a process, by name and label text such as
 * entry="basket". */
class MetricsRegistry
{
public:
  /** Adds to a counter. */
  void count(const std::string& aName, const std::string& aLabels = "", std::int64_t aAmount = 1);

  /** Sets a gauge. */
  void set(const std::string& aName, const std::string& aLabels, double aValue);

  /** Records a latency in milliseconds. */
  void recordLatency(const std::string& aName, const std::string& aLabels, double aMs);

  /** Value of a counter; 0 when it was never counted. */
  std::int64_t counter(const std::string& aName, const std::string& aLabels = "") const;

  /** Histogram of a latency, or null. */
  const LatencyHistogram* latency(const std::string& aName, const std::string& aLabels) const;

  /** The text format that metrics collectors read; latencies as summaries with quantiles. */
  std::string text() const;

private:
  using Key = std::pair<std::string, std::string>;

  std::map<Key, std::int64_t> mCounters;
  std::map<Key, double> mGauges;
  std::map<Key, LatencyHistogram> mLatencies;
};

} // namespace magnoliadrum
