#pragma once

#include "generated/CommandsTypes.h"
#include "generated/SnapshotTypes.h"
#include "jobs/CancelledIds.h"
#include "jobs/Job.h"
#include "jobs/ShortWorkDemand.h"

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
  /** Version of the catalogue after the command. */
  std::int64_t mVersion = 0;
  /** False if the version was at least as high before. */
  bool mChanged = false;

  friend bool operator==(const QueueCatalogueSet&, const QueueCatalogueSet&) = default;
};

/** Outcome of SubmitJob and CancelJob. */
struct JobChanged
{
  std::string mJobId;
  JobState mState = JobState::eQueued;
  /** False if the submitted job existed, or the cancelled job was over, before. */
  bool mApplied = false;

  friend bool operator==(const JobChanged&, const JobChanged&) = default;
};

/** Outcome of CancelJob for an id that no job has. A job that is submitted with it is cancelled
 * from the start. */
struct JobIdCancelled
{
  std::string mJobId;

  friend bool operator==(const JobIdCancelled&, const JobIdCancelled&) = default;
};

/** Outcome of StartRuns, EndRuns and ExplainLapses. */
struct RunsChanged
{
  /** Number of listed runs to which the command was applied; for the others it was outdated by
   * earlier commands. */
  std::size_t mAppliedCount = 0;

  friend bool operator==(const RunsChanged&, const RunsChanged&) = default;
};

/**
 * Queues, pools and jobs of the replicated state machine. Deterministic: uses no clock and no I/O.
 *
 * A run number is used at most once per task, and at most one run of a task is active.
 */
class JobRegistry
{
public:
  /** Number of jobs that are over whose outcome is kept; beyond it the oldest are removed. */
  static constexpr std::size_t kMaxFinishedJobs = 20000;

  static JobRegistry fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  QueueCatalogueSet apply(const SetQueueCatalogue& aCommand);
  /** A job whose id was cancelled before is accepted as cancelled. Fails with eNotFound if the
   * queue does not exist. */
  std::variant<JobChanged, Error> apply(const SubmitJob& aCommand);
  /** Fails with eRefused if the job does not exist and there is no room for its id. */
  std::variant<JobChanged, JobIdCancelled, Error> apply(const CancelJob& aCommand);
  RunsChanged apply(const StartRuns& aCommand);
  RunsChanged apply(const EndRuns& aCommand);
  RunsChanged apply(const ExplainLapses& aCommand);

  /** Empty until the first SetQueueCatalogue. */
  const std::optional<QueueCatalogue>& catalogue() const { return mCatalogue; }

  /** Finds a queue by name if the selector has one, otherwise by host and the longest matching path
   * prefix. Returns null if there is none. */
  const JobQueue* findQueue(const QueueSelector& aSelector) const;

  /** As findQueue(). If the catalogue has no such queue, returns the one in which the job was
   * accepted, provided that the selector names it: a queue may be removed while its jobs run. */
  const JobQueue* findQueueOfJob(const QueueSelector& aSelector, const std::string& aJobId) const;

  /** Whether the catalogue names the pool, or the queue of an open job does that was removed. */
  bool usesPool(const std::string& aName) const;

  const Job* find(const std::string& aJobId) const;

  /** Ids of the jobs that are not over or may still have active runs. */
  const std::set<std::string>& openJobs() const { return mOpenJobs; }

  /** Ids that were cancelled while no job with them was known. */
  const CancelledIds& cancelledIds() const { return mCancelledIds; }

  /** Demand of the jobs that end by themselves. */
  const ShortWorkDemand& shortWork() const { return mShortWork; }

private:
  static bool isSelected(const JobQueue& aQueue, const QueueSelector& aSelector);

  /** Lets the open jobs follow their queues in the catalogue: the queue with the same name,
   * otherwise the one with the same host and path prefix. A job whose queue was removed keeps the
   * last version of it. */
  void updateQueuesOfJobs();

  /** Lists a job as open or as finished; removes the oldest finished job beyond
   * kMaxFinishedJobs. */
  void updateIndexes(const Job& aJob);

  std::optional<QueueCatalogue> mCatalogue;
  std::map<std::string, Job> mJobs;
  std::set<std::string> mOpenJobs;
  CancelledIds mCancelledIds;
  ShortWorkDemand mShortWork;
  /** Ids of the jobs that are over and have no active runs, oldest first. */
  std::deque<std::string> mFinishedOrder;
  /** The same ids as in mFinishedOrder, for look-up. */
  std::set<std::string> mFinishedIds;
};

} // namespace magnoliadrum
