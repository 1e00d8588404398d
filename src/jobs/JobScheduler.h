#pragma once

#include "jobs/JobRegistry.h"
#include "jobs/JobSelector.h"
#include "jobs/RunTimeModel.h"
#include "jobs/WorkerCandidate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/** The assignment of a run to a worker. */
struct Assignment
{
  RunStart start;
  TaskId task;
  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/** A run to be stopped because its task ends sooner on another worker. */
struct RestartDecision
{
  TaskId task;
  std::int64_t run = 0;
  /** Worker that has room for the next run. */
  std::string to;

  friend bool operator==(const RestartDecision&, const RestartDecision&) = default;
};

/** Why a task cannot start now: the number of workers that each reason excludes. */
struct WaitReason
{
  TaskId task;
  bool isLongRunning = false;
  JobOutlook outlook = JobOutlook::eOnTime;
  /** Capacity that the task takes. */
  ResourceAmount size;
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
  /** The worker is reserved for the trial of a task that may have crashed a worker. */
  std::int64_t reservedWorkers = 0;
  /** The worker fails what it starts and has the runs that it may have for now. */
  std::int64_t unreliableWorkers = 0;

  friend bool operator==(const WaitReason&, const WaitReason&) = default;
};

/** The decisions of a scheduling round. */
struct SchedulePlan
{
  std::vector<Assignment> assignments;
  std::vector<EvictableRun> evictions;
  std::vector<RestartDecision> restarts;
  /** Reasons for the first tasks, in scheduling order, that could not start. Gangs are not listed.
   */
  std::vector<WaitReason> waiting;
  /** Number of workers that were examined for a task; the cost of a round grows with it. */
  std::int64_t examinedWorkers = 0;
  /** Number of assignments to jobs that can no longer complete in useful time. */
  std::int64_t overdueAssignments = 0;
};

/**
 * Decides which waiting tasks start now and on which workers. Uses no clock and no sockets; the
 * same input gives the same assignments.
 *
 * Steps are scheduled by the priority of their queue. Within a priority long-running tasks go
 * first, those that have had a run before the others, in the order of their acceptance; the others
 * follow by the outlook of their job (see JobSelector), then by the deadline that this outlook
 * refers to. A task is only assigned to a worker with enough free capacity for what it requires.
 * For a task that fits nowhere, capacity is reserved, see RoomPlanner; for a long-running one only
 * once those of its priority that fit have been assigned. A straggler is stopped when another
 * worker has room for its next run, which is then kept free; overdue jobs are not worth it. Tasks
 * that serve users are packed on few workers, preferably with tasks of the same image, which leaves
 * workers on which opportunistic tasks interfere with nobody. While its pool is mostly free, a job
 * without active runs gets one task of an opportunistic step placed even where it may interfere, so
 * that every job makes progress. Tasks that may have crashed a worker go first, see TrialPlanner;
 * gangs are not tried.
 */
class JobScheduler
{
public:
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
  /** Maximum number of stragglers that are between their runs at any time: each takes room twice.
   */
  static constexpr std::size_t kMaxRestarts = 24;
  /** Maximum number of wait reasons in a plan. */
  static constexpr std::size_t kMaxWaitReasons = 5;
  /** Maximum number of assignments of a round; the remaining tasks follow in the next round. */
  static constexpr std::size_t kMaxAssignments = 200;

  /** Schedules one round. aWallMs is the wall-clock time, for due times and objectives. The
   * capacity of aWorkers is reduced by what the plan takes. */
  static SchedulePlan decide(const JobRegistry& aJobs,
                             const InterferenceGuard& aGuard,
                             std::vector<WorkerCandidate>& aWorkers,
                             std::int64_t aWallMs,
                             const RunTimeModel& aRunTimes = RunTimeModel());
};

} // namespace magnoliadrum
