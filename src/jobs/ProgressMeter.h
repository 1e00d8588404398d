#pragma once

#include <cstdint>

namespace magnoliadrum {

/**
 * Measures how fast a run makes progress, from the lists of its worker. A run that goes on from a
 * checkpoint starts with the progress that was saved.
 */
class ProgressMeter
{
public:
  /** Time constant of the mean speed, in ms of the worker's clock. */
  static constexpr double kMeanTimeMs = 1500;

  /** Records a list of the worker; aPacePercent is the pace that the run had until then. */
  void observe(std::int64_t aClockMs, double aPercent, std::int64_t aPacePercent);

  /** Time that the run has worked at full speed between the first and the latest list, in ms. */
  double workedMs() const { return mWorkedMs; }
  /** Progress that it has made in that time. */
  double gainedPercent() const { return mPercent - mFirstPercent; }
  double percent() const { return mPercent; }
  double firstPercent() const { return mFirstPercent; }
  std::int64_t clockMs() const { return mClockMs; }
  /** Time between the first and the latest list. */
  std::int64_t observedMs() const { return mClockMs - mFirstClockMs; }
  bool hasSamples() const { return mClockMs > mFirstClockMs; }
  /** Mean progress of late. */
  double percentPerMs() const { return mPercentPerMs; }

private:
  std::int64_t mFirstClockMs = 0;
  std::int64_t mClockMs = 0;
  double mFirstPercent = 0;
  double mPercent = 0;
  double mWorkedMs = 0;
  double mPercentPerMs = 0;
};

} // namespace magnoliadrum
