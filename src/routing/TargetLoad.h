#pragma once

#include "core/core.h"

#include <cstdint>

namespace magnoliadrum {

/**
 * Estimates the requests in progress at one target.
 *
 * Several gateways use the same target. A gateway knows its own requests exactly; the target
 * reports the total with each message. The difference is what the other gateways have there, and
 * that knowledge ages: it halves every 20 ms, so that a report from a past moment of full load does
 * not keep the target idle until its next status. Trying too early costs one refusal.
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

  /** Takes the target's own count of requests in progress. */
  void recordReport(std::int64_t aOutstanding, MonotonicTime aNow);

  /** Estimate of all requests in progress at the target. */
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
