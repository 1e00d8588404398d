#include "consensus/LeaderReplication.h"

#include "consensus/GroupMembership.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace magnoliadrum {

namespace {

/** A chunk or a part without an answer is sent again after this many heartbeat periods. */
constexpr std::int64_t kChunkRetryHeartbeats = 5;

/** Rounds are remembered for this many election timeouts; check-quorum looks back for one. */
constexpr std::int64_t kRoundMemoryTimeouts = 2;

} // namespace

LeaderReplication::LeaderReplication(const ConsensusSettings& aSettings,
                                     std::int64_t aTerm,
                                     MonotonicTime aNow)
  : mSettings(aSettings)
  , mTerm(aTerm)
  , mElectedAt(aNow)
{
}

void
LeaderReplication::updateMembers(const View& aView)
{
  const GroupConfiguration& configuration = aView.log.configuration();
  std::erase_if(mFollowers, [&](const auto& aFollower) {
    return findReplica(configuration, aFollower.first) == nullptr;
  });
  for (const Replica& replica : configuration.replicas()) {
    if (replica.replicaId() == mSettings.replicaId) {
      continue;
    }
    FollowerProgress progress;
    progress.nextIndex = aView.log.lastIndex() + 1;
    mFollowers.try_emplace(replica.replicaId(), std::move(progress));
  }
}

std::vector<OutgoingMessage>
LeaderReplication::replicate(const View& aView)
{
  Messages messages;
  for (auto& [id, progress] : mFollowers) {
    replicateTo(id, progress, aView, messages);
  }
  return messages;
}

std::vector<OutgoingMessage>
LeaderReplication::heartbeat(const View& aView)
{
  Messages messages;
  for (auto& [id, progress] : mFollowers) {
    if (progress.mode == FollowerProgress::Mode::eSnapshot) {
      sendHeartbeatInTransfer(id, messages, aView.now);
      replicateTo(id, progress, aView, messages);
      continue;
    }
    progress.probeSent = false;
    const std::size_t sent = messages.size();
    replicateTo(id, progress, aView, messages);
    if (messages.size() == sent) {
      sendAppend(id, progress, aView, false, messages);
    }
  }
  return messages;
}

void
LeaderReplication::replicateTo(const std::string& aId,
                               FollowerProgress& aProgress,
                               const View& aView,
                               Messages& aMessages)
{
  if (aProgress.mode != FollowerProgress::Mode::eSnapshot &&
      aProgress.nextIndex <= aView.log.baseIndex()) {
    startTransfer(aProgress, aView);
  }
  if (aProgress.mode == FollowerProgress::Mode::eSnapshot) {
    const FollowerProgress::Transfer& transfer = aProgress.transfer;
    if (!isUnanswered(transfer.round, transfer.sentAt, aView.now)) {
      sendChunk(aId, aProgress, aView.now, aMessages);
    }
    return;
  }
  if (aProgress.mode == FollowerProgress::Mode::eProbe) {
    // A probe carries no entries, so that a replica that does not answer gets little to buffer.
    if (!aProgress.probeSent) {
      sendAppend(aId, aProgress, aView, false, aMessages);
      aProgress.probeSent = true;
    }
    return;
  }
  while (aProgress.nextIndex <= aView.log.lastIndex()) {
    if (aView.log.at(aProgress.nextIndex).data().size() > mSettings.maxMessageBytes) {
      sendPartIfDue(aId, aProgress, aView, aMessages);
      return;
    }
    if (aProgress.unanswered.size() >= mSettings.maxUnansweredMessages ||
        aProgress.unansweredBytes >= mSettings.maxUnansweredBytes) {
      return;
    }
    sendAppend(aId, aProgress, aView, true, aMessages);
  }
}

bool
LeaderReplication::isUnanswered(std::int64_t aRound,
                                MonotonicTime aSentAt,
                                MonotonicTime aNow) const
{
  return aRound != 0 && aNow.msSince(aSentAt) < mSettings.heartbeatMs * kChunkRetryHeartbeats;
}

