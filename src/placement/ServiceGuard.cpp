#include "placement/ServiceGuard.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

/** Weight of a new latency; two or three high periods in a row count, a single one does not. */
constexpr double kLatencyGain = 0.5;
/** Below this share of its goal a service counts as calm; between it and the goal nothing changes.
 */
constexpr double kCalmShare = 0.85;
/** Effects below this are within the noise of the measurement, and acting on them gains nothing. */
constexpr double kSmallestEffect = 0.03;
constexpr double kThrottleShare = 0.5;
/** A task is not throttled below this share of its use, because it would hold its memory for long.
 */
constexpr double kLowestThrottleShare = 0.1;
constexpr std::int64_t kLowestThrottleMilli = 100;
/** A service that gets slow again within so many settling times after a lift has a relapse. */
constexpr std::int64_t kRelapseSettleTimes = 10;
constexpr int kMostRelapses = 6;
constexpr double kRequestsDecay = 0.999;

} // namespace

double
ServiceGuard::margin() const
{
  const PolicySettings& settings = mContext.options.settings;
  const double total =
    settings.tailLatencyWeight() + settings.evictionWeight() + settings.throughputWeight();
  constexpr double kLoosest = 1.1;
  constexpr double kRange = 0.3;
  return total > 0 ? kLoosest - kRange * settings.tailLatencyWeight() / total : 1.0;
}

double
ServiceGuard::loadOf(EntryIndex aService, std::int64_t aRequests)
{
  double& most = mMostRequests[aService];
  most = std::max(most * kRequestsDecay, static_cast<double>(aRequests));
  return static_cast<double>(aRequests) / most;
}

void
ServiceGuard::observe(const std::vector<ServiceObservation>& aObservations)
{
  for (const ServiceObservation& observation : aObservations) {
    if (observation.requests <= 0 || observation.latencyMs <= 0) {
      continue;
    }
    const EntryIndex service = mContext.ledger.entryIndex(observation.entryName);
    const double load = loadOf(service, observation.requests);
    if (observation.session != 0) {
      const std::optional<WorkerIndex> found = mContext.ledger.findWorker(observation.session);
      if (found) {
        observeOn(*found, service, observation.latencyMs, load);
      }
      continue;
    }
    for (WorkerIndex i = 0; i < mContext.ledger.workers().size(); ++i) {
      const std::vector<EntryIndex> services = mContext.servicesOn(i);
      if (std::find(services.begin(), services.end(), service) != services.end()) {
        observeOn(i, service, observation.latencyMs, load);
      }
    }
  }
}

void
ServiceGuard::observeOn(WorkerIndex aWorker, EntryIndex aService, double aLatencyMs, double aLoad)
{
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  if (mContext.options.learnInterference) {
    std::vector<EntryLoad> others = worker.measured;
    std::erase_if(others, [&](const EntryLoad& aOther) { return aOther.entry == aService; });
    mContext.interference.learn(aService, aLatencyMs, aLoad, others);
  }
  Watch& watch = mWatches[{ worker.session, aService }];
  watch.latencyMs = watch.latencyMs == 0
                      ? aLatencyMs
                      : watch.latencyMs + kLatencyGain * (aLatencyMs - watch.latencyMs);
  watch.load = aLoad;
  watch.isNew = true;
  // What did not fit beside the service may fit now, although no room became free.
  if (watch.step == Step::eNone &&
      mContext.nowMs - watch.offeredAtMs >= mContext.options.settleMs) {
    watch.offeredAtMs = mContext.nowMs;
    mContext.ledger.markFreed(aWorker);
  }
}

