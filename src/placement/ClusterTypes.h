#pragma once

#include "placement/InterferenceModel.h"
#include "placement/PlacementView.h"
#include "placement/ResourceAmount.h"

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

using WorkerIndex = std::uint32_t;
using TaskIndex = std::uint32_t;
using EntryIndex = std::uint32_t;
using OwnerIndex = std::uint32_t;

constexpr std::uint32_t kNoIndex = std::numeric_limits<std::uint32_t>::max();

/** Scheduling priority. Lower values are placed first. */
enum class Priority : std::uint8_t
{
  eUrgent,
  eLatencyCritical,
  eBatch
};

constexpr std::size_t kPriorities = 3;

/** State of one worker as the policy tracks it. */
struct WorkerInfo
{
  /** The worker's session is open; false for an unused slot. */
  bool open = false;
  bool draining = false;
  std::int64_t session = 0;
  std::uint32_t dataCentre = 0;
  std::uint32_t rack = 0;
  std::uint32_t targetName = 0;
  /** Capacity of the VM minus the resources reserved by executors. */
  ResourceAmount capacity;
  /** Sum of the reservations of the assigned tasks. */
  ResourceAmount reserved;
  /** Total use in the latest report of the VM. */
  ResourceAmount reportedUse;
  std::vector<TaskIndex> tasks;
  /** Number of latency-critical tasks among the assigned tasks. */
  std::int32_t latencyCriticalTasks = 0;
  /** Service entries whose executors run on the same VM. */
  std::vector<EntryIndex> services;
  /** Time of the latest usage report; -1 before the first one. */
  std::int64_t usageAtMs = -1;
  /** Load per entry in the latest report; the report lags behind the placements. */
  std::vector<EntryLoad> measuredLoads;
  /** Entry for which the worker is held free; kNoIndex when none. */
  EntryIndex heldFor = kNoIndex;
  std::int64_t heldUntilMs = 0;

  ResourceAmount available() const { return capacity.minus(reserved); }
};

/** State of one task as the policy tracks it. */
struct TaskInfo
{
  std::string taskId;
  EntryIndex entry = kNoIndex;
  WorkerIndex worker = kNoIndex;
  /** Name index of the target on which the last attempt failed; a retry avoids this target. */
  std::uint32_t failedTarget = kNoIndex;
  TaskState state = TaskState::ePending;
  bool stopRequested = false;
  /** No view has confirmed its latest placement yet. */
  bool unconfirmed = false;
  bool waiting = false;
  /** No registered worker can run it; it is set aside until a suitable worker registers. */
  bool parked = false;
  /** Changes whenever the task is queued or dequeued; queue items with an older value are stale. */
  std::uint32_t generation = 0;
  std::int32_t attempts = 0;
  std::int32_t evictions = 0;
  std::int64_t epoch = 0;
  std::int64_t waitingSinceMs = 0;
  /** Earliest time of a retry. */
  std::int64_t earliestRetryMs = 0;
  std::int64_t decidedAtMs = 0;
  std::int64_t startedAtMs = 0;
  std::uint64_t checkpointHash = 0;
  /** Time of an eviction that no view has confirmed; 0 when none. */
  std::int64_t stopDecidedAtMs = 0;
  /** Its memory use stopped growing, so its own peak replaces the estimate for its entry. */
  bool isMemoryStable = false;
  /** It ran long enough for its start to count as successful. */
  bool hasSucceeded = false;
  /** When its peak memory use last grew noticeably. */
  std::int64_t lastGrowthAtMs = 0;
  /** A usage report has listed it since its start. */
  bool hasReported = false;
  /** CPU use in the latest report. */
  std::int64_t lastCpuMilli = 0;
  /** Highest reported use of each resource. */
  ResourceAmount peakUse;
  ResourceAmount reservation;
  /** CPU limit in force; 0 when none. */
  std::int64_t cpuLimitMilli = 0;
  /** The CPU limit protects a service rather than the capacity of the VM. */
  bool isLimitedForService = false;
  float progress = 0;
  float checkpointProgress = 0;
};

/** State of one catalogue entry as the policy tracks it. */
struct EntryInfo
{
  /** The catalogue contains the entry; tasks may refer to an entry that it does not contain. */
  bool known = false;
  std::string name;
  OwnerIndex owner = 0;
  EntryKind kind = EntryKind::eBatch;
  Priority priority = Priority::eBatch;
  bool latencyCritical = false;
  ResourceAmount declared;
  /** Indexes of the allowed data centres, sorted. */
  std::vector<std::uint32_t> dataCentres;
  std::int64_t replicas = 1;
  std::int64_t maxAttempts = 1;
  /** Latency objective; 0 when none. */
  double objectiveMs = 0;
  std::int64_t placedTasks = 0;
  /** Capacity of the VM with the most CPU among those that can run the entry; zero if unknown. */
  ResourceAmount largestVm;
  /** Number of placed tasks by rack index. */
  std::unordered_map<std::uint32_t, std::int32_t> placedPerRack;

  friend bool operator==(const EntryInfo&, const EntryInfo&) = default;

  bool allows(std::uint32_t aDataCentre) const
  {
    return std::binary_search(dataCentres.begin(), dataCentres.end(), aDataCentre);
  }
};

/** Quota and use of one owner. */
struct OwnerInfo
{
  /** A zero amount means no limit on that resource. */
  ResourceAmount quota;
  ResourceAmount used;

  /** Returns whether aMore fits within the quota. */
  bool admits(const ResourceAmount& aMore) const
  {
    const auto within = [](std::int64_t aUsed, std::int64_t aAdded, std::int64_t aLimit) {
      return aLimit == 0 || aAdded == 0 || aUsed + aAdded <= aLimit;
    };
    return within(used.cpuMilli, aMore.cpuMilli, quota.cpuMilli) &&
           within(used.memoryMb, aMore.memoryMb, quota.memoryMb) &&
           within(used.accelerators, aMore.accelerators, quota.accelerators);
  }
};

} // namespace magnoliadrum
