#pragma once

#include "consensus/ConsensusTypes.h"
#include "consensus/EntryReceiver.h"
#include "consensus/LeaderReplication.h"
#include "consensus/ReplicatedLog.h"
#include "consensus/SnapshotReceiver.h"

#include <memory>
#include <random>
#include <set>

namespace magnoliadrum {

enum class ConsensusRole
{
  eFollower,
  ePreCandidate, /**< Asks whether it would be elected. */
  eCandidate,
  eLeader
};

/**
 * One replica of the replicated log as a state machine.
 *
 * The caller passes in time, messages, proposals and the news that output was stored; takeOutput()
 * says what to store, send and apply. Times must not decrease. Not thread-safe.
 *
 * A replica that is no voter never starts an election, unless its removal is not committed. It
 * still answers vote requests, because the candidate may have a later configuration.
 */
class ConsensusNode
{
public:
  /**
   * Precondition: the start state is consistent (consecutive entries after the snapshot). For one
   * election timeout after its start a replica grants no vote, because it may have promised a
   * leader so before it stopped; only a replica that never had a term is exempt.
   */
  ConsensusNode(ConsensusSettings aSettings,
                ConsensusStart aStart,
                std::mt19937_64 aRandom,
                MonotonicTime aNow);

  ConsensusNode(const ConsensusNode&) = delete;
  ConsensusNode& operator=(const ConsensusNode&) = delete;

  /** Checks all timeouts. To be called at least four times per heartbeat period. */
  void tick(MonotonicTime aNow);

  /** Takes a message of another replica. A malformed message is dropped. */
  void receive(const ConsensusMessage& aMessage, MonotonicTime aNow);

  /**
   * Appends a command. Returns its index; it is committed when an entry of this index and of the
   * current term is in an output. Errors: eNotLeader, eInvalid (too large), eUnavailable (the
   * leadership is being handed over); nothing was appended.
   */
  Result<std::int64_t> propose(std::string aCommand);

  /**
   * Appends a changed configuration, which is in effect at once. Errors as for propose() and of
   * changedConfiguration(), and eConflict: an earlier change, or the first entry of this term, is
   * not committed; or the replica to promote has not caught up.
   */
  Result<std::int64_t> changeMembership(MembershipOperation aOperation,
                                        const std::string& aReplicaId,
                                        const std::string& aAddress,
                                        MonotonicTime aNow);

  /**
   * Hands the leadership to the most current follower and refuses proposals from now on. When that
   * fails within an election timeout, the replica goes on as the leader, or as a follower when the
   * other replica may have started an election already. Errors: eNotLeader, eUnavailable (no
   * follower that can lead).
   */
  Result<Done> transferLeadership(MonotonicTime aNow);

  /** What to do since the last call, see ConsensusOutput. */
  ConsensusOutput takeOutput(MonotonicTime aNow);

  /** The entries of all outputs up to this one are stored and synced. */
  void onStored(std::int64_t aIndex, std::int64_t aTerm);

  /**
   * Describes the state after aIndex, to be stored and then passed to compact(). Precondition:
   * aIndex is an applied index that is not compacted.
   */
  ConsensusSnapshot describeSnapshot(std::int64_t aIndex, std::string aData) const;

  /** Drops entries that a stored snapshot makes unnecessary. */
  void compact(ConsensusSnapshotPointer aSnapshot);

  /** Whether a majority answered requests sent less than one election timeout ago. */
  bool hasLeaderLease(MonotonicTime aNow) const;

  /** Whether this replica leads and an entry of its own term is committed. */
  bool leadsCurrentTerm() const;

  ConsensusRole role() const { return mRole; }
  std::int64_t term() const { return mHardState.term; }
  const std::string& leaderId() const { return mLeaderId; }
  MonotonicTime electedAt() const { return mElectedAt; }
  std::int64_t commitIndex() const { return mCommitIndex; }
  std::int64_t snapshotIndex() const { return mSnapshot ? mSnapshot->lastIndex : 0; }
  const GroupConfiguration& configuration() const { return mLog.configuration(); }
  const ReplicatedLog& log() const { return mLog; }

