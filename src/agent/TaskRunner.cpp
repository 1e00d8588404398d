#include "agent/TaskRunner.h"

#include "faults/faults.h"
#include <algorithm>
#include <utility>
#include <variant>

namespace magnoliadrum {

TaskRunner::TaskRunner(EventLoop& aLoop,
                       TaskTable::Options aOptions,
                       std::unique_ptr<WorkerAdapter> aWorker,
                       MetricsRegistry& aMetrics,
                       Handlers aHandlers)
  : mLoop(aLoop)
  , mTable(std::move(aOptions))
  , mWorker(std::move(aWorker))
  , mMetrics(aMetrics)
  , mHandlers(std::move(aHandlers))
{
  mWorker->onSuperseded(mHandlers.mOnSuperseded);
}

Result<std::unique_ptr<TaskRunner>>
TaskRunner::create(EventLoop& aLoop,
                   const AgentSettings& aSettings,
                   MetricsRegistry& aMetrics,
                   Handlers aHandlers)
{
  // The monotonic clock serves as the token: an agent process that starts later on this VM gets a
  // higher one.
  Result<std::unique_ptr<WorkerAdapter>> worker =
    WorkerAdapter::create(aLoop, aSettings.targetAddress(), aLoop.now().ms());
  if (!isOk(worker)) {
    return errorOf(worker);
  }
  TaskTable::Options options{ .mCapacity = aSettings.capacity(),
                              .mDataCentre = aSettings.dataCentre(),
                              .mLeaseMs = aSettings.lease().leaseMs(),
                              .mWorkerTimeoutMs = aSettings.lease().leaseMs() / 2 };
  return std::unique_ptr<TaskRunner>(new TaskRunner(
    aLoop, std::move(options), takeValue(std::move(worker)), aMetrics, std::move(aHandlers)));
}

void
TaskRunner::tick()
{
  if (!mClaimed) {
    claimWorker();
    return;
  }
  listTasks();
  mTable.tick(mLoop.now());
  performActions();
}

void
TaskRunner::claimWorker()
{
  if (mListingInProgress) {
    return;
  }
  mListingInProgress = true;
  mWorker->claim([this](const Result<WorkerListing>& aListing) {
    mListingInProgress = false;
    if (!isOk(aListing)) {
      logWarning("cannot claim the worker", errorOf(aListing));
      return;
    }
    mClaimed = true;
    mTable.onWorkerClaimed(valueOf(aListing).mTasks, mLoop.now());
    recordUsage(valueOf(aListing));
    logInfo("worker claimed", { { "tasks", valueOf(aListing).mTasks.size() } });
    performActions();
  });
}

void
TaskRunner::listTasks()
{
  if (mListingInProgress) {
    return;
  }
  mListingInProgress = true;
  const std::int64_t sequence = mTable.beginListing();
  mWorker->list([this, sequence](const Result<WorkerListing>& aListing) {
    mListingInProgress = false;
    if (!isOk(aListing)) {
      logWarning("cannot list the worker's tasks", errorOf(aListing));
      return;
    }
    mTable.onListing(valueOf(aListing).mTasks, sequence, mLoop.now());
    recordUsage(valueOf(aListing));
    performActions();
  });
}

void
TaskRunner::recordUsage(const WorkerListing& aListing)
{
  TargetUsage::Fields usage{ .used = aListing.mUsed };
  for (const WorkerTask& task : aListing.mTasks) {
    if (task.mState != TaskState::eRunning) {
      continue;
    }
    const Result<TaskUsage> taskUsage =
      TaskUsage::create({ .taskId = task.mTaskId,
                          .used = task.mUsed,
                          .progress = std::clamp(task.mProgress, 0.0, 1.0),
                          .aliveAtMs = task.mAliveAtMs });
    if (isOk(taskUsage)) {
      usage.tasks.push_back(valueOf(taskUsage));
    }
  }
  const Result<TargetUsage> target = TargetUsage::create(std::move(usage));
  if (isOk(target)) {
    mUsage = valueOf(target);
  }
}

void
TaskRunner::onLeaseChanged(const SessionLease& aLease)
{
  mTable.onLeaseChanged(aLease, mLoop.now());
  performActions();
}

void
TaskRunner::onCatalogueChanged(const TaskTable::EntryLookup& aFindEntry)
{
  mTable.onCatalogueChanged(aFindEntry, mLoop.now());
  performActions();
}

bool
TaskRunner::handle(const Message& aMessage, const TaskTable::EntryLookup& aFindEntry)
{
  const MonotonicTime now = mLoop.now();
  if (const TaskStart* start = std::get_if<TaskStart>(&aMessage)) {
    const TaskDecision decision = mTable.start(*start, aFindEntry(start->entryName()), now);
    recordDecision("task start", start->taskId(), start->epoch(), decision);
  } else if (const TaskStop* stop = std::get_if<TaskStop>(&aMessage)) {
    recordDecision("task stop", stop->taskId(), stop->epoch(), mTable.stop(*stop, now));
  } else if (const TaskThrottle* throttle = std::get_if<TaskThrottle>(&aMessage)) {
    recordDecision(
      "task throttle", throttle->taskId(), throttle->epoch(), mTable.throttle(*throttle, now));
  } else if (const TaskPublish* publish = std::get_if<TaskPublish>(&aMessage)) {
    recordDecision(
      "task publish", publish->taskId(), publish->epoch(), mTable.publish(*publish, now));
  } else if (const TaskReportAck* ack = std::get_if<TaskReportAck>(&aMessage)) {
    mTable.acknowledge(*ack, now);
  } else {
    return false;
  }
  performActions();
  return true;
}

void
TaskRunner::recordDecision(const char* aMessage,
                           const std::string& aTaskId,
                           std::int64_t aEpoch,
                           TaskDecision aDecision)
{
  mMetrics.count("agent_task_messages",
                 std::string("message=\"") + aMessage + "\",decision=\"" + toText(aDecision) +
                   "\"");
  logDebug(aMessage,
           { { "task", aTaskId }, { "epoch", aEpoch }, { "decision", toText(aDecision) } });
}

void
TaskRunner::beginShutdown()
{
  mTable.beginShutdown(mLoop.now());
  performActions();
}

void
TaskRunner::performActions()
{
  // A call that fails immediately invokes its callback, and thus this function, from within
  // perform(). The loop of the outer invocation performs the resulting actions.
  if (mPerformingActions) {
    return;
  }
  mPerformingActions = true;
  for (std::vector<TaskAction> actions = mTable.takeActions(); !actions.empty();
       actions = mTable.takeActions()) {
    for (const TaskAction& action : actions) {
      std::visit([this](const auto& aAction) { perform(aAction); }, action);
    }
  }
  mPerformingActions = false;
}

void
TaskRunner::perform(const StartAction& aAction)
{
  faultPoint("task.start.received");
  const std::string taskId = aAction.mStart.taskId();
  const std::int64_t epoch = aAction.mStart.epoch();
  mWorker->start(aAction, [this, taskId, epoch](const WorkerCallResult& aResult) {
    faultPoint("worker.started");
    mTable.onStartResult(taskId, epoch, aResult.mOutcome, aResult.mDetail, mLoop.now());
    performActions();
  });
}

void
TaskRunner::perform(const StopAction& aAction)
{
  faultPoint("task.stop.received");
  const std::string taskId = aAction.mTaskId;
  const std::int64_t epoch = aAction.mEpoch;
  mWorker->stop(aAction, [this, taskId, epoch](const WorkerCallResult& aResult) {
    mTable.onStopResult(taskId, epoch, aResult.mOutcome, aResult.mCheckpoint, mLoop.now());
    performActions();
  });
}

void
TaskRunner::perform(const PublishAction& aAction)
{
  faultPoint("task.publish.received");
  const std::string taskId = aAction.mTaskId;
  const std::int64_t epoch = aAction.mEpoch;
  mWorker->publish(aAction, [this, taskId, epoch](const WorkerCallResult& aResult) {
    faultPoint("worker.published");
    mTable.onPublishResult(taskId, epoch, aResult.mOutcome, mLoop.now());
    performActions();
  });
}

} // namespace magnoliadrum
