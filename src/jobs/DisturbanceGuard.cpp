#include "jobs/DisturbanceGuard.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kFullPercent = 100;
/** First step from a standstill. */
constexpr std::int64_t kFirstPercent = 30;
/** Reports that come closer together mostly repeat the same figures. */
constexpr std::int64_t kNewFiguresMs = 150;
/** A reported latency shows a disturbance that is over for this long. */
constexpr std::int64_t kLatencyMemoryMs = 1300;
/** Weight of one report in the level of a task, without neighbours and beside some. */
constexpr double kLevelWeight = 0.3;
constexpr double kLevelWeightBeside = 0.05;

double
worstRatio(const std::vector<ServingTask>& aServing)
{
  double worst = 0;
  for (const ServingTask& task : aServing) {
    worst = std::max(worst, task.ratio());
  }
  return worst;
}

/** What a task uses, or would use at its pace when it has only just started. */
double
presentShare(const OpportunisticTask& aTask)
{
  const double paced =
    aTask.declaredShare * static_cast<double>(aTask.percent) / static_cast<double>(kFullPercent);
  return std::max(aTask.usedShare, paced);
}

/** Follows what runs beside the serving tasks; a share that falls is kept while latencies show it.
 */
void
updateBeside(std::map<std::string, DisturbanceGuard::Neighbour>& aBeside,
             const std::vector<OpportunisticTask>& aOthers,
             MonotonicTime aNow)
{
  ImageShares present;
  for (const OpportunisticTask& other : aOthers) {
    present[other.image] += other.usedShare;
  }
  for (const auto& [image, share] : present) {
    aBeside.try_emplace(image);
  }
  for (auto& [image, neighbour] : aBeside) {
    const auto share = present.find(image);
    neighbour.present = share == present.end() ? 0 : share->second;
    if (neighbour.present >= neighbour.shown || aNow.msSince(neighbour.at) >= kLatencyMemoryMs) {
      neighbour.shown = neighbour.present;
      neighbour.at = aNow;
    }
  }
  std::erase_if(aBeside, [](const auto& aItem) { return aItem.second.shown <= 0; });
}

ImageShares
shownShares(const DisturbanceGuard::State& aState)
{
  ImageShares shares;
  for (const auto& [image, neighbour] : aState.beside) {
    shares.emplace(image, neighbour.shown);
  }
  return shares;
}

} // namespace

void
DisturbanceGuard::observe(State& aState,
                          const std::vector<ServingTask>& aServing,
                          const std::vector<OpportunisticTask>& aOthers,
                          MonotonicTime aNow)
{
  if (aNow.msSince(aState.observedAt) < kNewFiguresMs) {
    return;
  }
  aState.observedAt = aNow;
  updateBeside(aState.beside, aOthers, aNow);
  const ImageShares beside = shownShares(aState);
  std::map<std::string, double> levels;
  for (const ServingTask& task : aServing) {
    if (task.latencyMs <= 0) {
      continue;
    }
    const double latency = std::log(task.latencyMs);
    const auto known = aState.levels.find(task.task);
    const double level = known == aState.levels.end() ? latency : known->second;
    if (isFalling(aState, task)) {
      levels.emplace(task.task, level);
      continue;
    }
    mModel.learn(task.image, latency - level, beside, aNow);
    const double alone = latency - mModel.growth(task.image, beside);
    const double weight = beside.empty() ? kLevelWeight : kLevelWeightBeside;
    levels.emplace(task.task, level + weight * (alone - level));
  }
  aState.levels = std::move(levels);
}

bool
DisturbanceGuard::isFalling(const State& aState, const ServingTask& aTask) const
{
  return std::any_of(aState.beside.begin(), aState.beside.end(), [&](const auto& aItem) {
    const double over = aItem.second.shown - aItem.second.present;
    return mModel.growth(aTask.image, aItem.first, over) >= kDisturbs;
  });
}

double
DisturbanceGuard::expectedRatio(const std::vector<ServingTask>& aServing,
                                const ImageShares& aMore) const
{
  double worst = 0;
  for (const ServingTask& task : aServing) {
    double sum = 0;
    for (const auto& [image, share] : aMore) {
      sum += mModel.cautiousGrowth(task.image, image, share);
    }
    if (sum >= kHarmless || task.ratio() >= 1) {
      worst = std::max(worst, task.ratio() * std::exp(sum));
    }
  }
  return worst;
}

double
DisturbanceGuard::worstGrowth(const std::vector<ServingTask>& aServing,
                              const std::string& aImage,
                              double aShare) const
{
  double worst = 0;
  for (const ServingTask& task : aServing) {
    worst = std::max(worst, mModel.worstGrowth(task.image, aImage, aShare));
  }
  return worst;
}

double
DisturbanceGuard::blame(const std::vector<ServingTask>& aServing,
                        const OpportunisticTask& aTask) const
{
  double most = 0;
  for (const ServingTask& task : aServing) {
    if (task.ratio() >= kNear) {
      most = std::max(most, mModel.growth(task.image, aTask.image, presentShare(aTask)));
    }
  }
  return most;
}

