#include "control/SessionService.h"

#include "faults/faults.h"
#include "observability/observability.h"
#include "state/BuildValue.h"

#include <utility>
#include <variant>

namespace magnoliadrum {

SessionService::SessionService(ControlContext& aContext, SessionListener& aListener)
  : mContext(aContext)
  , mListener(aListener)
  , mLeases(aContext.mSettings.lease().leaseMs())
{
}

void
SessionService::startTerm()
{
  mTermStarted = true;
  std::vector<std::int64_t> sessions;
  mLiveSessions.clear();
  mSessionsByConnection.clear();
  for (const auto& [number, record] : mContext.mState.sessions().all()) {
    sessions.push_back(number);
    mLiveSessions[number] = LiveSession();
  }
  mLeases.startTerm(sessions, mContext.inheritedLeasesRenewedAt());
  mCatalogueVersions.startTerm(mContext.mState.sessions().all());
  mTargetTable.startTerm();
  mTargetTable.update(executorTargets());
}

void
SessionService::endTerm()
{
  mTermStarted = false;
  for (const auto& [connection, session] : std::exchange(mSessionsByConnection, {})) {
    refuse(connection, SessionRefusal::eNotLeader, session);
  }
  mLiveSessions.clear();
  mLeases.endTerm();
  mCatalogueVersions.endTerm();
}

void
SessionService::refuse(ConnectionId aConnection, SessionRefusal aReason, std::int64_t aSession)
{
  mContext.mMessageSender.send(
    aConnection,
    buildValue<SessionRefused>(
      { .session = aSession, .reason = aReason, .leaderAddress = mContext.mLog.leaderAddress() }));
}

void
SessionService::onOpen(ConnectionId aConnection, const SessionOpen& aMessage)
{
  faultPoint("session.admit");
  if (!isActiveLeader()) {
    refuse(aConnection, SessionRefusal::eNotLeader);
    return;
  }
  const SessionRecord* open = mContext.mState.sessions().findByProcess(aMessage.processId());
  if (open != nullptr && open->incarnation() == aMessage.incarnation()) {
    // The session is already open, so it is granted again without a log entry. This avoids a burst
    // of entries after a leader change, when all processes reopen their sessions at about the same
    // time.
    grant(aConnection, *open, aMessage.sentAtMs());
    return;
  }
  const AdmitSession command = buildValue<AdmitSession>({ .processId = aMessage.processId(),
                                                          .processKind = aMessage.processKind(),
                                                          .incarnation = aMessage.incarnation(),
                                                          .target = aMessage.target(),
                                                          .running = aMessage.running() });
  mContext.mLog.propose(command, [this, aConnection, aMessage](const CommandResult& aResult) {
    onAdmissionResult(aConnection, aMessage, aResult);
  });
}

void
SessionService::onAdmissionResult(ConnectionId aConnection,
                                  const SessionOpen& aMessage,
                                  const CommandResult& aResult)
{
  if (!isActiveLeader()) {
    refuse(aConnection, SessionRefusal::eNotLeader);
    return;
  }
  const Outcome* outcome = std::get_if<Outcome>(&aResult);
  const auto* admitted = outcome != nullptr ? std::get_if<SessionAdmitted>(outcome) : nullptr;
  if (admitted == nullptr) {
    const Error* error =
      outcome != nullptr ? std::get_if<Error>(outcome) : &std::get<CommandFailure>(aResult).mError;
    logWarning("session not admitted", *error);
    refuse(aConnection, SessionRefusal::eBusy);
    return;
  }
  grant(aConnection, admitted->mRecord, aMessage.sentAtMs());
}

void
SessionService::grant(ConnectionId aConnection,
                      const SessionRecord& aRecord,
                      std::int64_t aSentAtMs)
{
  const std::int64_t session = aRecord.session();
  if (!mContext.isLeaderWithLease() || mLeases.isEnding(session) ||
      !mLiveSessions.contains(session)) {
    refuse(aConnection, SessionRefusal::eBusy);
    return;
  }
  mLeases.renew(session, mContext.mNow());
  mContext.mMessageSender.send(
    aConnection,
    buildValue<SessionGranted>({ .session = session,
                                 .leaseUntilMs = mLeases.leaseUntilMs(aSentAtMs),
                                 .term = mContext.mLog.term(),
                                 .replicas = replicaAddresses() }));
  bindConnection(aConnection, session);
  mLiveSessions.at(session).mSentReplicas = mReplicaAddresses;
}

const std::vector<std::string>&
SessionService::replicaAddresses()
{
  const MonotonicTime now = mContext.mNow();
  if (mReplicaAddresses.empty() || now.msSince(mReplicaAddressesAt) >= kReplicaAddressesAgeMs) {
    mReplicaAddressesAt = now;
    mReplicaAddresses.clear();
    for (const ReplicaStatus& replica : mContext.mLog.replicas()) {
      if (!replica.address().empty()) {
        mReplicaAddresses.push_back(replica.address());
      }
    }
  }
  return mReplicaAddresses;
}

std::vector<std::string>
SessionService::takeChangedReplicas(LiveSession& aLive)
{
  const std::vector<std::string>& current = replicaAddresses();
  if (aLive.mSentReplicas == current) {
    return {};
  }
  aLive.mSentReplicas = current;
  return current;
}

void
SessionService::bindConnection(ConnectionId aConnection, std::int64_t aSession)
{
  LiveSession& live = mLiveSessions.at(aSession);
  if (live.mConnection && *live.mConnection != aConnection) {
    mSessionsByConnection.erase(*live.mConnection);
    mContext.mMessageSender.close(*live.mConnection, "the session has a newer connection");
  }
  if (live.mConnection != aConnection) {
    live.mSentReplicas.clear();
  }
  live.mConnection = aConnection;
  mSessionsByConnection[aConnection] = aSession;
  mCatalogueVersions.onReconnected(aSession);
  sendCatalogueUpdates(aSession);
  sendTargetTable(aSession);
  mListener.onSessionBound(aSession);
}

void
SessionService::onHeartbeat(ConnectionId aConnection, const SessionHeartbeat& aMessage)
{
  faultPoint("session.renew");
  if (!isActiveLeader()) {
    refuse(aConnection, SessionRefusal::eNotLeader, aMessage.session());
    return;
  }
  const SessionRecord* record = mContext.mState.sessions().find(aMessage.session());
  if (record == nullptr || record->processId() != aMessage.processId()) {
    const bool hasOther = mContext.mState.sessions().findByProcess(aMessage.processId()) != nullptr;
    refuse(aConnection,
           hasOther ? SessionRefusal::eSuperseded : SessionRefusal::eUnknownSession,
           aMessage.session());
    return;
  }
  // Without the leader lease, another replica may already be the leader and expire the session.
  if (!mContext.isLeaderWithLease() || mLeases.isEnding(aMessage.session())) {
    return;
  }
  const MonotonicTime now = mContext.mNow();
  mLeases.renew(aMessage.session(), now);
  LiveSession& live = mLiveSessions.at(aMessage.session());
  mContext.mMessageSender.send(
    aConnection,
    buildValue<SessionRenewed>({ .session = aMessage.session(),
                                 .leaseUntilMs = mLeases.leaseUntilMs(aMessage.sentAtMs()),
                                 .term = mContext.mLog.term(),
                                 .replicas = takeChangedReplicas(live) }));
  mCatalogueVersions.recordReportedVersion(aMessage.session(), aMessage.catalogueVersion());
  if (live.mConnection != aConnection) {
    bindConnection(aConnection, aMessage.session());
  }
  if (aMessage.usage()) {
    live.mUsage = *aMessage.usage();
    live.mUsageAt = now;
  }
  if (std::exchange(live.mLeaving, aMessage.leaving()) != aMessage.leaving()) {
    mListener.onSessionChanged(aMessage.session());
    mTargetTableChanged = true;
  }
  sendCatalogueUpdates(aMessage.session());
  mListener.onHeartbeat(*record, aMessage);
}

void
SessionService::onClose(const SessionClose& aMessage)
{
  const SessionRecord* record = mContext.mState.sessions().find(aMessage.session());
  const bool known = record != nullptr && record->processId() == aMessage.processId();
  if (isActiveLeader() && known && !mLeases.isEnding(aMessage.session())) {
    proposeSessionEnd(aMessage.session(), "the process closed its session");
  }
}

void
SessionService::onConnectionClosed(ConnectionId aConnection)
{
  const auto position = mSessionsByConnection.find(aConnection);
  if (position == mSessionsByConnection.end()) {
    return;
  }
  mLiveSessions.at(position->second).mConnection.reset();
  mSessionsByConnection.erase(position);
}

void
SessionService::onApplied(const Command& aCommand, const Outcome& aOutcome)
{
  if (const SessionAdmitted* admitted = std::get_if<SessionAdmitted>(&aOutcome)) {
    if (admitted->mCreated) {
      addAdmittedSession(*admitted);
    }
  } else if (const SessionEnded* ended = std::get_if<SessionEnded>(&aOutcome)) {
    logInfo(
      "session ended",
      { { "session", ended->mSession }, { "reason", std::get<ExpireSession>(aCommand).reason() } });
    removeSession(ended->mSession);
    mTargetTableChanged = true;
  } else if (const TargetDrained* drained = std::get_if<TargetDrained>(&aOutcome)) {
    const SessionRecord* record = mContext.mState.sessions().findByTarget(drained->mTargetId);
    if (record != nullptr) {
      mListener.onSessionChanged(record->session());
    }
    mTargetTableChanged = true;
  } else if (std::holds_alternative<EvacuationSet>(aOutcome)) {
    for (const auto& [number, record] : mContext.mState.sessions().all()) {
      if (record.target()) {
        mListener.onSessionChanged(number);
      }
    }
    mTargetTableChanged = true;
  } else if (std::holds_alternative<ChangeAnswer>(aOutcome)) {
    for (const auto& [session, live] : mLiveSessions) {
      sendCatalogueUpdates(session);
    }
  }
}

void
SessionService::addAdmittedSession(const SessionAdmitted& aAdmitted)
{
  const std::int64_t session = aAdmitted.mRecord.session();
  if (aAdmitted.mEndedSession != 0) {
    removeSession(aAdmitted.mEndedSession);
  }
  mLiveSessions[session] = LiveSession();
  mLeases.renew(session, mContext.mNow());
  mCatalogueVersions.addSession(session, aAdmitted.mRecord.processId());
  logInfo("session opened",
          { { "session", session },
            { "peer", aAdmitted.mRecord.processId() },
            { "ended", aAdmitted.mEndedSession } });
  mListener.onSessionChanged(session);
  mListener.onUnassignedTasks(session, aAdmitted.mStrays);
  mTargetTableChanged = true;
}

void
SessionService::removeSession(std::int64_t aSession)
{
  const auto position = mLiveSessions.find(aSession);
  if (position != mLiveSessions.end()) {
    if (position->second.mConnection) {
      refuse(*position->second.mConnection, SessionRefusal::eUnknownSession, aSession);
      mSessionsByConnection.erase(*position->second.mConnection);
    }
    mLiveSessions.erase(position);
  }
  mLeases.remove(aSession);
  mCatalogueVersions.removeSession(aSession);
  mListener.onSessionChanged(aSession);
}

void
SessionService::expireSessions()
{
  // Without a majority the end cannot be committed; the next leader makes its own decision.
  if (!mContext.isLeaderWithLease()) {
    return;
  }
  for (const std::int64_t session : mLeases.expired(mContext.mNow())) {
    proposeSessionEnd(session, "the lease is over");
  }
}

void
SessionService::proposeSessionEnd(std::int64_t aSession, const std::string& aReason)
{
  faultPoint("session.expire");
  mLeases.markEnding(aSession);
  const ExpireSession command =
    buildValue<ExpireSession>({ .session = aSession, .reason = aReason });
  mContext.mLog.propose(command, [this, aSession](const CommandResult& aResult) {
    const CommandFailure* failure = std::get_if<CommandFailure>(&aResult);
    if (failure != nullptr && !failure->mOutcomeUnknown) {
      mLeases.unmarkEnding(aSession);
    }
  });
}

bool
SessionService::sendTo(std::int64_t aSession, const Message& aMessage)
{
  const auto position = mLiveSessions.find(aSession);
  return position != mLiveSessions.end() && position->second.mConnection &&
         mContext.mMessageSender.send(*position->second.mConnection, aMessage);
}

std::int64_t
SessionService::findSession(ConnectionId aConnection) const
{
  const auto position = mSessionsByConnection.find(aConnection);
  return position != mSessionsByConnection.end() ? position->second : 0;
}

void
SessionService::sendCatalogueUpdates(std::int64_t aSession)
{
  faultPoint("change.spread");
  const auto position = mLiveSessions.find(aSession);
  if (position == mLiveSessions.end() || !position->second.mConnection) {
    return;
  }
  while (const std::optional<CatalogueUpdate> update = mCatalogueVersions.nextUpdate(
           aSession, mContext.mState.catalogue(), mContext.mLog.term(), mContext.mNow())) {
    mContext.mMessageSender.send(*position->second.mConnection, *update);
  }
}

void
SessionService::sendTargetTable(std::int64_t aSession)
{
  const SessionRecord* record = mContext.mState.sessions().find(aSession);
  if (record == nullptr || record->processKind() != ProcessKind::eGateway) {
    return;
  }
  sendTo(aSession,
         buildValue<TargetUpdate>({ .term = mContext.mLog.term(),
                                    .version = mTargetTable.version(),
                                    .targets = mTargetTable.targets() }));
}

void
SessionService::sendChangedTargetTable()
{
  if (!std::exchange(mTargetTableChanged, false) || !mTargetTable.update(executorTargets())) {
    return;
  }
  for (const auto& [session, live] : mLiveSessions) {
    sendTargetTable(session);
  }
}

std::vector<TargetStatus>
SessionService::executorTargets() const
{
  std::vector<TargetStatus> targets;
  for (const auto& [number, record] : mContext.mState.sessions().all()) {
    if (!record.target() || record.target()->targetKind() != TargetKind::eExecutor) {
      continue;
    }
    const auto live = mLiveSessions.find(number);
    const bool leaving = live != mLiveSessions.end() && live->second.mLeaving;
    targets.push_back(buildValue<TargetStatus>(
      { .target = *record.target(),
        .session = number,
        .leaving = leaving || mContext.mState.sessions().isClosed(record) }));
  }
  return targets;
}

} // namespace magnoliadrum
