#include "jobs/ImageInterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace magnoliadrum {

namespace {

constexpr double kMsPerSecond = 1000;
/** Weight of the first report of a pair for its level; of one after kMeanDecaySeconds it is 1. */
constexpr double kFirstContactWeight = 0.06;
/** More pairs than any deployment has; above this number the least recently observed pair is
 * removed. */
constexpr std::size_t kMaxPairs = 4096;
/** Bound of LearnedFigures::interference. */
constexpr std::size_t kMaxSavedPairs = 500;

constexpr double kInitialVariance =
  ImageInterferenceModel::kInitialDeviation * ImageInterferenceModel::kInitialDeviation;

} // namespace

double
ImageInterferenceModel::Factor::maxVariance() const
{
  const double relative = kRelativeLevelDeviation * level;
  return std::min(kInitialVariance,
                  levelVariance + kMinLevelDeviation * kMinLevelDeviation + relative * relative);
}

double
ImageInterferenceModel::Factor::knownPart() const
{
  return std::max(0.0, 1 - levelVariance / kInitialVariance);
}

void
ImageInterferenceModel::Pool::add(const Factor& aFactor, double aSign)
{
  const double weight = aSign * aFactor.knownPart();
  pairs = std::max(0.0, pairs + weight);
  sumOfSquares = std::max(0.0, sumOfSquares + weight * aFactor.level * aFactor.level);
}

double
ImageInterferenceModel::priorVariance(const std::string& aImage) const
{
  const double general = (kInitialVariance + mPoolOfAll.sumOfSquares) / (1 + mPoolOfAll.pairs);
  const auto pool = mPools.find(aImage);
  const double variance =
    pool == mPools.end()
      ? general
      : (kPoolWeight * general + pool->second.sumOfSquares) / (kPoolWeight + pool->second.pairs);
  return std::clamp(variance, kMinLevelDeviation * kMinLevelDeviation, kInitialVariance);
}

void
ImageInterferenceModel::learnLevel(Factor& aFactor, double aSeconds)
{
  // What is observed within kMeanDecaySeconds is one observation of the level, however many
  // workers report it.
  const double weight = std::min(1.0, aSeconds / kMeanDecaySeconds);
  if (weight <= 0) {
    return;
  }
  const double relative = kRelativeLevelDeviation * aFactor.mean;
  const double noise =
    (kMinLevelDeviation * kMinLevelDeviation + relative * relative + aFactor.variance) / weight;
  const double gain = aFactor.levelVariance / (aFactor.levelVariance + noise);
  aFactor.level += gain * (aFactor.mean - aFactor.level);
  aFactor.levelVariance *= 1 - gain;
}

void
ImageInterferenceModel::store(const std::string& aServing,
                              const std::string& aImage,
                              const Factor& aFactor)
{
  const auto [position, isNew] = mFactors.try_emplace({ aServing, aImage }, aFactor);
  Pool& pool = mPools[aImage];
  if (!isNew) {
    pool.add(position->second, -1);
    mPoolOfAll.add(position->second, -1);
    position->second = aFactor;
  }
  pool.add(aFactor, 1);
  mPoolOfAll.add(aFactor, 1);
}

ImageInterferenceModel::Factor
ImageInterferenceModel::predicted(const std::string& aServing,
                                  const std::string& aImage,
                                  MonotonicTime aNow) const
{
  const auto position = mFactors.find({ aServing, aImage });
  if (position == mFactors.end()) {
    return { .variance = priorVariance(aImage), .observedAt = aNow };
  }
  Factor factor = position->second;
  const double seconds =
    std::max(0.0, static_cast<double>(aNow.msSince(factor.observedAt)) / kMsPerSecond);
  factor.mean =
    factor.level + (factor.mean - factor.level) * std::exp(-seconds / kMeanDecaySeconds);
  factor.recentPeak *= std::exp(-seconds / kPeakDecaySeconds);
  factor.levelVariance =
    std::min(kInitialVariance, factor.levelVariance + kLevelVariancePerSecond * seconds);
  factor.variance = std::min(std::max(factor.variance, factor.maxVariance()),
                             factor.variance + kVariancePerSecond * seconds);
  factor.observedAt = aNow;
  return factor;
}

