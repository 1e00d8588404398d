#include "placement/LatencyController.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

/** Smoothing factor for latencies: reacts to two or three high periods in a row, not to one. */
constexpr double kLatencyGain = 0.5;
/** Below this share of its goal a service is recovered; between it and the goal nothing changes. */
constexpr double kRecoveredShare = 0.85;
/** Smaller effects are within the measurement noise, so acting on them gains nothing. */
constexpr double kMinEffect = 0.03;
/** Share of its CPU use that a task keeps per throttling step. */
constexpr double kThrottleShare = 0.5;
/** Lowest limit as a share of the peak use; a slower task would occupy its memory for too long. */
constexpr double kMinThrottleShare = 0.1;
constexpr std::int64_t kMinThrottleMilli = 100;
/** A service that is slow again within this many settling times of raised limits has a relapse. */
constexpr std::int64_t kRelapseSettleTimes = 10;
constexpr int kMaxRelapses = 6;
constexpr double kRequestsDecay = 0.999;

} // namespace

double
LatencyController::latencyMargin() const
{
  const PolicySettings& settings = mContext.options.settings;
  const double total =
    settings.tailLatencyWeight() + settings.evictionWeight() + settings.throughputWeight();
  constexpr double kMaxMargin = 1.1;
  constexpr double kMarginRange = 0.3;
  return total > 0 ? kMaxMargin - kMarginRange * settings.tailLatencyWeight() / total : 1.0;
}

double
LatencyController::relativeLoad(EntryIndex aService, std::int64_t aRequests)
{
  double& peak = mPeakRequests[aService];
  peak = std::max(peak * kRequestsDecay, static_cast<double>(aRequests));
  return static_cast<double>(aRequests) / peak;
}

void
LatencyController::recordObservations(const std::vector<ServiceObservation>& aObservations)
{
  for (const ServiceObservation& observation : aObservations) {
    if (observation.requests <= 0 || observation.latencyMs <= 0) {
      continue;
    }
    const EntryIndex service = mContext.cluster.entryIndex(observation.entryName);
    const double load = relativeLoad(service, observation.requests);
    if (observation.session != 0) {
      const std::optional<WorkerIndex> found = mContext.cluster.findWorker(observation.session);
      if (found) {
        recordLatency(*found, service, observation.latencyMs, load);
      }
      continue;
    }
    for (WorkerIndex i = 0; i < mContext.cluster.workers().size(); ++i) {
      const std::vector<EntryIndex> services = mContext.servicesOn(i);
      if (std::find(services.begin(), services.end(), service) != services.end()) {
        recordLatency(i, service, observation.latencyMs, load);
      }
    }
  }
}

void
LatencyController::recordLatency(WorkerIndex aWorker,
                                 EntryIndex aService,
                                 double aLatencyMs,
                                 double aLoad)
{
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  if (mContext.options.learnInterference) {
    std::vector<EntryLoad> others = worker.measuredLoads;
    std::erase_if(others, [&](const EntryLoad& aOther) { return aOther.entry == aService; });
    mContext.interference.learn(aService, aLatencyMs, aLoad, others);
  }
  ControlState& state = mStates[{ worker.session, aService }];
  state.latencyMs = state.latencyMs == 0
                      ? aLatencyMs
                      : state.latencyMs + kLatencyGain * (aLatencyMs - state.latencyMs);
  state.load = aLoad;
  state.hasNewLatency = true;
  // Tasks kept away from the service may fit now, although no capacity was freed.
  if (state.step == Step::eNone &&
      mContext.nowMs - state.markedFreedAtMs >= mContext.options.settleMs) {
    state.markedFreedAtMs = mContext.nowMs;
    mContext.cluster.markFreed(aWorker);
  }
}

