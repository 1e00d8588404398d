#pragma once

#include "agent/SessionLease.h"
#include "agent/TaskActions.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace magnoliadrum {

/** How TaskTable handled a message from the control leader, for the log and the metrics. */
enum class TaskDecision
{
  eAccepted,           /**< The message is being carried out. */
  eRepeated,           /**< Duplicate, or the task no longer runs; the last report may be resent. */
  eWrongSession,       /**< Ignored: the message does not belong to the current session. */
  eStaleEpoch,         /**< Ignored: a higher epoch of the task is known. */
  eNoLease,            /**< Refused: the lease has expired. */
  eNotAllowed,         /**< Refused: the catalogue does not allow the task on this target. */
  eDoesNotFit,         /**< Refused: the free resources of the VM do not suffice. */
  eShuttingDown,       /**< Refused: the agent is shutting down. */
  eWorkerUnresponsive, /**< Refused: the worker does not answer. */
  eOlderEpochActive,   /**< Refused: an older epoch of the task may still be running. */
  eUnknownTask         /**< The table has no such task in a suitable phase. */
};

const char*
toText(TaskDecision aDecision);

/**
 * Tracks the tasks of one worker: their phases, their reservations and the reports owed to control.
 *
 * Messages, call results and the time are passed in. The resulting calls and reports are queued and
 * fetched with takeActions(). A task's resources stay reserved from the start call until it is
 * certain that the worker no longer runs the task.
 */
class TaskTable
{
public:
  struct Options
  {
    Resources mCapacity;
    std::string mDataCentre;
    /** Duration of a lease. */
    std::int64_t mLeaseMs = 6000;
    /** A worker that has not listed its tasks for this long counts as unresponsive. */
    std::int64_t mWorkerTimeoutMs = 3000;
    /** An unacknowledged report is resent after this time. */
    std::int64_t mReportResendMs = 1000;
    /** A completed task that is neither published nor stopped is reported again after this time. */
    std::int64_t mCompletedResendMs = 10000;
    /** Ended epochs are kept for this long, so that late duplicates of messages are recognised. */
    std::int64_t mEndedRetentionMs = 3600000;
  };

  explicit TaskTable(Options aOptions);

  /** Called when a session is granted or renewed, or ends (session 0). */
  void onLeaseChanged(const SessionLease& aLease, MonotonicTime aNow);

  /** @param aEntry the task's entry in the agent's copy of the catalogue, null if it has none */
  TaskDecision start(const TaskStart& aStart, const CatalogueEntry* aEntry, MonotonicTime aNow);
  TaskDecision stop(const TaskStop& aStop, MonotonicTime aNow);
  TaskDecision throttle(const TaskThrottle& aThrottle, MonotonicTime aNow);
  TaskDecision publish(const TaskPublish& aPublish, MonotonicTime aNow);
  void acknowledge(const TaskReportAck& aAck, MonotonicTime aNow);

  /** Returns the entry of the given name, or null. */
  using EntryLookup = std::function<const CatalogueEntry*(const std::string&)>;

  /** Stops the tasks that the catalogue no longer allows in this data centre. */
  void onCatalogueChanged(const EntryLookup& aFindEntry, MonotonicTime aNow);

  void onStartResult(const std::string& aTaskId,
                     std::int64_t aEpoch,
                     WorkerCallOutcome aOutcome,
                     const std::string& aDetail,
                     MonotonicTime aNow);
  /** @param aCheckpoint the checkpoint that the worker wrote, empty if there is none */
  void onStopResult(const std::string& aTaskId,
                    std::int64_t aEpoch,
                    WorkerCallOutcome aOutcome,
                    const std::string& aCheckpoint,
                    MonotonicTime aNow);
  void onPublishResult(const std::string& aTaskId,
                       std::int64_t aEpoch,
                       WorkerCallOutcome aOutcome,
                       MonotonicTime aNow);

  /** Adds the tasks that the worker had when it was claimed. Precondition: the table is empty. */
  void onWorkerClaimed(const std::vector<WorkerTask>& aTasks, MonotonicTime aNow);

  /** Returns a sequence number for a listing that is about to be requested; see onListing(). */
  std::int64_t beginListing() { return ++mSequence; }

  /**
   * Updates the table from the worker's listing. Tasks that changed after the listing was requested
   * or have a call in progress are skipped.
   *
   * @param aSequence the value that beginListing() returned before the request
   */
  void onListing(const std::vector<WorkerTask>& aTasks, std::int64_t aSequence, MonotonicTime aNow);

  /** Resends the reports and calls that are due, and ends the tasks of an unresponsive worker. */
  void tick(MonotonicTime aNow);

  /**
   * Whether the worker has not answered for mWorkerTimeoutMs. While it is unresponsive, its lease
   * is not renewed, nothing is started, and its tasks end once the last lease that it can hold has
   * expired.
   */
  bool isWorkerUnresponsive(MonotonicTime aNow) const
  {
    return aNow.msSince(mWorkerAnsweredAt) >= mOptions.mWorkerTimeoutMs;
  }

