#pragma once

#include "generated/generated.h"

#include <cstddef>
#include <cstdint>

namespace magnoliadrum {

/** What a PlacementPolicy is created with. */
struct PlacementOptions
{
  PolicySettings settings;
  /** Reserve by what entries were seen to use, not only by what they declare. */
  bool learnSizes = true;
  /** Learn which entries slow which services down, and avoid and resolve such pairs. */
  bool learnInterference = true;
  /** Throttle and evict when a VM is overloaded or a service is slow. */
  bool react = true;
  /** Bound on the decisions of one round, so that a round ends within a heartbeat. */
  std::size_t maxDecisions = 5000;
  /** A decision that the view does not confirm for this long is made again. */
  std::int64_t confirmationTimeoutMs = 5000;
  /** Wait for further workers to register before a task is called impossible. */
  std::int64_t impossibleAfterMs = 10000;
  /** A task that waited this long for room gets a worker reserved for it. */
  std::int64_t holdWorkerAfterMs = 30000;
  /** Time for the effect of an action to show in delayed reports before the next action. */
  std::int64_t settleMs = 5000;
};

} // namespace magnoliadrum
