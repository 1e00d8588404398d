#include "placement/ClusterModel.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

namespace {

constexpr std::size_t kMaxFreedEvents = 65536;

Priority
priorityOf(const CatalogueEntry& aEntry)
{
  if (aEntry.urgent()) {
    return Priority::eUrgent;
  }
  return aEntry.workClass() == WorkClass::eLatencyCritical ? Priority::eLatencyCritical
                                                           : Priority::eBatch;
}

} // namespace

EntryIndex
ClusterModel::entryIndex(const std::string& aName)
{
  const EntryIndex found = mEntryNames.indexOf(aName);
  if (found == mEntries.size()) {
    mEntries.emplace_back();
    mEntries.back().name = aName;
    mEntries.back().owner = ownerIndex("");
  }
  return found;
}

OwnerIndex
ClusterModel::ownerIndex(const std::string& aName)
{
  const OwnerIndex found = mOwnerNames.indexOf(aName);
  if (found == mOwners.size()) {
    mOwners.emplace_back();
  }
  return found;
}

void
ClusterModel::moveToOwner(EntryIndex aEntry, OwnerIndex aOwner)
{
  const OwnerIndex before = mEntries[aEntry].owner;
  if (before == aOwner) {
    return;
  }
  for (const TaskInfo& moved : mTasks) {
    if (moved.entry == aEntry && moved.worker != kNoIndex) {
      mOwners[before].used = mOwners[before].used.minus(moved.reservation);
      mOwners[aOwner].used = mOwners[aOwner].used.plus(moved.reservation);
    }
  }
  mEntries[aEntry].owner = aOwner;
}

bool
ClusterModel::applyEntry(const CatalogueEntry& aEntry)
{
  const EntryIndex changedIndex = entryIndex(aEntry.name());
  moveToOwner(changedIndex, ownerIndex(aEntry.owner()));
  EntryInfo& changed = mEntries[changedIndex];
  const EntryInfo before = changed;
  changed.known = true;
  changed.kind = aEntry.kind();
  changed.priority = priorityOf(aEntry);
  changed.latencyCritical = aEntry.workClass() == WorkClass::eLatencyCritical;
  changed.declared = ResourceAmount::of(aEntry.resources());
  changed.dataCentres.clear();
  for (const std::string& name : aEntry.dataCentres()) {
    changed.dataCentres.push_back(mDataCentreNames.indexOf(name));
  }
  std::sort(changed.dataCentres.begin(), changed.dataCentres.end());
  mFreeCpuIndexes.resize(mDataCentreNames.size() * 2);
  changed.replicas = aEntry.limits().replicas();
  changed.maxAttempts = aEntry.limits().maxAttempts();
  changed.objectiveMs =
    aEntry.objective() ? static_cast<double>(aEntry.objective()->latencyMs()) : 0.0;
  return before != changed;
}

void
ClusterModel::removeEntry(const std::string& aName)
{
  mEntries[entryIndex(aName)].known = false;
}

bool
ClusterModel::applyQuota(const OwnerQuota& aQuota)
{
  const ResourceAmount quota = ResourceAmount::of(aQuota.resources());
  return std::exchange(mOwners[ownerIndex(aQuota.owner())].quota, quota) != quota;
}

void
ClusterModel::removeQuota(const std::string& aOwner)
{
  mOwners[ownerIndex(aOwner)].quota = {};
}

std::optional<WorkerIndex>
ClusterModel::findWorker(std::int64_t aSession) const
{
  const auto position = mWorkerBySession.find(aSession);
  if (position == mWorkerBySession.end()) {
    return std::nullopt;
  }
  return position->second;
}

WorkerIndex
ClusterModel::applyWorker(const WorkerView& aView)
{
  const auto [position, isNew] = mWorkerBySession.try_emplace(aView.session, kNoIndex);
  if (isNew) {
    if (mFreeWorkerSlots.empty()) {
      mFreeWorkerSlots.push_back(static_cast<WorkerIndex>(mWorkers.size()));
      mWorkers.emplace_back();
    }
    position->second = mFreeWorkerSlots.back();
    mFreeWorkerSlots.pop_back();
    mWorkers[position->second] = {};
  } else {
    removeFromIndex(position->second);
  }
  const WorkerIndex found = position->second;
  WorkerInfo& changed = mWorkers[found];
  const ResourceAmount availableBefore = isNew ? ResourceAmount{} : changed.available();
  const bool drainingBefore = changed.draining;
  if (!isNew) {
    removeFromTotals(changed);
  }
  changed.open = true;
  changed.session = aView.session;
  changed.draining = aView.draining;
  changed.dataCentre = mDataCentreNames.indexOf(aView.target.dataCentre());
  changed.rack = mRackNames.indexOf(aView.target.dataCentre() + "/" + aView.target.rack());
  changed.targetName = mTargetNames.indexOf(aView.target.targetId());
  changed.capacity =
    ResourceAmount::of(aView.target.capacity()).minus(ResourceAmount::of(aView.reserved));
  changed.services.clear();
  for (const std::string& name : aView.services) {
    changed.services.push_back(entryIndex(name));
  }
  addToTotals(changed);
  mFreeCpuIndexes.resize(mDataCentreNames.size() * 2);
  addToIndex(found);
  if (isNew || drainingBefore || !changed.available().fitsIn(availableBefore)) {
    markFreed(found);
  }
  return found;
}

