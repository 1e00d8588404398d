#pragma once

#include "placement/ClusterModel.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace magnoliadrum {

/** What a worker is looked for. */
struct WorkerRequest
{
  EntryIndex entry = kNoIndex;
  ResourceAmount required;
  /** Name index of a target that is never chosen; kNoIndex for none. */
  std::uint32_t avoidTarget = kNoIndex;
  /** Only the workers freed after this many events, when set. */
  std::optional<std::uint64_t> freedAfter;
  /** Replicas of the entry that one rack may hold; negative for no limit. */
  std::int32_t perRackLimit = -1;
  std::int64_t nowMs = 0;
};

/** Chooses the worker of a task among those that satisfy every hard limit. */
class WorkerSelector
{
public:
  /** Cost of putting an entry on a worker; nothing when the worker must not get it. */
  using WorkerCost = std::function<std::optional<double>(WorkerIndex, EntryIndex)>;

  /**
   * aPacking is between -1 (spread batch work over the workers) and 1 (fill workers one after the
   * other).
   */
  WorkerSelector(const ClusterModel& aCluster, double aPacking, WorkerCost aCost)
    : mCluster(aCluster)
    , mPacking(aPacking)
    , mCost(std::move(aCost))
  {
  }

  /** Returns the best worker; nothing when none can take the task now. */
  std::optional<WorkerIndex> select(const WorkerRequest& aRequest, std::mt19937_64& aRandom) const;

  /** Tells whether all hard limits hold: session, drain, data centre, room, rack, held workers. */
  bool admits(WorkerIndex aWorker, const WorkerRequest& aRequest) const;

  /** Whether an entry can run at all. */
  struct Feasibility
  {
    /** Why no registered worker could ever run the entry; empty when one could. */
    std::string impossibleReason;
    /** Capacity of the VM with the most processor time that could run it. */
    ResourceAmount largestVm;
  };

  Feasibility feasibility(EntryIndex aEntry) const;

private:
  std::string infeasibleReason(const EntryInfo& aEntry, const ResourceAmount& aLargest) const;

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
