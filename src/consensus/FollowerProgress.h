#pragma once

#include "consensus/ConsensusTypes.h"

#include <deque>
#include <optional>

namespace magnoliadrum {

/** What the leader knows about one other replica. */
struct FollowerProgress
{
  enum class Mode
  {
    eProbe,     /**< One message at a time until an entry matches. */
    eReplicate, /**< Entries are sent before earlier ones are answered. */
    eSnapshot   /**< The entries it needs are compacted. */
  };

  /** The snapshot in transfer; it stays the same even when a newer one is taken. */
  struct Transfer
  {
    ConsensusSnapshotPointer snapshot;
    std::int64_t offset = 0;
    std::int64_t round = 0;
    MonotonicTime sentAt;
  };

  /** An AppendRequest with entries that is not answered. */
  struct Unanswered
  {
    std::int64_t lastIndex = 0;
    std::size_t bytes = 0;
  };

  /** The transfer of the entry at nextIndex in parts. */
  struct PartTransfer
  {
    std::size_t offset = 0;
    /** Round of the part that is not answered; 0 when the next one can be sent. */
    std::int64_t round = 0;
    MonotonicTime sentAt;
  };

  Mode mode = Mode::eProbe;
  /** Last index known to be stored on it. */
  std::int64_t matchIndex = 0;
  std::int64_t nextIndex = 1;
  std::deque<Unanswered> unanswered;
  std::size_t unansweredBytes = 0;
  /** Empty when no entry is sent in parts. */
  std::optional<PartTransfer> parts;
  bool probeSent = false;
  /** A refusal of an earlier round says nothing about the current nextIndex. */
  std::int64_t firstValidRound = 0;
  /** When the latest request that it has answered was sent; nothing before its first answer. */
  std::optional<MonotonicTime> contact;
  Transfer transfer;

  void addUnanswered(std::int64_t aLastIndex, std::size_t aBytes)
  {
    unanswered.push_back({ aLastIndex, aBytes });
    unansweredBytes += aBytes;
  }

  void removeAnswered(std::int64_t aIndex)
  {
    while (!unanswered.empty() && unanswered.front().lastIndex <= aIndex) {
      unansweredBytes -= unanswered.front().bytes;
      unanswered.pop_front();
    }
  }

  /** Forgets what was sent and not answered. */
  void clearSent()
  {
    unanswered.clear();
    unansweredBytes = 0;
    parts.reset();
  }

  void startProbe(std::int64_t aNextIndex, std::int64_t aNextRound)
  {
    mode = Mode::eProbe;
    nextIndex = aNextIndex;
    clearSent();
    probeSent = false;
    firstValidRound = aNextRound;
    transfer = Transfer();
  }
};

} // namespace magnoliadrum
