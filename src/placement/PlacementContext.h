#pragma once

#include "placement/ClusterModel.h"
#include "placement/FailureTracker.h"
#include "placement/InterferenceModel.h"
#include "placement/PlacementDecision.h"
#include "placement/PlacementOptions.h"
#include "placement/SizeEstimator.h"
#include "placement/WaitingTasks.h"

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** State shared by the parts of the policy: cluster model, learned models and current round. */
struct PlacementContext
{
  PlacementContext(PlacementOptions aOptions, std::mt19937_64 aRandom)
    : options(std::move(aOptions))
    , random(aRandom)
    , waiting(cluster)
  {
  }

  PlacementOptions options;
  std::mt19937_64 random;
  ClusterModel cluster;
  WaitingTasks waiting;
  SizeEstimator sizes;
  FailureTracker failures;
  InterferenceModel interference;
  std::vector<PlacementDecision> decisions;
  /** Tasks whose placement no view has confirmed. */
  std::vector<TaskIndex> unconfirmedPlacements;
  /** Tasks whose eviction no view has confirmed. */
  std::vector<TaskIndex> unconfirmedStops;
  /** Workers with a new usage report in the current round. */
  std::vector<WorkerIndex> reportedWorkers;
  std::int64_t nowMs = 0;
  /** Workers, entries or quotas changed in the current round. */
  bool topologyChanged = false;

  bool hasReachedDecisionLimit() const { return decisions.size() >= options.maxDecisions; }

  /** Returns the resources to reserve for a new task of an entry. */
  ResourceAmount reservationForEntry(EntryIndex aEntry) const;

  /** Number of standard deviations reserved on top of the mean learned use. */
  double cpuDeviations() const;
  double memoryDeviations() const;

  /** Returns the resources to reserve for a task that runs or has run before. */
  ResourceAmount reservationForTask(const TaskInfo& aTask) const;

  /** Returns the memory in MB that a task is expected to use. */
  std::int64_t expectedMemory(const TaskInfo& aTask) const;

  /** Returns the expected CPU use of a task, capped by its limit. */
  std::int64_t expectedCpu(const TaskInfo& aTask) const;

  /** Returns the expected load on a worker by entry, without the tasks of aExcludedEntry. */
  std::vector<EntryLoad> loadsOn(WorkerIndex aWorker, EntryIndex aExcludedEntry) const;

  /**
   * Returns the latency goal of a service: its objective, or twice its predicted latency without
   * load and neighbours; 0 when neither is known.
   */
  double latencyGoalMs(EntryIndex aService) const;

  /** Returns the services on a worker: executors on its VM and latency-critical tasks. */
  std::vector<EntryIndex> servicesOn(WorkerIndex aWorker) const;

  /** Returns the CPU share that a service's own tasks use on a worker. */
  double ownLoad(WorkerIndex aWorker, EntryIndex aService) const;

  /** Returns the cost of stopping a task: lost minutes of work, more for each earlier eviction. */
  double evictionCost(const TaskInfo& aTask) const;

  /** Adds an eviction to the decisions and marks the task as stopping. */
  void evict(TaskIndex aTask, const std::string& aReason);
};

} // namespace magnoliadrum
