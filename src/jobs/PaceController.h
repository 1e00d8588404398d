#pragma once

#include "core/core.h"

#include <cstdint>

namespace magnoliadrum {

/**
 * Decides how fast the opportunistic tasks on one worker may work, from how near the tasks that
 * serve users are to their latency objectives. One instance per worker.
 *
 * The figures are rough, lag by about half a second and say nothing about the cause, so the pace
 * falls at once and steeply, and rises slowly.
 */
class PaceController
{
public:
  /** Share of an objective above which opportunistic tasks are slowed down. */
  static constexpr double kNearObjective = 0.85;
  /** Share of an objective below which their pace may rise. */
  static constexpr double kFarFromObjective = 0.7;
  /** Time between two rises: several reports, so that the effect of the last one shows. */
  static constexpr std::int64_t kRiseEveryMs = 1500;
  static constexpr std::int64_t kRisePercent = 20;

  /**
   * Takes the largest ratio of a tail latency to its objective on the worker, 0 when no such task
   * is at work. Returns the pace in percent.
   */
  std::int64_t update(double aWorstRatio, MonotonicTime aNow);

  std::int64_t percent() const { return mPercent; }

private:
  std::int64_t mPercent = 100;
  MonotonicTime mChangedAt;
};

} // namespace magnoliadrum
