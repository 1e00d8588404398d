#pragma once

#include "generated/JobsTypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Processor time that short work asks for, in thousandths of a core. */
struct DemandRate
{
  double meanCpuMilli = 0;
  /** Standard deviation from one second to the next. */
  double deviationCpuMilli = 0;

  friend bool operator==(const DemandRate&, const DemandRate&) = default;
};

/**
 * Measures how much work the accepted jobs bring that reserves capacity and ends by itself, from
 * their declared sizes and estimates.
 *
 * Deterministic: the times are those in the log, so each replica has the same figures and a new
 * leader needs not learn them again. A replica that was restored from a snapshot starts without.
 */
class ShortWorkDemand
{
public:
  /** Seconds over which the rate is averaged. */
  static constexpr std::int64_t kWindowS = 10;

  /** Adds an accepted job; of a recurring one, its first occurrence. */
  void add(const JobQueue& aQueue, const JobDescription& aJob, std::int64_t aAcceptedAtMs);

  /** Counts the demand of the queues in the pools and priorities that they have now. */
  void followQueues(const std::vector<JobQueue>& aQueues);

  /** The demand in a pool of the queues whose priority is not lower than aPriority. aCorrectionOf
   * returns the ratio of work to declared work of a queue, by its name. */
  DemandRate rate(const std::string& aPoolName,
                  std::int64_t aPriority,
                  std::int64_t aWallMs,
                  const std::function<double(const std::string&)>& aCorrectionOf) const;

private:
  struct QueueDemand
  {
    std::string poolName;
    std::int64_t priority = 0;
    /** Second of the wall clock that is not over yet, and the declared work of the jobs accepted in
     * it, in thousandths of a core times seconds. */
    std::int64_t second = 0;
    double work = 0;
    /** Moments of the work of earlier seconds. */
    double mean = 0;
    double variance = 0;
    std::int64_t seconds = 0;

    void closeSecond();
    /** Closes the seconds before that of aWallMs. */
    void advance(std::int64_t aWallMs);
  };

  /** By queue. */
  std::map<std::string, QueueDemand> mQueues;
};

} // namespace magnoliadrum
