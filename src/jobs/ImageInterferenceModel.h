#pragma once

#include "core/core.h"

#include <map>
#include <string>
#include <utility>

namespace magnoliadrum {

/** Shares of a worker's processors by image. */
using ImageShares = std::map<std::string, double>;

/**
 * Estimates for each pair of images how much an opportunistic one disturbs a serving one: by how
 * much the logarithm of the tail latency grows per share of the worker's processors.
 *
 * A pair may disturb for some seconds and then not at all, on all workers at once. So each factor
 * has a Kalman filter of its own, whose estimate fades and whose uncertainty grows while the pair
 * is not observed. Neighbours that were observed to be harmless get little of the blame for a
 * latency that rises.
 */
class ImageInterferenceModel
{
public:
  /** Standard deviation of a factor that was never observed. */
  static constexpr double kInitialDeviation = 10;
  /** An unobserved factor fades by a factor of e in this time. */
  static constexpr double kMeanDecaySeconds = 4;
  /** The largest value of a factor fades by a factor of e in this time. */
  static constexpr double kPeakDecaySeconds = 60;
  /** Growth of a factor's variance per second; a pair is unknown again after 25 s. */
  static constexpr double kVariancePerSecond = 4;
  /** Variance of the logarithm of a latency around its own recent level. */
  static constexpr double kNoiseVariance = 0.04;
  /** Standard deviations that a cautious expectation adds. */
  static constexpr double kCautionDeviations = 0.5;

  /** Takes a latency's logarithm, less its level without neighbours, and what ran beside it. */
  void learn(const std::string& aServing,
             double aLogGrowth,
             const ImageShares& aNeighbours,
             MonotonicTime aNow);

  /** Expected growth of the logarithm of the latency at the time of the last observation. */
  double growth(const std::string& aServing, const std::string& aImage, double aShare) const;

  /** The same, and more for a pair that was hardly observed lately. */
  double cautiousGrowth(const std::string& aServing,
                        const std::string& aImage,
                        double aShare) const;

  /** The growth at the worst time of the last minutes; a pair that disturbed is likely to do so
   * again.
   */
  double worstGrowth(const std::string& aServing, const std::string& aImage, double aShare) const;

  /** Sum of growth() over all images. */
  double growth(const std::string& aServing, const ImageShares& aNeighbours) const;

private:
  struct Factor
  {
    double mean = 0;
    double variance = kInitialDeviation * kInitialDeviation;
    MonotonicTime observedAt;
    /** The largest mean of the last minutes. */
    double recentPeak = 0;
  };

  /** The factor of a pair as it is expected to be at aNow. */
  Factor predicted(const std::string& aServing,
                   const std::string& aImage,
                   MonotonicTime aNow) const;

  std::map<std::pair<std::string, std::string>, Factor> mFactors;
  MonotonicTime mLastObservedAt;
};

} // namespace magnoliadrum
