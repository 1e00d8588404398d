#pragma once

#include "placement/PlacementDecision.h"
#include "placement/PlacementOptions.h"
#include "placement/PlacementView.h"

#include <memory>
#include <random>
#include <vector>

namespace magnoliadrum {

class PlacementEngine;

/**
 * Decides where tasks run and which are stopped or throttled.
 *
 * Keeps a model of the cluster between rounds. Placements and evictions take effect in the model at
 * once and are decided again if no view confirms them in time; the epoch prevents that a decision
 * is carried out twice. Create one instance per leadership. Not thread-safe.
 */
class PlacementPolicy
{
public:
  PlacementPolicy(PlacementOptions aOptions, std::mt19937_64 aRandom);
  ~PlacementPolicy();
  PlacementPolicy(PlacementPolicy&&) noexcept;
  PlacementPolicy& operator=(PlacementPolicy&&) noexcept;

  /** Applies a view and returns the decisions of this round. aNow must not decrease. */
  std::vector<PlacementDecision> decide(const PlacementView& aView, MonotonicTime aNow);

  /** Returns the bytes of the cluster, queue and interference models, without allocator overhead.
   */
  std::size_t modelBytes() const;

private:
  std::unique_ptr<PlacementEngine> mEngine;
};

} // namespace magnoliadrum
