#include "control/LeaseTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace magnoliadrum {

LeaseTable::LeaseTable(std::int64_t aLeaseMs)
  : mLeaseMs(aLeaseMs)
{
}

void
LeaseTable::startTerm(const std::vector<std::int64_t>& aSessions, MonotonicTime aRenewedAt)
{
  mLeases.clear();
  for (const std::int64_t session : aSessions) {
    mLeases[session].mLastReplyAt = aRenewedAt;
  }
}

void
LeaseTable::renew(std::int64_t aSession, MonotonicTime aNow)
{
  Lease& lease = mLeases[aSession];
  assert(!lease.mEnding);
  lease.mLastReplyAt = std::max(lease.mLastReplyAt, aNow);
}

void
LeaseTable::markEnding(std::int64_t aSession)
{
  mLeases[aSession].mEnding = true;
}

void
LeaseTable::unmarkEnding(std::int64_t aSession)
{
  const auto position = mLeases.find(aSession);
  if (position != mLeases.end()) {
    position->second.mEnding = false;
  }
}

bool
LeaseTable::isEnding(std::int64_t aSession) const
{
  const auto position = mLeases.find(aSession);
  return position != mLeases.end() && position->second.mEnding;
}

std::vector<std::int64_t>
LeaseTable::expired(MonotonicTime aNow) const
{
  const std::int64_t waitMs = static_cast<std::int64_t>(
    std::ceil(static_cast<double>(mLeaseMs) * (1 + kClockDrift)) + kMarginMs);
  std::vector<std::int64_t> sessions;
  for (const auto& [session, lease] : mLeases) {
    if (!lease.mEnding && aNow.msSince(lease.mLastReplyAt) > waitMs) {
      sessions.push_back(session);
    }
  }
  return sessions;
}

} // namespace magnoliadrum
