#pragma once

#include "jobs/InterferenceForecast.h"
#include "jobs/Job.h"
#include "jobs/WorkerReliability.h"
#include "placement/ResourceAmount.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A run that may be stopped to free capacity for a task of a queue with a higher priority. */
struct EvictableRun
{
  TaskId task;
  std::int64_t run = 0;
  /** Priority of its queue; lower numbers go first. */
  std::int64_t priority = 0;
  /** Capacity that is freed when the run ends. */
  ResourceAmount size;
  /** Work that is lost when the run is stopped, in core-milliseconds. */
  double lostWork = 0;

  friend bool operator==(const EvictableRun&, const EvictableRun&) = default;
};

/** A run that would end sooner on another worker, see StragglerPlanner. */
struct SlowRun
{
  std::int64_t run = 0;
  /** It is being stopped, and its next run needs a place. */
  bool isStopping = false;

  friend bool operator==(const SlowRun&, const SlowRun&) = default;
};

/** A run that has ended at its worker and whose end is not committed yet. */
struct EndedRun
{
  TaskId task;
  ResourceAmount size;

  friend bool operator==(const EndedRun&, const EndedRun&) = default;
};

/** A worker that may be assigned runs, with the capacity that its active runs take. */
struct WorkerCandidate
{
  std::string worker;
  /** Start of the worker process in ms since 1970; tells it from an earlier one under the same id.
   */
  std::int64_t startedAtMs = 0;
  /** Relay beside the worker. */
  std::string relay;
  std::string poolName;
  std::string rack;
  std::vector<std::string> labels;
  ResourceAmount capacity;
  /** Sum of requiredResources() over all active runs; opportunistic runs take no processor time of
   * it.
   */
  ResourceAmount used;
  /** Part of used.cpuMilli that long-running tasks take. */
  std::int64_t longRunningCpuMilli = 0;
  /** Declared processor time of the opportunistic runs, which they use if nothing limits them. */
  std::int64_t opportunisticCpuMilli = 0;
  /** Part of used.cpuMilli that belongs to runs that no list of the worker shows. */
  std::int64_t unlistedCpuMilli = 0;
  /** Part of used that is held by runs that are being stopped. */
  ResourceAmount releasing;
  std::vector<EvictableRun> evictable;
  /** The active runs that have ended at the worker; part of used. For measurements only: no run may
   * be assigned in their place before their ends are committed. */
  std::vector<EndedRun> endedRuns;
  /** The runs on this worker that would end sooner elsewhere, by task name. */
  std::map<std::string, SlowRun> stragglers;
  /** The tasks on this worker that serve users. */
  std::vector<ServingTask> serving;
  /** Number of active runs that serve users, by image, including those that no report lists yet. */
  std::map<std::string, std::int64_t> servingRuns;
  /** Shares of opportunistic tasks whose effect the latencies in serving do not include yet. */
  ImageShares unobservedShares;
  /** What is expected of added opportunistic tasks, from serving and unobservedShares; set by
   * JobScheduler::decide(). */
  InterferenceForecast::WorkerLoad interference;
  /** Tenths of the recent runs on this worker that failed, 0 if less than half of them did. Workers
   * with fewer are preferred. */
  std::int64_t failureRank = 0;
  /** Tenths of the recent runs on this worker that failed. */
  std::int64_t failureTenths = 0;
  /** Number of runs that end by themselves, and how many there may be; see WorkerReliability. */
  std::int64_t endingRuns = 0;
  std::int64_t maxRuns = WorkerReliability::kNoLimit;
  /** Number of standing runs that have not worked for WorkerReliability::kStandingSuccessMs, but
   * for those of doubtful tasks. */
  std::int64_t youngStandingRuns = 0;
  /** Number of such runs of doubtful tasks, see isDoubtful(). */
  std::int64_t youngDoubtfulRuns = 0;
  /** A standing run has just failed. The next one waits, else it may be started without pause. */
  bool hasJustFailedStandingRun = false;
  /** The same for the runs of doubtful tasks. */
  bool hasJustFailedDoubtfulRun = false;
  /** Number of active runs that are not yet known to be harmless to the worker. */
  std::int64_t unprovenRuns = 0;
  /** Number of them whose task may have crashed a worker. */
  std::int64_t suspects = 0;
  /** Number of suspects that have worked for less than CrashAttribution::kClosedTrialMs. */
  std::int64_t youngSuspects = 0;
  /** A run of a task that may have crashed a worker is on trial here, or will be. Other tasks are
   * not assigned, see isClosedForTrials(). */
  bool isReserved = false;
  /** Number of active runs of the steps that limit it, by step name (JOB.OCCURRENCE.STEP). */
  std::map<std::string, std::int64_t> runsOfStep;
};

/** Share of their declared processor time that long-running tasks are expected to use. */
inline constexpr double kLongRunningCpuUsage = 0.45;

/** Whether tasks of the step serve users of their own. */
bool
servesUsers(const JobStep& aStep);

/** Returns the resources that a task of the step takes; an opportunistic one takes no processor
 * time. */
ResourceAmount
requiredResources(const JobStep& aStep);

/** Returns the name of a task's step, JOB.OCCURRENCE.STEP. */
std::string
stepName(const TaskId& aTask);

/** Returns the share of the worker's processors that a task of the step declares. */
double
cpuShare(const WorkerCandidate& aWorker, const JobStep& aStep);

/** Returns the processor time of the worker that is expected to stay unused, in thousandths of a
 * core; negative when more is in use than there is. */
double
unusedCpuMilli(const WorkerCandidate& aWorker);

/** Whether the worker has the label; true for an empty label. */
bool
hasLabel(const WorkerCandidate& aWorker, const std::string& aLabel);

/** Whether a worker may run a task of a step of a queue with the pool aPoolName, free capacity and
 * reservations aside. aStepName is the name of the step, see stepName(). */
bool
isPermitted(const WorkerCandidate& aWorker,
            const std::string& aPoolName,
            const JobStep& aStep,
            const std::string& aStepName);

/** Whether a standing task has had WorkerReliability::kDoubtfulStarts, a run that ended early and
 * none that worked for kStandingSuccessMs. Its failures say little of a worker, and its runs hardly
 * prove one, so it takes no run from another task that could. */
bool
isDoubtful(const JobStep& aStep, const JobTaskRecord::Fields& aTask);

/** Whether a worker that fails its runs has as many as it may have, or pauses after a failure. For
 * a standing task neither the number nor the failures of short runs count: they would close free
 * room to it for longer than its users tolerate. */
bool
isLimited(const WorkerCandidate& aWorker, const JobStep& aStep, const JobTaskRecord::Fields& aTask);

/** Whether the worker is reserved for trials and a task of the step may not join them. Standing
 * tasks without a crash may, once each trial has worked for CrashAttribution::kClosedTrialMs: a
 * trial can last for twenty seconds, longer than their users tolerate to miss them. */
bool
isClosedForTrials(const WorkerCandidate& aWorker,
                  const JobStep& aStep,
                  const JobTaskRecord::Fields& aTask);

/** Whether the declared size of a task of the step fits in the free capacity. */
bool
fits(const WorkerCandidate& aWorker, const JobStep& aStep);

/** Adds a run of a step to the used capacity and the run counts of a worker. */
void
addRun(WorkerCandidate& aWorker, const JobStep& aStep, const TaskId& aTask);

/** Returns a worker as it is at the worker itself: its ended runs take no room and no place of
 * their steps. */
WorkerCandidate
withoutEndedRuns(WorkerCandidate aWorker);

} // namespace magnoliadrum
