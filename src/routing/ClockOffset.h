#pragma once

#include "core/core.h"

#include <deque>
#include <optional>

namespace magnoliadrum {

/**
 * Translates deadlines from this VM's clock to a peer's clock.
 *
 * The peer takes each reading before it sends it, so the reading minus the local time of arrival is
 * a lower bound of the clock offset. Each bound of the last 10 s is reduced by the drift that is
 * possible until the deadline, and the largest one is used. A translated deadline may be early by
 * the network delay and this drift, but is never late.
 */
class ClockOffset
{
public:
  /** Records a reading of the peer's clock that arrived at the local time aArrivedAt. */
  void record(MonotonicTime aPeerClock, MonotonicTime aArrivedAt);

  /** Returns aDeadline on the peer's clock, or nothing if no reading is recent enough. */
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
