#include "jobs/StandingWaitMeter.h"

#include "jobs/CrashAttribution.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <optional>
#include <utility>

namespace magnoliadrum {

namespace {

/** How many workers that may run a task have room for it, by what keeps it out there. */
struct WorkersWithRoom
{
  std::int64_t open = 0;
  std::int64_t reserved = 0;
  std::int64_t limited = 0;
};

WorkersWithRoom
findWorkersWithRoom(const std::vector<WorkerCandidate>& aWorkers,
                    const std::string& aPoolName,
                    const JobStep& aStep,
                    const std::string& aStepName,
                    const JobTaskRecord::Fields& aRecord)
{
  WorkersWithRoom found;
  for (const WorkerCandidate& worker : aWorkers) {
    if (!isPermitted(worker, aPoolName, aStep, aStepName) || !fits(worker, aStep)) {
      continue;
    }
    if (isClosedForTrials(worker, aStep, aRecord)) {
      found.reserved++;
    } else if (isLimited(worker, aStep, aRecord)) {
      found.limited++;
    } else {
      found.open++;
    }
  }
  return found;
}

StandingWaitCause
findCause(const WorkersWithRoom& aRoom,
          const JobTaskRecord::Fields& aRecord,
          const SchedulePlan& aPlan)
{
  if (aRecord.active) {
    return StandingWaitCause::eUnlisted;
  }
  if (CrashAttribution::needsTrial(aRecord) || CrashAttribution::awaitsEvidence(aRecord)) {
    return StandingWaitCause::eSuspected;
  }
  if (aRoom.open > 0) {
    return aPlan.assignments.size() >= JobScheduler::kMaxAssignments
             ? StandingWaitCause::ePlanFull
             : StandingWaitCause::eOutranked;
  }
  if (aRoom.reserved > 0) {
    return StandingWaitCause::eReserved;
  }
  return aRoom.limited > 0 ? StandingWaitCause::eLimited : StandingWaitCause::eNoRoom;
}

} // namespace

const char*
toText(RoomReading aReading)
{
  switch (aReading) {
    case RoomReading::eTwoWorkers:
      return "twoWorkers";
    case RoomReading::eOneWorker:
      return "oneWorker";
    case RoomReading::ePool:
      return "pool";
    case RoomReading::eTwoWorkersWithShort:
      break;
  }
  return "twoWorkersWithShort";
}

const char*
toText(StandingWaitCause aCause)
{
  switch (aCause) {
    case StandingWaitCause::eUnlisted:
      return "unlisted";
    case StandingWaitCause::eSuspected:
      return "suspected";
    case StandingWaitCause::ePlanFull:
      return "planFull";
    case StandingWaitCause::eOutranked:
      return "outranked";
    case StandingWaitCause::eReserved:
      return "reserved";
    case StandingWaitCause::eLimited:
      return "limited";
    case StandingWaitCause::eNoRoom:
      break;
  }
  return "noRoom";
}

std::array<bool, kRoomReadings>
readRoom(const std::vector<WorkerCandidate>& aWorkers,
         const std::string& aPoolName,
         const JobStep& aStep,
         const std::string& aStepName)
{
  const ResourceAmount size = requiredResources(aStep);
  const ResourceAmount twice = size.plus(size);
  std::int64_t pieces = 0;
  std::int64_t piecesWithShort = 0;
  std::int64_t doublePieces = 0;
  ResourceAmount sum;
  for (const WorkerCandidate& worker : aWorkers) {
    if (!isPermitted(worker, aPoolName, aStep, aStepName)) {
      continue;
    }
    const ResourceAmount free = worker.capacity.minus(worker.used).componentMax({});
    ResourceAmount freeWithShort = free;
    for (const EvictableRun& run : worker.evictable) {
      freeWithShort = freeWithShort.plus(run.size);
    }
    pieces += size.fitsIn(free) ? 1 : 0;
    piecesWithShort += size.fitsIn(freeWithShort) ? 1 : 0;
    doublePieces += twice.fitsIn(free) ? 1 : 0;
    sum = sum.plus(free);
  }
  // In the order of RoomReading.
  return { pieces >= 2, doublePieces >= 1, twice.fitsIn(sum), piecesWithShort >= 2 };
}

void
StandingWaitMeter::clear()
{
  *this = StandingWaitMeter();
}

StandingWaitMeter::Changes
StandingWaitMeter::observe(const JobRegistry& aJobs,
                           const std::vector<WorkerCandidate>& aWorkers,
                           const SchedulePlan& aPlan,
                           const std::set<std::string>& aUnlisted,
                           MonotonicTime aNow)
{
  const std::int64_t elapsedMs = aNow.msSince(mObservedAt);
  mObservedAt = aNow;
  std::set<std::string> assigned;
  for (const Assignment& assignment : aPlan.assignments) {
    assigned.insert(assignment.task.text());
  }
  // A run that has ended at its worker frees its room there before the leader commits the end.
  // Built for the first overdue task.
  std::optional<std::vector<WorkerCandidate>> atWorkers;
  Changes changes;
  std::map<std::string, Wait> waits;
  mAwaitedPools.clear();
  const auto visit = [&](
                       const Job& aJob, const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
    const JobStep& step = aJob.steps()[static_cast<std::size_t>(aTask.step)];
    if (!step.longRunning() || aRecord.done || !aJob.isStepReady(aTask.occurrence, aTask.step)) {
      return;
    }
    const std::string name = aTask.text();
    if (aRecord.active && !aUnlisted.contains(name)) {
      return;
    }
    const auto known = mWaits.find(name);
    Wait wait = known != mWaits.end() ? known->second : Wait{ .since = aNow, .state = { aTask } };
    const bool wasOverdue = wait.state.waitedMs > kToleratedMs;
    wait.state.waitedMs = aNow.msSince(wait.since);
    const std::string& pool = aJob.queue().poolName();
    if (!aRecord.active) {
      mAwaitedPools.insert(pool);
    }
    if (wait.state.waitedMs > kToleratedMs) {
      const std::string nameOfStep = stepName(aTask);
      // The wait of an assigned task goes on until a list shows the run: its worker may refuse
      // it.
      const bool isAssigned = assigned.contains(name);
      if (!isAssigned) {
        wait.state.cpuMilli = requiredResources(step).cpuMilli;
        wait.state.cause =
          findCause(findWorkersWithRoom(aWorkers, pool, step, nameOfStep, aRecord), aRecord, aPlan);
      }
      if (!atWorkers) {
        std::transform(aWorkers.begin(),
                       aWorkers.end(),
                       std::back_inserter(atWorkers.emplace()),
                       withoutEndedRuns);
      }
      addReadings(wait, readRoom(*atWorkers, pool, step, nameOfStep), elapsedMs, !isAssigned);
    }
    if (wait.state.waitedMs > kToleratedMs && !wasOverdue) {
      changes.begun.push_back(wait.state);
    }
    waits.emplace(name, std::move(wait));
  };
  for (const std::string& jobId : aJobs.openJobs()) {
    const Job* job = aJobs.find(jobId);
    const bool hasLongRunning =
      std::any_of(job->steps().begin(), job->steps().end(), [](const JobStep& aStep) {
        return aStep.longRunning();
      });
    if (hasLongRunning && !job->isFinished()) {
      job->forEachTask([&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
        visit(*job, aTask, aRecord);
      });
    }
  }
  for (auto& [name, wait] : mWaits) {
    if (!waits.contains(name) && wait.state.waitedMs > kToleratedMs) {
      changes.ended.push_back(wait.state);
    }
  }
  mWaits = std::move(waits);
  return changes;
}

void
StandingWaitMeter::addReadings(Wait& aWait,
                               const std::array<bool, kRoomReadings>& aReadings,
                               std::int64_t aElapsedMs,
                               bool aIsCounted)
{
  StandingWait& state = aWait.state;
  for (std::size_t reading = 0; reading < kRoomReadings; reading++) {
    if (!aReadings[reading]) {
      aWait.stretchMs[reading] = 0;
      continue;
    }
    aWait.stretchMs[reading] += aElapsedMs;
    state.longestMs[reading] = std::max(state.longestMs[reading], aWait.stretchMs[reading]);
    mLongestMs[reading] = std::max(mLongestMs[reading], aWait.stretchMs[reading]);
    if (aIsCounted) {
      state.readMs[reading] += aElapsedMs;
      mSumsMs[reading][static_cast<std::size_t>(state.cause)] += aElapsedMs;
    }
  }
}

std::size_t
StandingWaitMeter::overdueTasks() const
{
  return static_cast<std::size_t>(
    std::count_if(mWaits.begin(), mWaits.end(), [](const auto& aItem) {
      return aItem.second.state.waitedMs > kToleratedMs;
    }));
}

std::size_t
StandingWaitMeter::overdueTasks(StandingWaitCause aCause) const
{
  return static_cast<std::size_t>(
    std::count_if(mWaits.begin(), mWaits.end(), [aCause](const auto& aItem) {
      const StandingWait& state = aItem.second.state;
      return state.waitedMs > kToleratedMs && state.cause == aCause;
    }));
}

std::int64_t
StandingWaitMeter::sumMs(RoomReading aReading, StandingWaitCause aCause) const
{
  return mSumsMs[static_cast<std::size_t>(aReading)][static_cast<std::size_t>(aCause)];
}

std::int64_t
StandingWaitMeter::sumMs(RoomReading aReading) const
{
  const std::array<std::int64_t, kStandingWaitCauses>& sums =
    mSumsMs[static_cast<std::size_t>(aReading)];
  return std::accumulate(sums.begin(), sums.end(), std::int64_t{ 0 });
}

std::int64_t
StandingWaitMeter::longestMs(RoomReading aReading) const
{
  std::int64_t longest = 0;
  for (const auto& [name, wait] : mWaits) {
    longest = std::max(longest, wait.state.longestMs[static_cast<std::size_t>(aReading)]);
  }
  return longest;
}

} // namespace magnoliadrum
