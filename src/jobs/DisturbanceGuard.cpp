#include "jobs/DisturbanceGuard.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kFullPercent = 100;
/** First step from a standstill. */
constexpr std::int64_t kFirstPercent = 30;
/** A latency swings by about a factor of two with a task's own load, which is not reported. */
constexpr double kNoiseVariance = 0.25;
/** A disturbing image that gets the whole worker can make a latency grow by e to the 10. */
constexpr double kFactorVariance = 100;

std::uint32_t
indexOf(std::unordered_map<std::string, std::uint32_t>& aIndexes, const std::string& aName)
{
  return aIndexes.try_emplace(aName, static_cast<std::uint32_t>(aIndexes.size())).first->second;
}

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

} // namespace

DisturbanceGuard::DisturbanceGuard()
  : mModel({ .noiseVariance = kNoiseVariance, .factorVariance = kFactorVariance })
{
}

void
DisturbanceGuard::observe(const std::vector<ServingTask>& aServing,
                          const std::vector<OpportunisticTask>& aOthers)
{
  std::vector<EntryLoad> others;
  for (const OpportunisticTask& other : aOthers) {
    others.push_back({ indexOf(mImageIndexes, other.image), other.usedShare });
  }
  constexpr double kUnknownLoad = 0;
  for (const ServingTask& task : aServing) {
    mModel.learn(indexOf(mServingIndexes, task.image), task.latencyMs, kUnknownLoad, others);
  }
}

double
DisturbanceGuard::growth(const std::string& aServingImage,
                         const std::string& aImage,
                         double aShare) const
{
  const auto serving = mServingIndexes.find(aServingImage);
  const auto image = mImageIndexes.find(aImage);
  if (serving == mServingIndexes.end() || image == mImageIndexes.end()) {
    return 0;
  }
  return mModel.factor(serving->second, image->second) * aShare;
}

double
DisturbanceGuard::cautiousGrowth(const std::string& aServingImage,
                                 const std::string& aImage,
                                 double aShare) const
{
  const auto serving = mServingIndexes.find(aServingImage);
  const auto image = mImageIndexes.find(aImage);
  const bool isKnown = serving != mServingIndexes.end() && image != mImageIndexes.end() &&
                       mModel.uncertainty(serving->second, image->second) <= kUnknownDeviation;
  const double learned = growth(aServingImage, aImage, aShare);
  return isKnown ? learned : std::max(learned, kUnknownFactor * aShare);
}

double
DisturbanceGuard::expectedRatio(const std::vector<ServingTask>& aServing,
                                const ImageShares& aMore) const
{
  double worst = 0;
  for (const ServingTask& task : aServing) {
    double sum = 0;
    for (const auto& [image, share] : aMore) {
      sum += cautiousGrowth(task.image, image, share);
    }
    worst = std::max(worst, task.ratio() * std::exp(sum));
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
      most = std::max(most, growth(task.image, aTask.image, presentShare(aTask)));
    }
  }
  return most;
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
DisturbanceGuard::decide(State& aState,
                         const std::vector<ServingTask>& aServing,
                         const std::vector<OpportunisticTask>& aOthers,
                         MonotonicTime aNow) const
{
  std::vector<PaceDecision> decisions;
  const double worst = worstRatio(aServing);
  const bool isMissed = worst >= 1;
  if (isMissed) {
    aState.missedSince = aState.missedSince.value_or(aNow);
  } else if (worst < kNear) {
    aState.missedSince.reset();
  }
  if (worst >= kNear) {
    for (const OpportunisticTask& other : aOthers) {
      if (other.percent > 0 && blame(aServing, other) >= kDisturbs) {
        decisions.push_back(slowDown(aServing, other, isMissed));
      }
    }
    const bool stopsAll =
      decisions.empty() && aState.missedSince && aNow.msSince(*aState.missedSince) >= kStopAllMs;
    for (const OpportunisticTask& other : aOthers) {
      if (stopsAll && other.percent > 0) {
        decisions.push_back({ other.task, 0, false });
      }
    }
  } else if (worst < kFar && aNow.msSince(aState.changedAt) >= kRaiseEveryMs) {
    for (const OpportunisticTask& other : aOthers) {
      if (other.percent >= kFullPercent) {
        continue;
      }
      const std::int64_t percent =
        std::min(kFullPercent, std::max(kFirstPercent, other.percent * 2));
      const double more = other.declaredShare * static_cast<double>(percent - other.percent) /
                          static_cast<double>(kFullPercent);
      if (expectedRatio(aServing, { { other.image, more } }) < kNear) {
        decisions.push_back({ other.task, percent, false });
      }
    }
  }
  if (!decisions.empty()) {
    aState.changedAt = aNow;
  }
  return decisions;
}

} // namespace magnoliadrum
