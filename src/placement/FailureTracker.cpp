#include "placement/FailureTracker.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Failures in a row without a success before a worker is suspect. */
constexpr std::int64_t kSuspectFailures = 3;
/** An entry that failed on so many workers without a success is itself at fault. */
constexpr std::size_t kBlamedTargets = 3;
constexpr std::int64_t kQuarantineMs = 30000;
constexpr std::int64_t kLongestQuarantineMs = 1800000;
/** A probe that reported nothing by then no longer keeps the next one away. */
constexpr std::int64_t kProbeMs = 120000;
constexpr std::int64_t kRetryMs = 1000;
constexpr std::int64_t kLongestRetryMs = 300000;

std::int64_t
doubled(std::int64_t aFirst, std::int64_t aTimes, std::int64_t aLongest)
{
  constexpr std::int64_t kMostDoublings = 20;
  return std::min(aLongest, aFirst << std::clamp<std::int64_t>(aTimes, 0, kMostDoublings));
}

void
addOnce(std::vector<std::uint32_t>& aList, std::uint32_t aValue)
{
  if (std::find(aList.begin(), aList.end(), aValue) == aList.end()) {
    aList.push_back(aValue);
  }
}

} // namespace

void
FailureTracker::taskFailed(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs)
{
  TargetHistory& target = mTargets[aTarget];
  const bool wasBlamed = isBlamed(aEntry);
  if (!target.onProbation && mEntries[aEntry].failedTargets.size() < kBlamedTargets) {
    addOnce(mEntries[aEntry].failedTargets, aTarget);
  }
  if (wasBlamed) {
    target.probeUntilMs = 0;
    return;
  }
  ++target.failures;
  addOnce(target.entries, aEntry);
  const bool isProbe = target.onProbation && target.quarantinedUntilMs <= aNowMs;
  if (isProbe || (!target.onProbation && isSuspect(target))) {
    quarantine(target, aNowMs);
  }
}

bool
FailureTracker::isSuspect(const TargetHistory& aTarget) const
{
  if (aTarget.failures < kSuspectFailures) {
    return false;
  }
  if (aTarget.entries.size() > 1) {
    return true;
  }
  return std::any_of(aTarget.entries.begin(), aTarget.entries.end(), [this](std::uint32_t aEntry) {
    return mEntries.at(aEntry).hasSucceeded;
  });
}

void
FailureTracker::quarantine(TargetHistory& aTarget, std::int64_t aNowMs)
{
  aTarget.quarantinedUntilMs =
    aNowMs + doubled(kQuarantineMs, aTarget.quarantines, kLongestQuarantineMs);
  ++aTarget.quarantines;
  aTarget.onProbation = true;
  aTarget.probeUntilMs = aTarget.quarantinedUntilMs;
}

void
FailureTracker::taskSucceeded(std::uint32_t aTarget, std::uint32_t aEntry)
{
  EntryHistory& entry = mEntries[aEntry];
  entry.hasSucceeded = true;
  entry.failedTargets.clear();
  const auto target = mTargets.find(aTarget);
  if (target != mTargets.end()) {
    target->second = {};
  }
}

void
FailureTracker::taskPlaced(std::uint32_t aTarget, std::int64_t aNowMs)
{
  const auto target = mTargets.find(aTarget);
  if (target != mTargets.end() && target->second.onProbation) {
    target->second.probeUntilMs = aNowMs + kProbeMs;
  }
}

bool
FailureTracker::admits(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs) const
{
  const auto target = mTargets.find(aTarget);
  if (target == mTargets.end() || !target->second.onProbation) {
    return true;
  }
  // A blamed entry would fail on a good worker too, so it proves nothing.
  return target->second.probeUntilMs <= aNowMs && !isBlamed(aEntry);
}

bool
FailureTracker::isQuarantined(std::uint32_t aTarget, std::int64_t aNowMs) const
{
  const auto target = mTargets.find(aTarget);
  return target != mTargets.end() && target->second.quarantinedUntilMs > aNowMs;
}

std::int64_t
FailureTracker::recentFailures(std::uint32_t aTarget) const
{
  const auto target = mTargets.find(aTarget);
  return target == mTargets.end() ? 0 : target->second.failures;
}

bool
FailureTracker::isBlamed(std::uint32_t aEntry) const
{
  const auto entry = mEntries.find(aEntry);
  return entry != mEntries.end() && entry->second.failedTargets.size() >= kBlamedTargets;
}

std::vector<std::uint32_t>
FailureTracker::takeProbes(std::int64_t aNowMs)
{
  std::vector<std::uint32_t> result;
  for (auto& [name, target] : mTargets) {
    if (target.onProbation && target.probeUntilMs > 0 && target.probeUntilMs <= aNowMs) {
      target.probeUntilMs = 0;
      result.push_back(name);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

std::int64_t
FailureTracker::retryDelayMs(std::uint32_t aTarget, std::int64_t aAttempts) const
{
  const auto target = mTargets.find(aTarget);
  if (target != mTargets.end() && target->second.onProbation) {
    return kRetryMs;
  }
  return doubled(kRetryMs, aAttempts - 1, kLongestRetryMs);
}

} // namespace magnoliadrum
