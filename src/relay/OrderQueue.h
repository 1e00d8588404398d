#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>

namespace magnoliadrum {

/** A start order with the lease that came with it. */
struct LeasedStart
{
  StartOrder order;
  /** End of the lease on the worker's clock, in ms. */
  std::int64_t leaseUntilMs = 0;

  friend bool operator==(const LeasedStart&, const LeasedStart&) = default;
};

using QueuedOrder = std::variant<StopOrder, PaceOrder, LeasedStart>;

/**
 * Orders for one worker that wait for a free connection, for example because the worker does not
 * answer. Stops are sent before paces and paces before starts.
 *
 * An order that waits must not take effect after its reason has gone: a stop removes the start of
 * its run, a pace replaces an earlier one of its run, and a start that waited past its deadline is
 * not sent. The leader sends an order without an effect again.
 */
class OrderQueue
{
public:
  void addStop(const StopOrder& aOrder);
  void addPace(const PaceOrder& aOrder);

  /** Adds a start order that is not sent after aSendBefore. A start of a queued run is ignored. */
  void addStart(const LeasedStart& aStart, Deadline aSendBefore);

  /** Removes and returns the next order to send at aNow; empty when there is none. */
  std::optional<QueuedOrder> takeNext(MonotonicTime aNow);

  void clear();

  std::size_t size() const { return mStops.size() + mPaces.size() + mStarts.size(); }

  /** Number of start orders that were removed because they waited too long. */
  std::int64_t expiredStarts() const { return mExpiredStarts; }

private:
  struct WaitingStart
  {
    LeasedStart start;
    Deadline sendBefore;
  };

  std::deque<StopOrder> mStops;
  std::deque<PaceOrder> mPaces;
  std::deque<WaitingStart> mStarts;
  std::int64_t mExpiredStarts = 0;
};

} // namespace magnoliadrum
