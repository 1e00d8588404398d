#include "control/TaskService.h"

#include "control/Utf8Truncation.h"
#include "faults/faults.h"
#include "observability/observability.h"
#include "state/BuildValue.h"

#include <utility>
#include <variant>

namespace magnoliadrum {

namespace {

/** Longest detail field of a command. */
constexpr std::size_t kMaxDetailBytes = 2000;

Command
toCommand(const PlaceDecision& aDecision)
{
  return buildValue<PlaceTask>(
    { .taskId = aDecision.taskId, .epoch = aDecision.epoch, .session = aDecision.session });
}

Command
toCommand(const EvictDecision& aDecision)
{
  return buildValue<RequestStop>({ .taskId = aDecision.taskId,
                                   .epoch = aDecision.epoch,
                                   .detail = truncateUtf8(aDecision.reason, kMaxDetailBytes) });
}

Command
toCommand(const ImpossibleDecision& aDecision)
{
  return buildValue<MoveTask>({ .taskId = aDecision.taskId,
                                .epoch = aDecision.epoch,
                                .state = TaskState::eImpossible,
                                .detail = truncateUtf8(aDecision.reason, kMaxDetailBytes) });
}

} // namespace

TaskService::TaskService(ControlContext& aContext, SessionService& aSessions, std::uint64_t aSeed)
  : mContext(aContext)
  , mSessions(aSessions)
  , mPlacement(aContext.mSettings.policy(), aSeed)
{
}

void
TaskService::startTerm()
{
  mContext.mState.takeChangedTasks();
  mDispatcher.startTerm(mContext.mState);
  mSilenceMonitor.reset();
  mLoggedSilentTasks.clear();
  mPlacement.startTerm();
}

void
TaskService::endTerm()
{
  mDispatcher.endTerm();
  mPlacement.endTerm();
}

bool
TaskService::isHeldBySession(std::int64_t aSession,
                             const std::string& aTaskId,
                             std::int64_t aEpoch) const
{
  const TaskRecord* task = mContext.mState.tasks().find(aTaskId);
  return task != nullptr && isHeld(task->state()) && task->session() == aSession &&
         task->epoch() == aEpoch;
}

void
TaskService::onReport(ConnectionId aConnection, const TaskReport& aReport)
{
  faultPoint("task.report");
  const std::int64_t session = mSessions.findSession(aConnection);
  if (!mContext.mLog.isLeader() || session == 0 || session != aReport.session()) {
    // The agent opens a session with the leader and resends the report under that session.
    logDebug("task report ignored: replica does not lead or the session differs",
             { { "task", aReport.taskId() }, { "session", aReport.session() } });
    return;
  }
  mDispatcher.onReport(session, aReport);
  if (!isHeldBySession(session, aReport.taskId(), aReport.epoch())) {
    onReportCommitted(session, aReport);
    return;
  }
  const MoveTask command = buildValue<MoveTask>({ .taskId = aReport.taskId(),
                                                  .epoch = aReport.epoch(),
                                                  .state = aReport.state(),
                                                  .checkpoint = aReport.checkpoint(),
                                                  .detail = aReport.detail() });
  mContext.mLog.propose(command, [this, session, aReport](const CommandResult& aResult) {
    if (std::holds_alternative<Outcome>(aResult)) {
      onReportCommitted(session, aReport);
    }
  });
}

void
TaskService::onReportCommitted(std::int64_t aSession, const TaskReport& aReport)
{
  faultPoint("task.report.committed");
  acknowledge(aSession, aReport);
  const bool isOnWorker =
    aReport.state() == TaskState::eRunning || aReport.state() == TaskState::eCompleted;
  if (isOnWorker && !isHeldBySession(aSession, aReport.taskId(), aReport.epoch())) {
    mDispatcher.addUnassignedTask(
      aSession, buildValue<RunningTask>({ .taskId = aReport.taskId(), .epoch = aReport.epoch() }));
  }
}

void
TaskService::acknowledge(std::int64_t aSession, const TaskReport& aReport)
{
  mSessions.sendTo(
    aSession,
    buildValue<TaskReportAck>(
      { .taskId = aReport.taskId(), .epoch = aReport.epoch(), .state = aReport.state() }));
}

void
TaskService::onApplied(const Command& aCommand)
{
  for (const std::string& taskId : mContext.mState.takeChangedTasks()) {
    mDispatcher.onTaskChanged(taskId, mContext.mState);
    mPlacement.markTaskChanged(taskId);
  }
  if (const ApplyChange* change = std::get_if<ApplyChange>(&aCommand)) {
    mPlacement.markRecordChanged(change->change().recordName());
  }
}

void
TaskService::onSessionChanged(std::int64_t aSession)
{
  mPlacement.markSessionChanged(aSession);
  if (mContext.mState.sessions().find(aSession) == nullptr) {
    mDispatcher.onSessionClosed(aSession);
  }
}

void
TaskService::onUnassignedTasks(std::int64_t aSession, const std::vector<RunningTask>& aTasks)
{
  for (const RunningTask& task : aTasks) {
    logWarning("worker holds a task that is not placed on it; stopping the task",
               { { "task", task.taskId() }, { "epoch", task.epoch() }, { "session", aSession } });
    mDispatcher.addUnassignedTask(aSession, task);
  }
}

void
TaskService::onHeartbeat(const SessionRecord& aSession, const SessionHeartbeat& aHeartbeat)
{
  if (aSession.processKind() != ProcessKind::eAgent || !aHeartbeat.usage()) {
    return;
  }
  mSilenceMonitor.recordUsage(*aHeartbeat.usage(), aHeartbeat.sentAtMs(), mContext.mNow());
  mPlacement.markSessionChanged(aSession.session());
}

void
TaskService::addObservation(ServiceObservation aObservation)
{
  mPlacement.addObservation(std::move(aObservation));
}

void
TaskService::tick()
{
  // Without a majority, no decision could be committed.
  if (!mContext.isLeaderWithLease()) {
    return;
  }
  const MonotonicTime now = mContext.mNow();
  for (const PlacementDecision& decision :
       mPlacement.decide(mContext.mState, mSessions.liveSessions(), now)) {
    execute(decision);
  }
  for (const AgentOrder& order : mDispatcher.takeDueOrders(mContext.mState, now)) {
    mSessions.sendTo(order.mSession, order.mMessage);
  }
}

void
TaskService::execute(const PlacementDecision& aDecision)
{
  faultPoint("task.place");
  if (const PlaceDecision* placement = std::get_if<PlaceDecision>(&aDecision)) {
    propose(toCommand(*placement));
  } else if (const EvictDecision* eviction = std::get_if<EvictDecision>(&aDecision)) {
    propose(toCommand(*eviction));
  } else if (const ImpossibleDecision* impossible = std::get_if<ImpossibleDecision>(&aDecision)) {
    propose(toCommand(*impossible));
  } else if (const ThrottleDecision* throttle = std::get_if<ThrottleDecision>(&aDecision)) {
    mSessions.sendTo(throttle->session,
                     buildValue<TaskThrottle>({ .session = throttle->session,
                                                .taskId = throttle->taskId,
                                                .epoch = throttle->epoch,
                                                .cpuMilli = throttle->cpuMilli }));
  }
}

void
TaskService::propose(const Command& aCommand)
{
  mContext.mLog.propose(aCommand, [name = typeName(aCommand)](const CommandResult& aResult) {
    const Outcome* outcome = std::get_if<Outcome>(&aResult);
    const Error* error = outcome != nullptr ? std::get_if<Error>(outcome) : nullptr;
    if (error != nullptr) {
      // The state has changed since the decision; the policy decides again in a later round.
      logDebug("placement decision rejected: state has changed",
               { { "command", name }, { "task", error->peer() }, { "detail", error->detail() } });
    }
  });
}

std::vector<std::string>
TaskService::silentTasks()
{
  return mSilenceMonitor.silentTasks(mContext.mState, mContext.mNow());
}

void
TaskService::logNewlySilentTasks()
{
  const std::vector<std::string> silent = silentTasks();
  for (const std::string& taskId : silent) {
    if (!mLoggedSilentTasks.contains(taskId)) {
      logWarning("standing task is silent", { { "task", taskId } });
    }
  }
  mLoggedSilentTasks = { silent.begin(), silent.end() };
}

} // namespace magnoliadrum
