#pragma once

#include "placement/ResourceAmount.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/**
 * Learns what the tasks of an entry use and how long they run.
 *
 * Declared sizes and run times are far off, so new tasks are reserved by the larger of the declared
 * size and what most tasks of the entry were seen to use.
 */
class SizeEstimator
{
public:
  /** Takes in the highest use of one task, when it ends or its use has settled. */
  void learnUse(std::uint32_t aEntry, const ResourceAmount& aPeak);

  /** Takes in the run time of one finished task. */
  void learnRunTime(std::uint32_t aEntry, std::int64_t aRunMs);

  /**
   * Mean use plus the given numbers of standard deviations; zero before anything is learned.
   * Processor time can be throttled and memory cannot, so they need different safety.
   */
  ResourceAmount estimateUse(std::uint32_t aEntry,
                             double aCpuDeviations = 0,
                             double aMemoryDeviations = 0) const;

  /** Mean run time; zero before anything is learned. */
  double meanRunMs(std::uint32_t aEntry) const;

private:
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
