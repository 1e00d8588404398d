#pragma once

#include "placement/CapacityController.h"
#include "placement/LatencyController.h"
#include "placement/PlacementContext.h"
#include "placement/TaskPlacer.h"
#include "placement/ViewProcessor.h"
#include "placement/WorkerSelector.h"

#include <cstddef>
#include <random>
#include <vector>

namespace magnoliadrum {

/** Runs the parts of the policy in order. Implementation of PlacementPolicy. */
class PlacementEngine
{
public:
  PlacementEngine(PlacementOptions aOptions, std::mt19937_64 aRandom);

  std::vector<PlacementDecision> decide(const PlacementView& aView, MonotonicTime aNow);
  std::size_t bytes() const;

private:
  /** Returns the cost of placing an entry on a worker; empty when it must not be placed there. */
  std::optional<double> workerCost(WorkerIndex aWorker, EntryIndex aEntry) const;
  /** Makes workers whose next probe is due available to waiting tasks. */
  void markProbeTargetsFreed();

  PlacementContext mContext;
  LatencyController mLatencyController;
  WorkerSelector mSelector;
  TaskPlacer mPlacer;
  CapacityController mCapacityController;
  ViewProcessor mViewProcessor;
};

} // namespace magnoliadrum
