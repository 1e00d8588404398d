#pragma once

#include "control/ControlContext.h"
#include "control/RunTracker.h"
#include "control/WorkerFleet.h"
#include "jobs/EvacuationPlanner.h"
#include "observability/observability.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Keeps jobs out of the data centres that an operator has evacuated, moves the runs there, and
 * spreads the return of a data centre that is taken back.
 *
 * The set of evacuated data centres is replicated state. What this class holds itself belongs to
 * one leadership.
 */
class EvacuationDriver
{
public:
  /** The workers of a data centre that is taken back get their full room after this time (ms),
   * because they may be cold and would slow down all that moves there at once. It stays below the
   * 3 s in which a waiting task with room must start. */
  static constexpr std::int64_t kReturnMs = 2000;
  /** Share of their room that such workers get at first. */
  static constexpr double kFirstReturnShare = 0.25;

  /** Shortest time between two plans of moves (ms), which look at all runs. */
  static constexpr std::int64_t kPlanMs = 200;

  EvacuationDriver(const ControlContext& aContext, WorkerFleet& aFleet, RunTracker& aRuns);

  void endTerm();

  /** Whether nothing may start on the worker because its data centre is evacuated. */
  bool isClosed(const WorkerIncarnation& aIncarnation) const;

  /** Handles a committed evacuation or return. Returns the incarnations whose orders change. */
  std::set<IncarnationKey> onApplied(const EvacuationSet& aOutcome);

  /** Reduces the room of a worker whose data centre was taken back shortly before. */
  void limitReturning(const WorkerIncarnation& aIncarnation, WorkerCandidate& aCandidate) const;

  /**
   * Stops runs that are to leave evacuated data centres and returns the incarnations that need a
   * stop order; does nothing within kPlanMs of the last plan. aElsewhere holds the workers outside,
   * with the room that scheduling has left.
   */
  std::set<IncarnationKey> moveRuns(const std::vector<WorkerCandidate>& aElsewhere);

  /** Whether a worker has registered in the data centre during this leadership. */
  bool hasWorkerIn(const std::string& aDataCentre) const;

  /** Returns what is left in a data centre. */
  EvacuationStatus statusOf(const std::string& aDataCentre) const;

  void setGauges(MetricsRegistry& aMetrics) const;

private:
  const std::set<std::string>& evacuated() const;
  std::string dataCentreOf(const IncarnationKey& aKey) const;
  std::vector<EvacuatedRun> evacuatedRuns() const;
  /** Logs once for each evacuated data centre that no runs are left there. */
  void logEmptied(const std::map<std::string, std::int64_t>& aRuns);
  void forgetPlan();

  const ControlContext& mContext;
  WorkerFleet& mFleet;
  RunTracker& mRuns;
  std::map<std::string, MonotonicTime> mTakenBackAt;
  std::set<std::string> mEmptied;
  /** Numbers of runs that wait, by data centre, as of the latest plan. */
  std::map<std::string, std::int64_t> mWaitingForBudget;
  std::map<std::string, std::int64_t> mWaitingForRoom;
  /** Empty when the next plan is due at once. */
  std::optional<MonotonicTime> mPlannedAt;
  std::uint64_t mMoveCount = 0;
};

} // namespace magnoliadrum
