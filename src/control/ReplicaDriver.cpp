#include "control/ReplicaDriver.h"

#include "observability/observability.h"

#include <algorithm>
#include <random>
#include <utility>

namespace magnoliadrum {

namespace {

/** Number of timeout checks per heartbeat period. */
constexpr std::int64_t kTicksPerHeartbeat = 4;

/**
 * A leadership transfer, or a pending proposal of a former leader, is abandoned after this many
 * election timeouts.
 */
constexpr std::int64_t kAbandonAfterElectionTimeouts = 2;

/**
 * Applying committed entries blocks the loop for at most this part of the heartbeat period, so that
 * a replica that has a long log to apply still sends and answers messages in time.
 */
constexpr std::int64_t kApplyPortionsPerHeartbeat = 4;

const char* const kProposeStep = "log.propose";

ConsensusSettings
consensusSettings(const ReplicatorSettings& aSettings, const std::string& aReplicaId)
{
  ConsensusSettings settings;
  settings.replicaId = aReplicaId;
  settings.electionTimeoutMs = aSettings.electionTimeoutMs;
  settings.heartbeatMs = aSettings.heartbeatMs;
  return settings;
}

std::optional<ConsensusMessage>
toConsensusMessage(const Message& aMessage)
{
  return std::visit(
    [](const auto& aBody) -> std::optional<ConsensusMessage> {
      if constexpr (std::is_constructible_v<ConsensusMessage, decltype(aBody)>) {
        return ConsensusMessage(aBody);
      } else {
        return std::nullopt;
      }
    },
    aMessage);
}

/** Id of the replica that sent a request; empty when the message is a reply. */
std::string
requestSender(const ConsensusMessage& aMessage)
{
  return std::visit(
    [](const auto& aBody) -> std::string {
      if constexpr (requires { aBody.leaderId(); }) {
        return aBody.leaderId();
      } else if constexpr (requires { aBody.candidateId(); }) {
        return aBody.candidateId();
      } else {
        return "";
      }
    },
    aMessage);
}

} // namespace

ReplicaDriver::ReplicaDriver(EventLoop& aLoop,
                             ReplicatorSettings aSettings,
                             std::unique_ptr<ReplicaTransport> aTransport,
                             ReplicatorCallbacks aCallbacks,
                             std::unique_ptr<ReplicaStorage> aStorage)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mTransport(std::move(aTransport))
  , mCallbacks(std::move(aCallbacks))
  , mStorage(std::move(aStorage))
{
}

Result<Done>
ReplicaDriver::start()
{
  ConsensusStart stored = mStorage->takeStoredState();
  const ConsensusSnapshotPointer snapshot = stored.snapshot;
  createNode(std::move(stored));
  if (snapshot) {
    Result<Done> installed = installSnapshot(*snapshot);
    if (!isOk(installed)) {
      return installed;
    }
  }
  const bool empty = mNode->log().lastIndex() == 0;
  // Sorted, so that all initial replicas agree on which one creates the group, whatever the order
  // in their settings.
  std::vector<std::string> initial = mSettings.initialReplicas;
  std::sort(initial.begin(), initial.end());
  if (empty && mSettings.start == ReplicaStart::eBootstrap) {
    if (std::find(initial.begin(), initial.end(), mSettings.address) == initial.end()) {
      return Error::create(ErrorCode::eInvalid,
                           "replica.start",
                           mSettings.address,
                           "the address is not one of initialReplicas");
    }
    if (initial.front() == mSettings.address) {
      mBootstrap.emplace(replicaId(), initial);
    }
  }
  mTransport->setReplyHandler(
    [this](const std::string& aAddress, const Message& aMessage) { onReply(aAddress, aMessage); });
  const std::int64_t period = std::max<std::int64_t>(1, mSettings.heartbeatMs / kTicksPerHeartbeat);
  mTickTimer = mLoop.runEvery(period, [this] { tick(); });
  logInfo("replica started",
          { { "replica", replicaId() },
            { "term", mNode->term() },
            { "snapshot", mNode->snapshotIndex() },
            { "last", mNode->log().lastIndex() } });
  return Done{};
}

void
ReplicaDriver::createNode(ConsensusStart aStart)
{
  std::random_device device;
  const std::uint64_t seed = (std::uint64_t{ device() } << 32U) | device();
  mNode = std::make_unique<ConsensusNode>(consensusSettings(mSettings, replicaId()),
                                          std::move(aStart),
                                          std::mt19937_64(seed),
                                          mLoop.now());
}

void
ReplicaDriver::tick()
{
  if (mFailed) {
    return;
  }
  mNode->tick(mLoop.now());
  continueBootstrap();
  flush();
}

void
ReplicaDriver::receive(const Message& aMessage, std::function<void(const Message&)> aReply)
{
  const std::optional<ConsensusMessage> message = toConsensusMessage(aMessage);
  if (mFailed || !message) {
    return;
  }
  const std::string sender = requestSender(*message);
  if (!sender.empty() && aReply) {
    mReplyHandlers[sender] = std::move(aReply);
  }
  mNode->receive(*message, mLoop.now());
  scheduleFlush();
}

void
ReplicaDriver::onReply(const std::string& aAddress, const Message& aMessage)
{
  const VoteReply* vote = std::get_if<VoteReply>(&aMessage);
  if (mBootstrap && vote != nullptr && !mFailed) {
    failOnError(mBootstrap->onReply(aAddress, *vote));
    return;
  }
  receive(aMessage, {});
}

void
ReplicaDriver::propose(std::string aCommand, ProposalCallback aCallback)
{
  if (!isLeader() || mStepDown) {
    const Error error =
      Error::create(ErrorCode::eNotLeader,
                    kProposeStep,
                    replicaId(),
                    "this replica is not the leader or is transferring the leadership");
    completeLater(std::move(aCallback), ProposalFailure{ error, false });
    return;
  }
  trackProposal(mNode->propose(std::move(aCommand)), std::move(aCallback));
}

void
ReplicaDriver::changeMembership(MembershipOperation aOperation,
                                const std::string& aReplicaId,
                                const std::string& aAddress,
                                ProposalCallback aCallback)
{
  trackProposal(mNode->changeMembership(aOperation, aReplicaId, aAddress, mLoop.now()),
                std::move(aCallback));
}

void
ReplicaDriver::trackProposal(const Result<std::int64_t>& aIndex, ProposalCallback aCallback)
{
  if (!isOk(aIndex)) {
    completeLater(std::move(aCallback), ProposalFailure{ errorOf(aIndex), false });
    return;
  }
  mPendingProposals.add(valueOf(aIndex), mNode->term(), std::move(aCallback));
  scheduleFlush();
}

void
ReplicaDriver::completeLater(ProposalCallback aCallback, ProposalResult aResult)
{
  mCompletedProposals.push_back({ std::move(aCallback), std::move(aResult) });
  scheduleFlush();
}

void
ReplicaDriver::stepDown(std::function<void(const Result<Done>&)> aDone)
{
  if (mStepDown) {
    // The transfer in progress completes both calls.
    mStepDown->done = [first = std::move(mStepDown->done),
                       second = std::move(aDone)](const Result<Done>& aResult) {
      first(aResult);
      second(aResult);
    };
    return;
  }
  mStepDown = { .done = std::move(aDone),
                .wasLeader = mNode->role() == ConsensusRole::eLeader,
                .deadline =
                  mLoop.now().plusMs(mSettings.electionTimeoutMs * kAbandonAfterElectionTimeouts) };
  scheduleFlush();
}

void
ReplicaDriver::scheduleFlush()
{
  if (std::exchange(mFlushScheduled, true)) {
    return;
  }
  // The posted function runs after the callbacks that are due now, so that all entries they propose
  // or receive are stored with a single sync.
  mLoop.post([this, alive = std::weak_ptr<bool>(mAlive)] {
    if (!alive.expired()) {
      flush();
    }
  });
}

void
ReplicaDriver::flush()
{
  mFlushScheduled = false;
  if (!mFailed) {
    requestLeadershipTransfer();
  }
  while (!mFailed && flushOnce()) {
  }
  if (!mFailed && !mApplyTimer) {
    applyCommitted();
  }
  if (mFailed) {
    return;
  }
  takeSnapshotIfDue();
  if (mFailed) {
    return;
  }
  updateLeadership();
  updateConnections();
  invokeCallbacks(mPendingProposals.takeExpired(mLoop.now()));
  invokeCallbacks(std::exchange(mCompletedProposals, {}));
  checkStepDown();
}

bool
ReplicaDriver::flushOnce()
{
  const ConsensusOutput output = mNode->takeOutput(mLoop.now());
  send(output.earlyMessages);
  if (failOnError(mStorage->store(output))) {
    return false;
  }
  send(output.messages);
  if (output.snapshot && failOnError(installSnapshot(*output.snapshot))) {
    return false;
  }
  mUnapplied.insert(mUnapplied.end(), output.committed.begin(), output.committed.end());
  if (!output.entries.empty()) {
    mNode->onStored(output.entries.back().index(), output.entries.back().term());
  }
  return output.hardState || output.snapshot || !output.entries.empty() ||
         !output.messages.empty() || !output.committed.empty();
}

void
ReplicaDriver::send(const std::vector<OutgoingMessage>& aMessages)
{
  for (const OutgoingMessage& outgoing : aMessages) {
    const Message message =
      std::visit([](const auto& aBody) { return Message(aBody); }, outgoing.message);
    if (!requestSender(outgoing.message).empty()) {
      const std::string address = addressOf(outgoing.receiverId);
      if (!address.empty()) {
        mTransport->send(address, message);
      }
      continue;
    }
    const auto handler = mReplyHandlers.find(outgoing.receiverId);
    if (handler != mReplyHandlers.end()) {
      handler->second(message);
    }
  }
}

Result<Done>
ReplicaDriver::installSnapshot(const ConsensusSnapshot& aSnapshot)
{
  mUnapplied.clear();
  mAppliedIndex = aSnapshot.lastIndex;
  mAppliedTerm = aSnapshot.lastTerm;
  Result<Done> restored = mCallbacks.restoreSnapshot(aSnapshot.data);
  invokeCallbacks(mPendingProposals.onSnapshotInstalled(aSnapshot.lastIndex));
  return restored;
}

void
ReplicaDriver::applyCommitted()
{
  const std::int64_t portionMs = mSettings.heartbeatMs / kApplyPortionsPerHeartbeat;
  const Deadline end = mLoop.now().plusMs(std::max<std::int64_t>(1, portionMs));
  while (!mFailed && !mUnapplied.empty() && mLoop.now() < end) {
    const LogEntry entry = std::move(mUnapplied.front());
    mUnapplied.pop_front();
    applyEntry(entry);
  }
  if (mFailed || mUnapplied.empty()) {
    return;
  }
  // A posted function would run before the loop reads messages again, a timer runs after it.
  mApplyTimer = mLoop.runAt(mLoop.now(), [this] {
    mApplyTimer.reset();
    flush();
  });
}

void
ReplicaDriver::applyEntry(const LogEntry& aEntry)
{
  assert(aEntry.index() == mAppliedIndex + 1);
  mAppliedIndex = aEntry.index();
  mAppliedTerm = aEntry.term();
  if (aEntry.kind() == LogEntryKind::eCommand) {
    mBytesSinceSnapshot += std::ssize(aEntry.data());
    mCallbacks.apply(aEntry.index(), aEntry.data());
  }
  invokeCallbacks(mPendingProposals.onEntryApplied(aEntry.index(), aEntry.term()));
}

void
ReplicaDriver::invokeCallbacks(const std::vector<PendingProposals::CompletedProposal>& aCompleted)
{
  for (const PendingProposals::CompletedProposal& completed : aCompleted) {
    completed.callback(completed.result);
  }
}

void
ReplicaDriver::takeSnapshotIfDue()
{
  const std::int64_t entries = mAppliedIndex - mNode->snapshotIndex();
  if (entries < mSettings.snapshotEveryEntries &&
      mBytesSinceSnapshot < mSettings.snapshotEveryBytes) {
    return;
  }
  mBytesSinceSnapshot = 0;
  const std::shared_ptr<const ConsensusSnapshot> snapshot =
    std::make_shared<const ConsensusSnapshot>(
      mNode->describeSnapshot(mAppliedIndex, mCallbacks.encodeSnapshot()));
  if (!failOnError(mStorage->saveSnapshot(*snapshot))) {
    mNode->compact(snapshot);
  }
}

void
ReplicaDriver::updateLeadership()
{
  std::optional<std::int64_t> leading;
  // The first entry of the own term follows all entries of earlier leaders.
  if (mNode->leadsCurrentTerm() && mAppliedTerm == mNode->term()) {
    leading = mNode->term();
  }
  const Deadline deadline =
    mLoop.now().plusMs(mSettings.electionTimeoutMs * kAbandonAfterElectionTimeouts);
  mPendingProposals.setLeader(leading.has_value(), deadline);
  if (leading == mLeadingTerm) {
    return;
  }
  const bool wasLeading = mLeadingTerm.has_value();
  mLeadingTerm = leading;
  if (wasLeading) {
    logInfo("leadership lost", { { "replica", replicaId() }, { "term", mNode->term() } });
    mCallbacks.leadershipChanged(false);
  }
  if (leading) {
    logInfo("leadership won", { { "replica", replicaId() }, { "term", mNode->term() } });
    mCallbacks.leadershipChanged(true);
  }
}

void
ReplicaDriver::requestLeadershipTransfer()
{
  if (!mStepDown || mNode->role() != ConsensusRole::eLeader) {
    return;
  }
  // Called on every flush, because a transfer is cancelled when the chosen replica fails.
  const Result<Done> transfer = mNode->transferLeadership(mLoop.now());
  if (!isOk(transfer)) {
    finishStepDown(transfer);
  }
}

void
ReplicaDriver::checkStepDown()
{
  if (!mStepDown) {
    return;
  }
  const bool leads = mNode->role() == ConsensusRole::eLeader;
  const bool otherLeads = !leads && !mNode->leaderId().empty();
  const bool expired = mLoop.now() >= mStepDown->deadline;
  // The new leader commits the proposals in flight, so wait until their callers have a result.
  const bool proposalsDone = mPendingProposals.size() == 0 || expired;
  if ((!leads && !mStepDown->wasLeader) || (otherLeads && proposalsDone)) {
    finishStepDown(Done{});
  } else if (expired) {
    finishStepDown(Error::create(
      ErrorCode::eTimeout, "log.stepDown", replicaId(), "no other replica became the leader"));
  }
}

void
ReplicaDriver::finishStepDown(const Result<Done>& aResult)
{
  const auto done = std::move(mStepDown->done);
  mStepDown.reset();
  done(aResult);
}

void
ReplicaDriver::continueBootstrap()
{
  if (!mBootstrap || mFailed) {
    return;
  }
  if (mNode->log().lastIndex() > 0) {
    mBootstrap.reset();
    return;
  }
  const std::optional<GroupConfiguration> configuration = mBootstrap->configuration();
  if (!configuration) {
    for (const std::string& address : mBootstrap->addressesWithoutReply()) {
      mTransport->send(address, mBootstrap->preVoteRequest());
    }
    return;
  }
  mBootstrap.reset();
  Result<ConsensusStart> initialState = mStorage->storeInitialConfiguration(*configuration);
  if (!isOk(initialState)) {
    fail(errorOf(initialState));
    return;
  }
  createNode(takeValue(std::move(initialState)));
  logInfo("group bootstrapped", { { "replica", replicaId() } });
}

void
ReplicaDriver::updateConnections()
{
  const std::int64_t index = mNode->log().configurationIndex();
  if (mBootstrap || index == mConnectedConfigurationIndex) {
    return;
  }
  mConnectedConfigurationIndex = index;
  std::vector<std::string> addresses;
  for (const Replica& replica : mNode->configuration().replicas()) {
    addresses.push_back(replica.address());
  }
  mTransport->closeConnectionsExcept(addresses);
}

bool
ReplicaDriver::isLeader() const
{
  return !mFailed && mLeadingTerm && mNode->leadsCurrentTerm() && mNode->term() == *mLeadingTerm;
}

bool
ReplicaDriver::hasLeaderLease() const
{
  return !mFailed && mNode->hasLeaderLease(mLoop.now());
}

std::string
ReplicaDriver::addressOf(const std::string& aReplicaId) const
{
  const Replica* replica = findReplica(mNode->configuration(), aReplicaId);
  return replica == nullptr ? "" : replica->address();
}

bool
ReplicaDriver::failOnError(const Result<Done>& aResult)
{
  if (isOk(aResult)) {
    return false;
  }
  fail(errorOf(aResult));
  return true;
}

void
ReplicaDriver::fail(const Error& aError)
{
  mFailed = true;
  mTickTimer.reset();
  mApplyTimer.reset();
  logError("replica failed", aError);
  mCallbacks.failed(aError);
}

} // namespace magnoliadrum
