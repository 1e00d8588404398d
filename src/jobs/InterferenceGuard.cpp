#include "jobs/InterferenceGuard.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kFullPercent = 100;
/** Pace at which a stopped task restarts; no raise sets a lower one. */
constexpr std::int64_t kInitialPercent = 30;
/** Reports that follow each other more closely mostly repeat the same latencies. */
constexpr std::int64_t kMinObservationIntervalMs = 150;
/** Reported latencies include interference for this long after it has ended. */
constexpr std::int64_t kLatencyLagMs = 1300;
/** Weight of one report in the baseline of a task that runs alone, and of one with neighbours. */
constexpr double kBaselineWeight = 0.3;
constexpr double kBaselineWeightWithNeighbours = 0.05;

double
worstRatio(const std::vector<ServingTask>& aServing)
{
  double worst = 0;
  for (const ServingTask& task : aServing) {
    worst = std::max(worst, task.latencyRatio());
  }
  return worst;
}

/** Share that a task uses, or would use at its pace if its usage does not show yet. */
double
expectedShare(const OpportunisticTask& aTask)
{
  const double paced =
    aTask.declaredShare * static_cast<double>(aTask.percent) / static_cast<double>(kFullPercent);
  return std::max(aTask.usedShare, paced);
}

/** Updates the neighbours from a report. A share that falls stays effective for kLatencyLagMs,
 * because the reported latencies still include it. */
void
updateNeighbours(std::map<std::string, InterferenceGuard::Neighbour>& aNeighbours,
                 const std::vector<OpportunisticTask>& aOpportunistic,
                 MonotonicTime aNow)
{
  ImageShares reportedShares;
  for (const OpportunisticTask& task : aOpportunistic) {
    reportedShares[task.image] += task.usedShare;
  }
  for (const auto& [image, share] : reportedShares) {
    aNeighbours.try_emplace(image);
  }
  for (auto& [image, neighbour] : aNeighbours) {
    const auto share = reportedShares.find(image);
    neighbour.reportedShare = share == reportedShares.end() ? 0 : share->second;
    if (neighbour.reportedShare >= neighbour.effectiveShare ||
        aNow.msSince(neighbour.effectiveUpdatedAt) >= kLatencyLagMs) {
      neighbour.effectiveShare = neighbour.reportedShare;
      neighbour.effectiveUpdatedAt = aNow;
    }
  }
  std::erase_if(aNeighbours, [](const auto& aItem) { return aItem.second.effectiveShare <= 0; });
}

ImageShares
effectiveShares(const InterferenceGuard::State& aState)
{
  ImageShares shares;
  for (const auto& [image, neighbour] : aState.neighbours) {
    shares.emplace(image, neighbour.effectiveShare);
  }
  return shares;
}

} // namespace

void
InterferenceGuard::observe(State& aState,
                           const std::vector<ServingTask>& aServing,
                           const std::vector<OpportunisticTask>& aOpportunistic,
                           MonotonicTime aNow)
{
  if (aNow.msSince(aState.observedAt) < kMinObservationIntervalMs) {
    return;
  }
  aState.observedAt = aNow;
  updateNeighbours(aState.neighbours, aOpportunistic, aNow);
  const ImageShares neighbourShares = effectiveShares(aState);
  std::map<std::string, double> baselines;
  for (const ServingTask& task : aServing) {
    if (task.latencyMs <= 0) {
      continue;
    }
    const double logLatency = std::log(task.latencyMs);
    const auto position = aState.baselines.find(task.task);
    // The first report of a task may already include interference that is known.
    const double baseline = position == aState.baselines.end()
                              ? logLatency - mModel.growth(task.image, neighbourShares)
                              : position->second;
    if (showsPastInterference(aState, task)) {
      baselines.emplace(task.task, baseline);
      continue;
    }
    mModel.learn(task.image, logLatency - baseline, neighbourShares, aNow);
    const double logLatencyAlone = logLatency - mModel.growth(task.image, neighbourShares);
    const double weight = neighbourShares.empty() ? kBaselineWeight : kBaselineWeightWithNeighbours;
    baselines.emplace(task.task, baseline + weight * (logLatencyAlone - baseline));
  }
  aState.baselines = std::move(baselines);
}

