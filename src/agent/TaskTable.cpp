#include "agent/TaskTable.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace magnoliadrum {

namespace {

/** Maximum size of the detail field in TaskReport. */
constexpr std::size_t kMaxDetailBytes = 2000;

TaskReport
buildReport(TaskReport::Fields aFields)
{
  if (aFields.detail.size() > kMaxDetailBytes) {
    aFields.detail.resize(kMaxDetailBytes);
  }
  Result<TaskReport> report = TaskReport::create(aFields);
  if (!isOk(report)) {
    // The worker's text may be invalid UTF-8 or truncated within a character. The report must be
    // sent regardless.
    aFields.detail = "detail is not valid UTF-8";
    report = TaskReport::create(std::move(aFields));
  }
  return takeValue(std::move(report));
}

} // namespace

const char*
toText(TaskDecision aDecision)
{
  switch (aDecision) {
    case TaskDecision::eAccepted:
      return "accepted";
    case TaskDecision::eRepeated:
      return "repeated";
    case TaskDecision::eWrongSession:
      return "wrong session";
    case TaskDecision::eStaleEpoch:
      return "old epoch";
    case TaskDecision::eNoLease:
      return "no valid lease";
    case TaskDecision::eNotAllowed:
      return "the catalogue does not allow the task here";
    case TaskDecision::eDoesNotFit:
      return "does not fit the VM";
    case TaskDecision::eShuttingDown:
      return "the agent is shutting down";
    case TaskDecision::eWorkerUnresponsive:
      return "the worker does not answer";
    case TaskDecision::eOlderEpochActive:
      return "an older epoch is still held";
    case TaskDecision::eUnknownTask:
      return "unknown task";
  }
  return "unknown";
}

