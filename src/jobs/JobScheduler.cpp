#include "jobs/JobScheduler.h"

#include "core/core.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace magnoliadrum {

namespace {

/** A step with tasks that may start now. */
struct ReadyStep
{
  const Job* job = nullptr;
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  std::int64_t priority = 0;
  bool isLate = false;
  std::int64_t objectiveEndMs = 0;

  const JobStep& description() const { return job->steps()[static_cast<std::size_t>(step)]; }

  auto order() const { return std::tuple(priority, isLate, objectiveEndMs, job->jobId(), step); }
};

/** Longest chain of estimates from a step to the end of its job. */
std::int64_t
remainingChainMs(const Job& aJob, std::size_t aStep)
{
  std::vector<std::int64_t> chains(aJob.steps().size(), 0);
  for (std::size_t step = aJob.steps().size(); step-- > 0;) {
    chains[step] += aJob.steps()[step].estimateMs();
    for (const std::int64_t earlier : aJob.steps()[step].after()) {
      std::int64_t& chain = chains[static_cast<std::size_t>(earlier)];
      chain = std::max(chain, chains[step]);
    }
  }
  return chains[aStep];
}

std::int64_t
longestChainMs(const Job& aJob)
{
  std::int64_t longest = 0;
  for (std::size_t step = 0; step < aJob.steps().size(); step++) {
    longest = std::max(longest, remainingChainMs(aJob, step));
  }
  return longest;
}

void
addReadySteps(const Job& aJob, std::int64_t aWallMs, std::vector<ReadyStep>& aReady)
{
  for (std::int64_t occurrence = 0; occurrence < aJob.occurrences(); occurrence++) {
    const std::int64_t dueMs = aJob.dueMs(occurrence);
    if (aJob.isRecurring() && dueMs > aWallMs) {
      return;
    }
    const std::int64_t startMs = aJob.isRecurring() ? dueMs : aJob.acceptedAtMs();
    const std::int64_t objectiveMs =
      static_cast<std::int64_t>(aJob.queue().stretch() *
                                static_cast<double>(longestChainMs(aJob))) +
      aJob.queue().objectiveMs();
    for (std::size_t step = 0; step < aJob.steps().size(); step++) {
      const std::int64_t number = static_cast<std::int64_t>(step);
      if (aJob.openTasks(occurrence, number) == 0 || !aJob.isStepReady(occurrence, number)) {
        continue;
      }
      ReadyStep ready{ .job = &aJob,
                       .occurrence = occurrence,
                       .step = number,
                       .priority = aJob.queue().priority(),
                       .objectiveEndMs = startMs + objectiveMs };
      ready.isLate = aWallMs + remainingChainMs(aJob, step) > ready.objectiveEndMs;
      aReady.push_back(ready);
    }
  }
}

std::vector<ReadyStep>
findReadySteps(const JobRegistry& aJobs, std::int64_t aWallMs)
{
  std::vector<ReadyStep> ready;
  for (const std::string& jobId : aJobs.openJobs()) {
    const Job* job = aJobs.find(jobId);
    if (!job->isOver()) {
      addReadySteps(*job, aWallMs, ready);
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    return aLeft.order() < aRight.order();
  });
  return ready;
}

bool
hasLabel(const WorkerRoom& aRoom, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::find(aRoom.labels.begin(), aRoom.labels.end(), aLabel) != aRoom.labels.end();
}

bool
servesUsers(const JobStep& aStep)
{
  return aStep.longRunning() && aStep.latencyObjectiveMs() > 0;
}

/** Processor time that nothing on the worker is expected to use. */
double
unusedCpuMilli(const WorkerRoom& aRoom)
{
  const std::int64_t shortCpu = aRoom.used.cpuMilli - aRoom.longRunningCpuMilli;
  return static_cast<double>(aRoom.capacity.cpuMilli - shortCpu - aRoom.opportunisticCpuMilli) -
         JobScheduler::kLongRunningUse * static_cast<double>(aRoom.longRunningCpuMilli);
}

bool
fits(const WorkerRoom& aRoom, const JobStep& aStep)
{
  return declaredSize(aStep).fitsIn(aRoom.capacity.minus(aRoom.used));
}

bool
hasRoom(const WorkerRoom& aRoom, const JobStep& aStep)
{
  if (!fits(aRoom, aStep)) {
    return false;
  }
  if (aStep.opportunistic()) {
    const double needed =
      JobScheduler::kOpportunisticShare * static_cast<double>(aStep.resources().cpuMilli());
    return unusedCpuMilli(aRoom) >= needed;
  }
  return true;
}

/** Whether the worker may run the step at all, apart from room. */
bool
allows(const WorkerRoom& aRoom, const ReadyStep& aReady, const std::string& aStepName)
{
  const JobStep& step = aReady.description();
  if (aRoom.poolName != aReady.job->queue().poolName() || !hasLabel(aRoom, step.requiredLabel())) {
    return false;
  }
  if (step.maxPerWorker() > 0) {
    const auto runs = aRoom.runsOfStep.find(aStepName);
    if (runs != aRoom.runsOfStep.end() && runs->second >= step.maxPerWorker()) {
      return false;
    }
  }
  return true;
}

/** Cost of a worker for a step by its load; the lowest is chosen. */
double
loadCost(const WorkerRoom& aRoom, const JobStep& aStep, double aExpectedRatio)
{
  const double capacity = std::max<double>(1, static_cast<double>(aRoom.capacity.cpuMilli));
  const double given = static_cast<double>(aRoom.used.cpuMilli) / capacity;
  if (servesUsers(aStep)) {
    // The fullest worker first, and any worker with the image before all others.
    constexpr double kOtherImage = 1;
    constexpr double kNoImage = 2;
    const double unlike = aRoom.servingRuns.empty() ? kNoImage : kOtherImage;
    return (aRoom.servingRuns.contains(aStep.image()) ? 0 : unlike) - given;
  }
  return (aStep.longRunning() ? given : 1 - unusedCpuMilli(aRoom) / capacity) + aExpectedRatio;
}

/** Cost of a worker for a step; the lowest is chosen. */
auto
cost(const WorkerRoom& aRoom, const JobStep& aStep, double aExpectedRatio)
{
  const bool isFar = !aStep.preferredRack().empty() && aStep.preferredRack() != aRoom.rack;
  return std::tuple(
    aRoom.recentFailures, isFar, loadCost(aRoom, aStep, aExpectedRatio), aRoom.worker);
}

class Round
{
public:
  Round(const DisturbanceGuard& aGuard, std::vector<WorkerRoom>& aRooms)
    : mGuard(aGuard)
    , mRooms(aRooms)
  {
  }

