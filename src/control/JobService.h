#pragma once

#include "control/RequestAnswerer.h"
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
 * Runs jobs: answers their callers and operators, assigns tasks to workers, orders the runs through
 * the relays beside the workers and commits how they end.
 *
 * Each assignment is in the log before its worker is told, and each end before the worker may
 * forget it. Everything else here is lost with the leadership and learned anew from the reports.
 */
class JobService : private RequestAnswerer
{
public:
  JobService(ControlContext& aContext, SessionService& aSessions);

  void startTerm();
  void endTerm();

  void onRequest(ConnectionId aConnection, const JobSubmit& aRequest);
  void onRequest(ConnectionId aConnection, const JobCancel& aRequest);
  void onRequest(ConnectionId aConnection, const JobQuery& aRequest);
  void onRequest(ConnectionId aConnection, const QueueQuery& aRequest);
  void onRequest(ConnectionId aConnection, const QueueCatalogueSubmit& aRequest);
  void onRequest(ConnectionId aConnection, const QueueCatalogueQuery& aRequest);

  void onReport(ConnectionId aConnection, const WorkerReport& aReport);

  /** Follows a command that was applied while this replica leads. */
  void onApplied(const Command& aCommand, const Outcome& aOutcome);

  /** Ends lost workers, sends due orders and starts due tasks. */
  void tick();

  /** Adds gauges of jobs, runs and workers. */
  void setGauges(MetricsRegistry& aMetrics) const;

private:
  /** The queue of a request; without one the request is answered and null returned. */
  const JobQueue* resolveQueue(const Asker& aAsker, const QueueSelector& aSelector);
  void reply(const Asker& aAsker, JobReply::Fields aReply);
  std::int64_t countWaitingJobs(const std::string& aQueue) const;

  void applyLists(WorkerIncarnation& aIncarnation,
                  const IncarnationKey& aKey,
                  const WorkerReport& aReport);
  void proposeReportedEnds(WorkerIncarnation& aIncarnation,
                           const IncarnationKey& aKey,
                           const WorkerReport& aReport);
  void onStartsApplied(const StartRuns& aCommand);
  void onEndsApplied(const EndRuns& aCommand);
  void adjustPaces(WorkerIncarnation& aIncarnation, const IncarnationKey& aKey);
  std::vector<ServingTask> servingTasks(const IncarnationKey& aKey) const;
  std::vector<OpportunisticTask> opportunisticTasks(const IncarnationKey& aKey,
                                                    std::int64_t aCapacityMilli) const;
  void evict(const std::vector<EvictableRun>& aRuns);
  void logWaiting(const std::vector<WaitReason>& aReasons);
  void proposeEnds(std::vector<RunEnding> aEnds);
  void sendOrders(WorkerIncarnation& aIncarnation,
                  const IncarnationKey& aKey,
                  WorkerOrders::Fields aOrders = {});
  void sendOrdersToAll(const std::set<IncarnationKey>& aIncarnations);
  void stopRunsOfFinishedJobs(const std::set<std::string>& aJobs);
  void schedule();
  std::vector<WorkerRoom> buildWorkerRooms();

  SessionService& mSessions;
  WorkerFleet mFleet;
  RunTracker mRuns;
  DisturbanceGuard mGuard;
  /** Jobs of which a worker has begun a task. */
  std::set<std::string> mStartedJobs;
  /** An assignment is on its way through the log; the next round waits for it. */
  bool mAssignmentPending = false;
  /** Something changed that may let a waiting task start. */
  bool mScheduleDue = false;
  MonotonicTime mWaitingLoggedAt;
  /** Counts leaderships, so that a callback of an earlier one is ignored. */
  std::uint64_t mGeneration = 0;
};

} // namespace magnoliadrum
