#pragma once

#include "placement/ClusterModel.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace magnoliadrum {

/** Requirements for a worker. */
struct WorkerRequest
{
  EntryIndex entry = kNoIndex;
  ResourceAmount required;
  /** Name index of a target that is never chosen; kNoIndex for none. */
  std::uint32_t avoidTarget = kNoIndex;
  /** When set, considers only the workers freed after this many freed-worker events. */
  std::optional<std::uint64_t> freedAfter;
  /** Maximum number of tasks of the entry on one rack; negative for no limit. */
  std::int32_t perRackLimit = -1;
  std::int64_t nowMs = 0;
};

/** Selects the worker with the lowest cost among those that satisfy every hard limit. */
class WorkerSelector
{
public:
  /** Returns the cost of placing an entry on a worker; empty when it must not be placed there. */
  using WorkerCost = std::function<std::optional<double>(WorkerIndex, EntryIndex)>;

  /** aPacking ranges from -1 (spread batch tasks over workers) to 1 (fill workers one by one). */
  WorkerSelector(const ClusterModel& aCluster, double aPacking, WorkerCost aCost)
    : mCluster(aCluster)
    , mPacking(aPacking)
    , mCost(std::move(aCost))
  {
  }

  /** Returns the worker with the lowest cost; empty when none can run the task now. */
  std::optional<WorkerIndex> select(const WorkerRequest& aRequest, std::mt19937_64& aRandom) const;

  /**
   * Returns whether a worker satisfies all hard limits: open session, not draining, avoided target,
   * data centre, free capacity, rack limit and holds for other entries.
   */
  bool admits(WorkerIndex aWorker, const WorkerRequest& aRequest) const;

  /** Whether any registered worker could run an entry. */
  struct Feasibility
  {
    /** Why no registered worker could run the entry; empty when one could. */
    std::string impossibleReason;
    /** Capacity of the VM with the most CPU among those that could run it. */
    ResourceAmount largestVm;
  };

  Feasibility feasibility(EntryIndex aEntry) const;

private:
  std::string describeMissingCapacity(const EntryInfo& aEntry,
                                      const ResourceAmount& aMaxPerResource) const;

  struct Best
  {
    WorkerIndex worker = kNoIndex;
    double cost = 0;
  };

  void consider(WorkerIndex aWorker,
                const WorkerRequest& aRequest,
                std::mt19937_64& aRandom,
                Best& aBest) const;
  void searchFreedWorkers(const WorkerRequest& aRequest,
                          std::mt19937_64& aRandom,
                          Best& aBest) const;
  void searchIndex(const ClusterModel::FreeCpuIndex& aIndex,
                   const WorkerRequest& aRequest,
                   std::mt19937_64& aRandom,
                   Best& aBest) const;
  double cost(WorkerIndex aWorker, const WorkerRequest& aRequest, double aWorkerCost) const;

  const ClusterModel& mCluster;
  double mPacking;
  WorkerCost mCost;
};

} // namespace magnoliadrum