void
ServiceGuard::act(const WorkerSelector& aSelector)
{
  for (auto& [key, watch] : mWatches) {
    const std::optional<WorkerIndex> worker = mContext.ledger.findWorker(key.first);
    if (!watch.isNew || !worker) {
      continue;
    }
    watch.isNew = false;
    const double goal = mContext.latencyGoalMs(key.second);
    if (goal <= 0) {
      continue;
    }
    if (watch.latencyMs > goal) {
      help(*worker, key.second, watch, aSelector);
    } else if (watch.latencyMs < kCalmShare * goal) {
      relax(*worker, key.second, watch);
    } else {
      watch.calmSinceMs = -1;
    }
  }
}

std::vector<ServiceGuard::Aggressor>
ServiceGuard::aggressors(WorkerIndex aWorker, EntryIndex aService) const
{
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  std::vector<Aggressor> result;
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = mContext.ledger.task(index);
    if (mContext.ledger.entry(task.entry).latencyCritical || task.stopRequested ||
        task.unconfirmed) {
      continue;
    }
    const double share = static_cast<double>(mContext.expectedCpu(task)) / capacity;
    if (!mContext.options.learnInterference) {
      // Without learning every task is taken to be as guilty as its processor use.
      result.push_back({ index, share, share });
      continue;
    }
    // While load and neighbours do not vary, the cause of a high latency cannot be told. A pair
    // that is not known well is throttled on suspicion, and the effect of that shows whether it was
    // right.
    const double factor = mContext.interference.factor(aService, task.entry);
    const double possible = factor + mContext.interference.uncertainty(aService, task.entry);
    result.push_back({ index, factor * share, possible * share });
  }
  std::sort(result.begin(), result.end(), [](const Aggressor& aLeft, const Aggressor& aRight) {
    return aLeft.possibleEffect > aRight.possibleEffect;
  });
  return result;
}

void
ServiceGuard::help(WorkerIndex aWorker,
                   EntryIndex aService,
                   Watch& aWatch,
                   const WorkerSelector& aSelector)
{
  aWatch.calmSinceMs = -1;
  const std::int64_t settleMs = mContext.options.settleMs;
  if (mContext.nowMs - aWatch.actedAtMs < settleMs) {
    return;
  }
  const double goal = mContext.latencyGoalMs(aService);
  const double excess = aWatch.latencyMs / goal - 1;
  const std::vector<Aggressor> found = aggressors(aWorker, aService);
  double total = 0;
  for (const Aggressor& aggressor : found) {
    total += aggressor.possibleEffect;
  }
  if (total < kSmallestEffect) {
    return;
  }
  if (aWatch.liftedAtMs > 0 &&
      mContext.nowMs - aWatch.liftedAtMs < kRelapseSettleTimes * settleMs) {
    aWatch.relapses = std::min(aWatch.relapses + 1, kMostRelapses);
  }
  aWatch.liftedAtMs = 0;
  const bool acted = aWatch.step == Step::eNone ? throttle(found, std::log1p(excess), aWatch)
                                                : stopOne(found, excess, aWatch, aSelector) ||
                                                    throttle(found, std::log1p(excess), aWatch);
  if (acted) {
    aWatch.actedAtMs = mContext.nowMs;
  }
}

bool
ServiceGuard::throttle(const std::vector<Aggressor>& aAggressors, double aReduction, Watch& aWatch)
{
  double reduced = 0;
  for (const Aggressor& aggressor : aAggressors) {
    if (reduced >= aReduction || mContext.isFull()) {
      break;
    }
    TaskAccount& task = mContext.ledger.task(aggressor.task);
    const double peak = static_cast<double>(std::max(task.observed.cpuMilli, task.lastCpuMilli));
    const auto lowest =
      std::max(kLowestThrottleMilli, static_cast<std::int64_t>(peak * kLowestThrottleShare));
    const double current = static_cast<double>(mContext.expectedCpu(task));
    const auto limit = std::max(lowest, static_cast<std::int64_t>(current * kThrottleShare));
    if (aggressor.possibleEffect < kSmallestEffect / 3 || static_cast<double>(limit) >= current) {
      continue;
    }
    reduced += aggressor.possibleEffect * (1 - static_cast<double>(limit) / current);
    task.cpuLimitMilli = limit;
    task.isLimitedForService = true;
    const std::int64_t session = mContext.ledger.worker(task.worker).session;
    mContext.decisions.emplace_back(
      ThrottleDecision{ task.taskId, task.epoch, session, limit, "slows a service down" });
  }
  if (reduced > 0 && aWatch.step == Step::eNone) {
    aWatch.step = Step::eThrottled;
  }
  return reduced > 0;
}

