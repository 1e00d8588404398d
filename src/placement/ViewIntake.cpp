#include "placement/ViewIntake.h"

#include <algorithm>
#include <functional>
#include <set>
#include <unordered_set>
#include <utility>

namespace magnoliadrum {

namespace {

/** A task that ran this long started well; one whose memory did not grow for this long is stable.
 */
constexpr std::int64_t kSettledAfterMs = 10000;
/** Memory that grows by less than this factor counts as stable. */
constexpr double kGrowth = 1.02;
/** Run time is not extrapolated from a shorter part of a task. */
constexpr float kLeastShareForRunTime = 0.2F;

bool
holdsRoom(const TaskView& aView)
{
  return aView.session != 0 &&
         (aView.state == TaskState::ePlaced || aView.state == TaskState::eRunning);
}

} // namespace

void
ViewIntake::takeIn(const PlacementView& aView)
{
  mContext.topologyChanged = false;
  mContext.reported.clear();
  for (const CatalogueEntry& entry : aView.entries) {
    mContext.topologyChanged |= mContext.ledger.applyEntry(entry);
  }
  for (const OwnerQuota& quota : aView.quotas) {
    mContext.topologyChanged |= mContext.ledger.applyQuota(quota);
  }
  for (const std::string& name : aView.removedEntries) {
    mContext.ledger.removeEntry(name);
    mContext.topologyChanged = true;
  }
  for (const std::string& ownerName : aView.removedQuotas) {
    mContext.ledger.removeQuota(ownerName);
    mContext.topologyChanged = true;
  }
  if (aView.complete) {
    mOrphans.clear();
    dropUnlisted(aView);
  }
  for (const std::int64_t session : aView.removedSessions) {
    removeWorker(session);
  }
  for (const WorkerView& worker : aView.workers) {
    takeInWorker(worker);
  }
  for (const TaskView& task : aView.tasks) {
    takeInTask(task);
  }
  for (const std::string& taskId : aView.removedTasks) {
    if (const auto found = mContext.ledger.findTask(taskId)) {
      forget(*found);
    }
  }
  if (mContext.topologyChanged) {
    mContext.waiting.unblockAll();
  }
}

void
ViewIntake::dropUnlisted(const PlacementView& aView)
{
  std::set<std::int64_t> sessions;
  for (const WorkerView& worker : aView.workers) {
    sessions.insert(worker.session);
  }
  std::vector<std::int64_t> gone;
  for (const WorkerAccount& worker : mContext.ledger.workers()) {
    if (worker.open && !sessions.contains(worker.session)) {
      gone.push_back(worker.session);
    }
  }
  std::for_each(gone.begin(), gone.end(), [this](std::int64_t aGone) { removeWorker(aGone); });
  std::unordered_set<std::string> taskIds;
  for (const TaskView& task : aView.tasks) {
    taskIds.insert(task.taskId);
  }
  for (TaskIndex i = 0; i < mContext.ledger.tasks().size(); ++i) {
    if (mContext.ledger.task(i).entry != kNoIndex &&
        !taskIds.contains(mContext.ledger.task(i).taskId)) {
      forget(i);
    }
  }
}

void
ViewIntake::removeWorker(std::int64_t aSession)
{
  mOrphans.erase(aSession);
  if (mContext.ledger.findWorker(aSession)) {
    mContext.ledger.removeWorker(aSession);
    mContext.topologyChanged = true;
  }
}

void
ViewIntake::takeInWorker(const WorkerView& aView)
{
  const std::optional<WorkerIndex> before = mContext.ledger.findWorker(aView.session);
  const bool wasDraining = before && mContext.ledger.worker(*before).draining;
  const ResourceAmount capacityBefore =
    before ? mContext.ledger.worker(*before).capacity : ResourceAmount{};
  const WorkerIndex found = mContext.ledger.applyWorker(aView);
  const WorkerAccount& worker = mContext.ledger.worker(found);
  if (!before || wasDraining != worker.draining || capacityBefore != worker.capacity) {
    mContext.topologyChanged = true;
  }
  if (!before) {
    adoptOrphans(found);
  }
  if (aView.usageAt && aView.usageAt->ms() > worker.usageAtMs) {
    takeInUsage(found, aView);
  }
}

void
ViewIntake::adoptOrphans(WorkerIndex aWorker)
{
  const auto orphans = mOrphans.extract(mContext.ledger.worker(aWorker).session);
  if (orphans.empty()) {
    return;
  }
  for (const Orphan& orphan : orphans.mapped()) {
    const std::optional<TaskIndex> found = mContext.ledger.findTask(orphan.taskId);
    if (!found) {
      continue;
    }
    const TaskAccount& task = mContext.ledger.task(*found);
    if (task.epoch == orphan.epoch && task.worker == kNoIndex && !task.waiting && !task.parked) {
      mContext.ledger.assign(*found, aWorker, mContext.needOf(task.entry).larger(task.observed));
    }
  }
}

void
ViewIntake::takeInUsage(WorkerIndex aWorker, const WorkerView& aView)
{
  WorkerAccount& worker = mContext.ledger.worker(aWorker);
  worker.usageAtMs = aView.usageAt->ms();
  worker.reportedUse = ResourceAmount::of(aView.usage.used());
  worker.measured.clear();
  mContext.reported.push_back(aWorker);
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  for (const TaskUsage& usage : aView.usage.tasks()) {
    const std::optional<TaskIndex> found = mContext.ledger.findTask(usage.taskId());
    if (!found) {
      continue;
    }
    const EntryIndex entry = mContext.ledger.task(*found).entry;
    const double share = static_cast<double>(usage.used().cpuMilli()) / capacity;
    const auto known = std::find_if(worker.measured.begin(),
                                    worker.measured.end(),
                                    [&](const EntryLoad& aLoad) { return aLoad.entry == entry; });
    if (known == worker.measured.end()) {
      worker.measured.push_back({ entry, share });
    } else {
      known->share += share;
    }
    if (mContext.ledger.task(*found).worker == aWorker) {
      takeInTaskUsage(*found, usage);
    }
  }
}

void
ViewIntake::takeInTaskUsage(TaskIndex aTask, const TaskUsage& aUsage)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  const ResourceAmount used = ResourceAmount::of(aUsage.used());
  const double peakMb = static_cast<double>(task.observed.memoryMb);
  if (!task.hasReported || static_cast<double>(used.memoryMb) > kGrowth * peakMb) {
    task.grewAtMs = mContext.nowMs;
  }
  task.observed = task.observed.larger(used);
  task.lastCpuMilli = used.cpuMilli;
  task.progress = static_cast<float>(aUsage.progress());
  if (!task.hasReported) {
    // The first report after a start shows the progress that the checkpoint kept.
    task.hasReported = true;
    task.checkpointProgress = task.progress;
  }
  if (!task.hasSucceeded && mContext.nowMs - task.startedAtMs >= kSettledAfterMs) {
    task.hasSucceeded = true;
    noteSuccess(mContext.ledger.worker(task.worker).targetName, task);
  }
  if (!task.hasSettled && mContext.nowMs - task.grewAtMs >= kSettledAfterMs) {
    task.hasSettled = true;
    mContext.sizes.learnUse(task.entry, task.observed);
  }
  mContext.ledger.reserve(aTask, mContext.needOfTask(task));
}

