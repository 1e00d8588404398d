#pragma once

#include "core/core.h"

#include <deque>
#include <optional>

namespace magnoliadrum {

/**
 * Translates deadlines from this VM's clock to a peer's clock.
 *
 * A reading that the peer took and sent is at most the peer's time when it arrives, so each reading
 * gives a lower bound of the offset between the clocks. Uses the largest bound of the last 10 s. A
 * translated deadline may be early by the network delay, and is never late.
 */
class ClockOffset
{
public:
  /** Takes a reading of the peer's clock that arrived at aArrivedAt on this clock. */
  void record(MonotonicTime aPeerClock, MonotonicTime aArrivedAt);

  /** Returns aDeadline on the peer's clock; nothing when no reading is recent enough. */
  std::optional<Deadline> translate(Deadline aDeadline, MonotonicTime aNow) const;

private:
  struct Reading
  {
    std::int64_t mOffsetMs;
    MonotonicTime mArrivedAt;
  };

  std::deque<Reading> mReadings;
};

} // namespace magnoliadrum
