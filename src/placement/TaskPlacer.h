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
  void dropHolds();

  /** Keeps a worker free for an entry. */
  void hold(WorkerIndex aWorker, EntryIndex aEntry);
  bool isHeld(EntryIndex aEntry) const;

  /** Groups above batch priority that found no worker in this round. */
  const std::vector<GroupIndex>& unplacedImportant() const { return mUnplacedImportant; }

  /** Returns the request that looks for a worker for the next task of a group. */
  WorkerRequest requestFor(GroupIndex aGroup, TaskIndex aTask) const;

private:
  void placePriority(Priority aPriority);
  bool placeOldest(std::vector<GroupIndex>& aGroups);
  bool placeOne(GroupIndex aGroup);
  bool placeFront(GroupIndex aGroup);
  bool checkPossible(GroupIndex aGroup);
  void tellImpossible(GroupIndex aGroup);
  std::int64_t waitedMs(TaskIndex aTask) const;
  bool mayStart(GroupIndex aGroup, const ResourceAmount& aNeed) const;
  void place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aNeed);
  void holdBest(EntryIndex aEntry, const ResourceAmount& aNeed);
  std::int32_t perRackLimit(EntryIndex aEntry) const;

  PlacementContext& mContext;
  const WorkerSelector& mSelector;
  std::vector<WorkerIndex> mHolds;
  std::map<EntryIndex, std::vector<WaitingGroup::Place>> mParked;
  std::vector<GroupIndex> mUnplacedImportant;
};

} // namespace magnoliadrum
