#include "control/JobService.h"

#include "control/OrderMessages.h"
#include "control/Utf8Truncation.h"
#include "observability/observability.h"
#include "state/BuildValue.h"

#include <algorithm>
#include <map>
#include <utility>

namespace magnoliadrum {

namespace {

/** Delay after which a caller should retry while there is no queue catalogue. */
constexpr std::int64_t kRetryAfterMs = 1000;

constexpr double kMsPerSecond = 1000;

/** Shortest time between two logs of the reasons why tasks wait. */
constexpr std::int64_t kLogWaitReasonsMs = 1000;

/** Largest number of lines about single unreported workers. After a change of the leader at which
 * no relay finds the new one they would be thousands. */
constexpr std::size_t kMaxUnreportedLines = 50;

std::string
joinFaults(const std::vector<std::string>& aFaults)
{
  std::string text;
  for (const std::string& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault;
  }
  return text;
}

/** Returns the tenths of a worker's runs that failed. */
std::int64_t
failureTenths(double aSuccessShare)
{
  constexpr double kTenths = 10;
  return static_cast<std::int64_t>((1 - aSuccessShare) * kTenths);
}

/** Returns failureTenths(), 0 if at least half of the runs succeeded. */
std::int64_t
failureRank(double aSuccessShare)
{
  return aSuccessShare >= 0.5 ? 0 : failureTenths(aSuccessShare);
}
constexpr std::int64_t kFullPacePercent = 100;

/** Returns the work that is lost when the run is stopped, in core-milliseconds. */
double
computeLostWork(const TrackedRun& aRun)
{
  // The stop of a checkpointing task saves its progress, so only the restart is lost.
  constexpr double kRestartMs = 200;
  constexpr double kFullPercent = 100;
  const double workedMs =
    aRun.progressPercent / kFullPercent * static_cast<double>(aRun.step().estimateMs());
  return static_cast<double>(aRun.step().resources().cpuMilli()) *
         (aRun.step().checkpoints() ? kRestartMs : workedMs + kRestartMs);
}

} // namespace

JobService::JobService(ControlContext& aContext,
                       SessionService& aSessions,
                       MetricsRegistry& aMetrics)
  : RequestHandler(aContext)
  , mSessions(aSessions)
  , mFleet(aContext.mSettings.workerLeaseMs())
  , mEvacuation(mContext, mFleet, mRuns)
  , mAdmission(mContext, mFleet, mEvacuation, mRuns, aMetrics)
  , mRunEnds(aMetrics)
  , mRounds(aMetrics)
{
}

void
JobService::startTerm()
{
  endTerm();
  std::map<IncarnationKey, std::string> relays;
  const JobRegistry& jobs = mContext.mState.jobs();
  for (const std::string& jobId : jobs.openJobs()) {
    const Job* job = jobs.find(jobId);
    job->forEachTask([&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
      if (aRecord.done) {
        mStartedJobs.insert(jobId);
      }
      if (aRecord.active) {
        const IncarnationKey key{ aRecord.worker, aRecord.bornMs };
        relays.emplace(key, aRecord.place);
        mRuns.add(aTask, aRecord.run, key, job);
      }
      for (const LapsedRun& lapse : CrashAttribution::openLapses(aRecord)) {
        mLapses.add(aTask, lapse, mContext.mNow());
      }
    });
  }
  mFleet.startTerm(
    relays, mContext.mLog.term(), mContext.inheritedLeasesRenewedAt(), mContext.mNow());
  restoreLearnedFigures();
  mAdmission.startTerm();
  mScheduleDue = true;
  logInfo("jobs restored for a new leadership",
          { { "open", jobs.openJobs().size() }, { "runs", mRuns.runs().size() } });
}

void
JobService::restoreLearnedFigures()
{
  const LearnedFigures& saved = mContext.mState.learnedFigures();
  mLearnedFigures.startTerm(saved);
  const LearnedFigures::Fields figures = LearnedFiguresKeeper::aged(saved, mContext.mWallClockMs());
  mGuard.setModel(ImageInterferenceModel::fromFigures(figures, mContext.mNow()));
  mRunTimes = RunTimeModel::fromFigures(saved);
  logInfo(
    "learned figures taken over",
    { { "pairs", figures.interference.size() },
      { "runTimes", figures.runTimes.size() },
      { "ageMs", saved.savedAtMs() > 0 ? mContext.mWallClockMs() - saved.savedAtMs() : -1 } });
}

void
JobService::saveLearnedFigures()
{
  const MonotonicTime now = mContext.mNow();
  if (!mLearnedFigures.isDue(now)) {
    return;
  }
  LearnedFigures::Fields figures;
  mGuard.model().writeTo(figures, now);
  mRunTimes.writeTo(figures);
  const std::optional<LearnedFigures> save =
    mLearnedFigures.nextSave(std::move(figures), now, mContext.mWallClockMs());
  if (!save) {
    return;
  }
  mContext.mLog.propose(buildValue<SaveLearnedFigures>({ .figures = *save }),
                        [this, generation = mGeneration](const CommandResult& aResult) {
                          if (generation == mGeneration) {
                            mLearnedFigures.onSaveEnded(std::get_if<CommandFailure>(&aResult) ==
                                                        nullptr);
                          }
                        });
}

void
JobService::endTerm()
{
  mGeneration++;
  mFleet.endTerm();
  mRuns.clear();
  mLapses.clear();
  mEvacuation.endTerm();
  mReliability.clear();
  mLimitedWorkers.clear();
  mStandingWaits.clear();
  mRunEnds.endTerm();
  mRounds.endTerm();
  mAdmission.endTerm();
  mRestartCount = 0;
  mStartedJobs.clear();
  mAssignmentPending = false;
  mScheduleDue = false;
}

void
JobService::reply(const RequestOrigin& aOrigin, JobReply::Fields aReply)
{
  aReply.requestId = aOrigin.mRequestId;
  mContext.mMessageSender.send(aOrigin.mConnection, buildValue<JobReply>(std::move(aReply)));
}

const JobQueue*
JobService::resolveQueue(const RequestOrigin& aOrigin,
                         const QueueSelector& aSelector,
                         const std::string& aJobId)
{
  if (!checkLeadership(aOrigin)) {
    return nullptr;
  }
  const JobRegistry& jobs = mContext.mState.jobs();
  const JobQueue* queue = jobs.findQueueOfJob(aSelector, aJobId);
  if (queue == nullptr) {
    const bool hasCatalogue = jobs.catalogue().has_value();
    reply(aOrigin,
          { .outcome = hasCatalogue ? JobOutcome::eUnknownQueue : JobOutcome::eNoCatalogue,
            .retryAfterMs = hasCatalogue ? 0 : kRetryAfterMs,
            .detail = hasCatalogue ? "queue does not exist" : "no queue catalogue has been set" });
  }
  return queue;
}

void
JobService::onRequest(ConnectionId aConnection, const JobSubmit& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  const JobQueue* queue = resolveQueue(origin, aRequest.queue(), aRequest.job().jobId());
  if (queue == nullptr) {
    return;
  }
  const std::vector<std::string> faults = findFaults(aRequest.job());
  if (!faults.empty()) {
    fail(
      origin,
      Error::create(ErrorCode::eInvalid, "job.submit", aRequest.job().jobId(), joinFaults(faults)));
    return;
  }
  const std::string& jobId = aRequest.job().jobId();
  if (const std::optional<JobRefusal> refusal = mAdmission.refuse(
        *queue, aRequest.job(), mRunTimes, [this]() { return buildWorkerCandidates(); })) {
    reply(origin,
          { .outcome = JobOutcome::eRefused,
            .retryAfterMs = refusal->retryAfterMs,
            .detail = refusal->detail });
    return;
  }
  mAdmission.onProposed(*queue, aRequest.job());
  const SubmitJob command = buildValue<SubmitJob>(
    { .queueName = queue->name(), .job = aRequest.job(), .acceptedAtMs = mContext.mWallClockMs() });
  propose(
    origin,
    command,
    [this, origin](const Outcome& aOutcome) {
      const JobChanged& changed = std::get<JobChanged>(aOutcome);
      reply(origin, { .outcome = JobOutcome::eAccepted, .state = changed.mState });
    },
    [this, jobId]() { mAdmission.onNotAccepted(jobId); });
}

void
JobService::onRequest(ConnectionId aConnection, const JobCancel& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (resolveQueue(origin, aRequest.queue(), aRequest.jobId()) == nullptr) {
    return;
  }
  const JobRegistry& jobs = mContext.mState.jobs();
  const std::int64_t nowMs = mContext.mWallClockMs();
  if (jobs.find(aRequest.jobId()) == nullptr) {
    if (jobs.cancelledIds().contains(aRequest.jobId())) {
      reply(origin, { .outcome = JobOutcome::eUnknownJob });
      return;
    }
    if (const std::int64_t waitMs = jobs.cancelledIds().waitMs(nowMs); waitMs > 0) {
      reply(origin,
            { .outcome = JobOutcome::eRefused,
              .retryAfterMs = waitMs,
              .detail = "too many unknown jobs were cancelled before" });
      return;
    }
  }
  // The answer about an unknown job is a promise about submissions of it that are under way, so it
  // has to be in the log.
  const CancelJob command =
    buildValue<CancelJob>({ .jobId = aRequest.jobId(), .cancelledAtMs = nowMs });
  propose(origin, command, [this, origin](const Outcome& aOutcome) {
    if (const JobChanged* changed = std::get_if<JobChanged>(&aOutcome)) {
      reply(origin, { .outcome = JobOutcome::eAccepted, .state = changed->mState });
    } else {
      reply(origin, { .outcome = JobOutcome::eUnknownJob });
    }
  });
}

void
JobService::onRequest(ConnectionId aConnection, const JobQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (resolveQueue(origin, aRequest.queue(), aRequest.jobId()) == nullptr) {
    return;
  }
  const Job* job = mContext.mState.jobs().find(aRequest.jobId());
  if (job == nullptr) {
    reply(origin, { .outcome = JobOutcome::eUnknownJob });
    return;
  }
  reply(origin, { .outcome = JobOutcome::eKnown, .state = job->state() });
}

void
JobService::onRequest(ConnectionId aConnection, const QueueQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  const JobQueue* queue = resolveQueue(origin, aRequest.queue());
  if (queue != nullptr) {
    reply(origin, { .outcome = JobOutcome::ePending, .waiting = countWaitingJobs(queue->name()) });
  }
}

std::int64_t
JobService::countWaitingJobs(const std::string& aQueue) const
{
  const JobRegistry& jobs = mContext.mState.jobs();
  return std::count_if(
    jobs.openJobs().begin(), jobs.openJobs().end(), [&](const std::string& aJobId) {
      const Job* job = jobs.find(aJobId);
      return !job->isFinished() && job->queue().name() == aQueue && !mStartedJobs.contains(aJobId);
    });
}

void
JobService::onRequest(ConnectionId aConnection, const QueueCatalogueSubmit& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  const std::vector<std::string> faults = findFaults(aRequest.catalogue());
  if (!faults.empty()) {
    logWarning("queue catalogue rejected",
               { { "version", aRequest.catalogue().version() }, { "faults", joinFaults(faults) } });
    fail(
      origin,
      Error::create(ErrorCode::eInvalid, "queues.replace", origin.mRequestId, joinFaults(faults)));
    return;
  }
  const SetQueueCatalogue command =
    buildValue<SetQueueCatalogue>({ .catalogue = aRequest.catalogue() });
  propose(origin, command, [this, origin](const Outcome& aOutcome) {
    const QueueCatalogueSet& set = std::get<QueueCatalogueSet>(aOutcome);
    mContext.mMessageSender.send(
      origin.mConnection,
      buildValue<QueueCatalogueReply>(
        { .requestId = origin.mRequestId, .version = set.mVersion, .changed = set.mChanged }));
  });
}

void
JobService::onRequest(ConnectionId aConnection, const QueueCatalogueQuery& aRequest)
{
  const RequestOrigin origin{ aConnection, aRequest.requestId() };
  if (!checkLeadership(origin)) {
    return;
  }
  const std::optional<QueueCatalogue>& catalogue = mContext.mState.jobs().catalogue();
  QueueCatalogueReply::Fields reply{ .requestId = origin.mRequestId, .version = -1 };
  if (catalogue) {
    reply.version = catalogue->version();
    reply.source = catalogue->source();
    QueueCatalogue::Fields fields = catalogue->fields();
    fields.source.clear();
    reply.catalogue = buildValue<QueueCatalogue>(std::move(fields));
  }
  mContext.mMessageSender.send(aConnection, buildValue<QueueCatalogueReply>(std::move(reply)));
}

void
JobService::onReport(ConnectionId aConnection, const WorkerReport& aReport)
{
  const SessionRecord* session =
    mContext.mState.sessions().find(mSessions.findSession(aConnection));
  // Without the leader lease, another leader may be sending orders to the worker.
  if (session == nullptr || !mContext.isLeaderWithLease()) {
    return;
  }
  const MonotonicTime now = mContext.mNow();
  const IncarnationKey key{ aReport.worker().workerId(), aReport.worker().bornMs() };
  const WorkerIncarnation* known = mFleet.find(key);
  if (known == nullptr && ignoresPool(aReport.worker())) {
    if (aReport.worker().gone()) {
      releaseRelay(key, session->session());
    }
    return;
  }
  const bool wasUnreachable = known != nullptr && known->isUnreachable;
  WorkerIncarnation* incarnation =
    mFleet.handleReport(aReport, session->processId(), session->session(), now);
  if (incarnation == nullptr) {
    logInfo("report ignored: worker incarnation is superseded or lost",
            { { "worker", key.worker }, { "born", key.startedAtMs } });
    if (aReport.worker().gone() && mFleet.find(key) == nullptr) {
      releaseRelay(key, session->session());
    }
    return;
  }
  mFleet.setCrashSuspects(aReport.crashSuspects());
  mRuns.applyAnswers(key, aReport.answers());
  for (const OrderAnswer& answer : aReport.answers()) {
    if (answer.kind() == OrderKind::eStart && answer.result() == OrderResult::eUnhealthy) {
      recordFailure(key, answer.task(), answer.run());
    }
  }
  if (aReport.listFence() > 0) {
    proposeReportedEnds(*incarnation, key, aReport);
  }
  if (aReport.listFence() == incarnation->fence && aReport.clockMs() >= incarnation->listClockMs) {
    applyLists(*incarnation, key, aReport);
  }
  proposeFindings(
    mLapses.explain(aReport, session->processId(), incarnation->isSynced, mContext.mState.jobs()));
  mScheduleDue = mScheduleDue || wasUnreachable != incarnation->isUnreachable;
  if (aReport.clockMs() > 0 && !incarnation->leftAt) {
    mFleet.renewLease(*incarnation, aReport.clockMs(), now);
  }
  sendOrders(*incarnation, key);
  if (mScheduleDue) {
    schedule();
  }
}

bool
JobService::ignoresPool(const WorkerDescription& aWorker)
{
  const JobRegistry& jobs = mContext.mState.jobs();
  if (!jobs.catalogue() || jobs.usesPool(aWorker.poolName())) {
    return false;
  }
  mUnknownPoolReports++;
  if (std::exchange(mLastUnknownPool, aWorker.poolName()) != aWorker.poolName()) {
    logWarning("report ignored: the catalogue does not name the worker's pool",
               { { "worker", aWorker.workerId() }, { "pool", aWorker.poolName() } });
  }
  return true;
}

void
JobService::applyLists(WorkerIncarnation& aIncarnation,
                       const IncarnationKey& aKey,
                       const WorkerReport& aReport)
{
  // Of two lists with the same clock reading either may be the newer one, so what these lack is no
  // evidence.
  const bool isNewer = !aIncarnation.isSynced || aReport.clockMs() > aIncarnation.listClockMs;
  aIncarnation.listClockMs = aReport.clockMs();
  if (!std::exchange(aIncarnation.isSynced, true)) {
    logInfo("worker synced its run lists",
            { { "worker", aKey.worker },
              { "fence", aIncarnation.fence },
              { "running", aReport.running().size() },
              { "ended", aReport.ended().size() } });
    mScheduleDue = true;
  }
  const std::vector<ListedRun> unassigned = mRuns.applyListedRuns(aKey, aReport);
  learnProgress(aKey);
  recordStandingRuns(aKey);
  for (const ListedRun& running : aReport.running()) {
    if (const std::optional<TaskId> task = TaskId::parse(running.task())) {
      mStartedJobs.insert(task->jobId);
    }
  }
  if (!unassigned.empty()) {
    aIncarnation.hasUnassignedRuns = true;
  } else if (isNewer) {
    mScheduleDue = mScheduleDue || aIncarnation.hasUnassignedRuns;
    aIncarnation.hasUnassignedRuns = false;
  }
  if (isNewer) {
    proposeEnds(mRuns.applyAbsentRuns(aKey, aReport, mContext.mNow()));
  }
  adjustPaces(aIncarnation, aKey);
  if (unassigned.empty()) {
    return;
  }
  WorkerOrders::Fields orders;
  for (const ListedRun& run : unassigned) {
    logWarning("stopping a run that is not assigned to the worker",
               { { "task", run.task() }, { "run", run.run() }, { "worker", aKey.worker } });
    orders.stops.push_back(
      buildValue<StopOrder>({ .task = run.task(), .run = std::max<std::int64_t>(1, run.run()) }));
  }
  sendOrders(aIncarnation, aKey, std::move(orders));
}

void
JobService::proposeReportedEnds(WorkerIncarnation& aIncarnation,
                                const IncarnationKey& aKey,
                                const WorkerReport& aReport)
{
  std::vector<RunEnding> ends;
  std::int64_t lastNumber = aIncarnation.proposedEnds;
  for (const ListedEnd& ended : aReport.ended()) {
    if (ended.number() <= aIncarnation.proposedEnds) {
      continue;
    }
    lastNumber = std::max(lastNumber, ended.number());
    TrackedRun* run = mRuns.find(ended.task(), ended.run());
    const bool hasWorked = ended.how() == RunEnd::eDone || ended.how() == RunEnd::eFailed;
    ends.push_back(buildValue<RunEnding>(
      { .task = ended.task(),
        .run = std::max<std::int64_t>(1, ended.run()),
        .how = ended.how(),
        .checkpoint = ended.checkpoint(),
        .checkpointPercent = run != nullptr ? run->percentAt(ended.checkpoint()) : 0,
        .ranMs = run != nullptr ? run->listedMs : 0,
        .harmless = hasWorked || (run != nullptr && run->isProvenHarmless()) }));
    if (ended.how() == RunEnd::eDone) {
      mReliability.record(aKey.worker, true, mContext.mNow());
    } else if (ended.how() == RunEnd::eFailed) {
      recordFailure(aKey, ended.task(), ended.run());
    }
    if (run != nullptr) {
      if (ended.how() == RunEnd::eDone) {
        learnEnd(*run, aReport.clockMs());
      }
      run->endProposed = true;
      mRunEnds.onReported(*run, mContext.mNow());
      mStartedJobs.insert(run->task.jobId);
    }
  }
  if (ends.empty()) {
    return;
  }
  const std::int64_t previous = std::exchange(aIncarnation.proposedEnds, lastNumber);
  const EndRuns command = buildValue<EndRuns>({ .ends = std::move(ends) });
  mContext.mLog.propose(
    command,
    [this, aKey, lastNumber, previous, generation = mGeneration](const CommandResult& aResult) {
      WorkerIncarnation* incarnation = generation == mGeneration ? mFleet.find(aKey) : nullptr;
      if (incarnation == nullptr) {
        return;
      }
      if (const CommandFailure* failure = std::get_if<CommandFailure>(&aResult)) {
        logWarning("failed to commit ends of runs", failure->mError);
        incarnation->proposedEnds = previous;
        return;
      }
      incarnation->ackedEnds = std::max(incarnation->ackedEnds, lastNumber);
      sendOrders(*incarnation, aKey);
    });
}

std::vector<ServingTask>
JobService::servingTasks(const IncarnationKey& aKey) const
{
  std::vector<ServingTask> tasks;
  for (const std::string& name : mRuns.tasksOn(aKey)) {
    const TrackedRun& run = mRuns.run(name);
    if (run.step().latencyObjectiveMs() > 0 && run.isConfirmed && !run.endProposed) {
      tasks.push_back({ run.step().image(),
                        run.latencyMsOrCpuMilli,
                        static_cast<double>(run.step().latencyObjectiveMs()),
                        name });
    }
  }
  return tasks;
}

std::vector<OpportunisticTask>
JobService::opportunisticTasks(const IncarnationKey& aKey, std::int64_t aCapacityMilli) const
{
  std::vector<OpportunisticTask> tasks;
  const double capacity = std::max<double>(1, static_cast<double>(aCapacityMilli));
  for (const std::string& name : mRuns.tasksOn(aKey)) {
    const TrackedRun& run = mRuns.run(name);
    if (run.step().opportunistic() && run.isConfirmed && !run.endProposed) {
      tasks.push_back({ name,
                        run.step().image(),
                        static_cast<double>(run.step().resources().cpuMilli()) / capacity,
                        run.latencyMsOrCpuMilli / capacity,
                        run.desiredPacePercent });
    }
  }
  return tasks;
}

void
JobService::adjustPaces(WorkerIncarnation& aIncarnation, const IncarnationKey& aKey)
{
  const std::vector<ServingTask> serving = servingTasks(aKey);
  const std::vector<OpportunisticTask> opportunistic =
    opportunisticTasks(aKey, aIncarnation.description.capacity().cpuMilli());
  const MonotonicTime now = mContext.mNow();
  mGuard.observe(aIncarnation.guardState, serving, opportunistic, now);
  for (const PaceDecision& decision :
       mGuard.decide(aIncarnation.guardState, serving, opportunistic, now)) {
    TrackedRun& run = mRuns.runs().at(decision.task);
    logInfo("pace of opportunistic task changed",
            { { "task", decision.task },
              { "run", run.run },
              { "worker", aKey.worker },
              { "image", run.step().image() },
              { "percent", decision.percent },
              { "before", run.desiredPacePercent },
              { "moves", decision.shouldMove },
              { "clock", aIncarnation.listClockMs } });
    mScheduleDue = mScheduleDue || decision.percent > run.desiredPacePercent || decision.shouldMove;
    run.desiredPacePercent = decision.percent;
    run.shouldStop = run.shouldStop || decision.shouldMove;
  }
}

void
JobService::learnProgress(const IncarnationKey& aKey)
{
  for (const std::string& name : mRuns.tasksOn(aKey)) {
    const TrackedRun& run = mRuns.run(name);
    if (!run.step().longRunning() && run.isConfirmed && !run.job->isFinished()) {
      mRunTimes.observe(*run.job, run.task, run.meter.workedMs(), run.meter.gainedPercent(), false);
    }
  }
}

void
JobService::recordStandingRuns(const IncarnationKey& aKey)
{
  const MonotonicTime now = mContext.mNow();
  for (const std::string& name : mRuns.tasksOn(aKey)) {
    TrackedRun& run = mRuns.runs().at(name);
    // What an earlier leader has started says nothing of the runs that the worker starts now.
    if (run.startSentAt && !run.job->isFinished() && run.step().longRunning() &&
        run.listedMs >= WorkerReliability::kStandingSuccessMs &&
        !std::exchange(run.isCountedAsSuccess, true)) {
      mReliability.recordStandingRun(aKey.worker, now.plusMs(-run.listedMs), now);
    }
  }
}

void
JobService::recordFailure(const IncarnationKey& aKey, const std::string& aTask, std::int64_t aRun)
{
  const MonotonicTime now = mContext.mNow();
  const TrackedRun* run = mRuns.find(aTask, aRun);
  const bool isStanding = run != nullptr && !run->job->isFinished() && run->step().longRunning();
  if (isStanding && isDoubtful(run->step(), *run->job->find(run->task))) {
    mReliability.recordDoubtfulFailure(aKey.worker, now);
    return;
  }
  mReliability.record(aKey.worker, false, now);
  if (isStanding) {
    mReliability.recordStandingFailure(aKey.worker, now);
  }
}

void
JobService::learnEnd(const TrackedRun& aRun, std::int64_t aClockMs)
{
  constexpr double kFullPercent = 100;
  if (aRun.step().longRunning() || aRun.job->isFinished() || !aRun.meter.hasSamples()) {
    return;
  }
  // The end came at some time since the latest list with the run.
  const double sinceListMs = static_cast<double>(aClockMs - aRun.meter.clockMs()) / 2 *
                             static_cast<double>(aRun.orderedPacePercent) / kFullPercent;
  mRunTimes.observe(*aRun.job,
                    aRun.task,
                    aRun.meter.workedMs() + std::max(0.0, sinceListMs),
                    kFullPercent - aRun.meter.firstPercent(),
                    true);
}

void
JobService::proposeEnds(std::vector<RunEnding> aEnds)
{
  if (aEnds.empty()) {
    return;
  }
  const EndRuns command = buildValue<EndRuns>({ .ends = std::move(aEnds) });
  mContext.mLog.propose(command,
                        [this, command, generation = mGeneration](const CommandResult& aResult) {
                          const CommandFailure* failure = std::get_if<CommandFailure>(&aResult);
                          if (failure == nullptr || generation != mGeneration) {
                            return;
                          }
                          logWarning("failed to commit ends of runs", failure->mError);
                          for (const RunEnding& end : command.ends()) {
                            if (TrackedRun* run = mRuns.find(end.task(), end.run())) {
                              run->endProposed = false;
                            }
                          }
                        });
}

void
JobService::proposeFindings(std::vector<LapseFinding> aFindings)
{
  if (aFindings.empty()) {
    return;
  }
  const ExplainLapses command = buildValue<ExplainLapses>({ .findings = std::move(aFindings) });
  mContext.mLog.propose(command,
                        [this, command, generation = mGeneration](const CommandResult& aResult) {
                          const CommandFailure* failure = std::get_if<CommandFailure>(&aResult);
                          if (failure != nullptr && generation == mGeneration) {
                            logWarning("failed to commit causes of lapses", failure->mError);
                            mLapses.reopen(command.findings());
                          }
                        });
}

void
JobService::onApplied(const Command& aCommand, const Outcome& aOutcome)
{
  if (const StartRuns* starts = std::get_if<StartRuns>(&aCommand)) {
    onStartsApplied(*starts);
  } else if (const EndRuns* ends = std::get_if<EndRuns>(&aCommand)) {
    onEndsApplied(*ends);
  } else if (const ExplainLapses* explained = std::get_if<ExplainLapses>(&aCommand)) {
    onLapsesExplained(*explained);
  } else if (const CancelJob* cancel = std::get_if<CancelJob>(&aCommand)) {
    const JobChanged* changed = std::get_if<JobChanged>(&aOutcome);
    if (changed != nullptr && changed->mApplied) {
      logInfo("job cancelled", { { "job", cancel->jobId() } });
      mRunTimes.forget(cancel->jobId());
      mRounds.forget(cancel->jobId());
      mAdmission.onFinished(cancel->jobId());
      stopRunsOfFinishedJobs({ cancel->jobId() });
    } else if (std::holds_alternative<JobIdCancelled>(aOutcome)) {
      logInfo("job cancelled before its submission", { { "job", cancel->jobId() } });
    }
  } else if (const SubmitJob* submit = std::get_if<SubmitJob>(&aCommand)) {
    const JobChanged* changed = std::get_if<JobChanged>(&aOutcome);
    logInfo("job accepted",
            { { "job", submit->job().jobId() },
              { "queue", submit->queueName() },
              { "steps", submit->job().steps().size() },
              { "isNew", changed != nullptr && changed->mApplied },
              { "state", changed != nullptr ? toText(changed->mState) : "" } });
    if (changed != nullptr && changed->mApplied) {
      const Job& job = *mContext.mState.jobs().find(submit->job().jobId());
      mRounds.onAccepted(job, mContext.mNow());
      mAdmission.onAccepted(job);
    } else {
      mAdmission.onNotAccepted(submit->job().jobId());
    }
    mScheduleDue = true;
  } else if (const QueueCatalogueSet* set = std::get_if<QueueCatalogueSet>(&aOutcome)) {
    logInfo("queue catalogue applied",
            { { "version", set->mVersion }, { "changed", set->mChanged } });
    // Queues may have other pools now, and the jobs accepted before follow them.
    mScheduleDue = mScheduleDue || set->mChanged;
  } else if (const EvacuationSet* evacuation = std::get_if<EvacuationSet>(&aOutcome)) {
    sendOrdersToAll(mEvacuation.onApplied(*evacuation));
    mScheduleDue = true;
  }
  if (mScheduleDue) {
    schedule();
  }
}

void
JobService::onStartsApplied(const StartRuns& aCommand)
{
  mAssignmentPending = false;
  mScheduleDue = true;
  std::set<IncarnationKey> affected;
  std::vector<RunEnding> neverRan;
  for (const RunStart& start : aCommand.runs()) {
    const std::optional<TaskId> task = TaskId::parse(start.task());
    const Job* job = task ? mContext.mState.jobs().find(task->jobId) : nullptr;
    const JobTaskRecord::Fields* record = job != nullptr ? job->find(*task) : nullptr;
    // The log may hold two assignments of the same run: this one and an earlier one that was not
    // known to be committed when this one was proposed. Only the first takes effect.
    const bool isEffective = record != nullptr && record->active && record->run == start.run() &&
                             record->worker == start.worker() && record->bornMs == start.bornMs();
    if (!isEffective) {
      logInfo("assignment ignored: run is not assigned to this worker",
              { { "task", start.task() }, { "run", start.run() }, { "worker", start.worker() } });
      continue;
    }
    const IncarnationKey key{ start.worker(), start.bornMs() };
    mRuns.add(*task, start.run(), key, job);
    mRounds.onAssigned(*job, mContext.mNow());
    const WorkerIncarnation* incarnation = mFleet.find(key);
    logInfo("run assigned",
            { { "task", start.task() },
              { "run", start.run() },
              { "worker", start.worker() },
              { "reportAgeMs",
                incarnation != nullptr ? mContext.mNow().msSince(incarnation->reportedAt) : -1 },
              { "fence", incarnation != nullptr ? incarnation->fence : 0 } });
    if (incarnation == nullptr || incarnation->isLost) {
      // This leader has sent no order for the run, and the fence blocks orders of earlier leaders.
      mRuns.find(start.task(), start.run())->endProposed = true;
      neverRan.push_back(buildValue<RunEnding>(
        { .task = start.task(), .run = start.run(), .how = RunEnd::eNeverRan }));
      continue;
    }
    mRunEnds.onAssigned(key, mContext.mNow());
    affected.insert(key);
  }
  proposeEnds(std::move(neverRan));
  sendOrdersToAll(affected);
}

void
JobService::onEndsApplied(const EndRuns& aCommand)
{
  std::set<std::string> finishedJobs;
  for (const RunEnding& end : aCommand.ends()) {
    const TrackedRun* run = mRuns.find(end.task(), end.run());
    if (run == nullptr) {
      continue;
    }
    const IncarnationKey key = run->incarnation;
    const std::string& worker = key.worker;
    mRunEnds.onCommitted(*run, isAwaited(key), mContext.mNow());
    mRuns.remove(end.task(), end.run());
    if (end.how() == RunEnd::eLapsed) {
      logInfo("run ended",
              { { "task", end.task() },
                { "run", end.run() },
                { "how", toText(end.how()) },
                { "worker", worker },
                { "checkpoint", end.checkpoint() },
                { "silentMs", mFleet.silentMs(key, mContext.mNow()) } });
    } else {
      logInfo("run ended",
              { { "task", end.task() },
                { "run", end.run() },
                { "how", toText(end.how()) },
                { "worker", worker },
                { "checkpoint", end.checkpoint() } });
    }
    const std::optional<TaskId> task = TaskId::parse(end.task());
    const Job* job = task ? mContext.mState.jobs().find(task->jobId) : nullptr;
    if (end.crashSuspects() > 0) {
      const JobTaskRecord::Fields* record = job != nullptr ? job->find(*task) : nullptr;
      logWarning("run may have crashed its worker",
                 { { "task", end.task() },
                   { "run", end.run() },
                   { "worker", worker },
                   { "suspects", end.crashSuspects() },
                   { "share", end.crashShare() },
                   { "ranMs", end.ranMs() },
                   { "crashes", record != nullptr ? record->crashes : 0 },
                   { "givenUp", record == nullptr || job->isFinished() } });
    }
    if (end.unexplained() && job != nullptr && !job->isFinished()) {
      for (const LapsedRun& lapse : CrashAttribution::openLapses(*job->find(*task))) {
        if (lapse.run() == end.run()) {
          mLapses.add(*task, lapse, mContext.mNow());
        }
      }
    }
    if (job != nullptr) {
      handleIfFinished(task->jobId, finishedJobs);
    }
  }
  stopRunsOfFinishedJobs(finishedJobs);
  mScheduleDue = true;
}

void
JobService::handleIfFinished(const std::string& aJobId, std::set<std::string>& aFinishedJobs)
{
  const Job& job = *mContext.mState.jobs().find(aJobId);
  if (!job.isFinished() || !aFinishedJobs.insert(aJobId).second) {
    return;
  }
  logInfo("job finished", { { "job", aJobId }, { "state", toText(job.state()) } });
  mRunTimes.forget(aJobId);
  mRounds.forget(aJobId);
  mAdmission.onFinished(aJobId);
}

void
JobService::onLapsesExplained(const ExplainLapses& aCommand)
{
  std::set<std::string> finishedJobs;
  for (const LapseFinding& finding : aCommand.findings()) {
    mLapses.remove(finding.task(), finding.run());
    mLapseCauses[finding.cause()]++;
    const std::optional<TaskId> task = TaskId::parse(finding.task());
    const Job* job = task ? mContext.mState.jobs().find(task->jobId) : nullptr;
    if (job == nullptr) {
      continue;
    }
    const JobTaskRecord::Fields* record = job->find(*task);
    logInfo("cause of a lapsed run found",
            { { "task", finding.task() },
              { "run", finding.run() },
              { "cause", toText(finding.cause()) },
              { "certain", finding.crashCertain() },
              { "suspects", finding.crashSuspects() },
              { "share", finding.crashShare() },
              { "ranMs", finding.ranMs() },
              { "crashes", record != nullptr ? record->crashes : 0 },
              { "givenUp", record == nullptr || job->isFinished() } });
    handleIfFinished(task->jobId, finishedJobs);
  }
  stopRunsOfFinishedJobs(finishedJobs);
  mScheduleDue = true;
}

void
JobService::stopRunsOfFinishedJobs(const std::set<std::string>& aJobs)
{
  std::set<IncarnationKey> affected;
  for (const auto& [name, run] : mRuns.runs()) {
    if (aJobs.contains(run.task.jobId)) {
      affected.insert(run.incarnation);
    }
  }
  sendOrdersToAll(affected);
  for (const std::string& jobId : aJobs) {
    mStartedJobs.erase(jobId);
  }
}

void
JobService::sendOrders(WorkerIncarnation& aIncarnation,
                       const IncarnationKey& aKey,
                       WorkerOrders::Fields aOrders)
{
  if (!mContext.isLeaderWithLease() || aIncarnation.relaySession == 0 || aIncarnation.isLost) {
    return;
  }
  aOrders.worker = aKey.worker;
  aOrders.bornMs = aKey.startedAtMs;
  aOrders.fence = aIncarnation.fence;
  aOrders.leaseUntilMs = aIncarnation.leaseUntilMs;
  aOrders.ackedEnds = aIncarnation.ackedEnds;
  aOrders.basisClockMs = aIncarnation.listClockMs;
  if (aIncarnation.canReceiveOrders()) {
    const bool isClosed = mEvacuation.isClosed(aIncarnation);
    if (isClosed) {
      mRuns.withdrawUnorderedRuns(aKey, mContext.mNow());
    }
    mRuns.addDueOrders(aKey,
                       ResourceAmount::of(aIncarnation.description.capacity()),
                       !aIncarnation.hasUnassignedRuns && !isClosed,
                       mContext.mNow(),
                       aOrders);
  }
  for (const WorkerOrders& message : splitOrders(std::move(aOrders))) {
    if (!mSessions.sendTo(aIncarnation.relaySession, message)) {
      mRuns.markUnsent(message);
    }
  }
}

void
JobService::releaseRelay(const IncarnationKey& aKey, std::int64_t aSession)
{
  // A relay that does not get this reports the worker again, and is released again.
  mSessions.sendTo(
    aSession,
    buildValue<WorkerOrders>(
      { .worker = aKey.worker, .bornMs = aKey.startedAtMs, .fence = 1, .released = true }));
}

void
JobService::sendOrdersToAll(const std::set<IncarnationKey>& aKeys)
{
  for (const IncarnationKey& key : aKeys) {
    if (WorkerIncarnation* incarnation = mFleet.find(key)) {
      sendOrders(*incarnation, key);
    }
  }
}

void
JobService::tick()
{
  if (!mContext.isLeaderWithLease()) {
    return;
  }
  const MonotonicTime now = mContext.mNow();
  for (const IncarnationKey& key : mFleet.markLost(now)) {
    std::vector<RunEnding> ends = mRuns.takeLapsedEnds(key, *mFleet.find(key), now);
    if (!ends.empty()) {
      logWarning("worker lost",
                 { { "worker", key.worker },
                   { "born", key.startedAtMs },
                   { "runs", ends.size() },
                   { "suspects", std::count_if(ends.begin(), ends.end(), [](const RunEnding& aEnd) {
                       return aEnd.crashSuspects() > 0;
                     }) } });
      proposeEnds(std::move(ends));
    } else if (mRuns.tasksOn(key).empty()) {
      logInfo("lost worker removed", { { "worker", key.worker }, { "born", key.startedAtMs } });
      if (mFleet.find(key)->description.gone()) {
        releaseRelay(key, mFleet.find(key)->relaySession);
      }
      mFleet.remove(key);
    }
  }
  proposeFindings(mLapses.takeExpired(now));
  saveLearnedFigures();
  schedule();
  logUnreportedWorkers();
}

void
JobService::logUnreportedWorkers()
{
  std::size_t workers = 0;
  std::size_t runs = 0;
  for (const UnreportedIncarnation& incarnation : mFleet.takeUnreported(mContext.mNow())) {
    const std::size_t runsOfWorker = mRuns.tasksOn(incarnation.key).size();
    if (runsOfWorker == 0) {
      continue;
    }
    workers++;
    runs += runsOfWorker;
    if (workers <= kMaxUnreportedLines) {
      logWarning("worker not reported to the new leader",
                 { { "worker", incarnation.key.worker },
                   { "born", incarnation.key.startedAtMs },
                   { "relay", incarnation.relay },
                   { "runs", runsOfWorker },
                   { "leaseLeftMs", incarnation.leaseLeftMs } });
    }
  }
  if (workers > kMaxUnreportedLines) {
    logWarning("more workers not reported to the new leader",
               { { "workers", workers }, { "runs", runs }, { "logged", kMaxUnreportedLines } });
  }
}

bool
JobService::isAwaited(const IncarnationKey& aKey) const
{
  const WorkerIncarnation* incarnation = mFleet.find(aKey);
  return incarnation != nullptr && mStandingWaits.isAwaited(incarnation->description.poolName());
}

std::vector<WorkerCandidate>
JobService::buildWorkerCandidates()
{
  std::vector<WorkerCandidate> candidates;
  for (const auto& [key, incarnation] : mFleet.incarnations()) {
    if (!incarnation.canAcceptRuns(mContext.mNow()) || mEvacuation.isClosed(incarnation)) {
      continue;
    }
    WorkerCandidate candidate;
    candidate.worker = key.worker;
    candidate.startedAtMs = key.startedAtMs;
    candidate.relay = incarnation.relay;
    candidate.poolName = incarnation.description.poolName();
    candidate.rack = incarnation.description.rack();
    candidate.labels = incarnation.description.labels();
    candidate.capacity = ResourceAmount::of(incarnation.description.capacity());
    candidate.serving = servingTasks(key);
    const double successShare = mReliability.successShare(key.worker, mContext.mNow());
    candidate.failureTenths = failureTenths(successShare);
    candidate.failureRank = failureRank(successShare);
    candidate.hasJustFailedStandingRun =
      mReliability.hasJustFailedStandingRun(key.worker, mContext.mNow());
    candidate.hasJustFailedDoubtfulRun =
      mReliability.hasJustFailedDoubtfulRun(key.worker, mContext.mNow());
    for (const std::string& name : mRuns.tasksOn(key)) {
      const TrackedRun& run = mRuns.run(name);
      addRun(candidate, run.step(), run.task);
      const JobTaskRecord::Fields& record = *run.job->find(run.task);
      const bool isOld = run.listedMs >= WorkerReliability::kStandingSuccessMs;
      const bool isDoubtfulRun = isDoubtful(run.step(), record);
      if (run.step().longRunning() && (isOld || isDoubtfulRun)) {
        candidate.youngStandingRuns--;
        candidate.youngDoubtfulRuns += isOld ? 0 : 1;
      }
      if (!run.isConfirmed || run.missingSince) {
        candidate.unlistedCpuMilli += requiredResources(run.step()).cpuMilli;
      }
      const bool needsTrial = CrashAttribution::needsTrial(record);
      const bool isOnTrial = needsTrial && !run.job->isFinished();
      if (run.listedMs < kHarmlessRunMs || (isOnTrial && !run.isProvenHarmless())) {
        candidate.unprovenRuns++;
        candidate.suspects += needsTrial ? 1 : 0;
        candidate.youngSuspects +=
          needsTrial && run.listedMs < CrashAttribution::kClosedTrialMs ? 1 : 0;
        candidate.isReserved = candidate.isReserved ||
                               (needsTrial && CrashAttribution::needsOwnWorker(run.step(), record));
      }
      if (run.step().opportunistic() && run.latencyMsOrCpuMilli <= 0 &&
          run.desiredPacePercent > 0) {
        candidate.unobservedShares[run.step().image()] += cpuShare(candidate, run.step());
      }
      if (run.endProposed) {
        candidate.endedRuns.push_back({ run.task, requiredResources(run.step()) });
      }
      addStraggler(run, candidate);
      if (run.shouldStop || run.job->isFinished()) {
        candidate.releasing = candidate.releasing.plus(requiredResources(run.step()));
      } else if (!run.step().longRunning() && !run.step().gang()) {
        candidate.evictable.push_back({ run.task,
                                        run.run,
                                        run.job->queue().priority(),
                                        requiredResources(run.step()),
                                        computeLostWork(run) });
      }
    }
    mEvacuation.limitReturning(incarnation, candidate);
    candidates.push_back(std::move(candidate));
  }
  limitUnreliableWorkers(candidates);
  return candidates;
}

void
JobService::limitUnreliableWorkers(std::vector<WorkerCandidate>& aCandidates)
{
  std::map<std::string, std::vector<std::size_t>> pools;
  for (std::size_t index = 0; index < aCandidates.size(); index++) {
    pools[aCandidates[index].poolName].push_back(index);
  }
  std::set<std::string> limited;
  for (const auto& [pool, indexes] : pools) {
    std::vector<std::string> workers;
    for (const std::size_t index : indexes) {
      workers.push_back(aCandidates[index].worker);
    }
    const std::vector<std::int64_t> limits = mReliability.runLimits(workers, mContext.mNow());
    for (std::size_t position = 0; position < indexes.size(); position++) {
      aCandidates[indexes[position]].maxRuns = limits[position];
      if (limits[position] != WorkerReliability::kNoLimit) {
        limited.insert(workers[position]);
      }
    }
  }
  for (const std::string& worker : limited) {
    if (!mLimitedWorkers.contains(worker)) {
      logWarning("worker fails its runs: it gets single runs until one ends well",
                 { { "worker", worker },
                   { "successShare", mReliability.successShare(worker, mContext.mNow()) } });
    }
  }
  for (const std::string& worker : mLimitedWorkers) {
    if (!limited.contains(worker)) {
      logInfo("worker is no longer limited", { { "worker", worker } });
    }
  }
  mLimitedWorkers = std::move(limited);
}

void
JobService::schedule()
{
  if (mAssignmentPending || !mContext.isLeaderWithLease()) {
    return;
  }
  mScheduleDue = false;
  std::vector<WorkerCandidate> candidates = buildWorkerCandidates();
  const MonotonicTime now = mContext.mNow();
  const bool isMeasurementDue = mStandingWaits.isDue(now);
  if (candidates.empty()) {
    if (isMeasurementDue) {
      observeStandingWaits(candidates, {});
    }
    mEvacuation.moveRuns(candidates);
    return;
  }
  const bool isWaitLogDue = now.msSince(mWaitReasonsLoggedAt) >= kLogWaitReasonsMs;
  // decide() reduces the capacity of the candidates by what it plans.
  const std::vector<WorkerCandidate> before =
    isWaitLogDue || isMeasurementDue ? candidates : std::vector<WorkerCandidate>();
  const SchedulePlan plan = JobScheduler::decide(
    mContext.mState.jobs(), mGuard, candidates, mContext.mWallClockMs(), mRunTimes);
  mRounds.onRound(plan, now);
  if (isMeasurementDue) {
    observeStandingWaits(before, plan);
  }
  evict(plan.evictions);
  sendOrdersToAll(mEvacuation.moveRuns(candidates));
  restart(plan.restarts);
  if (isWaitLogDue && !plan.waiting.empty()) {
    logWaitReasons(plan.waiting, before);
    logRounds();
  }
  if (plan.assignments.empty()) {
    return;
  }
  StartRuns::Fields fields;
  for (const Assignment& assignment : plan.assignments) {
    fields.runs.push_back(assignment.start);
  }
  mAssignmentPending = true;
  mContext.mLog.propose(buildValue<StartRuns>(std::move(fields)),
                        [this, generation = mGeneration](const CommandResult& aResult) {
                          const CommandFailure* failure = std::get_if<CommandFailure>(&aResult);
                          if (failure != nullptr && generation == mGeneration) {
                            logWarning("failed to commit assignments", failure->mError);
                            mAssignmentPending = false;
                          }
                        });
}

std::set<std::string>
JobService::unlistedStandingTasks() const
{
  std::set<std::string> tasks;
  for (const auto& [name, run] : mRuns.runs()) {
    const bool isAbsent =
      !run.isConfirmed || run.missingSince || run.endProposed || mFleet.hasLeft(run.incarnation);
    if (run.step().longRunning() && isAbsent) {
      tasks.insert(name);
    }
  }
  return tasks;
}

void
JobService::observeStandingWaits(const std::vector<WorkerCandidate>& aBefore,
                                 const SchedulePlan& aPlan)
{
  logStandingWaits(mStandingWaits.observe(
    mContext.mState.jobs(), aBefore, aPlan, unlistedStandingTasks(), mContext.mNow()));
  mRunEnds.forgetFreed([this](const IncarnationKey& aKey) { return !isAwaited(aKey); });
}

void
JobService::logStandingWaits(const StandingWaitMeter::Changes& aChanges)
{
  const auto readMs = [](const StandingWait& aWait, RoomReading aReading) {
    return aWait.readMs[static_cast<std::size_t>(aReading)];
  };
  const auto longestMs = [](const StandingWait& aWait, RoomReading aReading) {
    return aWait.longestMs[static_cast<std::size_t>(aReading)];
  };
  for (const StandingWait& wait : aChanges.begun) {
    logWarning("long-running task waits too long",
               { { "task", wait.task.text() },
                 { "waitedMs", wait.waitedMs },
                 { "cpuMilli", wait.cpuMilli },
                 { "cause", toText(wait.cause) },
                 { "tasks", mStandingWaits.overdueTasks() } });
  }
  for (const StandingWait& wait : aChanges.ended) {
    logInfo(
      "long-running task no longer waits",
      { { "task", wait.task.text() },
        { "waitedMs", wait.waitedMs },
        { "cpuMilli", wait.cpuMilli },
        { "cause", toText(wait.cause) },
        { "twoWorkersMs", readMs(wait, RoomReading::eTwoWorkers) },
        { "oneWorkerMs", readMs(wait, RoomReading::eOneWorker) },
        { "poolMs", readMs(wait, RoomReading::ePool) },
        { "twoWorkersWithShortMs", readMs(wait, RoomReading::eTwoWorkersWithShort) },
        { "longestTwoWorkersMs", longestMs(wait, RoomReading::eTwoWorkers) },
        { "longestOneWorkerMs", longestMs(wait, RoomReading::eOneWorker) },
        { "longestPoolMs", longestMs(wait, RoomReading::ePool) },
        { "longestTwoWorkersWithShortMs", longestMs(wait, RoomReading::eTwoWorkersWithShort) } });
  }
}

void
JobService::logWaitReasons(const std::vector<WaitReason>& aReasons,
                           const std::vector<WorkerCandidate>& aWorkers)
{
  mWaitReasonsLoggedAt = mContext.mNow();
  for (const WaitReason& reason : aReasons) {
    logInfo("task is waiting",
            { { "task", reason.task.text() },
              { "pool", mContext.mState.jobs().find(reason.task.jobId)->queue().poolName() },
              { "longRunning", reason.isLongRunning },
              { "outlook", toText(reason.outlook) },
              { "cpuMilli", reason.size.cpuMilli },
              { "memoryMb", reason.size.memoryMb },
              { "otherPool", reason.otherPoolWorkers },
              { "noLabel", reason.missingLabelWorkers },
              { "spread", reason.perWorkerLimitWorkers },
              { "noRoom", reason.fullWorkers },
              { "disturbs", reason.interferenceWorkers },
              { "reserved", reason.reservedWorkers },
              { "unreliable", reason.unreliableWorkers } });
  }
  if (mStandingWaits.overdueTasks() > 0) {
    const auto overdue = [this](StandingWaitCause aCause) {
      return mStandingWaits.overdueTasks(aCause);
    };
    logInfo("long-running tasks wait too long",
            { { "tasks", mStandingWaits.overdueTasks() },
              { "unlisted", overdue(StandingWaitCause::eUnlisted) },
              { "suspected", overdue(StandingWaitCause::eSuspected) },
              { "planFull", overdue(StandingWaitCause::ePlanFull) },
              { "outranked", overdue(StandingWaitCause::eOutranked) },
              { "reserved", overdue(StandingWaitCause::eReserved) },
              { "limited", overdue(StandingWaitCause::eLimited) },
              { "noRoom", overdue(StandingWaitCause::eNoRoom) },
              { "twoWorkersMs", mStandingWaits.sumMs(RoomReading::eTwoWorkers) },
              { "oneWorkerMs", mStandingWaits.sumMs(RoomReading::eOneWorker) },
              { "poolMs", mStandingWaits.sumMs(RoomReading::ePool) },
              { "twoWorkersWithShortMs", mStandingWaits.sumMs(RoomReading::eTwoWorkersWithShort) },
              { "longestTwoWorkersMs", mStandingWaits.longestMs(RoomReading::eTwoWorkers) },
              { "longestOneWorkerMs", mStandingWaits.longestMs(RoomReading::eOneWorker) },
              { "longestPoolMs", mStandingWaits.longestMs(RoomReading::ePool) },
              { "longestTwoWorkersWithShortMs",
                mStandingWaits.longestMs(RoomReading::eTwoWorkersWithShort) } });
  }
  for (const PoolLoad& load :
       summarizePools(aWorkers, mContext.mState.jobs(), mContext.mWallClockMs())) {
    logInfo("pool load",
            { { "pool", load.poolName },
              { "workers", load.workers },
              { "cpuMilli", load.capacityCpuMilli },
              { "promised", load.promisedCpuMilli },
              { "longRunning", load.longRunningCpuMilli },
              { "shortRunning", load.shortRunningCpuMilli },
              { "unlisted", load.unlistedCpuMilli },
              { "releasing", load.releasingCpuMilli },
              { "free", load.freeCpuMilli },
              { "largestFree", load.largestFreeCpuMilli },
              { "freeMemoryMb", load.freeMemoryMb },
              { "waitingLongRunning", load.waitingLongRunning },
              { "waitingOther", load.waitingOther } });
  }
}

void
JobService::logRounds()
{
  const RoundSummary summary = mRounds.takeSummary();
  logInfo("scheduling rounds",
          { { "rounds", summary.rounds },
            { "examinedWorkers", summary.examinedWorkers },
            { "assignments", summary.assignments },
            { "overdueAssignments", summary.overdueAssignments },
            { "longestGapMs", summary.longestGapMs } });
}

void
JobService::evict(const std::vector<EvictableRun>& aRuns)
{
  std::set<IncarnationKey> affected;
  for (const EvictableRun& evicted : aRuns) {
    TrackedRun* run = mRuns.find(evicted.task.text(), evicted.run);
    if (run == nullptr) {
      continue;
    }
    logInfo("run evicted",
            { { "task", evicted.task.text() },
              { "run", evicted.run },
              { "worker", run->incarnation.worker },
              { "lostWork", evicted.lostWork } });
    run->shouldStop = true;
    affected.insert(run->incarnation);
  }
  sendOrdersToAll(affected);
}

void
JobService::addStraggler(const TrackedRun& aRun, WorkerCandidate& aCandidate) const
{
  if (aRun.isRestarting) {
    aCandidate.stragglers[aRun.task.text()] = { .run = aRun.run, .isStopping = true };
    return;
  }
  const JobStep& step = aRun.step();
  if (step.longRunning() || step.gang() || aRun.shouldStop || aRun.endProposed ||
      aRun.job->isFinished() || aRun.meter.observedMs() < StragglerPlanner::kMinObservedMs) {
    return;
  }
  const std::optional<Straggler> straggler = StragglerPlanner::judge(
    { .task = aRun.task,
      .run = aRun.run,
      .percent = aRun.progressPercent,
      .percentPerMs = aRun.meter.percentPerMs(),
      .observedMs = aRun.meter.observedMs(),
      .runTime = mRunTimes.runTime(*aRun.job, aRun.task.occurrence, aRun.task.step),
      .checkpoints = step.checkpoints() });
  if (straggler) {
    aCandidate.stragglers[aRun.task.text()] = { .run = aRun.run, .isStopping = false };
  }
}

void
JobService::restart(const std::vector<RestartDecision>& aRestarts)
{
  std::set<IncarnationKey> affected;
  for (const RestartDecision& restart : aRestarts) {
    TrackedRun* run = mRuns.find(restart.task.text(), restart.run);
    if (run == nullptr) {
      continue;
    }
    logInfo("slow run is started elsewhere",
            { { "task", restart.task.text() },
              { "run", restart.run },
              { "worker", run->incarnation.worker },
              { "roomAt", restart.to },
              { "percent", run->progressPercent },
              { "percentPerSecond", run->meter.percentPerMs() * kMsPerSecond },
              { "pace", run->desiredPacePercent },
              { "runTimeMs",
                mRunTimes.runTime(*run->job, run->task.occurrence, run->task.step).medianMs } });
    run->shouldStop = true;
    run->isRestarting = true;
    mRestartCount++;
    affected.insert(run->incarnation);
  }
  sendOrdersToAll(affected);
}

void
JobService::setGauges(MetricsRegistry& aMetrics) const
{
  const auto set = [&aMetrics](const char* aName, std::size_t aValue) {
    aMetrics.set(aName, "", static_cast<double>(aValue));
  };
  set("control_open_jobs", mContext.mState.jobs().openJobs().size());
  set("control_active_runs", mRuns.size());
  set("control_workers", mFleet.size());
  set("control_open_lapses", mLapses.size());
  for (const auto& [cause, count] : mLapseCauses) {
    aMetrics.set("control_explained_lapses",
                 std::string("cause=\"") + toText(cause) + "\"",
                 static_cast<double>(count));
  }
  set("control_unknown_pool_reports", mUnknownPoolReports);
  mEvacuation.setGauges(aMetrics);
  mAdmission.setGauges(aMetrics);
  set("control_slow_runs_restarted", mRestartCount);
  set("control_limited_workers", mLimitedWorkers.size());
  set("control_standing_tasks_overdue", mStandingWaits.overdueTasks());
  for (std::size_t reading = 0; reading < kRoomReadings; reading++) {
    for (std::size_t cause = 0; cause < kStandingWaitCauses; cause++) {
      const std::int64_t waitedMs = mStandingWaits.sumMs(static_cast<RoomReading>(reading),
                                                         static_cast<StandingWaitCause>(cause));
      aMetrics.set("control_standing_wait_seconds",
                   std::string("room=\"") + toText(static_cast<RoomReading>(reading)) +
                     "\",cause=\"" + toText(static_cast<StandingWaitCause>(cause)) + "\"",
                   static_cast<double>(waitedMs) / kMsPerSecond);
    }
    const std::int64_t longestMs =
      mStandingWaits.longestMsOfTerm(static_cast<RoomReading>(reading));
    aMetrics.set("control_standing_wait_longest_seconds",
                 std::string("room=\"") + toText(static_cast<RoomReading>(reading)) + "\"",
                 static_cast<double>(longestMs) / kMsPerSecond);
  }
  set("control_learned_image_pairs", mGuard.model().size());
  std::size_t overObjective = 0;
  std::size_t paced = 0;
  for (const auto& [name, run] : mRuns.runs()) {
    const double objectiveMs = static_cast<double>(run.step().latencyObjectiveMs());
    overObjective += servesUsers(run.step()) && run.latencyMsOrCpuMilli >= objectiveMs ? 1 : 0;
    paced += run.desiredPacePercent < kFullPacePercent ? 1 : 0;
  }
  set("control_serving_tasks_over_objective", overObjective);
  set("control_paced_tasks", paced);
}

} // namespace magnoliadrum
