#include "placement/TaskPlacer.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>
#include <set>
#include <utility>

namespace magnoliadrum {

namespace {

/** At most one in this many workers is held free for waiting tasks, but one is always allowed. */
constexpr std::size_t kWorkersPerHold = 20;
/** Holds end after this time, because the task may fit elsewhere by then. */
constexpr std::int64_t kMaxHoldMs = 1800000;
/** Limit on the placed tasks of a faulty entry; these few show when the entry recovers. */
constexpr std::int64_t kMaxTasksOfFaultyEntry = 2;
/** Tasks tried per group when the tasks need different resources. */
constexpr int kTriesPerGroup = 4;

} // namespace

void
TaskPlacer::placeWaiting()
{
  mUnplacedPriorityGroups.clear();
  for (const Priority priority :
       { Priority::eUrgent, Priority::eLatencyCritical, Priority::eBatch }) {
    placePriority(priority);
  }
}

void
TaskPlacer::placePriority(Priority aPriority)
{
  // The owner with the smallest dominant share goes first, one task at a time.
  using OwnerShare = std::pair<double, OwnerIndex>;
  std::priority_queue<OwnerShare, std::vector<OwnerShare>, std::greater<>> ownersByShare;
  std::map<OwnerIndex, std::vector<GroupIndex>> groups = mContext.waiting.groupsByOwner(aPriority);
  const auto share = [this](OwnerIndex aOwner) {
    return mContext.cluster.owner(aOwner).used.dominantShareOf(mContext.cluster.totalCapacity());
  };
  for (const auto& [ownerIndex, unused] : groups) {
    ownersByShare.emplace(share(ownerIndex), ownerIndex);
  }
  while (!ownersByShare.empty() && !mContext.hasReachedDecisionLimit()) {
    const OwnerIndex ownerIndex = ownersByShare.top().second;
    ownersByShare.pop();
    if (placeNextTask(groups[ownerIndex])) {
      ownersByShare.emplace(share(ownerIndex), ownerIndex);
    }
  }
}

bool
TaskPlacer::placeNextTask(std::vector<GroupIndex>& aGroups)
{
  const auto waitingSince = [this](GroupIndex aGroup) {
    const std::optional<TaskIndex> oldest = mContext.waiting.front(aGroup);
    return oldest ? mContext.cluster.task(*oldest).waitingSinceMs
                  : std::numeric_limits<std::int64_t>::max();
  };
  while (!aGroups.empty()) {
    const auto oldest =
      std::min_element(aGroups.begin(), aGroups.end(), [&](GroupIndex aLeft, GroupIndex aRight) {
        return waitingSince(aLeft) < waitingSince(aRight);
      });
    if (placeFromGroup(*oldest)) {
      return true;
    }
    // A group that does not fit is skipped for this round so that it does not block the others.
    aGroups.erase(oldest);
  }
  return false;
}

bool
TaskPlacer::placeFromGroup(GroupIndex aGroup)
{
  if (!mContext.waiting.front(aGroup) || !checkFeasibility(aGroup)) {
    return false;
  }
  const bool isKnownNotToFit =
    mContext.waiting.group(aGroup).blockedAtFreedCount == mContext.cluster.freedEventCount();
  if (isKnownNotToFit &&
      waitedMs(*mContext.waiting.front(aGroup)) < mContext.options.holdWorkerAfterMs) {
    return false;
  }
  // Tasks that ran before need different resources, so one that does not fit must not block others.
  const int tries = mContext.waiting.group(aGroup).ranBefore ? kTriesPerGroup : 1;
  for (int i = 0; i < tries; ++i) {
    if (placeFrontTask(aGroup)) {
      return true;
    }
    mContext.waiting.rotate(aGroup);
  }
  return false;
}

bool
TaskPlacer::placeFrontTask(GroupIndex aGroup)
{
  const std::optional<TaskIndex> found = mContext.waiting.front(aGroup);
  const WorkerRequest request = requestFor(aGroup, *found);
  if (!mayStart(aGroup, request.required)) {
    return false;
  }
  if (const std::optional<WorkerIndex> chosen = mSelector.select(request, mContext.random)) {
    place(*found, *chosen, request.required);
    return true;
  }
  mContext.waiting.group(aGroup).blockedAtFreedCount = mContext.cluster.freedEventCount();
  const EntryIndex entry = request.entry;
  if (mContext.cluster.entry(entry).priority != Priority::eBatch) {
    mUnplacedPriorityGroups.push_back(aGroup);
  } else if (waitedMs(*found) >= mContext.options.holdWorkerAfterMs) {
    holdLeastReservedWorker(entry, request.required);
  }
  return false;
}

std::int64_t
TaskPlacer::waitedMs(TaskIndex aTask) const
{
  return mContext.nowMs - mContext.cluster.task(aTask).waitingSinceMs;
}

bool
TaskPlacer::mayStart(GroupIndex aGroup, const ResourceAmount& aRequired) const
{
  const EntryIndex index = mContext.waiting.group(aGroup).entry;
  const EntryInfo& entry = mContext.cluster.entry(index);
  if (mContext.failures.isFaulty(index) && entry.placedTasks >= kMaxTasksOfFaultyEntry) {
    return false;
  }
  return mContext.cluster.owner(entry.owner).admits(aRequired);
}

WorkerRequest
TaskPlacer::requestFor(GroupIndex aGroup, TaskIndex aTask) const
{
  const WaitingGroup& group = mContext.waiting.group(aGroup);
  const EntryInfo& entry = mContext.cluster.entry(group.entry);
  const TaskInfo& task = mContext.cluster.task(aTask);
  const bool isLate = waitedMs(aTask) >= mContext.options.holdWorkerAfterMs;
  WorkerRequest request;
  request.entry = group.entry;
  request.required = mContext.reservationForEntry(group.entry);
  request.nowMs = mContext.nowMs;
  if (entry.kind == EntryKind::eStanding && !isLate) {
    request.perRackLimit = perRackLimit(group.entry);
  }
  if (group.ranBefore) {
    request.required = request.required.componentMax(task.peakUse.componentMin(entry.largestVm));
    request.avoidTarget = isLate ? kNoIndex : task.failedTarget;
    return request;
  }
  if (entry.kind != EntryKind::eStanding) {
    request.freedAfter = group.blockedAtFreedCount;
  }
  return request;
}

bool
TaskPlacer::checkFeasibility(GroupIndex aGroup)
{
  WaitingGroup& group = mContext.waiting.group(aGroup);
  if (mContext.topologyChanged || !group.isFeasibilityChecked) {
    group.isFeasibilityChecked = true;
    const WorkerSelector::Feasibility feasibility = mSelector.feasibility(group.entry);
    group.impossibleReason = feasibility.impossibleReason;
    mContext.cluster.entry(group.entry).largestVm = feasibility.largestVm;
    if (group.impossibleReason.empty()) {
      group.impossibleSinceMs = -1;
    } else if (group.impossibleSinceMs < 0) {
      group.impossibleSinceMs = mContext.nowMs;
    }
  }
  if (group.impossibleReason.empty()) {
    return true;
  }
  if (mContext.nowMs - group.impossibleSinceMs >= mContext.options.impossibleAfterMs) {
    declareImpossible(aGroup);
  }
  return false;
}

void
TaskPlacer::declareImpossible(GroupIndex aGroup)
{
  const std::string reason = mContext.waiting.group(aGroup).impossibleReason;
  while (const std::optional<TaskIndex> found = mContext.waiting.front(aGroup)) {
    if (mContext.hasReachedDecisionLimit()) {
      break;
    }
    const TaskInfo& task = mContext.cluster.task(*found);
    mContext.decisions.emplace_back(ImpossibleDecision{ task.taskId, task.epoch, reason });
    mContext.waiting.remove(*found);
    park(*found);
  }
}

void
TaskPlacer::park(TaskIndex aTask)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  if (!task.parked) {
    task.parked = true;
    mParked[task.entry].push_back({ aTask, task.generation });
  }
}

