#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A worker with an open session. */
struct WorkerView
{
  /** Session of the worker's agent; identifies the worker in decisions. */
  std::int64_t session = 0;
  TargetDescription target;
  /** The worker gets no new tasks, and its tasks are moved away. */
  bool draining = false;
  /** Resources on the same VM that executors hold and tasks cannot use. */
  Resources reserved;
  /** Service entries whose executors run on the same VM. */
  std::vector<std::string> services;
  /** Latest usage report; tasks that it does not list keep their last known use. */
  TargetUsage usage;
  /** Arrival time of the report by the leader's clock; empty before the first report. */
  std::optional<MonotonicTime> usageAt;

  friend bool operator==(const WorkerView&, const WorkerView&) = default;
};

/** A task from the replicated state, without its payload. */
struct TaskView
{
  std::string taskId;
  std::string entryName;
  TaskState state = TaskState::ePending;
  /** Epoch of the last placement; 0 before the first. */
  std::int64_t epoch = 0;
  /** Session to which the task is assigned; 0 when none. */
  std::int64_t session = 0;
  std::string checkpoint;
  /** Number of starts that ended with a failure of the task. */
  std::int64_t attempts = 0;
  std::int64_t evictions = 0;
  bool stopRequested = false;
  bool cancelRequested = false;

  static TaskView fromRecord(const TaskRecord& aRecord);

  friend bool operator==(const TaskView&, const TaskView&) = default;
};

/** Latency of one service over a recent period. */
struct ServiceObservation
{
  std::string entryName;
  /** Session of the worker on whose VM the latency was measured; 0 for all VMs of the entry. */
  std::int64_t session = 0;
  /** 99th percentile over the period in milliseconds. */
  double latencyMs = 0;
  /** Number of requests in the period; a period without requests is ignored. */
  std::int64_t requests = 0;

  friend bool operator==(const ServiceObservation&, const ServiceObservation&) = default;
};

/**
 * Input of a round: the whole cluster, or the changes since the last round.
 *
 * A complete view replaces all earlier ones: workers and tasks that it does not list are removed. A
 * partial view lists only new, changed and removed records, so its cost depends on the number of
 * changes and not on the size of the cluster.
 */
struct PlacementView
{
  bool complete = true;
  std::vector<CatalogueEntry> entries;
  /** Resource limits of the owners; their use is computed from their placed tasks. */
  std::vector<OwnerQuota> quotas;
  std::vector<WorkerView> workers;
  std::vector<TaskView> tasks;
  /** Observations since the last round, whether or not the view is complete. */
  std::vector<ServiceObservation> services;

  std::vector<std::string> removedEntries;
  std::vector<std::string> removedQuotas;
  std::vector<std::int64_t> removedSessions;
  std::vector<std::string> removedTasks;

  friend bool operator==(const PlacementView&, const PlacementView&) = default;
};

} // namespace magnoliadrum
