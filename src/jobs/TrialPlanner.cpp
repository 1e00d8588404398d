#include "jobs/TrialPlanner.h"

#include <algorithm>
#include <tuple>

namespace magnoliadrum {

std::size_t
TrialPlanner::Pool::maxReserved() const
{
  return std::max<std::size_t>(1, workers / kWorkersPerTrial);
}

std::size_t
TrialPlanner::Pool::groupSize() const
{
  return (firstTrials + maxReserved() - 1) / maxReserved();
}

TrialPlanner::TrialPlanner(std::vector<WorkerCandidate>& aWorkers,
                           const std::vector<TrialTask>& aWaiting)
  : mWorkers(aWorkers)
{
  for (const WorkerCandidate& worker : aWorkers) {
    Pool& pool = mPools[worker.poolName];
    pool.workers++;
    pool.reserved += worker.isReserved ? 1 : 0;
  }
  for (WorkerCandidate& worker : aWorkers) {
    Pool& pool = mPools[worker.poolName];
    if (worker.suspects > 0 && !worker.isReserved && pool.reserved < pool.maxReserved()) {
      worker.isReserved = true;
      pool.reserved++;
    }
  }
  for (const TrialTask& task : aWaiting) {
    mPools[task.poolName].firstTrials += task.crashes == 1 ? 1 : 0;
  }
}

bool
TrialPlanner::canShare(const WorkerCandidate& aWorker,
                       const TrialTask& aTask,
                       const Pool& aPool) const
{
  const auto group = mGroups.find(aWorker.worker);
  return aTask.crashes == 1 && group != mGroups.end() && group->second < aPool.groupSize();
}

WorkerCandidate*
TrialPlanner::choose(const TrialTask& aTask, const Fit& aFit)
{
  Pool& pool = mPools[aTask.poolName];
  const auto order = [&aTask](const WorkerCandidate& aWorker, TrialFit aWorkerFit) {
    return std::tuple(aWorker.relay == aTask.crashPlace,
                      aWorker.isReserved,
                      aWorkerFit != TrialFit::eNow,
                      aWorker.unprovenRuns,
                      aWorker.used.cpuMilli,
                      aWorker.worker);
  };
  WorkerCandidate* best = nullptr;
  TrialFit bestFit = TrialFit::eNever;
  for (WorkerCandidate& worker : mWorkers) {
    const bool isAvailable =
      worker.isReserved ? canShare(worker, aTask, pool) : pool.reserved < pool.maxReserved();
    const TrialFit fit = isAvailable ? aFit(worker) : TrialFit::eNever;
    if (fit == TrialFit::eNever || (worker.isReserved && fit != TrialFit::eNow)) {
      continue;
    }
    if (best == nullptr || order(worker, fit) < order(*best, bestFit)) {
      best = &worker;
      bestFit = fit;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  const bool isShared = best->isReserved;
  if (!isShared) {
    const bool isReady = bestFit == TrialFit::eNow && best->unprovenRuns == 0;
    if (!isReady && !aTask.needsOwnWorker) {
      return nullptr;
    }
    best->isReserved = true;
    pool.reserved++;
    if (!isReady) {
      return nullptr;
    }
  }
  if (aTask.crashes == 1) {
    mGroups[best->worker]++;
  }
  return best;
}

WorkerCandidate*
TrialPlanner::chooseIdle(const TrialTask& aTask, const Fit& aFit)
{
  const auto order = [&aTask](const WorkerCandidate& aWorker) {
    return std::tuple(aWorker.relay == aTask.crashPlace, aWorker.used.cpuMilli, aWorker.worker);
  };
  const auto isOfPool = [&aTask](const WorkerCandidate& aWorker) {
    return aWorker.poolName == aTask.poolName;
  };
  const std::ptrdiff_t workers = std::count_if(mWorkers.begin(), mWorkers.end(), isOfPool);
  const std::ptrdiff_t unreserved =
    std::count_if(mWorkers.begin(), mWorkers.end(), [&](const WorkerCandidate& aWorker) {
      return isOfPool(aWorker) && !aWorker.isReserved;
    });
  // Tasks that arrive during a trial need places, too.
  if (unreserved <=
      std::max<std::ptrdiff_t>(1, workers / static_cast<std::ptrdiff_t>(kWorkersPerTrial))) {
    return nullptr;
  }
  WorkerCandidate* best = nullptr;
  for (WorkerCandidate& worker : mWorkers) {
    const bool isIdle = !worker.isReserved && worker.unprovenRuns == 0;
    if (isIdle && aFit(worker) == TrialFit::eNow &&
        (best == nullptr || order(worker) < order(*best))) {
      best = &worker;
    }
  }
  if (best != nullptr) {
    best->isReserved = true;
  }
  return best;
}

} // namespace magnoliadrum
