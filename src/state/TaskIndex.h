#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace magnoliadrum {

/**
 * The task records, indexed by id, session, entry and pending state. TaskRegistry decides the
 * transitions that are stored here.
 *
 * A finished batch task is kept without its payload, so that its run key finds it, until
 * kMaxFinishedTasks later ones have finished. At 45,000 jobs a day that is more than four days.
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

  /** Ids of the tasks that are placed on an agent's session. */
  const std::set<std::string>& heldBy(std::int64_t aSession) const;

  /** Ids of the tasks of an entry. */
  const std::set<std::string>& ofEntry(const std::string& aEntryName) const;

  /** Ids of the tasks that wait for a placement. */
  const std::set<std::string>& pending() const { return mPending; }

  /**
   * The initial epoch of a new task: the highest epoch of all removed records. A task that is
   * created again under an old id therefore never repeats an epoch that an agent has seen.
   */
  std::int64_t epochFloor() const { return mEpochFloor; }

  /**
   * Inserts or replaces a task. Precondition: a stored terminal state does not change, except
   * outcome-unknown.
   */
  void put(TaskRecord aTask);

  /** Removes a task, if it exists, and raises the epoch floor to at least its epoch. */
  void remove(const std::string& aTaskId);

  /** Returns the ids of the tasks that were stored or removed since the last call. */
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
  /** Ids for takeChanged(). Not part of the replicated state. */
  std::set<std::string> mChanged;
};

} // namespace magnoliadrum
