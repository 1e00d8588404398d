#pragma once

#include "jobs/WorkerCandidate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A task that may have crashed a worker and waits for its next run. */
struct TrialTask
{
  TaskId task;
  std::string poolName;
  /** Number of workers that crashed shortly after they had started the task. */
  std::int64_t crashes = 0;
  /** Relay of the worker that crashed last. */
  std::string crashPlace;
  /** See CrashAttribution::needsOwnWorker(). */
  bool needsOwnWorker = true;

  friend bool operator==(const TrialTask&, const TrialTask&) = default;
};

/** Whether a worker can take a task. */
enum class TrialFit
{
  eNever, /**< The worker may not run the task. */
  eLater, /**< It may, but has no free capacity now. */
  eNow    /**< It can take the task now. */
};

/**
 * Chooses workers for the runs of suspected tasks so that another crash names its cause.
 *
 * A trial gets a worker on which every other run is known to be harmless, and no other run is
 * assigned to that worker until the trial run is harmless too. If there is no such worker, one is
 * reserved and its recent runs are awaited. At most a third of a pool is reserved, and beyond that
 * the workers that are left idle. Tasks with a single crash share workers when there are more of
 * them than workers for trials; a later crash leaves fewer suspects, which are then tried alone.
 * For a task that does not need a worker of its own none is awaited: the scheduler places it like
 * others, and its worker is reserved as long as that leaves two thirds of the pool.
 */
class TrialPlanner
{
public:
  /** The reciprocal of the share of a pool's workers that trials may reserve. */
  static constexpr std::size_t kWorkersPerTrial = 3;

  using Fit = std::function<TrialFit(const WorkerCandidate&)>;

  TrialPlanner(std::vector<WorkerCandidate>& aWorkers, const std::vector<TrialTask>& aWaiting);

  /** Returns the worker for the task's next run, or null if the task has to wait. Marks the chosen
   * worker as reserved. */
  WorkerCandidate* choose(const TrialTask& aTask, const Fit& aFit);

  /** Returns a worker beyond the share for trials, on which all runs are known to be harmless and
   * which can take the task now, or null. To be called once all other tasks are assigned, so that
   * trials neither hold up other tasks nor wait beside idle workers. */
  WorkerCandidate* chooseIdle(const TrialTask& aTask, const Fit& aFit);

private:
  /** The trials of a pool. */
  struct Pool
  {
    std::size_t workers = 0;
    std::size_t reserved = 0;
    std::size_t firstTrials = 0;

    std::size_t maxReserved() const;
    /** Number of tasks with a single crash that share a worker. */
    std::size_t groupSize() const;
  };

  bool canShare(const WorkerCandidate& aWorker, const TrialTask& aTask, const Pool& aPool) const;

  std::vector<WorkerCandidate>& mWorkers;
  std::map<std::string, Pool> mPools;
  /** Number of tasks with a single crash that this round assigns, by worker. */
  std::map<std::string, std::size_t> mGroups;
};

} // namespace magnoliadrum
