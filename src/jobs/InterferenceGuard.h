#pragma once

#include "core/core.h"
#include "jobs/ImageInterferenceModel.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** A task that serves users, with the values its worker reported last. */
struct ServingTask
{
  std::string image;
  /** Tail latency over the last half second; 0 when it is not known. */
  double latencyMs = 0;
  double objectiveMs = 0;
  /** Id of the task; distinguishes tasks of the same image. */
  std::string task;

  /** Latency as a share of the objective; 1 and above means that the objective is missed. */
  double latencyRatio() const { return objectiveMs > 0 ? latencyMs / objectiveMs : 0; }
};

/** An opportunistic task on the same worker as the serving tasks. */
struct OpportunisticTask
{
  std::string task;
  std::string image;
  /** Shares of the worker's processors that the task declares and that it uses. */
  double declaredShare = 0;
  double usedShare = 0;
  /** Pace that the task was last told to run at, in percent of full speed. */
  std::int64_t percent = 100;
};

/** New pace of an opportunistic task. */
struct PaceDecision
{
  std::string task;
  /** Pace in percent of full speed; 0 stops the task until its pace is raised again. */
  std::int64_t percent = 100;
  /** The task should be moved to another worker. */
  bool shouldMove = false;

  friend bool operator==(const PaceDecision&, const PaceDecision&) = default;
};

/**
 * Sets the pace of opportunistic tasks so that the serving tasks on the same worker keep their
 * latency objectives.
 *
 * How much one image interferes with another varies widely between pairs, changes within seconds
 * and is not declared, so it is learned from the reports of the workers. Opportunistic tasks are
 * slowed down if their image interferes with a serving task that is near its objective. All of them
 * are stopped if an objective stays missed and the learned interference does not explain it, and
 * after a longer time whatever the cause is.
 */
class InterferenceGuard
{
public:
  /** Ratio of latency to objective at which interfering tasks start to be slowed down. */
  static constexpr double kSlowDownRatio = 0.8;
  /** Minimum growth of the logarithm of the latency that makes an image count as interfering. */
  static constexpr double kInterferingGrowth = 0.2;
  /** An image is slowed down only if it causes at least this share of the largest growth that any
   * image causes: once a rise is explained by one image, it says little about the others. */
  static constexpr double kMinShareOfLargestGrowth = 0.4;
  /** Minimum growth at full speed for which a task is moved to another worker, instead of only
   * slowed down, when an objective is missed. */
  static constexpr double kMoveGrowth = 0.5;
  /** Expected growth below which added work counts as harmless to a task within its objective,
   * however near to it the latency is. */
  static constexpr double kHarmlessGrowth = 0.05;
  /** All opportunistic tasks on a worker are stopped when an objective is missed for this long and
   * the learned interference does not explain it. */
  static constexpr std::int64_t kUnexplainedMissStopMs = 1200;
  /** All opportunistic tasks on a worker are stopped when a task misses its objective for this long
   * continuously, even if the cause seems to be known: the learned interference may be wrong. */
  static constexpr std::int64_t kMissStopMs = 2000;
  /** Minimum time from a pace change to the next raise; the next report then shows most of the
   * effect of the change. */
  static constexpr std::int64_t kRaiseIntervalMs = 500;

  /** All tasks of one opportunistic image on a worker, as shares of the worker's processors. */
  struct Neighbour
  {
    /** Used share according to the latest report. */
    double reportedShare = 0;
    /** Share whose effect the latest reported latencies include. */
    double effectiveShare = 0;
    /** Time at which effectiveShare was last set. */
    MonotonicTime effectiveUpdatedAt;
  };

  /** State kept for each worker. */
  struct State
  {
    MonotonicTime lastDecisionAt;
    MonotonicTime observedAt;
    /** Since when a missed objective is neither explained nor acted upon. */
    std::optional<MonotonicTime> unexplainedSince;
    /** By image. */
    std::map<std::string, Neighbour> neighbours;
    /** Since when a task misses its objective, by task id; only tasks that miss it now. */
    std::map<std::string, MonotonicTime> missedSinceByTask;
    /** Logarithm of the latency without neighbours, by id of the serving task. */
    std::map<std::string, double> baselines;
  };

  /** Updates the model and the state of a worker with one report of it. */
  void observe(State& aState,
               const std::vector<ServingTask>& aServing,
               const std::vector<OpportunisticTask>& aOpportunistic,
               MonotonicTime aNow);

  /** Returns the new paces of opportunistic tasks on a worker, without the tasks whose pace stays.
   */
  std::vector<PaceDecision> decide(State& aState,
                                   const std::vector<ServingTask>& aServing,
                                   const std::vector<OpportunisticTask>& aOpportunistic,
                                   MonotonicTime aNow) const;

  /**
   * Returns the largest ratio of latency to objective that a serving task is expected to reach if
   * aAdded runs on the worker in addition to the work that the reported latencies already include;
   * 0 if all tasks are within their objectives and aAdded is harmless to all of them. An image that
   * was rarely observed beside a task is expected to interfere, so that few of its tasks are tried
   * first.
   */
  double expectedRatio(const std::vector<ServingTask>& aServing, const ImageShares& aAdded) const;

  /** Growth of the logarithm of a serving image's latency per share of the worker's processors that
   * an opportunistic image uses, with a margin for a pair that was rarely observed. */
  double cautiousGrowthPerShare(const std::string& aServing, const std::string& aImage) const;

  /** The same for the strongest interference of the last minutes. */
  double worstGrowthPerShare(const std::string& aServing, const std::string& aImage) const;

  /** What was learned so far; replaced as a whole at the start of a leadership. */
  const ImageInterferenceModel& model() const { return mModel; }
  void setModel(ImageInterferenceModel aModel) { mModel = std::move(aModel); }

private:
  /** Whether the latency still includes interference that has ended; nothing is learned from such a
   * latency. */
  bool showsPastInterference(const State& aState, const ServingTask& aTask) const;
  /** The largest growth that a task causes to a serving task near its objective. */
  double attributedGrowth(const std::vector<ServingTask>& aServing,
                          const OpportunisticTask& aTask) const;
  /** The largest growth that an image causes to a serving task near its objective, for the shares
   * whose effect the latencies include. */
  double largestAttributedGrowth(const State& aState,
                                 const std::vector<ServingTask>& aServing) const;
  /** Whether every missed objective would be met without the learned interference. */
  bool isExplained(const State& aState, const std::vector<ServingTask>& aServing) const;
  /** Updates State::missedSinceByTask; true if a task has missed its objective for kMissStopMs. */
  static bool mustStopAll(State& aState,
                          const std::vector<ServingTask>& aServing,
                          MonotonicTime aNow);
  static std::vector<PaceDecision> stopAll(const std::vector<OpportunisticTask>& aOpportunistic);
  PaceDecision slowDown(const std::vector<ServingTask>& aServing,
                        const OpportunisticTask& aTask,
                        bool aIsObjectiveMissed) const;
  std::vector<PaceDecision> slowDownInterferingTasks(
    State& aState,
    const std::vector<ServingTask>& aServing,
    const std::vector<OpportunisticTask>& aOpportunistic,
    MonotonicTime aNow) const;
  std::vector<PaceDecision> speedUp(const std::vector<ServingTask>& aServing,
                                    const std::vector<OpportunisticTask>& aOpportunistic) const;

  ImageInterferenceModel mModel;
};

} // namespace magnoliadrum