  /** Last index known to be stored on a replica; 0 when this replica is not the leader. */
  std::int64_t matchIndex(const std::string& aReplicaId) const;

  /** Time since the latest request that a follower answered was sent, or since the election. */
  std::int64_t contactAgeMs(const std::string& aReplicaId) const;

private:
  void on(const VoteRequest& aRequest);
  void on(const VoteReply& aReply);
  void on(const AppendRequest& aRequest);
  void on(const AppendReply& aReply);
  void on(const EntryPart& aPart);
  void on(const EntryPartReply& aReply);
  void on(const SnapshotChunk& aChunk);
  void on(const SnapshotReply& aReply);
  void on(const TimeoutNow& aRequest);

  void becomeFollower(std::int64_t aTerm, const std::string& aLeaderId);
  void becomeLeader();
  void startPreVote();
  void startElection(bool aTransfer);
  void requestVotes(bool aPreVote, bool aTransfer);
  void countVote(const std::string& aVoterId);
  void grantVote(const VoteRequest& aRequest);
  bool mayCampaign() const;
  bool isUpToDate(const VoteRequest& aRequest) const;
  bool hearsLeader() const;
  void acceptLeader(std::int64_t aTerm, const std::string& aLeaderId);
  bool isWellFormed(const AppendRequest& aRequest) const;
  void appendFromLeader(const AppendRequest& aRequest, std::int64_t aFirstIndex);
  void replyToAppend(const AppendRequest& aRequest, bool aSuccess, std::int64_t aMatchIndex);
  void replyToPart(const EntryPart& aPart, std::int64_t aReceivedBytes);
  void replyToChunk(const SnapshotChunk& aChunk, bool aInstalled);
  void installSnapshot(ConsensusSnapshotPointer aSnapshot);
  Result<std::int64_t> appendOwn(LogEntryKind aKind, std::string aData);
  void tickLeader();
  void tickTransfer();
  void sendTimeoutNow(const std::string& aReplicaId);
  void advanceCommit();
  void commitTo(std::int64_t aIndex);
  void leaveAfterOwnRemoval();
  void resetElectionDeadline();
  std::int64_t promiseMs() const;
  bool isCaughtUp(const std::string& aReplicaId) const;
  LeaderReplication::View view() const;
  void send(const std::string& aReceiverId, ConsensusMessage aMessage);
  void sendEarly(std::vector<OutgoingMessage> aMessages);

  const ConsensusSettings mSettings;
  std::mt19937_64 mRandom;
  MonotonicTime mNow;
  HardState::Fields mHardState;
  bool mHardStateChanged = false;
  ReplicatedLog mLog;
  ConsensusSnapshotPointer mSnapshot;
  SnapshotReceiver mReceiver;
  EntryReceiver mEntryReceiver;

  ConsensusRole mRole = ConsensusRole::eFollower;
  std::string mLeaderId;
  Deadline mElectionDeadline;
  /** Until then this replica grants no vote, but for a transfer. */
  Deadline mPromiseUntil;
  std::set<std::string> mVotes;

  std::unique_ptr<LeaderReplication> mLeader;
  MonotonicTime mElectedAt;
  Deadline mNextHeartbeat;
  /** The follower that is to lead; empty when no transfer is under way. */
  std::string mTransferTarget;
  Deadline mTransferDeadline;
  bool mTimeoutNowSent = false;

  std::int64_t mCommitIndex = 0;
  /** Last index that was handed out in ConsensusOutput::committed. */
  std::int64_t mEmittedIndex = 0;
  /** First index that was not handed out in ConsensusOutput::entries. */
  std::int64_t mFirstUnsaved = 1;
  /** Last index that is stored and synced here. */
  std::int64_t mStoredIndex = 0;
  ConsensusSnapshotPointer mReceivedSnapshot;
  std::vector<OutgoingMessage> mEarlyMessages;
  std::vector<OutgoingMessage> mMessages;
};

} // namespace magnoliadrum
