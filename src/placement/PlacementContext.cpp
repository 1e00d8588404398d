#include "placement/PlacementContext.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Latency goal without an objective, as a multiple of the latency without load and neighbours. */
constexpr double kDefaultLatencyFactor = 2;
/** Spare CPU costs throughput and protects tail latency, so the weights scale this maximum. */
constexpr double kMaxCpuDeviations = 1.3;
/** Covers about 90% of tasks; up to twice as many deviations when evictions have most weight. */
constexpr double kMemoryDeviations = 1.3;
/** Time to start a process and read its checkpoint. */
constexpr double kRestartMs = 5000;
constexpr float kNearEndProgress = 0.9F;

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
PlacementContext::reservationForEntry(EntryIndex aEntry) const
{
  const EntryInfo& entry = cluster.entry(aEntry);
  if (!options.learnSizes) {
    return entry.declared;
  }
  // Learned use may exceed every VM, but only the declared size may make a task impossible.
  const ResourceAmount learned = sizes.estimateUse(aEntry, cpuDeviations(), memoryDeviations());
  return entry.declared.componentMax(learned.componentMin(entry.largestVm));
}

double
PlacementContext::cpuDeviations() const
{
  const PolicySettings& weights = options.settings;
  const double sum = weights.tailLatencyWeight() + weights.throughputWeight();
  return sum > 0 ? kMaxCpuDeviations * weights.tailLatencyWeight() / sum : 0;
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
PlacementContext::reservationForTask(const TaskInfo& aTask) const
{
  const EntryInfo& entry = cluster.entry(aTask.entry);
  ResourceAmount peakUse = aTask.peakUse;
  if (aTask.cpuLimitMilli > 0) {
    peakUse.cpuMilli = std::min(peakUse.cpuMilli, aTask.cpuLimitMilli);
  }
  // Until its memory use is stable, a task may still grow to the size of others of its entry.
  return aTask.isMemoryStable ? entry.declared.componentMax(peakUse)
                              : reservationForEntry(aTask.entry).componentMax(peakUse);
}

std::int64_t
PlacementContext::expectedMemory(const TaskInfo& aTask) const
{
  if (aTask.isMemoryStable) {
    return aTask.peakUse.memoryMb;
  }
  const std::int64_t learned = sizes.estimateUse(aTask.entry).memoryMb;
  const std::int64_t usual = learned > 0 ? learned : cluster.entry(aTask.entry).declared.memoryMb;
  return std::max(aTask.peakUse.memoryMb, usual);
}

std::int64_t
PlacementContext::expectedCpu(const TaskInfo& aTask) const
{
  std::int64_t expected = aTask.lastCpuMilli;
  if (expected == 0) {
    expected = sizes.estimateUse(aTask.entry).cpuMilli;
  }
  if (expected == 0) {
    expected = cluster.entry(aTask.entry).declared.cpuMilli;
  }
  return aTask.cpuLimitMilli > 0 ? std::min(expected, aTask.cpuLimitMilli) : expected;
}

std::vector<EntryLoad>
PlacementContext::loadsOn(WorkerIndex aWorker, EntryIndex aExcludedEntry) const
{
  const WorkerInfo& worker = cluster.worker(aWorker);
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  std::vector<EntryLoad> result;
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = cluster.task(index);
    if (task.entry != aExcludedEntry && !task.stopRequested) {
      addLoad(result, task.entry, static_cast<double>(expectedCpu(task)) / capacity);
    }
  }
  return result;
}

double
PlacementContext::latencyGoalMs(EntryIndex aService) const
{
  const double objective = cluster.entry(aService).objectiveMs;
  if (objective > 0) {
    return objective;
  }
  return kDefaultLatencyFactor * interference.predictMs(aService, 0, {});
}

std::vector<EntryIndex>
PlacementContext::servicesOn(WorkerIndex aWorker) const
{
  const WorkerInfo& worker = cluster.worker(aWorker);
  std::vector<EntryIndex> result = worker.services;
  for (const TaskIndex index : worker.tasks) {
    const EntryIndex entry = cluster.task(index).entry;
    const bool isListed = std::find(result.begin(), result.end(), entry) != result.end();
    if (cluster.entry(entry).latencyCritical && !isListed) {
      result.push_back(entry);
    }
  }
  return result;
}

double
PlacementContext::ownLoad(WorkerIndex aWorker, EntryIndex aService) const
{
  const WorkerInfo& worker = cluster.worker(aWorker);
  double cpu = 0;
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = cluster.task(index);
    cpu += task.entry == aService ? static_cast<double>(expectedCpu(task)) : 0.0;
  }
  return cpu / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
}

double
PlacementContext::evictionCost(const TaskInfo& aTask) const
{
  constexpr double kMsPerMinute = 60000;
  const double lostMs =
    std::max(0.0F, aTask.progress - aTask.checkpointProgress) * sizes.meanRunMs(aTask.entry);
  const double minutes = (lostMs + kRestartMs) / kMsPerMinute;
  // A task that is nearly done soon frees its resources by itself.
  const double nearEndFactor = aTask.progress > kNearEndProgress ? 2.0 : 1.0;
  return minutes * nearEndFactor * (1.0 + aTask.evictions);
}

void
PlacementContext::evict(TaskIndex aTask, const std::string& aReason)
{
  TaskInfo& task = cluster.task(aTask);
  task.stopRequested = true;
  task.stopDecidedAtMs = nowMs;
  unconfirmedStops.push_back(aTask);
  const std::int64_t session = cluster.worker(task.worker).session;
  decisions.emplace_back(EvictDecision{ task.taskId, task.epoch, session, aReason });
}

} // namespace magnoliadrum
