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

/** What the parts of the policy share: the account, what was learned, and the current round. */
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
  /** Tasks with a placement that no view has confirmed. */
  std::vector<TaskIndex> unconfirmedPlacements;
  /** Tasks with a stop that no view has confirmed. */
  std::vector<TaskIndex> unconfirmedStops;
  /** Workers with a new usage report in this round. */
  std::vector<WorkerIndex> reportedWorkers;
  std::int64_t nowMs = 0;
  /** Workers, entries or quotas changed in this round. */
  bool topologyChanged = false;

  bool hasReachedDecisionLimit() const { return decisions.size() >= options.maxDecisions; }

  /** Returns what to reserve for a new task of an entry. */
  ResourceAmount reservationFor(EntryIndex aEntry) const;

  /** Standard deviations of the learned use that are reserved on top of its mean. */
  double cpuDeviations() const;
  double memoryDeviations() const;

  /** Returns what to reserve for a task that runs or was observed before. */
  ResourceAmount reservationForTask(const TaskInfo& aTask) const;

  /** Returns the memory that a task is expected to use. */
  std::int64_t expectedMemory(const TaskInfo& aTask) const;

  /** Returns the expected processor use of a task under its limit. */
  std::int64_t expectedCpu(const TaskInfo& aTask) const;

  /** Returns the expected loads on a worker by entry, without the tasks of aExcept. */
  std::vector<EntryLoad> loadsOn(WorkerIndex aWorker, EntryIndex aExcludedEntry) const;

  /** Latency that an entry should keep: its objective, or twice its latency alone; 0 if unknown. */
  double latencyGoalMs(EntryIndex aService) const;

  /** Service entries on a worker: executors on its VM and latency-critical tasks. */
  std::vector<EntryIndex> servicesOn(WorkerIndex aWorker) const;

  /** Processor share of a service's own tasks on a worker. */
  double ownLoad(WorkerIndex aWorker, EntryIndex aService) const;

  /** Cost of stopping a task: minutes of work that are lost, more for each earlier eviction. */
  double evictionCost(const TaskInfo& aTask) const;

  /** Emits an eviction and marks the task as stopping. */
  void evict(TaskIndex aTask, const std::string& aReason);
};

} // namespace magnoliadrum
