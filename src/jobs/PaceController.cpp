#include "jobs/PaceController.h"

#include <algorithm>

namespace magnoliadrum {

namespace {
constexpr std::int64_t kFullPercent = 100;
/** Divides the pace when a task comes near its objective. */
constexpr std::int64_t kFallDivisor = 2;
/** Below this pace the next fall is to a standstill. */
constexpr std::int64_t kLowPercent = 30;
} // namespace

std::int64_t
PaceController::update(double aWorstRatio, MonotonicTime aNow)
{
  if (aWorstRatio >= 1) {
    mPercent = mPercent > kLowPercent ? kLowPercent : 0;
    mChangedAt = aNow;
  } else if (aWorstRatio >= kNearObjective) {
    mPercent /= kFallDivisor;
    mChangedAt = aNow;
  } else if (aWorstRatio < kFarFromObjective && mPercent < kFullPercent &&
             aNow.msSince(mChangedAt) >= kRiseEveryMs) {
    mPercent = std::min(kFullPercent, mPercent + kRisePercent);
    mChangedAt = aNow;
  }
  return mPercent;
}

} // namespace magnoliadrum
