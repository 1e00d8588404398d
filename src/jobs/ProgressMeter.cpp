#include "jobs/ProgressMeter.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

void
ProgressMeter::observe(std::int64_t aClockMs, double aPercent, std::int64_t aPacePercent)
{
  constexpr double kFullPercent = 100;
  if (mFirstClockMs == 0) {
    mFirstClockMs = aClockMs;
    mClockMs = aClockMs;
    mFirstPercent = aPercent;
    mPercent = aPercent;
    return;
  }
  if (aClockMs <= mClockMs) {
    return;
  }
  const double elapsedMs = static_cast<double>(aClockMs - mClockMs);
  const double speed = std::max(0.0, aPercent - mPercent) / elapsedMs;
  const bool isFirstSpeed = !hasSamples();
  const double weight = isFirstSpeed ? 1 : 1 - std::exp(-elapsedMs / kMeanTimeMs);
  mPercentPerMs += weight * (speed - mPercentPerMs);
  mWorkedMs += elapsedMs * static_cast<double>(aPacePercent) / kFullPercent;
  mPercent = std::max(mPercent, aPercent);
  mClockMs = aClockMs;
}

} // namespace magnoliadrum
