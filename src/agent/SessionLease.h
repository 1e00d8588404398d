#pragma once

#include "core/core.h"

namespace magnoliadrum {

/** The agent's session and the time at which its lease ends, on the VM's monotonic clock. */
struct SessionLease
{
  /** Session number, 0 if there is no session. */
  std::int64_t mSession = 0;
  MonotonicTime mLeaseUntil;

  bool isValidAt(MonotonicTime aNow) const { return mSession != 0 && aNow < mLeaseUntil; }

  friend bool operator==(const SessionLease&, const SessionLease&) = default;
};

} // namespace magnoliadrum
