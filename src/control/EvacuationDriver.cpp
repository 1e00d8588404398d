#include "control/EvacuationDriver.h"

#include "state/BuildValue.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

constexpr double kFullPercent = 100;

bool
isAtWork(const TrackedRun& aRun)
{
  return aRun.isConfirmed && !aRun.shouldStop && !aRun.endProposed && !aRun.missingSince &&
         aRun.progressPercent >= kFullPercent;
}

/** Numbers of runs by data centre. */
std::map<std::string, std::int64_t>
countByDataCentre(const std::vector<EvacuatedRun>& aRuns)
{
  std::map<std::string, std::int64_t> counts;
  for (const EvacuatedRun& run : aRuns) {
    counts[run.dataCentre]++;
  }
  return counts;
}

std::int64_t
countIn(const std::map<std::string, std::int64_t>& aCounts, const std::string& aDataCentre)
{
  const auto position = aCounts.find(aDataCentre);
  return position == aCounts.end() ? 0 : position->second;
}

std::size_t
sumOf(const std::map<std::string, std::int64_t>& aCounts)
{
  std::size_t sum = 0;
  for (const auto& [dataCentre, count] : aCounts) {
    sum += static_cast<std::size_t>(count);
  }
  return sum;
}

std::int64_t
scaled(std::int64_t aAmount, double aShare)
{
  return static_cast<std::int64_t>(static_cast<double>(aAmount) * aShare);
}

} // namespace

EvacuationDriver::EvacuationDriver(const ControlContext& aContext,
                                   WorkerFleet& aFleet,
                                   RunTracker& aRuns)
  : mContext(aContext)
  , mFleet(aFleet)
  , mRuns(aRuns)
{
}

void
EvacuationDriver::endTerm()
{
  mTakenBackAt.clear();
  mEmptied.clear();
  forgetPlan();
}

void
EvacuationDriver::forgetPlan()
{
  mWaitingForBudget.clear();
  mWaitingForRoom.clear();
  mPlannedAt.reset();
}

const std::set<std::string>&
EvacuationDriver::evacuated() const
{
  return mContext.mState.sessions().evacuated();
}

bool
EvacuationDriver::isClosed(const WorkerIncarnation& aIncarnation) const
{
  return evacuated().contains(aIncarnation.description.dataCentre());
}

std::string
EvacuationDriver::dataCentreOf(const IncarnationKey& aKey) const
{
  const WorkerIncarnation* incarnation = mFleet.find(aKey);
  return incarnation != nullptr ? incarnation->description.dataCentre() : std::string();
}

std::set<IncarnationKey>
EvacuationDriver::onApplied(const EvacuationSet& aOutcome)
{
  std::set<IncarnationKey> affected;
  if (!aOutcome.mChanged) {
    return affected;
  }
  mPlannedAt.reset();
  const std::string& dataCentre = aOutcome.mDataCentre;
  if (aOutcome.mEvacuated) {
    mTakenBackAt.erase(dataCentre);
  } else {
    mTakenBackAt[dataCentre] = mContext.mNow();
    mEmptied.erase(dataCentre);
  }
  for (const auto& [key, incarnation] : mFleet.incarnations()) {
    if (incarnation.description.dataCentre() == dataCentre) {
      affected.insert(key);
    }
  }
  const EvacuationStatus status = statusOf(dataCentre);
  logInfo(aOutcome.mEvacuated ? "data centre evacuated" : "data centre taken back",
          { { "dataCentre", dataCentre },
            { "workers", status.workers() },
            { "longRunningRuns", status.longRunningRuns() },
            { "otherRuns", status.otherRuns() } });
  return affected;
}

void
EvacuationDriver::limitReturning(const WorkerIncarnation& aIncarnation,
                                 WorkerCandidate& aCandidate) const
{
  const auto position = mTakenBackAt.find(aIncarnation.description.dataCentre());
  if (position == mTakenBackAt.end()) {
    return;
  }
  const std::int64_t elapsedMs = mContext.mNow().msSince(position->second);
  if (elapsedMs >= kReturnMs) {
    return;
  }
  const double elapsedShare = static_cast<double>(elapsedMs) / kReturnMs;
  const double share = kFirstReturnShare + (1 - kFirstReturnShare) * elapsedShare;
  aCandidate.capacity = { scaled(aCandidate.capacity.cpuMilli, share),
                          scaled(aCandidate.capacity.memoryMb, share),
                          scaled(aCandidate.capacity.accelerators, share) };
  // The room comes back by itself, so nothing is stopped for it.
  aCandidate.evictable.clear();
}

