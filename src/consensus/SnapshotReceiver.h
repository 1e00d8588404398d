#pragma once

#include "consensus/ConsensusTypes.h"

namespace magnoliadrum {

/** Collects the chunks of one snapshot in order. */
class SnapshotReceiver
{
public:
  /**
   * Takes a chunk. A chunk of another snapshot or leader term starts anew. Returns the snapshot
   * when it is complete; it is then no longer held here.
   */
  ConsensusSnapshotPointer add(const SnapshotChunk& aChunk);

  /** Bytes received in order so far. */
  std::int64_t receivedBytes() const { return static_cast<std::int64_t>(mData.size()); }

  void clear();

private:
  std::int64_t mTerm = 0;
  std::int64_t mLastIndex = 0;
  std::int64_t mTotalBytes = 0;
  std::string mData;
};

} // namespace magnoliadrum
