#pragma once

#include "agent/TaskTable.h"
#include "agent/WorkerAdapter.h"
#include "observability/observability.h"

#include <functional>
#include <memory>

namespace magnoliadrum {

/**
 * Connects TaskTable to a worker and the control leader: passes messages, call results and listings
 * to the table and performs the actions that it returns.
 */
class TaskRunner
{
public:
  struct Handlers
  {
    /** Sends a report to the control leader. Delivery is not guaranteed. */
    std::function<void(const TaskReport&)> mSendReport;
    /** Called when another agent has claimed the worker; this process must then end. */
    std::function<void()> mOnSuperseded;
  };

  static Result<std::unique_ptr<TaskRunner>> create(EventLoop& aLoop,
                                                    const AgentSettings& aSettings,
                                                    MetricsRegistry& aMetrics,
                                                    Handlers aHandlers);

  TaskRunner(const TaskRunner&) = delete;
  TaskRunner& operator=(const TaskRunner&) = delete;

  bool isClaimed() const { return mClaimed; }
  bool isWorkerUnresponsive() const { return mTable.isWorkerUnresponsive(mLoop.now()); }
  bool isIdle() const { return mTable.isIdle(); }
  std::vector<RunningTask> running() const { return mTable.running(); }

  /** Resource usage in the worker's most recent listing. */
  const TargetUsage& usage() const { return mUsage; }

  void onLeaseChanged(const SessionLease& aLease);
  void onCatalogueChanged(const TaskTable::EntryLookup& aFindEntry);

  /** Handles a task message from the control leader. Returns false for any other message. */
  bool handle(const Message& aMessage, const TaskTable::EntryLookup& aFindEntry);

  /**
   * Claims the worker if it is not claimed yet; otherwise lists its tasks and resends the reports
   * and calls that are due. Called once per heartbeat.
   */
  void tick();

  void beginShutdown();

private:
  TaskRunner(EventLoop& aLoop,
             TaskTable::Options aOptions,
             std::unique_ptr<WorkerAdapter> aWorker,
             MetricsRegistry& aMetrics,
             Handlers aHandlers);

  void claimWorker();
  void listTasks();
  void recordUsage(const WorkerListing& aListing);
  void recordDecision(const char* aMessage,
                      const std::string& aTaskId,
                      std::int64_t aEpoch,
                      TaskDecision aDecision);
  void performActions();
  void perform(const StartAction& aAction);
  void perform(const StopAction& aAction);
  void perform(const PublishAction& aAction);
  void perform(const ThrottleAction& aAction) { mWorker->throttle(aAction); }
  void perform(const LeaseAction& aAction) { mWorker->extendLease(aAction); }
  void perform(const ReportAction& aAction) { mHandlers.mSendReport(aAction.mReport); }

  EventLoop& mLoop;
  TaskTable mTable;
  std::unique_ptr<WorkerAdapter> mWorker;
  MetricsRegistry& mMetrics;
  Handlers mHandlers;
  TargetUsage mUsage;
  bool mClaimed = false;
  /** A claim or a listing has been sent and not answered yet. */
  bool mListingInProgress = false;
  bool mPerformingActions = false;
};

} // namespace magnoliadrum
