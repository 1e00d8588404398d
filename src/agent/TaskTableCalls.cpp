#include "agent/TaskTable.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

// The part of TaskTable that handles calls to the worker, their results and its listings.

namespace magnoliadrum {

void
TaskTable::enterPhase(TaskItem& aItem, Phase aPhase)
{
  aItem.second.mPhase = aPhase;
  aItem.second.mChangeSequence = ++mSequence;
}

void
TaskTable::issueStart(TaskItem& aItem)
{
  assert(aItem.second.mStart);
  enterPhase(aItem, Phase::eStarting);
  aItem.second.mCallInProgress = true;
  mWorkerLeaseUntil = std::max(mWorkerLeaseUntil, mLease.mLeaseUntil);
  mActions.push_back(StartAction{ *aItem.second.mStart, mLease.mLeaseUntil });
}

void
TaskTable::issueStop(TaskItem& aItem)
{
  assert(aItem.second.mRequestedStop);
  enterPhase(aItem, Phase::eStopping);
  aItem.second.mCallInProgress = true;
  aItem.second.mStopRejected = false;
  mActions.push_back(
    StopAction{ aItem.first.mTaskId, aItem.first.mEpoch, *aItem.second.mRequestedStop });
}

void
TaskTable::issuePublish(TaskItem& aItem)
{
  aItem.second.mCallInProgress = true;
  mActions.push_back(PublishAction{ aItem.first.mTaskId, aItem.first.mEpoch });
}

void
TaskTable::markRunning(TaskItem& aItem, MonotonicTime aNow)
{
  enterPhase(aItem, Phase::eRunning);
  report(aItem, TaskState::eRunning, aNow);
  if (aItem.second.mRequestedStop) {
    issueStop(aItem);
  }
}

void
TaskTable::markCompleted(TaskItem& aItem, MonotonicTime aNow)
{
  enterPhase(aItem, Phase::eCompleted);
  aItem.second.mReserved = Resources();
  // The task completed before the stop took effect. A later stop may still discard the output.
  aItem.second.mRequestedStop.reset();
  report(aItem, TaskState::eCompleted, aNow);
}

void
TaskTable::end(TaskItem& aItem,
               TaskState aState,
               MonotonicTime aNow,
               const std::string& aDetail,
               const std::string& aCheckpoint)
{
  enterPhase(aItem, Phase::eEnded);
  aItem.second.mReserved = Resources();
  aItem.second.mStart.reset();
  aItem.second.mCallInProgress = false;
  aItem.second.mEndedAt = aNow;
  report(aItem, aState, aNow, aDetail, aCheckpoint);
}

void
TaskTable::onStartResult(const std::string& aTaskId,
                         std::int64_t aEpoch,
                         WorkerCallOutcome aOutcome,
                         const std::string& aDetail,
                         MonotonicTime aNow)
{
  TaskItem* item = find(aTaskId, aEpoch);
  if (item == nullptr || item->second.mPhase != Phase::eStarting) {
    return;
  }
  Task& task = item->second;
  task.mCallInProgress = false;
  switch (aOutcome) {
    case WorkerCallOutcome::eSucceeded:
      markRunning(*item, aNow);
      break;
    case WorkerCallOutcome::eRejected:
      end(*item, TaskState::eRefused, aNow, aDetail);
      break;
    case WorkerCallOutcome::eNotSent:
      if (task.mRequestedStop) {
        end(*item, TaskState::eRefused, aNow, "stopped before the start");
      } else {
        enterPhase(*item, Phase::eStartPending);
      }
      break;
    case WorkerCallOutcome::eUnknown:
      // Not retried: a worker that has restarted in the meantime would run the epoch a second time.
      // The next listing shows whether the task runs.
      enterPhase(*item, Phase::eStarting);
      if (task.mRequestedStop) {
        issueStop(*item);
      }
      break;
  }
}

void
TaskTable::onStopResult(const std::string& aTaskId,
                        std::int64_t aEpoch,
                        WorkerCallOutcome aOutcome,
                        const std::string& aCheckpoint,
                        MonotonicTime aNow)
{
  TaskItem* item = find(aTaskId, aEpoch);
  if (item == nullptr || item->second.mPhase != Phase::eStopping) {
    return;
  }
  if (aOutcome == WorkerCallOutcome::eSucceeded) {
    end(*item, TaskState::eStopped, aNow, "stopped", aCheckpoint);
    return;
  }
  enterPhase(*item, Phase::eStopping);
  item->second.mCallInProgress = false;
  item->second.mStopRejected = aOutcome == WorkerCallOutcome::eRejected;
}

void
TaskTable::onPublishResult(const std::string& aTaskId,
                           std::int64_t aEpoch,
                           WorkerCallOutcome aOutcome,
                           MonotonicTime aNow)
{
  TaskItem* item = find(aTaskId, aEpoch);
  if (item == nullptr || item->second.mPhase != Phase::ePublishing) {
    return;
  }
  item->second.mCallInProgress = false;
  if (aOutcome == WorkerCallOutcome::eSucceeded) {
    end(*item, TaskState::ePublished, aNow);
  } else if (aOutcome == WorkerCallOutcome::eRejected) {
    end(*item, TaskState::eOutcomeUnknown, aNow, "the worker does not hold the output");
  }
}

void
TaskTable::onWorkerClaimed(const std::vector<WorkerTask>& aTasks, MonotonicTime aNow)
{
  assert(mTasks.empty());
  mWorkerAnsweredAt = aNow;
  // The lease that the previous agent process sent is unknown, so a full one is assumed.
  mWorkerLeaseUntil = aNow.plusMs(mOptions.mLeaseMs);
  for (const WorkerTask& listed : aTasks) {
    TaskItem& item = insert(listed.mTaskId, listed.mEpoch);
    item.second.mEntryName = listed.mEntryName;
    item.second.mReserved = listed.mReserved;
    enterPhase(item, Phase::eStarting);
    applyListedState(item, listed, aNow);
  }
}

void
TaskTable::onListing(const std::vector<WorkerTask>& aTasks,
                     std::int64_t aSequence,
                     MonotonicTime aNow)
{
  mWorkerAnsweredAt = aNow;
  std::set<TaskKey> listedKeys;
  for (const WorkerTask& listed : aTasks) {
    listedKeys.insert(TaskKey{ listed.mTaskId, listed.mEpoch });
    TaskItem* item = find(listed.mTaskId, listed.mEpoch);
    const bool isCurrent =
      item != nullptr && item->second.mChangeSequence <= aSequence && !item->second.mCallInProgress;
    if (isCurrent && item->second.mPhase != Phase::eEnded) {
      applyListedState(*item, listed, aNow);
    } else if (isCurrent && listed.mState == TaskState::eRunning) {
      // The task was ended here while the worker was unresponsive, but it still runs. Only this
      // agent renews the worker's lease, so this agent has to stop the task.
      mActions.push_back(StopAction{ listed.mTaskId, listed.mEpoch, StopMode::eKill });
    }
  }
  for (TaskItem& item : mTasks) {
    const bool isCurrent = item.second.mChangeSequence <= aSequence && !item.second.mCallInProgress;
    if (isCurrent && !listedKeys.contains(item.first)) {
      applyMissing(item, aNow);
    }
  }
}

void
TaskTable::applyListedState(TaskItem& aItem, const WorkerTask& aListed, MonotonicTime aNow)
{
  Task& task = aItem.second;
  switch (aListed.mState) {
    case TaskState::eRunning:
      task.mStopRejected = false;
      if (task.mPhase == Phase::eStarting) {
        markRunning(aItem, aNow);
      }
      break;
    case TaskState::eCompleted: {
      const bool isBeingDiscarded = task.mReport && task.mReport->state == TaskState::eCompleted;
      task.mStopRejected = false;
      if (mayRun(task) && !isBeingDiscarded) {
        markCompleted(aItem, aNow);
      }
      break;
    }
    case TaskState::ePublished:
    case TaskState::eFailed:
      end(aItem, aListed.mState, aNow, aListed.mDetail, aListed.mCheckpoint);
      break;
    default:
      end(aItem, TaskState::eStopped, aNow, aListed.mDetail, aListed.mCheckpoint);
      break;
  }
}

void
TaskTable::applyMissing(TaskItem& aItem, MonotonicTime aNow)
{
  switch (aItem.second.mPhase) {
    case Phase::eStarting:
      // The start call may still arrive; the stop makes the worker reject it.
      requestStop(aItem, StopMode::eKill, aNow);
      break;
    case Phase::eRunning:
    case Phase::eCompleted:
    case Phase::ePublishing:
      end(aItem, TaskState::eStopped, aNow, "the worker no longer holds the task");
      break;
    default:
      break;
  }
}

void
TaskTable::tick(MonotonicTime aNow)
{
  const bool isUnresponsive = isWorkerUnresponsive(aNow);
  for (TaskItem& item : mTasks) {
    if (isUnresponsive && mayRun(item.second)) {
      endOnWorkerTimeout(item, aNow);
    }
    resendDue(item, aNow);
  }
  removeExpired(aNow);
}

void
TaskTable::endOnWorkerTimeout(TaskItem& aItem, MonotonicTime aNow)
{
  if (aItem.second.mPhase == Phase::eStartPending) {
    end(aItem, TaskState::eRefused, aNow, "the worker does not answer");
  } else if (aNow > mWorkerLeaseUntil) {
    // The worker has stopped the task when its lease expired, or is not running at all.
    end(aItem, TaskState::eStopped, aNow, "the worker does not answer and its lease has expired");
  }
}

void
TaskTable::resendDue(TaskItem& aItem, MonotonicTime aNow)
{
  Task& task = aItem.second;
  // Control answers a completion with a publish message or, if the epoch is over, with a stop.
  // Either may be lost.
  const bool isAnswerOverdue = task.mPhase == Phase::eCompleted &&
                               aNow.msSince(task.mReportedAt) >= mOptions.mCompletedResendMs;
  if (isAnswerOverdue) {
    task.mAcknowledged = false;
  }
  const bool isReportDue = aNow.msSince(task.mReportedAt) >= mOptions.mReportResendMs;
  if (!task.mAcknowledged && isReportDue) {
    sendReport(aItem, aNow);
  }
  if (task.mCallInProgress) {
    return;
  }
  if (task.mPhase == Phase::eStopping) {
    if (!task.mStopRejected) {
      issueStop(aItem);
    }
    return;
  }
  if (!mLease.isValidAt(aNow)) {
    return;
  }
  if (task.mPhase == Phase::eStartPending) {
    issueStart(aItem);
  } else if (task.mPhase == Phase::ePublishing) {
    issuePublish(aItem);
  }
}

void
TaskTable::removeExpired(MonotonicTime aNow)
{
  std::erase_if(mTasks, [this, aNow](const TaskItem& aItem) {
    const Task& task = aItem.second;
    return task.mPhase == Phase::eEnded && task.mAcknowledged &&
           aNow.msSince(task.mEndedAt) >= mOptions.mEndedRetentionMs;
  });
}

} // namespace magnoliadrum
