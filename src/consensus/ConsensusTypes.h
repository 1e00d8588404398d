#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cassert>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** Limits and periods of one replica; the same on all replicas of a group, but for replicaId. */
struct ConsensusSettings
{
  std::string replicaId;
  /** A follower that hears no leader for this long starts an election. */
  std::int64_t electionTimeoutMs = 1000;
  /** Period of the leader's messages to idle followers; well below the election timeout. */
  std::int64_t heartbeatMs = 100;
  /**
   * Entry bytes in one message; a larger entry is sent in parts of this size. Small, because a
   * heartbeat waits behind one message to each follower: with six followers 31 ms on a link of
   * 200 Mbit/s.
   */
  std::size_t maxMessageBytes = std::size_t{ 128 } << 10;
  std::size_t maxMessageEntries = 512;
  /** AppendRequests with entries that may be sent to a follower before the first is answered. */
  std::size_t maxUnansweredMessages = 16;
  /** No further AppendRequest with entries is sent while this many entry bytes are unanswered. */
  std::size_t maxUnansweredBytes = std::size_t{ 256 } << 10;
  /** Largest proposal; it must fit into a frame with its envelope. */
  std::size_t maxProposalBytes = std::size_t{ 3 } << 20;
  std::size_t snapshotChunkBytes = std::size_t{ 512 } << 10;
  /** Entries kept below the snapshot, so that a follower that is a little behind needs none. */
  std::int64_t retainedEntries = 1000;
  /**
   * Entries kept at most for followers that answer but are behind. A follower that has just got a
   * snapshot would need the next one if the entries after the first were dropped meanwhile.
   */
  std::int64_t maxRetainedEntries = 50000;
  /** Bytes kept at most below the snapshot; an entry may hold the answer to a request. */
  std::size_t maxRetainedBytes = std::size_t{ 32 } << 20;
  /** A non-voter that lags the commit index by at most this many entries may be promoted. */
  std::int64_t promotionLagEntries = 100;
};

/** The state machine after lastIndex, with the members at that point. */
struct ConsensusSnapshot
{
  std::int64_t lastIndex = 0;
  std::int64_t lastTerm = 0;
  GroupConfiguration configuration;
  std::string data;

  friend bool operator==(const ConsensusSnapshot&, const ConsensusSnapshot&) = default;
};

using ConsensusSnapshotPointer = std::shared_ptr<const ConsensusSnapshot>;

/** What a replica has stored when it starts. */
struct ConsensusStart
{
  HardState hardState;
  /** Null when there is none. */
  ConsensusSnapshotPointer snapshot;
  /** Consecutive; the first follows the snapshot, or has index 1 without one. */
  std::vector<LogEntry> entries;
};

using ConsensusMessage = std::variant<VoteRequest,
                                      VoteReply,
                                      AppendRequest,
                                      AppendReply,
                                      EntryPart,
                                      EntryPartReply,
                                      SnapshotChunk,
                                      SnapshotReply,
                                      TimeoutNow>;

struct OutgoingMessage
{
  std::string receiverId;
  ConsensusMessage message;
};

/**
 * What the caller must do, in this order: send earlyMessages; store hardState, snapshot and entries
 * and sync them; send messages; install the snapshot; apply the committed entries; call onStored().
 */
struct ConsensusOutput
{
  /** Messages that state nothing about what is stored here. */
  std::vector<OutgoingMessage> earlyMessages;
  std::optional<HardState> hardState;
  /** Replaces the state and the whole stored log; entries follow it. */
  ConsensusSnapshotPointer snapshot;
  /** Entries to append. The first one replaces any stored entry of its index and all after it. */
  std::vector<LogEntry> entries;
  std::vector<OutgoingMessage> messages;
  std::vector<LogEntry> committed;
};

/** Builds a value whose fields are known to be within their bounds. */
template<typename Type>
Type
makeChecked(typename Type::Fields aFields)
{
  Result<Type> result = Type::create(std::move(aFields));
  assert(isOk(result));
  return takeValue(std::move(result));
}

} // namespace magnoliadrum
