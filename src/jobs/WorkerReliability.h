#pragma once

#include "core/core.h"

#include <map>
#include <string>

namespace magnoliadrum {

/**
 * How well a worker's recent runs went, by worker id: failures, unanswered or rejected orders and
 * run times against what was expected. Observations decay, and a worker that was not used for a
 * while is tried again with few tasks.
 */
class WorkerReliability
{
public:
  void recordEnd(const std::string& aWorker, bool aSucceeded, MonotonicTime aNow);
  /** aRatio is the run time divided by the expected one. */
  void recordSpeed(const std::string& aWorker, double aRatio, MonotonicTime aNow);
  void recordOrder(const std::string& aWorker, bool aAnswered, MonotonicTime aNow);

  /** Expected share of runs that succeed; 1 for an unknown worker. */
  double successShare(const std::string& aWorker, MonotonicTime aNow) const;
  /** Expected run time relative to a sound worker; 1 for an unknown one. */
  double slowness(const std::string& aWorker, MonotonicTime aNow) const;
  /** Number of new runs that the worker may get before one of them has ended well; negative for no
   * limit. At least two thirds of a pool have no limit. */
  std::int64_t maxTrialRuns(const std::string& aWorker, MonotonicTime aNow) const;
};

} // namespace magnoliadrum
