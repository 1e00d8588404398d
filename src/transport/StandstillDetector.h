#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>

namespace magnoliadrum {

/**
 * Tells how long data that is read now may have waited while the process did not run, for example
 * because its VM was frozen. The time before a request is read counts for its deadline.
 */
class StandstillDetector
{
public:
  /** A shorter gap (ms) between two ticks is an ordinary delay. */
  static constexpr std::int64_t kShortestMs = 200;
  /** What waited is read within this long (ms) after the standstill: connections are accepted
   * first. */
  static constexpr std::int64_t kBacklogMs = 100;

  /** Must be called periodically, several times within kShortestMs. */
  void onTick(MonotonicTime aNow);

  /** The earliest time at which what is read at aNow may have arrived. */
  MonotonicTime earliestArrival(MonotonicTime aNow) const;

private:
  std::optional<MonotonicTime> mLastTickAt;
  MonotonicTime mBeganAt;
  std::optional<MonotonicTime> mEndedAt;
};

} // namespace magnoliadrum
