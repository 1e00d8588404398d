#include "consensus/EntryReceiver.h"

#include <utility>

namespace magnoliadrum {

std::optional<LogEntry>
EntryReceiver::add(const EntryPart& aPart)
{
  // The leader of a term has one entry at an index, and does not change it.
  if (aPart.term() != mTerm || aPart.previousIndex() != mPreviousIndex) {
    clear();
    mTerm = aPart.term();
    mPreviousIndex = aPart.previousIndex();
  }
  if (aPart.offset() != receivedBytes() ||
      receivedBytes() + std::ssize(aPart.data()) > aPart.totalBytes()) {
    return std::nullopt;
  }
  mData += aPart.data();
  if (receivedBytes() < aPart.totalBytes()) {
    return std::nullopt;
  }
  LogEntry entry = makeChecked<LogEntry>({ .index = aPart.previousIndex() + 1,
                                           .term = aPart.entryTerm(),
                                           .kind = aPart.kind(),
                                           .data = std::move(mData) });
  clear();
  return entry;
}

void
EntryReceiver::clear()
{
  mTerm = 0;
  mPreviousIndex = 0;
  mData = std::string();
}

} // namespace magnoliadrum
