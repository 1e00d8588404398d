#pragma once

#include "core/core.h"

#include <cstdint>

namespace magnoliadrum {

/**
 * Estimates the number of requests in progress at one target.
 *
 * Several gateways use the same target. A gateway knows its own requests exactly, and the target
 * reports the total with each message. The difference is the load from other gateways. The estimate
 * of that load halves every 20 ms after the report, so that a report of full load does not keep the
 * target idle until its next status message. A dispatch that is too early costs one refusal.
 */
class TargetLoad
{
public:
  void setSlots(std::int64_t aSlots) { mSlots = aSlots; }
  std::int64_t slots() const { return mSlots; }

  /** Requests that this gateway has in progress at the target. */
  std::int64_t ownOutstanding() const { return mOwnOutstanding; }

  void recordDispatch() { mOwnOutstanding++; }
  void recordEnd();

  /** Records the number of requests in progress that the target reported. */
  void recordReport(std::int64_t aOutstanding, MonotonicTime aNow);

  /** Estimated number of all requests in progress at the target. */
  double outstanding(MonotonicTime aNow) const;

  /** Whether one more request is likely to find a slot. */
  bool hasFreeSlot(MonotonicTime aNow) const;

private:
  std::int64_t mSlots = 0;
  std::int64_t mOwnOutstanding = 0;
  double mOthersOutstanding = 0;
  MonotonicTime mReportedAt;
};

} // namespace magnoliadrum
