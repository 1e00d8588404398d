#pragma once

#include "control/EvacuationDriver.h"
#include "control/JobAdmission.h"
#include "control/LearnedFiguresKeeper.h"
#include "control/OpenLapses.h"
#include "control/RequestHandler.h"
#include "control/RoundMeter.h"
#include "control/RunEndMeter.h"
#include "control/RunTracker.h"
#include "control/SessionService.h"
#include "control/WorkerFleet.h"
#include "jobs/jobs.h"
#include "observability/observability.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Runs jobs: answers callers and operators, assigns tasks to workers, sends the workers' relays the
 * orders for the runs and commits the ends of runs.
 *
 * An assignment is committed before its worker gets the order, and an end is committed before it is
 * acknowledged to the worker. All other state belongs to one leadership; a new leader rebuilds it
 * from the log and from reports.
 */
class JobService : private RequestHandler
{
public:
  /** aMetrics gets the latencies of run ends; it outlives the service. */
  JobService(ControlContext& aContext, SessionService& aSessions, MetricsRegistry& aMetrics);

  void startTerm();
  void endTerm();

  void onRequest(ConnectionId aConnection, const JobSubmit& aRequest);
  void onRequest(ConnectionId aConnection, const JobCancel& aRequest);
  void onRequest(ConnectionId aConnection, const JobQuery& aRequest);
  void onRequest(ConnectionId aConnection, const QueueQuery& aRequest);
  void onRequest(ConnectionId aConnection, const QueueCatalogueSubmit& aRequest);
  void onRequest(ConnectionId aConnection, const QueueCatalogueQuery& aRequest);

  void onReport(ConnectionId aConnection, const WorkerReport& aReport);

  /** Updates the runs after a command was applied while this replica leads. */
  void onApplied(const Command& aCommand, const Outcome& aOutcome);

  /** Ends the runs of lost workers and schedules waiting tasks. */
  void tick();

  const EvacuationDriver& evacuation() const { return mEvacuation; }

  /** Sets the gauges of jobs, runs and workers. */
  void setGauges(MetricsRegistry& aMetrics) const;

private:
  /** Returns the queue of a request, for a request about a job also one that the catalogue no
   * longer has. If there is none, answers the request and returns null. */
  const JobQueue* resolveQueue(const RequestOrigin& aOrigin,
                               const QueueSelector& aSelector,
                               const std::string& aJobId = "");
  void reply(const RequestOrigin& aOrigin, JobReply::Fields aReply);
  std::int64_t countWaitingJobs(const std::string& aQueue) const;

