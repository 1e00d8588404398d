#pragma once

#include "jobs/JobRegistry.h"
#include "jobs/WorkerCandidate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What takes the capacity of a pool and what waits for it. Processor time in thousandths of a
 * core. */
struct PoolLoad
{
  std::string poolName;
  std::int64_t workers = 0;
  std::int64_t capacityCpuMilli = 0;
  /** Declared processor time of the long-running runs. */
  std::int64_t longRunningCpuMilli = 0;
  /** Declared processor time of the other runs that take capacity. */
  std::int64_t shortRunningCpuMilli = 0;
  /** Part of both that belongs to runs that no list of their worker shows. */
  std::int64_t unlistedCpuMilli = 0;
  /** Part of both that belongs to runs that are being stopped. */
  std::int64_t releasingCpuMilli = 0;
  /** Free processor time of all workers, and of the one with the most. */
  std::int64_t freeCpuMilli = 0;
  std::int64_t largestFreeCpuMilli = 0;
  std::int64_t freeMemoryMb = 0;
  /** Declared processor time of all long-running tasks of accepted jobs, with or without a run. */
  std::int64_t promisedCpuMilli = 0;
  /** Tasks of due steps that have no run. */
  std::int64_t waitingLongRunning = 0;
  std::int64_t waitingOther = 0;

  friend bool operator==(const PoolLoad&, const PoolLoad&) = default;
};

/** Returns the load of each pool that has workers or waiting tasks. aWallMs is the wall-clock time,
 * for due times. */
std::vector<PoolLoad>
summarizePools(const std::vector<WorkerCandidate>& aWorkers,
               const JobRegistry& aJobs,
               std::int64_t aWallMs);

} // namespace magnoliadrum
