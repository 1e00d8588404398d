#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace magnoliadrum {

/**
 * The task records with their indices. It stores what TaskRegistry decides.
 *
 * A finished batch task is kept, so that its run key finds it, until kMaxFinishedTasks later ones
 * have finished; its payload is dropped. At 45,000 jobs a day that is more than four days.
 */
class TaskIndex
{
public:
  static constexpr std::size_t kMaxFinishedTasks = 200000;

  static TaskIndex fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  /** Returns a task; null when there is none. */
  const TaskRecord* find(const std::string& aTaskId) const;

  const std::map<std::string, TaskRecord>& all() const { return mTasks; }

  /** Ids of the tasks that an agent's session holds. */
  const std::set<std::string>& heldBy(std::int64_t aSession) const;

  /** Ids of the tasks of an entry. */
  const std::set<std::string>& ofEntry(const std::string& aEntryName) const;

  /** Ids of the tasks that wait for a placement. */
  const std::set<std::string>& pending() const { return mPending; }

  /**
   * The epoch that a new task starts from. No record that was removed had a higher one, so a task
   * that is created again under an old id never repeats an epoch that an agent has seen.
   */
  std::int64_t epochFloor() const { return mEpochFloor; }

  /** Inserts or replaces a task. Precondition: a stored terminal state does not change. */
  void put(TaskRecord aTask);

  /** Removes a task. */
  void remove(const std::string& aTaskId);

  /** Returns the ids of the tasks that were put or removed since the last call. */
  std::set<std::string> takeChanged();

private:
  void removeFromIndices(const TaskRecord& aTask);
  void addToIndices(const TaskRecord& aTask);
  void recordFinished(const std::string& aTaskId);

  std::map<std::string, TaskRecord> mTasks;
  std::map<std::int64_t, std::set<std::string>> mHeld;
  std::map<std::string, std::set<std::string>> mByEntry;
  std::set<std::string> mPending;
  std::deque<std::string> mFinished;
  std::int64_t mEpochFloor = 0;
  /** Not part of the replicated state. */
  std::set<std::string> mChanged;
};

} // namespace magnoliadrum