bool
InterferenceGuard::showsPastInterference(const State& aState, const ServingTask& aTask) const
{
  return std::any_of(aState.neighbours.begin(), aState.neighbours.end(), [&](const auto& aItem) {
    const double stoppedShare = aItem.second.effectiveShare - aItem.second.reportedShare;
    return mModel.growth(aTask.image, aItem.first, stoppedShare) >= kInterferingGrowth;
  });
}

double
InterferenceGuard::expectedRatio(const std::vector<ServingTask>& aServing,
                                 const ImageShares& aAdded) const
{
  double worst = 0;
  for (const ServingTask& task : aServing) {
    double sum = 0;
    for (const auto& [image, share] : aAdded) {
      sum += mModel.cautiousGrowth(task.image, image, share);
    }
    if (sum >= kHarmlessGrowth || task.latencyRatio() >= 1) {
      worst = std::max(worst, task.latencyRatio() * std::exp(sum));
    }
  }
  return worst;
}

double
InterferenceGuard::cautiousGrowthPerShare(const std::string& aServing,
                                          const std::string& aImage) const
{
  return mModel.cautiousGrowth(aServing, aImage, 1);
}

double
InterferenceGuard::worstGrowthPerShare(const std::string& aServing, const std::string& aImage) const
{
  return mModel.worstGrowth(aServing, aImage, 1);
}

double
InterferenceGuard::attributedGrowth(const std::vector<ServingTask>& aServing,
                                    const OpportunisticTask& aTask) const
{
  double largest = 0;
  for (const ServingTask& task : aServing) {
    if (task.latencyRatio() >= kSlowDownRatio) {
      largest = std::max(largest, mModel.growth(task.image, aTask.image, expectedShare(aTask)));
    }
  }
  return largest;
}

double
InterferenceGuard::largestAttributedGrowth(const State& aState,
                                           const std::vector<ServingTask>& aServing) const
{
  double largest = 0;
  for (const ServingTask& task : aServing) {
    for (const auto& [image, neighbour] : aState.neighbours) {
      if (task.latencyRatio() >= kSlowDownRatio) {
        largest = std::max(largest, mModel.growth(task.image, image, neighbour.effectiveShare));
      }
    }
  }
  return largest;
}

bool
InterferenceGuard::isExplained(const State& aState, const std::vector<ServingTask>& aServing) const
{
  const ImageShares neighbourShares = effectiveShares(aState);
  return std::all_of(aServing.begin(), aServing.end(), [&](const ServingTask& aTask) {
    return aTask.latencyRatio() < 1 ||
           aTask.latencyRatio() * std::exp(-mModel.growth(aTask.image, neighbourShares)) < 1;
  });
}

PaceDecision
InterferenceGuard::slowDown(const std::vector<ServingTask>& aServing,
                            const OpportunisticTask& aTask,
                            bool aIsObjectiveMissed) const
{
  OpportunisticTask taskAtFullSpeed = aTask;
  taskAtFullSpeed.percent = kFullPercent;
  const bool shouldMove =
    aIsObjectiveMissed && attributedGrowth(aServing, taskAtFullSpeed) >= kMoveGrowth;
  return { aTask.task, aIsObjectiveMissed ? 0 : aTask.percent / 2, shouldMove };
}