void
LeaderReplication::sendPartIfDue(const std::string& aId,
                                 FollowerProgress& aProgress,
                                 const View& aView,
                                 Messages& aMessages)
{
  if (!aProgress.parts) {
    aProgress.parts = FollowerProgress::PartTransfer();
  }
  FollowerProgress::PartTransfer& parts = *aProgress.parts;
  if (isUnanswered(parts.round, parts.sentAt, aView.now)) {
    return;
  }
  const LogEntry& entry = aView.log.at(aProgress.nextIndex);
  const std::int64_t previous = aProgress.nextIndex - 1;
  const std::optional<std::int64_t> previousTerm = aView.log.termAt(previous);
  assert(previousTerm.has_value());
  parts.round = newRound(aView.now);
  parts.sentAt = aView.now;
  aMessages.push_back({ aId,
                        makeChecked<EntryPart>({ .term = mTerm,
                                                 .leaderId = mSettings.replicaId,
                                                 .previousIndex = previous,
                                                 .previousTerm = *previousTerm,
                                                 .commitIndex = aView.commitIndex,
                                                 .entryTerm = entry.term(),
                                                 .kind = entry.kind(),
                                                 .offset = static_cast<std::int64_t>(parts.offset),
                                                 .totalBytes = std::ssize(entry.data()),
                                                 .round = parts.round,
                                                 .data = entry.data().substr(
                                                   parts.offset, mSettings.maxMessageBytes) }) });
}

void
LeaderReplication::sendAppend(const std::string& aId,
                              FollowerProgress& aProgress,
                              const View& aView,
                              bool aWithEntries,
                              Messages& aMessages)
{
  const std::int64_t previous = aProgress.nextIndex - 1;
  const std::optional<std::int64_t> previousTerm = aView.log.termAt(previous);
  assert(previousTerm.has_value());
  AppendRequest::Fields fields{ .term = mTerm,
                                .leaderId = mSettings.replicaId,
                                .previousIndex = previous,
                                .previousTerm = *previousTerm,
                                .commitIndex = aView.commitIndex,
                                .round = newRound(aView.now) };
  if (aWithEntries) {
    fields.entries =
      aView.log.slice(aProgress.nextIndex, mSettings.maxMessageEntries, mSettings.maxMessageBytes);
  }
  if (!fields.entries.empty()) {
    aProgress.nextIndex = fields.entries.back().index() + 1;
    std::size_t bytes = 0;
    for (const LogEntry& entry : fields.entries) {
      bytes += entry.data().size();
    }
    aProgress.addUnanswered(fields.entries.back().index(), bytes);
  }
  aMessages.push_back({ aId, makeChecked<AppendRequest>(std::move(fields)) });
}

void
LeaderReplication::sendHeartbeatInTransfer(const std::string& aId,
                                           Messages& aMessages,
                                           MonotonicTime aNow)
{
  // The start of the log matches on every replica, so this tells nothing but that the leader is up.
  AppendRequest::Fields fields{ .term = mTerm,
                                .leaderId = mSettings.replicaId,
                                .round = newRound(aNow) };
  aMessages.push_back({ aId, makeChecked<AppendRequest>(std::move(fields)) });
}

void
LeaderReplication::startTransfer(FollowerProgress& aProgress, const View& aView)
{
  assert(aView.snapshot != nullptr);
  aProgress.mode = FollowerProgress::Mode::eSnapshot;
  aProgress.clearSent();
  aProgress.transfer = FollowerProgress::Transfer();
  aProgress.transfer.snapshot = aView.snapshot;
}

