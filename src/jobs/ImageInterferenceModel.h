#pragma once

#include "core/core.h"
#include "generated/JobsTypes.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace magnoliadrum {

/** Shares of a worker's processors, by image. */
using ImageShares = std::map<std::string, double>;

/**
 * Estimates for each pair of a serving and an opportunistic image by how much the logarithm of the
 * serving task's tail latency grows per share of the worker's processors that the opportunistic
 * image uses (the factor of the pair).
 *
 * A pair may interfere for some seconds and then not at all, on all workers at once. Each factor
 * therefore has its own Kalman filter, whose estimate decays and whose variance grows while the
 * pair is not observed. Only a small part of a rise in latency is attributed to neighbours that
 * were recently observed to be harmless.
 */
class ImageInterferenceModel
{
public:
  /** Standard deviation of a factor that was never observed. */
  static constexpr double kInitialDeviation = 10;
  /** Time constant with which the estimate of an unobserved factor decays. */
  static constexpr double kMeanDecaySeconds = 4;
  /** Time constant with which the recent peak of a factor decays. */
  static constexpr double kPeakDecaySeconds = 60;
  /** Growth of an unobserved factor's variance per second; after 25 s it is back at the initial
   * variance. */
  static constexpr double kVariancePerSecond = 4;
  /** Variance of the logarithm of a latency around its own baseline. */
  static constexpr double kNoiseVariance = 0.04;
  /** Standard deviations that cautiousGrowth() adds to the estimate. */
  static constexpr double kCautionDeviations = 0.5;

  /** Updates the factors of all neighbours of a serving task. aLogGrowth is the logarithm of its
   * latency minus the logarithm of its latency without neighbours. */
  void learn(const std::string& aServing,
             double aLogGrowth,
             const ImageShares& aNeighbours,
             MonotonicTime aNow);

  /** Expected growth of the logarithm of the latency at the time of the last observation. */
  double growth(const std::string& aServing, const std::string& aImage, double aShare) const;

  /** growth() plus a margin that is large for a pair that was rarely observed lately. */
  double cautiousGrowth(const std::string& aServing,
                        const std::string& aImage,
                        double aShare) const;

  /** Growth at the strongest interference of the last minutes: a pair that has interfered is likely
   * to do so again. */
  double worstGrowth(const std::string& aServing, const std::string& aImage, double aShare) const;

  /** Writes the pairs with the largest recent peaks, then those observed last, up to the bound of
   * the schema. */
  void writeTo(LearnedFigures::Fields& aFigures, MonotonicTime aNow) const;

  /** The model that writeTo() has written, aNow being the time to which its ages refer. */
  static ImageInterferenceModel fromFigures(const LearnedFigures::Fields& aFigures,
                                            MonotonicTime aNow);

  /** Number of pairs that were observed. */
  std::size_t size() const { return mFactors.size(); }

  /** Sum of growth() over all images. */
  double growth(const std::string& aServing, const ImageShares& aNeighbours) const;

private:
  struct Factor
  {
    double mean = 0;
    double variance = kInitialDeviation * kInitialDeviation;
    MonotonicTime observedAt;
    /** Largest mean of the last minutes; decays with kPeakDecaySeconds. */
    double recentPeak = 0;
  };

  /** Returns the factor of a pair with decay and growth of variance applied up to aNow. */
  Factor predicted(const std::string& aServing,
                   const std::string& aImage,
                   MonotonicTime aNow) const;

  std::map<std::pair<std::string, std::string>, Factor> mFactors;
  MonotonicTime mLastObservedAt;
};

} // namespace magnoliadrum
