#include "consensus/ConsensusNode.h"

#include "consensus/GroupMembership.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

const char* const kStep = "consensus.propose";

/**
 * A follower's promise to a leader lasts 2% longer than the leader's lease, because the rates of
 * two clocks may differ by 1% each way.
 */
constexpr std::int64_t kPromisePercent = 102;

} // namespace

ConsensusNode::ConsensusNode(ConsensusSettings aSettings,
                             ConsensusStart aStart,
                             std::mt19937_64 aRandom,
                             MonotonicTime aNow)
  : mSettings(std::move(aSettings))
  , mRandom(aRandom)
  , mNow(aNow)
  , mHardState(aStart.hardState.fields())
  , mSnapshot(std::move(aStart.snapshot))
{
  if (mSnapshot) {
    mLog.reset(mSnapshot->lastIndex, mSnapshot->lastTerm, mSnapshot->configuration);
    mCommitIndex = mSnapshot->lastIndex;
    mEmittedIndex = mSnapshot->lastIndex;
  }
  for (LogEntry& entry : aStart.entries) {
    mLog.append(std::move(entry));
  }
  mFirstUnsaved = mLog.lastIndex() + 1;
  mStoredIndex = mLog.lastIndex();
  if (mHardState.term > 0) {
    mPromiseUntil = mNow.plusMs(promiseMs());
  }
  resetElectionDeadline();
}

void
ConsensusNode::tick(MonotonicTime aNow)
{
  mNow = std::max(mNow, aNow);
  if (mRole == ConsensusRole::eLeader) {
    tickLeader();
    return;
  }
  if (mNow < mElectionDeadline) {
    return;
  }
  if (mayCampaign()) {
    startPreVote();
  } else {
    resetElectionDeadline();
  }
}

void
ConsensusNode::receive(const ConsensusMessage& aMessage, MonotonicTime aNow)
{
  mNow = std::max(mNow, aNow);
  std::visit([this](const auto& aBody) { on(aBody); }, aMessage);
}

ConsensusOutput
ConsensusNode::takeOutput(MonotonicTime aNow)
{
  mNow = std::max(mNow, aNow);
  if (mLeader) {
    sendEarly(mLeader->replicate(view()));
  }
  ConsensusOutput output;
  output.earlyMessages = std::move(mEarlyMessages);
  output.messages = std::move(mMessages);
  mEarlyMessages.clear();
  mMessages.clear();
  if (mHardStateChanged) {
    output.hardState = makeChecked<HardState>(mHardState);
    mHardStateChanged = false;
    // A leader that crashes before its term is stored could win the same term again with other
    // entries, so nothing of that term may leave before.
    output.messages.insert(output.messages.begin(),
                           std::make_move_iterator(output.earlyMessages.begin()),
                           std::make_move_iterator(output.earlyMessages.end()));
    output.earlyMessages.clear();
  }
  output.snapshot = std::move(mReceivedSnapshot);
  mReceivedSnapshot = nullptr;
  output.entries = mLog.range(mFirstUnsaved, mLog.lastIndex());
  mFirstUnsaved = mLog.lastIndex() + 1;
  output.committed = mLog.range(mEmittedIndex + 1, mCommitIndex);
  mEmittedIndex = mCommitIndex;
  return output;
}

void
ConsensusNode::onStored(std::int64_t aIndex, std::int64_t aTerm)
{
  if (mLog.termAt(aIndex) != aTerm) {
    return;
  }
  mStoredIndex = std::max(mStoredIndex, aIndex);
  advanceCommit();
}

ConsensusSnapshot
ConsensusNode::describeSnapshot(std::int64_t aIndex, std::string aData) const
{
  const std::optional<std::int64_t> term = mLog.termAt(aIndex);
  assert(term.has_value() && aIndex <= mEmittedIndex);
  return { .lastIndex = aIndex,
           .lastTerm = *term,
           .configuration = mLog.configurationAt(aIndex),
           .data = std::move(aData) };
}

void
ConsensusNode::compact(ConsensusSnapshotPointer aSnapshot)
{
  if (aSnapshot->lastIndex <= snapshotIndex()) {
    return;
  }
  mSnapshot = std::move(aSnapshot);
  const std::int64_t lastIndex = mSnapshot->lastIndex;
  std::int64_t base = lastIndex - mSettings.retainedEntries;
  if (mLeader) {
    const MonotonicTime since = mNow.plusMs(-mSettings.electionTimeoutMs);
    base = std::min(base, mLeader->indexCovered(since));
  }
  mLog.compact(std::max(base, lastIndex - mSettings.maxRetainedEntries));
  while (mLog.baseIndex() < lastIndex && mLog.dataBytes() > mSettings.maxRetainedBytes) {
    mLog.compact(mLog.baseIndex() + 1);
  }
}

bool
ConsensusNode::hasLeaderLease(MonotonicTime aNow) const
{
  if (!mLeader || mTimeoutNowSent) {
    return false;
  }
  const auto contact = mLeader->quorumContact(mLog.configuration(), aNow);
  return contact && aNow.msSince(*contact) < mSettings.electionTimeoutMs;
}

