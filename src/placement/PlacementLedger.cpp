#include "placement/PlacementLedger.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

namespace {

constexpr std::size_t kFreedEventsKept = 65536;

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
PlacementLedger::entryIndex(const std::string& aName)
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
PlacementLedger::ownerIndex(const std::string& aName)
{
  const OwnerIndex found = mOwnerNames.indexOf(aName);
  if (found == mOwners.size()) {
    mOwners.emplace_back();
  }
  return found;
}

void
PlacementLedger::moveToOwner(EntryIndex aEntry, OwnerIndex aOwner)
{
  const OwnerIndex before = mEntries[aEntry].owner;
  if (before == aOwner) {
    return;
  }
  for (const TaskAccount& moved : mTasks) {
    if (moved.entry == aEntry && moved.worker != kNoIndex) {
      mOwners[before].used = mOwners[before].used.minus(moved.reservation);
      mOwners[aOwner].used = mOwners[aOwner].used.plus(moved.reservation);
    }
  }
  mEntries[aEntry].owner = aOwner;
}

bool
PlacementLedger::applyEntry(const CatalogueEntry& aEntry)
{
  const EntryIndex changedIndex = entryIndex(aEntry.name());
  moveToOwner(changedIndex, ownerIndex(aEntry.owner()));
  EntryAccount& changed = mEntries[changedIndex];
  const EntryAccount before = changed;
  changed.known = true;
  changed.kind = aEntry.kind();
  changed.priority = priorityOf(aEntry);
  changed.latencyCritical = aEntry.workClass() == WorkClass::eLatencyCritical;
  changed.declared = ResourceAmount::of(aEntry.resources());
  changed.dataCentres.clear();
  for (const std::string& name : aEntry.dataCentres()) {
    changed.dataCentres.push_back(mSites.indexOf(name));
  }
  std::sort(changed.dataCentres.begin(), changed.dataCentres.end());
  mRoom.resize(mSites.size() * 2);
  changed.replicas = aEntry.limits().replicas();
  changed.maxAttempts = aEntry.limits().maxAttempts();
  changed.objectiveMs =
    aEntry.objective() ? static_cast<double>(aEntry.objective()->latencyMs()) : 0.0;
  return before != changed;
}

void
PlacementLedger::removeEntry(const std::string& aName)
{
  mEntries[entryIndex(aName)].known = false;
}

bool
PlacementLedger::applyQuota(const OwnerQuota& aQuota)
{
  const ResourceAmount quota = ResourceAmount::of(aQuota.resources());
  return std::exchange(mOwners[ownerIndex(aQuota.owner())].quota, quota) != quota;
}

void
PlacementLedger::removeQuota(const std::string& aOwner)
{
  mOwners[ownerIndex(aOwner)].quota = {};
}

std::optional<WorkerIndex>
PlacementLedger::findWorker(std::int64_t aSession) const
{
  const auto position = mWorkerBySession.find(aSession);
  if (position == mWorkerBySession.end()) {
    return std::nullopt;
  }
  return position->second;
}

WorkerIndex
PlacementLedger::applyWorker(const WorkerView& aView)
{
  const auto [position, isNew] = mWorkerBySession.try_emplace(aView.session, kNoIndex);
  if (isNew) {
    if (mUnusedWorkers.empty()) {
      mUnusedWorkers.push_back(static_cast<WorkerIndex>(mWorkers.size()));
      mWorkers.emplace_back();
    }
    position->second = mUnusedWorkers.back();
    mUnusedWorkers.pop_back();
    mWorkers[position->second] = {};
  } else {
    unindex(position->second);
  }
  const WorkerIndex found = position->second;
  WorkerAccount& changed = mWorkers[found];
  const ResourceAmount roomBefore = isNew ? ResourceAmount{} : changed.room();
  const bool drainingBefore = changed.draining;
  if (!isNew) {
    uncountShape(changed);
  }
  changed.open = true;
  changed.session = aView.session;
  changed.draining = aView.draining;
  changed.dataCentre = mSites.indexOf(aView.target.dataCentre());
  changed.rack = mRacks.indexOf(aView.target.dataCentre() + "/" + aView.target.rack());
  changed.targetName = mTargets.indexOf(aView.target.targetId());
  changed.capacity =
    ResourceAmount::of(aView.target.capacity()).minus(ResourceAmount::of(aView.reserved));
  changed.services.clear();
  for (const std::string& name : aView.services) {
    changed.services.push_back(entryIndex(name));
  }
  countShape(changed);
  mRoom.resize(mSites.size() * 2);
  index(found);
  if (isNew || drainingBefore || !changed.room().fitsIn(roomBefore)) {
    markFreed(found);
  }
  return found;
}

void
PlacementLedger::countShape(const WorkerAccount& aWorker)
{
  mTotal = mTotal.plus(aWorker.capacity);
  ++mShapes[{ aWorker.dataCentre, aWorker.capacity }];
}

void
PlacementLedger::uncountShape(const WorkerAccount& aWorker)
{
  mTotal = mTotal.minus(aWorker.capacity);
  const auto counted = mShapes.find({ aWorker.dataCentre, aWorker.capacity });
  if (--counted->second == 0) {
    mShapes.erase(counted);
  }
}

void
PlacementLedger::removeWorker(std::int64_t aSession)
{
  const auto position = mWorkerBySession.find(aSession);
  if (position == mWorkerBySession.end()) {
    return;
  }
  const WorkerIndex removed = position->second;
  const std::vector<TaskIndex> held = mWorkers[removed].tasks;
  for (const TaskIndex task : held) {
    release(task);
  }
  unindex(removed);
  uncountShape(mWorkers[removed]);
  mWorkers[removed] = {};
  mWorkerBySession.erase(position);
  mUnusedWorkers.push_back(removed);
}

std::optional<TaskIndex>
PlacementLedger::findTask(const std::string& aTaskId) const
{
  const auto position = mTaskById.find(aTaskId);
  if (position == mTaskById.end()) {
    return std::nullopt;
  }
  return position->second;
}

TaskIndex
PlacementLedger::addTask(const TaskView& aView)
{
  if (mUnusedTasks.empty()) {
    mUnusedTasks.push_back(static_cast<TaskIndex>(mTasks.size()));
    mTasks.emplace_back();
  }
  const TaskIndex added = mUnusedTasks.back();
  mUnusedTasks.pop_back();
  mTasks[added].taskId = aView.taskId;
  mTasks[added].entry = entryIndex(aView.entryName);
  mTaskById.emplace(aView.taskId, added);
  return added;
}

void
PlacementLedger::removeTask(TaskIndex aTask)
{
  release(aTask);
  mTaskById.erase(mTasks[aTask].taskId);
  // Queues may still hold the index with an earlier ticket.
  const std::uint32_t ticket = mTasks[aTask].ticket + 1;
  mTasks[aTask] = {};
  mTasks[aTask].ticket = ticket;
  mUnusedTasks.push_back(aTask);
}

void
PlacementLedger::assign(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aReservation)
{
  TaskAccount& assigned = mTasks[aTask];
  assert(assigned.worker == kNoIndex);
  WorkerAccount& holder = mWorkers[aWorker];
  EntryAccount& entryOfTask = mEntries[assigned.entry];
  assigned.worker = aWorker;
  assigned.reservation = aReservation;
  holder.tasks.push_back(aTask);
  mOwners[entryOfTask.owner].used = mOwners[entryOfTask.owner].used.plus(aReservation);
  holder.criticalTasks += entryOfTask.latencyCritical ? 1 : 0;
  ++entryOfTask.placed;
  ++entryOfTask.perRack[holder.rack];
  changeReserved(aWorker, holder.reserved.plus(aReservation));
}

void
PlacementLedger::release(TaskIndex aTask)
{
  TaskAccount& released = mTasks[aTask];
  if (released.worker == kNoIndex) {
    return;
  }
  const WorkerIndex holderIndex = released.worker;
  WorkerAccount& holder = mWorkers[holderIndex];
  EntryAccount& entryOfTask = mEntries[released.entry];
  std::erase(holder.tasks, aTask);
  OwnerAccount& ownerOfTask = mOwners[entryOfTask.owner];
  ownerOfTask.used = ownerOfTask.used.minus(released.reservation);
  --entryOfTask.placed;
  const bool wasCritical = entryOfTask.latencyCritical && holder.criticalTasks > 0;
  holder.criticalTasks -= wasCritical ? 1 : 0;
  const auto replicas = entryOfTask.perRack.find(holder.rack);
  if (replicas != entryOfTask.perRack.end() && --replicas->second <= 0) {
    entryOfTask.perRack.erase(replicas);
  }
  const ResourceAmount reservedLess = holder.reserved.minus(released.reservation);
  released.worker = kNoIndex;
  released.reservation = {};
  released.cpuLimitMilli = 0;
  released.isLimitedForService = false;
  changeReserved(holderIndex, reservedLess);
  markFreed(holderIndex);
}

void
PlacementLedger::reserve(TaskIndex aTask, const ResourceAmount& aReservation)
{
  TaskAccount& changed = mTasks[aTask];
  if (changed.worker == kNoIndex || changed.reservation == aReservation) {
    return;
  }
  OwnerAccount& ownerOfTask = mOwners[mEntries[changed.entry].owner];
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
PlacementLedger::markFreed(WorkerIndex aWorker)
{
  if (mFreed.size() >= kFreedEventsKept) {
    mFreedBase += mFreed.size();
    mFreed.clear();
  }
  mFreed.push_back(aWorker);
}

std::optional<std::pair<const WorkerIndex*, std::size_t>>
PlacementLedger::freedSince(std::uint64_t aCount) const
{
  if (aCount < mFreedBase) {
    return std::nullopt;
  }
  const std::size_t skipped = aCount - mFreedBase;
  return std::pair{ mFreed.data() + skipped, mFreed.size() - skipped };
}

const PlacementLedger::RoomIndex&
PlacementLedger::roomIndex(std::uint32_t aDataCentre, bool aHasAccelerators) const
{
  return mRoom[aDataCentre * 2 + (aHasAccelerators ? 1 : 0)];
}

PlacementLedger::RoomIndex&
PlacementLedger::roomIndexOf(const WorkerAccount& aWorker)
{
  return mRoom[aWorker.dataCentre * 2 + (aWorker.capacity.accelerators > 0 ? 1 : 0)];
}

void
PlacementLedger::index(WorkerIndex aWorker)
{
  const WorkerAccount& indexed = mWorkers[aWorker];
  if (!indexed.draining) {
    roomIndexOf(indexed).emplace(indexed.room().cpuMilli, aWorker);
  }
}

void
PlacementLedger::unindex(WorkerIndex aWorker)
{
  const WorkerAccount& indexed = mWorkers[aWorker];
  roomIndexOf(indexed).erase({ indexed.room().cpuMilli, aWorker });
}

void
PlacementLedger::changeReserved(WorkerIndex aWorker, const ResourceAmount& aReserved)
{
  if (mWorkers[aWorker].reserved.cpuMilli == aReserved.cpuMilli) {
    mWorkers[aWorker].reserved = aReserved;
    return;
  }
  unindex(aWorker);
  mWorkers[aWorker].reserved = aReserved;
  index(aWorker);
}

std::size_t
PlacementLedger::bytes() const
{
  constexpr std::size_t kNodeBytes = 48;
  std::size_t total = mWorkers.capacity() * sizeof(WorkerAccount) +
                      mTasks.capacity() * sizeof(TaskAccount) +
                      mEntries.capacity() * sizeof(EntryAccount);
  for (const WorkerAccount& counted : mWorkers) {
    total += counted.tasks.capacity() * sizeof(TaskIndex) + kNodeBytes * 2;
  }
  for (const TaskAccount& counted : mTasks) {
    total += 2 * counted.taskId.capacity() + kNodeBytes + sizeof(std::string);
  }
  return total + mFreed.capacity() * sizeof(WorkerIndex);
}

} // namespace magnoliadrum
