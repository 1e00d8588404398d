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
class RoomMaker
{
public:
  RoomMaker(PlacementContext& aContext, const WorkerSelector& aSelector)
    : mContext(aContext)
    , mSelector(aSelector)
  {
  }

  /** Throttles or evicts on workers that hold more than they have, and lifts limits where they fit.
   */
  void keepCapacity();

  /** Moves tasks away from draining workers as far as there is room elsewhere. */
  void emptyDraining();

  /** Evicts batch tasks for groups that found no worker. */
  void makeRoomFor(const std::vector<GroupIndex>& aGroups, TaskPlacer& aPlacer);

private:
  struct Plan
  {
    WorkerIndex worker = kNoIndex;
    double cost = 0;
    std::vector<TaskIndex> victims;
  };

  void limitProcessorUse(WorkerIndex aWorker);
  void liftLimits(WorkerIndex aWorker);
  void restoreMemory(WorkerIndex aWorker);
  void limit(TaskIndex aTask, std::int64_t aCpuMilli, const char* aReason);
  std::vector<TaskIndex> victimsByCost(WorkerIndex aWorker) const;
  Plan planOn(WorkerIndex aWorker, const WorkerRequest& aRequest) const;

  PlacementContext& mContext;
  const WorkerSelector& mSelector;
};

} // namespace magnoliadrum