void
ClusterModel::addToTotals(const WorkerInfo& aWorker)
{
  mTotalCapacity = mTotalCapacity.plus(aWorker.capacity);
  ++mVmShapes[{ aWorker.dataCentre, aWorker.capacity }];
}

void
ClusterModel::removeFromTotals(const WorkerInfo& aWorker)
{
  mTotalCapacity = mTotalCapacity.minus(aWorker.capacity);
  const auto counted = mVmShapes.find({ aWorker.dataCentre, aWorker.capacity });
  if (--counted->second == 0) {
    mVmShapes.erase(counted);
  }
}

void
ClusterModel::removeWorker(std::int64_t aSession)
{
  const auto position = mWorkerBySession.find(aSession);
  if (position == mWorkerBySession.end()) {
    return;
  }
  const WorkerIndex removed = position->second;
  const std::vector<TaskIndex> assignedTasks = mWorkers[removed].tasks;
  for (const TaskIndex task : assignedTasks) {
    release(task);
  }
  removeFromIndex(removed);
  removeFromTotals(mWorkers[removed]);
  mWorkers[removed] = {};
  mWorkerBySession.erase(position);
  mFreeWorkerSlots.push_back(removed);
}

std::optional<TaskIndex>
ClusterModel::findTask(const std::string& aTaskId) const
{
  const auto position = mTaskById.find(aTaskId);
  if (position == mTaskById.end()) {
    return std::nullopt;
  }
  return position->second;
}

TaskIndex
ClusterModel::addTask(const TaskView& aView)
{
  if (mFreeTaskSlots.empty()) {
    mFreeTaskSlots.push_back(static_cast<TaskIndex>(mTasks.size()));
    mTasks.emplace_back();
  }
  const TaskIndex added = mFreeTaskSlots.back();
  mFreeTaskSlots.pop_back();
  mTasks[added].taskId = aView.taskId;
  mTasks[added].entry = entryIndex(aView.entryName);
  mTaskById.emplace(aView.taskId, added);
  return added;
}

void
ClusterModel::removeTask(TaskIndex aTask)
{
  release(aTask);
  mTaskById.erase(mTasks[aTask].taskId);
  // Queues may still contain the index with an earlier generation.
  const std::uint32_t generation = mTasks[aTask].generation + 1;
  mTasks[aTask] = {};
  mTasks[aTask].generation = generation;
  mFreeTaskSlots.push_back(aTask);
}

void
ClusterModel::assign(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aReservation)
{
  TaskInfo& assigned = mTasks[aTask];
  assert(assigned.worker == kNoIndex);
  WorkerInfo& assignedWorker = mWorkers[aWorker];
  EntryInfo& entryOfTask = mEntries[assigned.entry];
  assigned.worker = aWorker;
  assigned.reservation = aReservation;
  assignedWorker.tasks.push_back(aTask);
  mOwners[entryOfTask.owner].used = mOwners[entryOfTask.owner].used.plus(aReservation);
  assignedWorker.latencyCriticalTasks += entryOfTask.latencyCritical ? 1 : 0;
  ++entryOfTask.placedTasks;
  ++entryOfTask.placedPerRack[assignedWorker.rack];
  changeReserved(aWorker, assignedWorker.reserved.plus(aReservation));
}

