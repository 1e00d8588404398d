#include "placement/ViewProcessor.h"

#include <algorithm>
#include <functional>
#include <set>
#include <unordered_set>
#include <utility>

namespace magnoliadrum {

namespace {

/** A start succeeded after this run time; memory use is stable after this time without growth. */
constexpr std::int64_t kStableAfterMs = 10000;
/** Memory use is stable while it grows by at most this factor. */
constexpr double kMinMemoryGrowth = 1.02;
/** The total run time is extrapolated only from a larger share of a task than this. */
constexpr float kMinShareForRunTime = 0.2F;

bool
isAssigned(const TaskView& aView)
{
  return aView.session != 0 &&
         (aView.state == TaskState::ePlaced || aView.state == TaskState::eRunning);
}

} // namespace

void
ViewProcessor::apply(const PlacementView& aView)
{
  mContext.topologyChanged = false;
  mContext.reportedWorkers.clear();
  for (const CatalogueEntry& entry : aView.entries) {
    mContext.topologyChanged |= mContext.cluster.applyEntry(entry);
  }
  for (const OwnerQuota& quota : aView.quotas) {
    mContext.topologyChanged |= mContext.cluster.applyQuota(quota);
  }
  for (const std::string& name : aView.removedEntries) {
    mContext.cluster.removeEntry(name);
    mContext.topologyChanged = true;
  }
  for (const std::string& ownerName : aView.removedQuotas) {
    mContext.cluster.removeQuota(ownerName);
    mContext.topologyChanged = true;
  }
  if (aView.complete) {
    mOrphans.clear();
    removeUnlisted(aView);
  }
  for (const std::int64_t session : aView.removedSessions) {
    removeWorker(session);
  }
  for (const WorkerView& worker : aView.workers) {
    applyWorker(worker);
  }
  for (const TaskView& task : aView.tasks) {
    applyTask(task);
  }
  for (const std::string& taskId : aView.removedTasks) {
    if (const auto found = mContext.cluster.findTask(taskId)) {
      removeTask(*found);
    }
  }
  if (mContext.topologyChanged) {
    mContext.waiting.unblockAll();
  }
}

void
ViewProcessor::removeUnlisted(const PlacementView& aView)
{
  std::set<std::int64_t> sessions;
  for (const WorkerView& worker : aView.workers) {
    sessions.insert(worker.session);
  }
  std::vector<std::int64_t> closedSessions;
  for (const WorkerInfo& worker : mContext.cluster.workers()) {
    if (worker.open && !sessions.contains(worker.session)) {
      closedSessions.push_back(worker.session);
    }
  }
  std::for_each(closedSessions.begin(), closedSessions.end(), [this](std::int64_t aSession) {
    removeWorker(aSession);
  });
  std::unordered_set<std::string> taskIds;
  for (const TaskView& task : aView.tasks) {
    taskIds.insert(task.taskId);
  }
  for (TaskIndex i = 0; i < mContext.cluster.tasks().size(); ++i) {
    if (mContext.cluster.task(i).entry != kNoIndex &&
        !taskIds.contains(mContext.cluster.task(i).taskId)) {
      removeTask(i);
    }
  }
}

void
ViewProcessor::removeWorker(std::int64_t aSession)
{
  mOrphans.erase(aSession);
  if (mContext.cluster.findWorker(aSession)) {
    mContext.cluster.removeWorker(aSession);
    mContext.topologyChanged = true;
  }
}

void
ViewProcessor::applyWorker(const WorkerView& aView)
{
  const std::optional<WorkerIndex> before = mContext.cluster.findWorker(aView.session);
  const bool wasDraining = before && mContext.cluster.worker(*before).draining;
  const ResourceAmount capacityBefore =
    before ? mContext.cluster.worker(*before).capacity : ResourceAmount{};
  const WorkerIndex found = mContext.cluster.applyWorker(aView);
  const WorkerInfo& worker = mContext.cluster.worker(found);
  if (!before || wasDraining != worker.draining || capacityBefore != worker.capacity) {
    mContext.topologyChanged = true;
  }
  if (!before) {
    adoptOrphans(found);
  }
  if (aView.usageAt && aView.usageAt->ms() > worker.usageAtMs) {
    applyUsage(found, aView);
  }
}

void
ViewProcessor::adoptOrphans(WorkerIndex aWorker)
{
  const auto orphans = mOrphans.extract(mContext.cluster.worker(aWorker).session);
  if (orphans.empty()) {
    return;
  }
  for (const Orphan& orphan : orphans.mapped()) {
    const std::optional<TaskIndex> found = mContext.cluster.findTask(orphan.taskId);
    if (!found) {
      continue;
    }
    const TaskInfo& task = mContext.cluster.task(*found);
    if (task.epoch == orphan.epoch && task.worker == kNoIndex && !task.waiting && !task.parked) {
      mContext.cluster.assign(
        *found, aWorker, mContext.reservationForEntry(task.entry).componentMax(task.peakUse));
    }
  }
}

void
ViewProcessor::applyUsage(WorkerIndex aWorker, const WorkerView& aView)
{
  WorkerInfo& worker = mContext.cluster.worker(aWorker);
  worker.usageAtMs = aView.usageAt->ms();
  worker.reportedUse = ResourceAmount::of(aView.usage.used());
  worker.measuredLoads.clear();
  mContext.reportedWorkers.push_back(aWorker);
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  for (const TaskUsage& usage : aView.usage.tasks()) {
    const std::optional<TaskIndex> found = mContext.cluster.findTask(usage.taskId());
    if (!found) {
      continue;
    }
    const EntryIndex entry = mContext.cluster.task(*found).entry;
    const double share = static_cast<double>(usage.used().cpuMilli()) / capacity;
    const auto known = std::find_if(worker.measuredLoads.begin(),
                                    worker.measuredLoads.end(),
                                    [&](const EntryLoad& aLoad) { return aLoad.entry == entry; });
    if (known == worker.measuredLoads.end()) {
      worker.measuredLoads.push_back({ entry, share });
    } else {
      known->share += share;
    }
    if (mContext.cluster.task(*found).worker == aWorker) {
      applyTaskUsage(*found, usage);
    }
  }
}

void
ViewProcessor::applyTaskUsage(TaskIndex aTask, const TaskUsage& aUsage)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  const ResourceAmount used = ResourceAmount::of(aUsage.used());
  const double peakMb = static_cast<double>(task.peakUse.memoryMb);
  if (!task.hasReported || static_cast<double>(used.memoryMb) > kMinMemoryGrowth * peakMb) {
    task.lastGrowthAtMs = mContext.nowMs;
  }
  task.peakUse = task.peakUse.componentMax(used);
  task.lastCpuMilli = used.cpuMilli;
  task.progress = static_cast<float>(aUsage.progress());
  if (!task.hasReported) {
    // The first report after a start shows the progress restored from the checkpoint.
    task.hasReported = true;
    task.checkpointProgress = task.progress;
  }
  if (!task.hasSucceeded && mContext.nowMs - task.startedAtMs >= kStableAfterMs) {
    task.hasSucceeded = true;
    recordSuccess(mContext.cluster.worker(task.worker).targetName, task);
  }
  if (!task.isMemoryStable && mContext.nowMs - task.lastGrowthAtMs >= kStableAfterMs) {
    task.isMemoryStable = true;
    mContext.sizes.learnUse(task.entry, task.peakUse);
  }
  mContext.cluster.setReservation(aTask, mContext.reservationForTask(task));
}

