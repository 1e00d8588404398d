#pragma once

#include "control/ControlContext.h"
#include "control/GroupSteward.h"
#include "control/JobService.h"
#include "control/RequestService.h"
#include "control/ServiceLevelCollector.h"
#include "control/SessionService.h"
#include "control/TaskService.h"
#include "observability/observability.h"

#include <cstdint>
#include <string>

namespace magnoliadrum {

/**
 * The control service of one replica: takes messages, the time and the events of the log, and sends
 * messages. It has no sockets and no clock of its own.
 */
class ControlService
  : private CommandLogObserver
  , private SessionListener
{
public:
  /** Period of tick(): bounds the delay of a placement and of an order. */
  static constexpr std::int64_t kTickMs = 50;

  /** Registers with the log. aSeed is for the random choices of the placement policy. */
  ControlService(ControlContext aContext, std::uint64_t aSeed);

  ControlService(const ControlService&) = delete;
  ControlService& operator=(const ControlService&) = delete;

  void onMessage(ConnectionId aConnection, const Message& aMessage);
  void onConnectionClosed(ConnectionId aConnection);

  /** Does what time makes due. To be called every kTickMs. */
  void tick();

  /** Returns the metrics in text form: the log, the sessions, the tasks and the commands. */
  std::string metricsText();

private:
  /** Rows are committed this often, which bounds what a leader change loses. */
  static constexpr std::int64_t kServiceLevelFlushMs = 2000;
  /** Latencies are handed to placement this often: long enough for a meaningful 99th percentile. */
  static constexpr std::int64_t kLatencyObservationMs = 5000;
  static constexpr std::int64_t kSilenceCheckMs = 1000;
  /** A longer time between two ticks means that the loop was blocked and heartbeats wait. */
  static constexpr std::int64_t kBlockedLoopMs = 4 * kTickMs;

  void onApplied(const Command& aCommand, const Outcome& aOutcome) override;
  void onLeadership(bool aLeads) override;

  void onSessionBound(std::int64_t aSession) override;
  void onStrays(std::int64_t aSession, const std::vector<RunningTask>& aStrays) override;
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
  JobService mJobs;
  GroupSteward mGroup;
  ServiceLevelCollector mServiceLevel;
  MetricsRegistry mMetrics;
  bool mIsLeader = false;
  MonotonicTime mLastTick;
  MonotonicTime mLastSilenceCheck;
  MonotonicTime mLastObservation;
  MonotonicTime mLastFlush;
};

} // namespace magnoliadrum