void
LeaderReplication::sendChunk(const std::string& aId,
                             FollowerProgress& aProgress,
                             MonotonicTime aNow,
                             Messages& aMessages)
{
  FollowerProgress::Transfer& transfer = aProgress.transfer;
  const ConsensusSnapshot& snapshot = *transfer.snapshot;
  transfer.round = newRound(aNow);
  transfer.sentAt = aNow;
  SnapshotChunk::Fields fields{ .term = mTerm,
                                .leaderId = mSettings.replicaId,
                                .lastIndex = snapshot.lastIndex,
                                .lastTerm = snapshot.lastTerm,
                                .offset = transfer.offset,
                                .totalBytes = static_cast<std::int64_t>(snapshot.data.size()),
                                .round = transfer.round,
                                .configuration = snapshot.configuration };
  fields.data =
    snapshot.data.substr(static_cast<std::size_t>(transfer.offset), mSettings.snapshotChunkBytes);
  aMessages.push_back({ aId, makeChecked<SnapshotChunk>(std::move(fields)) });
}

void
LeaderReplication::onAppendReply(const AppendReply& aReply, const View& aView)
{
  FollowerProgress* progress = answered(aReply.followerId(), aReply.round(), aView.now);
  if (progress == nullptr || aReply.matchIndex() > aView.log.lastIndex()) {
    return;
  }
  if (aReply.success()) {
    matched(*progress, aReply.matchIndex());
    return;
  }
  if (aReply.round() < progress->firstValidRound ||
      progress->mode == FollowerProgress::Mode::eSnapshot) {
    return;
  }
  const std::int64_t nextIndex = std::min(aReply.matchIndex() + 1, progress->nextIndex - 1);
  progress->startProbe(std::max(nextIndex, progress->matchIndex + 1),
                       mFirstRound + static_cast<std::int64_t>(mRoundTimes.size()));
}

void
LeaderReplication::onEntryPartReply(const EntryPartReply& aReply, const View& aView)
{
  FollowerProgress* progress = answered(aReply.followerId(), aReply.round(), aView.now);
  const bool isAwaited = progress != nullptr && progress->parts &&
                         aReply.round() == progress->parts->round &&
                         aReply.index() == progress->nextIndex;
  if (!isAwaited || aReply.index() > aView.log.lastIndex()) {
    return;
  }
  const std::int64_t size = std::ssize(aView.log.at(aReply.index()).data());
  // The last part is answered by an AppendReply, so that something is left to send.
  if (aReply.receivedBytes() < size) {
    progress->parts->offset = static_cast<std::size_t>(aReply.receivedBytes());
    progress->parts->round = 0;
  }
}

void
LeaderReplication::onSnapshotReply(const SnapshotReply& aReply, const View& aView)
{
  FollowerProgress* progress = answered(aReply.followerId(), aReply.round(), aView.now);
  if (progress == nullptr || aReply.lastIndex() > aView.log.lastIndex()) {
    return;
  }
  if (aReply.installed()) {
    matched(*progress, aReply.lastIndex());
    return;
  }
  FollowerProgress::Transfer& transfer = progress->transfer;
  if (progress->mode != FollowerProgress::Mode::eSnapshot || aReply.round() != transfer.round) {
    return;
  }
  const std::int64_t size = static_cast<std::int64_t>(transfer.snapshot->data.size());
  transfer.offset = std::min(aReply.receivedBytes(), size);
  transfer.round = 0;
}

void
LeaderReplication::matched(FollowerProgress& aProgress, std::int64_t aIndex)
{
  aProgress.matchIndex = std::max(aProgress.matchIndex, aIndex);
  aProgress.removeAnswered(aIndex);
  if (aProgress.matchIndex >= aProgress.nextIndex) {
    aProgress.parts.reset();
  }
  if (aProgress.mode == FollowerProgress::Mode::eSnapshot) {
    if (aProgress.matchIndex < aProgress.transfer.snapshot->lastIndex) {
      return;
    }
    aProgress.nextIndex = aProgress.matchIndex + 1;
    aProgress.transfer = FollowerProgress::Transfer();
  }
  aProgress.mode = FollowerProgress::Mode::eReplicate;
  aProgress.nextIndex = std::max(aProgress.nextIndex, aProgress.matchIndex + 1);
}