void
TaskPlacer::reconsiderParked()
{
  if (!mContext.topologyChanged) {
    return;
  }
  for (auto position = mParked.begin(); position != mParked.end();) {
    if (!mSelector.feasibility(position->first).impossibleReason.empty()) {
      ++position;
      continue;
    }
    for (const WaitingGroup::QueuedTask& queued : position->second) {
      TaskInfo& task = mContext.cluster.task(queued.task);
      if (!task.parked || task.generation != queued.generation) {
        continue;
      }
      task.parked = false;
      if (task.state == TaskState::eImpossible) {
        mContext.decisions.emplace_back(ReconsiderDecision{ task.taskId, task.epoch });
      } else {
        mContext.waiting.add(queued.task, mContext.nowMs);
      }
    }
    position = mParked.erase(position);
  }
}

void
TaskPlacer::place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aRequired)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  mContext.waiting.remove(aTask);
  mContext.cluster.assign(aTask, aWorker, aRequired);
  ++task.epoch;
  task.unconfirmed = true;
  task.decidedAtMs = mContext.nowMs;
  task.startedAtMs = mContext.nowMs;
  mContext.unconfirmedPlacements.push_back(aTask);
  WorkerInfo& worker = mContext.cluster.worker(aWorker);
  mContext.failures.taskPlaced(worker.targetName, mContext.nowMs);
  if (worker.heldFor == task.entry) {
    worker.heldFor = kNoIndex;
  }
  mContext.decisions.emplace_back(PlaceDecision{ task.taskId, task.epoch, worker.session });
}

