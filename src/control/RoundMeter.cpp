#include "control/RoundMeter.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

void
RoundMeter::endTerm()
{
  mSummary = {};
  mWasWaiting = false;
  mAcceptedAt.clear();
}

void
RoundMeter::onRound(const SchedulePlan& aPlan, MonotonicTime aNow)
{
  if (mWasWaiting) {
    const std::int64_t gapMs = aNow.msSince(mLatestRound);
    mMetrics.recordLatency("control_round_gap_ms", "", static_cast<double>(gapMs));
    mSummary.longestGapMs = std::max(mSummary.longestGapMs, gapMs);
  }
  mLatestRound = aNow;
  mWasWaiting = !aPlan.waiting.empty();
  mSummary.rounds++;
  mSummary.examinedWorkers += aPlan.examinedWorkers;
  mSummary.assignments += std::ssize(aPlan.assignments);
  mSummary.overdueAssignments += aPlan.overdueAssignments;
  mMetrics.count("control_rounds");
  mMetrics.count("control_examined_workers", "", aPlan.examinedWorkers);
  mMetrics.count("control_overdue_starts", "", aPlan.overdueAssignments);
}

void
RoundMeter::onAccepted(const Job& aJob, MonotonicTime aNow)
{
  if (!aJob.isRecurring()) {
    mAcceptedAt.emplace(aJob.jobId(), aNow);
  }
}

void
RoundMeter::onAssigned(const Job& aJob, MonotonicTime aNow)
{
  const auto accepted = mAcceptedAt.find(aJob.jobId());
  if (accepted == mAcceptedAt.end()) {
    return;
  }
  const bool isStanding = std::any_of(aJob.steps().begin(),
                                      aJob.steps().end(),
                                      [](const JobStep& aStep) { return aStep.longRunning(); });
  mMetrics.recordLatency("control_first_start_ms",
                         isStanding ? "kind=\"standing\"" : "kind=\"short\"",
                         static_cast<double>(aNow.msSince(accepted->second)));
  mAcceptedAt.erase(accepted);
}

RoundSummary
RoundMeter::takeSummary()
{
  return std::exchange(mSummary, {});
}

} // namespace magnoliadrum
