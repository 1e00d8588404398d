#pragma once

#include "control/ControlContext.h"
#include "control/EvacuationService.h"
#include "control/JobService.h"
#include "control/MembershipManager.h"
#include "control/RequestService.h"
#include "control/ServiceLevelCollector.h"
#include "control/SessionService.h"
#include "control/TaskService.h"
#include "observability/observability.h"

#include <cstdint>
#include <string>

namespace magnoliadrum {

/**
 * The control service of one replica. It handles incoming messages, ticks and command log events,
 * and sends messages through the context. Sockets and clock are provided from outside.
 */
class ControlService
  : private CommandLogObserver
  , private SessionListener
{
public:
  /** Period of tick(), which bounds how long a placement or an order is delayed. */
  static constexpr std::int64_t kTickMs = 50;

  /** Registers as the observer of the log. aSeed seeds the placement policy's random generator. */
  ControlService(ControlContext aContext, std::uint64_t aSeed);

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  void onMessage(ConnectionId aConnection, const Message& aMessage);
  void onConnectionClosed(ConnectionId aConnection);

  /** Runs the periodic work. Must be called every kTickMs; does nothing on a follower. */
  void tick();

  /** Returns the metrics of the log, sessions, tasks, jobs and commands in text form. */
  std::string metricsText();
  const MetricsRegistry& metrics() const { return mMetrics; }

private:
  /** Period of committing service level rows, which bounds what a leader change loses. */
  static constexpr std::int64_t kServiceLevelFlushMs = 2000;
  /** Period of passing latencies to placement, long enough for a meaningful 99th percentile. */
  static constexpr std::int64_t kLatencyObservationMs = 5000;
  static constexpr std::int64_t kSilenceCheckMs = 1000;
  /** A longer gap between two ticks means that the event loop was blocked, so that heartbeats may
   * still be unread. */
  static constexpr std::int64_t kBlockedLoopMs = 4 * kTickMs;

  void onApplied(const Command& aCommand, const Outcome& aOutcome) override;
  void onLeadershipChanged(bool aIsLeader) override;

  void onSessionBound(std::int64_t aSession) override;
  void onUnassignedTasks(std::int64_t aSession, const std::vector<RunningTask>& aTasks) override;
  void onHeartbeat(const SessionRecord& aSession, const SessionHeartbeat& aHeartbeat) override;
  void onSessionChanged(std::int64_t aSession) override;

  template<typename Body>
  void dispatch(ConnectionId aConnection, const Body& aBody);

  void flushServiceLevel();
  void observeLatencies();
  void countCommand(const Command& aCommand, const Outcome& aOutcome);
  void setTaskGauges();

  ControlContext mContext;
  SessionService mSessions;
  TaskService mTasks;
  RequestService mRequests;
  MetricsRegistry mMetrics;
  JobService mJobs;
  EvacuationService mEvacuations;
  MembershipManager mMembership;
  ServiceLevelCollector mServiceLevel;
  bool mIsLeader = false;
  MonotonicTime mLastTick;
  MonotonicTime mLastSilenceCheck;
  MonotonicTime mLastObservation;
  MonotonicTime mLastFlush;
};

} // namespace magnoliadrum
