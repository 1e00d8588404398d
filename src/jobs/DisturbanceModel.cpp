#include "jobs/DisturbanceModel.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

constexpr double kMsPerSecond = 1000;
/** More pairs than any deployment has; beyond it the one that was observed longest ago goes. */
constexpr std::size_t kMostPairs = 4096;

} // namespace

DisturbanceModel::Factor
DisturbanceModel::present(const std::string& aServing,
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
  factor.mean *= std::exp(-seconds / kFadeSeconds);
  factor.largest *= std::exp(-seconds / kRememberSeconds);
  factor.variance =
    std::min(kUnknownDeviation * kUnknownDeviation, factor.variance + kVariancePerSecond * seconds);
  factor.observedAt = aNow;
  return factor;
}

void
DisturbanceModel::learn(const std::string& aServing,
                        double aLogGrowth,
                        const ImageShares& aBeside,
                        MonotonicTime aNow)
{
  mLatest = std::max(mLatest, aNow);
  std::map<std::string, Factor> factors;
  double error = aLogGrowth;
  double total = kNoiseVariance;
  for (const auto& [image, share] : aBeside) {
    if (share <= 0) {
      continue;
    }
    const Factor factor = present(aServing, image, aNow);
    error -= factor.mean * share;
    total += factor.variance * share * share;
    factors.emplace(image, factor);
  }
  for (auto& [image, factor] : factors) {
    const double share = aBeside.at(image);
    const double gain = factor.variance * share / total;
    factor.mean = std::max(0.0, factor.mean + gain * error);
    factor.variance -= gain * share * factor.variance;
    factor.largest = std::max(factor.largest, factor.mean);
    mFactors.insert_or_assign({ aServing, image }, factor);
  }
  while (mFactors.size() > kMostPairs) {
    mFactors.erase(
      std::min_element(mFactors.begin(), mFactors.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.observedAt < aRight.second.observedAt;
      }));
  }
}

double
DisturbanceModel::growth(const std::string& aServing,
                         const std::string& aImage,
                         double aShare) const
{
  return present(aServing, aImage, mLatest).mean * aShare;
}

double
DisturbanceModel::growth(const std::string& aServing, const ImageShares& aBeside) const
{
  double sum = 0;
  for (const auto& [image, share] : aBeside) {
    sum += growth(aServing, image, share);
  }
  return sum;
}

double
DisturbanceModel::worstGrowth(const std::string& aServing,
                              const std::string& aImage,
                              double aShare) const
{
  return present(aServing, aImage, mLatest).largest * aShare;
}

double
DisturbanceModel::cautiousGrowth(const std::string& aServing,
                                 const std::string& aImage,
                                 double aShare) const
{
  const Factor factor = present(aServing, aImage, mLatest);
  return (factor.mean + kCaution * std::sqrt(factor.variance)) * aShare;
}

} // namespace magnoliadrum
