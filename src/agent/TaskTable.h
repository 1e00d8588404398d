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

/** What TaskTable did with a message of the control leader, for the log. */
enum class TaskDecision
{
  eAccepted,           /**< It is carried out. */
  eRepeated,           /**< It was known already; the current state is reported again. */
  eWrongSession,       /**< It belongs to another session and has no effect. */
  eStaleEpoch,         /**< A higher epoch of the task was seen; it has no effect. */
  eNoLease,            /**< Refused: the lease is over. */
  eNotAllowed,         /**< Refused: the catalogue does not allow the task here. */
  eDoesNotFit,         /**< Refused: the VM does not hold the resources. */
  eShuttingDown,       /**< Refused: the agent is shutting down. */
  eWorkerUnresponsive, /**< Refused: the worker does not answer. */
  eOlderEpochActive,   /**< Refused: an older epoch has not ended here. */
  eUnknownTask         /**< The task is not held. */
};

const char*
toText(TaskDecision aDecision);

/**
 * The tasks of one worker: what was started, what is reserved and what control must be told.
 *
 * Messages, results of calls and the time come in; the resulting calls and reports are collected
 * and fetched with takeActions(). A task's reservation is held from the moment of the start call
 * until the worker surely does not run it any more.
 */
class TaskTable
{
public:
  struct Options
  {
    Resources mCapacity;
    std::string mDataCentre;
    /** Length of a lease. */
    std::int64_t mLeaseMs = 6000;
    /** A worker that has not listed its tasks for this long counts as silent. */
    std::int64_t mWorkerTimeoutMs = 3000;
    /** An unacknowledged report is sent again after this time. */
    std::int64_t mReportResendMs = 1000;
    /** A completed task that is neither published nor stopped is reported again after this time. */
    std::int64_t mCompletedResendMs = 10000;
    /** Ended epochs are remembered for this long, so that a late duplicate finds them. */
    std::int64_t mEndedRetentionMs = 3600000;
  };

  explicit TaskTable(Options aOptions);

  /** A session was granted or renewed, or ended (session 0). */
  void onLeaseChanged(const SessionLease& aLease, MonotonicTime aNow);

  /** @param aEntry the task's entry in the agent's catalogue, null when it has none */
  TaskDecision start(const TaskStart& aStart, const CatalogueEntry* aEntry, MonotonicTime aNow);
  TaskDecision stop(const TaskStop& aStop, MonotonicTime aNow);
  TaskDecision throttle(const TaskThrottle& aThrottle, MonotonicTime aNow);
  TaskDecision publish(const TaskPublish& aPublish, MonotonicTime aNow);
  void acknowledge(const TaskReportAck& aAck, MonotonicTime aNow);

  /** Finds an entry by its name; null when there is none. */
  using EntryLookup = std::function<const CatalogueEntry*(const std::string&)>;

  /** Stops the tasks that the catalogue no longer allows in this data centre. */
  void onCatalogueChanged(const EntryLookup& aFindEntry, MonotonicTime aNow);

  void onStartResult(const std::string& aTaskId,
                     std::int64_t aEpoch,
                     WorkerCallOutcome aOutcome,
                     const std::string& aDetail,
                     MonotonicTime aNow);
  /** @param aCheckpoint the new checkpoint when the task was stopped, empty for none */
  void onStopResult(const std::string& aTaskId,
                    std::int64_t aEpoch,
                    WorkerCallOutcome aOutcome,
                    const std::string& aCheckpoint,
                    MonotonicTime aNow);
  void onPublishResult(const std::string& aTaskId,
                       std::int64_t aEpoch,
                       WorkerCallOutcome aOutcome,
                       MonotonicTime aNow);

  /** Takes over what the worker held when it was claimed. Precondition: the table is empty. */
  void onWorkerClaimed(const std::vector<WorkerTask>& aTasks, MonotonicTime aNow);

  /** Returns a sequence to hand to onListing() with the answer of a listing that is requested now.
   */
  std::int64_t beginListing() { return ++mSequence; }

  /** Compares with the worker's tasks; those that changed after aSequence was taken are left alone.
   */
  void onListing(const std::vector<WorkerTask>& aTasks, std::int64_t aSequence, MonotonicTime aNow);

  /** Repeats reports and calls that are due, and gives up the tasks of a silent worker. */
  void tick(MonotonicTime aNow);

  /**
   * Whether the worker has not answered for too long. Then its leases are not renewed, nothing is
   * started, and its tasks end with the last lease that it can have got.
   */
  bool isWorkerUnresponsive(MonotonicTime aNow) const
  {
    return aNow.msSince(mWorkerAnsweredAt) >= mOptions.mWorkerTimeoutMs;
  }

  /** Refuses every further start and stops all tasks with a checkpoint. */
  void beginShutdown(MonotonicTime aNow);

  /** Whether no task is held and no report waits for its acknowledgement. */
  bool isIdle() const;

  std::vector<TaskAction> takeActions();

  /** What a SessionOpen lists: the tasks that are held and those with an unacknowledged report. */
  std::vector<RunningTask> running() const;

  /** Sum of the reservations; of a worker that lists nonsense, it may exceed what Resources holds.
   */
  Resources::Fields reserved() const;

private:
  enum class Phase
  {
    eStartPending, /**< The start call did not reach the worker and is sent again. */
    eStarting,     /**< The start call is in progress, or its result is not known. */
    eRunning,      /**< The worker runs the task. */
    eStopping,     /**< A stop call is in progress or is sent again. */
    eCompleted,    /**< The worker holds the output. */
    ePublishing,   /**< A publish call is in progress or is sent again. */
    eEnded         /**< The worker holds nothing; the epoch is remembered. */
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
    /** Zero once the task no longer runs; absent when a claimed task's reservation is unknown. */
    std::optional<Resources> mReserved = Resources();
    std::optional<TaskStart> mStart;
    std::optional<StopMode> mRequestedStop;
    /** The last report, kept so that a repeated message gets it again. */
    std::optional<TaskReport::Fields> mReport;
    bool mAcknowledged = true;
    bool mCallInProgress = false;
    /** The worker rejected the stop; a listing tells whether the task ended by itself. */
    bool mStopRejected = false;
    MonotonicTime mReportedAt;
    MonotonicTime mEndedAt;
    /** Event count at the last change, to tell whether a listing is older. */
    std::int64_t mChangeSequence = 0;
  };

  using TaskMap = std::map<TaskKey, Task>;
  using TaskItem = TaskMap::value_type;

  static bool mayRun(const Task& aTask);
  static TaskState stateOf(const Task& aTask);

  TaskItem* find(const std::string& aTaskId, std::int64_t aEpoch);
  TaskItem& insert(const std::string& aTaskId, std::int64_t aEpoch);
  /** Returns the record of the highest epoch of a task; null when there is none. */
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
  /** End of the last lease that was sent to the worker. */
  MonotonicTime mWorkerLeaseUntil;
  std::int64_t mSequence = 0;
  TaskMap mTasks;
  std::vector<TaskAction> mActions;
};

} // namespace magnoliadrum
