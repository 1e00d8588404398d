#include "placement/TaskPlacer.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>
#include <set>
#include <utility>

namespace magnoliadrum {

namespace {

/** One of so many workers at most is kept free for a task that waits for room. */
constexpr std::size_t kWorkersPerHold = 20;
/** A worker is not kept free longer, because the task may fit elsewhere by then. */
constexpr std::int64_t kHoldMs = 1800000;
/** Tasks of an entry that fails everywhere run at most so many at a time, to see it recover. */
constexpr std::int64_t kBlamedStarts = 2;
constexpr int kTriesPerGroup = 4;

} // namespace

void
TaskPlacer::placeWaiting()
{
  mUnplacedImportant.clear();
  for (const Priority priority :
       { Priority::eUrgent, Priority::eLatencyCritical, Priority::eBatch }) {
    placePriority(priority);
  }
}

void
TaskPlacer::placePriority(Priority aPriority)
{
  // The owner with the smallest dominant share goes first, one task at a time.
  using Turn = std::pair<double, OwnerIndex>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
  std::map<OwnerIndex, std::vector<GroupIndex>> groups = mContext.waiting.groupsByOwner(aPriority);
  const auto share = [this](OwnerIndex aOwner) {
    return mContext.ledger.owner(aOwner).used.shareOf(mContext.ledger.totalCapacity());
  };
  for (const auto& [ownerIndex, unused] : groups) {
    turns.emplace(share(ownerIndex), ownerIndex);
  }
  while (!turns.empty() && !mContext.isFull()) {
    const OwnerIndex ownerIndex = turns.top().second;
    turns.pop();
    if (placeOldest(groups[ownerIndex])) {
      turns.emplace(share(ownerIndex), ownerIndex);
    }
  }
}

bool
TaskPlacer::placeOldest(std::vector<GroupIndex>& aGroups)
{
  const auto waitingSince = [this](GroupIndex aGroup) {
    const std::optional<TaskIndex> oldest = mContext.waiting.front(aGroup);
    return oldest ? mContext.ledger.task(*oldest).waitingSinceMs
                  : std::numeric_limits<std::int64_t>::max();
  };
  while (!aGroups.empty()) {
    const auto oldest =
      std::min_element(aGroups.begin(), aGroups.end(), [&](GroupIndex aLeft, GroupIndex aRight) {
        return waitingSince(aLeft) < waitingSince(aRight);
      });
    if (placeOne(*oldest)) {
      return true;
    }
    // A group that does not fit leaves this round, so it holds up no other.
    aGroups.erase(oldest);
  }
  return false;
}

bool
TaskPlacer::placeOne(GroupIndex aGroup)
{
  if (!mContext.waiting.front(aGroup) || !checkPossible(aGroup)) {
    return false;
  }
  const bool isKnownNotToFit =
    mContext.waiting.group(aGroup).blockedAt == mContext.ledger.freedCount();
  if (isKnownNotToFit &&
      waitedMs(*mContext.waiting.front(aGroup)) < mContext.options.reserveAfterMs) {
    return false;
  }
  // Tasks that ran before need different room, so one that does not fit must not block the next.
  const int tries = mContext.waiting.group(aGroup).ranBefore ? kTriesPerGroup : 1;
  for (int i = 0; i < tries; ++i) {
    if (placeFront(aGroup)) {
      return true;
    }
    mContext.waiting.rotate(aGroup);
  }
  return false;
}

bool
TaskPlacer::placeFront(GroupIndex aGroup)
{
  const std::optional<TaskIndex> found = mContext.waiting.front(aGroup);
  const WorkerRequest request = requestFor(aGroup, *found);
  if (!mayStart(aGroup, request.need)) {
    return false;
  }
  if (const std::optional<WorkerIndex> chosen = mSelector.select(request, mContext.random)) {
    place(*found, *chosen, request.need);
    return true;
  }
  mContext.waiting.group(aGroup).blockedAt = mContext.ledger.freedCount();
  const EntryIndex entry = request.entry;
  if (mContext.ledger.entry(entry).priority != Priority::eBatch) {
    mUnplacedImportant.push_back(aGroup);
  } else if (waitedMs(*found) >= mContext.options.reserveAfterMs) {
    holdBest(entry, request.need);
  }
  return false;
}

std::int64_t
TaskPlacer::waitedMs(TaskIndex aTask) const
{
  return mContext.nowMs - mContext.ledger.task(aTask).waitingSinceMs;
}

bool
TaskPlacer::mayStart(GroupIndex aGroup, const ResourceAmount& aNeed) const
{
  const EntryIndex index = mContext.waiting.group(aGroup).entry;
  const EntryAccount& entry = mContext.ledger.entry(index);
  if (mContext.failures.isBlamed(index) && entry.placed >= kBlamedStarts) {
    return false;
  }
  return mContext.ledger.owner(entry.owner).admits(aNeed);
}

WorkerRequest
TaskPlacer::requestFor(GroupIndex aGroup, TaskIndex aTask) const
{
  const WaitingGroup& group = mContext.waiting.group(aGroup);
  const EntryAccount& entry = mContext.ledger.entry(group.entry);
  const TaskAccount& task = mContext.ledger.task(aTask);
  const bool isLate = waitedMs(aTask) >= mContext.options.reserveAfterMs;
  WorkerRequest request;
  request.entry = group.entry;
  request.need = mContext.needOf(group.entry);
  request.nowMs = mContext.nowMs;
  if (entry.kind == EntryKind::eStanding && !isLate) {
    request.perRackLimit = perRackLimit(group.entry);
  }
  if (group.ranBefore) {
    request.need = request.need.larger(task.observed.smaller(entry.roomiest));
    request.avoidTarget = isLate ? kNoIndex : task.failedOn;
    return request;
  }
  if (entry.kind != EntryKind::eStanding) {
    request.freedAfter = group.blockedAt;
  }
  return request;
}

bool
TaskPlacer::checkPossible(GroupIndex aGroup)
{
  WaitingGroup& group = mContext.waiting.group(aGroup);
  if (mContext.topologyChanged || !group.checked) {
    group.checked = true;
    const WorkerSelector::Feasibility feasibility = mSelector.feasibility(group.entry);
    group.impossibleReason = feasibility.impossibleReason;
    mContext.ledger.entry(group.entry).roomiest = feasibility.roomiest;
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
    tellImpossible(aGroup);
  }
  return false;
}

void
TaskPlacer::tellImpossible(GroupIndex aGroup)
{
  const std::string reason = mContext.waiting.group(aGroup).impossibleReason;
  while (const std::optional<TaskIndex> found = mContext.waiting.front(aGroup)) {
    if (mContext.isFull()) {
      break;
    }
    const TaskAccount& task = mContext.ledger.task(*found);
    mContext.decisions.emplace_back(ImpossibleDecision{ task.taskId, task.epoch, reason });
    mContext.waiting.remove(*found);
    park(*found);
  }
}

void
TaskPlacer::park(TaskIndex aTask)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  if (!task.parked) {
    task.parked = true;
    mParked[task.entry].push_back({ aTask, task.ticket });
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
    for (const WaitingGroup::Place& place : position->second) {
      TaskAccount& task = mContext.ledger.task(place.task);
      if (!task.parked || task.ticket != place.ticket) {
        continue;
      }
      task.parked = false;
      if (task.state == TaskState::eImpossible) {
        mContext.decisions.emplace_back(ReconsiderDecision{ task.taskId, task.epoch });
      } else {
        mContext.waiting.add(place.task, mContext.nowMs);
      }
    }
    position = mParked.erase(position);
  }
}

