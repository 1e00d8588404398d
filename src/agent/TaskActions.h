#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** Starts the task on the worker. The result goes to TaskTable::onStartResult(). */
struct StartAction
{
  TaskStart mStart;
  MonotonicTime mLeaseUntil;
};

/** Stops the task on the worker. The result goes to TaskTable::onStopResult(). */
struct StopAction
{
  std::string mTaskId;
  std::int64_t mEpoch = 0;
  StopMode mMode = StopMode::eCheckpoint;
};

/**
 * Limits the task's CPU use to mCpuMilli thousandths of a core; 0 removes the limit. The result is
 * not reported back.
 */
struct ThrottleAction
{
  std::string mTaskId;
  std::int64_t mEpoch = 0;
  std::int64_t mCpuMilli = 0;
};

/** Publishes the output of a completed task. The result goes to TaskTable::onPublishResult(). */
struct PublishAction
{
  std::string mTaskId;
  std::int64_t mEpoch = 0;
};

/** Extends the lease of all tasks on the worker. The result is not reported back. */
struct LeaseAction
{
  MonotonicTime mLeaseUntil;
};

/** Sends a report to the control leader. */
struct ReportAction
{
  TaskReport mReport;
};

using TaskAction =
  std::variant<StartAction, StopAction, ThrottleAction, PublishAction, LeaseAction, ReportAction>;

/** Outcome of a call to the worker. */
enum class WorkerCallOutcome
{
  eSucceeded, /**< The worker carried out the call. */
  eRejected,  /**< The worker answered that it did not carry out the call. */
  eNotSent,   /**< The call was not sent to the worker. */
  eUnknown    /**< The worker may or may not have carried out the call. */
};

/** A task in the worker's listing. */
struct WorkerTask
{
  std::string mTaskId{};
  std::int64_t mEpoch = 0;
  TaskState mState = TaskState::eRunning;
  std::string mCheckpoint{};
  std::string mDetail{};
  std::string mEntryName{};
  Resources mUsed{};
  /** The resources from the start call, absent if the worker does not list them. */
  std::optional<Resources> mReserved{};
  double mProgress = 0;
  std::int64_t mAliveAtMs = 0;
};

} // namespace magnoliadrum