  void place(const ReadyStep& aReady)
  {
    if (aReady.description().gang()) {
      placeGang(aReady);
      return;
    }
    const JobStep& step = aReady.description();
    TaskId task = firstTask(aReady);
    const std::string name = stepName(task);
    for (task.index = 0; task.index < step.count(); task.index++) {
      const JobTaskRecord::Fields* record = aReady.job->find(task);
      if (record->done || record->active) {
        continue;
      }
      if (isFull()) {
        return;
      }
      if (assign(aReady, task, name, mRooms, {})) {
        continue;
      }
      if (step.opportunistic() && isStarved(aReady) && assignAnywhere(aReady, task, name)) {
        return;
      }
      explain(aReady, task, name);
      if (!claimRoom(aReady, task, name)) {
        return;
      }
    }
  }

  bool isFull() const { return mPlan.assignments.size() >= JobScheduler::kMaxAssignments; }
  SchedulePlan take() { return std::move(mPlan); }

private:
  static TaskId firstTask(const ReadyStep& aReady)
  {
    return { aReady.job->jobId(), aReady.occurrence, aReady.step, 0 };
  }

  bool assign(const ReadyStep& aReady,
              const TaskId& aTask,
              const std::string& aStepName,
              std::vector<WorkerRoom>& aRooms,
              const std::optional<std::string>& aRack)
  {
    const JobStep& step = aReady.description();
    WorkerRoom* best = nullptr;
    double bestExpected = 0;
    for (WorkerRoom& room : aRooms) {
      if ((aRack && room.rack != *aRack) || !allows(room, aReady, aStepName) ||
          !hasRoom(room, step)) {
        continue;
      }
      const double ratio = disturbance(room, step);
      if (ratio > JobScheduler::kMostOfObjective) {
        continue;
      }
      const double expected = ratio + risk(room, step);
      if (best == nullptr || cost(room, step, expected) < cost(*best, step, bestExpected)) {
        best = &room;
        bestExpected = expected;
      }
    }
    if (best == nullptr) {
      return false;
    }
    commit(*best, aReady, aTask);
    return true;
  }

  /** Whether nothing of the job runs although most of its pool's processor time is not given away.
   */
  bool isStarved(const ReadyStep& aReady) const
  {
    if (aReady.job->hasActiveRuns()) {
      return false;
    }
    double used = 0;
    double capacity = 0;
    for (const WorkerRoom& room : mRooms) {
      if (room.poolName == aReady.job->queue().poolName()) {
        used += static_cast<double>(room.used.cpuMilli);
        capacity += static_cast<double>(room.capacity.cpuMilli);
      }
    }
    return used < JobScheduler::kMostlyFree * capacity;
  }

