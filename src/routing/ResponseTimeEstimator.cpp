#include "routing/ResponseTimeEstimator.h"

namespace magnoliadrum {

namespace {
/** Weight of a new sample: the mean follows a change within about a hundred responses. */
constexpr double kSampleWeight = 0.02;
constexpr double kRequiredTimeFactor = 2;
} // namespace

void
ResponseTimeEstimator::record(std::int64_t aResponseTimeMs)
{
  const double sample = static_cast<double>(aResponseTimeMs);
  mMeanMs += (mMeanMs == 0 ? 1 : kSampleWeight) * (sample - mMeanMs);
}

std::int64_t
ResponseTimeEstimator::requiredMs() const
{
  return static_cast<std::int64_t>(kRequiredTimeFactor * mMeanMs);
}

} // namespace magnoliadrum
