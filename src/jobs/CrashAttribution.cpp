#include "jobs/CrashAttribution.h"

#include "core/core.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

constexpr double kThousand = 1000;

/** Runs that have worked for less (ms) are equally likely to be the cause: the relay's times are no
 * more exact than its orders and lists. */
constexpr std::int64_t kShortestDelayMs = 100;

/** Weight of a worker that crashes by itself; a run that has worked for a second weighs 1. */
constexpr double kOwnCrashWeight = 0.2;

/** How much a suspicion of 1 from earlier crashes raises the weight of a run. */
constexpr double kSuspicionGain = 60;

/** Factor for a run that may not have been there. */
constexpr double kDoubtfulPresence = 0.5;

/** Factor for a run of a task that has worked for twice as long without harm. */
constexpr double kProvenHarmless = 0.05;

/** A share of the blame below this part of that of a run with which a worker crashes alone had
 * other suspects; two equal ones have 0.55 to 0.75 of it. */
constexpr double kSharedBlame = 0.8;

/** A run is expected to work for at least this part of what its caller has estimated. */
constexpr double kShortestRunTime = 0.25;

/** The remaining time that the progress shows has to be so many times the age of the lists. */
constexpr double kProgressMargin = 1.5;

double
weightOf(const RunAtCrash& aRun)
{
  if (aRun.ranMs > CrashAttribution::kLongestCrashDelayMs) {
    return 0;
  }
  const double delay = static_cast<double>(kHarmlessRunMs) /
                       static_cast<double>(std::max(kShortestDelayMs, aRun.ranMs));
  const double presence = aRun.hasBegun && !aRun.mayHaveEnded ? 1 : kDoubtfulPresence;
  const bool isProven = aRun.harmlessMs >= std::max(kHarmlessRunMs, 2 * aRun.ranMs);
  return delay * presence * (isProven ? kProvenHarmless : 1) *
         (1 + kSuspicionGain * static_cast<double>(aRun.suspicion) / kThousand);
}

} // namespace

std::vector<std::int64_t>
CrashAttribution::shares(const std::vector<RunAtCrash>& aRuns)
{
  double sum = kOwnCrashWeight;
  for (const RunAtCrash& run : aRuns) {
    sum += weightOf(run);
  }
  std::vector<std::int64_t> shares;
  for (const RunAtCrash& run : aRuns) {
    shares.push_back(std::llround(kThousand * weightOf(run) / sum));
  }
  return shares;
}

bool
CrashAttribution::mayHaveEnded(const JobStep& aStep,
                               std::int64_t aRanMs,
                               double aPercent,
                               std::int64_t aListAgeMs)
{
  if (aStep.longRunning()) {
    return false;
  }
  if (aPercent <= 0) {
    return static_cast<double>(aRanMs) >=
           kShortestRunTime * static_cast<double>(aStep.estimateMs());
  }
  constexpr double kFullPercent = 100;
  const double workedMs = static_cast<double>(std::max<std::int64_t>(0, aRanMs - aListAgeMs));
  const double remainingMs = workedMs * (kFullPercent - aPercent) / aPercent;
  return remainingMs <= kProgressMargin * static_cast<double>(aListAgeMs);
}

std::int64_t
CrashAttribution::provingMs(const JobTaskRecord::Fields& aTask)
{
  return std::max(kHarmlessRunMs, 2 * aTask.crashAfterMs);
}

bool
CrashAttribution::needsTrial(const JobTaskRecord::Fields& aTask)
{
  if (aTask.crashes == 0 || aTask.crashAfterMs > kLongestTrialDelayMs) {
    return false;
  }
  constexpr std::int64_t kCrashesByChance = 2;
  const bool hasSmallShares =
    aTask.crashes <= kCrashesByChance && aTask.suspicion < kSmallShare * aTask.crashes;
  return aTask.suspicion >= kTrialSuspicion ||
         (aTask.crashAfterMs < kHarmlessRunMs && !hasSmallShares);
}

const std::vector<LapsedRun>&
CrashAttribution::openLapses(const JobTaskRecord::Fields& aTask)
{
  static const std::vector<LapsedRun> sNone;
  return aTask.lapses ? *aTask.lapses : sNone;
}

bool
CrashAttribution::awaitsEvidence(const JobTaskRecord::Fields& aTask)
{
  return aTask.crashes >= kMaxCrashesAlone &&
         aTask.crashes + std::ssize(openLapses(aTask)) >= kMaxCrashes;
}

bool
CrashAttribution::needsOwnWorker(const JobStep& aStep, const JobTaskRecord::Fields& aTask)
{
  if (!aStep.longRunning() || aStep.opportunistic() || aStep.gang() || aTask.crashes > 1) {
    return true;
  }
  const std::int64_t shareAlone =
    shares({ { .ranMs = aTask.crashAfterMs, .hasBegun = true } }).front();
  return static_cast<double>(aTask.suspicion) >= kSharedBlame * static_cast<double>(shareAlone);
}

} // namespace magnoliadrum
