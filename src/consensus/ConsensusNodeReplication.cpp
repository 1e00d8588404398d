// The replication of ConsensusNode: entries, snapshots, the commit index and leadership transfer.
#include "consensus/ConsensusNode.h"
#include "consensus/GroupMembership.h"

#include <algorithm>

namespace magnoliadrum {

void
ConsensusNode::acceptLeader(std::int64_t aTerm, const std::string& aLeaderId)
{
  const bool changed = aTerm > mHardState.term || mRole != ConsensusRole::eFollower;
  if (changed || mLeaderId != aLeaderId) {
    becomeFollower(aTerm, aLeaderId);
  }
  mPromiseUntil = std::max(mPromiseUntil, mNow.plusMs(promiseMs()));
  resetElectionDeadline();
}

bool
ConsensusNode::isWellFormed(const AppendRequest& aRequest) const
{
  std::int64_t index = aRequest.previousIndex();
  std::int64_t term = aRequest.previousTerm();
  for (const LogEntry& entry : aRequest.entries()) {
    index++;
    if (entry.index() != index || entry.term() < term || entry.term() > aRequest.term()) {
      return false;
    }
    term = entry.term();
    if (entry.kind() == LogEntryKind::eConfiguration &&
        !isOk(decodeConfiguration(entry.data(), aRequest.leaderId()))) {
      return false;
    }
  }
  return true;
}

void
ConsensusNode::on(const AppendRequest& aRequest)
{
  if (aRequest.term() < mHardState.term) {
    replyToAppend(aRequest, false, 0);
    return;
  }
  const bool ownTerm = aRequest.term() == mHardState.term && mRole == ConsensusRole::eLeader;
  if (ownTerm || !isWellFormed(aRequest)) {
    return;
  }
  acceptLeader(aRequest.term(), aRequest.leaderId());
  const std::int64_t lastSent =
    aRequest.previousIndex() + static_cast<std::int64_t>(aRequest.entries().size());
  if (aRequest.previousIndex() < mCommitIndex) {
    // Committed entries are in the log of every later leader, so they match without a check.
    appendFromLeader(aRequest, mCommitIndex + 1);
    replyToAppend(aRequest, true, std::max(lastSent, mCommitIndex));
    commitTo(std::min(aRequest.commitIndex(), lastSent));
    return;
  }
  if (mLog.termAt(aRequest.previousIndex()) != aRequest.previousTerm()) {
    const std::int64_t hint =
      mLog.conflictHint(aRequest.previousIndex(), aRequest.previousTerm(), mCommitIndex);
    replyToAppend(aRequest, false, hint);
    return;
  }
  appendFromLeader(aRequest, aRequest.previousIndex() + 1);
  replyToAppend(aRequest, true, lastSent);
  commitTo(std::min(aRequest.commitIndex(), lastSent));
}

void
ConsensusNode::appendFromLeader(const AppendRequest& aRequest, std::int64_t aFirstIndex)
{
  for (const LogEntry& entry : aRequest.entries()) {
    if (entry.index() < aFirstIndex || mLog.termAt(entry.index()) == entry.term()) {
      continue;
    }
    if (entry.index() <= mLog.lastIndex()) {
      assert(entry.index() > mCommitIndex);
      mLog.truncateFrom(entry.index());
      mFirstUnsaved = std::min(mFirstUnsaved, entry.index());
      mStoredIndex = std::min(mStoredIndex, entry.index() - 1);
    }
    mLog.append(entry);
  }
}

void
ConsensusNode::replyToAppend(const AppendRequest& aRequest, bool aSuccess, std::int64_t aMatchIndex)
{
  send(aRequest.leaderId(),
       makeChecked<AppendReply>({ .term = mHardState.term,
                                  .followerId = mSettings.replicaId,
                                  .success = aSuccess,
                                  .matchIndex = aMatchIndex,
                                  .round = aRequest.round() }));
}

void
ConsensusNode::on(const AppendReply& aReply)
{
  if (aReply.term() > mHardState.term) {
    becomeFollower(aReply.term(), "");
    return;
  }
  if (!mLeader || aReply.term() < mHardState.term) {
    return;
  }
  mLeader->onAppendReply(aReply, view());
  advanceCommit();
  tickTransfer();
}

void
ConsensusNode::on(const EntryPart& aPart)
{
  if (aPart.term() < mHardState.term) {
    replyToPart(aPart, 0);
    return;
  }
  if (aPart.term() == mHardState.term && mRole == ConsensusRole::eLeader) {
    return;
  }
  acceptLeader(aPart.term(), aPart.leaderId());
  const std::int64_t index = aPart.previousIndex() + 1;
  AppendRequest::Fields request{ .term = aPart.term(),
                                 .leaderId = aPart.leaderId(),
                                 .previousIndex = aPart.previousIndex(),
                                 .previousTerm = aPart.previousTerm(),
                                 .commitIndex = aPart.commitIndex(),
                                 .round = aPart.round() };
  if (index <= mCommitIndex || mLog.termAt(index) == aPart.entryTerm()) {
    // The entry is here already: its last part was answered and the answer was lost, or an earlier
    // leader sent it.
    mEntryReceiver.clear();
    request.previousIndex = index;
    request.previousTerm = aPart.entryTerm();
    on(makeChecked<AppendRequest>(std::move(request)));
    return;
  }
  std::optional<LogEntry> entry = mEntryReceiver.add(aPart);
  if (!entry) {
    replyToPart(aPart, mEntryReceiver.receivedBytes());
    return;
  }
  request.entries.push_back(std::move(*entry));
  on(makeChecked<AppendRequest>(std::move(request)));
}

void
ConsensusNode::replyToPart(const EntryPart& aPart, std::int64_t aReceivedBytes)
{
  send(aPart.leaderId(),
       makeChecked<EntryPartReply>({ .term = mHardState.term,
                                     .followerId = mSettings.replicaId,
                                     .index = aPart.previousIndex() + 1,
                                     .receivedBytes = aReceivedBytes,
                                     .round = aPart.round() }));
}

void
ConsensusNode::on(const EntryPartReply& aReply)
{
  if (aReply.term() > mHardState.term) {
    becomeFollower(aReply.term(), "");
    return;
  }
  if (!mLeader || aReply.term() < mHardState.term) {
    return;
  }
  mLeader->onEntryPartReply(aReply, view());
}

void
ConsensusNode::on(const SnapshotChunk& aChunk)
{
  if (aChunk.term() < mHardState.term) {
    replyToChunk(aChunk, false);
    return;
  }
  if (aChunk.term() == mHardState.term && mRole == ConsensusRole::eLeader) {
    return;
  }
  acceptLeader(aChunk.term(), aChunk.leaderId());
  if (mLog.termAt(aChunk.lastIndex()) == aChunk.lastTerm()) {
    // The log holds all that the snapshot covers.
    commitTo(aChunk.lastIndex());
  }
  if (aChunk.lastIndex() <= mCommitIndex) {
    mReceiver.clear();
    replyToChunk(aChunk, true);
    return;
  }
  const ConsensusSnapshotPointer snapshot = mReceiver.add(aChunk);
  if (snapshot) {
    installSnapshot(snapshot);
  }
  replyToChunk(aChunk, snapshot != nullptr);
}

void
ConsensusNode::installSnapshot(ConsensusSnapshotPointer aSnapshot)
{
  mLog.reset(aSnapshot->lastIndex, aSnapshot->lastTerm, aSnapshot->configuration);
  mFirstUnsaved = aSnapshot->lastIndex + 1;
  mStoredIndex = aSnapshot->lastIndex;
  mCommitIndex = aSnapshot->lastIndex;
  mEmittedIndex = aSnapshot->lastIndex;
  mSnapshot = aSnapshot;
  mReceivedSnapshot = std::move(aSnapshot);
}

void
ConsensusNode::replyToChunk(const SnapshotChunk& aChunk, bool aInstalled)
{
  const std::int64_t received = aInstalled ? aChunk.totalBytes() : mReceiver.receivedBytes();
  send(aChunk.leaderId(),
       makeChecked<SnapshotReply>({ .term = mHardState.term,
                                    .followerId = mSettings.replicaId,
                                    .lastIndex = aChunk.lastIndex(),
                                    .receivedBytes = received,
                                    .installed = aInstalled,
                                    .round = aChunk.round() }));
}

void
ConsensusNode::on(const SnapshotReply& aReply)
{
  if (aReply.term() > mHardState.term) {
    becomeFollower(aReply.term(), "");
    return;
  }
  if (!mLeader || aReply.term() < mHardState.term) {
    return;
  }
  mLeader->onSnapshotReply(aReply, view());
  advanceCommit();
}

void
ConsensusNode::advanceCommit()
{
  if (!mLeader) {
    return;
  }
  const std::int64_t index = mLeader->quorumIndex(mLog.configuration(), mStoredIndex);
  // An entry of an earlier term on a majority can still be replaced; it is committed only with a
  // later one of this term.
  if (index <= mCommitIndex || mLog.termAt(index) != mHardState.term) {
    return;
  }
  commitTo(index);
  leaveAfterOwnRemoval();
}

void
ConsensusNode::commitTo(std::int64_t aIndex)
{
  mCommitIndex = std::max(mCommitIndex, std::min(aIndex, mLog.lastIndex()));
}

void
ConsensusNode::leaveAfterOwnRemoval()
{
  const bool member = isVoter(mLog.configuration(), mSettings.replicaId);
  if (member || mLog.configurationIndex() > mCommitIndex) {
    return;
  }
  const MonotonicTime since = mNow.plusMs(-mSettings.electionTimeoutMs);
  const std::string successor = mLeader->mostCurrentVoter(mLog.configuration(), since);
  sendEarly(mLeader->heartbeat(view()));
  if (!successor.empty()) {
    sendTimeoutNow(successor);
  }
  becomeFollower(mHardState.term, "");
}

void
ConsensusNode::tickLeader()
{
  const auto contact = mLeader->quorumContact(mLog.configuration(), mNow);
  const MonotonicTime since = std::max(contact.value_or(mElectedAt), mElectedAt);
  if (mNow.msSince(since) >= mSettings.electionTimeoutMs) {
    becomeFollower(mHardState.term, "");
    return;
  }
  if (mNow >= mNextHeartbeat) {
    mNextHeartbeat = mNow.plusMs(mSettings.heartbeatMs);
    sendEarly(mLeader->heartbeat(view()));
  }
  tickTransfer();
}

Result<Done>
ConsensusNode::transferLeadership(MonotonicTime aNow)
{
  mNow = std::max(mNow, aNow);
  const char* const step = "consensus.transfer";
  if (!mLeader) {
    return Error::create(
      ErrorCode::eNotLeader, step, mSettings.replicaId, "the replica is not the leader");
  }
  if (!mTransferTarget.empty()) {
    return Done{};
  }
  const MonotonicTime since = mNow.plusMs(-mSettings.electionTimeoutMs);
  const std::string target = mLeader->mostCurrentVoter(mLog.configuration(), since);
  if (target.empty()) {
    return Error::create(
      ErrorCode::eUnavailable, step, mSettings.replicaId, "no other voter answers");
  }
  mTransferTarget = target;
  mTransferDeadline = mNow.plusMs(mSettings.electionTimeoutMs);
  tickTransfer();
  return Done{};
}

void
ConsensusNode::tickTransfer()
{
  if (!mLeader || mTransferTarget.empty()) {
    return;
  }
  if (mNow >= mTransferDeadline) {
    if (mTimeoutNowSent) {
      // The lease was given up, so this replica cannot go on in this term.
      becomeFollower(mHardState.term, "");
      return;
    }
    mTransferTarget.clear();
    return;
  }
  if (!mTimeoutNowSent && matchIndex(mTransferTarget) == mLog.lastIndex()) {
    sendTimeoutNow(mTransferTarget);
  }
}

void
ConsensusNode::sendTimeoutNow(const std::string& aReplicaId)
{
  // From here on the other replica may be elected although its voters hear this one, so the lease
  // is given up for the rest of the term, even if the message is lost.
  mTimeoutNowSent = true;
  send(aReplicaId,
       makeChecked<TimeoutNow>({ .term = mHardState.term, .leaderId = mSettings.replicaId }));
}

} // namespace magnoliadrum
