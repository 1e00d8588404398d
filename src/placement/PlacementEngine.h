#pragma once

#include "placement/PlacementContext.h"
#include "placement/RoomMaker.h"
#include "placement/ServiceGuard.h"
#include "placement/TaskPlacer.h"
#include "placement/ViewIntake.h"
#include "placement/WorkerSelector.h"

#include <cstddef>
#include <random>
#include <vector>

namespace magnoliadrum {

/** Connects the parts of the policy. See PlacementPolicy. */
class PlacementEngine
{
public:
  PlacementEngine(PlacementOptions aOptions, std::mt19937_64 aRandom);

  std::vector<PlacementDecision> decide(const PlacementView& aView, MonotonicTime aNow);
  std::size_t bytes() const;

private:
  std::optional<double> workerCost(WorkerIndex aWorker, EntryIndex aEntry) const;
  void releaseProbes();

  PlacementContext mContext;
  ServiceGuard mGuard;
  WorkerSelector mSelector;
  TaskPlacer mPlacer;
  RoomMaker mRoomMaker;
  ViewIntake mIntake;
};

} // namespace magnoliadrum
