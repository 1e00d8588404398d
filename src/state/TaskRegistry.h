#pragma once

#include "generated/generated.h"
#include "state/Catalogue.h"
#include "state/Outcome.h"
#include "state/SessionRegistry.h"
#include "state/TaskIndex.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/**
 * Decides the transitions of tasks.
 *
 * A task is held by at most one session, from its placement until the stop is confirmed, the run
 * ends or the session ends. Each placement raises the epoch by one and only reports of the current
 * epoch count. A standing task has no end of its own: it becomes pending again after any end of a
 * run, and its record is removed when the entry no longer wants it.
 */
class TaskRegistry
{
public:
  static TaskRegistry fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const { mIndex.writeTo(aSnapshot); }

  const TaskIndex& index() const { return mIndex; }
  std::set<std::string> takeChanged() { return mIndex.takeChanged(); }

  /** Creates a run of a batch entry. */
  Outcome create(const CreateTask& aCommand, const Catalogue& aCatalogue);

  /** Cancels a batch task; a placed one is stopped first. */
  Outcome cancel(const CancelTask& aCommand);

  /**
   * Places a pending task on an agent's session. Refused unless the data centre is allowed, the
   * target is not draining and the declared resources of all its tasks fit the target.
   */
  Outcome place(const PlaceTask& aCommand,
                const Catalogue& aCatalogue,
                const SessionRegistry& aSessions);

  /** Asks for the stop of a placed or running task. */
  Outcome requestStop(const RequestStop& aCommand);

  /** Commits a reported transition, or that a pending task is impossible. */
  Outcome move(const MoveTask& aCommand, const Catalogue& aCatalogue);

  /** Ends the runs that a session held. */
  void endSession(std::int64_t aSession, const std::string& aReason);

  /**
   * Moves the listed tasks of an ended session to the new session of the same process and ends the
   * others. Returns the listed tasks that are not placed on the new session.
   */
  std::vector<RunningTask> adopt(std::int64_t aEndedSession,
                                 const SessionRecord& aSession,
                                 const std::vector<RunningTask>& aListed,
                                 const Catalogue& aCatalogue);

  /** Adjusts the tasks of an entry after a change to it, or after its deletion. */
  void applyEntryChange(const std::string& aEntryName,
                        const Catalogue& aCatalogue,
                        const SessionRegistry& aSessions);

private:
  Outcome update(TaskRecord::Fields aFields);
  TaskRecord startCancellation(const TaskRecord& aTask, const std::string& aDetail);
  TaskRecord endRun(const TaskRecord& aTask, TaskRecord::Fields aFields);
  TaskRecord finish(TaskRecord::Fields aFields, TaskState aState);
  Outcome moveActive(const TaskRecord& aTask,
                     const MoveTask& aCommand,
                     const Catalogue& aCatalogue);
  Outcome moveCompleted(const TaskRecord& aTask, const MoveTask& aCommand);
  Outcome failRun(const TaskRecord& aTask, TaskRecord::Fields aFields, const Catalogue& aCatalogue);
  Outcome completeRun(const TaskRecord& aTask, TaskRecord::Fields aFields);
  /** Ends or resumes an unknown outcome that the worker which ran the task can tell. */
  bool resolveUnknownOutcome(const RunningTask& aListed, const SessionRecord& aSession);
  void ensureStandingTasks(const CatalogueEntry& aEntry);
  void stopInDisallowedDataCentres(const CatalogueEntry& aEntry, const SessionRegistry& aSessions);
  void requestStopOf(const TaskRecord& aTask, const std::string& aDetail);

  TaskIndex mIndex;
};

} // namespace magnoliadrum
