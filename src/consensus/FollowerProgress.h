#pragma once

#include "consensus/ConsensusTypes.h"

#include <deque>

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

  Mode mode = Mode::eProbe;
  /** Last index known to be stored on it. */
  std::int64_t matchIndex = 0;
  std::int64_t nextIndex = 1;
  /** Last index of each message with entries that is not answered. */
  std::deque<std::int64_t> unanswered;
  bool probeSent = false;
  /** A refusal of an earlier round says nothing about the current nextIndex. */
  std::int64_t firstValidRound = 0;
  /** When the latest request that it has answered was sent; nothing before its first answer. */
  std::optional<MonotonicTime> contact;
  Transfer transfer;

  void startProbe(std::int64_t aNextIndex, std::int64_t aNextRound)
  {
    mode = Mode::eProbe;
    nextIndex = aNextIndex;
    unanswered.clear();
    probeSent = false;
    firstValidRound = aNextRound;
    transfer = Transfer();
  }
};

} // namespace magnoliadrum
