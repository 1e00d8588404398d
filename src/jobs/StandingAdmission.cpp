#include "jobs/StandingAdmission.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

/** Part of the pool that is not promised to long-running tasks, in thousandths of a core. */
std::int64_t
reservedCpuMilli(const PoolPromises& aPool, std::int64_t aPromisedCpuMilli, std::int64_t aTasks)
{
  const double shortWork = aPool.shortWork.meanCpuMilli + aPool.shortWork.deviationCpuMilli;
  const double meanTask = static_cast<double>(aPromisedCpuMilli) / static_cast<double>(aTasks);
  const double capacity = static_cast<double>(aPool.capacityCpuMilli);
  const double restarts = std::min(std::sqrt(static_cast<double>(aTasks)) * meanTask,
                                   StandingAdmission::kMaxRestartShare * capacity);
  const double most = StandingAdmission::kMaxReservedShare * capacity;
  return static_cast<std::int64_t>(std::min(most, std::max(shortWork, restarts)));
}

/** Removes the runs that end by themselves or can be stopped. */
void
keepStandingRuns(WorkerCandidate& aWorker)
{
  aWorker.used.cpuMilli = aWorker.longRunningCpuMilli;
  for (const EvictableRun& run : aWorker.evictable) {
    aWorker.used.memoryMb -= run.size.memoryMb;
    aWorker.used.accelerators -= run.size.accelerators;
  }
}

/** Places tasks, each on the fullest worker that holds it, and returns how many have found none. */
std::int64_t
place(std::vector<WorkerCandidate>& aWorkers, const WaitingTasks& aTasks)
{
  for (std::int64_t placed = 0; placed < aTasks.count; placed++) {
    WorkerCandidate* best = nullptr;
    for (WorkerCandidate& worker : aWorkers) {
      const bool isFuller = best == nullptr || worker.capacity.minus(worker.used).cpuMilli <
                                                 best->capacity.minus(best->used).cpuMilli;
      if (isFuller && isPermitted(worker, aTasks.poolName, *aTasks.step, aTasks.stepName) &&
          fits(worker, *aTasks.step)) {
        best = &worker;
      }
    }
    if (best == nullptr) {
      return aTasks.count - placed;
    }
    best->used = best->used.plus(requiredResources(*aTasks.step));
    best->runsOfStep[aTasks.stepName]++;
  }
  return 0;
}

} // namespace

bool
StandingAdmission::hasWorkers(std::vector<WorkerCandidate> aWorkers,
                              const std::vector<WaitingTasks>& aWaiting,
                              const std::string& aPoolName,
                              const JobDescription& aJob)
{
  for (WorkerCandidate& worker : aWorkers) {
    keepStandingRuns(worker);
  }
  for (const WaitingTasks& waiting : aWaiting) {
    place(aWorkers, waiting);
  }
  for (std::int64_t step = 0; step < std::ssize(aJob.steps()); step++) {
    const JobStep& description = aJob.steps()[static_cast<std::size_t>(step)];
    if (!description.longRunning()) {
      continue;
    }
    for (std::int64_t occurrence = 0; occurrence < aJob.occurrences(); occurrence++) {
      const WaitingTasks tasks{ aPoolName,
                                stepName({ aJob.jobId(), occurrence, step, 0 }),
                                &description,
                                description.count() };
      if (place(aWorkers, tasks) > 0) {
        return false;
      }
    }
  }
  return true;
}

void
StandingAdmission::addPromises(PoolPromises& aPool,
                               const std::vector<JobStep>& aSteps,
                               std::int64_t aOccurrences)
{
  for (const JobStep& step : aSteps) {
    if (step.longRunning()) {
      const std::int64_t tasks = aOccurrences * step.count();
      aPool.promisedTasks += tasks;
      aPool.promisedCpuMilli += tasks * requiredResources(step).cpuMilli;
    }
  }
}

std::optional<AdmissionRefusal>
StandingAdmission::decide(const PoolPromises& aPool, const JobDescription& aJob)
{
  PoolPromises after = aPool;
  addPromises(after, aJob.steps(), aJob.occurrences());
  const std::int64_t asked = after.promisedCpuMilli - aPool.promisedCpuMilli;
  if (asked == 0 || aPool.capacityCpuMilli == 0) {
    return std::nullopt;
  }
  const std::int64_t reserved =
    reservedCpuMilli(aPool, after.promisedCpuMilli, after.promisedTasks);
  if (after.promisedCpuMilli + reserved <= aPool.capacityCpuMilli) {
    return std::nullopt;
  }
  return AdmissionRefusal{ .askedCpuMilli = asked, .reservedCpuMilli = reserved, .pool = aPool };
}

} // namespace magnoliadrum
