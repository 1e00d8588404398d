#pragma once

#include "placement/PlacementContext.h"
#include "placement/TaskPlacer.h"
#include "placement/WorkerSelector.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/**
 * Restores capacity where tasks use more than was reserved, empties draining workers and makes room
 * for urgent and latency-critical tasks.
 */
class CapacityController
{
public:
  CapacityController(PlacementContext& aContext, const WorkerSelector& aSelector)
    : mContext(aContext)
    , mSelector(aSelector)
  {
  }

  /** Throttles or evicts on workers that hold more than they have, and lifts limits where they fit.
   */
  void enforceCapacity();

  /** Moves tasks away from draining workers as far as there is room elsewhere. */
  void drainWorkers();

  /** Evicts batch tasks for groups that found no worker. */
  void preemptFor(const std::vector<GroupIndex>& aGroups, TaskPlacer& aPlacer);

private:
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
  std::vector<TaskIndex> victimsByCost(WorkerIndex aWorker) const;
  PreemptionPlan planPreemption(WorkerIndex aWorker, const WorkerRequest& aRequest) const;

  PlacementContext& mContext;
  const WorkerSelector& mSelector;
};

} // namespace magnoliadrum
