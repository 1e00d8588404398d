#pragma once

#include <cstdint>

namespace magnoliadrum {

/** Estimates the time that a request of one entry takes from dispatch to response. */
class ResponseTimeEstimator
{
public:
  /** Records the response time of a successful request. */
  void record(std::int64_t aResponseTimeMs);

  /**
   * Time that should remain until the deadline of a request when it is dispatched; 0 before the
   * first response. This is twice the mean: with the mean itself, many requests dispatched from an
   * overloaded queue still time out (docs/MEASUREMENTS.md).
   */
  std::int64_t requiredMs() const;

private:
  double mMeanMs = 0;
};

} // namespace magnoliadrum
