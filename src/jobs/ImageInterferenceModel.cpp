#include "jobs/ImageInterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace magnoliadrum {

namespace {

constexpr double kMsPerSecond = 1000;
/** More pairs than any deployment has; above this number the least recently observed pair is
 * removed. */
constexpr std::size_t kMaxPairs = 4096;
/** Bound of LearnedFigures::interference. */
constexpr std::size_t kMaxSavedPairs = 500;

} // namespace

ImageInterferenceModel::Factor
ImageInterferenceModel::predicted(const std::string& aServing,
                                  const std::string& aImage,
                                  MonotonicTime aNow) const
{
  const auto position = mFactors.find({ aServing, aImage });
  if (position == mFactors.end()) {
    return { .observedAt = aNow };
  }
  Factor factor = position->second;
  const double seconds =
    std::max(0.0, static_cast<double>(aNow.msSince(factor.observedAt)) / kMsPerSecond);
  factor.mean *= std::exp(-seconds / kMeanDecaySeconds);
  factor.recentPeak *= std::exp(-seconds / kPeakDecaySeconds);
  factor.variance =
    std::min(kInitialDeviation * kInitialDeviation, factor.variance + kVariancePerSecond * seconds);
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
    mFactors.insert_or_assign({ aServing, image }, factor);
  }
  while (mFactors.size() > kMaxPairs) {
    mFactors.erase(
      std::min_element(mFactors.begin(), mFactors.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.observedAt < aRight.second.observedAt;
      }));
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
                      .mean = factor.mean,
                      .variance = std::max(0.0, factor.variance),
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
    model.mFactors.insert_or_assign({ pair.serving(), pair.image() },
                                    Factor{ .mean = pair.mean(),
                                            .variance = pair.variance(),
                                            .observedAt = aNow.plusMs(-pair.ageMs()),
                                            .recentPeak = pair.recentPeak() });
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
