#pragma once

#include <cstdint>

namespace magnoliadrum {

/** Estimates how much time a request of one entry needs from its dispatch to its response. */
class ResponseTimeEstimator
{
public:
  /** Records the time of a successful response. */
  void record(std::int64_t aResponseTimeMs);

  /**
   * Time that a request should have left when it is dispatched; 0 before the first response. Twice
   * the mean, because with the mean itself many requests that an overloaded queue dispatches still
   * time out (docs/MEASUREMENTS.md).
   */
  std::int64_t requiredMs() const;

private:
  double mMeanMs = 0;
};

} // namespace magnoliadrum
