#pragma once

#include "control/CommandLog.h"
#include "state/state.h"

namespace magnoliadrum {

/**
 * Command log of a single replica that keeps nothing on disk, for tests. A proposed command is
 * committed and applied by a function that is passed to the PostFunction.
 */
class InMemoryCommandLog : public CommandLog
{
public:
  /** Schedules a function to run after the current callback. */
  using PostFunction = std::function<void(std::function<void()>)>;

  InMemoryCommandLog(ControlState& aState, PostFunction aPost, std::string aAddress);

  /** Makes this replica the leader of a new term, or stops it from being the leader. */
  void setLeader(bool aIsLeader, MonotonicTime aNow);

  /** Sets whether hasLeaderLease() returns true while this replica leads. */
  void setLeaderLease(bool aHolds) { mHoldsLease = aHolds; }

  void setObserver(CommandLogObserver* aObserver) override { mObserver = aObserver; }
  void propose(const Command& aCommand, CommandCallback aCallback) override;
  bool isLeader() const override { return mIsLeader; }
  bool hasLeaderLease() const override { return mIsLeader && mHoldsLease; }
  MonotonicTime electedAt() const override { return mElectedAt; }
  std::int64_t term() const override { return mTerm; }
  std::int64_t commitIndex() const override { return mState.appliedIndex(); }
  std::string leaderId() const override { return mIsLeader ? "in-memory" : ""; }
  std::string leaderAddress() const override { return mIsLeader ? mAddress : ""; }
  std::string replicaId() const override { return "in-memory"; }
  std::vector<ReplicaStatus> replicas() const override { return mReplicas; }
  void setReplicas(std::vector<ReplicaStatus> aReplicas) { mReplicas = std::move(aReplicas); }
  void changeMembership(const MembershipRequest& aRequest,
                        std::function<void(const Result<Done>&)> aCallback) override;
  void stepDown(std::function<void(const Result<Done>&)> aDone) override;
  bool accepts(const Message& /*aMessage*/) const override { return false; }
  void receive(const Message& /*aMessage*/, std::function<void(const Message&)> /*aReply*/) override
  {
  }

private:
  std::vector<ReplicaStatus> mReplicas;
  ControlState& mState;
  PostFunction mPost;
  std::string mAddress;
  CommandLogObserver* mObserver = nullptr;
  bool mIsLeader = false;
  bool mHoldsLease = true;
  std::int64_t mTerm = 0;
  MonotonicTime mElectedAt;
};

} // namespace magnoliadrum
