#pragma once

#include "generated/CommandsTypes.h"
#include "generated/SnapshotTypes.h"
#include "jobs/Job.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** Outcome of SetQueueCatalogue. */
struct QueueCatalogueSet
{
  /** Version held after the command. */
  std::int64_t mVersion = 0;
  /** False when the version held was as high before. */
  bool mChanged = false;

  friend bool operator==(const QueueCatalogueSet&, const QueueCatalogueSet&) = default;
};

/** Outcome of SubmitJob and CancelJob. */
struct JobChanged
{
  std::string mJobId;
  JobState mState = JobState::eQueued;
  /** False when the job was there, or was over, before. */
  bool mApplied = false;

  friend bool operator==(const JobChanged&, const JobChanged&) = default;
};

/** Outcome of StartRuns and EndRuns. */
struct RunsChanged
{
  /** How many of the listed runs were taken; the others were overtaken by other commands. */
  std::size_t mAppliedCount = 0;

  friend bool operator==(const RunsChanged&, const RunsChanged&) = default;
};

/**
 * Queues, pools and jobs in the replicated state machine. Deterministic: no clock, no I/O.
 *
 * A run number is used at most once per task, and at most one run of a task is active.
 */
class JobRegistry
{
public:
  /** Jobs that are over are kept by their outcome up to this number, the oldest go first. */
  static constexpr std::size_t kMaxFinishedJobs = 20000;

  static JobRegistry fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  QueueCatalogueSet apply(const SetQueueCatalogue& aCommand);
  /** The error eNotFound names a queue that is not there. */
  std::variant<JobChanged, Error> apply(const SubmitJob& aCommand);
  /** The error eNotFound names a job that is not there. */
  std::variant<JobChanged, Error> apply(const CancelJob& aCommand);
  RunsChanged apply(const StartRuns& aCommand);
  RunsChanged apply(const EndRuns& aCommand);

  /** Nothing until the first SetQueueCatalogue. */
  const std::optional<QueueCatalogue>& catalogue() const { return mCatalogue; }

  /** The queue that a selector names: by host, the one with the longest fitting path prefix. */
  const JobQueue* findQueue(const QueueSelector& aSelector) const;
  const WorkerPool* findPool(const std::string& aName) const;

  const Job* find(const std::string& aJobId) const;

  /** Ids of the jobs that are not over or may still have runs. */
  const std::set<std::string>& openJobs() const { return mOpenJobs; }

private:
  void updateIndexes(const Job& aJob);

  std::optional<QueueCatalogue> mCatalogue;
  std::map<std::string, Job> mJobs;
  std::set<std::string> mOpenJobs;
  /** Jobs that are over, oldest first. */
  std::deque<std::string> mFinishedOrder;
  std::set<std::string> mFinishedIds;
};

} // namespace magnoliadrum