  /** Assigns one opportunistic task where it disturbs least, whatever is expected of it there. */
  bool assignAnywhere(const ReadyStep& aReady, const TaskId& aTask, const std::string& aStepName)
  {
    const JobStep& step = aReady.description();
    WorkerRoom* best = nullptr;
    for (WorkerRoom& room : mRooms) {
      if (!allows(room, aReady, aStepName) || !fits(room, step)) {
        continue;
      }
      if (best == nullptr || disturbance(room, step) < disturbance(*best, step)) {
        best = &room;
      }
    }
    if (best != nullptr) {
      commit(*best, aReady, aTask);
    }
    return best != nullptr;
  }

  /** Notes an assignment and takes its room. */
  void commit(WorkerRoom& aRoom, const ReadyStep& aReady, const TaskId& aTask)
  {
    const JobStep& step = aReady.description();
    occupy(aRoom, step, aTask);
    if (step.opportunistic()) {
      aRoom.unobserved[step.image()] += cpuShare(aRoom, step);
    }
    mPlan.assignments.push_back({ valueOf(RunStart::create({ .task = aTask.text(),
                                                             .run = aReady.job->nextRun(aTask),
                                                             .worker = aRoom.worker,
                                                             .bornMs = aRoom.bornMs,
                                                             .place = aRoom.place })),
                                  aTask });
  }

  void explain(const ReadyStep& aReady, const TaskId& aTask, const std::string& aStepName)
  {
    if (mPlan.waiting.size() >= JobScheduler::kMaxReasons) {
      return;
    }
    const JobStep& step = aReady.description();
    WaitReason reason{ .task = aTask };
    for (const WorkerRoom& room : mRooms) {
      if (room.poolName != aReady.job->queue().poolName()) {
        reason.otherPool++;
      } else if (!hasLabel(room, step.requiredLabel())) {
        reason.noLabel++;
      } else if (!allows(room, aReady, aStepName)) {
        reason.spread++;
      } else if (!hasRoom(room, step)) {
        reason.noRoom++;
      } else {
        reason.disturbs++;
      }
    }
    mPlan.waiting.push_back(std::move(reason));
  }

  /** How far the task would push those that serve users on the worker; 0 for other tasks. */
  double disturbance(const WorkerRoom& aRoom, const JobStep& aStep) const
  {
    if (!aStep.opportunistic()) {
      return 0;
    }
    ImageShares more = aRoom.unobserved;
    more[aStep.image()] += cpuShare(aRoom, aStep);
    return mGuard.expectedRatio(aRoom.serving, more);
  }

  /** What a placement costs for disturbances that are not there now but may come back. */
  double risk(const WorkerRoom& aRoom, const JobStep& aStep) const
  {
    if (!aStep.opportunistic()) {
      return 0;
    }
    const double growth = mGuard.worstGrowth(aRoom.serving, aStep.image(), cpuShare(aRoom, aStep));
    return std::min(JobScheduler::kMostRisk, growth);
  }

  /**
   * Keeps room for a task that fits nowhere: room that is being freed, or that the end of runs of
   * queues that go later will free. The task starts in a later round.
   */
  bool claimRoom(const ReadyStep& aReady, const TaskId& aTask, const std::string& aStepName)
  {
    const JobStep& step = aReady.description();
    if (step.opportunistic()) {
      return false;
    }
    const ResourceAmount size = declaredSize(step);
    WorkerRoom* best = nullptr;
    Victims victims;
    for (WorkerRoom& room : mRooms) {
      if (!allows(room, aReady, aStepName) || !size.fitsIn(room.capacity)) {
        continue;
      }
      std::optional<Victims> found = findVictims(room, size, aReady.priority);
      if (found && (best == nullptr || found->lostWork < victims.lostWork)) {
        best = &room;
        victims = std::move(*found);
      }
    }
    if (best == nullptr) {
      return false;
    }
    evict(*best, victims);
    occupy(*best, step, aTask);
    return true;
  }

  /** Runs of one worker that have to end for a task. */
  struct Victims
  {
    std::vector<EvictableRun> runs;
    double lostWork = 0;
  };

