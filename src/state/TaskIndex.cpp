#include "state/TaskIndex.h"

#include "state/BuildValue.h"
#include "state/TaskRules.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace magnoliadrum {

namespace {

const std::set<std::string> kNoTasks;

template<typename Key>
const std::set<std::string>&
findTaskIds(const std::map<Key, std::set<std::string>>& aIndex, const Key& aKey)
{
  const auto position = aIndex.find(aKey);
  return position != aIndex.end() ? position->second : kNoTasks;
}

template<typename Key>
void
removeTaskId(std::map<Key, std::set<std::string>>& aIndex,
             const Key& aKey,
             const std::string& aTaskId)
{
  const auto position = aIndex.find(aKey);
  if (position == aIndex.end()) {
    return;
  }
  position->second.erase(aTaskId);
  if (position->second.empty()) {
    aIndex.erase(position);
  }
}

TaskRecord
withoutPayload(const TaskRecord& aTask)
{
  TaskRecord::Fields fields = aTask.fields();
  fields.payload.clear();
  return buildValue<TaskRecord>(std::move(fields));
}

} // namespace

TaskIndex
TaskIndex::fromSnapshot(const StateSnapshot& aSnapshot)
{
  TaskIndex index;
  index.mEpochFloor = aSnapshot.epochFloor();
  for (const TaskRecord& task : aSnapshot.tasks()) {
    index.mTasks.emplace(task.taskId(), task);
    index.addToIndices(task);
  }
  index.mFinished.assign(aSnapshot.finished().begin(), aSnapshot.finished().end());
  return index;
}

void
TaskIndex::writeTo(StateSnapshot::Fields& aSnapshot) const
{
  aSnapshot.epochFloor = mEpochFloor;
  for (const auto& [taskId, task] : mTasks) {
    aSnapshot.tasks.push_back(task);
  }
  aSnapshot.finished.assign(mFinished.begin(), mFinished.end());
}

const TaskRecord*
TaskIndex::find(const std::string& aTaskId) const
{
  const auto position = mTasks.find(aTaskId);
  return position != mTasks.end() ? &position->second : nullptr;
}

const std::set<std::string>&
TaskIndex::heldBy(std::int64_t aSession) const
{
  return findTaskIds(mHeld, aSession);
}

const std::set<std::string>&
TaskIndex::ofEntry(const std::string& aEntryName) const
{
  return findTaskIds(mByEntry, aEntryName);
}

void
TaskIndex::put(TaskRecord aTask)
{
  const std::string taskId = aTask.taskId();
  const bool finished = isTerminal(aTask.state());
  if (const TaskRecord* current = find(taskId)) {
    const bool wasUnknown = current->state() == TaskState::eOutcomeUnknown;
    assert(!isTerminal(current->state()) || current->state() == aTask.state() || wasUnknown);
    if (isTerminal(current->state())) {
      std::erase(mFinished, taskId);
    }
    removeFromIndices(*current);
  }
  mChanged.insert(taskId);
  addToIndices(aTask);
  mTasks.insert_or_assign(taskId, finished ? withoutPayload(aTask) : std::move(aTask));
  if (finished) {
    recordFinished(taskId);
  }
}

void
TaskIndex::recordFinished(const std::string& aTaskId)
{
  mFinished.push_back(aTaskId);
  if (mFinished.size() > kMaxFinishedTasks) {
    const std::string oldest = std::move(mFinished.front());
    mFinished.pop_front();
    remove(oldest);
  }
}

void
TaskIndex::remove(const std::string& aTaskId)
{
  const auto position = mTasks.find(aTaskId);
  if (position == mTasks.end()) {
    return;
  }
  mEpochFloor = std::max(mEpochFloor, position->second.epoch());
  removeFromIndices(position->second);
  mTasks.erase(position);
  mChanged.insert(aTaskId);
}

std::set<std::string>
TaskIndex::takeChanged()
{
  return std::exchange(mChanged, {});
}

void
TaskIndex::removeFromIndices(const TaskRecord& aTask)
{
  removeTaskId(mHeld, aTask.session(), aTask.taskId());
  removeTaskId(mByEntry, aTask.entryName(), aTask.taskId());
  mPending.erase(aTask.taskId());
}

void
TaskIndex::addToIndices(const TaskRecord& aTask)
{
  mByEntry[aTask.entryName()].insert(aTask.taskId());
  if (isHeld(aTask.state())) {
    mHeld[aTask.session()].insert(aTask.taskId());
  }
  if (aTask.state() == TaskState::ePending) {
    mPending.insert(aTask.taskId());
  }
}

} // namespace magnoliadrum