bool
ServiceGuard::stopOne(const std::vector<Aggressor>& aAggressors,
                      double aExcess,
                      Watch& aWatch,
                      const WorkerSelector& aSelector)
{
  const PolicySettings& settings = mContext.options.settings;
  const bool mayEvict = aWatch.step != Step::eThrottled;
  TaskIndex best = kNoIndex;
  double bestGain = 0;
  for (const Aggressor& aggressor : aAggressors) {
    if (aggressor.effect < kSmallestEffect) {
      continue;
    }
    const TaskAccount& task = mContext.ledger.task(aggressor.task);
    const double relief = std::min(aExcess, std::expm1(aggressor.effect));
    const double gain = settings.tailLatencyWeight() * relief -
                        settings.evictionWeight() * mContext.evictionCost(task);
    if (gain > bestGain && (mayEvict || hasOtherPlace(aggressor.task, aSelector))) {
      best = aggressor.task;
      bestGain = gain;
    }
  }
  if (best == kNoIndex) {
    // The next step may evict without another place, after the settling time.
    if (aWatch.step == Step::eThrottled) {
      aWatch.step = Step::eMoved;
    }
    return false;
  }
  mContext.evict(best,
                 mayEvict ? "slows a service down" : "moved away from a service it slows down");
  aWatch.step = mayEvict ? Step::eEvicted : Step::eMoved;
  return true;
}

bool
ServiceGuard::hasOtherPlace(TaskIndex aTask, const WorkerSelector& aSelector) const
{
  const TaskAccount& task = mContext.ledger.task(aTask);
  WorkerRequest request;
  request.entry = task.entry;
  request.need = mContext.needOfTask(task);
  request.avoidTarget = mContext.ledger.worker(task.worker).targetName;
  request.nowMs = mContext.nowMs;
  return aSelector.select(request, mContext.random).has_value();
}

void
ServiceGuard::relax(WorkerIndex aWorker, EntryIndex aService, Watch& aWatch)
{
  if (aWatch.step == Step::eNone) {
    return;
  }
  if (aWatch.calmSinceMs < 0) {
    aWatch.calmSinceMs = mContext.nowMs;
    return;
  }
  const std::int64_t neededMs = 2 * mContext.options.settleMs << aWatch.relapses;
  const std::int64_t session = mContext.ledger.worker(aWorker).session;
  if (mContext.nowMs - aWatch.calmSinceMs < neededMs || isAnyNotCalm(session)) {
    return;
  }
  if (latencyAfterLift(aWorker, aService, aWatch) > mContext.latencyGoalMs(aService)) {
    return;
  }
  aWatch.calmSinceMs = mContext.nowMs;
  aWatch.liftedAtMs = mContext.nowMs;
  if (!liftLimits(aWorker)) {
    aWatch.step = Step::eNone;
    mContext.ledger.markFreed(aWorker);
  }
}

double
ServiceGuard::latencyAfterLift(WorkerIndex aWorker, EntryIndex aService, const Watch& aWatch) const
{
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  double more = 0;
  for (const TaskIndex index : worker.tasks) {
    const TaskAccount& task = mContext.ledger.task(index);
    if (task.isLimitedForService) {
      const std::int64_t raised = std::min(2 * task.cpuLimitMilli, task.observed.cpuMilli);
      const auto added =
        static_cast<double>(std::max<std::int64_t>(0, raised - task.cpuLimitMilli));
      more += mContext.interference.factor(aService, task.entry) * added;
    }
  }
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  return aWatch.latencyMs * std::exp(more / capacity);
}

