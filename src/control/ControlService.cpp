#include "control/ControlService.h"

#include "state/BuildValue.h"

#include <map>
#include <type_traits>
#include <utility>
#include <variant>

namespace magnoliadrum {

namespace {
constexpr std::int64_t kMsPerMinute = 60000;
constexpr double kObservedQuantile = 0.99;
} // namespace

ControlService::ControlService(ControlContext aContext, std::uint64_t aSeed)
  : mContext(std::move(aContext))
  , mSessions(mContext, *this)
  , mTasks(mContext, mSessions, aSeed)
  , mRequests(mContext, mSessions, mTasks)
  , mJobs(mContext, mSessions, mMetrics)
  , mEvacuations(mContext, mJobs.evacuation())
  , mMembership(mContext)
{
  mContext.mLog.setObserver(this);
}

template<typename Body>
void
ControlService::dispatch(ConnectionId aConnection, const Body& aBody)
{
  if constexpr (std::is_same_v<Body, SessionOpen>) {
    mSessions.onOpen(aConnection, aBody);
  } else if constexpr (std::is_same_v<Body, SessionHeartbeat>) {
    mSessions.onHeartbeat(aConnection, aBody);
  } else if constexpr (std::is_same_v<Body, SessionClose>) {
    mSessions.onClose(aBody);
  } else if constexpr (std::is_same_v<Body, TaskReport>) {
    mTasks.onReport(aConnection, aBody);
  } else if constexpr (std::is_same_v<Body, WorkerReport>) {
    mJobs.onReport(aConnection, aBody);
  } else if constexpr (requires { mMembership.onRequest(aConnection, aBody); }) {
    mMembership.onRequest(aConnection, aBody);
  } else if constexpr (requires { mEvacuations.onRequest(aConnection, aBody); }) {
    mEvacuations.onRequest(aConnection, aBody);
  } else if constexpr (requires { mJobs.onRequest(aConnection, aBody); }) {
    mJobs.onRequest(aConnection, aBody);
  } else if constexpr (requires { mRequests.onRequest(aConnection, aBody); }) {
    mRequests.onRequest(aConnection, aBody);
  } else {
    logWarning("unexpected message", { { "type", typeName(Message(aBody)) } });
    mContext.mMessageSender.close(aConnection, "unsupported message type");
  }
}

void
ControlService::onMessage(ConnectionId aConnection, const Message& aMessage)
{
  if (mContext.mLog.accepts(aMessage)) {
    mContext.mLog.receive(aMessage, [this, aConnection](const Message& aReply) {
      mContext.mMessageSender.send(aConnection, aReply);
    });
    return;
  }
  std::visit([this, aConnection](const auto& aBody) { dispatch(aConnection, aBody); }, aMessage);
}

void
ControlService::onConnectionClosed(ConnectionId aConnection)
{
  mSessions.onConnectionClosed(aConnection);
}

void
ControlService::onApplied(const Command& aCommand, const Outcome& aOutcome)
{
  if (!mIsLeader) {
    mContext.mState.takeChangedTasks();
    return;
  }
  countCommand(aCommand, aOutcome);
  const SessionAdmitted* admitted = std::get_if<SessionAdmitted>(&aOutcome);
  if (admitted != nullptr && admitted->mRecord.processKind() == ProcessKind::eGateway) {
    mServiceLevel.onGatewayStarted(admitted->mRecord.processId(), admitted->mRecord.incarnation());
  }
  mSessions.onApplied(aCommand, aOutcome);
  mTasks.onApplied(aCommand);
  mJobs.onApplied(aCommand, aOutcome);
}

void
ControlService::onLeadershipChanged(bool aIsLeader)
{
  if (aIsLeader == mIsLeader) {
    return;
  }
  mIsLeader = aIsLeader;
  logInfo(aIsLeader ? "leads the control group" : "no longer leads the control group",
          { { "term", mContext.mLog.term() } });
  mServiceLevel.reset();
  if (aIsLeader) {
    mSessions.startTerm();
    mTasks.startTerm();
    mJobs.startTerm();
  } else {
    mSessions.endTerm();
    mTasks.endTerm();
    mJobs.endTerm();
  }
}

void
ControlService::onSessionBound(std::int64_t aSession)
{
  mTasks.onSessionBound(aSession);
}

void
ControlService::onUnassignedTasks(std::int64_t aSession, const std::vector<RunningTask>& aTasks)
{
  mTasks.onUnassignedTasks(aSession, aTasks);
}

void
ControlService::onHeartbeat(const SessionRecord& aSession, const SessionHeartbeat& aHeartbeat)
{
  if (aSession.processKind() == ProcessKind::eGateway) {
    mServiceLevel.addCounters(aSession.processId(),
                              aSession.incarnation(),
                              aHeartbeat.counters(),
                              mContext.mWallClockMs() / kMsPerMinute);
  }
  mTasks.onHeartbeat(aSession, aHeartbeat);
}

void
ControlService::onSessionChanged(std::int64_t aSession)
{
  mTasks.onSessionChanged(aSession);
}

void
ControlService::tick()
{
  if (!mIsLeader) {
    return;
  }
  const MonotonicTime now = mContext.mNow();
  // After the event loop was blocked, the queued heartbeats are read before any session expires;
  // otherwise the sessions of healthy processes would end.
  if (now.msSince(std::exchange(mLastTick, now)) <= kBlockedLoopMs) {
    mSessions.expireSessions();
  }
  mSessions.sendChangedTargetTable();
  mTasks.tick();
  mJobs.tick();
  mMembership.tick();
  if (now.msSince(mLastSilenceCheck) >= kSilenceCheckMs) {
    mLastSilenceCheck = now;
    mTasks.logNewlySilentTasks();
  }
  if (now.msSince(mLastObservation) >= kLatencyObservationMs) {
    mLastObservation = now;
    observeLatencies();
  }
  if (now.msSince(mLastFlush) >= kServiceLevelFlushMs) {
    mLastFlush = now;
    flushServiceLevel();
  }
}

void
ControlService::flushServiceLevel()
{
  const std::vector<ServiceLevelRow> rows = mServiceLevel.takeRows();
  if (rows.empty()) {
    return;
  }
  mContext.mLog.propose(buildValue<RecordServiceLevel>({ .rows = rows }),
                        [this, rows](const CommandResult& aResult) {
                          // Rows are dropped when the outcome is unknown, because a gap is less
                          // harmful than counting requests twice.
                          const CommandFailure* failure = std::get_if<CommandFailure>(&aResult);
                          if (failure != nullptr && !failure->mOutcomeUnknown && mIsLeader) {
                            mServiceLevel.restoreRows(rows);
                          }
                        });
}

void
ControlService::observeLatencies()
{
  for (const auto& [entryName, counts] : mServiceLevel.takeLatencies()) {
    const LatencyHistogram histogram = LatencyHistogram::fromCounts(counts);
    ServiceObservation observation;
    observation.entryName = entryName;
    observation.latencyMs = histogram.quantile(kObservedQuantile);
    observation.requests = histogram.total();
    mTasks.addObservation(std::move(observation));
  }
}

void
ControlService::countCommand(const Command& aCommand, const Outcome& aOutcome)
{
  const char* result = std::holds_alternative<Error>(aOutcome) ? "refused" : "applied";
  mMetrics.count("control_commands",
                 std::string("type=\"") + typeName(aCommand) + "\",result=\"" + result + "\"");
}

std::string
ControlService::metricsText()
{
  const auto set = [this](const char* aName, std::int64_t aValue) {
    mMetrics.set(aName, "", static_cast<double>(aValue));
  };
  set("control_is_leader", mIsLeader ? 1 : 0);
  set("control_term", mContext.mLog.term());
  set("control_commit_index", mContext.mLog.commitIndex());
  set("control_applied_index", mContext.mState.appliedIndex());
  set("control_catalogue_version", mContext.mState.catalogue().version());
  set("control_sessions", static_cast<std::int64_t>(mContext.mState.sessions().all().size()));
  setTaskGauges();
  mJobs.setGauges(mMetrics);
  return mMetrics.text();
}

void
ControlService::setTaskGauges()
{
  std::map<std::string, std::int64_t> tasksByState;
  for (int state = 0; state <= static_cast<int>(TaskState::eRefused); state++) {
    tasksByState[toText(static_cast<TaskState>(state))] = 0;
  }
  std::int64_t evictions = 0;
  std::int64_t attempts = 0;
  for (const auto& [taskId, task] : mContext.mState.tasks().all()) {
    tasksByState[toText(task.state())]++;
    evictions += task.evictions();
    attempts += task.attempts();
  }
  for (const auto& [state, count] : tasksByState) {
    mMetrics.set("control_tasks", "state=\"" + state + "\"", static_cast<double>(count));
  }
  mMetrics.set("control_task_evictions", "", static_cast<double>(evictions));
  mMetrics.set("control_task_failed_attempts", "", static_cast<double>(attempts));
}

} // namespace magnoliadrum
