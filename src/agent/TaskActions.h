#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** Start the task at the worker; answer with TaskTable::onStartResult(). */
struct StartAction
{
  TaskStart mStart;
  MonotonicTime mLeaseUntil;
};

/** Stop the task at the worker; answer with TaskTable::onStopResult(). */
struct StopAction
{
  std::string mTaskId;
  std::int64_t mEpoch = 0;
  StopMode mMode = StopMode::eCheckpoint;
};

/** Limit the task's processor time; has no answer. */
struct ThrottleAction
{
  std::string mTaskId;
  std::int64_t mEpoch = 0;
  std::int64_t mCpuMilli = 0;
};

/** Publish the output of a completed task; answer with TaskTable::onPublishResult(). */
struct PublishAction
{
  std::string mTaskId;
  std::int64_t mEpoch = 0;
};

/** Extend the lease of all tasks at the worker; has no answer. */
struct LeaseAction
{
  MonotonicTime mLeaseUntil;
};

/** Send a report to the control leader. */
struct ReportAction
{
  TaskReport mReport;
};

using TaskAction =
  std::variant<StartAction, StopAction, ThrottleAction, PublishAction, LeaseAction, ReportAction>;

/** How a call to the worker ended. */
enum class WorkerCallOutcome
{
  eSucceeded, /**< The worker did it. */
  eRejected,  /**< The worker answered that it did not do it. */
  eNotSent,   /**< The call did not reach the worker. */
  eUnknown    /**< The worker may have done it. */
};

/** A task as the worker lists it. */
struct WorkerTask
{
  std::string mTaskId{};
  std::int64_t mEpoch = 0;
  TaskState mState = TaskState::eRunning;
  std::string mCheckpoint{};
  std::string mDetail{};
  std::string mEntryName{};
  Resources mUsed{};
  /** The resources of the start call. Absent when the worker does not list them. */
  std::optional<Resources> mReserved{};
  double mProgress = 0;
  std::int64_t mAliveAtMs = 0;
};

} // namespace magnoliadrum
