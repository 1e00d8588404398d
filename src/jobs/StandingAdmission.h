#pragma once

#include "generated/JobsTypes.h"
#include "jobs/ShortWorkDemand.h"
#include "jobs/WorkerCandidate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What a pool has, and what of it is taken for as long as its long-running tasks stay. Processor
 * time in thousandths of a core. */
struct PoolPromises
{
  std::int64_t capacityCpuMilli = 0;
  /** Declared by the long-running tasks of accepted jobs, with or without a run, and number of
   * these tasks. */
  std::int64_t promisedCpuMilli = 0;
  std::int64_t promisedTasks = 0;
  /** Demand of the short work that is not of a lower priority than the job to be decided on. */
  DemandRate shortWork{};

  friend bool operator==(const PoolPromises&, const PoolPromises&) = default;
};

/** Why a job is refused, for the caller and the log. Processor time in thousandths of a core. */
struct AdmissionRefusal
{
  std::int64_t askedCpuMilli = 0;
  std::int64_t reservedCpuMilli = 0;
  PoolPromises pool{};

  friend bool operator==(const AdmissionRefusal&, const AdmissionRefusal&) = default;
};

/** Tasks of a step that have no run. */
struct WaitingTasks
{
  std::string poolName;
  /** JOB.OCCURRENCE.STEP, see stepName(). */
  std::string stepName;
  /** Not owned. */
  const JobStep* step = nullptr;
  std::int64_t count = 0;
};

/**
 * Decides at hand-in whether a pool has room for a job with long-running tasks. What is accepted
 * has to run until it is cancelled, so room that was promised once too often is missed by the short
 * work of the pool and by the restarts of long-running tasks for as long as the job stays.
 *
 * A part of the pool is not promised:
 *
 * - what short work takes on average and one standard deviation more: its objectives leave it the
 *   time to make up for higher peaks;
 * - at least the square root of the number of long-running tasks, in tasks of mean size: of that
 *   many independent tasks, so many are likely to start again at the same time. The rule is one of
 *   large numbers, so it takes no more than kMaxRestartShare of a pool with few tasks;
 * - at most half of the pool, the fair part of one of two kinds of work with equal rights.
 *
 * And each task needs a worker: the sum of many pieces of room may hold none of them.
 */
class StandingAdmission
{
public:
  /** Largest share of a pool that is kept for short work and restarts. */
  static constexpr double kMaxReservedShare = 0.5;
  /** Largest share of a pool that is kept for restarts alone. */
  static constexpr double kMaxRestartShare = 0.125;

  /** Adds the long-running tasks of a job to the promises of its pool. */
  static void addPromises(PoolPromises& aPool,
                          const std::vector<JobStep>& aSteps,
                          std::int64_t aOccurrences);

  /** Returns the reason to refuse the job, empty to accept it. A job without long-running tasks is
   * accepted, and so is any in a pool without known workers. */
  static std::optional<AdmissionRefusal> decide(const PoolPromises& aPool,
                                                const JobDescription& aJob);

  /** Whether the long-running tasks of a job have workers, each after those in aWaiting has got
   * one, if all other runs make room. Needs the workers of all pools. */
  static bool hasWorkers(std::vector<WorkerCandidate> aWorkers,
                         const std::vector<WaitingTasks>& aWaiting,
                         const std::string& aPoolName,
                         const JobDescription& aJob);
};

} // namespace magnoliadrum
