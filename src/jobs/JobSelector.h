#pragma once

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/** What an occurrence of a job still needs from the capacity that it shares with other jobs. */
struct JobDemand
{
  /** Work that is not done, in core-milliseconds. */
  double remainingWork = 0;
  /** Value of a completion on time, relative to the mean job of its queue. */
  double value = 1;
  /** Estimated time of the longest chain of steps that is not done. */
  std::int64_t remainingPathMs = 0;
  /** Whether a part of the work is done, which would be lost for the callers. */
  bool isStarted = false;
  /** Wall-clock time at which the objective ends. */
  std::int64_t objectiveEndMs = 0;
  /** Wall-clock time after which a completion is worth nothing. */
  std::int64_t usefulUntilMs = 0;

  friend bool operator==(const JobDemand&, const JobDemand&) = default;
};

/** When a job is expected to complete if those before it in the order of service go first. */
enum class JobOutlook
{
  eOnTime, /**< Within its objective. */
  eLate,   /**< After its objective, while the completion is still useful. */
  eOverdue /**< Neither. */
};

/** Returns the name of the outlook in logs. */
const char*
toText(JobOutlook aOutlook);

/**
 * Decides which jobs get the shared capacity when there is not enough for all of them.
 *
 * Earliest deadline first serves all jobs late once the capacity does not suffice, because each job
 * gets a part of it and none enough. So jobs are given up as few as possible, in the way of Moore
 * and Hodgson: in the order of their deadlines, and whenever the work up to a deadline does not fit
 * into the capacity until then, the job with the least value for its remaining work is left out.
 * Jobs close to their completion have little remaining work and are therefore kept. What is left
 * out of the first selection takes part in a second one for late completions, in the capacity that
 * the first one leaves.
 */
class JobSelector
{
public:
  /** Share of the nominal capacity that work is expected to get; the rest goes to starts, failed
   * runs and slowed tasks. */
  static constexpr double kUsableShare = 0.5;
  /** A job is given up for its deadline only if less than this share of its estimated remaining
   * path is left, because the estimates are rough. */
  static constexpr double kMinPathShare = 0.6;
  /** A started job counts as this much more valuable, so that jobs are completed rather than many
   * of them begun. */
  static constexpr double kStartedFactor = 1.5;

  /**
   * Returns the outlook of each job, in the order of aDemands. aCapacityCores is the number of
   * cores that the jobs share.
   */
  static std::vector<JobOutlook> select(const std::vector<JobDemand>& aDemands,
                                        double aCapacityCores,
                                        std::int64_t aNowMs);
};

} // namespace magnoliadrum
