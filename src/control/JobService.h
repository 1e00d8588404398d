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
  const JobQueue* queueOf(const Asker& aAsker, const QueueSelector& aSelector);
  void reply(const Asker& aAsker, JobReply::Fields aReply);
  std::int64_t waitingJobs(const std::string& aQueue) const;

  void takeLists(WorkerLife& aLife, const LifeKey& aKey, const WorkerReport& aReport);
  void takeEnds(WorkerLife& aLife, const LifeKey& aKey, const WorkerReport& aReport);
  void followStarts(const StartRuns& aCommand);
  void followEnds(const EndRuns& aCommand);
  void guardObjectives(WorkerLife& aLife, const LifeKey& aKey);
  std::vector<ServingTask> servingTasks(const LifeKey& aKey) const;
  std::vector<OpportunisticTask> opportunisticTasks(const LifeKey& aKey,
                                                    std::int64_t aCapacityMilli) const;
  void evict(const std::vector<EvictableRun>& aRuns);
  void logWaiting(const std::vector<WaitReason>& aReasons);
  void proposeEnds(std::vector<RunEnding> aEnds);
  void sendOrders(WorkerLife& aLife, const LifeKey& aKey, WorkerOrders::Fields aOrders = {});
  void sendOrdersTo(const std::set<LifeKey>& aLives);
  void stopOverJobs(const std::set<std::string>& aJobs);
  void schedule();
  std::vector<WorkerRoom> rooms();

  SessionService& mSessions;
  WorkerFleet mFleet;
  RunTracker mRuns;
  DisturbanceGuard mGuard;
  /** Jobs of which a worker has begun a task. */
  std::set<std::string> mBegun;
  /** An assignment is on its way through the log; the next round waits for it. */
  bool mAssigning = false;
  /** Something changed that may let a waiting task start. */
  bool mScheduleDue = false;
  MonotonicTime mWaitingLoggedAt;
  /** Counts leaderships, so that a callback of an earlier one is ignored. */
  std::uint64_t mGeneration = 0;
};

} // namespace magnoliadrum