void
LatencyController::enforceGoals(const WorkerSelector& aSelector)
{
  for (auto& [key, state] : mStates) {
    const std::optional<WorkerIndex> worker = mContext.cluster.findWorker(key.first);
    if (!state.hasNewLatency || !worker) {
      continue;
    }
    state.hasNewLatency = false;
    const double goal = mContext.latencyGoalMs(key.second);
    if (goal <= 0) {
      continue;
    }
    if (state.latencyMs > goal) {
      mitigate(*worker, key.second, state, aSelector);
    } else if (state.latencyMs < kRecoveredShare * goal) {
      relaxLimits(*worker, key.second, state);
    } else {
      state.recoveredSinceMs = -1;
    }
  }
}

std::vector<LatencyController::Aggressor>
LatencyController::aggressors(WorkerIndex aWorker, EntryIndex aService) const
{
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  std::vector<Aggressor> result;
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = mContext.cluster.task(index);
    if (mContext.cluster.entry(task.entry).latencyCritical || task.stopRequested ||
        task.unconfirmed) {
      continue;
    }
    const double share = static_cast<double>(mContext.expectedCpu(task)) / capacity;
    if (!mContext.options.learnInterference) {
      // Without a learned model, the CPU share of a task stands for its effect.
      result.push_back({ index, share, share });
      continue;
    }
    // While load and neighbours do not vary, the cause of a high latency cannot be identified. An
    // uncertain coefficient therefore counts at its upper estimate: the effect of throttling the
    // task shows whether it was the cause.
    const double coefficient = mContext.interference.coefficient(aService, task.entry);
    const double possible = coefficient + mContext.interference.uncertainty(aService, task.entry);
    result.push_back({ index, coefficient * share, possible * share });
  }
  std::sort(result.begin(), result.end(), [](const Aggressor& aLeft, const Aggressor& aRight) {
    return aLeft.possibleEffect > aRight.possibleEffect;
  });
  return result;
}

void
LatencyController::mitigate(WorkerIndex aWorker,
                            EntryIndex aService,
                            ControlState& aState,
                            const WorkerSelector& aSelector)
{
  aState.recoveredSinceMs = -1;
  const std::int64_t settleMs = mContext.options.settleMs;
  if (mContext.nowMs - aState.actedAtMs < settleMs) {
    return;
  }
  const double goal = mContext.latencyGoalMs(aService);
  const double excess = aState.latencyMs / goal - 1;
  const std::vector<Aggressor> candidates = aggressors(aWorker, aService);
  double total = 0;
  for (const Aggressor& aggressor : candidates) {
    total += aggressor.possibleEffect;
  }
  if (total < kMinEffect) {
    return;
  }
  if (aState.limitsRaisedAtMs > 0 &&
      mContext.nowMs - aState.limitsRaisedAtMs < kRelapseSettleTimes * settleMs) {
    aState.relapses = std::min(aState.relapses + 1, kMaxRelapses);
  }
  aState.limitsRaisedAtMs = 0;
  const bool acted = aState.step == Step::eNone
                       ? throttle(candidates, std::log1p(excess), aState)
                       : evictOne(candidates, excess, aState, aSelector) ||
                           throttle(candidates, std::log1p(excess), aState);
  if (acted) {
    aState.actedAtMs = mContext.nowMs;
  }
}

bool
LatencyController::throttle(const std::vector<Aggressor>& aAggressors,
                            double aReduction,
                            ControlState& aState)
{
  double reduced = 0;
  for (const Aggressor& aggressor : aAggressors) {
    if (reduced >= aReduction || mContext.hasReachedDecisionLimit()) {
      break;
    }
    TaskInfo& task = mContext.cluster.task(aggressor.task);
    const double peak = static_cast<double>(std::max(task.peakUse.cpuMilli, task.lastCpuMilli));
    const auto lowest =
      std::max(kMinThrottleMilli, static_cast<std::int64_t>(peak * kMinThrottleShare));
    const double current = static_cast<double>(mContext.expectedCpu(task));
    const auto limit = std::max(lowest, static_cast<std::int64_t>(current * kThrottleShare));
    if (aggressor.possibleEffect < kMinEffect / 3 || static_cast<double>(limit) >= current) {
      continue;
    }
    reduced += aggressor.possibleEffect * (1 - static_cast<double>(limit) / current);
    task.cpuLimitMilli = limit;
    task.isLimitedForService = true;
    const std::int64_t session = mContext.cluster.worker(task.worker).session;
    mContext.decisions.emplace_back(
      ThrottleDecision{ task.taskId, task.epoch, session, limit, "slows a service down" });
  }
  if (reduced > 0 && aState.step == Step::eNone) {
    aState.step = Step::eThrottled;
  }
  return reduced > 0;
}

