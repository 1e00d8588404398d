#pragma once

#include "core/core.h"
#include "jobs/jobs.h"
#include "observability/observability.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace magnoliadrum {

/** Scheduling rounds since an earlier time. */
struct RoundSummary
{
  std::int64_t rounds = 0;
  std::int64_t examinedWorkers = 0;
  std::int64_t assignments = 0;
  /** Assignments to jobs that can no longer complete in useful time. */
  std::int64_t overdueAssignments = 0;
  /** Longest time between the starts of two rounds, in ms. */
  std::int64_t longestGapMs = 0;

  friend bool operator==(const RoundSummary&, const RoundSummary&) = default;
};

/**
 * Measures what scheduling rounds cost and how long jobs wait for them:
 *
 * - control_round_gap_ms: time between the starts of two rounds while tasks wait
 * - control_first_start_ms, kind="standing" or "short": from the acceptance of a job to the commit
 *   of its first assignment
 * - control_rounds, control_examined_workers, control_overdue_starts: counters
 */
class RoundMeter
{
public:
  /** aMetrics outlives the meter. */
  explicit RoundMeter(MetricsRegistry& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void endTerm();

  /** Adds a round that starts at aNow. */
  void onRound(const SchedulePlan& aPlan, MonotonicTime aNow);

  /** Adds the acceptance of a job whose first task need not wait for a due time. */
  void onAccepted(const Job& aJob, MonotonicTime aNow);

  /** Adds an assignment of a task of the job. Only the first one counts. */
  void onAssigned(const Job& aJob, MonotonicTime aNow);

  /** Forgets a job that has ended. */
  void forget(const std::string& aJobId) { mAcceptedAt.erase(aJobId); }

  /** Returns the rounds since the last call. */
  RoundSummary takeSummary();

private:
  MetricsRegistry& mMetrics;
  RoundSummary mSummary;
  MonotonicTime mLatestRound;
  /** Tasks waited after the latest round. */
  bool mWasWaiting = false;
  /** Jobs without an assignment, by id. */
  std::map<std::string, MonotonicTime> mAcceptedAt;
};

} // namespace magnoliadrum
