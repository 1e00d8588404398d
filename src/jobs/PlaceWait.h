#pragma once

#include "jobs/RunTimeModel.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/** A place where a task could run. */
struct PlaceOption
{
  /** Expected time until the task can start there, in ms; 0 for at once. */
  double startInMs = 0;
  /** Run time there relative to the best place: distance from data or group, slow worker,
   * neighbours that slow it down. */
  double slowness = 1;

  friend bool operator==(const PlaceOption&, const PlaceOption&) = default;
};

/** Decides between starting now and waiting for a better place. */
class PlaceWait
{
public:
  /**
   * Returns how long to wait at most from now, in ms; 0 to start at aNow. aLatestEndMs is the time
   * from now at which the job would be late; the result never exceeds it minus the run time.
   */
  static double longestWaitMs(const PlaceOption& aNow,
                              const std::vector<PlaceOption>& aLater,
                              const RunTimeEstimate& aRunTime,
                              double aLatestEndMs);
};

} // namespace magnoliadrum