bool
LatencyController::evictOne(const std::vector<Aggressor>& aAggressors,
                            double aExcess,
                            ControlState& aState,
                            const WorkerSelector& aSelector)
{
  const PolicySettings& settings = mContext.options.settings;
  const bool mayEvict = aState.step != Step::eThrottled;
  TaskIndex best = kNoIndex;
  double bestGain = 0;
  for (const Aggressor& aggressor : aAggressors) {
    if (aggressor.effect < kMinEffect) {
      continue;
    }
    const TaskInfo& task = mContext.cluster.task(aggressor.task);
    const double relief = std::min(aExcess, std::expm1(aggressor.effect));
    const double gain = settings.tailLatencyWeight() * relief -
                        settings.evictionWeight() * mContext.evictionCost(task);
    if (gain > bestGain && (mayEvict || fitsElsewhere(aggressor.task, aSelector))) {
      best = aggressor.task;
      bestGain = gain;
    }
  }
  if (best == kNoIndex) {
    // After the settling time, the next step may evict a task that fits nowhere else.
    if (aState.step == Step::eThrottled) {
      aState.step = Step::eMoved;
    }
    return false;
  }
  mContext.evict(best,
                 mayEvict ? "slows a service down" : "moved away from a service it slows down");
  aState.step = mayEvict ? Step::eEvicted : Step::eMoved;
  return true;
}

bool
LatencyController::fitsElsewhere(TaskIndex aTask, const WorkerSelector& aSelector) const
{
  const TaskInfo& task = mContext.cluster.task(aTask);
  WorkerRequest request;
  request.entry = task.entry;
  request.required = mContext.reservationForTask(task);
  request.avoidTarget = mContext.cluster.worker(task.worker).targetName;
  request.nowMs = mContext.nowMs;
  return aSelector.select(request, mContext.random).has_value();
}

void
LatencyController::relaxLimits(WorkerIndex aWorker, EntryIndex aService, ControlState& aState)
{
  if (aState.step == Step::eNone) {
    return;
  }
  if (aState.recoveredSinceMs < 0) {
    aState.recoveredSinceMs = mContext.nowMs;
    return;
  }
  const std::int64_t neededMs = 2 * mContext.options.settleMs << aState.relapses;
  const std::int64_t session = mContext.cluster.worker(aWorker).session;
  if (mContext.nowMs - aState.recoveredSinceMs < neededMs || hasUnrecoveredService(session)) {
    return;
  }
  if (latencyAfterRaise(aWorker, aService, aState) > mContext.latencyGoalMs(aService)) {
    return;
  }
  aState.recoveredSinceMs = mContext.nowMs;
  aState.limitsRaisedAtMs = mContext.nowMs;
  if (!raiseLimits(aWorker)) {
    aState.step = Step::eNone;
    mContext.cluster.markFreed(aWorker);
  }
}

double
LatencyController::latencyAfterRaise(WorkerIndex aWorker,
                                     EntryIndex aService,
                                     const ControlState& aState) const
{
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  double more = 0;
  for (const TaskIndex index : worker.tasks) {
    const TaskInfo& task = mContext.cluster.task(index);
    if (task.isLimitedForService) {
      const std::int64_t raised = std::min(2 * task.cpuLimitMilli, task.peakUse.cpuMilli);
      const auto added =
        static_cast<double>(std::max<std::int64_t>(0, raised - task.cpuLimitMilli));
      more += mContext.interference.coefficient(aService, task.entry) * added;
    }
  }
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  return aState.latencyMs * std::exp(more / capacity);
}

