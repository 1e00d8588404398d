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
 * Keeps its own account of the cluster between rounds. A decision counts as carried out at once and
 * is made again if no view confirms it in time; carrying it out twice is prevented by the epoch.
 * One instance per leadership; not thread-safe.
 */
class PlacementPolicy
{
public:
  PlacementPolicy(PlacementOptions aOptions, std::mt19937_64 aRandom);
  ~PlacementPolicy();
  PlacementPolicy(PlacementPolicy&&) noexcept;
  PlacementPolicy& operator=(PlacementPolicy&&) noexcept;

  /** Takes in a view and returns the decisions of this round. aNow must not decrease. */
  std::vector<PlacementDecision> decide(const PlacementView& aView, MonotonicTime aNow);

  /** Bytes that the account of the cluster holds, without allocator overhead. */
  std::size_t accountBytes() const;

private:
  std::unique_ptr<PlacementEngine> mEngine;
};

} // namespace magnoliadrum
