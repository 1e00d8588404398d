#include "placement/WorkerSelector.h"

#include <iterator>

namespace magnoliadrum {

namespace {

/**
 * Number of candidates from each end of the free CPU index, over all data centres. More candidates
 * cost time on every placement; these still include both nearly full and nearly empty workers.
 */
constexpr int kCandidatesPerEnd = 24;
constexpr int kMinCandidatesPerDataCentre = 2;

/** Outweighs every other preference, because such a task would leave accelerators idle. */
constexpr double kAcceleratorWasteCost = 1000;
/** Cost per replica of the entry that is already on the rack. */
constexpr double kReplicaOnRackCost = 100;
constexpr double kTieBreakCost = 1e-3;

} // namespace

std::optional<WorkerIndex>
WorkerSelector::select(const WorkerRequest& aRequest, std::mt19937_64& aRandom) const
{
  Best best;
  if (aRequest.freedAfter && mCluster.freedSince(*aRequest.freedAfter)) {
    searchFreedWorkers(aRequest, aRandom, best);
  } else {
    const bool needsAccelerators = aRequest.required.accelerators > 0;
    for (const std::uint32_t dataCentre : mCluster.entry(aRequest.entry).dataCentres) {
      searchIndex(mCluster.freeCpuIndex(dataCentre, needsAccelerators), aRequest, aRandom, best);
    }
    if (best.worker == kNoIndex && !needsAccelerators) {
      for (const std::uint32_t dataCentre : mCluster.entry(aRequest.entry).dataCentres) {
        searchIndex(mCluster.freeCpuIndex(dataCentre, true), aRequest, aRandom, best);
      }
    }
  }
  return best.worker == kNoIndex ? std::nullopt : std::optional(best.worker);
}

bool
WorkerSelector::admits(WorkerIndex aWorker, const WorkerRequest& aRequest) const
{
  const WorkerInfo& worker = mCluster.worker(aWorker);
  const EntryInfo& entry = mCluster.entry(aRequest.entry);
  if (!worker.open || worker.draining || worker.targetName == aRequest.avoidTarget) {
    return false;
  }
  if (!aRequest.required.fitsIn(worker.available()) || !entry.allows(worker.dataCentre)) {
    return false;
  }
  const bool isHeld = worker.heldFor != kNoIndex && worker.heldFor != aRequest.entry &&
                      worker.heldUntilMs > aRequest.nowMs;
  if (isHeld && mCluster.entry(worker.heldFor).priority <= entry.priority) {
    return false;
  }
  if (aRequest.perRackLimit < 0) {
    return true;
  }
  const auto onRack = entry.placedPerRack.find(worker.rack);
  return onRack == entry.placedPerRack.end() || onRack->second < aRequest.perRackLimit;
}

void
WorkerSelector::searchFreedWorkers(const WorkerRequest& aRequest,
                                   std::mt19937_64& aRandom,
                                   Best& aBest) const
{
  const auto freed = mCluster.freedSince(*aRequest.freedAfter);
  for (std::size_t i = 0; i < freed->second; ++i) {
    consider(freed->first[i], aRequest, aRandom, aBest);
  }
}

void
WorkerSelector::searchIndex(const ClusterModel::FreeCpuIndex& aIndex,
                            const WorkerRequest& aRequest,
                            std::mt19937_64& aRandom,
                            Best& aBest) const
{
  const int dataCentres = static_cast<int>(mCluster.entry(aRequest.entry).dataCentres.size());
  const int perEnd =
    std::max(kMinCandidatesPerDataCentre, kCandidatesPerEnd / std::max(1, dataCentres));
  const auto first = aIndex.lower_bound({ aRequest.required.cpuMilli, 0 });
  auto ascending = first;
  for (int i = 0; i < perEnd && ascending != aIndex.end(); ++i, ++ascending) {
    consider(ascending->second, aRequest, aRandom, aBest);
  }
  auto descending = aIndex.end();
  for (int i = 0; i < perEnd && descending != ascending; ++i) {
    --descending;
    consider(descending->second, aRequest, aRandom, aBest);
  }
  // The index is ordered by CPU, so possibly no candidate has enough memory; search the rest too.
  while (aBest.worker == kNoIndex && ascending != descending) {
    consider(ascending->second, aRequest, aRandom, aBest);
    ++ascending;
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
  const WorkerInfo& worker = mCluster.worker(aWorker);
  const EntryInfo& entry = mCluster.entry(aRequest.entry);
  double total = aWorkerCost;
  if (aRequest.required.accelerators == 0 && worker.capacity.accelerators > 0) {
    total += kAcceleratorWasteCost;
  }
  if (entry.kind == EntryKind::eStanding) {
    const auto onRack = entry.placedPerRack.find(worker.rack);
    total += onRack == entry.placedPerRack.end() ? 0.0 : kReplicaOnRackCost * onRack->second;
  }
  const double utilisation =
    worker.reserved.plus(aRequest.required).dominantShareOf(worker.capacity);
  const double packing = entry.priority == Priority::eBatch ? mPacking : -1.0;
  return total - packing * utilisation;
}

WorkerSelector::Feasibility
WorkerSelector::feasibility(EntryIndex aEntry) const
{
  const EntryInfo& entry = mCluster.entry(aEntry);
  if (!entry.known) {
    return { "the catalogue has no entry " + entry.name, {} };
  }
  OwnerInfo idle;
  idle.quota = mCluster.owner(entry.owner).quota;
  if (!idle.admits(entry.declared)) {
    return { "one task needs more than the quota of its owner", {} };
  }
  ResourceAmount maxPerResource;
  ResourceAmount largestVm;
  for (const auto& [shape, count] : mCluster.vmShapes()) {
    const auto& [dataCentre, capacity] = shape;
    if (!entry.allows(dataCentre)) {
      continue;
    }
    maxPerResource = maxPerResource.componentMax(capacity);
    if (entry.declared.fitsIn(capacity) && capacity.cpuMilli >= largestVm.cpuMilli) {
      largestVm = capacity;
    }
  }
  if (largestVm != ResourceAmount{}) {
    return { {}, largestVm };
  }
  return { describeMissingCapacity(entry, maxPerResource), {} };
}

std::string
WorkerSelector::describeMissingCapacity(const EntryInfo& aEntry,
                                        const ResourceAmount& aMaxPerResource) const
{
  std::string dataCentreNames;
  for (const std::uint32_t dataCentre : aEntry.dataCentres) {
    dataCentreNames += (dataCentreNames.empty() ? "" : ", ") + mCluster.dataCentreName(dataCentre);
  }
  if (aMaxPerResource == ResourceAmount{}) {
    return "no worker is registered in the allowed data centres (" + dataCentreNames + ")";
  }
  const auto amount = [](const ResourceAmount& aAmount) {
    return std::to_string(aAmount.cpuMilli) + " mCPU, " + std::to_string(aAmount.memoryMb) +
           " MB, " + std::to_string(aAmount.accelerators) + " accelerators";
  };
  return "needs " + amount(aEntry.declared) + "; the workers in " + dataCentreNames +
         " have at most, each resource taken by itself, " + amount(aMaxPerResource);
}

} // namespace magnoliadrum
