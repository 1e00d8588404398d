#include "jobs/CancelledIds.h"

#include <algorithm>

namespace magnoliadrum {

CancelledIds
CancelledIds::fromRecords(const std::vector<CancelledId>& aRecords)
{
  CancelledIds ids;
  for (const CancelledId& record : aRecords) {
    ids.mRecords.push_back(record);
    ids.mIds.insert(record.jobId());
  }
  return ids;
}

std::int64_t
CancelledIds::waitMs(std::int64_t aAtMs) const
{
  if (mRecords.size() < kMaxIds) {
    return 0;
  }
  // The clock of an earlier leader may have been ahead.
  return std::clamp<std::int64_t>(mRecords.front().atMs() + kKeepMs - aAtMs, 0, kKeepMs);
}

bool
CancelledIds::add(const std::string& aJobId, std::int64_t aAtMs)
{
  if (contains(aJobId)) {
    return true;
  }
  if (waitMs(aAtMs) > 0) {
    return false;
  }
  if (mRecords.size() >= kMaxIds) {
    mIds.erase(mRecords.front().jobId());
    mRecords.pop_front();
  }
  mRecords.push_back(valueOf(CancelledId::create({ .jobId = aJobId, .atMs = aAtMs })));
  mIds.insert(aJobId);
  return true;
}

} // namespace magnoliadrum
