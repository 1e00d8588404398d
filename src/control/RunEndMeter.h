#pragma once

#include "control/RunTracker.h"
#include "control/WorkerFleet.h"
#include "core/core.h"
#include "observability/observability.h"

#include <functional>
#include <map>

namespace magnoliadrum {

/**
 * Measures the steps from the end of a run at its worker to the use of its room, as latencies of
 * the process:
 *
 * - control_run_stop_ms: from the first order to stop a run to the report of its end
 * - control_run_end_commit_ms: from the report of the end of a run to its commit
 * - control_freed_room_reuse_ms: from the first commit of an end on a worker to the commit of the
 *   next assignment on it, while a long-running task without a run waits for a worker of its pool.
 *   The start order follows that commit at once.
 */
class RunEndMeter
{
public:
  explicit RunEndMeter(MetricsRegistry& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  void endTerm() { mFreedAt.clear(); }

  /** Adds a report of the end of a run. Only the first of a run counts. */
  void onReported(TrackedRun& aRun, MonotonicTime aNow);

  /** Adds the commit of the end of a run. aIsAwaited tells whether a long-running task waits for a
   * worker of the pool. Ends that no worker has reported do not count. */
  void onCommitted(const TrackedRun& aRun, bool aIsAwaited, MonotonicTime aNow);

  /** Adds the commit of an assignment. */
  void onAssigned(const IncarnationKey& aKey, MonotonicTime aNow);

  /** Drops the freed room of the incarnations for which aIsForgotten holds. */
  void forgetFreed(const std::function<bool(const IncarnationKey&)>& aIsForgotten);

private:
  MetricsRegistry& mMetrics;
  /** First commit of an end since the latest assignment, by incarnation. */
  std::map<IncarnationKey, MonotonicTime> mFreedAt;
};

} // namespace magnoliadrum