void
TaskPlacer::place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aNeed)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  mContext.waiting.remove(aTask);
  mContext.ledger.assign(aTask, aWorker, aNeed);
  ++task.epoch;
  task.unconfirmed = true;
  task.decidedAtMs = mContext.nowMs;
  task.startedAtMs = mContext.nowMs;
  mContext.unconfirmed.push_back(aTask);
  WorkerAccount& worker = mContext.ledger.worker(aWorker);
  mContext.failures.taskPlaced(worker.targetName, mContext.nowMs);
  if (worker.heldFor == task.entry) {
    worker.heldFor = kNoIndex;
  }
  mContext.decisions.emplace_back(PlaceDecision{ task.taskId, task.epoch, worker.session });
}

std::int32_t
TaskPlacer::perRackLimit(EntryIndex aEntry) const
{
  const EntryAccount& entry = mContext.ledger.entry(aEntry);
  std::set<std::uint32_t> racks;
  for (const WorkerAccount& worker : mContext.ledger.workers()) {
    if (worker.open && !worker.draining && entry.allows(worker.dataCentre)) {
      racks.insert(worker.rack);
    }
  }
  const std::int64_t count = static_cast<std::int64_t>(std::max<std::size_t>(racks.size(), 1));
  return static_cast<std::int32_t>((entry.replicas + count - 1) / count);
}

bool
TaskPlacer::isHeld(EntryIndex aEntry) const
{
  return std::any_of(mHolds.begin(), mHolds.end(), [&](WorkerIndex aHeld) {
    return mContext.ledger.worker(aHeld).heldFor == aEntry;
  });
}

void
TaskPlacer::hold(WorkerIndex aWorker, EntryIndex aEntry)
{
  mContext.ledger.worker(aWorker).heldFor = aEntry;
  mContext.ledger.worker(aWorker).heldUntilMs = mContext.nowMs + kHoldMs;
  mHolds.push_back(aWorker);
}

void
TaskPlacer::holdBest(EntryIndex aEntry, const ResourceAmount& aNeed)
{
  const std::size_t limit =
    std::max<std::size_t>(1, mContext.ledger.workers().size() / kWorkersPerHold);
  if (isHeld(aEntry) || mHolds.size() >= limit) {
    return;
  }
  const EntryAccount& entry = mContext.ledger.entry(aEntry);
  WorkerIndex best = kNoIndex;
  double bestShare = 0;
  for (WorkerIndex i = 0; i < mContext.ledger.workers().size(); ++i) {
    const WorkerAccount& worker = mContext.ledger.worker(i);
    if (!worker.open || worker.draining || worker.heldFor != kNoIndex ||
        !entry.allows(worker.dataCentre) ||
        mContext.failures.isQuarantined(worker.targetName, mContext.nowMs) ||
        !aNeed.fitsIn(worker.capacity)) {
      continue;
    }
    const double share = worker.reserved.shareOf(worker.capacity);
    if (best == kNoIndex || share < bestShare) {
      best = i;
      bestShare = share;
    }
  }
  if (best != kNoIndex) {
    hold(best, aEntry);
  }
}

void
TaskPlacer::dropHolds()
{
  std::erase_if(mHolds, [this](WorkerIndex aHeld) {
    WorkerAccount& worker = mContext.ledger.worker(aHeld);
    const bool isNeeded = worker.heldFor != kNoIndex && worker.heldUntilMs > mContext.nowMs &&
                          mContext.waiting.hasWaiting(worker.heldFor);
    if (!isNeeded) {
      worker.heldFor = kNoIndex;
      mContext.ledger.markFreed(aHeld);
    }
    return !isNeeded;
  });
}

} // namespace magnoliadrum
