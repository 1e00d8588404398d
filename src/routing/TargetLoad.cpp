#include "routing/TargetLoad.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace magnoliadrum {

namespace {
/**
 * In the routing experiment, a longer half-life gave fewer refusals but left slots idle: at 90%
 * load with 2 gateways, the 99th percentile of the latency was 67 ms with a half-life of 20 ms,
 * 75 ms with 50 ms and 85 ms with 250 ms.
 */
constexpr double kOthersHalfLifeMs = 20;
} // namespace

void
TargetLoad::recordEnd()
{
  assert(mOwnOutstanding > 0);
  mOwnOutstanding--;
}

void
TargetLoad::recordReport(std::int64_t aOutstanding, MonotonicTime aNow)
{
  mOthersOutstanding =
    static_cast<double>(std::max<std::int64_t>(0, aOutstanding - mOwnOutstanding));
  mReportedAt = aNow;
}

double
TargetLoad::outstanding(MonotonicTime aNow) const
{
  const double ageMs = static_cast<double>(std::max<std::int64_t>(0, aNow.msSince(mReportedAt)));
  return static_cast<double>(mOwnOutstanding) +
         mOthersOutstanding * std::exp2(-ageMs / kOthersHalfLifeMs);
}

bool
TargetLoad::hasFreeSlot(MonotonicTime aNow) const
{
  // Rounds the estimate to whole requests.
  constexpr double kRoundingMargin = 0.5;
  return outstanding(aNow) < static_cast<double>(mSlots) - kRoundingMargin &&
         mOwnOutstanding < mSlots;
}

} // namespace magnoliadrum
