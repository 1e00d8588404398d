#pragma once

#include "core/core.h"
#include "jobs/ImageInterferenceModel.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A task that serves users, as its worker reported it last. */
struct ServingTask
{
  std::string image;
  /** Tail latency over the last half second; 0 when it is not known. */
  double latencyMs = 0;
  double objectiveMs = 0;
  /** Name; tells tasks of the same image apart. */
  std::string task;

  double latencyRatio() const { return objectiveMs > 0 ? latencyMs / objectiveMs : 0; }
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
 * Which image disturbs which differs much, changes within seconds and is not declared, so it is
 * learned from what the workers report. Slowed down are the tasks whose image disturbs a task that
 * is near its objective; when nothing learned explains an objective that is missed for a while, all
 * of them.
 */
class DisturbanceGuard
{
public:
  /** Share of an objective above which disturbing tasks are slowed down. */
  static constexpr double kSlowDownRatio = 0.8;
  /** Growth of the latency (as a logarithm) that makes an image count as disturbing. */
  static constexpr double kInterferingGrowth = 0.2;
  /** An image is slowed down only with this part of the largest blame; a rise of which the cause
   * is known says little about the others. */
  static constexpr double kMinShareOfLargestGrowth = 0.4;
  /** At full speed; above it the task is better moved than slowed down. */
  static constexpr double kMoveGrowth = 0.5;
  /** Growth below which an image counts as harmless, whatever the latency beside it is. */
  static constexpr double kHarmlessGrowth = 0.05;
  /** An objective that is missed for this long stops all opportunistic tasks on the worker. */
  static constexpr std::int64_t kUnexplainedMissStopMs = 1200;
  /** An objective that is missed for this long on end stops all opportunistic tasks on the worker,
   * even when the culprits seem to be known: some of the blame may be wrong. */
  static constexpr std::int64_t kMissStopMs = 2000;
  /** Time between two changes upwards: the next report shows most of the effect of the last. */
  static constexpr std::int64_t kRaiseIntervalMs = 500;

  /** What runs of an opportunistic image beside the serving tasks of a worker. */
  struct Neighbour
  {
    /** Share that the latest report tells. */
    double reportedShare = 0;
    /** Share whose effect the latest latencies show, and since when. */
    double effectiveShare = 0;
    MonotonicTime effectiveSince;
  };

  /** What is kept for each worker. */
  struct State
  {
    MonotonicTime lastDecisionAt;
    MonotonicTime observedAt;
    std::optional<MonotonicTime> unexplainedSince;
    /** By image. */
    std::map<std::string, Neighbour> neighbours;
    /** Since when each task that misses its objective does so. */
    std::map<std::string, MonotonicTime> missedSinceByTask;
    /** Logarithm of the latency of each serving task without neighbours. */
    std::map<std::string, double> baselines;
  };

  /** Learns from one report of a worker. */
  void observe(State& aState,
               const std::vector<ServingTask>& aServing,
               const std::vector<OpportunisticTask>& aOpportunistic,
               MonotonicTime aNow);

  /** Decides for the opportunistic tasks of a worker; those that stay as they are are left out. */
  std::vector<PaceDecision> decide(State& aState,
                                   const std::vector<ServingTask>& aServing,
                                   const std::vector<OpportunisticTask>& aOpportunistic,
                                   MonotonicTime aNow) const;

  /**
   * The largest share of its objective that a serving task is expected to reach when aAdded works
   * beside it in addition to what its last figure shows; 0 when all tasks are within their
   * objectives and aAdded disturbs none. An image that was hardly observed beside it is expected to
   * disturb, so that it is tried with few tasks first.
   */
  double expectedRatio(const std::vector<ServingTask>& aServing, const ImageShares& aAdded) const;

  /** The growth that aShare of an image may cause to a serving task: the worst of the last minutes.
   */
  double worstGrowth(const std::vector<ServingTask>& aServing,
                     const std::string& aImage,
                     double aShare) const;

private:
  /** Whether the latency still shows a disturbance that has stopped, so nothing is learned of it.
   */
  bool showsPastInterference(const State& aState, const ServingTask& aTask) const;
  double attributedGrowth(const std::vector<ServingTask>& aServing,
                          const OpportunisticTask& aTask) const;
  /** The largest growth that an image causes to a task near its objective, as its latency shows. */
  double largestAttributedGrowth(const State& aState,
                                 const std::vector<ServingTask>& aServing) const;
  bool isExplained(const State& aState, const std::vector<ServingTask>& aServing) const;
  /** Whether a task has missed its objective for so long that nothing may work beside it. */
  static bool mustStopAll(State& aState,
                          const std::vector<ServingTask>& aServing,
                          MonotonicTime aNow);
  static std::vector<PaceDecision> stopAll(const std::vector<OpportunisticTask>& aOpportunistic);
  PaceDecision slowDown(const std::vector<ServingTask>& aServing,
                        const OpportunisticTask& aTask,
                        bool aIsObjectiveMissed) const;
  std::vector<PaceDecision> slowDownInterfering(
    State& aState,
    const std::vector<ServingTask>& aServing,
    const std::vector<OpportunisticTask>& aOpportunistic,
    MonotonicTime aNow) const;
  std::vector<PaceDecision> speedUp(const std::vector<ServingTask>& aServing,
                                    const std::vector<OpportunisticTask>& aOpportunistic) const;

  ImageInterferenceModel mModel;
};

} // namespace magnoliadrum
