#include "placement/WaitingTasks.h"

namespace magnoliadrum {

namespace {

bool
ranBefore(const TaskAccount& aTask)
{
  return aTask.attempts > 0 || aTask.observed != ResourceAmount{};
}

GroupIndex
groupOf(const TaskAccount& aTask)
{
  return aTask.entry * 2 + (ranBefore(aTask) ? 1 : 0);
}

} // namespace

void
WaitingTasks::add(TaskIndex aTask, std::int64_t aNowMs)
{
  TaskAccount& added = mLedger.task(aTask);
  if (added.waiting) {
    return;
  }
  added.waiting = true;
  added.waitingSinceMs = aNowMs;
  ++added.ticket;
  ++mSize;
  if (added.notBeforeMs > aNowMs) {
    mSleepers.push({ added.notBeforeMs, aTask, added.ticket });
    return;
  }
  enqueue(aTask);
}

void
WaitingTasks::enqueue(TaskIndex aTask)
{
  const TaskAccount& added = mLedger.task(aTask);
  const GroupIndex found = groupOf(added);
  if (mGroups.size() <= found) {
    mGroups.resize(found + 1);
  }
  WaitingGroup& joined = mGroups[found];
  joined.entry = added.entry;
  joined.ranBefore = ranBefore(added);
  if (!joined.listed) {
    joined.listed = true;
    joined.blockedAt.reset();
    joined.checked = false;
    mNonEmpty.push_back(found);
  }
  joined.places.push_back({ aTask, added.ticket });
}

void
WaitingTasks::remove(TaskIndex aTask)
{
  TaskAccount& removed = mLedger.task(aTask);
  if (!removed.waiting) {
    return;
  }
  removed.waiting = false;
  ++removed.ticket;
  --mSize;
}

void
WaitingTasks::wake(std::int64_t aNowMs)
{
  while (!mSleepers.empty() && mSleepers.top().wakeAtMs <= aNowMs) {
    const Sleeper woken = mSleepers.top();
    mSleepers.pop();
    if (isLive({ woken.task, woken.ticket })) {
      enqueue(woken.task);
    }
  }
}

bool
WaitingTasks::isLive(const WaitingGroup::Place& aPlace) const
{
  const TaskAccount& placed = mLedger.task(aPlace.task);
  return placed.waiting && placed.ticket == aPlace.ticket;
}

std::optional<TaskIndex>
WaitingTasks::front(GroupIndex aGroup)
{
  WaitingGroup& looked = mGroups[aGroup];
  while (!looked.places.empty() && !isLive(looked.places.front())) {
    looked.places.pop_front();
  }
  if (looked.places.empty()) {
    return std::nullopt;
  }
  return looked.places.front().task;
}

void
WaitingTasks::rotate(GroupIndex aGroup)
{
  std::deque<WaitingGroup::Place>& places = mGroups[aGroup].places;
  if (places.size() > 1) {
    places.push_back(places.front());
    places.pop_front();
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
    mGroups[aGroup].listed = front(aGroup).has_value();
    return !mGroups[aGroup].listed;
  });
  for (const GroupIndex found : mNonEmpty) {
    const EntryAccount& entryOfGroup = mLedger.entry(mGroups[found].entry);
    if (entryOfGroup.known && entryOfGroup.priority == aPriority) {
      result[entryOfGroup.owner].push_back(found);
    }
  }
  return result;
}

void
WaitingTasks::unblockAll()
{
  for (const GroupIndex found : mNonEmpty) {
    mGroups[found].blockedAt.reset();
  }
}

std::size_t
WaitingTasks::bytes() const
{
  std::size_t total = mGroups.capacity() * sizeof(WaitingGroup);
  for (const WaitingGroup& counted : mGroups) {
    total += counted.places.size() * sizeof(WaitingGroup::Place);
  }
  return total;
}

} // namespace magnoliadrum
