#include "state/TaskRegistry.h"

#include "state/BuildValue.h"
#include "state/PlacementCheck.h"
#include "state/TaskRules.h"

#include <charconv>
#include <optional>
#include <utility>

namespace magnoliadrum {

namespace {

Error
taskError(ErrorCode aCode, const char* aStep, const std::string& aTaskId, std::string aDetail)
{
  return Error::create(aCode, aStep, aTaskId, std::move(aDetail));
}

/** Returns N of the id 'ENTRY/#N' of a standing task; 0 if the id has another form. */
std::int64_t
standingTaskNumber(const TaskRecord& aTask)
{
  std::int64_t number = 0;
  const std::string& taskId = aTask.taskId();
  std::from_chars(
    taskId.data() + aTask.entryName().size() + 2, taskId.data() + taskId.size(), number);
  return number;
}

TaskRecord::Fields
withReport(const TaskRecord& aTask, const MoveTask& aCommand)
{
  TaskRecord::Fields fields = aTask.fields();
  fields.detail = aCommand.detail();
  if (!aCommand.checkpoint().empty()) {
    fields.checkpoint = aCommand.checkpoint();
  }
  return fields;
}

} // namespace

TaskRegistry
TaskRegistry::fromSnapshot(const StateSnapshot& aSnapshot)
{
  TaskRegistry registry;
  registry.mIndex = TaskIndex::fromSnapshot(aSnapshot);
  return registry;
}

Outcome
TaskRegistry::storeTask(TaskRecord::Fields aFields)
{
  const TaskRecord task = buildValue<TaskRecord>(std::move(aFields));
  mIndex.put(task);
  return TaskChanged{ task, true };
}

Outcome
TaskRegistry::create(const CreateTask& aCommand, const Catalogue& aCatalogue)
{
  if (const TaskRecord* existing = mIndex.find(aCommand.taskId())) {
    return TaskCreated{ *existing, false };
  }
  const CatalogueEntry* entry = aCatalogue.findEntry(aCommand.entryName());
  if (entry == nullptr) {
    return taskError(ErrorCode::eNotFound,
                     "task.create",
                     aCommand.taskId(),
                     "entry " + aCommand.entryName() + " does not exist");
  }
  const std::string prefix = batchTaskId(aCommand.entryName(), "");
  if (entry->kind() != EntryKind::eBatch || !aCommand.taskId().starts_with(prefix) ||
      !isRunKey(std::string_view(aCommand.taskId()).substr(prefix.size()))) {
    return taskError(ErrorCode::eInvalid,
                     "task.create",
                     aCommand.taskId(),
                     "needs a batch entry and a run key that does not start with '#'");
  }
  const TaskRecord task = buildValue<TaskRecord>({ .taskId = aCommand.taskId(),
                                                   .entryName = aCommand.entryName(),
                                                   .state = TaskState::ePending,
                                                   .epoch = mIndex.epochFloor(),
                                                   .payload = aCommand.payload(),
                                                   .submittedAtMs = aCommand.submittedAtMs() });
  mIndex.put(task);
  return TaskCreated{ task, true };
}

Outcome
TaskRegistry::cancel(const CancelTask& aCommand)
{
  const TaskRecord* task = mIndex.find(aCommand.taskId());
  if (task == nullptr) {
    return taskError(ErrorCode::eNotFound, "task.cancel", aCommand.taskId(), "does not exist");
  }
  if (isStandingTask(*task)) {
    return taskError(ErrorCode::eRefused,
                     "task.cancel",
                     aCommand.taskId(),
                     "a standing task ends with a change of its entry");
  }
  // The output of a completed task may already be published, so the task cannot be cancelled.
  if (isTerminal(task->state()) || task->state() == TaskState::eCompleted ||
      task->cancelRequested()) {
    return TaskChanged{ *task, false };
  }
  return TaskChanged{ startCancellation(*task, aCommand.detail()), true };
}

TaskRecord
TaskRegistry::startCancellation(const TaskRecord& aTask, const std::string& aDetail)
{
  TaskRecord::Fields fields = aTask.fields();
  fields.detail = aDetail;
  fields.cancelRequested = true;
  if (aTask.state() == TaskState::ePending) {
    return finish(std::move(fields), TaskState::eCancelled);
  }
  fields.stopRequested = true;
  const TaskRecord stopping = buildValue<TaskRecord>(std::move(fields));
  mIndex.put(stopping);
  return stopping;
}

Outcome
TaskRegistry::place(const PlaceTask& aCommand,
                    const Catalogue& aCatalogue,
                    const SessionRegistry& aSessions)
{
  const TaskRecord* task = mIndex.find(aCommand.taskId());
  if (task == nullptr) {
    return taskError(ErrorCode::eNotFound, "task.place", aCommand.taskId(), "does not exist");
  }
  if (task->state() != TaskState::ePending || aCommand.epoch() != task->epoch() + 1) {
    return taskError(ErrorCode::eConflict,
                     "task.place",
                     aCommand.taskId(),
                     std::string("is ") + toText(task->state()) + " at epoch " +
                       std::to_string(task->epoch()));
  }
  const SessionRecord* session = aSessions.find(aCommand.session());
  const CatalogueEntry* entry = aCatalogue.findEntry(task->entryName());
  if (session != nullptr && aSessions.isClosed(*session)) {
    return taskError(ErrorCode::eRefused,
                     "task.place",
                     aCommand.taskId(),
                     "the target is draining or its data centre is evacuated");
  }
  if (const auto fault = findPlacementFault(mIndex, aCatalogue, entry, session)) {
    return taskError(ErrorCode::eRefused, "task.place", aCommand.taskId(), *fault);
  }
  TaskRecord::Fields fields = task->fields();
  fields.state = TaskState::ePlaced;
  fields.epoch = aCommand.epoch();
  fields.session = aCommand.session();
  fields.targetId = session->target()->targetId();
  fields.detail.clear();
  return storeTask(std::move(fields));
}

Outcome
TaskRegistry::requestStop(const RequestStop& aCommand)
{
  const TaskRecord* task = mIndex.find(aCommand.taskId());
  if (task == nullptr) {
    return taskError(ErrorCode::eNotFound, "task.stop", aCommand.taskId(), "does not exist");
  }
  const bool active = task->state() == TaskState::ePlaced || task->state() == TaskState::eRunning;
  if (aCommand.epoch() != task->epoch() || !active) {
    return taskError(ErrorCode::eConflict,
                     "task.stop",
                     aCommand.taskId(),
                     std::string("is ") + toText(task->state()) + " at epoch " +
                       std::to_string(task->epoch()));
  }
  if (task->stopRequested()) {
    return TaskChanged{ *task, false };
  }
  TaskRecord::Fields fields = task->fields();
  fields.stopRequested = true;
  fields.detail = aCommand.detail();
  return storeTask(std::move(fields));
}

Outcome
TaskRegistry::move(const MoveTask& aCommand, const Catalogue& aCatalogue)
{
  const TaskRecord* task = mIndex.find(aCommand.taskId());
  if (task == nullptr) {
    return taskError(ErrorCode::eNotFound, "task.move", aCommand.taskId(), "does not exist");
  }
  if (aCommand.epoch() != task->epoch()) {
    return taskError(ErrorCode::eConflict,
                     "task.move",
                     aCommand.taskId(),
                     "epoch " + std::to_string(aCommand.epoch()) + " is not the current " +
                       std::to_string(task->epoch()));
  }
  switch (task->state()) {
    case TaskState::ePlaced:
    case TaskState::eRunning:
      return moveActive(*task, aCommand, aCatalogue);
    case TaskState::eCompleted:
      return moveCompleted(*task, aCommand);
    case TaskState::ePending: {
      if (aCommand.state() != TaskState::eImpossible) {
        return TaskChanged{ *task, false };
      }
      TaskRecord::Fields fields = withReport(*task, aCommand);
      // A standing task stays pending until its entry changes or a new target is available.
      if (isStandingTask(*task)) {
        return storeTask(std::move(fields));
      }
      return TaskChanged{ finish(std::move(fields), TaskState::eImpossible), true };
    }
    default:
      return TaskChanged{ *task, false };
  }
}

Outcome
TaskRegistry::moveActive(const TaskRecord& aTask,
                         const MoveTask& aCommand,
                         const Catalogue& aCatalogue)
{
  TaskRecord::Fields fields = withReport(aTask, aCommand);
  switch (aCommand.state()) {
    case TaskState::eRunning:
      if (aTask.state() == TaskState::eRunning && fields.checkpoint == aTask.checkpoint()) {
        return TaskChanged{ aTask, false };
      }
      fields.state = TaskState::eRunning;
      return storeTask(std::move(fields));
    case TaskState::eCompleted:
      return completeRun(aTask, std::move(fields));
    case TaskState::eStopped:
      fields.evictions++;
      return TaskChanged{ endRun(aTask, std::move(fields)), true };
    case TaskState::eFailed:
      return failRun(aTask, std::move(fields), aCatalogue);
    case TaskState::eRefused:
      // A refused task never ran, so the refusal counts as neither an attempt nor an eviction.
      if (aTask.state() != TaskState::ePlaced) {
        return TaskChanged{ aTask, false };
      }
      return TaskChanged{ endRun(aTask, std::move(fields)), true };
    default:
      return TaskChanged{ aTask, false };
  }
}

Outcome
TaskRegistry::completeRun(const TaskRecord& aTask, TaskRecord::Fields aFields)
{
  if (isStandingTask(aTask) || aTask.cancelRequested()) {
    return TaskChanged{ endRun(aTask, std::move(aFields)), true };
  }
  aFields.state = TaskState::eCompleted;
  aFields.stopRequested = false;
  return storeTask(std::move(aFields));
}

Outcome
TaskRegistry::failRun(const TaskRecord& aTask,
                      TaskRecord::Fields aFields,
                      const Catalogue& aCatalogue)
{
  aFields.attempts++;
  const CatalogueEntry* entry = aCatalogue.findEntry(aTask.entryName());
  const bool attemptsExhausted =
    entry != nullptr && aFields.attempts >= entry->limits().maxAttempts();
  if (attemptsExhausted && !isStandingTask(aTask) && !aTask.cancelRequested()) {
    return TaskChanged{ finish(std::move(aFields), TaskState::eFailed), true };
  }
  return TaskChanged{ endRun(aTask, std::move(aFields)), true };
}

Outcome
TaskRegistry::moveCompleted(const TaskRecord& aTask, const MoveTask& aCommand)
{
  switch (aCommand.state()) {
    case TaskState::ePublished:
      return TaskChanged{ finish(withReport(aTask, aCommand), TaskState::ePublished), true };
    case TaskState::eStopped:
    case TaskState::eFailed:
    case TaskState::eOutcomeUnknown:
      // The worker lost the output after the completion was committed. The output may have been
      // published before, so the task is never run again.
      return TaskChanged{ finish(withReport(aTask, aCommand), TaskState::eOutcomeUnknown), true };
    default:
      return TaskChanged{ aTask, false };
  }
}

TaskRecord
TaskRegistry::endRun(const TaskRecord& aTask, TaskRecord::Fields aFields)
{
  if (aTask.cancelRequested()) {
    return finish(std::move(aFields), TaskState::eCancelled);
  }
  aFields.state = TaskState::ePending;
  aFields.session = 0;
  aFields.stopRequested = false;
  const TaskRecord pending = buildValue<TaskRecord>(std::move(aFields));
  mIndex.put(pending);
  return pending;
}

TaskRecord
TaskRegistry::finish(TaskRecord::Fields aFields, TaskState aState)
{
  aFields.state = aState;
  aFields.session = 0;
  aFields.stopRequested = false;
  const TaskRecord finished = buildValue<TaskRecord>(std::move(aFields));
  if (isStandingTask(finished)) {
    mIndex.remove(finished.taskId());
  } else {
    mIndex.put(finished);
  }
  return finished;
}

void
TaskRegistry::endSession(std::int64_t aSession, const std::string& aReason)
{
  const std::set<std::string> held = mIndex.heldBy(aSession);
  for (const std::string& taskId : held) {
    const TaskRecord task = *mIndex.find(taskId);
    TaskRecord::Fields fields = task.fields();
    fields.detail = aReason;
    if (task.state() == TaskState::eCompleted) {
      finish(std::move(fields), TaskState::eOutcomeUnknown);
      continue;
    }
    fields.evictions++;
    endRun(task, std::move(fields));
  }
}

std::vector<RunningTask>
TaskRegistry::adopt(std::int64_t aEndedSession,
                    const SessionRecord& aSession,
                    const std::vector<RunningTask>& aListed,
                    const Catalogue& aCatalogue)
{
  std::vector<RunningTask> strays;
  for (const RunningTask& listed : aListed) {
    if (resolveUnknownOutcome(listed, aSession)) {
      continue;
    }
    const TaskRecord* task = mIndex.find(listed.taskId());
    const bool heldByEndedSession = task != nullptr && isHeld(task->state()) &&
                                    aEndedSession != 0 && task->session() == aEndedSession &&
                                    task->epoch() == listed.epoch();
    if (!heldByEndedSession) {
      strays.push_back(listed);
      continue;
    }
    TaskRecord::Fields fields = task->fields();
    fields.session = aSession.session();
    fields.targetId = aSession.target()->targetId();
    storeTask(std::move(fields));
    const TaskRecord moved = *mIndex.find(listed.taskId());
    const CatalogueEntry* entry = aCatalogue.findEntry(moved.entryName());
    if (entry != nullptr && !allowsDataCentre(*entry, aSession.target()->dataCentre())) {
      requestStopOf(moved, "data centre is not allowed");
    }
  }
  endSession(aEndedSession, "the agent restarted and its worker does not hold the task");
  return strays;
}

bool
TaskRegistry::resolveUnknownOutcome(const RunningTask& aListed, const SessionRecord& aSession)
{
  const TaskRecord* task = mIndex.find(aListed.taskId());
  const bool isSameRun = task != nullptr && task->state() == TaskState::eOutcomeUnknown &&
                         task->epoch() == aListed.epoch() &&
                         task->targetId() == aSession.target()->targetId();
  if (!isSameRun) {
    return false;
  }
  TaskRecord::Fields fields = task->fields();
  if (aListed.state() == TaskState::ePublished) {
    finish(std::move(fields), TaskState::ePublished);
    return true;
  }
  if (aListed.state() != TaskState::eCompleted) {
    return false;
  }
  // The worker still holds the output, so it was not published, and no other run was started.
  fields.state = TaskState::eCompleted;
  fields.session = aSession.session();
  storeTask(std::move(fields));
  return true;
}

void
TaskRegistry::applyEntryChange(const std::string& aEntryName,
                               const Catalogue& aCatalogue,
                               const SessionRegistry& aSessions)
{
  const CatalogueEntry* entry = aCatalogue.findEntry(aEntryName);
  const std::set<std::string> existing = mIndex.ofEntry(aEntryName);
  for (const std::string& taskId : existing) {
    const TaskRecord task = *mIndex.find(taskId);
    const bool wanted =
      entry != nullptr &&
      (!isStandingTask(task) || (entry->kind() == EntryKind::eStanding &&
                                 standingTaskNumber(task) <= entry->limits().replicas()));
    const bool ended = isTerminal(task.state()) || task.state() == TaskState::eCompleted;
    if (!wanted && !ended && !task.cancelRequested()) {
      startCancellation(task, "the entry no longer has this task");
    }
  }
  if (entry == nullptr) {
    return;
  }
  if (entry->kind() == EntryKind::eStanding) {
    ensureStandingTasks(*entry);
  }
  stopInDisallowedDataCentres(*entry, aSessions);
}

void
TaskRegistry::ensureStandingTasks(const CatalogueEntry& aEntry)
{
  for (std::int64_t number = 1; number <= aEntry.limits().replicas(); number++) {
    const std::string taskId = standingTaskId(aEntry.name(), number);
    const TaskRecord* task = mIndex.find(taskId);
    if (task == nullptr) {
      storeTask({ .taskId = taskId,
                  .entryName = aEntry.name(),
                  .state = TaskState::ePending,
                  .epoch = mIndex.epochFloor() });
    } else if (task->cancelRequested()) {
      // The stop may already be in progress, so it stays requested. The task is placed again later.
      TaskRecord::Fields fields = task->fields();
      fields.cancelRequested = false;
      storeTask(std::move(fields));
    }
  }
}

void
TaskRegistry::stopInDisallowedDataCentres(const CatalogueEntry& aEntry,
                                          const SessionRegistry& aSessions)
{
  const std::set<std::string> existing = mIndex.ofEntry(aEntry.name());
  for (const std::string& taskId : existing) {
    const TaskRecord task = *mIndex.find(taskId);
    const SessionRecord* session = aSessions.find(task.session());
    if (session != nullptr && session->target() &&
        !allowsDataCentre(aEntry, session->target()->dataCentre())) {
      requestStopOf(task, "data centre is no longer allowed");
    }
  }
}

void
TaskRegistry::requestStopOf(const TaskRecord& aTask, const std::string& aDetail)
{
  if (aTask.state() == TaskState::eCompleted || aTask.stopRequested()) {
    return;
  }
  TaskRecord::Fields fields = aTask.fields();
  fields.stopRequested = true;
  fields.detail = aDetail;
  storeTask(std::move(fields));
}

} // namespace magnoliadrum