std::vector<EvacuatedRun>
EvacuationDriver::evacuatedRuns() const
{
  std::map<std::string, std::int64_t> atWork;
  for (const auto& [name, run] : mRuns.runs()) {
    if (run.step().longRunning() && isAtWork(run)) {
      atWork[stepName(run.task)]++;
    }
  }
  std::vector<EvacuatedRun> runs;
  for (const auto& [name, run] : mRuns.runs()) {
    const std::string dataCentre = dataCentreOf(run.incarnation);
    if (!evacuated().contains(dataCentre)) {
      continue;
    }
    EvacuatedRun evacuatedRun{ .task = run.task,
                               .run = run.run,
                               .dataCentre = dataCentre,
                               .poolName = run.job->queue().poolName(),
                               .step = &run.step(),
                               .progressPercent = run.progressPercent,
                               .hasCheckpoint = !run.checkpoint.empty(),
                               .isStopping =
                                 run.shouldStop || run.endProposed || run.job->isFinished() };
    const std::int64_t othersAtWork = atWork[stepName(run.task)] - (isAtWork(run) ? 1 : 0);
    evacuatedRun.otherUnavailableTasks = run.step().count() - 1 - othersAtWork;
    runs.push_back(std::move(evacuatedRun));
  }
  return runs;
}

std::set<IncarnationKey>
EvacuationDriver::moveRuns(const std::vector<WorkerCandidate>& aElsewhere)
{
  std::set<IncarnationKey> affected;
  if (evacuated().empty()) {
    forgetPlan();
    return affected;
  }
  const MonotonicTime now = mContext.mNow();
  if (mPlannedAt && now.msSince(*mPlannedAt) < kPlanMs) {
    return affected;
  }
  mPlannedAt = now;
  const std::vector<EvacuatedRun> runs = evacuatedRuns();
  logEmptied(countByDataCentre(runs));
  const EvacuationPlan plan = EvacuationPlanner::plan(runs, aElsewhere);
  mWaitingForBudget = countByDataCentre(plan.waitingForBudget);
  mWaitingForRoom = countByDataCentre(plan.waitingForRoom);
  for (const EvacuatedRun& move : plan.moves) {
    TrackedRun* run = mRuns.find(move.task.text(), move.run);
    run->shouldStop = true;
    affected.insert(run->incarnation);
    mMoveCount++;
    logInfo("run leaves an evacuated data centre",
            { { "task", move.task.text() },
              { "run", move.run },
              { "worker", run->incarnation.worker },
              { "dataCentre", move.dataCentre },
              { "checkpoint", run->checkpoint } });
  }
  return affected;
}

void
EvacuationDriver::logEmptied(const std::map<std::string, std::int64_t>& aRuns)
{
  // A new leader knows from the log on which workers runs are, but not yet where those are.
  const bool isPlaceUnknown =
    std::any_of(mRuns.runs().begin(), mRuns.runs().end(), [this](const auto& aItem) {
      const WorkerIncarnation* incarnation = mFleet.find(aItem.second.incarnation);
      return incarnation != nullptr && incarnation->fence == 0;
    });
  if (isPlaceUnknown) {
    return;
  }
  for (const std::string& dataCentre : evacuated()) {
    if (countIn(aRuns, dataCentre) > 0) {
      mEmptied.erase(dataCentre);
    } else if (mEmptied.insert(dataCentre).second) {
      logInfo("no runs are left in an evacuated data centre", { { "dataCentre", dataCentre } });
    }
  }
}

bool
EvacuationDriver::hasWorkerIn(const std::string& aDataCentre) const
{
  const std::map<IncarnationKey, WorkerIncarnation>& incarnations = mFleet.incarnations();
  return std::any_of(incarnations.begin(), incarnations.end(), [&aDataCentre](const auto& aItem) {
    return aItem.second.description.dataCentre() == aDataCentre;
  });
}

EvacuationStatus
EvacuationDriver::statusOf(const std::string& aDataCentre) const
{
  EvacuationStatus::Fields status{ .dataCentre = aDataCentre,
                                   .waitingForBudget = countIn(mWaitingForBudget, aDataCentre),
                                   .waitingForRoom = countIn(mWaitingForRoom, aDataCentre) };
  for (const auto& [key, incarnation] : mFleet.incarnations()) {
    const bool isThere = !incarnation.isLost && incarnation.description.dataCentre() == aDataCentre;
    status.workers += isThere ? 1 : 0;
  }
  for (const auto& [name, run] : mRuns.runs()) {
    if (dataCentreOf(run.incarnation) != aDataCentre) {
      continue;
    }
    (run.step().longRunning() ? status.longRunningRuns : status.otherRuns)++;
    status.moving += run.shouldStop ? 1 : 0;
  }
  for (const auto& [taskId, task] : mContext.mState.tasks().all()) {
    const SessionRecord* session = mContext.mState.sessions().find(task.session());
    const bool isThere =
      session != nullptr && session->target() && session->target()->dataCentre() == aDataCentre;
    status.placedTasks += isThere ? 1 : 0;
  }
  return buildValue<EvacuationStatus>(std::move(status));
}

void
EvacuationDriver::setGauges(MetricsRegistry& aMetrics) const
{
  const auto set = [&aMetrics](const char* aName, std::size_t aValue) {
    aMetrics.set(aName, "", static_cast<double>(aValue));
  };
  set("control_evacuated_data_centres", evacuated().size());
  set("control_evacuation_moves", mMoveCount);
  set("control_evacuation_waiting_for_budget", sumOf(mWaitingForBudget));
  set("control_evacuation_waiting_for_room", sumOf(mWaitingForRoom));
}

} // namespace magnoliadrum
