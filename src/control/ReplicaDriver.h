#pragma once

#include "control/GroupBootstrap.h"
#include "control/PendingProposals.h"
#include "control/ReplicaStorage.h"
#include "control/Replicator.h"
#include "transport/EventLoop.h"

#include <map>
#include <memory>
#include <optional>

namespace magnoliadrum {

/** What Replicator hides: passes inputs to ConsensusNode and carries out its output. */
class ReplicaDriver
{
public:
  ReplicaDriver(EventLoop& aLoop,
                ReplicatorSettings aSettings,
                std::unique_ptr<ReplicaTransport> aTransport,
                ReplicatorCallbacks aCallbacks,
                std::unique_ptr<ReplicaStorage> aStorage);

  ReplicaDriver(const ReplicaDriver&) = delete;
  ReplicaDriver& operator=(const ReplicaDriver&) = delete;

  /** Applies the stored snapshot and starts the timers. */
  Result<Done> start();

  void receive(const Message& aMessage, std::function<void(const Message&)> aReply);
  void propose(std::string aCommand, ProposalCallback aCallback);
  void changeMembership(MembershipOperation aOperation,
                        const std::string& aReplicaId,
                        const std::string& aAddress,
                        ProposalCallback aCallback);
  void stepDown(std::function<void(const Result<Done>&)> aDone);

  bool isLeader() const;
  bool hasLeaderLease() const;
  std::int64_t appliedIndex() const { return mAppliedIndex; }
  const ConsensusNode& node() const { return *mNode; }
  const std::string& replicaId() const { return mStorage->replicaId(); }
  std::string addressOf(const std::string& aReplicaId) const;

private:
  /** A stepDown() that is under way. */
  struct StepDown
  {
    std::function<void(const Result<Done>&)> done;
    /** Whether this replica led when it was asked. */
    bool wasLeader = false;
    Deadline deadline;
  };

  void createNode(ConsensusStart aStart);
  void tick();
  void scheduleFlush();
  void flush();
  bool flushOnce();
  void send(const std::vector<OutgoingMessage>& aMessages);
  void onReply(const std::string& aAddress, const Message& aMessage);
  void completeLater(ProposalCallback aCallback, ProposalResult aResult);
  void trackProposal(const Result<std::int64_t>& aIndex, ProposalCallback aCallback);
  static void invokeCallbacks(const std::vector<PendingProposals::Settled>& aCompleted);
  Result<Done> installSnapshot(const ConsensusSnapshot& aSnapshot);
  void applyEntry(const LogEntry& aEntry);
  void takeSnapshotIfDue();
  void updateLeadership();
  void requestLeadershipTransfer();
  void checkStepDown();
  void finishStepDown(const Result<Done>& aResult);
  void continueBootstrap();
  void updateConnections();
  void fail(const Error& aError);
  bool failOnError(const Result<Done>& aResult);

  EventLoop& mLoop;
  const ReplicatorSettings mSettings;
  std::unique_ptr<ReplicaTransport> mTransport;
  const ReplicatorCallbacks mCallbacks;
  std::unique_ptr<ReplicaStorage> mStorage;
  std::unique_ptr<ConsensusNode> mNode;
  std::optional<GroupBootstrap> mBootstrap;
  PendingProposals mPendingProposals;
  /** Callbacks of proposals that failed at once; they are called from the loop. */
  std::vector<PendingProposals::Settled> mCompletedProposals;
  /** How to answer a replica that sent a request. */
  std::map<std::string, std::function<void(const Message&)>> mReplyHandlers;
  EventHandlePointer mTickTimer;
  /** Lets posted functions find out that this object is gone. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  bool mFlushScheduled = false;
  bool mFailed = false;
  std::int64_t mAppliedIndex = 0;
  /** Size of the commands applied since the last snapshot. */
  std::size_t mBytesSinceSnapshot = 0;
  /** Term in which this replica leads and has reported so. */
  std::optional<std::int64_t> mLeadingTerm;
  std::optional<StepDown> mStepDown;
  std::int64_t mConnectedConfigurationIndex = -1;
};

} // namespace magnoliadrum
