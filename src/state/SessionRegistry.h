#pragma once

#include "generated/generated.h"
#include "state/Outcome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnoliadrum {

/** The open sessions, the drained targets and the evacuated data centres. Session numbers are never
 * reused. */
class SessionRegistry
{
public:
  static SessionRegistry fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  /**
   * Opens a session, or returns the open one of the same incarnation.
   *
   * Returns SessionAdmitted with an empty mStrays, or an Error if the process kind holds no
   * sessions, an agent names no target, or another process holds the target.
   */
  Outcome admit(const AdmitSession& aCommand);

  /** Ends a session; false when it is not open. */
  bool end(std::int64_t aSession);

  /** Starts or ends a drain. Returns TargetDrained, or an Error if the target to drain is unknown.
   */
  Outcome drain(const DrainTarget& aCommand);

  /** Evacuates a data centre or takes it back; neither depends on its sessions. */
  EvacuationSet apply(const SetEvacuation& aCommand);

  /** Data centres in which nothing starts. */
  const std::set<std::string>& evacuated() const { return mEvacuated; }

  /** Whether the target of a session is in an evacuated data centre. */
  bool isInEvacuated(const SessionRecord& aSession) const;

  /** Whether the target of a session gets no new work: it is drained or its data centre evacuated.
   */
  bool isClosed(const SessionRecord& aSession) const;

  /** Returns an open session; null when it is not open. */
  const SessionRecord* find(std::int64_t aSession) const;

  /** Returns the open session of a process; null when it has none. */
  const SessionRecord* findByProcess(const std::string& aProcessId) const;

  /** Returns the open session of a target's agent; null when it has none. */
  const SessionRecord* findByTarget(const std::string& aTargetId) const;

  const std::map<std::int64_t, SessionRecord>& all() const { return mSessions; }

private:
  std::optional<Error> findAdmissionFault(const AdmitSession& aCommand) const;
  void insert(SessionRecord aRecord);

  std::int64_t mNextSession = 1;
  std::map<std::int64_t, SessionRecord> mSessions;
  std::map<std::string, std::int64_t> mByProcess;
  std::map<std::string, std::int64_t> mByTarget;
  std::set<std::string> mDraining;
  std::set<std::string> mEvacuated;
};

} // namespace magnoliadrum