std::int32_t
TaskPlacer::perRackLimit(EntryIndex aEntry) const
{
  const EntryInfo& entry = mContext.cluster.entry(aEntry);
  std::set<std::uint32_t> racks;
  for (const WorkerInfo& worker : mContext.cluster.workers()) {
    if (worker.open && !worker.draining && entry.allows(worker.dataCentre)) {
      racks.insert(worker.rack);
    }
  }
  const std::int64_t count = static_cast<std::int64_t>(std::max<std::size_t>(racks.size(), 1));
  return static_cast<std::int32_t>((entry.replicas + count - 1) / count);
}

bool
TaskPlacer::hasHeldWorker(EntryIndex aEntry) const
{
  return std::any_of(mHolds.begin(), mHolds.end(), [&](WorkerIndex aWorker) {
    return mContext.cluster.worker(aWorker).heldFor == aEntry;
  });
}

void
TaskPlacer::holdWorker(WorkerIndex aWorker, EntryIndex aEntry)
{
  mContext.cluster.worker(aWorker).heldFor = aEntry;
  mContext.cluster.worker(aWorker).heldUntilMs = mContext.nowMs + kMaxHoldMs;
  mHolds.push_back(aWorker);
}

void
TaskPlacer::holdLeastReservedWorker(EntryIndex aEntry, const ResourceAmount& aRequired)
{
  const std::size_t limit =
    std::max<std::size_t>(1, mContext.cluster.workers().size() / kWorkersPerHold);
  if (hasHeldWorker(aEntry) || mHolds.size() >= limit) {
    return;
  }
  const EntryInfo& entry = mContext.cluster.entry(aEntry);
  WorkerIndex best = kNoIndex;
  double bestShare = 0;
  for (WorkerIndex i = 0; i < mContext.cluster.workers().size(); ++i) {
    const WorkerInfo& worker = mContext.cluster.worker(i);
    if (!worker.open || worker.draining || worker.heldFor != kNoIndex ||
        !entry.allows(worker.dataCentre) ||
        mContext.failures.isQuarantined(worker.targetName, mContext.nowMs) ||
        !aRequired.fitsIn(worker.capacity)) {
      continue;
    }
    const double share = worker.reserved.dominantShareOf(worker.capacity);
    if (best == kNoIndex || share < bestShare) {
      best = i;
      bestShare = share;
    }
  }
  if (best != kNoIndex) {
    holdWorker(best, aEntry);
  }
}

void
TaskPlacer::releaseHolds()
{
  std::erase_if(mHolds, [this](WorkerIndex aWorker) {
    WorkerInfo& worker = mContext.cluster.worker(aWorker);
    const bool isNeeded = worker.heldFor != kNoIndex && worker.heldUntilMs > mContext.nowMs &&
                          mContext.waiting.hasWaiting(worker.heldFor);
    if (!isNeeded) {
      worker.heldFor = kNoIndex;
      mContext.cluster.markFreed(aWorker);
    }
    return !isNeeded;
  });
}

} // namespace magnoliadrum