double
DisturbanceGuard::largestBlame(const State& aState, const std::vector<ServingTask>& aServing) const
{
  double most = 0;
  for (const ServingTask& task : aServing) {
    for (const auto& [image, neighbour] : aState.beside) {
      if (task.ratio() >= kNear) {
        most = std::max(most, mModel.growth(task.image, image, neighbour.shown));
      }
    }
  }
  return most;
}

bool
DisturbanceGuard::isExplained(const State& aState, const std::vector<ServingTask>& aServing) const
{
  const ImageShares beside = shownShares(aState);
  return std::all_of(aServing.begin(), aServing.end(), [&](const ServingTask& aTask) {
    return aTask.ratio() < 1 || aTask.ratio() * std::exp(-mModel.growth(aTask.image, beside)) < 1;
  });
}

PaceDecision
DisturbanceGuard::slowDown(const std::vector<ServingTask>& aServing,
                           const OpportunisticTask& aTask,
                           bool aIsMissed) const
{
  OpportunisticTask atFullSpeed = aTask;
  atFullSpeed.percent = kFullPercent;
  const bool moves = aIsMissed && blame(aServing, atFullSpeed) >= kDisturbsMuch;
  return { aTask.task, aIsMissed ? 0 : aTask.percent / 2, moves };
}

std::vector<PaceDecision>
DisturbanceGuard::slowDownCulprits(State& aState,
                                   const std::vector<ServingTask>& aServing,
                                   const std::vector<OpportunisticTask>& aOthers,
                                   MonotonicTime aNow) const
{
  const bool isMissed = worstRatio(aServing) >= 1;
  const double culprit = std::max(kDisturbs, kPartOfLargest * largestBlame(aState, aServing));
  std::vector<PaceDecision> decisions;
  for (const OpportunisticTask& other : aOthers) {
    if (other.percent > 0 && blame(aServing, other) >= culprit) {
      decisions.push_back(slowDown(aServing, other, isMissed));
    }
  }
  if (!isMissed || !decisions.empty() || isExplained(aState, aServing)) {
    aState.missedSince.reset();
    return decisions;
  }
  aState.missedSince = aState.missedSince.value_or(aNow);
  return aNow.msSince(*aState.missedSince) < kStopAllMs ? decisions : stopAll(aOthers);
}

bool
DisturbanceGuard::mustStopAll(State& aState,
                              const std::vector<ServingTask>& aServing,
                              MonotonicTime aNow)
{
  std::map<std::string, MonotonicTime> overSince;
  bool isLong = false;
  for (const ServingTask& task : aServing) {
    if (task.ratio() < 1) {
      continue;
    }
    const auto known = aState.overSince.find(task.task);
    const MonotonicTime since = known == aState.overSince.end() ? aNow : known->second;
    overSince.emplace(task.task, since);
    isLong = isLong || aNow.msSince(since) >= kAlwaysStopMs;
  }
  aState.overSince = std::move(overSince);
  return isLong;
}

std::vector<PaceDecision>
DisturbanceGuard::stopAll(const std::vector<OpportunisticTask>& aOthers)
{
  std::vector<PaceDecision> decisions;
  for (const OpportunisticTask& other : aOthers) {
    if (other.percent > 0) {
      decisions.push_back({ other.task, 0, false });
    }
  }
  return decisions;
}

std::vector<PaceDecision>
DisturbanceGuard::speedUp(const std::vector<ServingTask>& aServing,
                          const std::vector<OpportunisticTask>& aOthers) const
{
  std::vector<PaceDecision> decisions;
  ImageShares more;
  for (const OpportunisticTask& other : aOthers) {
    if (other.percent >= kFullPercent) {
      continue;
    }
    const std::int64_t percent = std::min(kFullPercent, std::max(kFirstPercent, other.percent * 2));
    ImageShares tried = more;
    tried[other.image] += other.declaredShare * static_cast<double>(percent - other.percent) /
                          static_cast<double>(kFullPercent);
    if (expectedRatio(aServing, tried) < kNear) {
      more = std::move(tried);
      decisions.push_back({ other.task, percent, false });
    }
  }
  return decisions;
}

std::vector<PaceDecision>
DisturbanceGuard::decide(State& aState,
                         const std::vector<ServingTask>& aServing,
                         const std::vector<OpportunisticTask>& aOthers,
                         MonotonicTime aNow) const
{
  if (mustStopAll(aState, aServing, aNow)) {
    aState.changedAt = aNow;
    return stopAll(aOthers);
  }
  std::vector<PaceDecision> decisions;
  if (worstRatio(aServing) >= kNear) {
    decisions = slowDownCulprits(aState, aServing, aOthers, aNow);
  } else {
    aState.missedSince.reset();
  }
  if (decisions.empty() && !aState.missedSince && aNow.msSince(aState.changedAt) >= kRaiseEveryMs) {
    decisions = speedUp(aServing, aOthers);
  }
  if (!decisions.empty()) {
    aState.changedAt = aNow;
  }
  return decisions;
}

} // namespace magnoliadrum
