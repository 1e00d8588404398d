#include "placement/CapacityController.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Maximum number of tasks moved per draining worker and round, so that restarts are staggered. */
constexpr int kMovesPerRound = 4;
/** Number of suitable workers to compare; more would take time while an urgent task waits. */
constexpr std::size_t kMaxEligibleWorkers = 64;

} // namespace

void
CapacityController::enforceCapacity()
{
  for (const WorkerIndex worker : mContext.reportedWorkers) {
    const WorkerInfo& info = mContext.cluster.worker(worker);
    if (!info.open) {
      continue;
    }
    if (info.available().memoryMb < 0) {
      evictForMemory(worker);
    }
    if (info.available().cpuMilli < 0) {
      throttleOverusers(worker);
    } else if (info.available().cpuMilli > 0) {
      liftCpuLimits(worker);
    }
  }
}

void
CapacityController::setCpuLimit(TaskIndex aTask, std::int64_t aCpuMilli, const char* aReason)
{
  TaskInfo& task = mContext.cluster.task(aTask);
  task.cpuLimitMilli = aCpuMilli;
  const std::int64_t session = mContext.cluster.worker(task.worker).session;
  mContext.decisions.emplace_back(
    ThrottleDecision{ task.taskId, task.epoch, session, aCpuMilli, aReason });
  mContext.cluster.setReservation(aTask, mContext.reservationForTask(task));
}

void
CapacityController::throttleOverusers(WorkerIndex aWorker)
{
  // Only expected use counts, as for memory: throttling gains nothing while CPUs are idle.
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  std::int64_t excess = -worker.capacity.cpuMilli;
  std::vector<std::pair<std::int64_t, TaskIndex>> overusers;
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = mContext.cluster.task(index);
    const EntryInfo& entry = mContext.cluster.entry(task.entry);
    const std::int64_t expected = mContext.expectedCpu(task);
    excess += task.stopRequested ? 0 : expected;
    if (!entry.latencyCritical && task.isMemoryStable && expected > entry.declared.cpuMilli) {
      overusers.emplace_back(expected - entry.declared.cpuMilli, index);
    }
  }
  std::sort(overusers.rbegin(), overusers.rend());
  for (const auto& [overuse, index] : overusers) {
    if (excess <= 0 || mContext.hasReachedDecisionLimit()) {
      return;
    }
    const std::int64_t reduction = std::min(excess, overuse);
    const std::int64_t expected = mContext.expectedCpu(mContext.cluster.task(index));
    excess -= reduction;
    setCpuLimit(index,
                std::max<std::int64_t>(1, expected - reduction),
                "CPU use exceeds the capacity of the VM");
  }
}

void
CapacityController::liftCpuLimits(WorkerIndex aWorker)
{
  const std::vector<TaskIndex> assignedTasks = mContext.cluster.worker(aWorker).tasks;
  for (const TaskIndex index : assignedTasks) {
    TaskInfo& task = mContext.cluster.task(index);
    if (task.cpuLimitMilli == 0 || task.isLimitedForService || mContext.hasReachedDecisionLimit()) {
      continue;
    }
    const std::int64_t more = task.peakUse.cpuMilli - task.reservation.cpuMilli;
    if (more <= mContext.cluster.worker(aWorker).available().cpuMilli) {
      setCpuLimit(index, 0, "CPU use fits the capacity of the VM again");
    }
  }
}

