#pragma once

#include "generated/generated.h"

#include <cstddef>
#include <cstdint>

namespace magnoliadrum {

/** Configuration of a PlacementPolicy. */
struct PlacementOptions
{
  PolicySettings settings;
  /** Base reservations on the observed use of an entry as well as on its declared size. */
  bool learnSizes = true;
  /** Learn which entries slow down which services, and avoid or resolve placing them together. */
  bool learnInterference = true;
  /** Throttle and evict when a VM is overloaded or a service is slow. */
  bool throttleAndEvict = true;
  /** Maximum number of decisions per round, so that a round ends within a heartbeat. */
  std::size_t maxDecisions = 5000;
  /** A placement or eviction that no view confirms within this time is decided again. */
  std::int64_t confirmationTimeoutMs = 5000;
  /** Time for further workers to register before a task is declared impossible. */
  std::int64_t impossibleAfterMs = 10000;
  /** After waiting this long for capacity, a task gets a worker held free for its entry. */
  std::int64_t holdWorkerAfterMs = 30000;
  /** Minimum time between two actions for a service, so that delayed reports show the effect. */
  std::int64_t settleMs = 5000;
};

} // namespace magnoliadrum
