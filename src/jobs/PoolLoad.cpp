#include "jobs/PoolLoad.h"

#include <algorithm>
#include <map>

namespace magnoliadrum {

namespace {

void
addWorker(PoolLoad& aLoad, const WorkerCandidate& aWorker)
{
  const ResourceAmount free = aWorker.capacity.minus(aWorker.used);
  aLoad.workers++;
  aLoad.capacityCpuMilli += aWorker.capacity.cpuMilli;
  aLoad.longRunningCpuMilli += aWorker.longRunningCpuMilli;
  aLoad.shortRunningCpuMilli += aWorker.used.cpuMilli - aWorker.longRunningCpuMilli;
  aLoad.unlistedCpuMilli += aWorker.unlistedCpuMilli;
  aLoad.releasingCpuMilli += aWorker.releasing.cpuMilli;
  aLoad.freeCpuMilli += std::max<std::int64_t>(0, free.cpuMilli);
  aLoad.largestFreeCpuMilli = std::max(aLoad.largestFreeCpuMilli, free.cpuMilli);
  aLoad.freeMemoryMb += std::max<std::int64_t>(0, free.memoryMb);
}

void
addPromises(PoolLoad& aLoad, const Job& aJob)
{
  for (const JobStep& step : aJob.steps()) {
    if (step.longRunning()) {
      aLoad.promisedCpuMilli +=
        aJob.occurrences() * step.count() * requiredResources(step).cpuMilli;
    }
  }
}

void
addWaitingTasks(PoolLoad& aLoad, const Job& aJob, std::int64_t aWallMs)
{
  aJob.forEachTask([&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
    const bool isDue = !aJob.isRecurring() || aJob.dueMs(aTask.occurrence) <= aWallMs;
    if (aRecord.done || aRecord.active || !isDue ||
        !aJob.isStepReady(aTask.occurrence, aTask.step)) {
      return;
    }
    const JobStep& step = aJob.steps()[static_cast<std::size_t>(aTask.step)];
    (step.longRunning() ? aLoad.waitingLongRunning : aLoad.waitingOther)++;
  });
}

} // namespace

std::vector<PoolLoad>
summarizePools(const std::vector<WorkerCandidate>& aWorkers,
               const JobRegistry& aJobs,
               std::int64_t aWallMs)
{
  std::map<std::string, PoolLoad> loads;
  for (const WorkerCandidate& worker : aWorkers) {
    addWorker(loads[worker.poolName], worker);
  }
  for (const std::string& jobId : aJobs.openJobs()) {
    const Job* job = aJobs.find(jobId);
    if (!job->isFinished()) {
      PoolLoad& load = loads[job->queue().poolName()];
      addPromises(load, *job);
      addWaitingTasks(load, *job, aWallMs);
    }
  }
  std::vector<PoolLoad> pools;
  for (auto& [name, load] : loads) {
    load.poolName = name;
    pools.push_back(load);
  }
  return pools;
}

} // namespace magnoliadrum
