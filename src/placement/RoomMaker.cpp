#include "placement/RoomMaker.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Tasks moved from one draining worker per round, so that their restarts do not all coincide. */
constexpr int kMovesPerRound = 4;
/** Workers that are looked at for room; more cost time while an urgent task waits. */
constexpr std::size_t kWorkersLookedAt = 64;

} // namespace

void
RoomMaker::keepCapacity()
{
  for (const WorkerIndex worker : mContext.reported) {
    const WorkerAccount& checked = mContext.ledger.worker(worker);
    if (!checked.open) {
      continue;
    }
    if (checked.room().memoryMb < 0) {
      restoreMemory(worker);
    }
    if (checked.room().cpuMilli < 0) {
      limitProcessorUse(worker);
    } else if (checked.room().cpuMilli > 0) {
      liftLimits(worker);
    }
  }
}

void
RoomMaker::limit(TaskIndex aTask, std::int64_t aCpuMilli, const char* aReason)
{
  TaskAccount& task = mContext.ledger.task(aTask);
  task.cpuLimitMilli = aCpuMilli;
  const std::int64_t session = mContext.ledger.worker(task.worker).session;
  mContext.decisions.emplace_back(
    ThrottleDecision{ task.taskId, task.epoch, session, aCpuMilli, aReason });
  mContext.ledger.reserve(aTask, mContext.needOfTask(task));
}

void
RoomMaker::limitProcessorUse(WorkerIndex aWorker)
{
  // As for memory, only expected use counts: limits beside idle processors gain nothing.
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  std::int64_t excess = -worker.capacity.cpuMilli;
  std::vector<std::pair<std::int64_t, TaskIndex>> overusers;
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = mContext.ledger.task(index);
    const EntryAccount& entry = mContext.ledger.entry(task.entry);
    const std::int64_t expected = mContext.expectedCpu(task);
    excess += task.stopRequested ? 0 : expected;
    if (!entry.latencyCritical && task.hasSettled && expected > entry.declared.cpuMilli) {
      overusers.emplace_back(expected - entry.declared.cpuMilli, index);
    }
  }
  std::sort(overusers.rbegin(), overusers.rend());
  for (const auto& [over, index] : overusers) {
    if (excess <= 0 || mContext.isFull()) {
      return;
    }
    const std::int64_t cut = std::min(excess, over);
    const std::int64_t expected = mContext.expectedCpu(mContext.ledger.task(index));
    excess -= cut;
    limit(index, std::max<std::int64_t>(1, expected - cut), "uses more than fits");
  }
}

void
RoomMaker::liftLimits(WorkerIndex aWorker)
{
  const std::vector<TaskIndex> held = mContext.ledger.worker(aWorker).tasks;
  for (const TaskIndex index : held) {
    TaskAccount& task = mContext.ledger.task(index);
    if (task.cpuLimitMilli == 0 || task.isLimitedForService || mContext.isFull()) {
      continue;
    }
    const std::int64_t more = task.observed.cpuMilli - task.reservation.cpuMilli;
    if (more <= mContext.ledger.worker(aWorker).room().cpuMilli) {
      limit(index, 0, "fits again");
    }
  }
}

std::vector<TaskIndex>
RoomMaker::victimsByCost(WorkerIndex aWorker) const
{
  std::vector<std::pair<double, TaskIndex>> costs;
  for (const TaskIndex index : mContext.ledger.worker(aWorker).tasks) {
    const TaskAccount& task = mContext.ledger.task(index);
    if (mContext.ledger.entry(task.entry).priority == Priority::eBatch && !task.stopRequested &&
        !task.unconfirmed) {
      costs.emplace_back(mContext.evictionCost(task), index);
    }
  }
  std::sort(costs.begin(), costs.end());
  std::vector<TaskIndex> result;
  for (const auto& [cost, index] : costs) {
    result.push_back(index);
  }
  return result;
}