TaskTable::TaskTable(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
TaskTable::onLeaseChanged(const SessionLease& aLease, MonotonicTime aNow)
{
  const bool newSession = aLease.mSession != 0 && aLease.mSession != mLease.mSession;
  mLease = aLease;
  if (!mLease.isValidAt(aNow)) {
    return;
  }
  bool anyActive = false;
  for (TaskItem& item : mTasks) {
    // The start belongs to the previous session and never reached the worker.
    if (newSession && item.second.mPhase == Phase::eStartPending) {
      end(item, TaskState::eRefused, aNow, "the session ended before the start");
    } else if (newSession && !item.second.mAcknowledged) {
      sendReport(item, aNow);
    }
    anyActive = anyActive || mayRun(item.second);
  }
  if (anyActive && !isWorkerUnresponsive(aNow)) {
    mWorkerLeaseUntil = std::max(mWorkerLeaseUntil, mLease.mLeaseUntil);
    mActions.push_back(LeaseAction{ mLease.mLeaseUntil });
  }
}

TaskDecision
TaskTable::start(const TaskStart& aStart, const CatalogueEntry* aEntry, MonotonicTime aNow)
{
  if (mLease.mSession == 0 || aStart.session() != mLease.mSession) {
    return TaskDecision::eWrongSession;
  }
  TaskItem* newest = findNewest(aStart.taskId());
  if (newest != nullptr && newest->first.mEpoch > aStart.epoch()) {
    return TaskDecision::eStaleEpoch;
  }
  if (newest != nullptr && newest->first.mEpoch == aStart.epoch()) {
    if (newest->second.mReport) {
      newest->second.mAcknowledged = false;
      sendReport(*newest, aNow);
    }
    return TaskDecision::eRepeated;
  }
  if (newest != nullptr && mayRun(newest->second)) {
    requestStop(*newest, StopMode::eKill, aNow);
    return refuse(aStart, TaskDecision::eOlderEpochActive, aNow);
  }
  const TaskDecision decision = checkStart(aStart, aEntry, aNow);
  if (decision != TaskDecision::eAccepted) {
    return refuse(aStart, decision, aNow);
  }
  TaskItem& item = insert(aStart.taskId(), aStart.epoch());
  item.second.mEntryName = aStart.entryName();
  item.second.mReserved = aStart.resources();
  item.second.mStart = aStart;
  issueStart(item);
  return TaskDecision::eAccepted;
}

TaskDecision
TaskTable::checkStart(const TaskStart& aStart,
                      const CatalogueEntry* aEntry,
                      MonotonicTime aNow) const
{
  if (mShuttingDown) {
    return TaskDecision::eShuttingDown;
  }
  if (!mLease.isValidAt(aNow)) {
    return TaskDecision::eNoLease;
  }
  if (aEntry == nullptr || aEntry->kind() == EntryKind::eService ||
      !isAllowedInDataCentre(*aEntry)) {
    return TaskDecision::eNotAllowed;
  }
  if (isWorkerUnresponsive(aNow)) {
    return TaskDecision::eWorkerUnresponsive;
  }
  return fits(aStart.resources()) ? TaskDecision::eAccepted : TaskDecision::eDoesNotFit;
}

TaskDecision
TaskTable::refuse(const TaskStart& aStart, TaskDecision aDecision, MonotonicTime aNow)
{
  TaskItem& item = insert(aStart.taskId(), aStart.epoch());
  item.second.mEntryName = aStart.entryName();
  end(item, TaskState::eRefused, aNow, toText(aDecision));
  return aDecision;
}

bool
TaskTable::isAllowedInDataCentre(const CatalogueEntry& aEntry) const
{
  const std::vector<std::string>& allowed = aEntry.dataCentres();
  return std::find(allowed.begin(), allowed.end(), mOptions.mDataCentre) != allowed.end();
}

bool
TaskTable::fits(const Resources& aResources) const
{
  const auto isUnknown = [](const TaskItem& aItem) { return !aItem.second.mReserved.has_value(); };
  if (std::any_of(mTasks.begin(), mTasks.end(), isUnknown)) {
    return false;
  }
  const Resources::Fields held = reserved();
  const Resources& capacity = mOptions.mCapacity;
  return held.cpuMilli + aResources.cpuMilli() <= capacity.cpuMilli() &&
         held.memoryMb + aResources.memoryMb() <= capacity.memoryMb() &&
         held.accelerators + aResources.accelerators() <= capacity.accelerators();
}

TaskDecision
TaskTable::stop(const TaskStop& aStop, MonotonicTime aNow)
{
  if (mLease.mSession == 0 || aStop.session() != mLease.mSession) {
    return TaskDecision::eWrongSession;
  }
  TaskItem* item = find(aStop.taskId(), aStop.epoch());
  if (item == nullptr) {
    const TaskItem* newest = findNewest(aStop.taskId());
    if (newest != nullptr && newest->first.mEpoch > aStop.epoch()) {
      return TaskDecision::eStaleEpoch;
    }
    // Because of this record, a start of the same epoch that arrives later is ignored.
    end(insert(aStop.taskId(), aStop.epoch()),
        TaskState::eStopped,
        aNow,
        "the agent does not hold the task");
    return TaskDecision::eUnknownTask;
  }
  Task& task = item->second;
  const bool discardsOutput =
    task.mPhase == Phase::eCompleted && task.mAcknowledged && aStop.mode() == StopMode::eKill;
  if (discardsOutput || mayRun(task)) {
    const bool repeated = task.mRequestedStop.has_value();
    requestStop(*item, aStop.mode(), aNow);
    return repeated ? TaskDecision::eRepeated : TaskDecision::eAccepted;
  }
  // The task no longer runs. Control decides by its report, which may have crossed the stop in
  // transit, so the report is resent.
  if (task.mReport) {
    task.mAcknowledged = false;
    sendReport(*item, aNow);
  }
  return TaskDecision::eRepeated;
}

void
TaskTable::requestStop(TaskItem& aItem, StopMode aMode, MonotonicTime aNow)
{
  Task& task = aItem.second;
  if (task.mRequestedStop != StopMode::eKill) {
    task.mRequestedStop = aMode;
  }
  switch (task.mPhase) {
    case Phase::eStartPending:
      end(aItem, TaskState::eRefused, aNow, "stopped before the start");
      break;
    case Phase::eStarting:
      // If the start call is still in progress, onStartResult() issues the stop. If its outcome is
      // unknown, the stop is issued now.
      if (!task.mCallInProgress) {
        issueStop(aItem);
      }
      break;
    case Phase::eRunning:
    case Phase::eCompleted:
      issueStop(aItem);
      break;
    default:
      break;
  }
}

TaskDecision
TaskTable::throttle(const TaskThrottle& aThrottle, MonotonicTime aNow)
{
  if (!mLease.isValidAt(aNow) || aThrottle.session() != mLease.mSession) {
    return TaskDecision::eWrongSession;
  }
  const TaskItem* item = find(aThrottle.taskId(), aThrottle.epoch());
  if (item == nullptr || item->second.mPhase != Phase::eRunning) {
    return TaskDecision::eUnknownTask;
  }
  mActions.push_back(ThrottleAction{ aThrottle.taskId(), aThrottle.epoch(), aThrottle.cpuMilli() });
  return TaskDecision::eAccepted;
}

TaskDecision
TaskTable::publish(const TaskPublish& aPublish, MonotonicTime aNow)
{
  if (mLease.mSession == 0 || aPublish.session() != mLease.mSession) {
    return TaskDecision::eWrongSession;
  }
  TaskItem* item = find(aPublish.taskId(), aPublish.epoch());
  if (item == nullptr) {
    end(insert(aPublish.taskId(), aPublish.epoch()),
        TaskState::eOutcomeUnknown,
        aNow,
        "the worker does not hold the output");
    return TaskDecision::eUnknownTask;
  }
  switch (item->second.mPhase) {
    case Phase::eCompleted:
      // Control requests publication only after it has committed the completion, so the report
      // counts as acknowledged.
      item->second.mAcknowledged = true;
      enterPhase(*item, Phase::ePublishing);
      if (mLease.isValidAt(aNow)) {
        issuePublish(*item);
      }
      return TaskDecision::eAccepted;
    case Phase::eEnded:
      item->second.mAcknowledged = false;
      sendReport(*item, aNow);
      return TaskDecision::eRepeated;
    case Phase::ePublishing:
      return TaskDecision::eRepeated;
    default:
      return TaskDecision::eUnknownTask;
  }
}

void
TaskTable::acknowledge(const TaskReportAck& aAck, MonotonicTime aNow)
{
  TaskItem* item = find(aAck.taskId(), aAck.epoch());
  if (item == nullptr || !item->second.mReport || item->second.mReport->state != aAck.state()) {
    return;
  }
  Task& task = item->second;
  task.mAcknowledged = true;
  const bool isStanding = task.mStart && task.mStart->entryKind() == EntryKind::eStanding;
  if (task.mPhase == Phase::eCompleted && isStanding) {
    // A standing task has no output to publish, so the worker can discard it.
    requestStop(*item, StopMode::eKill, aNow);
  }
}

void
TaskTable::onCatalogueChanged(const EntryLookup& aFindEntry, MonotonicTime aNow)
{
  for (TaskItem& item : mTasks) {
    if (!mayRun(item.second)) {
      continue;
    }
    // The tasks of a deleted entry are stopped by control, not here.
    const CatalogueEntry* entry = aFindEntry(item.second.mEntryName);
    if (entry != nullptr && !isAllowedInDataCentre(*entry)) {
      requestStop(item, StopMode::eCheckpoint, aNow);
    }
  }
}

void
TaskTable::beginShutdown(MonotonicTime aNow)
{
  mShuttingDown = true;
  for (TaskItem& item : mTasks) {
    if (mayRun(item.second)) {
      requestStop(item, StopMode::eCheckpoint, aNow);
    }
  }
}

bool
TaskTable::isIdle() const
{
  return std::all_of(mTasks.begin(), mTasks.end(), [](const TaskItem& aItem) {
    return aItem.second.mPhase == Phase::eEnded && aItem.second.mAcknowledged;
  });
}

std::vector<TaskAction>
TaskTable::takeActions()
{
  return std::exchange(mActions, {});
}

std::vector<RunningTask>
TaskTable::running() const
{
  std::vector<RunningTask> tasks;
  for (const auto& [key, task] : mTasks) {
    if (task.mPhase == Phase::eEnded && task.mAcknowledged) {
      continue;
    }
    tasks.push_back(valueOf(
      RunningTask::create({ .taskId = key.mTaskId, .epoch = key.mEpoch, .state = stateOf(task) })));
  }
  return tasks;
}

Resources::Fields
TaskTable::reserved() const
{
  Resources::Fields sum;
  for (const auto& [key, task] : mTasks) {
    const Resources resources = task.mReserved.value_or(Resources());
    sum.cpuMilli += resources.cpuMilli();
    sum.memoryMb += resources.memoryMb();
    sum.accelerators += resources.accelerators();
  }
  return sum;
}

bool
TaskTable::mayRun(const Task& aTask)
{
  return aTask.mPhase == Phase::eStartPending || aTask.mPhase == Phase::eStarting ||
         aTask.mPhase == Phase::eRunning || aTask.mPhase == Phase::eStopping;
}

TaskState
TaskTable::stateOf(const Task& aTask)
{
  switch (aTask.mPhase) {
    case Phase::eStartPending:
    case Phase::eStarting:
      return TaskState::ePlaced;
    case Phase::eCompleted:
    case Phase::ePublishing:
      return TaskState::eCompleted;
    case Phase::eEnded:
      return aTask.mReport ? aTask.mReport->state : TaskState::eStopped;
    default:
      return TaskState::eRunning;
  }
}

TaskTable::TaskItem*
TaskTable::find(const std::string& aTaskId, std::int64_t aEpoch)
{
  const auto position = mTasks.find(TaskKey{ aTaskId, aEpoch });
  return position != mTasks.end() ? &*position : nullptr;
}

TaskTable::TaskItem&
TaskTable::insert(const std::string& aTaskId, std::int64_t aEpoch)
{
  const auto [position, inserted] = mTasks.try_emplace(TaskKey{ aTaskId, aEpoch });
  assert(inserted);
  return *position;
}

TaskTable::TaskItem*
TaskTable::findNewest(const std::string& aTaskId)
{
  auto position = mTasks.upper_bound(TaskKey{ aTaskId, std::numeric_limits<std::int64_t>::max() });
  if (position == mTasks.begin()) {
    return nullptr;
  }
  --position;
  return position->first.mTaskId == aTaskId ? &*position : nullptr;
}

void
TaskTable::report(TaskItem& aItem,
                  TaskState aState,
                  MonotonicTime aNow,
                  const std::string& aDetail,
                  const std::string& aCheckpoint)
{
  aItem.second.mReport = TaskReport::Fields{ .session = 0,
                                             .taskId = aItem.first.mTaskId,
                                             .epoch = aItem.first.mEpoch,
                                             .state = aState,
                                             .checkpoint = aCheckpoint,
                                             .detail = aDetail };
  aItem.second.mAcknowledged = false;
  sendReport(aItem, aNow);
}

void
TaskTable::sendReport(TaskItem& aItem, MonotonicTime aNow)
{
  assert(aItem.second.mReport);
  if (!mLease.isValidAt(aNow)) {
    return;
  }
  TaskReport::Fields fields = *aItem.second.mReport;
  fields.session = mLease.mSession;
  aItem.second.mReportedAt = aNow;
  mActions.push_back(ReportAction{ buildReport(std::move(fields)) });
}

} // namespace magnoliadrum
