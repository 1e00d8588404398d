#pragma once

#include "placement/PlacementContext.h"
#include "placement/WorkerSelector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace magnoliadrum {

/**
 * Places waiting tasks: by priority, then by the owner with the smallest dominant share, then by
 * waiting time.
 *
 * Holds workers free for tasks that have waited long, and sets aside tasks that no worker can run.
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

  /** Sets aside a task that no worker can run. */
  void park(TaskIndex aTask);

  /** Queues parked tasks that a worker can run now, if workers, entries or quotas changed. */
  void reconsiderParked();

  /** Releases holds that were used, that expired or whose entry has no waiting tasks. */
  void releaseHolds();

  /** Holds a worker free for an entry. */
  void holdWorker(WorkerIndex aWorker, EntryIndex aEntry);
  /** Returns whether a worker is held for an entry. */
  bool hasHeldWorker(EntryIndex aEntry) const;

  /** Returns the groups above batch priority for which no worker was found in this round. */
  const std::vector<GroupIndex>& unplacedPriorityGroups() const { return mUnplacedPriorityGroups; }

  /** Returns the worker requirements of a task of a group. */
  WorkerRequest requestFor(GroupIndex aGroup, TaskIndex aTask) const;

private:
  void placePriority(Priority aPriority);
  bool placeNextTask(std::vector<GroupIndex>& aGroups);
  bool placeFromGroup(GroupIndex aGroup);
  bool placeFrontTask(GroupIndex aGroup);
  /** Returns whether a worker could run the group; declares it impossible after a delay if not. */
  bool checkFeasibility(GroupIndex aGroup);
  void declareImpossible(GroupIndex aGroup);
  std::int64_t waitedMs(TaskIndex aTask) const;
  /** Returns whether the quota and the limit for faulty entries allow another start. */
  bool mayStart(GroupIndex aGroup, const ResourceAmount& aRequired) const;
  void place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aRequired);
  void holdLeastReservedWorker(EntryIndex aEntry, const ResourceAmount& aRequired);
  std::int32_t perRackLimit(EntryIndex aEntry) const;

  PlacementContext& mContext;
  const WorkerSelector& mSelector;
  /** Workers held free for an entry. */
  std::vector<WorkerIndex> mHolds;
  /** Tasks that no worker can run, by entry. */
  std::map<EntryIndex, std::vector<WaitingGroup::QueuedTask>> mParked;
  std::vector<GroupIndex> mUnplacedPriorityGroups;
};

} // namespace magnoliadrum
