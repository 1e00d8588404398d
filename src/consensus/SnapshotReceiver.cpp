#include "consensus/SnapshotReceiver.h"

namespace magnoliadrum {

ConsensusSnapshotPointer
SnapshotReceiver::add(const SnapshotChunk& aChunk)
{
  const bool sameSnapshot = aChunk.term() == mTerm && aChunk.lastIndex() == mLastIndex &&
                            aChunk.totalBytes() == mTotalBytes;
  if (!sameSnapshot) {
    clear();
    mTerm = aChunk.term();
    mLastIndex = aChunk.lastIndex();
    mTotalBytes = aChunk.totalBytes();
  }
  if (aChunk.offset() != receivedBytes()) {
    return nullptr;
  }
  if (receivedBytes() + static_cast<std::int64_t>(aChunk.data().size()) > mTotalBytes) {
    return nullptr;
  }
  mData += aChunk.data();
  if (receivedBytes() < mTotalBytes) {
    return nullptr;
  }
  std::shared_ptr<const ConsensusSnapshot> snapshot = std::make_shared<const ConsensusSnapshot>(
    ConsensusSnapshot{ .lastIndex = aChunk.lastIndex(),
                       .lastTerm = aChunk.lastTerm(),
                       .configuration = aChunk.configuration(),
                       .data = std::move(mData) });
  clear();
  return snapshot;
}

void
SnapshotReceiver::clear()
{
  mTerm = 0;
  mLastIndex = 0;
  mTotalBytes = 0;
  mData = std::string();
}

} // namespace magnoliadrum
