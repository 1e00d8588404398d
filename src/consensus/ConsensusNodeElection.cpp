// The elections of ConsensusNode: votes, terms and the change of roles.
#include "consensus/ConsensusNode.h"
#include "consensus/GroupMembership.h"

#include <algorithm>

namespace magnoliadrum {

void
ConsensusNode::becomeFollower(std::int64_t aTerm, const std::string& aLeaderId)
{
  assert(aTerm >= mHardState.term);
  if (aTerm > mHardState.term) {
    mHardState = { .term = aTerm, .votedFor = "" };
    mHardStateChanged = true;
    mReceiver.clear();
    mEntryReceiver.clear();
  }
  if (mRole == ConsensusRole::eLeader) {
    mLeader.reset();
    mTransferTarget.clear();
    mTimeoutNowSent = false;
    resetElectionDeadline();
  }
  mRole = ConsensusRole::eFollower;
  mLeaderId = aLeaderId;
  mVotes.clear();
}

void
ConsensusNode::startPreVote()
{
  mRole = ConsensusRole::ePreCandidate;
  mLeaderId.clear();
  resetElectionDeadline();
  mVotes.clear();
  requestVotes(true, false);
  countVote(mSettings.replicaId);
}

void
ConsensusNode::startElection(bool aTransfer)
{
  mRole = ConsensusRole::eCandidate;
  mLeaderId.clear();
  mHardState = { .term = mHardState.term + 1, .votedFor = mSettings.replicaId };
  mHardStateChanged = true;
  mReceiver.clear();
  resetElectionDeadline();
  mVotes.clear();
  requestVotes(false, aTransfer);
  countVote(mSettings.replicaId);
}

void
ConsensusNode::requestVotes(bool aPreVote, bool aTransfer)
{
  const VoteRequest request =
    makeChecked<VoteRequest>({ .term = mHardState.term + (aPreVote ? 1 : 0),
                               .candidateId = mSettings.replicaId,
                               .lastIndex = mLog.lastIndex(),
                               .lastTerm = mLog.lastTerm(),
                               .preVote = aPreVote,
                               .transfer = aTransfer });
  for (const Replica& replica : mLog.configuration().replicas()) {
    if (replica.voter() && replica.replicaId() != mSettings.replicaId) {
      send(replica.replicaId(), request);
    }
  }
}

void
ConsensusNode::countVote(const std::string& aVoterId)
{
  if (!isVoter(mLog.configuration(), aVoterId)) {
    return;
  }
  mVotes.insert(aVoterId);
  if (mVotes.size() < quorumSize(mLog.configuration())) {
    return;
  }
  if (mRole == ConsensusRole::ePreCandidate) {
    startElection(false);
  } else if (mRole == ConsensusRole::eCandidate) {
    becomeLeader();
  }
}

void
ConsensusNode::becomeLeader()
{
  mRole = ConsensusRole::eLeader;
  mLeaderId = mSettings.replicaId;
  mElectedAt = mNow;
  mVotes.clear();
  mLeader = std::make_unique<LeaderReplication>(mSettings, mHardState.term, mNow);
  mLeader->updateMembers(view());
  const Result<std::int64_t> index = appendOwn(LogEntryKind::eEmpty, "");
  assert(isOk(index));
  sendEarly(mLeader->heartbeat(view()));
  mNextHeartbeat = mNow.plusMs(mSettings.heartbeatMs);
}

bool
ConsensusNode::mayCampaign() const
{
  if (isVoter(mLog.configuration(), mSettings.replicaId)) {
    return true;
  }
  // A leader that lost its quorum while it removed itself may be the only replica whose log can
  // win.
  const std::int64_t index = mLog.configurationIndex();
  return index > mCommitIndex && isVoter(mLog.configurationAt(index - 1), mSettings.replicaId);
}

bool
ConsensusNode::isUpToDate(const VoteRequest& aRequest) const
{
  if (aRequest.lastTerm() != mLog.lastTerm()) {
    return aRequest.lastTerm() > mLog.lastTerm();
  }
  return aRequest.lastIndex() >= mLog.lastIndex();
}

bool
ConsensusNode::hearsLeader() const
{
  return mNow < mPromiseUntil || hasLeaderLease(mNow);
}

void
ConsensusNode::on(const VoteRequest& aRequest)
{
  if (aRequest.preVote()) {
    const bool granted =
      aRequest.term() > mHardState.term && !hearsLeader() && isUpToDate(aRequest);
    send(aRequest.candidateId(),
         makeChecked<VoteReply>({ .term = granted ? aRequest.term() : mHardState.term,
                                  .voterId = mSettings.replicaId,
                                  .granted = granted,
                                  .preVote = true }));
    return;
  }
  // Not even the term is taken over while a leader is heard, so a replica that was cut off cannot
  // depose a leader that works. The promise holds in every term, because this replica may have
  // learned a higher term from a third replica since it made the promise.
  if (hearsLeader() && !aRequest.transfer()) {
    return;
  }
  if (aRequest.term() > mHardState.term) {
    becomeFollower(aRequest.term(), "");
  }
  grantVote(aRequest);
}

void
ConsensusNode::grantVote(const VoteRequest& aRequest)
{
  // A candidate or leader has voted for itself, so only a follower or pre-candidate can be free.
  const std::string& votedFor = mHardState.votedFor;
  const bool free = votedFor.empty() || votedFor == aRequest.candidateId();
  const bool granted = aRequest.term() == mHardState.term && free && isUpToDate(aRequest);
  if (granted) {
    becomeFollower(mHardState.term, "");
    mHardStateChanged = mHardStateChanged || votedFor.empty();
    mHardState.votedFor = aRequest.candidateId();
    resetElectionDeadline();
  }
  send(aRequest.candidateId(),
       makeChecked<VoteReply>({ .term = mHardState.term,
                                .voterId = mSettings.replicaId,
                                .granted = granted,
                                .preVote = false }));
}

void
ConsensusNode::on(const VoteReply& aReply)
{
  if (aReply.preVote() && aReply.granted()) {
    if (mRole == ConsensusRole::ePreCandidate && aReply.term() == mHardState.term + 1) {
      countVote(aReply.voterId());
    }
    return;
  }
  if (aReply.term() > mHardState.term) {
    becomeFollower(aReply.term(), "");
    return;
  }
  const bool counts = mRole == ConsensusRole::eCandidate && aReply.term() == mHardState.term;
  if (counts && aReply.granted() && !aReply.preVote()) {
    countVote(aReply.voterId());
  }
}

void
ConsensusNode::on(const TimeoutNow& aRequest)
{
  const bool follows = aRequest.term() == mHardState.term && mRole == ConsensusRole::eFollower;
  if (follows && mayCampaign()) {
    startElection(true);
  }
}

} // namespace magnoliadrum