  std::optional<Victims> findVictims(const WorkerRoom& aRoom,
                                     const ResourceAmount& aSize,
                                     std::int64_t aPriority) const
  {
    Victims victims;
    ResourceAmount room = aRoom.capacity.minus(aRoom.used).plus(aRoom.stopping);
    std::vector<EvictableRun> candidates = aRoom.evictable;
    std::sort(candidates.begin(),
              candidates.end(),
              [](const EvictableRun& aLeft, const EvictableRun& aRight) {
                return std::tie(aLeft.lostWork, aLeft.task) <
                       std::tie(aRight.lostWork, aRight.task);
              });
    for (const EvictableRun& candidate : candidates) {
      if (aSize.fitsIn(room)) {
        break;
      }
      if (candidate.priority <= aPriority) {
        continue;
      }
      room = room.plus(candidate.size);
      victims.lostWork += candidate.lostWork;
      victims.runs.push_back(candidate);
    }
    const bool isAllowed =
      mPlan.evictions.size() + victims.runs.size() <= JobScheduler::kMaxEvictions;
    return aSize.fitsIn(room) && isAllowed ? std::optional<Victims>(victims) : std::nullopt;
  }

  void evict(WorkerRoom& aRoom, const Victims& aVictims)
  {
    for (const EvictableRun& victim : aVictims.runs) {
      aRoom.stopping = aRoom.stopping.plus(victim.size);
      std::erase(aRoom.evictable, victim);
      mPlan.evictions.push_back(victim);
    }
  }

  /** Places all tasks of a gang or none; in one rack when that is possible and helps. */
  void placeGang(const ReadyStep& aReady)
  {
    TaskId task = firstTask(aReady);
    for (task.index = 0; task.index < aReady.description().count(); task.index++) {
      if (aReady.job->find(task)->active) {
        return;
      }
    }
    if (aReady.description().sameRack()) {
      for (const WorkerRoom& room : std::vector<WorkerRoom>(mRooms)) {
        if (placeWholeGang(aReady, room.rack)) {
          return;
        }
      }
    }
    placeWholeGang(aReady, std::nullopt);
  }

  bool placeWholeGang(const ReadyStep& aReady, const std::optional<std::string>& aRack)
  {
    std::vector<WorkerRoom> rooms = mRooms;
    const std::size_t before = mPlan.assignments.size();
    TaskId task = firstTask(aReady);
    const std::string name = stepName(task);
    for (task.index = 0; task.index < aReady.description().count(); task.index++) {
      if (!assign(aReady, task, name, rooms, aRack)) {
        mPlan.assignments.erase(mPlan.assignments.begin() + static_cast<std::ptrdiff_t>(before),
                                mPlan.assignments.end());
        return false;
      }
    }
    mRooms = std::move(rooms);
    return true;
  }

  const DisturbanceGuard& mGuard;
  std::vector<WorkerRoom>& mRooms;
  SchedulePlan mPlan;
};

} // namespace

ResourceAmount
declaredSize(const JobStep& aStep)
{
  ResourceAmount size = ResourceAmount::of(aStep.resources());
  if (aStep.opportunistic()) {
    size.cpuMilli = 0;
  }
  return size;
}

std::string
stepName(const TaskId& aTask)
{
  return aTask.jobId + "." + std::to_string(aTask.occurrence) + "." + std::to_string(aTask.step);
}

double
cpuShare(const WorkerRoom& aRoom, const JobStep& aStep)
{
  const double capacity = std::max<double>(1, static_cast<double>(aRoom.capacity.cpuMilli));
  return static_cast<double>(aStep.resources().cpuMilli()) / capacity;
}

void
occupy(WorkerRoom& aRoom, const JobStep& aStep, const TaskId& aTask)
{
  aRoom.used = aRoom.used.plus(declaredSize(aStep));
  if (aStep.opportunistic()) {
    aRoom.opportunisticCpuMilli += aStep.resources().cpuMilli();
  } else if (aStep.longRunning()) {
    aRoom.longRunningCpuMilli += aStep.resources().cpuMilli();
  }
  if (servesUsers(aStep)) {
    aRoom.servingRuns[aStep.image()]++;
  }
  aRoom.runsOfStep[stepName(aTask)]++;
}

SchedulePlan
JobScheduler::decide(const JobRegistry& aJobs,
                     const DisturbanceGuard& aGuard,
                     std::vector<WorkerRoom>& aRooms,
                     std::int64_t aWallMs)
{
  Round round(aGuard, aRooms);
  for (const ReadyStep& ready : findReadySteps(aJobs, aWallMs)) {
    if (round.isFull()) {
      break;
    }
    round.place(ready);
  }
  return round.take();
}

} // namespace magnoliadrum
