#include "placement/PlacementContext.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Without an objective a service may take so many times its latency alone. */
constexpr double kLatencyWithoutObjective = 2;
/** Spare processor time costs throughput and protects the tail, so it follows the weights. */
constexpr double kMostCpuDeviations = 1.3;
/** Covers about nine of ten tasks; up to twice as much where evictions matter most. */
constexpr double kMemoryDeviations = 1.3;
/** Start of a process and reading of its checkpoint. */
constexpr double kRestartMs = 5000;
constexpr float kNearEnd = 0.9F;

void
addLoad(std::vector<EntryLoad>& aLoads, EntryIndex aEntry, double aShare)
{
  const auto known = std::find_if(
    aLoads.begin(), aLoads.end(), [&](const EntryLoad& aLoad) { return aLoad.entry == aEntry; });
  if (known == aLoads.end()) {
    aLoads.push_back({ aEntry, aShare });
    return;
  }
  known->share += aShare;
}

} // namespace

ResourceAmount
PlacementContext::needOf(EntryIndex aEntry) const
{
  const EntryAccount& entry = ledger.entry(aEntry);
  if (!options.learnSizes) {
    return entry.declared;
  }
  // What was learned may exceed every VM, but only a declared size makes a task impossible.
  const ResourceAmount learned = sizes.use(aEntry, cpuDeviations(), memoryDeviations());
  return entry.declared.larger(learned.smaller(entry.roomiest));
}

double
PlacementContext::cpuDeviations() const
{
  const PolicySettings& weights = options.settings;
  const double sum = weights.tailLatencyWeight() + weights.throughputWeight();
  return sum > 0 ? kMostCpuDeviations * weights.tailLatencyWeight() / sum : 0;
}

double
PlacementContext::memoryDeviations() const
{
  const PolicySettings& weights = options.settings;
  const double sum =
    weights.tailLatencyWeight() + weights.throughputWeight() + weights.evictionWeight();
  return kMemoryDeviations * (1 + (sum > 0 ? weights.evictionWeight() / sum : 0));
}

ResourceAmount
PlacementContext::needOfTask(const TaskAccount& aTask) const
{
  const EntryAccount& entry = ledger.entry(aTask.entry);
  ResourceAmount observed = aTask.observed;
  if (aTask.cpuLimitMilli > 0) {
    observed.cpuMilli = std::min(observed.cpuMilli, aTask.cpuLimitMilli);
  }
  // A task that reports no use yet may still grow to what others of its entry use.
  return aTask.hasSettled ? entry.declared.larger(observed) : needOf(aTask.entry).larger(observed);
}

std::int64_t
PlacementContext::expectedMemory(const TaskAccount& aTask) const
{
  if (aTask.hasSettled) {
    return aTask.observed.memoryMb;
  }
  const std::int64_t learned = sizes.use(aTask.entry).memoryMb;
  const std::int64_t usual = learned > 0 ? learned : ledger.entry(aTask.entry).declared.memoryMb;
  return std::max(aTask.observed.memoryMb, usual);
}

std::int64_t
PlacementContext::expectedCpu(const TaskAccount& aTask) const
{
  std::int64_t expected = aTask.lastCpuMilli;
  if (expected == 0) {
    expected = sizes.use(aTask.entry).cpuMilli;
  }
  if (expected == 0) {
    expected = ledger.entry(aTask.entry).declared.cpuMilli;
  }
  return aTask.cpuLimitMilli > 0 ? std::min(expected, aTask.cpuLimitMilli) : expected;
}

std::vector<EntryLoad>
PlacementContext::loadsOn(WorkerIndex aWorker, EntryIndex aExcept) const
{
  const WorkerAccount& worker = ledger.worker(aWorker);
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  std::vector<EntryLoad> result;
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = ledger.task(index);
    if (task.entry != aExcept && !task.stopRequested) {
      addLoad(result, task.entry, static_cast<double>(expectedCpu(task)) / capacity);
    }
  }
  return result;
}

double
PlacementContext::latencyGoalMs(EntryIndex aService) const
{
  const double objective = ledger.entry(aService).objectiveMs;
  if (objective > 0) {
    return objective;
  }
  return kLatencyWithoutObjective * interference.predictMs(aService, 0, {});
}

std::vector<EntryIndex>
PlacementContext::servicesOn(WorkerIndex aWorker) const
{
  const WorkerAccount& worker = ledger.worker(aWorker);
  std::vector<EntryIndex> result = worker.services;
  for (const TaskIndex index : worker.tasks) {
    const EntryIndex entry = ledger.task(index).entry;
    const bool isListed = std::find(result.begin(), result.end(), entry) != result.end();
    if (ledger.entry(entry).latencyCritical && !isListed) {
      result.push_back(entry);
    }
  }
  return result;
}

double
PlacementContext::ownLoad(WorkerIndex aWorker, EntryIndex aService) const
{
  const WorkerAccount& worker = ledger.worker(aWorker);
  double cpu = 0;
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = ledger.task(index);
    cpu += task.entry == aService ? static_cast<double>(expectedCpu(task)) : 0.0;
  }
  return cpu / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
}

double
PlacementContext::evictionCost(const TaskAccount& aTask) const
{
  constexpr double kMsPerMinute = 60000;
  const double redoneMs =
    std::max(0.0F, aTask.progress - aTask.checkpointProgress) * sizes.runMs(aTask.entry);
  const double minutes = (redoneMs + kRestartMs) / kMsPerMinute;
  // A task that is nearly done frees its room soon by itself.
  const double nearEnd = aTask.progress > kNearEnd ? 2.0 : 1.0;
  return minutes * nearEnd * (1.0 + aTask.evictions);
}

void
PlacementContext::evict(TaskIndex aTask, const std::string& aReason)
{
  TaskAccount& task = ledger.task(aTask);
  task.stopRequested = true;
  task.stopDecidedAtMs = nowMs;
  unconfirmedStops.push_back(aTask);
  const std::int64_t session = ledger.worker(task.worker).session;
  decisions.emplace_back(EvictDecision{ task.taskId, task.epoch, session, aReason });
}

} // namespace magnoliadrum