bool
LatencyController::raiseLimits(WorkerIndex aWorker)
{
  bool isAnyLimited = false;
  const std::int64_t session = mContext.cluster.worker(aWorker).session;
  for (const TaskIndex index : mContext.cluster.worker(aWorker).tasks) {
    TaskInfo& task = mContext.cluster.task(index);
    if (!task.isLimitedForService) {
      continue;
    }
    task.cpuLimitMilli *= 2;
    if (task.cpuLimitMilli >= task.peakUse.cpuMilli) {
      task.cpuLimitMilli = 0;
      task.isLimitedForService = false;
    }
    isAnyLimited = isAnyLimited || task.cpuLimitMilli > 0;
    mContext.decisions.emplace_back(
      ThrottleDecision{ task.taskId,
                        task.epoch,
                        session,
                        task.cpuLimitMilli,
                        "latency of the service is below its goal again" });
  }
  return isAnyLimited;
}

bool
LatencyController::hasUnrecoveredService(std::int64_t aSession) const
{
  for (auto position = mStates.lower_bound({ aSession, 0 });
       position != mStates.end() && position->first.first == aSession;
       ++position) {
    if (position->second.step != Step::eNone && position->second.recoveredSinceMs < 0) {
      return true;
    }
  }
  return false;
}

void
LatencyController::forgetClosedSessions()
{
  std::erase_if(
    mStates, [this](const auto& aItem) { return !mContext.cluster.findWorker(aItem.first.first); });
}

std::optional<double>
LatencyController::placementCost(WorkerIndex aWorker, EntryIndex aEntry) const
{
  const WorkerInfo& worker = mContext.cluster.worker(aWorker);
  if (!mContext.options.learnInterference ||
      (worker.services.empty() && worker.latencyCriticalTasks == 0 &&
       !mContext.cluster.entry(aEntry).latencyCritical)) {
    return 0.0;
  }
  const double tailWeight = mContext.options.settings.tailLatencyWeight();
  const double capacity = static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMilli, 1));
  if (mContext.cluster.entry(aEntry).latencyCritical) {
    const std::vector<EntryLoad> loads = mContext.loadsOn(aWorker, aEntry);
    const double alone = mContext.interference.predictMs(aEntry, 0, {});
    return alone > 0 ? tailWeight * (mContext.interference.predictMs(aEntry, 0, loads) / alone - 1)
                     : 0.0;
  }
  const std::int64_t cpu = std::max(mContext.sizes.estimateUse(aEntry).cpuMilli,
                                    mContext.sizes.estimateUse(aEntry).cpuMilli > 0
                                      ? 0
                                      : mContext.cluster.entry(aEntry).declared.cpuMilli);
  double total = 0;
  // Avoid copying the list for workers without latency-critical tasks, which are the majority; the
  // copy costs more than the rest of this function.
  const bool hasLatencyCriticalTasks = worker.latencyCriticalTasks > 0;
  const std::vector<EntryIndex> allServices =
    hasLatencyCriticalTasks ? mContext.servicesOn(aWorker) : std::vector<EntryIndex>();
  for (const EntryIndex service : hasLatencyCriticalTasks ? allServices : worker.services) {
    const auto state = mStates.find({ worker.session, service });
    if (state == mStates.end()) {
      continue;
    }
    const double effect =
      mContext.interference.coefficient(service, aEntry) * static_cast<double>(cpu) / capacity;
    if (effect < kMinEffect / 3) {
      continue;
    }
    if (state->second.step != Step::eNone) {
      return std::nullopt;
    }
    const std::vector<EntryLoad> loads = mContext.loadsOn(aWorker, service);
    const double before = mContext.interference.predictMs(service, state->second.load, loads);
    if (before * std::exp(effect) > latencyMargin() * mContext.latencyGoalMs(service)) {
      return std::nullopt;
    }
    total += tailWeight * std::expm1(effect);
  }
  return total;
}

} // namespace magnoliadrum
