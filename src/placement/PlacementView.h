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
  /** Gets no new work. Its tasks are moved away. */
  bool draining = false;
  /** Held on the same VM by executors, so not available to tasks. */
  Resources reserved;
  /** Service entries whose executors run on the same VM. */
  std::vector<std::string> services;
  /** Latest report; tasks that it does not list keep their last known use. */
  TargetUsage usage;
  /** Leader's clock when the report arrived; nothing before the first one. */
  std::optional<MonotonicTime> usageAt;

  friend bool operator==(const WorkerView&, const WorkerView&) = default;
};

/** A task as the replicated state holds it, without its payload. */
struct TaskView
{
  std::string taskId;
  std::string entryName;
  TaskState state = TaskState::ePending;
  /** Epoch of the last placement; 0 before the first. */
  std::int64_t epoch = 0;
  /** Session that holds the task; 0 when none. */
  std::int64_t session = 0;
  std::string checkpoint;
  /** Starts that ended in a failure of the task. */
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
  /** Worker on whose VM the latency was measured; 0 for all VMs that run the entry together. */
  std::int64_t session = 0;
  /** 99th percentile of the period in milliseconds. */
  double latencyMs = 0;
  /** Requests in the period; a period without requests is ignored. */
  std::int64_t requests = 0;

  friend bool operator==(const ServiceObservation&, const ServiceObservation&) = default;
};

/**
 * What has changed since the last round, or everything.
 *
 * A complete view replaces all earlier ones: what it does not list is gone. A partial view lists
 * only new and changed records and names the removed ones, so its cost depends on the changes and
 * not on the size of the cluster.
 */
struct PlacementView
{
  bool complete = true;
  std::vector<CatalogueEntry> entries;
  /** Limits of the owners; what they use follows from their placed tasks. */
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
