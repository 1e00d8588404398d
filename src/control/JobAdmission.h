#pragma once

#include "control/ControlContext.h"
#include "control/EvacuationDriver.h"
#include "control/RunTracker.h"
#include "control/WorkerFleet.h"
#include "jobs/jobs.h"
#include "observability/observability.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A job that is not accepted. It never runs. */
struct JobRefusal
{
  /** When the caller should try again, in ms. */
  std::int64_t retryAfterMs = 0;
  /** Why, for the caller. */
  std::string detail;

  friend bool operator==(const JobRefusal&, const JobRefusal&) = default;
};

/**
 * Refuses jobs with long-running tasks for which a pool has no room, see StandingAdmission, before
 * anything of them is in the log. What is in the log is never refused.
 *
 * Keeps what each pool has promised; a new leader rebuilds that from the log.
 */
class JobAdmission
{
public:
  /** Bounds of JobRefusal::retryAfterMs, and its value while nothing is known of the ends of
   * long-running tasks. */
  static constexpr std::int64_t kMinRetryAfterMs = 1000;
  static constexpr std::int64_t kMaxRetryAfterMs = 60000;
  static constexpr std::int64_t kUnknownRetryAfterMs = 10000;

  /** The arguments outlive this object. */
  JobAdmission(const ControlContext& aContext,
               const WorkerFleet& aFleet,
               const EvacuationDriver& aEvacuation,
               const RunTracker& aRuns,
               MetricsRegistry& aMetrics);

  void startTerm();
  void endTerm();

  /** Returns the reason to refuse a job that its caller hands in; empty to accept it. aWorkersOf
   * returns the workers that take runs now; it is called only if their room matters. */
  std::optional<JobRefusal> refuse(const JobQueue& aQueue,
                                   const JobDescription& aJob,
                                   const RunTimeModel& aRunTimes,
                                   const std::function<std::vector<WorkerCandidate>()>& aWorkersOf);

  /** Counts a job that is proposed and not committed yet. */
  void onProposed(const JobQueue& aQueue, const JobDescription& aJob);

  /** The proposal of the job has failed, or the job is not new. */
  void onNotAccepted(const std::string& aJobId);

  void onAccepted(const Job& aJob);

  /** Releases what was promised to a job that is over. */
  void onFinished(const std::string& aJobId);

  /** Sets the gauges of what pools have promised. */
  void setGauges(MetricsRegistry& aMetrics) const;

private:
  struct Promise
  {
    /** Pool of the queue when the job was proposed. Once it is accepted its queue has the pool. */
    std::string proposedPoolName;
    std::int64_t cpuMilli = 0;
    std::int64_t tasks = 0;
    std::vector<JobStep> steps;
    std::int64_t occurrences = 1;
  };

  struct ReleasedRoom
  {
    MonotonicTime at;
    std::string poolName;
    std::int64_t cpuMilli = 0;
  };

  void addPromise(const std::string& aJobId,
                  const std::string& aPoolName,
                  const std::vector<JobStep>& aSteps,
                  std::int64_t aOccurrences);
  PoolPromises promisesOf(const std::string& aPoolName) const;

  /** Returns the pool that owes the promise of a job. */
  const std::string& poolNameOf(const std::string& aJobId, const Promise& aPromise) const;

  /** Adds the long-running runs of a job on workers of a pool that its queue has left. They stay
   * there, and their tasks are promised room in the new pool as well. */
  void addRunsInPool(const std::string& aJobId,
                     const std::string& aPoolName,
                     PoolPromises& aPool) const;

  /** Long-running tasks of accepted and proposed jobs that have no run. */
  std::vector<WaitingTasks> waitingTasks() const;

  /** Processor time of the workers of a pool that stay, in thousandths of a core. A worker that has
   * not reported to this leader counts with its long-running runs. */
  std::int64_t capacityCpuMilli(const std::string& aPoolName) const;

  std::int64_t retryAfterMs(const std::string& aPoolName, const AdmissionRefusal& aRefusal);

  const ControlContext& mContext;
  const WorkerFleet& mFleet;
  const EvacuationDriver& mEvacuation;
  const RunTracker& mRuns;
  MetricsRegistry& mMetrics;
  MonotonicTime mTermStartedAt;
  /** What is promised to jobs with long-running tasks, by id. */
  std::map<std::string, Promise> mPromises;
  /** Promises that have ended, the oldest first. */
  std::deque<ReleasedRoom> mReleased;
};

} // namespace magnoliadrum