bool
ConsensusNode::leadsCurrentTerm() const
{
  return mLeader && mLog.termAt(mCommitIndex) == mHardState.term;
}

std::int64_t
ConsensusNode::matchIndex(const std::string& aReplicaId) const
{
  if (!mLeader) {
    return 0;
  }
  if (aReplicaId == mSettings.replicaId) {
    return mStoredIndex;
  }
  const FollowerProgress* progress = mLeader->progress(aReplicaId);
  return progress == nullptr ? 0 : progress->matchIndex;
}

Result<std::int64_t>
ConsensusNode::propose(std::string aCommand)
{
  if (aCommand.size() > mSettings.maxProposalBytes) {
    return Error::create(ErrorCode::eInvalid,
                         kStep,
                         mSettings.replicaId,
                         "proposal of " + std::to_string(aCommand.size()) +
                           " bytes is larger than " + std::to_string(mSettings.maxProposalBytes));
  }
  return appendOwn(LogEntryKind::eCommand, std::move(aCommand));
}

Result<std::int64_t>
ConsensusNode::changeMembership(MembershipOperation aOperation,
                                const std::string& aReplicaId,
                                const std::string& aAddress,
                                MonotonicTime aNow)
{
  mNow = std::max(mNow, aNow);
  if (!mLeader) {
    return Error::create(
      ErrorCode::eNotLeader, kStep, mSettings.replicaId, "the replica is not the leader");
  }
  // Without an entry of the own term committed, two leaders could each change the same
  // configuration by one replica, and their majorities need not overlap.
  if (!leadsCurrentTerm() || mLog.configurationIndex() > mCommitIndex) {
    return Error::create(
      ErrorCode::eConflict, kStep, aReplicaId, "an earlier change is not committed");
  }
  if (aOperation == MembershipOperation::ePromote && !isCaughtUp(aReplicaId)) {
    return Error::create(ErrorCode::eConflict, kStep, aReplicaId, "the replica has not caught up");
  }
  const Result<GroupConfiguration> changed =
    changedConfiguration(mLog.configuration(), aOperation, aReplicaId, aAddress);
  if (!isOk(changed)) {
    return errorOf(changed);
  }
  Result<std::int64_t> index =
    appendOwn(LogEntryKind::eConfiguration, encodeConfiguration(valueOf(changed)));
  if (isOk(index)) {
    mLeader->updateMembers(view());
  }
  return index;
}

std::int64_t
ConsensusNode::contactAgeMs(const std::string& aReplicaId) const
{
  const FollowerProgress* progress = mLeader ? mLeader->progress(aReplicaId) : nullptr;
  return progress == nullptr ? 0 : mNow.msSince(progress->contact.value_or(mElectedAt));
}

bool
ConsensusNode::isCaughtUp(const std::string& aReplicaId) const
{
  const FollowerProgress* progress = mLeader->progress(aReplicaId);
  if (progress == nullptr) {
    // changedConfiguration() reports that there is no such replica.
    return true;
  }
  const bool answers =
    progress->contact && mNow.msSince(*progress->contact) < mSettings.electionTimeoutMs;
  return answers && progress->matchIndex + mSettings.promotionLagEntries >= mCommitIndex;
}

Result<std::int64_t>
ConsensusNode::appendOwn(LogEntryKind aKind, std::string aData)
{
  if (!mLeader) {
    return Error::create(
      ErrorCode::eNotLeader, kStep, mSettings.replicaId, "the replica is not the leader");
  }
  if (!mTransferTarget.empty()) {
    return Error::create(
      ErrorCode::eUnavailable, kStep, mSettings.replicaId, "the leadership is being handed over");
  }
  const std::int64_t index = mLog.lastIndex() + 1;
  mLog.append(makeChecked<LogEntry>(
    { .index = index, .term = mHardState.term, .kind = aKind, .data = std::move(aData) }));
  return index;
}

LeaderReplication::View
ConsensusNode::view() const
{
  return { .log = mLog, .commitIndex = mCommitIndex, .snapshot = mSnapshot, .now = mNow };
}

void
ConsensusNode::send(const std::string& aReceiverId, ConsensusMessage aMessage)
{
  mMessages.push_back({ aReceiverId, std::move(aMessage) });
}

void
ConsensusNode::sendEarly(std::vector<OutgoingMessage> aMessages)
{
  std::move(aMessages.begin(), aMessages.end(), std::back_inserter(mEarlyMessages));
}

void
ConsensusNode::resetElectionDeadline()
{
  std::uniform_int_distribution<std::int64_t> extra(0, mSettings.electionTimeoutMs);
  mElectionDeadline = mNow.plusMs(promiseMs() + extra(mRandom));
}

std::int64_t
ConsensusNode::promiseMs() const
{
  return mSettings.electionTimeoutMs * kPromisePercent / 100 + 1;
}

} // namespace magnoliadrum