void
ViewIntake::noteSuccess(std::uint32_t aTarget, const TaskAccount& aTask)
{
  const bool wasSuspect = mContext.failures.recentFailures(aTarget) > 0;
  mContext.failures.taskSucceeded(aTarget, aTask.entry);
  if (wasSuspect && aTask.worker != kNoIndex) {
    mContext.ledger.markFreed(aTask.worker);
  }
}

void
ViewIntake::takeInTask(const TaskView& aView)
{
  std::optional<TaskIndex> found = mContext.ledger.findTask(aView.taskId);
  const bool mayWait = aView.state == TaskState::ePending || aView.state == TaskState::eImpossible;
  if (!holdsRoom(aView) && (!mayWait || aView.cancelRequested)) {
    if (found) {
      takeInEnd(*found, aView);
    }
    return;
  }
  if (!found) {
    found = mContext.ledger.addTask(aView);
  }
  TaskAccount& task = mContext.ledger.task(*found);
  const bool unchanged = task.unconfirmed && !holdsRoom(aView) && aView.epoch < task.epoch;
  if (unchanged && mContext.nowMs - task.decidedAtMs < mContext.options.confirmWithinMs) {
    return;
  }
  task.state = aView.state;
  task.evictions = static_cast<std::int32_t>(aView.evictions);
  const std::size_t checkpoint = std::hash<std::string>()(aView.checkpoint);
  if (checkpoint != task.checkpointHash) {
    task.checkpointHash = checkpoint;
    task.checkpointProgress = task.progress;
  }
  if (aView.stopRequested) {
    task.stopDecidedAtMs = 0;
  }
  // A stop that was decided is in flight until a view shows it or it counts as lost.
  task.stopRequested = aView.stopRequested || (holdsRoom(aView) && task.stopDecidedAtMs > 0);
  if (holdsRoom(aView)) {
    takeInHeld(*found, aView);
    return;
  }
  takeInPending(*found, aView);
}

