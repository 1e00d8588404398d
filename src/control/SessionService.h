#pragma once

#include "control/CatalogueVersionTracker.h"
#include "control/ControlContext.h"
#include "control/LeaseTable.h"
#include "control/VersionedTargetTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What the leader knows about an open session beside its record; lost with the leadership. */
struct LiveSession
{
  /** Absent until the process has opened or renewed the session on a connection. */
  std::optional<ConnectionId> mConnection;
  bool mLeaving = false;
  TargetUsage mUsage;
  std::optional<MonotonicTime> mUsageAt;
};

/** Is told about sessions; the calls come only while this replica leads. */
class SessionListener
{
public:
  virtual ~SessionListener() = default;

  /** The session has a new connection. */
  virtual void onSessionBound(std::int64_t aSession) = 0;

  /** The worker of a new session holds tasks that are not placed on it. */
  virtual void onStrays(std::int64_t aSession, const std::vector<RunningTask>& aStrays) = 0;

  /** A heartbeat renewed the session. */
  virtual void onHeartbeat(const SessionRecord& aSession, const SessionHeartbeat& aHeartbeat) = 0;

  /** The session was opened, changed or ended. */
  virtual void onSessionChanged(std::int64_t aSession) = 0;
};

/**
 * Grants, renews and ends sessions, and keeps their processes up to date with the catalogue and the
 * table of executors.
 */
class SessionService
{
public:
  SessionService(ControlContext& aContext, SessionListener& aListener);

  void startTerm();

  /** Tells the processes of all sessions to look for the new leader. */
  void endTerm();

  void onOpen(ConnectionId aConnection, const SessionOpen& aMessage);
  void onHeartbeat(ConnectionId aConnection, const SessionHeartbeat& aMessage);
  void onClose(const SessionClose& aMessage);
  void onConnectionClosed(ConnectionId aConnection);

  /** Follows a command that was applied while this replica leads. */
  void onApplied(const Command& aCommand, const Outcome& aOutcome);

  /** Proposes the end of the sessions whose leases are over. */
  void expireSessions();

  /**
   * Sends the table of executors to the gateways when it has changed. Once per tick and not per
   * change, because the table is rebuilt in full, which took a leader with 1,600 sessions out of
   * service while they opened.
   */
  void sendChangedTargetTable();

  /** Sends a message to the process of a session; false when it is not connected. */
  bool sendTo(std::int64_t aSession, const Message& aMessage);

  /** Session that was opened or renewed on a connection; 0 when none. */
  std::int64_t sessionOf(ConnectionId aConnection) const;

  const std::map<std::int64_t, LiveSession>& live() const { return mLiveSessions; }
  const CatalogueVersionTracker& catalogueVersions() const { return mCatalogueVersions; }

private:
  bool isActiveLeader() const { return mTermStarted && mContext.mLog.isLeader(); }
  void refuse(ConnectionId aConnection, SessionRefusal aReason, std::int64_t aSession = 0);
  void onAdmissionResult(ConnectionId aConnection,
                         const SessionOpen& aMessage,
                         const CommandResult& aResult);
  void grant(ConnectionId aConnection, const SessionRecord& aRecord, std::int64_t aSentAtMs);
  void bindConnection(ConnectionId aConnection, std::int64_t aSession);
  void addAdmittedSession(const SessionAdmitted& aAdmitted);
  void removeSession(std::int64_t aSession);
  void proposeSessionEnd(std::int64_t aSession, const std::string& aReason);
  void sendCatalogueUpdates(std::int64_t aSession);
  void sendTargetTable(std::int64_t aSession);
  std::vector<TargetStatus> executorTargets() const;

  ControlContext& mContext;
  SessionListener& mListener;
  bool mTermStarted = false;
  LeaseTable mLeases;
  CatalogueVersionTracker mCatalogueVersions;
  VersionedTargetTable mTargetTable;
  std::map<std::int64_t, LiveSession> mLiveSessions;
  std::map<ConnectionId, std::int64_t> mSessionsByConnection;
  bool mTargetTableChanged = false;
};

} // namespace magnoliadrum