  /** Refuses all further starts and stops all tasks with a checkpoint. */
  void beginShutdown(MonotonicTime aNow);

  /** Whether all tasks have ended and all reports are acknowledged. */
  bool isIdle() const;

  std::vector<TaskAction> takeActions();

  /** The tasks to list in SessionOpen: those not ended and those with an unacknowledged report. */
  std::vector<RunningTask> running() const;

  /**
   * Sum of the reservations. Returned as Fields because it may exceed the range of Resources if the
   * worker lists wrong values.
   */
  Resources::Fields reserved() const;

private:
  enum class Phase
  {
    eStartPending, /**< The start call was not sent and will be retried. */
    eStarting,     /**< The start call is in progress, or its outcome is unknown. */
    eRunning,      /**< The worker runs the task. */
    eStopping,     /**< A stop call is in progress or will be retried. */
    eCompleted,    /**< The worker holds the output. */
    ePublishing,   /**< A publish call is in progress or will be retried. */
    eEnded         /**< The task has ended; the epoch is kept to recognise duplicates. */
  };

  struct TaskKey
  {
    std::string mTaskId;
    std::int64_t mEpoch = 0;

    friend bool operator<(const TaskKey& aLeft, const TaskKey& aRight)
    {
      return std::tie(aLeft.mTaskId, aLeft.mEpoch) < std::tie(aRight.mTaskId, aRight.mEpoch);
    }
  };

  struct Task
  {
    std::string mEntryName;
    Phase mPhase = Phase::eEnded;
    /** Zero once the task no longer runs; absent if a claimed task's reservation is unknown. */
    std::optional<Resources> mReserved = Resources();
    std::optional<TaskStart> mStart;
    std::optional<StopMode> mRequestedStop;
    /** The last report, kept so that it can be resent. */
    std::optional<TaskReport::Fields> mReport;
    bool mAcknowledged = true;
    bool mCallInProgress = false;
    /** The worker rejected the stop; the next listing shows whether the task ended by itself. */
    bool mStopRejected = false;
    MonotonicTime mReportedAt;
    MonotonicTime mEndedAt;
    /** Sequence number of the last change, used to detect outdated listings. */
    std::int64_t mChangeSequence = 0;
  };

  using TaskMap = std::map<TaskKey, Task>;
  using TaskItem = TaskMap::value_type;

  /** Whether the worker may be running the task or may still start it. */
  static bool mayRun(const Task& aTask);
  static TaskState stateOf(const Task& aTask);

  TaskItem* find(const std::string& aTaskId, std::int64_t aEpoch);
  TaskItem& insert(const std::string& aTaskId, std::int64_t aEpoch);
  /** Returns the item with the task's highest epoch, or null. */
  TaskItem* findNewest(const std::string& aTaskId);

  TaskDecision refuse(const TaskStart& aStart, TaskDecision aDecision, MonotonicTime aNow);
  TaskDecision checkStart(const TaskStart& aStart,
                          const CatalogueEntry* aEntry,
                          MonotonicTime aNow) const;
  bool isAllowedInDataCentre(const CatalogueEntry& aEntry) const;
  bool fits(const Resources& aResources) const;

  void requestStop(TaskItem& aItem, StopMode aMode, MonotonicTime aNow);
  void issueStart(TaskItem& aItem);
  void issueStop(TaskItem& aItem);
  void issuePublish(TaskItem& aItem);
  void enterPhase(TaskItem& aItem, Phase aPhase);
  void markRunning(TaskItem& aItem, MonotonicTime aNow);
  void markCompleted(TaskItem& aItem, MonotonicTime aNow);
  void end(TaskItem& aItem,
           TaskState aState,
           MonotonicTime aNow,
           const std::string& aDetail = "",
           const std::string& aCheckpoint = "");
  void report(TaskItem& aItem,
              TaskState aState,
              MonotonicTime aNow,
              const std::string& aDetail = "",
              const std::string& aCheckpoint = "");
  void sendReport(TaskItem& aItem, MonotonicTime aNow);

  void applyListedState(TaskItem& aItem, const WorkerTask& aListed, MonotonicTime aNow);
  void applyMissing(TaskItem& aItem, MonotonicTime aNow);
  void endOnWorkerTimeout(TaskItem& aItem, MonotonicTime aNow);
  void resendDue(TaskItem& aItem, MonotonicTime aNow);
  void removeExpired(MonotonicTime aNow);

  Options mOptions;
  SessionLease mLease;
  bool mShuttingDown = false;
  MonotonicTime mWorkerAnsweredAt;
  /** End of the latest lease that the worker can hold. */
  MonotonicTime mWorkerLeaseUntil;
  std::int64_t mSequence = 0;
  TaskMap mTasks;
  std::vector<TaskAction> mActions;
};

} // namespace magnoliadrum
