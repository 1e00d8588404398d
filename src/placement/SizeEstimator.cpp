#include "placement/SizeEstimator.h"

#include <cmath>

namespace magnoliadrum {

namespace {

/** Minimum weight of a new sample; the estimate adapts to a changed entry within about 20 tasks. */
constexpr double kMinGain = 0.1;

double
gain(std::int64_t aSamples)
{
  return std::max(kMinGain, 1.0 / static_cast<double>(aSamples));
}

} // namespace

void
SizeEstimator::Moments::add(double aValue, double aGain)
{
  const double difference = aValue - mean;
  mean += aGain * difference;
  variance = (1 - aGain) * (variance + aGain * difference * difference);
}

double
SizeEstimator::Moments::upperEstimate(double aDeviations) const
{
  return mean + aDeviations * std::sqrt(variance);
}

SizeEstimator::EntryStatistics&
SizeEstimator::statisticsOf(std::uint32_t aEntry)
{
  if (mByEntry.size() <= aEntry) {
    mByEntry.resize(aEntry + 1);
  }
  return mByEntry[aEntry];
}

void
SizeEstimator::learnUse(std::uint32_t aEntry, const ResourceAmount& aPeak)
{
  EntryStatistics& statistics = statisticsOf(aEntry);
  ++statistics.samples;
  statistics.cpuMilli.add(static_cast<double>(aPeak.cpuMilli), gain(statistics.samples));
  statistics.memoryMb.add(static_cast<double>(aPeak.memoryMb), gain(statistics.samples));
}

void
SizeEstimator::learnRunTime(std::uint32_t aEntry, std::int64_t aRunMs)
{
  EntryStatistics& statistics = statisticsOf(aEntry);
  ++statistics.runs;
  statistics.meanRunMs +=
    gain(statistics.runs) * (static_cast<double>(aRunMs) - statistics.meanRunMs);
}

ResourceAmount
SizeEstimator::estimateUse(std::uint32_t aEntry,
                           double aCpuDeviations,
                           double aMemoryDeviations) const
{
  if (aEntry >= mByEntry.size() || mByEntry[aEntry].samples == 0) {
    return {};
  }
  const EntryStatistics& statistics = mByEntry[aEntry];
  return { static_cast<std::int64_t>(statistics.cpuMilli.upperEstimate(aCpuDeviations)),
           static_cast<std::int64_t>(statistics.memoryMb.upperEstimate(aMemoryDeviations)),
           0 };
}

double
SizeEstimator::meanRunMs(std::uint32_t aEntry) const
{
  return aEntry < mByEntry.size() ? mByEntry[aEntry].meanRunMs : 0;
}

} // namespace magnoliadrum
