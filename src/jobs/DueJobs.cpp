#include "jobs/DueJobs.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace magnoliadrum {

namespace {

constexpr double kMilliPerCore = 1000;

/** Share of a job's value that does not depend on its size. */
constexpr double kFixedShareOfValue = 0.3;

/** A completion is useful until the objective has passed this many times. */
constexpr std::int64_t kUsefulObjectives = 3;

/** Expected run times of the steps of an occurrence. */
std::vector<double>
runTimesMs(const Job& aJob, std::int64_t aOccurrence, const RunTimeModel& aRunTimes)
{
  std::vector<double> timesMs;
  for (std::int64_t step = 0; step < std::ssize(aJob.steps()); step++) {
    timesMs.push_back(aRunTimes.runTime(aJob, aOccurrence, step).medianMs);
  }
  return timesMs;
}

/** Longest sum of run times along the dependencies from a step to the end of its job, for each
 * step. */
std::vector<double>
criticalPathsMs(const Job& aJob, const std::vector<double>& aRunTimesMs)
{
  std::vector<double> pathMs(aJob.steps().size(), 0);
  for (std::size_t step = aJob.steps().size(); step-- > 0;) {
    pathMs[step] += aRunTimesMs[step];
    for (const std::int64_t earlier : aJob.steps()[step].after()) {
      double& earlierMs = pathMs[static_cast<std::size_t>(earlier)];
      earlierMs = std::max(earlierMs, pathMs[step]);
    }
  }
  return pathMs;
}

/** Work of some tasks of a step in core-milliseconds; long-running tasks have none. */
double
workOf(const JobStep& aStep, std::int64_t aTasks, double aRunTimeMs)
{
  return aStep.longRunning()
           ? 0
           : static_cast<double>(aTasks) * static_cast<double>(aStep.resources().cpuMilli()) /
               kMilliPerCore * aRunTimeMs;
}

/** Whether a job has open opportunistic steps, which share what other tasks leave unused. */
bool
sharesUnusedCapacity(const Job& aJob, std::int64_t aOccurrence)
{
  for (std::int64_t step = 0; step < std::ssize(aJob.steps()); step++) {
    if (aJob.steps()[static_cast<std::size_t>(step)].opportunistic() &&
        aJob.openTasks(aOccurrence, step) > 0) {
      return true;
    }
  }
  return false;
}

/** Describes what an occurrence still needs; its value is set by the caller. */
DueJob
describe(const Job& aJob, std::int64_t aOccurrence, const RunTimeModel& aRunTimes)
{
  const std::vector<double> timesMs = runTimesMs(aJob, aOccurrence, aRunTimes);
  const std::vector<double> pathsMs = criticalPathsMs(aJob, timesMs);
  const std::int64_t startMs = aJob.isRecurring() ? aJob.dueMs(aOccurrence) : aJob.acceptedAtMs();
  const double longestPathMs = *std::max_element(pathsMs.begin(), pathsMs.end());
  const std::int64_t objectiveMs =
    static_cast<std::int64_t>(aJob.queue().stretch() * longestPathMs) + aJob.queue().objectiveMs();
  DueJob due;
  due.job = &aJob;
  due.occurrence = aOccurrence;
  due.demand.objectiveEndMs = startMs + objectiveMs;
  due.demand.usefulUntilMs = startMs + kUsefulObjectives * objectiveMs;
  due.demand.isStarted = aJob.hasStarted();
  due.isOpportunistic = sharesUnusedCapacity(aJob, aOccurrence);
  for (std::size_t step = 0; step < aJob.steps().size(); step++) {
    const JobStep& description = aJob.steps()[step];
    due.totalWork += workOf(description, description.count(), timesMs[step]);
    const std::int64_t open = aJob.openTasks(aOccurrence, static_cast<std::int64_t>(step));
    if (open > 0) {
      // What the other steps of an opportunistic job take does not come from the shared capacity.
      due.demand.remainingWork += description.opportunistic() == due.isOpportunistic
                                    ? workOf(description, open, timesMs[step])
                                    : 0;
      due.demand.remainingPathMs =
        std::max(due.demand.remainingPathMs, static_cast<std::int64_t>(pathsMs[step]));
    }
  }
  return due;
}

/** The due occurrences without values and outlooks. */
std::vector<DueJob>
collectDueJobs(const JobRegistry& aJobs, const RunTimeModel& aRunTimes, std::int64_t aWallMs)
{
  std::vector<DueJob> due;
  for (const std::string& jobId : aJobs.openJobs()) {
    const Job* job = aJobs.find(jobId);
    if (job->isFinished()) {
      continue;
    }
    for (std::int64_t occurrence = 0; occurrence < job->occurrences(); occurrence++) {
      if (job->isRecurring() && job->dueMs(occurrence) > aWallMs) {
        break;
      }
      due.push_back(describe(*job, occurrence, aRunTimes));
    }
  }
  return due;
}

/** Values the jobs by their size relative to the mean due job of their queue. */
void
setValues(std::vector<DueJob>& aDue)
{
  struct Sum
  {
    double work = 0;
    double jobs = 0;
  };
  std::map<std::string, Sum> sums;
  for (const DueJob& due : aDue) {
    Sum& sum = sums[due.job->queue().name()];
    sum.work += due.totalWork;
    sum.jobs += 1;
  }
  for (DueJob& due : aDue) {
    const Sum& sum = sums.at(due.job->queue().name());
    const double relativeSize = sum.work > 0 ? due.totalWork * sum.jobs / sum.work : 1;
    due.demand.value = kFixedShareOfValue + (1 - kFixedShareOfValue) * relativeSize;
  }
}

/** Sum of a part of the processor time of each worker of a pool, in cores; aCpuMilliOf returns the
 * part of a worker in thousandths of a core, which counts as 0 if it is negative. */
template<typename CpuMilliOf>
double
poolCores(const std::vector<WorkerCandidate>& aWorkers,
          const std::string& aPool,
          const CpuMilliOf& aCpuMilliOf)
{
  double cpuMilli = 0;
  for (const WorkerCandidate& worker : aWorkers) {
    if (worker.poolName == aPool) {
      cpuMilli += std::max(0.0, static_cast<double>(aCpuMilliOf(worker)));
    }
  }
  return cpuMilli / kMilliPerCore;
}

/** Processor time of a pool that opportunistic tasks use or may use, in cores. */
double
opportunisticCores(const std::vector<WorkerCandidate>& aWorkers, const std::string& aPool)
{
  return poolCores(aWorkers, aPool, [](const WorkerCandidate& aWorker) {
    return unusedCpuMilli(aWorker) + static_cast<double>(aWorker.opportunisticCpuMilli);
  });
}

/** Processor time of a pool that short tasks reserve or may reserve, in cores. */
double
reservableCores(const std::vector<WorkerCandidate>& aWorkers, const std::string& aPool)
{
  return poolCores(aWorkers, aPool, [](const WorkerCandidate& aWorker) {
    return aWorker.capacity.cpuMilli - aWorker.longRunningCpuMilli;
  });
}

/** Sets the outlooks of the jobs. */
void
setOutlooks(std::vector<DueJob>& aDue,
            const std::vector<WorkerCandidate>& aWorkers,
            std::int64_t aWallMs)
{
  // Jobs of a pool compete for unused or for reserved capacity, the latter by priority.
  std::map<std::tuple<std::string, bool, std::int64_t>, std::vector<std::size_t>> competing;
  for (std::size_t index = 0; index < aDue.size(); index++) {
    const DueJob& due = aDue[index];
    if (due.demand.remainingWork > 0) {
      const JobQueue& queue = due.job->queue();
      competing[{ queue.poolName(),
                  due.isOpportunistic,
                  due.isOpportunistic ? 0 : queue.priority() }]
        .push_back(index);
    }
  }
  for (const auto& [key, indexes] : competing) {
    const auto& [pool, isOpportunistic, priority] = key;
    std::vector<JobDemand> demands;
    for (const std::size_t index : indexes) {
      demands.push_back(aDue[index].demand);
    }
    const std::vector<JobOutlook> outlooks = JobSelector::select(
      demands,
      isOpportunistic ? opportunisticCores(aWorkers, pool) : reservableCores(aWorkers, pool),
      aWallMs);
    for (std::size_t position = 0; position < indexes.size(); position++) {
      aDue[indexes[position]].outlook = outlooks[position];
    }
  }
}

} // namespace

double
DueJob::order() const
{
  switch (outlook) {
    case JobOutlook::eOnTime:
      return static_cast<double>(demand.objectiveEndMs);
    case JobOutlook::eLate:
      return static_cast<double>(demand.usefulUntilMs);
    case JobOutlook::eOverdue:
      break;
  }
  return demand.remainingWork;
}

std::vector<DueJob>
findDueJobs(const JobRegistry& aJobs,
            const std::vector<WorkerCandidate>& aWorkers,
            const RunTimeModel& aRunTimes,
            std::int64_t aWallMs)
{
  std::vector<DueJob> due = collectDueJobs(aJobs, aRunTimes, aWallMs);
  setValues(due);
  setOutlooks(due, aWorkers, aWallMs);
  return due;
}

} // namespace magnoliadrum
