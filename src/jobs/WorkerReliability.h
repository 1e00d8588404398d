#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * How well the recent runs of each worker went, by worker id. Observations decay.
 *
 * A worker that fails nearly everything is free most of the time, so without a limit a loaded pool
 * sends it more runs than any other. Such a worker gets single runs, until one of them ends well.
 */
class WorkerReliability
{
public:
  /** Time after which an observation counts half. */
  static constexpr double kHalfLifeMs = 8000;
  /** A worker is limited from this number of recent failures on, if less than kMinSuccessShare of
   * its recent runs succeeded. A task that fails everywhere does not fail this often on one worker.
   */
  static constexpr double kMinFailures = 2.5;
  static constexpr double kMinSuccessShare = 0.35;
  /** A worker with a smaller share of successes pauses between standing runs that fail. */
  static constexpr double kMinSoundShare = 0.6;
  /** Shortest time from a failure on a limited worker to its next trial run. */
  static constexpr std::int64_t kTrialIntervalMs = 1000;
  /** A standing run, which never ends well, counts as a success after this time at work. With
   * kTrialIntervalMs before it, it is less than the 3 s for which callers tolerate a standing task
   * that waits beside room. */
  static constexpr std::int64_t kStandingSuccessMs = 1500;
  /** A standing task is doubtful from so many starts on if no run has worked for
   * kStandingSuccessMs: it is likelier to fail everywhere than to have met this many failing
   * workers. */
  static constexpr std::int64_t kDoubtfulStarts = 3;
  /** The reciprocal of the largest share of a pool that is limited: failures on more workers have
   * another cause. */
  static constexpr std::size_t kWorkersPerLimited = 3;
  static constexpr std::int64_t kNoLimit = -1;

  /** Records the end of a run, or a start that the worker rejected because it is unhealthy. */
  void record(const std::string& aWorker, bool aSucceeded, MonotonicTime aNow);

  /** Records a standing run that has worked for kStandingSuccessMs since aStartedAt. One that began
   * before the last failure says nothing of the runs that the worker starts now. */
  void recordStandingRun(const std::string& aWorker, MonotonicTime aStartedAt, MonotonicTime aNow);

  /** Records that a standing run has failed, in addition to record(). */
  void recordStandingFailure(const std::string& aWorker, MonotonicTime aNow);

  /** Records that a standing run of a doubtful task has failed, in place of record(): such failures
   * are not counted for the worker. */
  void recordDoubtfulFailure(const std::string& aWorker, MonotonicTime aNow);

  /** Whether a standing run has failed within kTrialIntervalMs, on a worker on which less than
   * kMinSoundShare of the recent runs succeeded. On others the task is the more likely cause, and
   * the pause would leave the room of the run to others. */
  bool hasJustFailedStandingRun(const std::string& aWorker, MonotonicTime aNow) const;

  /** The same for runs of doubtful tasks. */
  bool hasJustFailedDoubtfulRun(const std::string& aWorker, MonotonicTime aNow) const;

  /** Share of the recent runs that succeeded; near 1 for a worker with few. */
  double successShare(const std::string& aWorker, MonotonicTime aNow) const;

  /** Returns how many runs the workers of a pool may have that they end themselves, in the order of
   * aPool; kNoLimit for a sound worker, otherwise 0 or 1. */
  std::vector<std::int64_t> runLimits(const std::vector<std::string>& aPool,
                                      MonotonicTime aNow) const;

  void clear() { mRecords.clear(); }

private:
  struct Record
  {
    double successes = 0;
    double failures = 0;
    MonotonicTime updatedAt;
    MonotonicTime lastFailureAt;
    MonotonicTime lastStandingFailureAt;
    MonotonicTime lastDoubtfulFailureAt;
  };

  /** Whether a failure at aFailedAt calls for a pause before the next standing run. */
  bool needsPause(const std::string& aWorker, MonotonicTime aFailedAt, MonotonicTime aNow) const;

  /** The counts of a worker as they are at aNow. */
  Record decayed(const std::string& aWorker, MonotonicTime aNow) const;

  std::map<std::string, Record> mRecords;
};

} // namespace magnoliadrum
