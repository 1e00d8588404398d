#include "placement/PlacementEngine.h"

#include <algorithm>
#include <functional>
#include <set>
#include <unordered_set>
#include <utility>

namespace magnoliadrum {

namespace {

double
packingOf(const PolicySettings& aSettings)
{
  const double total = aSettings.throughputWeight() + aSettings.tailLatencyWeight();
  return total > 0 ? (aSettings.throughputWeight() - aSettings.tailLatencyWeight()) / total : 0;
}

bool
holdsRoom(const TaskView& aView)
{
  return aView.session != 0 &&
         (aView.state == TaskState::ePlaced || aView.state == TaskState::eRunning);
}

} // namespace

PlacementEngine::PlacementEngine(PlacementOptions aOptions, std::mt19937_64 aRandom)
  : mOptions(std::move(aOptions))
  , mRandom(aRandom)
  , mWaiting(mLedger)
  , mSelector(mLedger, packingOf(mOptions.settings), [](WorkerIndex, EntryIndex) { return 0.0; })
{
}

std::vector<PlacementDecision>
PlacementEngine::decide(const PlacementView& aView, MonotonicTime aNow)
{
  mNowMs = aNow.ms();
  mDecisions.clear();
  takeIn(aView);
  repeatUnconfirmed();
  mWaiting.wake(mNowMs);
  reconsiderParked();
  dropHolds();
  placeWaiting();
  return std::move(mDecisions);
}

void
PlacementEngine::takeIn(const PlacementView& aView)
{
  mTopologyChanged = false;
  for (const CatalogueEntry& entry : aView.entries) {
    mTopologyChanged |= mLedger.applyEntry(entry);
  }
  for (const OwnerQuota& quota : aView.quotas) {
    mTopologyChanged |= mLedger.applyQuota(quota);
  }
  for (const std::string& name : aView.removedEntries) {
    mLedger.removeEntry(name);
    mTopologyChanged = true;
  }
  for (const std::string& ownerName : aView.removedQuotas) {
    mLedger.removeQuota(ownerName);
    mTopologyChanged = true;
  }
  if (aView.complete) {
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
    if (const auto found = mLedger.findTask(taskId)) {
      forget(*found);
    }
  }
  if (mTopologyChanged) {
    mWaiting.unblockAll();
  }
}

void
PlacementEngine::dropUnlisted(const PlacementView& aView)
{
  std::set<std::int64_t> sessions;
  for (const WorkerView& worker : aView.workers) {
    sessions.insert(worker.session);
  }
  std::vector<std::int64_t> gone;
  for (const WorkerAccount& worker : mLedger.workers()) {
    if (worker.open && !sessions.contains(worker.session)) {
      gone.push_back(worker.session);
    }
  }
  std::for_each(gone.begin(), gone.end(), [this](std::int64_t aGone) { removeWorker(aGone); });
  std::unordered_set<std::string> taskIds;
  for (const TaskView& task : aView.tasks) {
    taskIds.insert(task.taskId);
  }
  for (TaskIndex i = 0; i < mLedger.tasks().size(); ++i) {
    if (mLedger.task(i).entry != kNoIndex && !taskIds.contains(mLedger.task(i).taskId)) {
      forget(i);
    }
  }
}

void
PlacementEngine::removeWorker(std::int64_t aSession)
{
  if (mLedger.findWorker(aSession)) {
    mLedger.removeWorker(aSession);
    mTopologyChanged = true;
  }
}

void
PlacementEngine::takeInWorker(const WorkerView& aView)
{
  const std::optional<WorkerIndex> before = mLedger.findWorker(aView.session);
  const bool wasDraining = before && mLedger.worker(*before).draining;
  const ResourceAmount capacityBefore =
    before ? mLedger.worker(*before).capacity : ResourceAmount{};
  const WorkerIndex found = mLedger.applyWorker(aView);
  const WorkerAccount& worker = mLedger.worker(found);
  if (!before || wasDraining != worker.draining || capacityBefore != worker.capacity) {
    mTopologyChanged = true;
  }
  if (aView.usageAt && aView.usageAt->ms() > worker.usageAtMs) {
    takeInUsage(found, aView);
  }
}

void
PlacementEngine::takeInUsage(WorkerIndex aWorker, const WorkerView& aView)
{
  WorkerAccount& worker = mLedger.worker(aWorker);
  worker.usageAtMs = aView.usageAt->ms();
  worker.reportedUse = ResourceAmount::of(aView.usage.used());
  for (const TaskUsage& usage : aView.usage.tasks()) {
    const std::optional<TaskIndex> found = mLedger.findTask(usage.taskId());
    if (!found || mLedger.task(*found).worker != aWorker) {
      continue;
    }
    TaskAccount& task = mLedger.task(*found);
    task.observed = task.observed.larger(ResourceAmount::of(usage.used()));
    task.progress = static_cast<float>(usage.progress());
    if (mOptions.learnSizes) {
      mLedger.reserve(*found, needOf(task.entry).larger(task.observed));
    }
  }
}

void
PlacementEngine::takeInTask(const TaskView& aView)
{
  std::optional<TaskIndex> found = mLedger.findTask(aView.taskId);
  const bool isActive =
    aView.state == TaskState::ePending || holdsRoom(aView) || aView.state == TaskState::eImpossible;
  if (!isActive || aView.cancelRequested) {
    if (found && !holdsRoom(aView)) {
      takeInEnd(*found, aView);
      return;
    }
    if (!isActive || !holdsRoom(aView)) {
      return;
    }
  }
  if (!found) {
    found = mLedger.addTask(aView);
  }
  TaskAccount& task = mLedger.task(*found);
  const bool unchanged = task.unconfirmed && !holdsRoom(aView) && aView.epoch < task.epoch;
  if (unchanged && mNowMs - task.decidedAtMs < mOptions.confirmWithinMs) {
    return;
  }
  task.state = aView.state;
  task.evictions = static_cast<std::int32_t>(aView.evictions);
  task.stopRequested = aView.stopRequested;
  if (holdsRoom(aView)) {
    takeInHeld(*found, aView);
    return;
  }
  takeInPending(*found, aView);
}

void
PlacementEngine::takeInEnd(TaskIndex aTask, const TaskView& /*aView*/)
{
  forget(aTask);
}

void
PlacementEngine::takeInPending(TaskIndex aTask, const TaskView& aView)
{
  TaskAccount& task = mLedger.task(aTask);
  mLedger.release(aTask);
  task.unconfirmed = false;
  task.epoch = aView.epoch;
  if (task.attempts != aView.attempts) {
    mWaiting.remove(aTask);
    task.attempts = static_cast<std::int32_t>(aView.attempts);
  }
  if (aView.state == TaskState::eImpossible) {
    mWaiting.remove(aTask);
    park(aTask);
    return;
  }
  if (!task.parked) {
    mWaiting.add(aTask, mNowMs);
  }
}

void
PlacementEngine::takeInHeld(TaskIndex aTask, const TaskView& aView)
{
  TaskAccount& task = mLedger.task(aTask);
  mWaiting.remove(aTask);
  task.epoch = aView.epoch;
  task.attempts = static_cast<std::int32_t>(aView.attempts);
  task.unconfirmed = false;
  const std::optional<WorkerIndex> holder = mLedger.findWorker(aView.session);
  if (!holder || task.worker == *holder) {
    return;
  }
  mLedger.release(aTask);
  task.startedAtMs = mNowMs;
  mLedger.assign(aTask, *holder, needOf(task.entry).larger(task.observed));
}

void
PlacementEngine::forget(TaskIndex aTask)
{
  mWaiting.remove(aTask);
  mLedger.removeTask(aTask);
}

void
PlacementEngine::repeatUnconfirmed()
{
  std::vector<TaskIndex> still;
  for (const TaskIndex index : mUnconfirmed) {
    TaskAccount& task = mLedger.task(index);
    if (!task.unconfirmed) {
      continue;
    }
    if (mNowMs - task.decidedAtMs < mOptions.confirmWithinMs) {
      still.push_back(index);
      continue;
    }
    task.unconfirmed = false;
    --task.epoch;
    mLedger.release(index);
    mWaiting.add(index, mNowMs);
  }
  mUnconfirmed = std::move(still);
}

void
PlacementEngine::placeWaiting()
{
  for (const Priority priority :
       { Priority::eUrgent, Priority::eLatencyCritical, Priority::eBatch }) {
    placePriority(priority);
  }
}

void
PlacementEngine::placePriority(Priority aPriority)
{
  // The owner with the smallest dominant share goes first, one task at a time.
  using Turn = std::pair<double, OwnerIndex>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
  std::map<OwnerIndex, std::vector<GroupIndex>> groups = mWaiting.groupsByOwner(aPriority);
  const auto share = [this](OwnerIndex aOwner) {
    return mLedger.owner(aOwner).used.shareOf(mLedger.totalCapacity());
  };
  for (const auto& [ownerIndex, unused] : groups) {
    turns.emplace(share(ownerIndex), ownerIndex);
  }
  while (!turns.empty() && !isFull()) {
    const OwnerIndex ownerIndex = turns.top().second;
    turns.pop();
    if (placeOldest(groups[ownerIndex])) {
      turns.emplace(share(ownerIndex), ownerIndex);
    }
  }
}

bool
PlacementEngine::placeOldest(std::vector<GroupIndex>& aGroups)
{
  const auto waitingSince = [this](GroupIndex aGroup) {
    const std::optional<TaskIndex> oldest = mWaiting.front(aGroup);
    return oldest ? mLedger.task(*oldest).waitingSinceMs : std::numeric_limits<std::int64_t>::max();
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
PlacementEngine::placeOne(GroupIndex aGroup)
{
  const std::optional<TaskIndex> found = mWaiting.front(aGroup);
  if (!found || !checkPossible(aGroup)) {
    return false;
  }
  WaitingGroup& group = mWaiting.group(aGroup);
  const EntryAccount& entry = mLedger.entry(group.entry);
  const ResourceAmount need = needOf(group.entry);
  if (!mLedger.owner(entry.owner).admits(need)) {
    return false;
  }
  const std::int64_t waitedMs = mNowMs - mLedger.task(*found).waitingSinceMs;
  WorkerRequest request;
  request.entry = group.entry;
  request.need = need;
  request.nowMs = mNowMs;
  request.freedAfter = entry.kind == EntryKind::eStanding ? std::nullopt : group.blockedAt;
  if (entry.kind == EntryKind::eStanding && waitedMs < mOptions.reserveAfterMs) {
    request.perRackLimit = perRackLimit(group.entry);
  }
  const std::uint64_t freedCount = mLedger.freedCount();
  if (const std::optional<WorkerIndex> chosen = mSelector.select(request, mRandom)) {
    place(*found, *chosen, need);
    return true;
  }
  group.blockedAt = freedCount;
  if (waitedMs >= mOptions.reserveAfterMs) {
    hold(group.entry, need);
  }
  return false;
}

bool
PlacementEngine::checkPossible(GroupIndex aGroup)
{
  WaitingGroup& group = mWaiting.group(aGroup);
  if (mTopologyChanged || !group.checked) {
    group.checked = true;
    group.impossibleReason = mSelector.impossibleReason(group.entry);
    if (group.impossibleReason.empty()) {
      group.impossibleSinceMs = -1;
    } else if (group.impossibleSinceMs < 0) {
      group.impossibleSinceMs = mNowMs;
    }
  }
  if (group.impossibleReason.empty()) {
    return true;
  }
  if (mNowMs - group.impossibleSinceMs < mOptions.impossibleAfterMs) {
    return false;
  }
  while (const std::optional<TaskIndex> found = mWaiting.front(aGroup)) {
    if (isFull()) {
      break;
    }
    const TaskAccount& task = mLedger.task(*found);
    mDecisions.emplace_back(ImpossibleDecision{ task.taskId, task.epoch, group.impossibleReason });
    mWaiting.remove(*found);
    park(*found);
  }
  return false;
}

void
PlacementEngine::park(TaskIndex aTask)
{
  TaskAccount& task = mLedger.task(aTask);
  if (!task.parked) {
    task.parked = true;
    mParked[task.entry].push_back({ aTask, task.ticket });
  }
}

void
PlacementEngine::reconsiderParked()
{
  if (!mTopologyChanged) {
    return;
  }
  for (auto position = mParked.begin(); position != mParked.end();) {
    if (!mSelector.impossibleReason(position->first).empty()) {
      ++position;
      continue;
    }
    for (const WaitingGroup::Place& place : position->second) {
      TaskAccount& task = mLedger.task(place.task);
      if (!task.parked || task.ticket != place.ticket) {
        continue;
      }
      task.parked = false;
      if (task.state == TaskState::eImpossible) {
        mDecisions.emplace_back(ReconsiderDecision{ task.taskId, task.epoch });
      } else {
        mWaiting.add(place.task, mNowMs);
      }
    }
    position = mParked.erase(position);
  }
}

void
PlacementEngine::place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aNeed)
{
  TaskAccount& task = mLedger.task(aTask);
  mWaiting.remove(aTask);
  mLedger.assign(aTask, aWorker, aNeed);
  ++task.epoch;
  task.unconfirmed = true;
  task.decidedAtMs = mNowMs;
  task.startedAtMs = mNowMs;
  mUnconfirmed.push_back(aTask);
  WorkerAccount& worker = mLedger.worker(aWorker);
  if (worker.heldFor == task.entry) {
    worker.heldFor = kNoIndex;
  }
  mDecisions.emplace_back(PlaceDecision{ task.taskId, task.epoch, worker.session });
}

ResourceAmount
PlacementEngine::needOf(EntryIndex aEntry) const
{
  const EntryAccount& entry = mLedger.entry(aEntry);
  if (!mOptions.learnSizes) {
    return entry.declared;
  }
  return entry.declared.larger(mSizes.use(aEntry));
}

std::int32_t
PlacementEngine::perRackLimit(EntryIndex aEntry) const
{
  const EntryAccount& entry = mLedger.entry(aEntry);
  std::set<std::uint32_t> racks;
  for (const WorkerAccount& worker : mLedger.workers()) {
    if (worker.open && !worker.draining && entry.allows(worker.dataCentre)) {
      racks.insert(worker.rack);
    }
  }
  const auto count = static_cast<std::int64_t>(std::max<std::size_t>(racks.size(), 1));
  return static_cast<std::int32_t>((entry.replicas + count - 1) / count);
}

void
PlacementEngine::hold(EntryIndex aEntry, const ResourceAmount& aNeed)
{
  const bool isHeld = std::any_of(mHolds.begin(), mHolds.end(), [&](WorkerIndex aHeld) {
    return mLedger.worker(aHeld).heldFor == aEntry;
  });
  const std::size_t limit = std::max<std::size_t>(1, mLedger.workers().size() / kWorkersPerHold);
  if (isHeld || mHolds.size() >= limit) {
    return;
  }
  const EntryAccount& entry = mLedger.entry(aEntry);
  WorkerIndex best = kNoIndex;
  double bestShare = 0;
  for (WorkerIndex i = 0; i < mLedger.workers().size(); ++i) {
    const WorkerAccount& worker = mLedger.worker(i);
    if (!worker.open || worker.draining || worker.heldFor != kNoIndex ||
        !entry.allows(worker.dataCentre) || !aNeed.fitsIn(worker.capacity)) {
      continue;
    }
    const double share = worker.reserved.shareOf(worker.capacity);
    if (best == kNoIndex || share < bestShare) {
      best = i;
      bestShare = share;
    }
  }
  if (best != kNoIndex) {
    mLedger.worker(best).heldFor = aEntry;
    mLedger.worker(best).heldUntilMs = mNowMs + kHoldMs;
    mHolds.push_back(best);
  }
}

void
PlacementEngine::dropHolds()
{
  std::erase_if(mHolds, [this](WorkerIndex aHeld) {
    WorkerAccount& worker = mLedger.worker(aHeld);
    const bool isNeeded = worker.heldFor != kNoIndex && worker.heldUntilMs > mNowMs &&
                          mWaiting.hasWaiting(worker.heldFor);
    if (!isNeeded) {
      worker.heldFor = kNoIndex;
      mLedger.markFreed(aHeld);
    }
    return !isNeeded;
  });
}

std::size_t
PlacementEngine::bytes() const
{
  return mLedger.bytes() + mWaiting.bytes();
}

} // namespace magnoliadrum
