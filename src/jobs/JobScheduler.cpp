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

ResourceAmount
declaredSize(const JobStep& aStep)
{
  ResourceAmount size = ResourceAmount::of(aStep.resources());
  if (aStep.opportunistic()) {
    size.cpuMilli = 0;
  }
  return size;
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
hasRoom(const WorkerRoom& aRoom, const JobStep& aStep)
{
  const ResourceAmount size = declaredSize(aStep);
  if (!size.fitsIn(aRoom.capacity.minus(aRoom.used))) {
    return false;
  }
  if (aStep.opportunistic()) {
    const double needed =
      JobScheduler::kOpportunisticShare * static_cast<double>(aStep.resources().cpuMilli());
    return aRoom.pacePercent >= JobScheduler::kLowestPacePercent &&
           unusedCpuMilli(aRoom) >= needed;
  }
  if (aStep.longRunning()) {
    const double limit =
      (1 - JobScheduler::kShortTaskShare) * static_cast<double>(aRoom.capacity.cpuMilli);
    return static_cast<double>(aRoom.longRunningCpuMilli + size.cpuMilli) <= limit;
  }
  return true;
}

bool
admits(const WorkerRoom& aRoom, const ReadyStep& aReady, const std::string& aStepName)
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
  return hasRoom(aRoom, step);
}

/** Cost of a worker for a step; the lowest is chosen. */
auto
cost(const WorkerRoom& aRoom, const JobStep& aStep)
{
  const bool isFar = !aStep.preferredRack().empty() && aStep.preferredRack() != aRoom.rack;
  const double capacity = std::max<double>(1, static_cast<double>(aRoom.capacity.cpuMilli));
  // Opportunistic tasks disturb the tasks that serve users, and the other way round.
  const bool disturbs = aStep.opportunistic() && aRoom.servesUsers;
  const double load = aStep.longRunning()
                        ? static_cast<double>(aRoom.used.cpuMilli) / capacity
                        : 1 - unusedCpuMilli(aRoom) / capacity;
  return std::tuple(aRoom.recentFailures, isFar, load + (disturbs ? 0.1 : 0.0), aRoom.worker);
}

class Round
{
public:
  explicit Round(std::vector<WorkerRoom>& aRooms)
    : mRooms(aRooms)
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
      if (isFull() || !assign(aReady, task, name, mRooms, {})) {
        return;
      }
    }
  }

  bool isFull() const { return mAssignments.size() >= JobScheduler::kMaxAssignments; }
  std::vector<Assignment> take() { return std::move(mAssignments); }

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
    for (WorkerRoom& room : aRooms) {
      if ((aRack && room.rack != *aRack) || !admits(room, aReady, aStepName)) {
        continue;
      }
      if (best == nullptr || cost(room, step) < cost(*best, step)) {
        best = &room;
      }
    }
    if (best == nullptr) {
      return false;
    }
    occupy(*best, step, aTask);
    mAssignments.push_back({ valueOf(RunStart::create({ .task = aTask.text(),
                                                        .run = aReady.job->nextRun(aTask),
                                                        .worker = best->worker,
                                                        .bornMs = best->bornMs,
                                                        .place = best->place })),
                             aTask });
    return true;
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
    const std::size_t before = mAssignments.size();
    TaskId task = firstTask(aReady);
    const std::string name = stepName(task);
    for (task.index = 0; task.index < aReady.description().count(); task.index++) {
      if (!assign(aReady, task, name, rooms, aRack)) {
        mAssignments.erase(mAssignments.begin() + static_cast<std::ptrdiff_t>(before),
                           mAssignments.end());
        return false;
      }
    }
    mRooms = std::move(rooms);
    return true;
  }

  std::vector<WorkerRoom>& mRooms;
  std::vector<Assignment> mAssignments;
};

} // namespace

std::string
stepName(const TaskId& aTask)
{
  return aTask.jobId + "." + std::to_string(aTask.occurrence) + "." + std::to_string(aTask.step);
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
  aRoom.servesUsers = aRoom.servesUsers || aStep.latencyObjectiveMs() > 0;
  aRoom.runsOfStep[stepName(aTask)]++;
}

std::vector<Assignment>
JobScheduler::decide(const JobRegistry& aJobs,
                     std::vector<WorkerRoom>& aRooms,
                     std::int64_t aWallMs)
{
  Round round(aRooms);
  for (const ReadyStep& ready : findReadySteps(aJobs, aWallMs)) {
    if (round.isFull()) {
      break;
    }
    round.place(ready);
  }
  return round.take();
}

} // namespace magnoliadrum
