#pragma once

#include "generated/JobsTypes.h"
#include "jobs/Job.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** Run time of a task: a log-normal distribution. */
struct RunTimeEstimate
{
  double medianMs = 0;
  /** Standard deviation of the logarithm. */
  double logDeviation = 0;
  /** Weight of the observations behind the estimate, in runs; 0 if only the declared estimate is
   * known. */
  double observations = 0;

  /** Run time that a share aProbability of the runs does not exceed, in ms. */
  double quantileMs(double aProbability) const;
  /** Expected run time that is left for a run that has worked for aWorkedMs, in ms. */
  double remainingMs(double aWorkedMs) const;

  friend bool operator==(const RunTimeEstimate&, const RunTimeEstimate&) = default;
};

/**
 * Learns how long the tasks of a queue and an image run, from the ends and the progress of their
 * runs, relative to what their jobs declare.
 *
 * A declared estimate is corrected in two stages: by the mean error of the queue's jobs, and, as
 * soon as a run of the step has shown its progress, by the error of the step itself. Uses no clock.
 */
class RunTimeModel
{
public:
  /** Progress below this is too coarse for an estimate. */
  static constexpr double kMinPercent = 8;
  /** Work of fewer milliseconds is not more than the error of its measurement. */
  static constexpr double kMinWorkedMs = 200;

  /** Records that a run has made aGainedPercent of its task's work by working for aWorkedMs at full
   * speed. aIsDone tells that the run has ended done. */
  void observe(const Job& aJob,
               const TaskId& aTask,
               double aWorkedMs,
               double aGainedPercent,
               bool aIsDone);

  /** Records the processor time in use by a task as a share of what it declares. */
  void observeCpuShare(const Job& aJob, const TaskId& aTask, double aShare);

  /** Forgets what only concerns one job. */
  void forget(const std::string& aJobId) { mJobs.erase(aJobId); }

  /** Run time of the tasks of a step. */
  RunTimeEstimate runTime(const Job& aJob, std::int64_t aOccurrence, std::int64_t aStep) const;

  /** Ratio of the work of a queue's steps to the work that they declare. */
  double workRatio(const std::string& aQueueName) const;

  /** Processor time in use as a share of what a task of the step declares. */
  double cpuShare(const Job& aJob, std::int64_t aStep) const;

  /** Writes what concerns queues and images, bounded by the schema. */
  void writeTo(LearnedFigures::Fields& aFigures) const;
  static RunTimeModel fromFigures(const LearnedFigures& aFigures);

private:
  /** Queue and image; the image is empty for what holds for the whole queue. */
  using Key = std::pair<std::string, std::string>;

  /** The error of the estimates of a queue's steps: moments of the logarithm of run time to
   * estimate. */
  struct QueueError
  {
    double count = 0;
    double mean = 0;
    double variance = 0;
    double cpuCount = 0;
    double cpuShare = 1;
  };

  /** The logarithm of run time to estimate that a task has shown, and its weight in runs. */
  struct TaskError
  {
    double logRatio = 0;
    double weight = 0;
  };

  struct StepErrors
  {
    std::map<std::int64_t, TaskError> tasks;
    /** A run of the step has ended done and counts for the queue. */
    bool isCounted = false;
  };

  /** Steps by occurrence and number. */
  using JobErrors = std::map<std::pair<std::int64_t, std::int64_t>, StepErrors>;

  std::vector<Key> keysOf(const Job& aJob, std::int64_t aStep) const;
  /** What is known before any run of a step has shown its progress. */
  QueueError priorOf(const Job& aJob, std::int64_t aStep) const;

  std::map<Key, QueueError> mQueues;
  std::map<std::string, JobErrors> mJobs;
};

} // namespace magnoliadrum