std::vector<TaskIndex>
CapacityController::victimsByCost(WorkerIndex aWorker) const
{
  std::vector<std::pair<double, TaskIndex>> costs;
  for (const TaskIndex index : mContext.cluster.worker(aWorker).tasks) {
    const TaskInfo& task = mContext.cluster.task(index);
    if (mContext.cluster.entry(task.entry).priority == Priority::eBatch && !task.stopRequested &&
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
CapacityController::evictForMemory(WorkerIndex aWorker)
{
  // Memory that is declared but not used takes no space, so only expected use counts here.
  // Placement counts the larger of both.
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  std::int64_t excess = -worker.capacity.memoryMb;
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = mContext.cluster.task(index);
    excess += task.stopRequested ? 0 : mContext.expectedMemory(task);
  }
  if (excess <= 0) {
    return;
  }
  const std::vector<TaskIndex> victims = victimsByCost(aWorker);
  // Prefer one task that is large enough: evicting it costs less than evicting several cheap ones.
  const auto single = std::find_if(victims.begin(), victims.end(), [&](TaskIndex aVictim) {
    return mContext.expectedMemory(mContext.cluster.task(aVictim)) >= excess;
  });
  if (single != victims.end()) {
    mContext.evict(*single, "memory of the VM is exceeded");
    return;
  }
  for (const TaskIndex index : victims) {
    if (excess <= 0 || mContext.hasReachedDecisionLimit()) {
      return;
    }
    excess -= mContext.expectedMemory(mContext.cluster.task(index));
    mContext.evict(index, "memory of the VM is exceeded");
  }
}

void
CapacityController::drainWorkers()
{
  for (const WorkerInfo& worker : mContext.cluster.workers()) {
    if (!worker.open || !worker.draining) {
      continue;
    }
    int moves = 0;
    for (const TaskIndex index : worker.tasks) {
      const TaskInfo& task = mContext.cluster.task(index);
      if (moves >= kMovesPerRound || mContext.hasReachedDecisionLimit()) {
        break;
      }
      if (task.stopRequested || task.unconfirmed) {
        continue;
      }
      WorkerRequest request;
      request.entry = task.entry;
      request.required = mContext.reservationForTask(task);
      request.nowMs = mContext.nowMs;
      if (mSelector.select(request, mContext.random)) {
        mContext.evict(index, "the worker is draining");
        ++moves;
      }
    }
  }
}

void
CapacityController::preemptFor(const std::vector<GroupIndex>& aGroups, TaskPlacer& aPlacer)
{
  for (const GroupIndex group : aGroups) {
    const EntryIndex entry = mContext.waiting.group(group).entry;
    const std::optional<TaskIndex> task = mContext.waiting.front(group);
    if (!task || aPlacer.hasHeldWorker(entry) || mContext.hasReachedDecisionLimit()) {
      continue;
    }
    WorkerRequest request = aPlacer.requestFor(group, *task);
    PreemptionPlan best;
    const std::size_t count = mContext.cluster.workers().size();
    const std::size_t offset = count > 0 ? mContext.random() % count : 0;
    std::size_t eligible = 0;
    for (std::size_t i = 0; i < count && eligible < kMaxEligibleWorkers; ++i) {
      PreemptionPlan plan = planPreemption(static_cast<WorkerIndex>((offset + i) % count), request);
      eligible += plan.worker == kNoIndex ? 0 : 1;
      if (plan.worker != kNoIndex && (best.worker == kNoIndex || plan.cost < best.cost)) {
        best = std::move(plan);
      }
    }
    if (best.worker == kNoIndex) {
      continue;
    }
    for (const TaskIndex victim : best.victims) {
      mContext.evict(victim, "makes room for " + mContext.cluster.entry(entry).name);
    }
    aPlacer.holdWorker(best.worker, entry);
  }
}

CapacityController::PreemptionPlan
CapacityController::planPreemption(WorkerIndex aWorker, const WorkerRequest& aRequest) const
{
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  const EntryInfo& entry = mContext.cluster.entry(aRequest.entry);
  if (!worker.open || worker.draining || worker.heldFor != kNoIndex ||
      worker.targetName == aRequest.avoidTarget || !entry.allows(worker.dataCentre) ||
      !aRequest.required.fitsIn(worker.capacity) ||
      !mContext.failures.admits(worker.targetName, aRequest.entry, mContext.nowMs)) {
    return {};
  }
  const auto onRack = entry.placedPerRack.find(worker.rack);
  if (aRequest.perRackLimit >= 0 && onRack != entry.placedPerRack.end() &&
      onRack->second >= aRequest.perRackLimit) {
    return {};
  }
  PreemptionPlan plan;
  ResourceAmount available = worker.available();
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = mContext.cluster.task(index);
    available = task.stopRequested ? available.plus(task.reservation) : available;
  }
  for (const TaskIndex index : victimsByCost(aWorker)) {
    if (aRequest.required.fitsIn(available)) {
      break;
    }
    available = available.plus(mContext.cluster.task(index).reservation);
    plan.cost += mContext.evictionCost(mContext.cluster.task(index));
    plan.victims.push_back(index);
  }
  if (aRequest.required.fitsIn(available)) {
    plan.worker = aWorker;
  }
  return plan;
}

} // namespace magnoliadrum
