#pragma once

#include "placement/ClusterTypes.h"
#include "placement/NameTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnoliadrum {

/**
 * State of the workers, tasks, entries and owners, and of the reservations on each worker.
 *
 * Workers are indexed by data centre, accelerators and free CPU so that a placement does not have
 * to check every worker.
 */
class ClusterModel
{
public:
  const std::vector<WorkerInfo>& workers() const { return mWorkers; }
  const std::vector<TaskInfo>& tasks() const { return mTasks; }
  const std::vector<EntryInfo>& entries() const { return mEntries; }
  const std::vector<OwnerInfo>& owners() const { return mOwners; }

  WorkerInfo& worker(WorkerIndex aIndex) { return mWorkers[aIndex]; }
  TaskInfo& task(TaskIndex aIndex) { return mTasks[aIndex]; }
  EntryInfo& entry(EntryIndex aIndex) { return mEntries[aIndex]; }
  OwnerInfo& owner(OwnerIndex aIndex) { return mOwners[aIndex]; }
  const WorkerInfo& worker(WorkerIndex aIndex) const { return mWorkers[aIndex]; }
  const TaskInfo& task(TaskIndex aIndex) const { return mTasks[aIndex]; }
  const EntryInfo& entry(EntryIndex aIndex) const { return mEntries[aIndex]; }
  const OwnerInfo& owner(OwnerIndex aIndex) const { return mOwners[aIndex]; }
  const std::string& dataCentreName(std::uint32_t aIndex) const
  {
    return mDataCentreNames.nameOf(aIndex);
  }

  /** Returns the index of an entry by name; adds one that is not in the catalogue if necessary. */
  EntryIndex entryIndex(const std::string& aName);

  /** Returns whether anything relevant to placement changed, as does applyQuota(). */
  bool applyEntry(const CatalogueEntry& aEntry);
  void removeEntry(const std::string& aName);
  bool applyQuota(const OwnerQuota& aQuota);
  void removeQuota(const std::string& aOwner);

  std::optional<WorkerIndex> findWorker(std::int64_t aSession) const;
  /** Adds or updates a worker; the tasks of an existing worker remain assigned. */
  WorkerIndex applyWorker(const WorkerView& aView);
  /** Removes a worker and releases its tasks. */
  void removeWorker(std::int64_t aSession);

  std::optional<TaskIndex> findTask(const std::string& aTaskId) const;
  TaskIndex addTask(const TaskView& aView);
  void removeTask(TaskIndex aTask);

  /** Assigns a task to a worker and reserves resources. Precondition: the task has no worker. */
  void assign(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aReservation);
  /** Unassigns a task and releases its reservation; no effect when it has no worker. */
  void release(TaskIndex aTask);
  /** Changes the reservation of a task; no effect when it has no worker. */
  void setReservation(TaskIndex aTask, const ResourceAmount& aReservation);

  /** Data centre and capacity of a VM. */
  using VmShape = std::pair<std::uint32_t, ResourceAmount>;
  /** Number of workers by shape. Feasibility checks iterate over shapes because there are few. */
  const std::map<VmShape, std::size_t>& vmShapes() const { return mVmShapes; }

  /** Total capacity of the open workers. */
  const ResourceAmount& totalCapacity() const { return mTotalCapacity; }

  /**
   * Number of freed-worker events, which mark workers that may take tasks that did not fit before.
   * freedSince(n) lists the workers of all events after the n-th, so that only these are retried.
   */
  std::uint64_t freedEventCount() const { return mFirstFreedEvent + mFreedEvents.size(); }
  void markFreed(WorkerIndex aWorker);
  /** Empty when events after aCount were already discarded; then all workers must be checked. */
  std::optional<std::pair<const WorkerIndex*, std::size_t>> freedSince(std::uint64_t aCount) const;

  /** Workers of one data centre, with or without accelerators, ordered by free CPU. */
  using FreeCpuIndex = std::set<std::pair<std::int64_t, WorkerIndex>>;
  const FreeCpuIndex& freeCpuIndex(std::uint32_t aDataCentre, bool aHasAccelerators) const;

  std::size_t bytes() const;

private:
  OwnerIndex ownerIndex(const std::string& aName);
  void moveToOwner(EntryIndex aEntry, OwnerIndex aOwner);
  void addToTotals(const WorkerInfo& aWorker);
  void removeFromTotals(const WorkerInfo& aWorker);
  void addToIndex(WorkerIndex aWorker);
  void removeFromIndex(WorkerIndex aWorker);
  FreeCpuIndex& freeCpuIndexOf(const WorkerInfo& aWorker);
  void changeReserved(WorkerIndex aWorker, const ResourceAmount& aReserved);

  NameTable mEntryNames;
  NameTable mOwnerNames;
  NameTable mDataCentreNames;
  NameTable mRackNames;
  NameTable mTargetNames;
  std::vector<WorkerInfo> mWorkers;
  std::vector<WorkerIndex> mFreeWorkerSlots;
  std::vector<TaskInfo> mTasks;
  std::vector<TaskIndex> mFreeTaskSlots;
  std::vector<EntryInfo> mEntries;
  std::vector<OwnerInfo> mOwners;
  std::unordered_map<std::int64_t, WorkerIndex> mWorkerBySession;
  std::unordered_map<std::string, TaskIndex> mTaskById;
  std::vector<FreeCpuIndex> mFreeCpuIndexes;
  std::vector<WorkerIndex> mFreedEvents;
  /** Number of discarded freed-worker events. */
  std::uint64_t mFirstFreedEvent = 0;
  std::map<VmShape, std::size_t> mVmShapes;
  ResourceAmount mTotalCapacity;
};

} // namespace magnoliadrum
