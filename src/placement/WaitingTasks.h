#pragma once

#include "placement/ClusterModel.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <vector>

namespace magnoliadrum {

using GroupIndex = std::uint32_t;

/**
 * Waiting tasks of one entry, oldest first. Tasks that never ran all need the same room and are one
 * group; tasks that ran before are another, because each needs what it was seen to use and avoids
 * the worker on which it failed.
 */
struct WaitingGroup
{
  struct QueuedTask
  {
    TaskIndex task;
    std::uint32_t generation;
  };

  EntryIndex entry = kNoIndex;
  bool ranBefore = false;
  /** It is among the groups to look at. */
  bool isListed = false;
  std::deque<QueuedTask> queue;
  /** Did not fit anywhere when the ledger counted this many freed workers. */
  std::optional<std::uint64_t> blockedAtFreedCount;
  /** It was checked whether any worker could run it. */
  bool isFeasibilityChecked = false;
  /** Why no registered worker could ever run it; empty when one could. */
  std::string impossibleReason;
  std::int64_t impossibleSinceMs = -1;
};

/**
 * Waiting tasks by priority, owner and group.
 *
 * Whether a task fits is decided once per group, not once per task, so the cost of a round depends
 * on the number of entries that wait and not on the number of tasks.
 */
class WaitingTasks
{
public:
  explicit WaitingTasks(ClusterModel& aCluster)
    : mCluster(aCluster)
  {
  }

  void add(TaskIndex aTask, std::int64_t aNowMs);
  void remove(TaskIndex aTask);

  /** Makes tasks available whose wait before a retry is over. */
  void enqueueDue(std::int64_t aNowMs);

  /** Returns the oldest task of a group; nothing when it is empty. */
  std::optional<TaskIndex> front(GroupIndex aGroup);

  /** Tells whether tasks of an entry wait for a worker. */
  bool hasWaiting(EntryIndex aEntry);

  /** Moves the oldest task of a group behind the others. */
  void rotate(GroupIndex aGroup);

  WaitingGroup& group(GroupIndex aGroup) { return mGroups[aGroup]; }

  /** Non-empty groups of one priority, by owner. */
  std::map<OwnerIndex, std::vector<GroupIndex>> groupsByOwner(Priority aPriority);

  /** Lets all groups try every worker again, after a change that frees no worker. */
  void unblockAll();

  std::size_t size() const { return mSize; }
  std::size_t bytes() const;

private:
  struct DelayedTask
  {
    std::int64_t dueAtMs;
    TaskIndex task;
    std::uint32_t generation;

    bool operator<(const DelayedTask& aOther) const { return dueAtMs > aOther.dueAtMs; }
  };

  void enqueue(TaskIndex aTask);
  bool isCurrent(const WaitingGroup::QueuedTask& aQueued) const;

  ClusterModel& mCluster;
  /** Two per entry: tasks that never ran, tasks that ran before. */
  std::vector<WaitingGroup> mGroups;
  std::vector<GroupIndex> mNonEmpty;
  std::priority_queue<DelayedTask> mDelayedTasks;
  std::size_t mSize = 0;
};

} // namespace magnoliadrum
