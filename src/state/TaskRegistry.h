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
 * Applies the commands that change tasks and decides their state transitions.
 *
 * A task is held by at most one session, from its placement until the stop is confirmed, the run
 * ends or the session ends. Each placement raises the epoch by one, and reports of any other epoch
 * are refused. A standing task never finishes by itself: it becomes pending again whenever a run
 * ends, and its record is removed when the entry no longer declares it.
 */
class TaskRegistry
{
public:
  static TaskRegistry fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const { mIndex.writeTo(aSnapshot); }

  const TaskIndex& index() const { return mIndex; }
  std::set<std::string> takeChanged() { return mIndex.takeChanged(); }

  /** Creates the task of a batch run; returns the existing one if the run key is known. */
  Outcome create(const CreateTask& aCommand, const Catalogue& aCatalogue);

  /** Cancels a batch task. A placed or running task is stopped first. */
  Outcome cancel(const CancelTask& aCommand);

  /**
   * Places a pending task on an agent's session. Refused unless the data centre is allowed, the
   * target is not draining and the declared resources of all its tasks fit the target.
   */
  Outcome place(const PlaceTask& aCommand,
                const Catalogue& aCatalogue,
                const SessionRegistry& aSessions);

  /** Requests the stop of a placed or running task. */
  Outcome requestStop(const RequestStop& aCommand);

  /** Applies a reported transition, or marks a pending task as impossible. */
  Outcome move(const MoveTask& aCommand, const Catalogue& aCatalogue);

  /** Ends the runs of all tasks that a session holds. */
  void endSession(std::int64_t aSession, const std::string& aReason);

  /**
   * Moves the tasks of an ended session that the agent lists to the new session of the same process
   * and ends the runs of the others. Returns the listed tasks that are not placed on the new
   * session.
   */
  std::vector<RunningTask> adopt(std::int64_t aEndedSession,
                                 const SessionRecord& aSession,
                                 const std::vector<RunningTask>& aListed,
                                 const Catalogue& aCatalogue);

  /** Updates the tasks of an entry after the entry was changed or deleted. */
  void applyEntryChange(const std::string& aEntryName,
                        const Catalogue& aCatalogue,
                        const SessionRegistry& aSessions);

private:
  Outcome storeTask(TaskRecord::Fields aFields);
  TaskRecord startCancellation(const TaskRecord& aTask, const std::string& aDetail);
  TaskRecord endRun(const TaskRecord& aTask, TaskRecord::Fields aFields);
  TaskRecord finish(TaskRecord::Fields aFields, TaskState aState);
  Outcome moveActive(const TaskRecord& aTask,
                     const MoveTask& aCommand,
                     const Catalogue& aCatalogue);
  Outcome moveCompleted(const TaskRecord& aTask, const MoveTask& aCommand);
  Outcome failRun(const TaskRecord& aTask, TaskRecord::Fields aFields, const Catalogue& aCatalogue);
  Outcome completeRun(const TaskRecord& aTask, TaskRecord::Fields aFields);
  /**
   * Resolves an unknown outcome when the worker that ran the task reports it as published or still
   * completed. Returns false if there is nothing to resolve.
   */
  bool resolveUnknownOutcome(const RunningTask& aListed, const SessionRecord& aSession);
  void ensureStandingTasks(const CatalogueEntry& aEntry);
  void stopInDisallowedDataCentres(const CatalogueEntry& aEntry, const SessionRegistry& aSessions);
  void requestStopOf(const TaskRecord& aTask, const std::string& aDetail);

  TaskIndex mIndex;
};

} // namespace magnoliadrum
