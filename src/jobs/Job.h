#pragma once

#include "generated/JobsTypes.h"
#include "jobs/CrashAttribution.h"
#include "jobs/TaskId.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * An accepted job and its tasks, as recorded in the replicated log.
 *
 * A finished job keeps its payload, steps and tasks only while one of its runs may still be
 * active; after that only its description without them and its outcome remain.
 */
class Job
{
public:
  static Job accept(const JobQueue& aQueue,
                    const JobDescription& aDescription,
                    std::int64_t aAcceptedAtMs);
  static Job fromRecord(const JobRecord& aRecord);
  JobRecord record() const;

  /** Adopts a newer version of the queue. What was promised at the acceptance stays as it was: the
   * host and the path of the job, the number of attempts and the objective. */
  void followQueue(const JobQueue& aQueue);

  const std::string& jobId() const { return mJobId; }
  const JobQueue& queue() const { return mQueue; }
  const std::string& payload() const { return mPayload; }
  const std::vector<JobStep>& steps() const { return mSteps; }
  std::int64_t occurrences() const { return mOccurrences; }
  std::int64_t acceptedAtMs() const { return mAcceptedAtMs; }

  /** Wall-clock time at which an occurrence is due, in ms; 0 for immediately. */
  std::int64_t dueMs(std::int64_t aOccurrence) const;
  bool isRecurring() const { return mFirstDueMs != 0 || mOccurrences > 1; }

  JobState state() const;
  bool isFinished() const { return mOutcome.has_value(); }

  /** Whether a run may still be active on a worker. */
  bool hasActiveRuns() const { return mActiveRuns > 0; }

  /** Whether a run was ever assigned. */
  bool hasStarted() const { return mStarted; }

  /** Returns null if the job has no such task. */
  const JobTaskRecord::Fields* find(const TaskId& aTask) const;

  /** Whether all tasks of the steps that the step depends on are done. */
  bool isStepReady(std::int64_t aOccurrence, std::int64_t aStep) const;

  static constexpr std::int64_t kMaxCrashes = CrashAttribution::kMaxCrashes;
  /** Number of lapsed runs of a task whose cause is open that are kept; beyond it the oldest is
   * dropped. */
  static constexpr std::size_t kMaxOpenLapses = 8;

  /** Whether a task that is not done may have crashed a worker. */
  bool hasCrashSuspects() const { return mCrashSuspects > 0; }

  /** Number of tasks of the step that are not done. */
  std::int64_t openTasks(std::int64_t aOccurrence, std::int64_t aStep) const;

  /** Calls aVisit for each task with its state. */
  void forEachTask(
    const std::function<void(const TaskId&, const JobTaskRecord::Fields&)>& aVisit) const;

  /** Number for the next run of a task; the same for all tasks of a gang. */
  std::int64_t nextRun(const TaskId& aTask) const;

  /** Records the assignment of a run. All members of a gang get the same checkpoint, that with the
   * most progress, because they only work together from the same one. False if the job is finished,
   * the task is unknown, done or active, or the run number was used before. */
  bool start(const TaskId& aTask, const RunStart& aStart);

  /** Records the end of a run. False if that run is not active. */
  bool end(const TaskId& aTask, const RunEnding& aEnd);

  /** Records why a run has lapsed. False if the cause of that run's lapse is not open. */
  bool explainLapse(const TaskId& aTask, const LapseFinding& aFinding);

  /** False if the job was finished already. */
  bool cancel();

private:
  /** A crash of a worker that a run of a task may have caused. */
  struct CountedCrash
  {
    /** Relay beside the worker. */
    std::string place;
    std::int64_t ranMs = 0;
    std::int64_t share = 0;
    bool isCertain = false;
  };

  Job() = default;

  /** Recomputes everything that is derived from the steps and the tasks. */
  void rebuildIndexes();
  std::optional<std::size_t> taskPosition(const TaskId& aTask) const;
  std::size_t stepPosition(std::int64_t aOccurrence, std::int64_t aStep) const;
  /** Returns the record of the gang that holds its checkpoint with the most progress. */
  const JobTaskRecord::Fields& gangCheckpoint(const TaskId& aMember) const;
  void finishTask(const TaskId& aTask, JobTaskRecord::Fields& aRecord);
  void countFailure(const TaskId& aTask, std::int64_t aRun);
  void countCrash(JobTaskRecord::Fields& aRecord, const CountedCrash& aCrash);
  static void addLapse(JobTaskRecord::Fields& aRecord, const RunEnding& aEnd);
  void clearCrashes(JobTaskRecord::Fields& aRecord);
  void setOutcome(JobState aOutcome);
  /** Frees the payload, steps and tasks once the job is finished and has no active runs. */
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

  /** Index of each step's first task within an occurrence. */
  std::vector<std::size_t> mOffsets;
  std::size_t mTasksPerOccurrence = 0;
  /** Numbers of tasks that are not done, by occurrence and step. */
  std::vector<std::int64_t> mOpenTasks;
  std::int64_t mOpenTaskCount = 0;
  std::int64_t mActiveRuns = 0;
  /** Number of tasks that are not done and may have crashed a worker. */
  std::int64_t mCrashSuspects = 0;
  bool mStarted = false;
};

} // namespace magnoliadrum
