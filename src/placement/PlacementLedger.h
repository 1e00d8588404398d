#pragma once

#include "placement/NameTable.h"
#include "placement/PlacementRecords.h"

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
 * Account of workers, tasks, entries and owners, and of what is reserved on each worker.
 *
 * Workers with room are indexed by data centre, accelerators and free processor time, so that a
 * placement does not look at every worker.
 */
class PlacementLedger
{
public:
  const std::vector<WorkerAccount>& workers() const { return mWorkers; }
  const std::vector<TaskAccount>& tasks() const { return mTasks; }
  const std::vector<EntryAccount>& entries() const { return mEntries; }
  const std::vector<OwnerAccount>& owners() const { return mOwners; }

  WorkerAccount& worker(WorkerIndex aIndex) { return mWorkers[aIndex]; }
  TaskAccount& task(TaskIndex aIndex) { return mTasks[aIndex]; }
  EntryAccount& entry(EntryIndex aIndex) { return mEntries[aIndex]; }
  OwnerAccount& owner(OwnerIndex aIndex) { return mOwners[aIndex]; }
  const WorkerAccount& worker(WorkerIndex aIndex) const { return mWorkers[aIndex]; }
  const TaskAccount& task(TaskIndex aIndex) const { return mTasks[aIndex]; }
  const EntryAccount& entry(EntryIndex aIndex) const { return mEntries[aIndex]; }
  const OwnerAccount& owner(OwnerIndex aIndex) const { return mOwners[aIndex]; }
  const std::string& dataCentreName(std::uint32_t aIndex) const { return mSites.nameOf(aIndex); }

  /** Returns the index of an entry by name and creates an unknown entry when there is none. */
  EntryIndex entryIndex(const std::string& aName);

  /** Returns whether anything that matters to placement changed; so does applyQuota(). */
  bool applyEntry(const CatalogueEntry& aEntry);
  void removeEntry(const std::string& aName);
  bool applyQuota(const OwnerQuota& aQuota);
  void removeQuota(const std::string& aOwner);

  std::optional<WorkerIndex> findWorker(std::int64_t aSession) const;
  /** Adds or changes a worker; its tasks stay. */
  WorkerIndex applyWorker(const WorkerView& aView);
  /** Forgets a worker. Its tasks have no worker from then on. */
  void removeWorker(std::int64_t aSession);

  std::optional<TaskIndex> findTask(const std::string& aTaskId) const;
  TaskIndex addTask(const TaskView& aView);
  void removeTask(TaskIndex aTask);

  /** Reserves room for a task on a worker. Precondition: the task has no worker. */
  void assign(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aReservation);
  /** Gives back the room of a task; no effect when it has no worker. */
  void release(TaskIndex aTask);
  /** Changes how much is reserved for a task that has a worker. */
  void reserve(TaskIndex aTask, const ResourceAmount& aReservation);

  /** Data centre and capacity of a VM. */
  using Shape = std::pair<std::uint32_t, ResourceAmount>;
  /** Workers per shape. A cluster has few shapes, so what depends only on them is cheap to find. */
  const std::map<Shape, std::size_t>& shapes() const { return mShapes; }

  /** Sum over the open workers. */
  const ResourceAmount& totalCapacity() const { return mTotal; }

  /**
   * Counts the events that gave a worker more room. freedSince(n) lists the workers of all events
   * after the n-th, so that work that did not fit is compared only with those.
   */
  std::uint64_t freedCount() const { return mFreedBase + mFreed.size(); }
  void markFreed(WorkerIndex aWorker);
  /** Nothing when events after aCount are forgotten already; then all workers must be looked at. */
  std::optional<std::pair<const WorkerIndex*, std::size_t>> freedSince(std::uint64_t aCount) const;

  /** Workers of one data centre, with or without accelerators, by free processor time. */
  using RoomIndex = std::set<std::pair<std::int64_t, WorkerIndex>>;
  const RoomIndex& roomIndex(std::uint32_t aDataCentre, bool aHasAccelerators) const;

  std::size_t bytes() const;

private:
  OwnerIndex ownerIndex(const std::string& aName);
  void moveToOwner(EntryIndex aEntry, OwnerIndex aOwner);
  void countShape(const WorkerAccount& aWorker);
  void uncountShape(const WorkerAccount& aWorker);
  void index(WorkerIndex aWorker);
  void unindex(WorkerIndex aWorker);
  RoomIndex& roomIndexOf(const WorkerAccount& aWorker);
  void changeReserved(WorkerIndex aWorker, const ResourceAmount& aReserved);

  NameTable mEntryNames;
  NameTable mOwnerNames;
  NameTable mSites;
  NameTable mRacks;
  NameTable mTargets;
  std::vector<WorkerAccount> mWorkers;
  std::vector<WorkerIndex> mUnusedWorkers;
  std::vector<TaskAccount> mTasks;
  std::vector<TaskIndex> mUnusedTasks;
  std::vector<EntryAccount> mEntries;
  std::vector<OwnerAccount> mOwners;
  std::unordered_map<std::int64_t, WorkerIndex> mWorkerBySession;
  std::unordered_map<std::string, TaskIndex> mTaskById;
  std::vector<RoomIndex> mRoom;
  std::vector<WorkerIndex> mFreed;
  std::uint64_t mFreedBase = 0;
  std::map<Shape, std::size_t> mShapes;
  ResourceAmount mTotal;
};

} // namespace magnoliadrum