std::vector<PaceDecision>
InterferenceGuard::slowDownInterferingTasks(State& aState,
                                            const std::vector<ServingTask>& aServing,
                                            const std::vector<OpportunisticTask>& aOpportunistic,
                                            MonotonicTime aNow) const
{
  const bool isObjectiveMissed = worstRatio(aServing) >= 1;
  const double threshold = std::max(
    kInterferingGrowth, kMinShareOfLargestGrowth * largestAttributedGrowth(aState, aServing));
  std::vector<PaceDecision> decisions;
  for (const OpportunisticTask& task : aOpportunistic) {
    if (task.percent > 0 && attributedGrowth(aServing, task) >= threshold) {
      decisions.push_back(slowDown(aServing, task, isObjectiveMissed));
    }
  }
  if (!isObjectiveMissed || !decisions.empty() || isExplained(aState, aServing)) {
    aState.unexplainedSince.reset();
    return decisions;
  }
  aState.unexplainedSince = aState.unexplainedSince.value_or(aNow);
  return aNow.msSince(*aState.unexplainedSince) < kUnexplainedMissStopMs ? decisions
                                                                         : stopAll(aOpportunistic);
}

bool
InterferenceGuard::mustStopAll(State& aState,
                               const std::vector<ServingTask>& aServing,
                               MonotonicTime aNow)
{
  std::map<std::string, MonotonicTime> missedSinceByTask;
  bool mustStop = false;
  for (const ServingTask& task : aServing) {
    if (task.latencyRatio() < 1) {
      continue;
    }
    const auto position = aState.missedSinceByTask.find(task.task);
    const MonotonicTime since =
      position == aState.missedSinceByTask.end() ? aNow : position->second;
    missedSinceByTask.emplace(task.task, since);
    mustStop = mustStop || aNow.msSince(since) >= kMissStopMs;
  }
  aState.missedSinceByTask = std::move(missedSinceByTask);
  return mustStop;
}

std::vector<PaceDecision>
InterferenceGuard::stopAll(const std::vector<OpportunisticTask>& aOpportunistic)
{
  std::vector<PaceDecision> decisions;
  for (const OpportunisticTask& task : aOpportunistic) {
    if (task.percent > 0) {
      decisions.push_back({ task.task, 0, false });
    }
  }
  return decisions;
}

std::vector<PaceDecision>
InterferenceGuard::speedUp(const std::vector<ServingTask>& aServing,
                           const std::vector<OpportunisticTask>& aOpportunistic) const
{
  std::vector<PaceDecision> decisions;
  ImageShares added;
  for (const OpportunisticTask& task : aOpportunistic) {
    if (task.percent >= kFullPercent) {
      continue;
    }
    const std::int64_t percent =
      std::min(kFullPercent, std::max(kInitialPercent, task.percent * 2));
    ImageShares candidateShares = added;
    candidateShares[task.image] += task.declaredShare *
                                   static_cast<double>(percent - task.percent) /
                                   static_cast<double>(kFullPercent);
    if (expectedRatio(aServing, candidateShares) < kSlowDownRatio) {
      added = std::move(candidateShares);
      decisions.push_back({ task.task, percent, false });
    }
  }
  return decisions;
}

std::vector<PaceDecision>
InterferenceGuard::decide(State& aState,
                          const std::vector<ServingTask>& aServing,
                          const std::vector<OpportunisticTask>& aOpportunistic,
                          MonotonicTime aNow) const
{
  if (mustStopAll(aState, aServing, aNow)) {
    aState.lastDecisionAt = aNow;
    return stopAll(aOpportunistic);
  }
  std::vector<PaceDecision> decisions;
  if (worstRatio(aServing) >= kSlowDownRatio) {
    decisions = slowDownInterferingTasks(aState, aServing, aOpportunistic, aNow);
  } else {
    aState.unexplainedSince.reset();
  }
  if (decisions.empty() && !aState.unexplainedSince &&
      aNow.msSince(aState.lastDecisionAt) >= kRaiseIntervalMs) {
    decisions = speedUp(aServing, aOpportunistic);
  }
  if (!decisions.empty()) {
    aState.lastDecisionAt = aNow;
  }
  return decisions;
}

} // namespace magnoliadrum
