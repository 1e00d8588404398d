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
 * Queue of waiting tasks of one entry, oldest first unless rotate() was called.
 *
 * Tasks that never ran form one group because they all need the same resources. Tasks that ran
 * before form another, because each needs its own observed use and avoids the target on which it
 * failed.
 */
struct WaitingGroup
{
  /** The task is still queued here only while its generation matches. */
  struct QueuedTask
  {
    TaskIndex task;
    std::uint32_t generation;
  };

  EntryIndex entry = kNoIndex;
  bool ranBefore = false;
  /** It is in the list of non-empty groups. */
  bool isListed = false;
  std::deque<QueuedTask> queue;
  /** Value of ClusterModel::freedEventCount() when its task last fitted on no worker. */
  std::optional<std::uint64_t> blockedAtFreedCount;
  /** The feasibility of the entry was checked. */
  bool isFeasibilityChecked = false;
  /** Why no registered worker could run the entry; empty when one could. */
  std::string impossibleReason;
  std::int64_t impossibleSinceMs = -1;
};

/**
 * Waiting tasks by priority, owner and group.
 *
 * Whether a task fits is decided once per group and not once per task, so the cost of a round
 * depends on the number of waiting entries and not on the number of waiting tasks.
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

  /** Queues the delayed tasks whose retry is due. */
  void enqueueDue(std::int64_t aNowMs);

  /** Drops stale items and returns the first task of a group; empty when there is none. */
  std::optional<TaskIndex> front(GroupIndex aGroup);

  /** Returns whether tasks of an entry wait for a worker. */
  bool hasWaiting(EntryIndex aEntry);

  /** Moves the first task of a group to the end. */
  void rotate(GroupIndex aGroup);

  WaitingGroup& group(GroupIndex aGroup) { return mGroups[aGroup]; }

  /** Returns the non-empty groups of one priority by owner. */
  std::map<OwnerIndex, std::vector<GroupIndex>> groupsByOwner(Priority aPriority);

  /** Makes all groups consider every worker again, after a change that is no freed-worker event. */
  void unblockAll();

  std::size_t size() const { return mSize; }
  std::size_t bytes() const;

private:
  /** A task that waits for its retry; ordered so that the earliest is on top of the heap. */
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
  /** Two groups per entry: tasks that never ran, then tasks that ran before. */
  std::vector<WaitingGroup> mGroups;
  std::vector<GroupIndex> mNonEmpty;
  std::priority_queue<DelayedTask> mDelayedTasks;
  std::size_t mSize = 0;
};

} // namespace magnoliadrum
