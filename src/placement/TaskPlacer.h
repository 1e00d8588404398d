#pragma once

#include "placement/PlacementContext.h"
#include "placement/WorkerSelector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace magnoliadrum {

/**
 * Places waiting tasks: by priority, then by the owner with the smallest share, then by age.
 *
 * Keeps workers free for tasks that waited long, and tasks that no worker can run out of the way.
 */
class TaskPlacer
{
public:
  TaskPlacer(PlacementContext& aContext, const WorkerSelector& aSelector)
    : mContext(aContext)
    , mSelector(aSelector)
  {
  }

  void placeWaiting();

  /** Sets a task aside that no worker can run. */
  void park(TaskIndex aTask);

  /** Looks at tasks set aside again; needed only when workers, entries or quotas changed. */
  void reconsiderParked();

  /** Ends the holds that are no longer needed. */
  void releaseHolds();

  /** Keeps a worker free for an entry. */
  void holdWorker(WorkerIndex aWorker, EntryIndex aEntry);
  bool hasHeldWorker(EntryIndex aEntry) const;

  /** Groups above batch priority that found no worker in this round. */
  const std::vector<GroupIndex>& unplacedPriorityGroups() const { return mUnplacedPriorityGroups; }

  /** Returns the request that looks for a worker for the next task of a group. */
  WorkerRequest requestFor(GroupIndex aGroup, TaskIndex aTask) const;

private:
  void placePriority(Priority aPriority);
  bool placeNextTask(std::vector<GroupIndex>& aGroups);
  bool placeFromGroup(GroupIndex aGroup);
  bool placeFrontTask(GroupIndex aGroup);
  bool checkFeasibility(GroupIndex aGroup);
  void declareImpossible(GroupIndex aGroup);
  std::int64_t waitedMs(TaskIndex aTask) const;
  bool mayStart(GroupIndex aGroup, const ResourceAmount& aRequired) const;
  void place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aRequired);
  void holdLeastReservedWorker(EntryIndex aEntry, const ResourceAmount& aRequired);
  std::int32_t perRackLimit(EntryIndex aEntry) const;

  PlacementContext& mContext;
  const WorkerSelector& mSelector;
  std::vector<WorkerIndex> mHolds;
  std::map<EntryIndex, std::vector<WaitingGroup::QueuedTask>> mParked;
  std::vector<GroupIndex> mUnplacedPriorityGroups;
};

} // namespace magnoliadrum
