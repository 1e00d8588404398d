#include "placement/WaitingTasks.h"

namespace magnoliadrum {

namespace {

bool
ranBefore(const TaskInfo& aTask)
{
  return aTask.attempts > 0 || aTask.peakUse != ResourceAmount{};
}

GroupIndex
groupOf(const TaskInfo& aTask)
{
  return aTask.entry * 2 + (ranBefore(aTask) ? 1 : 0);
}

} // namespace

void
WaitingTasks::add(TaskIndex aTask, std::int64_t aNowMs)
{
  TaskInfo& added = mCluster.task(aTask);
  if (added.waiting) {
    return;
  }
  added.waiting = true;
  added.waitingSinceMs = aNowMs;
  ++added.generation;
  ++mSize;
  if (added.earliestRetryMs > aNowMs) {
    mDelayedTasks.push({ added.earliestRetryMs, aTask, added.generation });
    return;
  }
  enqueue(aTask);
}

void
WaitingTasks::enqueue(TaskIndex aTask)
{
  const TaskInfo& added = mCluster.task(aTask);
  const GroupIndex groupIndex = groupOf(added);
  if (mGroups.size() <= groupIndex) {
    mGroups.resize(groupIndex + 1);
  }
  WaitingGroup& waitingGroup = mGroups[groupIndex];
  waitingGroup.entry = added.entry;
  waitingGroup.ranBefore = ranBefore(added);
  if (!waitingGroup.isListed) {
    waitingGroup.isListed = true;
    waitingGroup.blockedAtFreedCount.reset();
    waitingGroup.isFeasibilityChecked = false;
    mNonEmpty.push_back(groupIndex);
  }
  waitingGroup.queue.push_back({ aTask, added.generation });
}

void
WaitingTasks::remove(TaskIndex aTask)
{
  TaskInfo& removed = mCluster.task(aTask);
  if (!removed.waiting) {
    return;
  }
  removed.waiting = false;
  ++removed.generation;
  --mSize;
}

void
WaitingTasks::enqueueDue(std::int64_t aNowMs)
{
  while (!mDelayedTasks.empty() && mDelayedTasks.top().dueAtMs <= aNowMs) {
    const DelayedTask due = mDelayedTasks.top();
    mDelayedTasks.pop();
    if (isCurrent({ due.task, due.generation })) {
      enqueue(due.task);
    }
  }
}

bool
WaitingTasks::isCurrent(const WaitingGroup::QueuedTask& aQueued) const
{
  const TaskInfo& task = mCluster.task(aQueued.task);
  return task.waiting && task.generation == aQueued.generation;
}

std::optional<TaskIndex>
WaitingTasks::front(GroupIndex aGroup)
{
  WaitingGroup& waitingGroup = mGroups[aGroup];
  while (!waitingGroup.queue.empty() && !isCurrent(waitingGroup.queue.front())) {
    waitingGroup.queue.pop_front();
  }
  if (waitingGroup.queue.empty()) {
    return std::nullopt;
  }
  return waitingGroup.queue.front().task;
}

void
WaitingTasks::rotate(GroupIndex aGroup)
{
  std::deque<WaitingGroup::QueuedTask>& queue = mGroups[aGroup].queue;
  if (queue.size() > 1) {
    queue.push_back(queue.front());
    queue.pop_front();
  }
}

bool
WaitingTasks::hasWaiting(EntryIndex aEntry)
{
  const GroupIndex first = aEntry * 2;
  return (first < mGroups.size() && front(first)) ||
         (first + 1 < mGroups.size() && front(first + 1));
}

std::map<OwnerIndex, std::vector<GroupIndex>>
WaitingTasks::groupsByOwner(Priority aPriority)
{
  std::map<OwnerIndex, std::vector<GroupIndex>> result;
  std::erase_if(mNonEmpty, [this](GroupIndex aGroup) {
    mGroups[aGroup].isListed = front(aGroup).has_value();
    return !mGroups[aGroup].isListed;
  });
  for (const GroupIndex groupIndex : mNonEmpty) {
    const EntryInfo& entryOfGroup = mCluster.entry(mGroups[groupIndex].entry);
    if (entryOfGroup.known && entryOfGroup.priority == aPriority) {
      result[entryOfGroup.owner].push_back(groupIndex);
    }
  }
  return result;
}

void
WaitingTasks::unblockAll()
{
  for (const GroupIndex groupIndex : mNonEmpty) {
    mGroups[groupIndex].blockedAtFreedCount.reset();
  }
}

std::size_t
WaitingTasks::bytes() const
{
  std::size_t total = mGroups.capacity() * sizeof(WaitingGroup);
  for (const WaitingGroup& waitingGroup : mGroups) {
    total += waitingGroup.queue.size() * sizeof(WaitingGroup::QueuedTask);
  }
  return total;
}

} // namespace magnoliadrum