void
ViewProcessor::recordSuccess(std::uint32_t aTarget, const TaskInfo& aTask)
{
  const bool hadFailures = mContext.failures.recentFailures(aTarget) > 0;
  mContext.failures.taskSucceeded(aTarget, aTask.entry);
  if (hadFailures && aTask.worker != kNoIndex) {
    mContext.cluster.markFreed(aTask.worker);
  }
}

void
ViewProcessor::applyTask(const TaskView& aView)
{
  std::optional<TaskIndex> found = mContext.cluster.findTask(aView.taskId);
  const bool mayWait = aView.state == TaskState::ePending || aView.state == TaskState::eImpossible;
  if (!isAssigned(aView) && (!mayWait || aView.cancelRequested)) {
    if (found) {
      applyEnded(*found, aView);
    }
    return;
  }
  if (!found) {
    found = mContext.cluster.addTask(aView);
  }
  TaskInfo& task = mContext.cluster.task(*found);
  const bool precedesDecision = task.unconfirmed && !isAssigned(aView) && aView.epoch < task.epoch;
  if (precedesDecision &&
      mContext.nowMs - task.decidedAtMs < mContext.options.confirmationTimeoutMs) {
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
  // A decided stop is pending until a view shows it or its confirmation times out.
  task.stopRequested = aView.stopRequested || (isAssigned(aView) && task.stopDecidedAtMs > 0);
  if (isAssigned(aView)) {
    applyAssigned(*found, aView);
    return;
  }
  applyPending(*found, aView);
}

void
ViewProcessor::applyEnded(TaskIndex aTask, const TaskView& aView)
{
  const TaskInfo& task = mContext.cluster.task(aTask);
  const bool isDone = aView.state == TaskState::eCompleted || aView.state == TaskState::ePublished;
  if (isDone && task.worker != kNoIndex) {
    recordSuccess(mContext.cluster.worker(task.worker).targetName, task);
    const std::int64_t ranMs = mContext.nowMs - task.startedAtMs;
    const float done = 1.0F - task.checkpointProgress;
    if (done > kMinShareForRunTime) {
      const double wholeMs = static_cast<double>(ranMs) / done;
      mContext.sizes.learnRunTime(task.entry, static_cast<std::int64_t>(wholeMs));
    }
    if (!task.isMemoryStable && task.hasReported) {
      mContext.sizes.learnUse(task.entry, task.peakUse);
    }
  }
  if (aView.state == TaskState::eFailed) {
    recordFailure(aTask, aView.attempts);
  }
  removeTask(aTask);
}

void
ViewProcessor::recordFailure(TaskIndex aTask, std::int64_t aAttempts)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  if (aAttempts <= task.attempts || task.worker == kNoIndex) {
    return;
  }
  const std::uint32_t target = mContext.cluster.worker(task.worker).targetName;
  mContext.failures.taskFailed(target, task.entry, mContext.nowMs);
  task.failedTarget = target;
  task.earliestRetryMs = mContext.nowMs + mContext.failures.retryDelayMs(target, aAttempts);
}