  /** Whether a report of a new incarnation is ignored because the catalogue lacks its pool. */
  bool ignoresPool(const WorkerDescription& aWorker);
  void applyLists(WorkerIncarnation& aIncarnation,
                  const IncarnationKey& aKey,
                  const WorkerReport& aReport);
  void proposeReportedEnds(WorkerIncarnation& aIncarnation,
                           const IncarnationKey& aKey,
                           const WorkerReport& aReport);
  void onStartsApplied(const StartRuns& aCommand);
  void onEndsApplied(const EndRuns& aCommand);
  void onLapsesExplained(const ExplainLapses& aCommand);
  /** Forgets a job that is over and adds it to aFinishedJobs; does nothing while it is open. */
  void handleIfFinished(const std::string& aJobId, std::set<std::string>& aFinishedJobs);
  void adjustPaces(WorkerIncarnation& aIncarnation, const IncarnationKey& aKey);
  std::vector<ServingTask> servingTasks(const IncarnationKey& aKey) const;
  std::vector<OpportunisticTask> opportunisticTasks(const IncarnationKey& aKey,
                                                    std::int64_t aCapacityMilli) const;
  void evict(const std::vector<EvictableRun>& aRuns);
  void limitUnreliableWorkers(std::vector<WorkerCandidate>& aCandidates);
  void learnProgress(const IncarnationKey& aKey);
  /** Counts the standing runs of a worker that have worked for long enough as successes. */
  void recordStandingRuns(const IncarnationKey& aKey);
  /** Records the failure of a run for the reliability of its worker. */
  void recordFailure(const IncarnationKey& aKey, const std::string& aTask, std::int64_t aRun);
  void learnEnd(const TrackedRun& aRun, std::int64_t aClockMs);
  void addStraggler(const TrackedRun& aRun, WorkerCandidate& aCandidate) const;
  void restart(const std::vector<RestartDecision>& aRestarts);
  /** Measures and logs the waits of long-running tasks after a round. aBefore is the state of the
   * workers before it. */
  void observeStandingWaits(const std::vector<WorkerCandidate>& aBefore, const SchedulePlan& aPlan);
  /** Tasks with an active long-running run that its worker does not have: no list shows it, it has
   * ended there, or the worker has left. */
  std::set<std::string> unlistedStandingTasks() const;
  void logStandingWaits(const StandingWaitMeter::Changes& aChanges);
  /** Logs, once in a leadership, the workers with runs that no relay has reported in it. */
  void logUnreportedWorkers();
  /** Whether a long-running task waits for a worker of the pool of the incarnation. */
  bool isAwaited(const IncarnationKey& aKey) const;
  /** Logs why tasks wait and what takes the capacity of the pools. */
  void logWaitReasons(const std::vector<WaitReason>& aReasons,
                      const std::vector<WorkerCandidate>& aWorkers);
  void logRounds();
  void proposeEnds(std::vector<RunEnding> aEnds);
  void proposeFindings(std::vector<LapseFinding> aFindings);
  void sendOrders(WorkerIncarnation& aIncarnation,
                  const IncarnationKey& aKey,
                  WorkerOrders::Fields aOrders = {});
  void sendOrdersToAll(const std::set<IncarnationKey>& aKeys);
  /** Tells the relay of a worker that has left that the log holds no run of it. */
  void releaseRelay(const IncarnationKey& aKey, std::int64_t aSession);
  void stopRunsOfFinishedJobs(const std::set<std::string>& aJobs);
  void schedule();
  std::vector<WorkerCandidate> buildWorkerCandidates();
  /** Takes over what earlier leaders have learned. */
  void restoreLearnedFigures();
  void saveLearnedFigures();

  SessionService& mSessions;
  WorkerFleet mFleet;
  RunTracker mRuns;
  OpenLapses mLapses;
  /** Number of lapsed runs that were explained since the start of the process, by cause. */
  std::map<LapseCause, std::size_t> mLapseCauses;
  EvacuationDriver mEvacuation;
  JobAdmission mAdmission;
  InterferenceGuard mGuard;
  RunTimeModel mRunTimes;
  WorkerReliability mReliability;
  /** Number of slow runs stopped in this leadership so that their tasks run elsewhere. */
  std::size_t mRestartCount = 0;
  /** Ids of the workers that get single runs because they fail them. */
  std::set<std::string> mLimitedWorkers;
  StandingWaitMeter mStandingWaits;
  RunEndMeter mRunEnds;
  RoundMeter mRounds;
  LearnedFiguresKeeper mLearnedFigures;
  /** Ids of the jobs of which a worker has started a task. */
  std::set<std::string> mStartedJobs;
  /** Assignments are proposed and not applied yet; the next scheduling round waits for them. */
  bool mAssignmentPending = false;
  /** A change may allow a waiting task to start. */
  bool mScheduleDue = false;
  MonotonicTime mWaitReasonsLoggedAt;
  std::size_t mUnknownPoolReports = 0;
  /** Pool that the log line about unknown pools named last. */
  std::string mLastUnknownPool;
  /** Changes with each start and end of a leadership, so that callbacks of earlier ones are
   * ignored. */
  std::uint64_t mGeneration = 0;
};

} // namespace magnoliadrum
