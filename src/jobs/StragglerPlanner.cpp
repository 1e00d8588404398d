#include "jobs/StragglerPlanner.h"

#include <algorithm>

namespace magnoliadrum {

std::optional<Straggler>
StragglerPlanner::judge(const StragglerCandidate& aRun)
{
  constexpr double kFullPercent = 100;
  // A run that stands still is expected to go on at some time.
  constexpr double kLongestRemainingMs = 60000;
  const double remainingPercent = std::max(0.0, kFullPercent - aRun.percent);
  if (aRun.observedMs < kMinObservedMs || remainingPercent <= 0) {
    return std::nullopt;
  }
  const double remainingMs = aRun.percentPerMs * kLongestRemainingMs > remainingPercent
                               ? remainingPercent / aRun.percentPerMs
                               : kLongestRemainingMs;
  const double percentElsewhere = aRun.checkpoints ? remainingPercent : kFullPercent;
  const double elsewhereMs = kRestartMs + aRun.runTime.medianMs * percentElsewhere / kFullPercent;
  const double gainMs = remainingMs - elsewhereMs;
  return gainMs >= kMinGainMs ? std::optional(Straggler{ aRun.task, aRun.run, gainMs })
                              : std::nullopt;
}

} // namespace magnoliadrum
