#pragma once

#include "jobs/DisturbanceGuard.h"
#include "jobs/JobRegistry.h"
#include "placement/ResourceAmount.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A run that may be stopped to make room for one of a queue that goes first. */
struct EvictableRun
{
  TaskId task;
  std::int64_t run = 0;
  std::int64_t priority = 0;
  /** What its end frees. */
  ResourceAmount size;
  /** Work that is lost, in core-milliseconds. */
  double lostWork = 0;

  friend bool operator==(const EvictableRun&, const EvictableRun&) = default;
};

/** A worker that may get runs, with what its active runs take of it. */
struct WorkerRoom
{
  std::string worker;
  std::int64_t bornMs = 0;
  /** Relay beside the worker. */
  std::string place;
  std::string poolName;
  std::string rack;
  std::vector<std::string> labels;
  ResourceAmount capacity;
  /** Declared sizes of all active runs; opportunistic ones take no processor time here. */
  ResourceAmount used;
  /** Part of used.cpuMilli that long-running tasks take. */
  std::int64_t longRunningCpuMilli = 0;
  /** Processor time that the opportunistic runs would use if they got it all. */
  std::int64_t opportunisticCpuMilli = 0;
  /** Part of used that runs hold which are being stopped. */
  ResourceAmount stopping;
  std::vector<EvictableRun> evictable;
  /** The tasks that serve users here. */
  std::vector<ServingTask> serving;
  /** Active runs that serve users, by image; also those that no report shows yet. */
  std::map<std::string, std::int64_t> servingRuns;
  /** Opportunistic tasks that the figures of the serving tasks do not show yet. */
  ImageShares unobserved;
  /** Runs that failed here lately, beyond what is usual. A worker with many is used last. */
  std::int64_t recentFailures = 0;
  /** Active runs by step (JOB.OCCURRENCE.STEP). */
  std::map<std::string, std::int64_t> runsOfStep;
};

/** Assigns a run to a worker. */
struct Assignment
{
  RunStart start;
  TaskId task;
  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/** Why the tasks of a step cannot start now: how many workers are excluded by what. */
struct WaitReason
{
  TaskId task;
  std::int64_t otherPool = 0;
  std::int64_t noLabel = 0;
  /** The step's limit of tasks per worker is reached. */
  std::int64_t spread = 0;
  std::int64_t noRoom = 0;
  std::int64_t disturbs = 0;

  friend bool operator==(const WaitReason&, const WaitReason&) = default;
};

/** What a round decided. */
struct SchedulePlan
{
  std::vector<Assignment> assignments;
  std::vector<EvictableRun> evictions;
  /** The first steps of the order that could not start. */
  std::vector<WaitReason> waiting;
};

/** Declared size of a task of a step; an opportunistic one takes no processor time. */
ResourceAmount
declaredSize(const JobStep& aStep);

/** Returns JOB.OCCURRENCE.STEP, which names the step of a task. */
std::string
stepName(const TaskId& aTask);

/** Share of the worker's processors that a task of the step declares. */
double
cpuShare(const WorkerRoom& aWorker, const JobStep& aStep);

/** Adds the declared size of one run of a step to what a worker has given away. */
void
occupy(WorkerRoom& aWorker, const JobStep& aStep, const TaskId& aTask);

/**
 * Decides which waiting tasks start now, and where. Uses no clock and no sockets; the same input
 * gives the same assignments.
 *
 * Order: by priority of the queue; then jobs that can still meet their objective before those that
 * are late, each by the end of the objective. A task is only put where its declared size fits. For
 * a task that fits nowhere, runs of queues that go later are stopped, the cheapest first, and the
 * room is kept for it. Tasks that serve users share workers, first with tasks of the same image, so
 * that other workers are left on which opportunistic tasks disturb nobody. While its pool is mostly
 * free, each job has a task at work, even an opportunistic one where it may disturb.
 */
class JobScheduler
{
public:
  /** Share of their declared processor time that long-running tasks are expected to use. */
  static constexpr double kLongRunningCpuUsage = 0.45;
  /** An opportunistic task needs this share of its processor time to be unused. */
  static constexpr double kMinUnusedCpuShare = 0.8;
  /** An opportunistic task goes where no objective is expected to be used up to this share. */
  static constexpr double kMaxExpectedRatio = 0.85;
  /** Most that a disturbance which may come back counts, against a worker's load of 1. */
  static constexpr double kMaxRiskCost = 0.5;
  /** Below this share of given-away processor time a pool counts as mostly free. */
  static constexpr double kMostlyFreeUsage = 0.6;
  /** Most runs that one round stops. */
  static constexpr std::size_t kMaxEvictions = 40;
  /** Most steps whose reason to wait is told. */
  static constexpr std::size_t kMaxWaitReasons = 5;
  /** Most assignments of one round; the rest follows in the next one. */
  static constexpr std::size_t kMaxAssignments = 200;

  /** aWallMs is the wall clock, for recurring jobs and objectives. aWorkers is used up. */
  static SchedulePlan decide(const JobRegistry& aJobs,
                             const DisturbanceGuard& aGuard,
                             std::vector<WorkerRoom>& aWorkers,
                             std::int64_t aWallMs);
};

} // namespace magnoliadrum
