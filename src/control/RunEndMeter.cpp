#include "control/RunEndMeter.h"

namespace magnoliadrum {

void
RunEndMeter::onReported(TrackedRun& aRun, MonotonicTime aNow)
{
  if (aRun.endReportedAt) {
    return;
  }
  aRun.endReportedAt = aNow;
  if (aRun.firstStopSentAt) {
    mMetrics.recordLatency(
      "control_run_stop_ms", "", static_cast<double>(aNow.msSince(*aRun.firstStopSentAt)));
  }
}

void
RunEndMeter::onCommitted(const TrackedRun& aRun, bool aIsAwaited, MonotonicTime aNow)
{
  if (!aRun.endReportedAt) {
    return;
  }
  mMetrics.recordLatency(
    "control_run_end_commit_ms", "", static_cast<double>(aNow.msSince(*aRun.endReportedAt)));
  if (aIsAwaited) {
    mFreedAt.emplace(aRun.incarnation, aNow);
  }
}

void
RunEndMeter::onAssigned(const IncarnationKey& aKey, MonotonicTime aNow)
{
  const auto freed = mFreedAt.find(aKey);
  if (freed == mFreedAt.end()) {
    return;
  }
  mMetrics.recordLatency(
    "control_freed_room_reuse_ms", "", static_cast<double>(aNow.msSince(freed->second)));
  mFreedAt.erase(freed);
}

void
RunEndMeter::forgetFreed(const std::function<bool(const IncarnationKey&)>& aIsForgotten)
{
  std::erase_if(mFreedAt, [&aIsForgotten](const auto& aItem) { return aIsForgotten(aItem.first); });
}

} // namespace magnoliadrum
