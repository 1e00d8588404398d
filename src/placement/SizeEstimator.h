#pragma once

#include "placement/ResourceAmount.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/**
 * Learns the resource use and run time of the tasks of each entry.
 *
 * Declared sizes and run times are inaccurate, so the reservation of a new task is the larger of
 * the declared size and the use of most earlier tasks of the entry.
 */
class SizeEstimator
{
public:
  /** Learns from the peak use of one task, after it ended or its memory use became stable. */
  void learnUse(std::uint32_t aEntry, const ResourceAmount& aPeak);

  /** Learns from the run time of one completed task. */
  void learnRunTime(std::uint32_t aEntry, std::int64_t aRunMs);

  /**
   * Returns the mean use plus the given numbers of standard deviations; zero without samples. CPU
   * and memory take separate numbers because CPU time can be throttled and memory cannot.
   */
  ResourceAmount estimateUse(std::uint32_t aEntry,
                             double aCpuDeviations = 0,
                             double aMemoryDeviations = 0) const;

  /** Returns the mean run time; zero without samples. */
  double meanRunMs(std::uint32_t aEntry) const;

private:
  /** Exponentially weighted mean and variance. */
  struct Moments
  {
    double mean = 0;
    double variance = 0;

    void add(double aValue, double aGain);
    double upperEstimate(double aDeviations) const;
  };

  struct EntryStatistics
  {
    std::int64_t samples = 0;
    std::int64_t runs = 0;
    Moments cpuMilli;
    Moments memoryMb;
    double meanRunMs = 0;
  };

  EntryStatistics& statisticsOf(std::uint32_t aEntry);

  std::vector<EntryStatistics> mByEntry;
};

} // namespace magnoliadrum
