#pragma once

#include "control/GroupBootstrap.h"
#include "control/PendingProposals.h"
#include "control/ReplicaStorage.h"
#include "control/Replicator.h"
#include "transport/EventLoop.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace magnoliadrum {

/**
 * Implementation of Replicator. Passes messages, proposals and time to ConsensusNode, and stores,
 * sends and applies its output.
 */
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

  /** Restores the stored snapshot, prepares the bootstrap if required, and starts the timer. */
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
  /** A call of stepDown() that is not completed. */
  struct StepDown
  {
    std::function<void(const Result<Done>&)> done;
    /** Whether this replica was the leader when stepDown() was called. */
    bool wasLeader = false;
    Deadline deadline;
  };

  void createNode(ConsensusStart aStart);
  void tick();
  void scheduleFlush();
  void flush();
  /** Carries out one output of the node. Returns whether another one may follow. */
  bool flushOnce();
  void send(const std::vector<OutgoingMessage>& aMessages);
  void onReply(const std::string& aAddress, const Message& aMessage);
  void completeLater(ProposalCallback aCallback, ProposalResult aResult);
  void trackProposal(const Result<std::int64_t>& aIndex, ProposalCallback aCallback);
  static void invokeCallbacks(const std::vector<PendingProposals::CompletedProposal>& aCompleted);
  Result<Done> installSnapshot(const ConsensusSnapshot& aSnapshot);
  /** Applies committed entries for at most one portion, and the rest in later turns of the loop. */
  void applyCommitted();
  void applyEntry(const LogEntry& aEntry);
  void takeSnapshotIfDue();
  void updateLeadership();
  void requestLeadershipTransfer();
  void checkStepDown();
  void finishStepDown(const Result<Done>& aResult);
  void continueBootstrap();
  void updateConnections();
  void fail(const Error& aError);
  /** Stops this replica when aResult is an error, and returns whether it is one. */
  bool failOnError(const Result<Done>& aResult);

  EventLoop& mLoop;
  const ReplicatorSettings mSettings;
  std::unique_ptr<ReplicaTransport> mTransport;
  const ReplicatorCallbacks mCallbacks;
  std::unique_ptr<ReplicaStorage> mStorage;
  std::unique_ptr<ConsensusNode> mNode;
  std::optional<GroupBootstrap> mBootstrap;
  PendingProposals mPendingProposals;
  /** Proposals that failed immediately. The next flush invokes their callbacks. */
  std::vector<PendingProposals::CompletedProposal> mCompletedProposals;
  /** Sends a reply to a replica on the connection of its latest request, by replica id. */
  std::map<std::string, std::function<void(const Message&)>> mReplyHandlers;
  EventHandlePointer mTickTimer;
  /** Lets posted functions detect that this object was destroyed. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  bool mFlushScheduled = false;
  bool mFailed = false;
  /** Committed entries that are not applied yet. */
  std::deque<LogEntry> mUnapplied;
  /** Applies the next portion; null when nothing is left to apply. */
  EventHandlePointer mApplyTimer;
  std::int64_t mAppliedIndex = 0;
  std::int64_t mAppliedTerm = 0;
  /** Bytes of the commands applied since the last snapshot was taken. */
  std::int64_t mBytesSinceSnapshot = 0;
  /** Term in which this replica leads, once that was reported to the callbacks; else empty. */
  std::optional<std::int64_t> mLeadingTerm;
  std::optional<StepDown> mStepDown;
  /** Log index of the configuration that updateConnections() last applied. */
  std::int64_t mConnectedConfigurationIndex = -1;
};

} // namespace magnoliadrum
