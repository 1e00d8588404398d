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

/** Which work goes first. Lower values go first. */
enum class Priority : std::uint8_t
{
  eUrgent,
  eLatencyCritical,
  eBatch
};

constexpr std::size_t kPriorities = 3;

/** The policy's account of one worker. */
struct WorkerInfo
{
  bool open = false;
  bool draining = false;
  std::int64_t session = 0;
  std::uint32_t dataCentre = 0;
  std::uint32_t rack = 0;
  std::uint32_t targetName = 0;
  /** The VM less what executors hold. */
  ResourceAmount capacity;
  /** Sum of the reservations of its tasks. */
  ResourceAmount reserved;
  /** What the VM reported as used in total. */
  ResourceAmount reportedUse;
  std::vector<TaskIndex> tasks;
  /** Latency-critical ones among them. */
  std::int32_t latencyCriticalTasks = 0;
  /** Service entries whose executors share the VM. */
  std::vector<EntryIndex> services;
  std::int64_t usageAtMs = -1;
  /** Loads by entry in the latest report, which lags behind the tasks placed. */
  std::vector<EntryLoad> measuredLoads;
  /** Entry for which the worker is kept free; kNoIndex when none. */
  EntryIndex heldFor = kNoIndex;
  std::int64_t heldUntilMs = 0;

  ResourceAmount available() const { return capacity.minus(reserved); }
};

/** The policy's account of one task. */
struct TaskInfo
{
  std::string taskId;
  EntryIndex entry = kNoIndex;
  WorkerIndex worker = kNoIndex;
  /** Name index of the target on which the last attempt failed; a retry avoids it. */
  std::uint32_t failedTarget = kNoIndex;
  TaskState state = TaskState::ePending;
  bool stopRequested = false;
  /** A decision about it is not confirmed by a view yet. */
  bool unconfirmed = false;
  bool waiting = false;
  /** No worker can run it; it waits for one to join. */
  bool parked = false;
  /** Number of its latest place in the queue; earlier places are void. */
  std::uint32_t generation = 0;
  std::int32_t attempts = 0;
  std::int32_t evictions = 0;
  std::int64_t epoch = 0;
  std::int64_t waitingSinceMs = 0;
  /** Earliest start of a retry. */
  std::int64_t earliestRetryMs = 0;
  std::int64_t decidedAtMs = 0;
  std::int64_t startedAtMs = 0;
  std::uint64_t checkpointHash = 0;
  std::int64_t stopDecidedAtMs = 0;
  /** Its memory stopped growing, so its observed use counts instead of what its entry usually uses.
   */
  bool isMemoryStable = false;
  /** It ran long enough to count as a start that succeeded. */
  bool hasSucceeded = false;
  /** When a report last showed more memory than all before. */
  std::int64_t lastGrowthAtMs = 0;
  /** It was listed in a report since its start. */
  bool hasReported = false;
  /** Processor use in the latest report. */
  std::int64_t lastCpuMilli = 0;
  /** Highest use in the reports. */
  ResourceAmount peakUse;
  ResourceAmount reservation;
  /** Processor limit in force; 0 when none. */
  std::int64_t cpuLimitMilli = 0;
  /** The limit is for a service, not for the capacity of the VM. */
  bool isLimitedForService = false;
  float progress = 0;
  float checkpointProgress = 0;
};

/** The policy's account of one catalogue entry. */
struct EntryInfo
{
  bool known = false;
  std::string name;
  OwnerIndex owner = 0;
  EntryKind kind = EntryKind::eBatch;
  Priority priority = Priority::eBatch;
  bool latencyCritical = false;
  ResourceAmount declared;
  /** Sorted. */
  std::vector<std::uint32_t> dataCentres;
  std::int64_t replicas = 1;
  std::int64_t maxAttempts = 1;
  double objectiveMs = 0;
  std::int64_t placedTasks = 0;
  /** Capacity of the VM with the most processor time that can run the entry; zero if unknown. */
  ResourceAmount largestVm;
  /** Placed tasks per rack. */
  std::unordered_map<std::uint32_t, std::int32_t> placedPerRack;

  friend bool operator==(const EntryInfo&, const EntryInfo&) = default;

  bool allows(std::uint32_t aDataCentre) const
  {
    return std::binary_search(dataCentres.begin(), dataCentres.end(), aDataCentre);
  }
};

/** The policy's account of one owner. */
struct OwnerInfo
{
  /** Zero amounts mean no limit. */
  ResourceAmount quota;
  ResourceAmount used;

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
