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

/** Volatile state of an open session on the leader; discarded when the leadership ends. */
struct LiveSession
{
  /** Absent until the process opens or renews the session, and after its connection closed. */
  std::optional<ConnectionId> mConnection;
  bool mLeaving = false;
  TargetUsage mUsage;
  std::optional<MonotonicTime> mUsageAt;
  /** Replica addresses that were sent on mConnection. */
  std::vector<std::string> mSentReplicas;
};

/** Receives session events. Called only while this replica is the leader. */
class SessionListener
{
public:
  virtual ~SessionListener() = default;

  /** The session was bound to a new connection, or granted again on its current one. */
  virtual void onSessionBound(std::int64_t aSession) = 0;

  /** A new session was opened. aTasks are the running tasks that its process listed but that are
   * not placed on it; may be empty. */
  virtual void onUnassignedTasks(std::int64_t aSession, const std::vector<RunningTask>& aTasks) = 0;

  /** A heartbeat renewed the session's lease. */
  virtual void onHeartbeat(const SessionRecord& aSession, const SessionHeartbeat& aHeartbeat) = 0;

  /** The session was opened or ended, its target was drained or undrained, or its process started
   * or stopped leaving. */
  virtual void onSessionChanged(std::int64_t aSession) = 0;
};

/**
 * Grants, renews and ends sessions. Sends catalogue updates to the processes of all sessions, and
 * the target table to the gateways.
 */
class SessionService
{
public:
  SessionService(ControlContext& aContext, SessionListener& aListener);

  void startTerm();

  /** Refuses the connected sessions, so that their processes look for the new leader, and discards
   * the session state. */
  void endTerm();

  void onOpen(ConnectionId aConnection, const SessionOpen& aMessage);
  void onHeartbeat(ConnectionId aConnection, const SessionHeartbeat& aMessage);
  void onClose(const SessionClose& aMessage);
  void onConnectionClosed(ConnectionId aConnection);

  /** Updates the session state after a command was applied while this replica is the leader. */
  void onApplied(const Command& aCommand, const Outcome& aOutcome);

  /** Proposes to end the sessions whose leases have expired. */
  void expireSessions();

  /**
   * Sends the target table to the gateways if it has changed. Called once per tick rather than per
   * change, because the table is rebuilt in full: rebuilding it per change made a leader
   * unavailable while 1,600 sessions opened.
   */
  void sendChangedTargetTable();

  /** Sends a message to the process of a session. Returns false when it is not connected. */
  bool sendTo(std::int64_t aSession, const Message& aMessage);

  /** Returns the session that is bound to a connection; 0 when there is none. */
  std::int64_t findSession(ConnectionId aConnection) const;

  const std::map<std::int64_t, LiveSession>& liveSessions() const { return mLiveSessions; }
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
  /** Addresses of the replicas, at most kReplicaAddressesAgeMs old. */
  const std::vector<std::string>& replicaAddresses();
  /** Returns the addresses of the replicas if they were not sent on the session's connection. */
  std::vector<std::string> takeChangedReplicas(LiveSession& aLive);

  /** Bounds the cost of listing the replicas at each heartbeat. */
  static constexpr std::int64_t kReplicaAddressesAgeMs = 500;

  ControlContext& mContext;
  SessionListener& mListener;
  bool mTermStarted = false;
  LeaseTable mLeases;
  CatalogueVersionTracker mCatalogueVersions;
  VersionedTargetTable mTargetTable;
  std::map<std::int64_t, LiveSession> mLiveSessions;
  std::map<ConnectionId, std::int64_t> mSessionsByConnection;
  bool mTargetTableChanged = false;
  std::vector<std::string> mReplicaAddresses;
  MonotonicTime mReplicaAddressesAt;
};

} // namespace magnoliadrum
