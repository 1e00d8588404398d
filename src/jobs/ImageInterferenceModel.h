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
 * A pair's interference varies within seconds, on all workers at once, around a level that stays:
 * most pairs never interfere, and those that do keep doing so. Each factor therefore has its own
 * Kalman filter, whose estimate returns to the pair's level while the pair is not observed, and
 * whose variance grows to what the level leaves open. Only a small part of a rise in latency is
 * attributed to neighbours that were recently observed to be harmless. A pair that was never
 * observed is expected to be as strong as other pairs of the image and other images were.
 */
class ImageInterferenceModel
{
public:
  /** Standard deviation of a factor as long as no pair was observed. */
  static constexpr double kInitialDeviation = 10;
  /** Time constant with which the estimate of an unobserved factor returns to its level. */
  static constexpr double kMeanDecaySeconds = 4;
  /** Time constant with which the recent peak of a factor decays. */
  static constexpr double kPeakDecaySeconds = 60;
  /** Growth of an unobserved factor's variance per second. */
  static constexpr double kVariancePerSecond = 4;
  /** Growth of the variance of a factor's level per second. */
  static constexpr double kLevelVariancePerSecond = 0.02;
  /** Standard deviation of a factor around its level: a part that every pair has, so that a
   * harmless pair that starts to interfere is noticed, and a part that is relative to the level. */
  static constexpr double kMinLevelDeviation = 1.5;
  static constexpr double kRelativeLevelDeviation = 0.5;
  /** Weight, in pairs, of the general expectation against what pairs of the same image showed. */
  static constexpr double kPoolWeight = 2;
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

  /** Writes the levels of the pairs with the largest recent peaks, then of those observed last, up
   * to the bound of the schema. */
  void writeTo(LearnedFigures::Fields& aFigures, MonotonicTime aNow) const;

  /** A model with the levels that writeTo() has written, aNow being the time to which its ages
   * refer. */
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
    /** Mean over a long time, and its variance. */
    double level = 0;
    double levelVariance = kInitialDeviation * kInitialDeviation;
    MonotonicTime observedAt;
    /** Largest mean of the last minutes; decays with kPeakDecaySeconds. */
    double recentPeak = 0;

    /** Variance of the factor when only its level is known. */
    double maxVariance() const;
    /** How much of the level is known, from 0 to 1. */
    double knownPart() const;
  };

  /** Levels of a group of pairs. */
  struct Pool
  {
    double pairs = 0;
    double sumOfSquares = 0;

    void add(const Factor& aFactor, double aSign);
  };

  /** Returns the factor of a pair with decay and growth of variance applied up to aNow. */
  Factor predicted(const std::string& aServing,
                   const std::string& aImage,
                   MonotonicTime aNow) const;

  /** Variance that an unobserved pair is expected to have. */
  double priorVariance(const std::string& aImage) const;
  static void learnLevel(Factor& aFactor, double aSeconds);
  void store(const std::string& aServing, const std::string& aImage, const Factor& aFactor);

  std::map<std::pair<std::string, std::string>, Factor> mFactors;
  /** By opportunistic image. */
  std::map<std::string, Pool> mPools;
  Pool mPoolOfAll;
  MonotonicTime mLastObservedAt;
};

} // namespace magnoliadrum
