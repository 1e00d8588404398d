#pragma once

#include "core/core.h"
#include "placement/InterferenceModel.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/** A task that serves users, as its worker reported it last. */
struct ServingTask
{
  std::string image;
  /** Tail latency over the last half second; 0 when it is not known. */
  double latencyMs = 0;
  double objectiveMs = 0;

  double ratio() const { return objectiveMs > 0 ? latencyMs / objectiveMs : 0; }
};

/** An opportunistic task beside it. */
struct OpportunisticTask
{
  std::string task;
  std::string image;
  /** Share of the worker's processors that it declares and that it uses. */
  double declaredShare = 0;
  double usedShare = 0;
  std::int64_t percent = 100;
};

/** How an opportunistic task goes on. */
struct PaceDecision
{
  std::string task;
  /** Share of its speed in percent. */
  std::int64_t percent = 100;
  /** It does better on another worker. */
  bool moves = false;

  friend bool operator==(const PaceDecision&, const PaceDecision&) = default;
};

/**
 * Keeps opportunistic tasks from pushing the tasks that serve users beyond their latency
 * objectives.
 *
 * Which image disturbs which differs much and is not declared, so it is learned from what the
 * workers report. Slowed down are the tasks whose image is known to disturb a task that is near its
 * objective; when none is known and the objective is missed for a while, all of them.
 */
class DisturbanceGuard
{
public:
  /** Share of an objective above which disturbing tasks are slowed down. */
  static constexpr double kNear = 0.8;
  /** Share of an objective below which slowed tasks may go faster. */
  static constexpr double kFar = 0.65;
  /** Growth of the latency (as a logarithm) that makes an image count as disturbing. */
  static constexpr double kDisturbs = 0.2;
  /** At full speed; above it the task is better moved than slowed down. */
  static constexpr double kDisturbsMuch = 0.5;
  /** An objective that is missed for this long stops all opportunistic tasks on the worker. */
  static constexpr std::int64_t kStopAllMs = 1200;
  /** Time between two changes upwards: more than one report with the effect of the last. */
  static constexpr std::int64_t kRaiseEveryMs = 900;

  /** What is kept for each worker. */
  struct State
  {
    MonotonicTime changedAt;
    std::optional<MonotonicTime> missedSince;
  };

  DisturbanceGuard();

  /** Learns from one report of a worker. */
  void observe(const std::vector<ServingTask>& aServing,
               const std::vector<OpportunisticTask>& aOthers);

  /** Decides for the opportunistic tasks of a worker; those that stay as they are are left out. */
  std::vector<PaceDecision> decide(State& aState,
                                   const std::vector<ServingTask>& aServing,
                                   const std::vector<OpportunisticTask>& aOthers,
                                   MonotonicTime aNow) const;

  /** Shares of a worker's processors by image. */
  using ImageShares = std::map<std::string, double>;

  /**
   * The largest share of its objective that a serving task is expected to reach when aMore works
   * beside it in addition to what its last figure shows. An image that was hardly observed beside
   * it is expected to disturb, so that it is tried with few tasks first.
   */
  double expectedRatio(const std::vector<ServingTask>& aServing, const ImageShares& aMore) const;

private:
  /** What an image is taken to add per share while it was hardly observed. */
  static constexpr double kUnknownFactor = 4;
  /** An image counts as hardly observed above this standard deviation of its factor. */
  static constexpr double kUnknownDeviation = 5;

  double cautiousGrowth(const std::string& aServingImage,
                        const std::string& aImage,
                        double aShare) const;

  /** Growth of the latency as a logarithm. */
  double growth(const std::string& aServingImage, const std::string& aImage, double aShare) const;
  double blame(const std::vector<ServingTask>& aServing, const OpportunisticTask& aTask) const;
  PaceDecision slowDown(const std::vector<ServingTask>& aServing,
                        const OpportunisticTask& aTask,
                        bool aIsMissed) const;

  InterferenceModel mModel;
  std::unordered_map<std::string, std::uint32_t> mServingIndexes;
  std::unordered_map<std::string, std::uint32_t> mImageIndexes;
};

} // namespace magnoliadrum
