#pragma once

#include "jobs/InterferenceForecast.h"
#include "jobs/JobRegistry.h"
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
  /** Part of used that is held by runs that are being stopped. */
  ResourceAmount releasing;
  std::vector<EvictableRun> evictable;
  /** The tasks on this worker that serve users. */
  std::vector<ServingTask> serving;
  /** Number of active runs that serve users, by image, including those that no report lists yet. */
  std::map<std::string, std::int64_t> servingRuns;
  /** Shares of opportunistic tasks whose effect the latencies in serving do not include yet. */
  ImageShares unobservedShares;
  /** What is expected of added opportunistic tasks, from serving and unobservedShares; set by
   * JobScheduler::decide(). */
  InterferenceForecast::WorkerLoad interference;
  /** Recently failed runs on this worker, 0 if their number is usual. Workers with fewer are
   * preferred. */
  std::int64_t recentFailures = 0;
  /** Number of active runs of the steps that limit it, by step name (JOB.OCCURRENCE.STEP). */
  std::map<std::string, std::int64_t> runsOfStep;
};

/** The assignment of a run to a worker. */
struct Assignment
{
  RunStart start;
  TaskId task;
  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/** Why a task cannot start now: the number of workers that each reason excludes. */
struct WaitReason
{
  TaskId task;
  /** The worker belongs to another pool. */
  std::int64_t otherPoolWorkers = 0;
  /** The worker lacks the required label. */
  std::int64_t missingLabelWorkers = 0;
  /** The worker has as many tasks of the step as the step allows per worker. */
  std::int64_t perWorkerLimitWorkers = 0;
  /** The free capacity of the worker is too small. */
  std::int64_t fullWorkers = 0;
  /** The task is expected to interfere with serving tasks on the worker. */
  std::int64_t interferenceWorkers = 0;

  friend bool operator==(const WaitReason&, const WaitReason&) = default;
};

/** The decisions of a scheduling round. */
struct SchedulePlan
{
  std::vector<Assignment> assignments;
  std::vector<EvictableRun> evictions;
  /** Reasons for the first tasks, in scheduling order, that could not start. Gangs are not listed.
   */
  std::vector<WaitReason> waiting;
};

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

/** Adds a run of a step to the used capacity and the run counts of a worker. */
void
addRun(WorkerCandidate& aWorker, const JobStep& aStep, const TaskId& aTask);

/**
 * Decides which waiting tasks start now and on which workers. Uses no clock and no sockets; the
 * same input gives the same assignments.
 *
 * Steps are scheduled by the priority of their queue, then by the outlook of their job (see
 * JobSelector), then by the deadline that this outlook refers to. A task is only
 * assigned to a worker with enough free capacity for what it requires. For a task that fits
 * nowhere, runs of queues with a lower priority are stopped, the cheapest first, and the capacity
 * is reserved for it. Tasks that serve users are packed on few workers, preferably with tasks of
 * the same image, which leaves workers on which opportunistic tasks interfere with nobody. While
 * its pool is mostly free, a job without active runs gets one task of an opportunistic step placed
 * even where it may interfere, so that every job makes progress.
 */
class JobScheduler
{
public:
  /** Share of their declared processor time that long-running tasks are expected to use. */
  static constexpr double kLongRunningCpuUsage = 0.45;
  /** Share of its declared processor time that must be unused on a worker for an opportunistic task
   * to be placed there. */
  static constexpr double kMinUnusedCpuShare = 0.8;
  /** An opportunistic task is only placed where no serving task is expected to exceed this ratio of
   * latency to objective. */
  static constexpr double kMaxExpectedRatio = 0.85;
  /** Upper bound for the cost of interference that may recur; the load of a full worker costs 1. */
  static constexpr double kMaxRiskCost = 0.5;
  /** A pool counts as mostly free while less than this share of its processor time is taken. */
  static constexpr double kMostlyFreeUsage = 0.6;
  /** Maximum number of runs that a round stops. */
  static constexpr std::size_t kMaxEvictions = 40;
  /** Maximum number of wait reasons in a plan. */
  static constexpr std::size_t kMaxWaitReasons = 5;
  /** Maximum number of assignments of a round; the remaining tasks follow in the next round. */
  static constexpr std::size_t kMaxAssignments = 200;

  /** Schedules one round. aWallMs is the wall-clock time, for due times and objectives. The
   * capacity of aWorkers is reduced by what the plan takes. */
  static SchedulePlan decide(const JobRegistry& aJobs,
                             const InterferenceGuard& aGuard,
                             std::vector<WorkerCandidate>& aWorkers,
                             std::int64_t aWallMs);
};

} // namespace magnoliadrum
