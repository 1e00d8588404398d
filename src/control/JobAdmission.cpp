#include "control/JobAdmission.h"

#include <algorithm>
#include <set>

namespace magnoliadrum {

namespace {

/** Time over which the ends of long-running tasks are counted. */
constexpr std::int64_t kReleaseWindowMs = 30000;

constexpr double kMilliPerCore = 1000;

} // namespace

JobAdmission::JobAdmission(const ControlContext& aContext,
                           const WorkerFleet& aFleet,
                           const EvacuationDriver& aEvacuation,
                           const RunTracker& aRuns,
                           MetricsRegistry& aMetrics)
  : mContext(aContext)
  , mFleet(aFleet)
  , mEvacuation(aEvacuation)
  , mRuns(aRuns)
  , mMetrics(aMetrics)
{
}

void
JobAdmission::startTerm()
{
  endTerm();
  mTermStartedAt = mContext.mNow();
  const JobRegistry& jobs = mContext.mState.jobs();
  for (const std::string& jobId : jobs.openJobs()) {
    const Job* job = jobs.find(jobId);
    if (!job->isFinished()) {
      onAccepted(*job);
    }
  }
}

void
JobAdmission::endTerm()
{
  mPromises.clear();
  mReleased.clear();
}

void
JobAdmission::addPromise(const std::string& aJobId,
                         const std::string& aPoolName,
                         const std::vector<JobStep>& aSteps,
                         std::int64_t aOccurrences)
{
  PoolPromises sum;
  StandingAdmission::addPromises(sum, aSteps, aOccurrences);
  if (sum.promisedTasks > 0) {
    mPromises[aJobId] = {
      aPoolName, sum.promisedCpuMilli, sum.promisedTasks, aSteps, aOccurrences
    };
  }
}

void
JobAdmission::onProposed(const JobQueue& aQueue, const JobDescription& aJob)
{
  // A resend of a job that is over promises nothing.
  if (mContext.mState.jobs().find(aJob.jobId()) == nullptr) {
    addPromise(aJob.jobId(), aQueue.poolName(), aJob.steps(), aJob.occurrences());
  }
}

void
JobAdmission::onNotAccepted(const std::string& aJobId)
{
  // The proposal may have been a resend of a job that is accepted. One that was cancelled before
  // its submission is over.
  const Job* job = mContext.mState.jobs().find(aJobId);
  if (job == nullptr || job->isFinished()) {
    mPromises.erase(aJobId);
  }
}

void
JobAdmission::onAccepted(const Job& aJob)
{
  addPromise(aJob.jobId(), aJob.queue().poolName(), aJob.steps(), aJob.occurrences());
}

void
JobAdmission::onFinished(const std::string& aJobId)
{
  const auto promise = mPromises.find(aJobId);
  if (promise == mPromises.end()) {
    return;
  }
  mReleased.push_back(
    { mContext.mNow(), poolNameOf(aJobId, promise->second), promise->second.cpuMilli });
  mPromises.erase(promise);
}

const std::string&
JobAdmission::poolNameOf(const std::string& aJobId, const Promise& aPromise) const
{
  const Job* job = mContext.mState.jobs().find(aJobId);
  return job != nullptr ? job->queue().poolName() : aPromise.proposedPoolName;
}

PoolPromises
JobAdmission::promisesOf(const std::string& aPoolName) const
{
  PoolPromises pool{ .capacityCpuMilli = capacityCpuMilli(aPoolName) };
  for (const auto& [jobId, promise] : mPromises) {
    if (poolNameOf(jobId, promise) == aPoolName) {
      pool.promisedCpuMilli += promise.cpuMilli;
      pool.promisedTasks += promise.tasks;
    } else {
      addRunsInPool(jobId, aPoolName, pool);
    }
  }
  return pool;
}

void
JobAdmission::addRunsInPool(const std::string& aJobId,
                            const std::string& aPoolName,
                            PoolPromises& aPool) const
{
  const Job* job = mContext.mState.jobs().find(aJobId);
  if (job == nullptr || !job->hasActiveRuns()) {
    return;
  }
  job->forEachTask([&](const TaskId& aTask, const JobTaskRecord::Fields& aRecord) {
    const JobStep& step = job->steps()[static_cast<std::size_t>(aTask.step)];
    const WorkerIncarnation* incarnation =
      aRecord.active ? mFleet.find({ aRecord.worker, aRecord.bornMs }) : nullptr;
    if (step.longRunning() && incarnation != nullptr &&
        incarnation->description.poolName() == aPoolName) {
      aPool.promisedCpuMilli += requiredResources(step).cpuMilli;
      aPool.promisedTasks++;
    }
  });
}

std::vector<WaitingTasks>
JobAdmission::waitingTasks() const
{
  std::vector<WaitingTasks> waiting;
  for (const auto& [jobId, promise] : mPromises) {
    const Job* job = mContext.mState.jobs().find(jobId);
    for (std::int64_t occurrence = 0; occurrence < promise.occurrences; occurrence++) {
      for (std::int64_t number = 0; number < std::ssize(promise.steps); number++) {
        const JobStep& step = promise.steps[static_cast<std::size_t>(number)];
        if (!step.longRunning()) {
          continue;
        }
        TaskId task{ jobId, occurrence, number, 0 };
        WaitingTasks tasks{ poolNameOf(jobId, promise), stepName(task), &step, 0 };
        for (task.index = 0; task.index < step.count(); task.index++) {
          const JobTaskRecord::Fields* record = job != nullptr ? job->find(task) : nullptr;
          tasks.count += record == nullptr || !record->active ? 1 : 0;
        }
        if (tasks.count > 0) {
          waiting.push_back(std::move(tasks));
        }
      }
    }
  }
  return waiting;
}

std::int64_t
JobAdmission::capacityCpuMilli(const std::string& aPoolName) const
{
  std::int64_t capacity = 0;
  for (const auto& [key, incarnation] : mFleet.incarnations()) {
    if (incarnation.leftAt || incarnation.isLost || incarnation.isLeaving() ||
        mEvacuation.isClosed(incarnation)) {
      continue;
    }
    if (incarnation.relaySession != 0) {
      const bool isOfPool = incarnation.description.poolName() == aPoolName;
      capacity += isOfPool ? incarnation.description.capacity().cpuMilli() : 0;
      continue;
    }
    for (const std::string& name : mRuns.tasksOn(key)) {
      const TrackedRun& run = mRuns.run(name);
      const bool isOfPool = run.job->queue().poolName() == aPoolName;
      capacity += isOfPool && run.step().longRunning() ? requiredResources(run.step()).cpuMilli : 0;
    }
  }
  return capacity;
}

std::int64_t
JobAdmission::retryAfterMs(const std::string& aPoolName, const AdmissionRefusal& aRefusal)
{
  const MonotonicTime now = mContext.mNow();
  if (now.msSince(mTermStartedAt) < WorkerFleet::kUnreportedAfterMs) {
    // Workers that have not reported yet may have the room.
    return kMinRetryAfterMs;
  }
  std::erase_if(mReleased, [now](const ReleasedRoom& aRoom) {
    return now.msSince(aRoom.at) > kReleaseWindowMs;
  });
  std::int64_t released = 0;
  for (const ReleasedRoom& room : mReleased) {
    released += room.poolName == aPoolName ? room.cpuMilli : 0;
  }
  if (released == 0) {
    return kUnknownRetryAfterMs;
  }
  // A job for which each free piece is too small waits for as much as it asks for.
  const std::int64_t beyondCapacity = aRefusal.pool.promisedCpuMilli + aRefusal.askedCpuMilli +
                                      aRefusal.reservedCpuMilli - aRefusal.pool.capacityCpuMilli;
  const std::int64_t missing = beyondCapacity > 0 ? beyondCapacity : aRefusal.askedCpuMilli;
  return std::clamp(missing * kReleaseWindowMs / released, kMinRetryAfterMs, kMaxRetryAfterMs);
}

std::optional<JobRefusal>
JobAdmission::refuse(const JobQueue& aQueue,
                     const JobDescription& aJob,
                     const RunTimeModel& aRunTimes,
                     const std::function<std::vector<WorkerCandidate>()>& aWorkersOf)
{
  const bool isStanding = std::any_of(aJob.steps().begin(),
                                      aJob.steps().end(),
                                      [](const JobStep& aStep) { return aStep.longRunning(); });
  if (!isStanding) {
    return std::nullopt;
  }
  // A resend of what was accepted, or is about to be, gets the answer of the first request. A job
  // that was cancelled before needs no room.
  const JobRegistry& jobs = mContext.mState.jobs();
  if (jobs.find(aJob.jobId()) != nullptr || jobs.cancelledIds().contains(aJob.jobId()) ||
      mPromises.contains(aJob.jobId())) {
    return std::nullopt;
  }
  PoolPromises pool = promisesOf(aQueue.poolName());
  pool.shortWork = mContext.mState.jobs().shortWork().rate(
    aQueue.poolName(),
    aQueue.priority(),
    mContext.mWallClockMs(),
    [&aRunTimes](const std::string& aName) { return aRunTimes.workRatio(aName); });
  std::optional<AdmissionRefusal> refusal = StandingAdmission::decide(pool, aJob);
  const bool isPoolFull = refusal.has_value();
  if (!isPoolFull && pool.capacityCpuMilli > 0 &&
      !StandingAdmission::hasWorkers(aWorkersOf(), waitingTasks(), aQueue.poolName(), aJob)) {
    PoolPromises after = pool;
    StandingAdmission::addPromises(after, aJob.steps(), aJob.occurrences());
    refusal = AdmissionRefusal{ .askedCpuMilli = after.promisedCpuMilli - pool.promisedCpuMilli,
                                .pool = pool };
  }
  if (!refusal) {
    return std::nullopt;
  }
  const std::int64_t retryMs = retryAfterMs(aQueue.poolName(), *refusal);
  const char* const reason = isPoolFull ? "pool-full" : "no-worker";
  mMetrics.count("control_refused_jobs", std::string("reason=\"") + reason + "\"");
  logInfo("job refused: its pool has no room for its long-running tasks",
          { { "job", aJob.jobId() },
            { "queue", aQueue.name() },
            { "pool", aQueue.poolName() },
            { "reason", reason },
            { "asked", refusal->askedCpuMilli },
            { "promised", pool.promisedCpuMilli },
            { "capacity", pool.capacityCpuMilli },
            { "reserved", refusal->reservedCpuMilli },
            { "shortWork", pool.shortWork.meanCpuMilli },
            { "shortWorkDeviation", pool.shortWork.deviationCpuMilli },
            { "retryAfterMs", retryMs } });
  return JobRefusal{ .retryAfterMs = retryMs,
                     .detail = "the pool has no room for long-running tasks of this size" };
}

void
JobAdmission::setGauges(MetricsRegistry& aMetrics) const
{
  std::set<std::string> pools;
  for (const auto& [jobId, promise] : mPromises) {
    pools.insert(poolNameOf(jobId, promise));
  }
  for (const std::string& name : pools) {
    const PoolPromises pool = promisesOf(name);
    const std::string labels = "pool=\"" + name + "\"";
    aMetrics.set(
      "control_promised_cores", labels, static_cast<double>(pool.promisedCpuMilli) / kMilliPerCore);
    aMetrics.set(
      "control_pool_cores", labels, static_cast<double>(pool.capacityCpuMilli) / kMilliPerCore);
  }
}

} // namespace magnoliadrum
