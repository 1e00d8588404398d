#pragma once

#include "placement/PlacementContext.h"
#include "placement/TaskPlacer.h"
#include "placement/WorkerSelector.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/**
 * Resolves overcommitted workers, moves tasks away from draining workers and preempts batch tasks
 * for urgent and latency-critical ones.
 */
class CapacityController
{
public:
  CapacityController(PlacementContext& aContext, const WorkerSelector& aSelector)
    : mContext(aContext)
    , mSelector(aSelector)
  {
  }

  /** Throttles or evicts tasks on overcommitted workers; lifts CPU limits where capacity allows. */
  void enforceCapacity();

  /** Moves tasks away from draining workers as far as other workers have free capacity. */
  void drainWorkers();

  /** Evicts batch tasks to free capacity for groups that found no worker. */
  void preemptFor(const std::vector<GroupIndex>& aGroups, TaskPlacer& aPlacer);

private:
  /** Tasks to evict so that a request fits on a worker; worker is kNoIndex when it cannot fit. */
  struct PreemptionPlan
  {
    WorkerIndex worker = kNoIndex;
    double cost = 0;
    std::vector<TaskIndex> victims;
  };

  void throttleOverusers(WorkerIndex aWorker);
  void liftCpuLimits(WorkerIndex aWorker);
  void evictForMemory(WorkerIndex aWorker);
  void setCpuLimit(TaskIndex aTask, std::int64_t aCpuMilli, const char* aReason);
  /** Returns the batch tasks that may be evicted, cheapest first. */
  std::vector<TaskIndex> victimsByCost(WorkerIndex aWorker) const;
  PreemptionPlan planPreemption(WorkerIndex aWorker, const WorkerRequest& aRequest) const;

  PlacementContext& mContext;
  const WorkerSelector& mSelector;
};

} // namespace magnoliadrum
