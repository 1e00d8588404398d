#include "placement/SizeEstimator.h"

#include <cmath>

namespace magnoliadrum {

namespace {

/** Weight of a new sample once many are known; follows a changed entry within about 20 tasks. */
constexpr double kLowestGain = 0.1;

double
gain(std::int64_t aSamples)
{
  return std::max(kLowestGain, 1.0 / static_cast<double>(aSamples));
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
SizeEstimator::Moments::high(double aDeviations) const
{
  return mean + aDeviations * std::sqrt(variance);
}

SizeEstimator::Learned&
SizeEstimator::learned(std::uint32_t aEntry)
{
  if (mByEntry.size() <= aEntry) {
    mByEntry.resize(aEntry + 1);
  }
  return mByEntry[aEntry];
}

void
SizeEstimator::learnUse(std::uint32_t aEntry, const ResourceAmount& aPeak)
{
  Learned& changed = learned(aEntry);
  ++changed.samples;
  changed.cpuMilli.add(static_cast<double>(aPeak.cpuMilli), gain(changed.samples));
  changed.memoryMb.add(static_cast<double>(aPeak.memoryMb), gain(changed.samples));
}

void
SizeEstimator::learnRunTime(std::uint32_t aEntry, std::int64_t aRunMs)
{
  Learned& changed = learned(aEntry);
  ++changed.runs;
  changed.runMs += gain(changed.runs) * (static_cast<double>(aRunMs) - changed.runMs);
}

ResourceAmount
SizeEstimator::use(std::uint32_t aEntry, double aCpuDeviations, double aMemoryDeviations) const
{
  if (aEntry >= mByEntry.size() || mByEntry[aEntry].samples == 0) {
    return {};
  }
  const Learned& asked = mByEntry[aEntry];
  return { static_cast<std::int64_t>(asked.cpuMilli.high(aCpuDeviations)),
           static_cast<std::int64_t>(asked.memoryMb.high(aMemoryDeviations)),
           0 };
}

double
SizeEstimator::runMs(std::uint32_t aEntry) const
{
  return aEntry < mByEntry.size() ? mByEntry[aEntry].runMs : 0;
}

} // namespace magnoliadrum
