#pragma once

#include "generated/JobsTypes.h"
#include "jobs/Job.h"

#include <cstdint>

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
  /** Records that a run ended done after working for aWorkedMs at full speed. */
  void observeEnd(const Job& aJob, const TaskId& aTask, double aWorkedMs);

  /** Records that a run has reached aPercent of its work after working for aWorkedMs at full speed.
   */
  void observeProgress(const Job& aJob, const TaskId& aTask, double aWorkedMs, double aPercent);

  /** Records the processor time in use by a task as a share of what it declares. */
  void observeCpuShare(const Job& aJob, const TaskId& aTask, double aShare);

  /** Forgets what only concerns one job. */
  void forget(const std::string& aJobId);

  /** Run time of the tasks of a step. */
  RunTimeEstimate runTime(const Job& aJob, std::int64_t aOccurrence, std::int64_t aStep) const;

  /** Processor time in use as a share of what a task of the step declares. */
  double cpuShare(const Job& aJob, std::int64_t aStep) const;

  /** Writes what concerns queues and images, bounded by the schema. */
  void writeTo(LearnedFigures::Fields& aFigures) const;
  static RunTimeModel fromFigures(const LearnedFigures& aFigures);
};

} // namespace magnoliadrum
