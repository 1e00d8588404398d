#include "placement/WorkerSelector.h"

#include <iterator>

namespace magnoliadrum {

namespace {

/**
 * Workers that are compared for one task from each end of the room order, over all data centres.
 * More candidates cost time on every placement; the choice is still among tight and empty workers.
 */
constexpr int kCandidatesPerEnd = 24;
constexpr int kFewestPerDataCentre = 2;

/** An accelerator that stays idle behind unrelated work outweighs every other preference. */
constexpr double kAcceleratorWasteCost = 1000;
constexpr double kReplicaOnRackCost = 100;
constexpr double kTieBreakCost = 1e-3;

} // namespace

std::optional<WorkerIndex>
WorkerSelector::select(const WorkerRequest& aRequest, std::mt19937_64& aRandom) const
{
  Best best;
  if (aRequest.freedAfter && mLedger.freedSince(*aRequest.freedAfter)) {
    searchFreed(aRequest, aRandom, best);
  } else {
    const bool needsAccelerators = aRequest.need.accelerators > 0;
    for (const std::uint32_t dataCentre : mLedger.entry(aRequest.entry).dataCentres) {
      searchIndex(mLedger.roomIndex(dataCentre, needsAccelerators), aRequest, aRandom, best);
    }
    if (best.worker == kNoIndex && !needsAccelerators) {
      for (const std::uint32_t dataCentre : mLedger.entry(aRequest.entry).dataCentres) {
        searchIndex(mLedger.roomIndex(dataCentre, true), aRequest, aRandom, best);
      }
    }
  }
  return best.worker == kNoIndex ? std::nullopt : std::optional(best.worker);
}

bool
WorkerSelector::admits(WorkerIndex aWorker, const WorkerRequest& aRequest) const
{
  const WorkerAccount& asked = mLedger.worker(aWorker);
  const EntryAccount& placed = mLedger.entry(aRequest.entry);
  if (!asked.open || asked.draining || asked.targetName == aRequest.avoidTarget) {
    return false;
  }
  if (!aRequest.need.fitsIn(asked.room()) || !placed.allows(asked.dataCentre)) {
    return false;
  }
  const bool isHeld = asked.heldFor != kNoIndex && asked.heldFor != aRequest.entry &&
                      asked.heldUntilMs > aRequest.nowMs;
  if (isHeld && mLedger.entry(asked.heldFor).priority <= placed.priority) {
    return false;
  }
  if (aRequest.perRackLimit < 0) {
    return true;
  }
  const auto onRack = placed.perRack.find(asked.rack);
  return onRack == placed.perRack.end() || onRack->second < aRequest.perRackLimit;
}

void
WorkerSelector::searchFreed(const WorkerRequest& aRequest,
                            std::mt19937_64& aRandom,
                            Best& aBest) const
{
  const auto freed = mLedger.freedSince(*aRequest.freedAfter);
  for (std::size_t i = 0; i < freed->second; ++i) {
    consider(freed->first[i], aRequest, aRandom, aBest);
  }
}

void
WorkerSelector::searchIndex(const PlacementLedger::RoomIndex& aIndex,
                            const WorkerRequest& aRequest,
                            std::mt19937_64& aRandom,
                            Best& aBest) const
{
  const int dataCentres = static_cast<int>(mLedger.entry(aRequest.entry).dataCentres.size());
  const int perEnd = std::max(kFewestPerDataCentre, kCandidatesPerEnd / std::max(1, dataCentres));
  const auto first = aIndex.lower_bound({ aRequest.need.cpuMilli, 0 });
  auto tight = first;
  for (int i = 0; i < perEnd && tight != aIndex.end(); ++i, ++tight) {
    consider(tight->second, aRequest, aRandom, aBest);
  }
  auto empty = aIndex.end();
  for (int i = 0; i < perEnd && empty != tight; ++i) {
    --empty;
    consider(empty->second, aRequest, aRandom, aBest);
  }
  // None of the candidates may have the memory, so the rest is searched before the group is given
  // up.
  while (aBest.worker == kNoIndex && tight != empty) {
    consider(tight->second, aRequest, aRandom, aBest);
    ++tight;
  }
}

void
WorkerSelector::consider(WorkerIndex aWorker,
                         const WorkerRequest& aRequest,
                         std::mt19937_64& aRandom,
                         Best& aBest) const
{
  if (!admits(aWorker, aRequest)) {
    return;
  }
  const std::optional<double> workerCost = mCost(aWorker, aRequest.entry);
  if (!workerCost) {
    return;
  }
  const double tieBreak = std::uniform_real_distribution<double>(0, kTieBreakCost)(aRandom);
  const double total = cost(aWorker, aRequest, *workerCost) + tieBreak;
  if (aBest.worker == kNoIndex || total < aBest.cost) {
    aBest = { aWorker, total };
  }
}

double
WorkerSelector::cost(WorkerIndex aWorker, const WorkerRequest& aRequest, double aWorkerCost) const
{
  const WorkerAccount& asked = mLedger.worker(aWorker);
  const EntryAccount& placed = mLedger.entry(aRequest.entry);
  double total = aWorkerCost;
  if (aRequest.need.accelerators == 0 && asked.capacity.accelerators > 0) {
    total += kAcceleratorWasteCost;
  }
  if (placed.kind == EntryKind::eStanding) {
    const auto onRack = placed.perRack.find(asked.rack);
    total += onRack == placed.perRack.end() ? 0.0 : kReplicaOnRackCost * onRack->second;
  }
  const double full = asked.reserved.plus(aRequest.need).shareOf(asked.capacity);
  const double packing = placed.priority == Priority::eBatch ? mPacking : -1.0;
  return total - packing * full;
}

WorkerSelector::Feasibility
WorkerSelector::feasibility(EntryIndex aEntry) const
{
  const EntryAccount& asked = mLedger.entry(aEntry);
  if (!asked.known) {
    return { "the catalogue has no entry " + asked.name, {} };
  }
  OwnerAccount idle;
  idle.quota = mLedger.owner(asked.owner).quota;
  if (!idle.admits(asked.declared)) {
    return { "one task needs more than the quota of its owner", {} };
  }
  ResourceAmount largest;
  ResourceAmount roomiest;
  for (const auto& [shape, count] : mLedger.shapes()) {
    const auto& [dataCentre, capacity] = shape;
    if (!asked.allows(dataCentre)) {
      continue;
    }
    largest = largest.larger(capacity);
    if (asked.declared.fitsIn(capacity) && capacity.cpuMilli >= roomiest.cpuMilli) {
      roomiest = capacity;
    }
  }
  if (roomiest != ResourceAmount{}) {
    return { {}, roomiest };
  }
  return { tooLargeReason(asked, largest), {} };
}

std::string
WorkerSelector::tooLargeReason(const EntryAccount& aEntry, const ResourceAmount& aLargest) const
{
  std::string sites;
  for (const std::uint32_t dataCentre : aEntry.dataCentres) {
    sites += (sites.empty() ? "" : ", ") + mLedger.dataCentreName(dataCentre);
  }
  if (aLargest == ResourceAmount{}) {
    return "no worker is registered in the allowed data centres (" + sites + ")";
  }
  const auto amount = [](const ResourceAmount& aAmount) {
    return std::to_string(aAmount.cpuMilli) + " mCPU, " + std::to_string(aAmount.memoryMb) +
           " MB, " + std::to_string(aAmount.accelerators) + " accelerators";
  };
  return "needs " + amount(aEntry.declared) + "; the workers in " + sites +
         " have at most, each resource taken by itself, " + amount(aLargest);
}

} // namespace magnoliadrum
