#pragma once

#include "generated/SnapshotTypes.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Ids that were cancelled while no job with them was known. A submission may come later, for
 * example from a gateway that stood still, and is then cancelled from the start.
 *
 * Deterministic: the times are those in the log.
 */
class CancelledIds
{
public:
  /** Bounds the memory. Beyond it the oldest id is removed, but none before kKeepMs. */
  static constexpr std::size_t kMaxIds = 20000;
  /** An id is kept for this long (ms) at least: the time for which callers may ask for a job that
   * is over. */
  static constexpr std::int64_t kKeepMs = 120000;

  static CancelledIds fromRecords(const std::vector<CancelledId>& aRecords);

  /** In the order in which they were added. */
  const std::deque<CancelledId>& records() const { return mRecords; }

  /** Adds an id at a wall-clock time in ms. False if there is no room for it. */
  bool add(const std::string& aJobId, std::int64_t aAtMs);

  bool contains(const std::string& aJobId) const { return mIds.contains(aJobId); }

  /** Time in ms from aAtMs until an id can be added; 0 for now. */
  std::int64_t waitMs(std::int64_t aAtMs) const;

private:
  std::deque<CancelledId> mRecords;
  std::set<std::string> mIds;
};

} // namespace magnoliadrum
