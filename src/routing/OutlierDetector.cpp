#include "routing/OutlierDetector.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

namespace {

/** Weight of a new sample; seven failures in a row raise the error rate from 0 to above 0.5. */
constexpr double kSampleWeight = 0.1;
constexpr double kMaxErrorRate = 0.5;
/** A target is slow above this multiple of the others' median latency plus a jitter margin. */
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMs = 10;
constexpr std::int64_t kMinSamples = 7;
constexpr std::int64_t kBaseEjectionMs = 1000;
constexpr std::int64_t kMaxEjectionMs = 60000;
/** An ejection later than this after the last readmission counts as the first one again. */
constexpr std::int64_t kEjectionCountResetMs = 60000;

std::int64_t
ejectionMs(int aEjectionCount)
{
  constexpr int kMaxDoublings = 6;
  return std::min(kMaxEjectionMs, kBaseEjectionMs << std::min(aEjectionCount - 1, kMaxDoublings));
}

} // namespace

void
OutlierDetector::setTargets(const std::vector<std::string>& aTargetIds)
{
  std::map<std::string, TargetStatistics> targets;
  for (const std::string& id : aTargetIds) {
    const auto known = mTargets.find(id);
    targets.emplace(id, known == mTargets.end() ? TargetStatistics{} : known->second);
  }
  mTargets = std::move(targets);
  // The removal of healthy targets can leave more than half ejected. Those whose probe is due first
  // are readmitted until at most half are ejected.
  while (ejectedCount() > mTargets.size() / 2) {
    const auto nextDue =
      std::min_element(mTargets.begin(), mTargets.end(), [](const auto& aLeft, const auto& aRight) {
        const auto key = [](const TargetStatistics& aStatistics) {
          return std::pair(!aStatistics.mEjected, aStatistics.mEjectedUntil);
        };
        return key(aLeft.second) < key(aRight.second);
      });
    nextDue->second.mEjected = false;
    nextDue->second.mProbeInProgress = false;
    nextDue->second.mErrorRate = 0;
    nextDue->second.mSampleCount = 0;
  }
}

OutlierDetector::Availability
OutlierDetector::availability(const std::string& aTargetId, MonotonicTime aNow) const
{
  const auto target = mTargets.find(aTargetId);
  if (target == mTargets.end() || !target->second.mEjected) {
    return Availability::eNormal;
  }
  const bool probeDue = aNow >= target->second.mEjectedUntil && !target->second.mProbeInProgress;
  return probeDue ? Availability::eProbe : Availability::eEjected;
}

void
OutlierDetector::beginProbe(const std::string& aTargetId)
{
  TargetStatistics& statistics = mTargets.at(aTargetId);
  assert(statistics.mEjected && !statistics.mProbeInProgress);
  statistics.mProbeInProgress = true;
}

void
OutlierDetector::cancelProbe(const std::string& aTargetId)
{
  const auto target = mTargets.find(aTargetId);
  if (target != mTargets.end()) {
    target->second.mProbeInProgress = false;
  }
}

void
OutlierDetector::recordResponse(const std::string& aTargetId,
                                bool aSuccess,
                                std::int64_t aLatencyMs,
                                MonotonicTime aNow)
{
  const auto target = mTargets.find(aTargetId);
  if (target == mTargets.end()) {
    return;
  }
  TargetStatistics& statistics = target->second;
  const double latencyMs = static_cast<double>(aLatencyMs);
  if (statistics.mEjected) {
    completeProbe(statistics, aSuccess && !isSlow(aTargetId, latencyMs), aNow);
    return;
  }
  statistics.mErrorRate += kSampleWeight * ((aSuccess ? 0 : 1) - statistics.mErrorRate);
  if (aSuccess) {
    // Failures are often fast; including their latency would hide a slow target.
    statistics.mMeanLatencyMs += (statistics.mMeanLatencyMs == 0 ? 1 : kSampleWeight) *
                                 (latencyMs - statistics.mMeanLatencyMs);
  }
  statistics.mSampleCount++;
  ejectIfOutlier(aTargetId, statistics, aNow);
}

void
OutlierDetector::recordTimeout(const std::string& aTargetId,
                               std::int64_t aElapsedMs,
                               MonotonicTime aNow)
{
  const auto target = mTargets.find(aTargetId);
  if (target == mTargets.end()) {
    return;
  }
  TargetStatistics& statistics = target->second;
  const double elapsedMs = static_cast<double>(aElapsedMs);
  if (statistics.mEjected) {
    completeProbe(statistics, false, aNow);
    return;
  }
  if (elapsedMs <= statistics.mMeanLatencyMs) {
    return;
  }
  statistics.mMeanLatencyMs += kSampleWeight * (elapsedMs - statistics.mMeanLatencyMs);
  statistics.mSampleCount++;
  ejectIfOutlier(aTargetId, statistics, aNow);
}

std::size_t
OutlierDetector::ejectedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mTargets.begin(), mTargets.end(), [](const auto& aItem) { return aItem.second.mEjected; }));
}

bool
OutlierDetector::isSlow(const std::string& aTargetId, double aLatencyMs) const
{
  const std::optional<double> median = medianLatencyOfOthers(aTargetId);
  return median && aLatencyMs > kSlowFactor * *median + kSlowMarginMs;
}

std::optional<double>
OutlierDetector::medianLatencyOfOthers(const std::string& aTargetId) const
{
  std::vector<double> latencies;
  for (const auto& [id, statistics] : mTargets) {
    if (id != aTargetId && !statistics.mEjected && statistics.mSampleCount >= kMinSamples) {
      latencies.push_back(statistics.mMeanLatencyMs);
    }
  }
  if (latencies.empty()) {
    return std::nullopt;
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

void
OutlierDetector::completeProbe(TargetStatistics& aStatistics, bool aSuccess, MonotonicTime aNow)
{
  if (!aStatistics.mProbeInProgress) {
    // The request was dispatched before the ejection and does not show the target's current state.
    return;
  }
  aStatistics.mProbeInProgress = false;
  if (!aSuccess) {
    eject(aStatistics, aNow);
    return;
  }
  aStatistics.mEjected = false;
  aStatistics.mErrorRate = 0;
  aStatistics.mMeanLatencyMs = 0;
  aStatistics.mSampleCount = 0;
  aStatistics.mReadmittedAt = aNow;
}

void
OutlierDetector::ejectIfOutlier(const std::string& aTargetId,
                                TargetStatistics& aStatistics,
                                MonotonicTime aNow)
{
  if (aStatistics.mSampleCount < kMinSamples) {
    return;
  }
  const bool isOutlier =
    aStatistics.mErrorRate > kMaxErrorRate || isSlow(aTargetId, aStatistics.mMeanLatencyMs);
  if (!isOutlier || ejectedCount() + 1 > mTargets.size() / 2) {
    return;
  }
  if (aNow.msSince(aStatistics.mReadmittedAt) > kEjectionCountResetMs) {
    aStatistics.mEjectionCount = 0;
  }
  eject(aStatistics, aNow);
}

void
OutlierDetector::eject(TargetStatistics& aStatistics, MonotonicTime aNow)
{
  aStatistics.mEjectionCount++;
  aStatistics.mEjected = true;
  aStatistics.mProbeInProgress = false;
  aStatistics.mEjectedUntil = aNow.plusMs(ejectionMs(aStatistics.mEjectionCount));
}

} // namespace magnoliadrum
