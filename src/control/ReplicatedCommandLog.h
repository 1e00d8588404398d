#pragma once

#include "control/CommandLog.h"
#include "control/Replicator.h"
#include "state/state.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnoliadrum {

/** Command log based on Replicator. Encodes proposed commands and applies committed ones. */
class ReplicatedCommandLog : public CommandLog
{
public:
  /**
   * Opens the data folder and loads the stored snapshot into aState. aOnFailure is called when the
   * process must terminate immediately. Errors: eNotFound (empty data folder without --bootstrap or
   * --join), eCorrupt, eIo.
   */
  static Result<std::unique_ptr<ReplicatedCommandLog>> create(
    EventLoop& aLoop,
    ReplicatorSettings aSettings,
    std::unique_ptr<ReplicaTransport> aTransport,
    ControlState& aState,
    std::function<void(const Error&)> aOnFailure);

  ReplicatedCommandLog(const ReplicatedCommandLog&) = delete;
  ReplicatedCommandLog& operator=(const ReplicatedCommandLog&) = delete;

  void setObserver(CommandLogObserver* aObserver) override { mObserver = aObserver; }
  void propose(const Command& aCommand, CommandCallback aCallback) override;
  bool isLeader() const override { return mReplicator->isLeader(); }
  bool hasLeaderLease() const override { return mReplicator->hasLeaderLease(); }
  MonotonicTime electedAt() const override { return mReplicator->electedAt(); }
  std::int64_t term() const override { return mReplicator->term(); }
  std::int64_t commitIndex() const override { return mReplicator->commitIndex(); }
  std::string leaderId() const override { return mReplicator->leaderId(); }
  std::string leaderAddress() const override { return mReplicator->leaderAddress(); }
  std::string replicaId() const override { return mReplicator->replicaId(); }
  std::vector<ReplicaStatus> replicas() const override { return mReplicator->replicas(); }
  void changeMembership(const MembershipRequest& aRequest,
                        std::function<void(const Result<Done>&)> aCallback) override;
  void stepDown(std::function<void(const Result<Done>&)> aDone) override;
  bool accepts(const Message& aMessage) const override { return Replicator::accepts(aMessage); }
  void receive(const Message& aMessage, std::function<void(const Message&)> aReply) override;

private:
  ReplicatedCommandLog(ControlState& aState, std::function<void(const Error&)> aOnFailure);

  ReplicatorCallbacks callbacks();
  void apply(std::int64_t aIndex, std::string_view aCommand);
  Result<Done> restoreSnapshot(std::string_view aSnapshot);
  CommandResult toCommandResult(const ProposalResult& aResult) const;

  ControlState& mState;
  std::function<void(const Error&)> mOnFailure;
  CommandLogObserver* mObserver = nullptr;
  std::unique_ptr<Replicator> mReplicator;
  /** Outcome of the last applied command, whose index is mState.appliedIndex(). */
  std::optional<Outcome> mLastOutcome;
};

} // namespace magnoliadrum
