#pragma once

#include "consensus/ConsensusTypes.h"
#include "consensus/FollowerProgress.h"
#include "consensus/ReplicatedLog.h"

#include <deque>
#include <map>

namespace magnoliadrum {

/** The volatile state of a leader in one term: the progress of its followers and its quorum. */
class LeaderReplication
{
public:
  /** What a step reads from the replica. */
  struct View
  {
    const ReplicatedLog& log;
    std::int64_t commitIndex;
    ConsensusSnapshotPointer snapshot;
    MonotonicTime now;
  };

  LeaderReplication(const ConsensusSettings& aSettings, std::int64_t aTerm, MonotonicTime aNow);

  /** Starts to follow new members and forgets removed ones. */
  void updateMembers(const View& aView);

  /** Sends what the windows of all followers permit. */
  std::vector<OutgoingMessage> replicate(const View& aView);

  /** Sends a message to every follower, and again what may have been lost. */
  std::vector<OutgoingMessage> heartbeat(const View& aView);

  void onAppendReply(const AppendReply& aReply, const View& aView);
  void onEntryPartReply(const EntryPartReply& aReply, const View& aView);
  void onSnapshotReply(const SnapshotReply& aReply, const View& aView);

  /** Last index stored on a majority of voters, of which this replica stored up to aOwnIndex. */
  std::int64_t quorumIndex(const GroupConfiguration& aConfiguration, std::int64_t aOwnIndex) const;

  /** The latest time such that a majority of voters answered requests sent then or later. */
  std::optional<MonotonicTime> quorumContact(const GroupConfiguration& aConfiguration,
                                             MonotonicTime aNow) const;

  /** The voter with the most entries among those that answered since aSince; empty when none. */
  std::string mostCurrentVoter(const GroupConfiguration& aConfiguration,
                               MonotonicTime aSince) const;

  /** The last index that every follower that answered since aSince has or is being sent. */
  std::int64_t indexCovered(MonotonicTime aSince) const;

  /** Null when it is not a member. */
  const FollowerProgress* progress(const std::string& aReplicaId) const;

  MonotonicTime electedAt() const { return mElectedAt; }

private:
  using Messages = std::vector<OutgoingMessage>;

  void replicateTo(const std::string& aId,
                   FollowerProgress& aProgress,
                   const View& aView,
                   Messages& aMessages);
  void sendAppend(const std::string& aId,
                  FollowerProgress& aProgress,
                  const View& aView,
                  bool aWithEntries,
                  Messages& aMessages);
  /** Sends the next part of the entry at nextIndex unless one is on its way. */
  void sendPartIfDue(const std::string& aId,
                     FollowerProgress& aProgress,
                     const View& aView,
                     Messages& aMessages);
  bool isUnanswered(std::int64_t aRound, MonotonicTime aSentAt, MonotonicTime aNow) const;
  void sendHeartbeatInTransfer(const std::string& aId, Messages& aMessages, MonotonicTime aNow);
  void sendChunk(const std::string& aId,
                 FollowerProgress& aProgress,
                 MonotonicTime aNow,
                 Messages& aMessages);
  void startTransfer(FollowerProgress& aProgress, const View& aView);
  FollowerProgress* answered(const std::string& aId, std::int64_t aRound, MonotonicTime aNow);
  void matched(FollowerProgress& aProgress, std::int64_t aIndex);
  std::int64_t newRound(MonotonicTime aNow);
  std::optional<MonotonicTime> roundSentAt(std::int64_t aRound) const;

  const ConsensusSettings& mSettings;
  const std::int64_t mTerm;
  const MonotonicTime mElectedAt;
  std::map<std::string, FollowerProgress> mFollowers;
  /** When the rounds from mFirstRound on were sent; older ones no longer count. */
  std::deque<MonotonicTime> mRoundTimes;
  std::int64_t mFirstRound = 1;
};

} // namespace magnoliadrum
