#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace magnoliadrum {

/** Buckets of every latency histogram: logarithmic, so that the relative error is the same
 * everywhere. */
inline constexpr int kLatencyBuckets = 160;
inline constexpr double kLatencyLowestMs = 0.05;
inline constexpr double kLatencyHighestMs = 600000.0;

/** A latency histogram in milliseconds on Boost.Histogram; the relative bucket width is about 11%.
 */
class LatencyHistogram
{
public:
  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& aOther);
  LatencyHistogram& operator=(const LatencyHistogram& aOther);
  ~LatencyHistogram();

  /** Restores a histogram from counts(); missing counts are zero and surplus ones are ignored. */
  static LatencyHistogram fromCounts(const std::vector<std::int64_t>& aCounts);

  void record(double aMs);

  std::int64_t total() const;

  /** Upper edge of the bucket that holds the quantile (0 to 1); 0 when nothing is recorded. */
  double quantile(double aShare) const;

  /** Recorded values at or below aMs, exact to one bucket. */
  std::int64_t countUpTo(double aMs) const;

  /** Counts per bucket: underflow, kLatencyBuckets buckets, overflow. */
  std::vector<std::int64_t> counts() const;

  void merge(const LatencyHistogram& aOther);

private:
  struct Storage;
  std::unique_ptr<Storage> mStorage;
};

} // namespace magnoliadrum