void
ClusterModel::release(TaskIndex aTask)
{
  TaskInfo& released = mTasks[aTask];
  if (released.worker == kNoIndex) {
    return;
  }
  const WorkerIndex workerIndex = released.worker;
  WorkerInfo& assignedWorker = mWorkers[workerIndex];
  EntryInfo& entryOfTask = mEntries[released.entry];
  std::erase(assignedWorker.tasks, aTask);
  OwnerInfo& ownerOfTask = mOwners[entryOfTask.owner];
  ownerOfTask.used = ownerOfTask.used.minus(released.reservation);
  --entryOfTask.placedTasks;
  const bool wasCritical = entryOfTask.latencyCritical && assignedWorker.latencyCriticalTasks > 0;
  assignedWorker.latencyCriticalTasks -= wasCritical ? 1 : 0;
  const auto replicas = entryOfTask.placedPerRack.find(assignedWorker.rack);
  if (replicas != entryOfTask.placedPerRack.end() && --replicas->second <= 0) {
    entryOfTask.placedPerRack.erase(replicas);
  }
  const ResourceAmount reservedAfter = assignedWorker.reserved.minus(released.reservation);
  released.worker = kNoIndex;
  released.reservation = {};
  released.cpuLimitMilli = 0;
  released.isLimitedForService = false;
  changeReserved(workerIndex, reservedAfter);
  markFreed(workerIndex);
}

void
ClusterModel::setReservation(TaskIndex aTask, const ResourceAmount& aReservation)
{
  TaskInfo& changed = mTasks[aTask];
  if (changed.worker == kNoIndex || changed.reservation == aReservation) {
    return;
  }
  OwnerInfo& ownerOfTask = mOwners[mEntries[changed.entry].owner];
  ownerOfTask.used = ownerOfTask.used.minus(changed.reservation).plus(aReservation);
  const bool givesBack = !changed.reservation.fitsIn(aReservation);
  const ResourceAmount reserved =
    mWorkers[changed.worker].reserved.minus(changed.reservation).plus(aReservation);
  changed.reservation = aReservation;
  changeReserved(changed.worker, reserved);
  if (givesBack) {
    markFreed(changed.worker);
  }
}

void
ClusterModel::markFreed(WorkerIndex aWorker)
{
  if (mFreedEvents.size() >= kMaxFreedEvents) {
    mFirstFreedEvent += mFreedEvents.size();
    mFreedEvents.clear();
  }
  mFreedEvents.push_back(aWorker);
}

std::optional<std::pair<const WorkerIndex*, std::size_t>>
ClusterModel::freedSince(std::uint64_t aCount) const
{
  if (aCount < mFirstFreedEvent) {
    return std::nullopt;
  }
  const std::size_t skipped = aCount - mFirstFreedEvent;
  return std::pair{ mFreedEvents.data() + skipped, mFreedEvents.size() - skipped };
}

const ClusterModel::FreeCpuIndex&
ClusterModel::freeCpuIndex(std::uint32_t aDataCentre, bool aHasAccelerators) const
{
  return mFreeCpuIndexes[aDataCentre * 2 + (aHasAccelerators ? 1 : 0)];
}

ClusterModel::FreeCpuIndex&
ClusterModel::freeCpuIndexOf(const WorkerInfo& aWorker)
{
  return mFreeCpuIndexes[aWorker.dataCentre * 2 + (aWorker.capacity.accelerators > 0 ? 1 : 0)];
}

void
ClusterModel::addToIndex(WorkerIndex aWorker)
{
  const WorkerInfo& indexed = mWorkers[aWorker];
  if (!indexed.draining) {
    freeCpuIndexOf(indexed).emplace(indexed.available().cpuMilli, aWorker);
  }
}

void
ClusterModel::removeFromIndex(WorkerIndex aWorker)
{
  const WorkerInfo& indexed = mWorkers[aWorker];
  freeCpuIndexOf(indexed).erase({ indexed.available().cpuMilli, aWorker });
}

void
ClusterModel::changeReserved(WorkerIndex aWorker, const ResourceAmount& aReserved)
{
  if (mWorkers[aWorker].reserved.cpuMilli == aReserved.cpuMilli) {
    mWorkers[aWorker].reserved = aReserved;
    return;
  }
  removeFromIndex(aWorker);
  mWorkers[aWorker].reserved = aReserved;
  addToIndex(aWorker);
}

std::size_t
ClusterModel::bytes() const
{
  constexpr std::size_t kNodeBytes = 48;
  std::size_t total = mWorkers.capacity() * sizeof(WorkerInfo) +
                      mTasks.capacity() * sizeof(TaskInfo) +
                      mEntries.capacity() * sizeof(EntryInfo);
  for (const WorkerInfo& counted : mWorkers) {
    total += counted.tasks.capacity() * sizeof(TaskIndex) + kNodeBytes * 2;
  }
  for (const TaskInfo& counted : mTasks) {
    total += 2 * counted.taskId.capacity() + kNodeBytes + sizeof(std::string);
  }
  return total + mFreedEvents.capacity() * sizeof(WorkerIndex);
}

} // namespace magnoliadrum