void
ImageInterferenceModel::learn(const std::string& aServing,
                              double aLogGrowth,
                              const ImageShares& aNeighbours,
                              MonotonicTime aNow)
{
  mLastObservedAt = std::max(mLastObservedAt, aNow);
  std::map<std::string, Factor> factors;
  double innovation = aLogGrowth;
  double innovationVariance = kNoiseVariance;
  for (const auto& [image, share] : aNeighbours) {
    if (share <= 0) {
      continue;
    }
    const Factor factor = predicted(aServing, image, aNow);
    innovation -= factor.mean * share;
    innovationVariance += factor.variance * share * share;
    factors.emplace(image, factor);
  }
  for (auto& [image, factor] : factors) {
    const double share = aNeighbours.at(image);
    const double gain = factor.variance * share / innovationVariance;
    factor.mean = std::max(0.0, factor.mean + gain * innovation);
    factor.variance -= gain * share * factor.variance;
    factor.recentPeak = std::max(factor.recentPeak, factor.mean);
    const auto previous = mFactors.find({ aServing, image });
    const double seconds =
      previous == mFactors.end()
        ? kMeanDecaySeconds * kFirstContactWeight
        : static_cast<double>(aNow.msSince(previous->second.observedAt)) / kMsPerSecond;
    learnLevel(factor, seconds);
    store(aServing, image, factor);
  }
  while (mFactors.size() > kMaxPairs) {
    const auto oldest =
      std::min_element(mFactors.begin(), mFactors.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.observedAt < aRight.second.observedAt;
      });
    mPools[oldest->first.second].add(oldest->second, -1);
    mPoolOfAll.add(oldest->second, -1);
    mFactors.erase(oldest);
  }
}

void
ImageInterferenceModel::writeTo(LearnedFigures::Fields& aFigures, MonotonicTime aNow) const
{
  std::vector<LearnedInterference::Fields> pairs;
  pairs.reserve(mFactors.size());
  for (const auto& [images, factor] : mFactors) {
    pairs.push_back({ .serving = images.first,
                      .image = images.second,
                      .mean = factor.level,
                      .variance = std::max(0.0, factor.levelVariance),
                      .recentPeak = factor.recentPeak,
                      .ageMs = std::max<std::int64_t>(0, aNow.msSince(factor.observedAt)) });
  }
  std::sort(pairs.begin(), pairs.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aRight.recentPeak, aLeft.ageMs, aLeft.serving, aLeft.image) <
           std::tie(aLeft.recentPeak, aRight.ageMs, aRight.serving, aRight.image);
  });
  pairs.resize(std::min(pairs.size(), kMaxSavedPairs));
  for (LearnedInterference::Fields& pair : pairs) {
    aFigures.interference.push_back(valueOf(LearnedInterference::create(std::move(pair))));
  }
}

ImageInterferenceModel
ImageInterferenceModel::fromFigures(const LearnedFigures::Fields& aFigures, MonotonicTime aNow)
{
  ImageInterferenceModel model;
  for (const LearnedInterference& pair : aFigures.interference) {
    Factor factor{ .mean = pair.mean(),
                   .level = pair.mean(),
                   .levelVariance = std::min(kInitialVariance, pair.variance()),
                   .observedAt = aNow.plusMs(-pair.ageMs()),
                   .recentPeak = pair.recentPeak() };
    factor.variance = factor.maxVariance();
    model.store(pair.serving(), pair.image(), factor);
  }
  model.mLastObservedAt = aNow;
  return model;
}

double
ImageInterferenceModel::growth(const std::string& aServing,
                               const std::string& aImage,
                               double aShare) const
{
  return predicted(aServing, aImage, mLastObservedAt).mean * aShare;
}

double
ImageInterferenceModel::growth(const std::string& aServing, const ImageShares& aNeighbours) const
{
  double sum = 0;
  for (const auto& [image, share] : aNeighbours) {
    sum += growth(aServing, image, share);
  }
  return sum;
}

double
ImageInterferenceModel::worstGrowth(const std::string& aServing,
                                    const std::string& aImage,
                                    double aShare) const
{
  return predicted(aServing, aImage, mLastObservedAt).recentPeak * aShare;
}

double
ImageInterferenceModel::cautiousGrowth(const std::string& aServing,
                                       const std::string& aImage,
                                       double aShare) const
{
  const Factor factor = predicted(aServing, aImage, mLastObservedAt);
  return (factor.mean + kCautionDeviations * std::sqrt(factor.variance)) * aShare;
}

} // namespace magnoliadrum