std::int64_t
LeaderReplication::quorumIndex(const GroupConfiguration& aConfiguration,
                               std::int64_t aOwnIndex) const
{
  std::vector<std::int64_t> indexes;
  for (const Replica& replica : aConfiguration.replicas()) {
    if (!replica.voter()) {
      continue;
    }
    const FollowerProgress* follower = progress(replica.replicaId());
    const std::int64_t others = follower == nullptr ? 0 : follower->matchIndex;
    indexes.push_back(replica.replicaId() == mSettings.replicaId ? aOwnIndex : others);
  }
  const std::size_t quorum = quorumSize(aConfiguration);
  if (indexes.size() < quorum) {
    return 0;
  }
  std::sort(indexes.begin(), indexes.end(), std::greater<>());
  return indexes[quorum - 1];
}

std::optional<MonotonicTime>
LeaderReplication::quorumContact(const GroupConfiguration& aConfiguration, MonotonicTime aNow) const
{
  std::vector<MonotonicTime> contacts;
  for (const Replica& replica : aConfiguration.replicas()) {
    if (!replica.voter()) {
      continue;
    }
    if (replica.replicaId() == mSettings.replicaId) {
      contacts.push_back(aNow);
      continue;
    }
    const FollowerProgress* follower = progress(replica.replicaId());
    if (follower != nullptr && follower->contact) {
      contacts.push_back(*follower->contact);
    }
  }
  const std::size_t quorum = quorumSize(aConfiguration);
  if (contacts.size() < quorum) {
    return std::nullopt;
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return contacts[quorum - 1];
}

std::string
LeaderReplication::mostCurrentVoter(const GroupConfiguration& aConfiguration,
                                    MonotonicTime aSince) const
{
  std::string best;
  std::int64_t bestIndex = -1;
  for (const auto& [id, follower] : mFollowers) {
    const bool answers = follower.contact && *follower.contact >= aSince;
    if (isVoter(aConfiguration, id) && answers && follower.matchIndex > bestIndex) {
      best = id;
      bestIndex = follower.matchIndex;
    }
  }
  return best;
}

std::int64_t
LeaderReplication::indexCovered(MonotonicTime aSince) const
{
  std::int64_t covered = std::numeric_limits<std::int64_t>::max();
  for (const auto& [id, follower] : mFollowers) {
    if (!follower.contact || *follower.contact < aSince) {
      continue;
    }
    const bool inTransfer = follower.mode == FollowerProgress::Mode::eSnapshot;
    covered =
      std::min(covered, inTransfer ? follower.transfer.snapshot->lastIndex : follower.matchIndex);
  }
  return covered;
}

const FollowerProgress*
LeaderReplication::progress(const std::string& aReplicaId) const
{
  const auto position = mFollowers.find(aReplicaId);
  return position == mFollowers.end() ? nullptr : &position->second;
}

FollowerProgress*
LeaderReplication::answered(const std::string& aId, std::int64_t aRound, MonotonicTime aNow)
{
  const auto position = mFollowers.find(aId);
  if (position == mFollowers.end() || aRound <= 0) {
    return nullptr;
  }
  FollowerProgress& progress = position->second;
  const std::optional<MonotonicTime> sentAt = roundSentAt(aRound);
  if (sentAt && *sentAt <= aNow && (!progress.contact || *progress.contact < *sentAt)) {
    progress.contact = sentAt;
  }
  return &progress;
}

std::int64_t
LeaderReplication::newRound(MonotonicTime aNow)
{
  const std::int64_t memoryMs = mSettings.electionTimeoutMs * kRoundMemoryTimeouts;
  while (!mRoundTimes.empty() && aNow.msSince(mRoundTimes.front()) > memoryMs) {
    mRoundTimes.pop_front();
    mFirstRound++;
  }
  mRoundTimes.push_back(aNow);
  return mFirstRound + static_cast<std::int64_t>(mRoundTimes.size()) - 1;
}

std::optional<MonotonicTime>
LeaderReplication::roundSentAt(std::int64_t aRound) const
{
  const std::int64_t position = aRound - mFirstRound;
  if (position < 0 || position >= static_cast<std::int64_t>(mRoundTimes.size())) {
    return std::nullopt;
  }
  return mRoundTimes[static_cast<std::size_t>(position)];
}

} // namespace magnoliadrum
