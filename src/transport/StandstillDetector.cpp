#include "transport/StandstillDetector.h"

namespace magnoliadrum {

void
StandstillDetector::onTick(MonotonicTime aNow)
{
  if (mLastTickAt && aNow.msSince(*mLastTickAt) >= kShortestMs) {
    mBeganAt = *mLastTickAt;
    mEndedAt = aNow;
  }
  mLastTickAt = aNow;
}

MonotonicTime
StandstillDetector::earliestArrival(MonotonicTime aNow) const
{
  // After a standstill, requests may be read before the first tick.
  if (mLastTickAt && aNow.msSince(*mLastTickAt) >= kShortestMs) {
    return *mLastTickAt;
  }
  return mEndedAt && aNow.msSince(*mEndedAt) <= kBacklogMs ? mBeganAt : aNow;
}

} // namespace magnoliadrum
