#pragma once

#include "core/core.h"

namespace magnoliadrum {

/** The agent's session and the end of its lease on the VM's clock. */
struct SessionLease
{
  /** Session number; 0 while there is none. */
  std::int64_t mSession = 0;
  MonotonicTime mLeaseUntil;

  bool isValidAt(MonotonicTime aNow) const { return mSession != 0 && aNow < mLeaseUntil; }

  friend bool operator==(const SessionLease&, const SessionLease&) = default;
};

} // namespace magnoliadrum
