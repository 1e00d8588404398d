#pragma once

#include "jobs/JobRegistry.h"
#include "jobs/JobScheduler.h"
#include "jobs/JobSelector.h"
#include "jobs/RunTimeModel.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/** An occurrence of a job that is due and not completed. */
struct DueJob
{
  const Job* job = nullptr;
  std::int64_t occurrence = 0;
  JobDemand demand;
  /** It has open opportunistic steps. */
  bool isOpportunistic = false;
  /** Work of all its tasks that end, done or not, in core-milliseconds. */
  double totalWork = 0;
  JobOutlook outlook = JobOutlook::eOnTime;

  /** Order of service among occurrences with the same outlook, the smallest first: earliest
   * deadline first, and without a deadline that can be met the shortest first. */
  double order() const;
};

/**
 * Returns the due occurrences of all jobs with their outlooks. Jobs with opportunistic steps
 * compete for what other tasks on aWorkers leave unused, the other jobs of each priority for what
 * long-running tasks leave. Run times are those of aRunTimes, since what jobs declare is wrong by a
 * factor at times.
 */
std::vector<DueJob>
findDueJobs(const JobRegistry& aJobs,
            const std::vector<WorkerCandidate>& aWorkers,
            const RunTimeModel& aRunTimes,
            std::int64_t aWallMs);

} // namespace magnoliadrum
