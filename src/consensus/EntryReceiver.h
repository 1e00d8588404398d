#pragma once

#include "consensus/ConsensusTypes.h"

#include <optional>

namespace magnoliadrum {

/** Collects the parts of one large entry in order. */
class EntryReceiver
{
public:
  /**
   * Takes a part. A part of another entry or leader term starts anew. Returns the entry when it is
   * complete; it is then no longer held here.
   */
  std::optional<LogEntry> add(const EntryPart& aPart);

  /** Bytes received in order so far. */
  std::int64_t receivedBytes() const { return std::ssize(mData); }

  void clear();

private:
  std::int64_t mTerm = 0;
  std::int64_t mPreviousIndex = 0;
  std::string mData;
};

} // namespace magnoliadrum