void
RoomMaker::restoreMemory(WorkerIndex aWorker)
{
  // What tasks declare and do not use costs no memory, so only the expected use counts here; the
  // larger of both counts when a task is placed.
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  std::int64_t excess = -worker.capacity.memoryMb;
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = mContext.ledger.task(index);
    excess += task.stopRequested ? 0 : mContext.expectedMemory(task);
  }
  if (excess <= 0) {
    return;
  }
  const std::vector<TaskIndex> victims = victimsByCost(aWorker);
  // One task that is large enough costs less than several cheap ones.
  const auto single = std::find_if(victims.begin(), victims.end(), [&](TaskIndex aVictim) {
    return mContext.expectedMemory(mContext.ledger.task(aVictim)) >= excess;
  });
  if (single != victims.end()) {
    mContext.evict(*single, "memory of the VM is exceeded");
    return;
  }
  for (const TaskIndex index : victims) {
    if (excess <= 0 || mContext.isFull()) {
      return;
    }
    excess -= mContext.expectedMemory(mContext.ledger.task(index));
    mContext.evict(index, "memory of the VM is exceeded");
  }
}

void
RoomMaker::emptyDraining()
{
  for (const WorkerAccount& worker : mContext.ledger.workers()) {
    if (!worker.open || !worker.draining) {
      continue;
    }
    int moves = 0;
    for (const TaskIndex index : worker.tasks) {
      const TaskAccount& task = mContext.ledger.task(index);
      if (moves >= kMovesPerRound || mContext.isFull()) {
        break;
      }
      if (task.stopRequested || task.unconfirmed) {
        continue;
      }
      WorkerRequest request;
      request.entry = task.entry;
      request.need = mContext.needOfTask(task);
      request.nowMs = mContext.nowMs;
      if (mSelector.select(request, mContext.random)) {
        mContext.evict(index, "the worker is draining");
        ++moves;
      }
    }
  }
}

void
RoomMaker::makeRoomFor(const std::vector<GroupIndex>& aGroups, TaskPlacer& aPlacer)
{
  for (const GroupIndex group : aGroups) {
    const EntryIndex entry = mContext.waiting.group(group).entry;
    const std::optional<TaskIndex> task = mContext.waiting.front(group);
    if (!task || aPlacer.isHeld(entry) || mContext.isFull()) {
      continue;
    }
    WorkerRequest request = aPlacer.requestFor(group, *task);
    Plan best;
    const std::size_t count = mContext.ledger.workers().size();
    const std::size_t offset = count > 0 ? mContext.random() % count : 0;
    std::size_t eligible = 0;
    for (std::size_t i = 0; i < count && eligible < kWorkersLookedAt; ++i) {
      Plan plan = planOn(static_cast<WorkerIndex>((offset + i) % count), request);
      eligible += plan.worker == kNoIndex ? 0 : 1;
      if (plan.worker != kNoIndex && (best.worker == kNoIndex || plan.cost < best.cost)) {
        best = std::move(plan);
      }
    }
    if (best.worker == kNoIndex) {
      continue;
    }
    for (const TaskIndex victim : best.victims) {
      mContext.evict(victim, "makes room for " + mContext.ledger.entry(entry).name);
    }
    aPlacer.hold(best.worker, entry);
  }
}

RoomMaker::Plan
RoomMaker::planOn(WorkerIndex aWorker, const WorkerRequest& aRequest) const
{
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  const EntryAccount& entry = mContext.ledger.entry(aRequest.entry);
  if (!worker.open || worker.draining || worker.heldFor != kNoIndex ||
      worker.targetName == aRequest.avoidTarget || !entry.allows(worker.dataCentre) ||
      !aRequest.need.fitsIn(worker.capacity) ||
      !mContext.failures.admits(worker.targetName, aRequest.entry, mContext.nowMs)) {
    return {};
  }
  const auto onRack = entry.perRack.find(worker.rack);
  if (aRequest.perRackLimit >= 0 && onRack != entry.perRack.end() &&
      onRack->second >= aRequest.perRackLimit) {
    return {};
  }
  Plan plan;
  ResourceAmount room = worker.room();
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = mContext.ledger.task(index);
    room = task.stopRequested ? room.plus(task.reservation) : room;
  }
  for (const TaskIndex index : victimsByCost(aWorker)) {
    if (aRequest.need.fitsIn(room)) {
      break;
    }
    room = room.plus(mContext.ledger.task(index).reservation);
    plan.cost += mContext.evictionCost(mContext.ledger.task(index));
    plan.victims.push_back(index);
  }
  if (aRequest.need.fitsIn(room)) {
    plan.worker = aWorker;
  }
  return plan;
}

} // namespace magnoliadrum
