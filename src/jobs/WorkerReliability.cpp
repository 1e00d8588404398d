#include "jobs/WorkerReliability.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace magnoliadrum {

namespace {

/** Successes that an unknown worker is credited with. */
constexpr double kPriorSuccesses = 1;

/** A success after failures that leaves at most this many counts as a recovery. */
constexpr double kFailuresAfterSuccess = 0.5;

/** Failures that are left after a standing run without a failure since its start. They have to be
 * fewer than kMinFailures, so that one such run ends the limit: a worker that has failed many short
 * runs would otherwise stay limited for 20 s, as standing runs rarely follow one another. */
constexpr double kFailuresAfterStandingRun = 2;

} // namespace

WorkerReliability::Record
WorkerReliability::decayed(const std::string& aWorker, MonotonicTime aNow) const
{
  const auto found = mRecords.find(aWorker);
  if (found == mRecords.end()) {
    return {};
  }
  Record record = found->second;
  const double factor =
    std::exp2(-static_cast<double>(aNow.msSince(record.updatedAt)) / kHalfLifeMs);
  record.successes *= factor;
  record.failures *= factor;
  record.updatedAt = aNow;
  return record;
}

void
WorkerReliability::record(const std::string& aWorker, bool aSucceeded, MonotonicTime aNow)
{
  Record record = decayed(aWorker, aNow);
  record.updatedAt = aNow;
  if (aSucceeded) {
    record.successes += 1;
    // The cause is over: a worker that failed everything does not succeed by chance.
    if (record.failures >= kMinFailures && record.successes < record.failures) {
      record.failures *= kFailuresAfterSuccess;
    }
  } else {
    record.failures += 1;
    record.lastFailureAt = aNow;
  }
  mRecords[aWorker] = record;
}

void
WorkerReliability::recordStandingRun(const std::string& aWorker,
                                     MonotonicTime aStartedAt,
                                     MonotonicTime aNow)
{
  if (aStartedAt > decayed(aWorker, aNow).lastFailureAt) {
    record(aWorker, true, aNow);
    double& failures = mRecords[aWorker].failures;
    failures = std::min(failures, kFailuresAfterStandingRun);
  }
}

void
WorkerReliability::recordStandingFailure(const std::string& aWorker, MonotonicTime aNow)
{
  mRecords[aWorker].lastStandingFailureAt = aNow;
}

void
WorkerReliability::recordDoubtfulFailure(const std::string& aWorker, MonotonicTime aNow)
{
  mRecords[aWorker].lastDoubtfulFailureAt = aNow;
}

bool
WorkerReliability::needsPause(const std::string& aWorker,
                              MonotonicTime aFailedAt,
                              MonotonicTime aNow) const
{
  return aNow.msSince(aFailedAt) < kTrialIntervalMs && successShare(aWorker, aNow) < kMinSoundShare;
}

bool
WorkerReliability::hasJustFailedStandingRun(const std::string& aWorker, MonotonicTime aNow) const
{
  const auto found = mRecords.find(aWorker);
  return found != mRecords.end() && needsPause(aWorker, found->second.lastStandingFailureAt, aNow);
}

bool
WorkerReliability::hasJustFailedDoubtfulRun(const std::string& aWorker, MonotonicTime aNow) const
{
  const auto found = mRecords.find(aWorker);
  return found != mRecords.end() && needsPause(aWorker, found->second.lastDoubtfulFailureAt, aNow);
}

double
WorkerReliability::successShare(const std::string& aWorker, MonotonicTime aNow) const
{
  const Record record = decayed(aWorker, aNow);
  const double successes = record.successes + kPriorSuccesses;
  return successes / (successes + record.failures);
}

std::vector<std::int64_t>
WorkerReliability::runLimits(const std::vector<std::string>& aPool, MonotonicTime aNow) const
{
  std::vector<std::int64_t> limits(aPool.size(), kNoLimit);
  std::vector<std::pair<double, std::size_t>> failing;
  for (std::size_t index = 0; index < aPool.size(); index++) {
    const double share = successShare(aPool[index], aNow);
    if (share < kMinSuccessShare && decayed(aPool[index], aNow).failures >= kMinFailures) {
      failing.emplace_back(share, index);
    }
  }
  std::sort(failing.begin(), failing.end());
  failing.resize(std::min(failing.size(), aPool.size() / kWorkersPerLimited));
  for (const auto& [share, index] : failing) {
    const Record record = decayed(aPool[index], aNow);
    limits[index] = aNow.msSince(record.lastFailureAt) < kTrialIntervalMs ? 0 : 1;
  }
  return limits;
}

} // namespace magnoliadrum
