#pragma once

#include "control/ControlContext.h"
#include "control/PlacementDriver.h"
#include "control/ServiceLevelCollector.h"
#include "control/SessionService.h"
#include "control/SilenceMonitor.h"
#include "control/TaskDispatcher.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Places tasks, sends the agents orders about them and commits the task states that they report.
 */
class TaskService
{
public:
  TaskService(ControlContext& aContext, SessionService& aSessions, std::uint64_t aSeed);

  void startTerm();
  void endTerm();

  void onReport(ConnectionId aConnection, const TaskReport& aReport);

  /** Updates orders and placement after a command was applied while this replica leads. */
  void onApplied(const Command& aCommand);

  void onSessionBound(std::int64_t aSession) { mDispatcher.onSessionReconnected(aSession); }
  void onSessionChanged(std::int64_t aSession);
  void onUnassignedTasks(std::int64_t aSession, const std::vector<RunningTask>& aTasks);
  void onHeartbeat(const SessionRecord& aSession, const SessionHeartbeat& aHeartbeat);
  void addObservation(ServiceObservation aObservation);

  /** Runs a placement round and sends the orders that are due. */
  void tick();

  /** Logs the standing tasks that have become silent since the last call. */
  void logNewlySilentTasks();

  /** Ids of the standing tasks that are silent now. */
  std::vector<std::string> silentTasks();

private:
  bool isHeldBySession(std::int64_t aSession,
                       const std::string& aTaskId,
                       std::int64_t aEpoch) const;
  void onReportCommitted(std::int64_t aSession, const TaskReport& aReport);
  void acknowledge(std::int64_t aSession, const TaskReport& aReport);
  void execute(const PlacementDecision& aDecision);
  void propose(const Command& aCommand);

  ControlContext& mContext;
  SessionService& mSessions;
  TaskDispatcher mDispatcher;
  SilenceMonitor mSilenceMonitor;
  PlacementDriver mPlacement;
  std::set<std::string> mLoggedSilentTasks;
};

} // namespace magnoliadrum
