#include "placement/FailureTracker.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Consecutive failures before a worker may be quarantined. */
constexpr std::int64_t kQuarantineFailures = 3;
/** An entry that failed on this many targets without a success is faulty. */
constexpr std::size_t kFaultyEntryTargets = 3;
constexpr std::int64_t kFirstQuarantineMs = 30000;
constexpr std::int64_t kMaxQuarantineMs = 1800000;
/** A probe without a result after this time no longer blocks the next one. */
constexpr std::int64_t kProbeTimeoutMs = 120000;
constexpr std::int64_t kFirstRetryDelayMs = 1000;
constexpr std::int64_t kMaxRetryDelayMs = 300000;

std::int64_t
backoffMs(std::int64_t aFirst, std::int64_t aTimes, std::int64_t aLongest)
{
  constexpr std::int64_t kMaxDoublings = 20;
  return std::min(aLongest, aFirst << std::clamp<std::int64_t>(aTimes, 0, kMaxDoublings));
}

void
addUnique(std::vector<std::uint32_t>& aList, std::uint32_t aValue)
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
  const bool wasFaulty = isFaulty(aEntry);
  if (!target.onProbation && mEntries[aEntry].failedTargets.size() < kFaultyEntryTargets) {
    addUnique(mEntries[aEntry].failedTargets, aTarget);
  }
  if (wasFaulty) {
    target.probeUntilMs = 0;
    return;
  }
  ++target.failures;
  addUnique(target.entries, aEntry);
  const bool isProbe = target.onProbation && target.quarantinedUntilMs <= aNowMs;
  if (isProbe || (!target.onProbation && shouldQuarantine(target))) {
    quarantine(target, aNowMs);
  }
}

bool
FailureTracker::shouldQuarantine(const TargetHistory& aTarget) const
{
  if (aTarget.failures < kQuarantineFailures) {
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
    aNowMs + backoffMs(kFirstQuarantineMs, aTarget.quarantines, kMaxQuarantineMs);
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
    target->second.probeUntilMs = aNowMs + kProbeTimeoutMs;
  }
}

bool
FailureTracker::admits(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs) const
{
  const auto target = mTargets.find(aTarget);
  if (target == mTargets.end() || !target->second.onProbation) {
    return true;
  }
  // A faulty entry would fail on a good worker too, so it is useless as a probe.
  return target->second.probeUntilMs <= aNowMs && !isFaulty(aEntry);
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
FailureTracker::isFaulty(std::uint32_t aEntry) const
{
  const auto entry = mEntries.find(aEntry);
  return entry != mEntries.end() && entry->second.failedTargets.size() >= kFaultyEntryTargets;
}

std::vector<std::uint32_t>
FailureTracker::takeProbeTargets(std::int64_t aNowMs)
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
    return kFirstRetryDelayMs;
  }
  return backoffMs(kFirstRetryDelayMs, aAttempts - 1, kMaxRetryDelayMs);
}

} // namespace magnoliadrum
