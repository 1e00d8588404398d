#include "jobs/DueJobs.h"

#include <algorithm>
#include <map>
#include <string>

namespace magnoliadrum {

namespace {

constexpr double kMilliPerCore = 1000;

/** Share of a job's value that does not depend on its size. */
constexpr double kFixedShareOfValue = 0.3;

/** A completion is useful until the objective has passed this many times. */
constexpr std::int64_t kUsefulObjectives = 3;

/** Longest sum of estimates along the dependencies from a step to the end of its job, for each
 * step. */
std::vector<std::int64_t>
criticalPathsMs(const Job& aJob)
{
  std::vector<std::int64_t> pathMs(aJob.steps().size(), 0);
  for (std::size_t step = aJob.steps().size(); step-- > 0;) {
    pathMs[step] += aJob.steps()[step].estimateMs();
    for (const std::int64_t earlier : aJob.steps()[step].after()) {
      std::int64_t& earlierMs = pathMs[static_cast<std::size_t>(earlier)];
      earlierMs = std::max(earlierMs, pathMs[step]);
    }
  }
  return pathMs;
}

/** Work of some tasks of a step that share the opportunistic capacity, in core-milliseconds. */
double
opportunisticWork(const JobStep& aStep, std::int64_t aTasks)
{
  return aStep.opportunistic()
           ? static_cast<double>(aTasks) * static_cast<double>(aStep.resources().cpuMilli()) /
               kMilliPerCore * static_cast<double>(aStep.estimateMs())
           : 0;
}

double
totalOpportunisticWork(const Job& aJob)
{
  double work = 0;
  for (const JobStep& step : aJob.steps()) {
    work += opportunisticWork(step, step.count());
  }
  return work;
}

/** Describes what an occurrence still needs; its value is set by the caller. */
JobDemand
demandOf(const Job& aJob, std::int64_t aOccurrence)
{
  const std::vector<std::int64_t> pathsMs = criticalPathsMs(aJob);
  const std::int64_t startMs = aJob.isRecurring() ? aJob.dueMs(aOccurrence) : aJob.acceptedAtMs();
  const std::int64_t objectiveMs =
    static_cast<std::int64_t>(aJob.queue().stretch() * static_cast<double>(*std::max_element(
                                                         pathsMs.begin(), pathsMs.end()))) +
    aJob.queue().objectiveMs();
  JobDemand demand;
  demand.objectiveEndMs = startMs + objectiveMs;
  demand.usefulUntilMs = startMs + kUsefulObjectives * objectiveMs;
  demand.isStarted = aJob.hasStarted();
  for (std::size_t step = 0; step < aJob.steps().size(); step++) {
    const std::int64_t open = aJob.openTasks(aOccurrence, static_cast<std::int64_t>(step));
    if (open > 0) {
      demand.remainingWork += opportunisticWork(aJob.steps()[step], open);
      demand.remainingPathMs = std::max(demand.remainingPathMs, pathsMs[step]);
    }
  }
  return demand;
}

/** The due occurrences without values and outlooks. */
std::vector<DueJob>
collectDueJobs(const JobRegistry& aJobs, std::int64_t aWallMs)
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
      due.push_back({ .job = job, .occurrence = occurrence, .demand = demandOf(*job, occurrence) });
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
    sum.work += totalOpportunisticWork(*due.job);
    sum.jobs += 1;
  }
  for (DueJob& due : aDue) {
    const Sum& sum = sums.at(due.job->queue().name());
    const double relativeSize =
      sum.work > 0 ? totalOpportunisticWork(*due.job) * sum.jobs / sum.work : 1;
    due.demand.value = kFixedShareOfValue + (1 - kFixedShareOfValue) * relativeSize;
  }
}

/** Processor time of a pool that opportunistic tasks use or may use, in cores. */
double
opportunisticCores(const std::vector<WorkerCandidate>& aWorkers, const std::string& aPool)
{
  double cpuMilli = 0;
  for (const WorkerCandidate& worker : aWorkers) {
    if (worker.poolName == aPool) {
      cpuMilli +=
        std::max(0.0, unusedCpuMilli(worker) + static_cast<double>(worker.opportunisticCpuMilli));
    }
  }
  return cpuMilli / kMilliPerCore;
}

/** Sets the outlooks of the jobs. Jobs without opportunistic steps only have to be in time. */
void
setOutlooks(std::vector<DueJob>& aDue,
            const std::vector<WorkerCandidate>& aWorkers,
            std::int64_t aWallMs)
{
  std::map<std::string, std::vector<std::size_t>> sharing;
  for (std::size_t index = 0; index < aDue.size(); index++) {
    DueJob& due = aDue[index];
    if (due.demand.remainingWork > 0) {
      sharing[due.job->queue().poolName()].push_back(index);
    } else if (aWallMs + due.demand.remainingPathMs > due.demand.objectiveEndMs) {
      due.outlook = JobOutlook::eLate;
    }
  }
  for (const auto& [pool, indexes] : sharing) {
    std::vector<JobDemand> demands;
    for (const std::size_t index : indexes) {
      demands.push_back(aDue[index].demand);
    }
    const std::vector<JobOutlook> outlooks =
      JobSelector::select(demands, opportunisticCores(aWorkers, pool), aWallMs);
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
            std::int64_t aWallMs)
{
  std::vector<DueJob> due = collectDueJobs(aJobs, aWallMs);
  setValues(due);
  setOutlooks(due, aWorkers, aWallMs);
  return due;
}

} // namespace magnoliadrum
