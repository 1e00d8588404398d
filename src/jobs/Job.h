#pragma once

#include "generated/JobsTypes.h"
#include "jobs/TaskId.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * One accepted job and its tasks, as the replicated log knows them.
 *
 * A job that is over keeps its steps and tasks only while a run may still be there; after that just
 * its outcome is left.
 */
class Job
{
public:
  static Job accept(const JobQueue& aQueue,
                    const JobDescription& aDescription,
                    std::int64_t aAcceptedAtMs);
  static Job fromRecord(const JobRecord& aRecord);
  JobRecord record() const;

  const std::string& jobId() const { return mJobId; }
  const JobQueue& queue() const { return mQueue; }
  const std::string& payload() const { return mPayload; }
  const std::vector<JobStep>& steps() const { return mSteps; }
  std::int64_t occurrences() const { return mOccurrences; }
  std::int64_t acceptedAtMs() const { return mAcceptedAtMs; }

  /** Wall clock at which an occurrence is due; 0 for at once. */
  std::int64_t dueMs(std::int64_t aOccurrence) const;
  bool isRecurring() const { return mFirstDueMs != 0 || mOccurrences > 1; }

  JobState state() const;
  bool isOver() const { return mOutcome.has_value(); }

  /** Whether a run may be on a worker. */
  bool hasActiveRuns() const { return mActiveRuns > 0; }

  /** Whether any run was ever assigned. */
  bool hasStarted() const { return mStarted; }

  const JobTaskRecord::Fields* find(const TaskId& aTask) const;

  /** Whether all tasks of the steps that the step waits for are done. */
  bool isStepReady(std::int64_t aOccurrence, std::int64_t aStep) const;

  /** Tasks of the step that are not done. */
  std::int64_t openTasks(std::int64_t aOccurrence, std::int64_t aStep) const;

  /** Calls aVisit for each task with its state. */
  void forEachTask(
    const std::function<void(const TaskId&, const JobTaskRecord::Fields&)>& aVisit) const;

  /** The number that the next run of a task must have; the same for all tasks of a gang. */
  std::int64_t nextRun(const TaskId& aTask) const;

  /** Assigns a run. False when the job is over, the task is done or active, or the run is used. */
  bool start(const TaskId& aTask, const RunStart& aStart);

  /** Records an end. False when that run is not the active one. */
  bool end(const TaskId& aTask, const RunEnding& aEnd);

  /** False when the job was over. */
  bool cancel();

private:
  Job() = default;

  void rebuildIndexes();
  std::optional<std::size_t> taskPosition(const TaskId& aTask) const;
  std::size_t stepPosition(std::int64_t aOccurrence, std::int64_t aStep) const;
  void finishTask(const TaskId& aTask, JobTaskRecord::Fields& aRecord);
  void countFailure(const TaskId& aTask, std::int64_t aRun);
  void setOutcome(JobState aOutcome);
  void dropContentIfUnused();

  std::string mJobId;
  JobQueue mQueue;
  std::string mPayload;
  std::vector<JobStep> mSteps;
  std::int64_t mFirstDueMs = 0;
  std::int64_t mIntervalMs = 0;
  std::int64_t mOccurrences = 1;
  std::int64_t mAcceptedAtMs = 0;
  std::optional<JobState> mOutcome;
  std::vector<JobTaskRecord::Fields> mTasks;

  /** Position of each step's first task within an occurrence. */
  std::vector<std::size_t> mOffsets;
  std::size_t mTasksPerOccurrence = 0;
  /** Tasks that are not done, by occurrence and step. */
  std::vector<std::int64_t> mOpenTasks;
  std::int64_t mOpenTaskCount = 0;
  std::int64_t mActiveRuns = 0;
  bool mStarted = false;
};

} // namespace magnoliadrum