bool
ServiceGuard::liftLimits(WorkerIndex aWorker)
{
  bool isAnyLimited = false;
  const std::int64_t session = mContext.ledger.worker(aWorker).session;
  for (const TaskIndex index : mContext.ledger.worker(aWorker).tasks) {
    TaskAccount& task = mContext.ledger.task(index);
    if (!task.isLimitedForService) {
      continue;
    }
    task.cpuLimitMilli *= 2;
    if (task.cpuLimitMilli >= task.observed.cpuMilli) {
      task.cpuLimitMilli = 0;
      task.isLimitedForService = false;
    }
    isAnyLimited = isAnyLimited || task.cpuLimitMilli > 0;
    mContext.decisions.emplace_back(
      ThrottleDecision{ task.taskId, task.epoch, session, task.cpuLimitMilli, "service is calm" });
  }
  return isAnyLimited;
}

bool
ServiceGuard::isAnyNotCalm(std::int64_t aSession) const
{
  for (auto position = mWatches.lower_bound({ aSession, 0 });
       position != mWatches.end() && position->first.first == aSession;
       ++position) {
    if (position->second.step != Step::eNone && position->second.calmSinceMs < 0) {
      return true;
    }
  }
  return false;
}

void
ServiceGuard::forgetClosedSessions()
{
  std::erase_if(
    mWatches, [this](const auto& aItem) { return !mContext.ledger.findWorker(aItem.first.first); });
}

std::optional<double>
ServiceGuard::placementCost(WorkerIndex aWorker, EntryIndex aEntry) const
{
  const WorkerAccount& worker = mContext.ledger.worker(aWorker);
  if (!mContext.options.learnInterference ||
      (worker.services.empty() && worker.criticalTasks == 0 &&
       !mContext.ledger.entry(aEntry).latencyCritical)) {
    return 0.0;
  }
  const double tailWeight = mContext.options.settings.tailLatencyWeight();
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  if (mContext.ledger.entry(aEntry).latencyCritical) {
    const std::vector<EntryLoad> loads = mContext.loadsOn(aWorker, aEntry);
    const double alone = mContext.interference.predictMs(aEntry, 0, {});
    return alone > 0 ? tailWeight * (mContext.interference.predictMs(aEntry, 0, loads) / alone - 1)
                     : 0.0;
  }
  const std::int64_t cpu = std::max(
    mContext.sizes.use(aEntry).cpuMilli,
    mContext.sizes.use(aEntry).cpuMilli > 0 ? 0 : mContext.ledger.entry(aEntry).declared.cpuMilli);
  double total = 0;
  // Most workers hold no latency-critical task, and a copy of the list costs more than the rest.
  const bool hasCritical = worker.criticalTasks > 0;
  const std::vector<EntryIndex> found =
    hasCritical ? mContext.servicesOn(aWorker) : std::vector<EntryIndex>();
  for (const EntryIndex service : hasCritical ? found : worker.services) {
    const auto watch = mWatches.find({ worker.session, service });
    if (watch == mWatches.end()) {
      continue;
    }
    const double effect =
      mContext.interference.factor(service, aEntry) * static_cast<double>(cpu) / capacity;
    if (effect < kSmallestEffect / 3) {
      continue;
    }
    if (watch->second.step != Step::eNone) {
      return std::nullopt;
    }
    const std::vector<EntryLoad> loads = mContext.loadsOn(aWorker, service);
    const double before = mContext.interference.predictMs(service, watch->second.load, loads);
    if (before * std::exp(effect) > margin() * mContext.latencyGoalMs(service)) {
      return std::nullopt;
    }
    total += tailWeight * std::expm1(effect);
  }
  return total;
}

} // namespace magnoliadrum