void
ViewProcessor::applyPending(TaskIndex aTask, const TaskView& aView)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  recordFailure(aTask, aView.attempts);
  if (task.hasReported && !task.isMemoryStable &&
      task.peakUse.memoryMb > mContext.reservationForEntry(task.entry).memoryMb) {
    // The task ended before its memory use was stable, but the entry needs at least this much.
    mContext.sizes.learnUse(task.entry, task.peakUse);
  }
  mContext.cluster.release(aTask);
  task.unconfirmed = false;
  task.stopDecidedAtMs = 0;
  task.isMemoryStable = false;
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
ViewProcessor::applyAssigned(TaskIndex aTask, const TaskView& aView)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  mContext.waiting.remove(aTask);
  if (task.epoch != aView.epoch) {
    task.stopDecidedAtMs = 0;
    task.stopRequested = aView.stopRequested;
  }
  task.parked = false;
  task.epoch = aView.epoch;
  task.attempts = static_cast<std::int32_t>(aView.attempts);
  task.unconfirmed = false;
  const std::optional<WorkerIndex> assignedWorker = mContext.cluster.findWorker(aView.session);
  if (assignedWorker && task.worker == *assignedWorker) {
    return;
  }
  mContext.cluster.release(aTask);
  if (!assignedWorker) {
    mOrphans[aView.session].push_back({ task.taskId, task.epoch });
    return;
  }
  task.startedAtMs = mContext.nowMs;
  mContext.cluster.assign(
    aTask, *assignedWorker, mContext.reservationForEntry(task.entry).componentMax(task.peakUse));
}

void
ViewProcessor::removeTask(TaskIndex aTask)
{
  mContext.waiting.remove(aTask);
  mContext.cluster.removeTask(aTask);
}

void
ViewProcessor::expireUnconfirmed()
{
  std::vector<TaskIndex> still;
  for (const TaskIndex index : mContext.unconfirmedPlacements) {
    TaskInfo& task = mContext.cluster.task(index);
    if (!task.unconfirmed) {
      continue;
    }
    if (mContext.nowMs - task.decidedAtMs < mContext.options.confirmationTimeoutMs) {
      still.push_back(index);
      continue;
    }
    task.unconfirmed = false;
    --task.epoch;
    mContext.cluster.release(index);
    mContext.waiting.add(index, mContext.nowMs);
  }
  mContext.unconfirmedPlacements = std::move(still);
  std::erase_if(mContext.unconfirmedStops, [this](TaskIndex aTask) {
    TaskInfo& task = mContext.cluster.task(aTask);
    if (task.stopDecidedAtMs == 0) {
      return true;
    }
    if (mContext.nowMs - task.stopDecidedAtMs < mContext.options.confirmationTimeoutMs) {
      return false;
    }
    task.stopDecidedAtMs = 0;
    task.stopRequested = false;
    return true;
  });
}

} // namespace magnoliadrum