void
ViewIntake::takeInEnd(TaskIndex aTask, const TaskView& aView)
{
  const TaskAccount& task = mContext.ledger.task(aTask);
  const bool isDone = aView.state == TaskState::eCompleted || aView.state == TaskState::ePublished;
  if (isDone && task.worker != kNoIndex) {
    noteSuccess(mContext.ledger.worker(task.worker).targetName, task);
    const std::int64_t ranMs = mContext.nowMs - task.startedAtMs;
    const float done = 1.0F - task.checkpointProgress;
    if (done > kLeastShareForRunTime) {
      const double wholeMs = static_cast<double>(ranMs) / done;
      mContext.sizes.learnRunTime(task.entry, static_cast<std::int64_t>(wholeMs));
    }
    if (!task.hasSettled && task.hasReported) {
      mContext.sizes.learnUse(task.entry, task.observed);
    }
  }
  if (aView.state == TaskState::eFailed) {
    noteFailure(aTask, aView.attempts);
  }
  forget(aTask);
}

void
ViewIntake::noteFailure(TaskIndex aTask, std::int64_t aAttempts)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  if (aAttempts <= task.attempts || task.worker == kNoIndex) {
    return;
  }
  const std::uint32_t target = mContext.ledger.worker(task.worker).targetName;
  mContext.failures.taskFailed(target, task.entry, mContext.nowMs);
  task.failedOn = target;
  task.notBeforeMs = mContext.nowMs + mContext.failures.retryDelayMs(target, aAttempts);
}

void
ViewIntake::takeInPending(TaskIndex aTask, const TaskView& aView)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  noteFailure(aTask, aView.attempts);
  if (task.hasReported && !task.hasSettled &&
      task.observed.memoryMb > mContext.needOf(task.entry).memoryMb) {
    // It ended before its memory was stable, but it showed that the entry needs at least so much.
    mContext.sizes.learnUse(task.entry, task.observed);
  }
  mContext.ledger.release(aTask);
  task.unconfirmed = false;
  task.stopDecidedAtMs = 0;
  task.hasSettled = false;
  task.hasSucceeded = false;
  task.hasReported = false;
  task.lastCpuMilli = 0;
  task.epoch = aView.epoch;
  if (task.attempts != aView.attempts) {
    mContext.waiting.remove(aTask);
    task.attempts = static_cast<std::int32_t>(aView.attempts);
  }
  if (aView.state == TaskState::eImpossible) {
    mContext.waiting.remove(aTask);
    mPlacer.park(aTask);
    return;
  }
  if (!task.parked) {
    mContext.waiting.add(aTask, mContext.nowMs);
  }
}

void
ViewIntake::takeInHeld(TaskIndex aTask, const TaskView& aView)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  mContext.waiting.remove(aTask);
  if (task.epoch != aView.epoch) {
    task.stopDecidedAtMs = 0;
    task.stopRequested = aView.stopRequested;
  }
  task.parked = false;
  task.epoch = aView.epoch;
  task.attempts = static_cast<std::int32_t>(aView.attempts);
  task.unconfirmed = false;
  const std::optional<WorkerIndex> holder = mContext.ledger.findWorker(aView.session);
  if (holder && task.worker == *holder) {
    return;
  }
  mContext.ledger.release(aTask);
  if (!holder) {
    mOrphans[aView.session].push_back({ task.taskId, task.epoch });
    return;
  }
  task.startedAtMs = mContext.nowMs;
  mContext.ledger.assign(aTask, *holder, mContext.needOf(task.entry).larger(task.observed));
}

void
ViewIntake::forget(TaskIndex aTask)
{
  mContext.waiting.remove(aTask);
  mContext.ledger.removeTask(aTask);
}

void
ViewIntake::repeatUnconfirmed()
{
  std::vector<TaskIndex> still;
  for (const TaskIndex index : mContext.unconfirmed) {
    TaskAccount& task = mContext.ledger.task(index);
    if (!task.unconfirmed) {
      continue;
    }
    if (mContext.nowMs - task.decidedAtMs < mContext.options.confirmWithinMs) {
      still.push_back(index);
      continue;
    }
    task.unconfirmed = false;
    --task.epoch;
    mContext.ledger.release(index);
    mContext.waiting.add(index, mContext.nowMs);
  }
  mContext.unconfirmed = std::move(still);
  std::erase_if(mContext.unconfirmedStops, [this](TaskIndex aTask) {
    TaskAccount& task = mContext.ledger.task(aTask);
    if (task.stopDecidedAtMs == 0) {
      return true;
    }
    if (mContext.nowMs - task.stopDecidedAtMs < mContext.options.confirmWithinMs) {
      return false;
    }
    task.stopDecidedAtMs = 0;
    task.stopRequested = false;
    return true;
  });
}

} // namespace magnoliadrum
