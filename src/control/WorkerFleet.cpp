#include "control/WorkerFleet.h"

#include "observability/observability.h"
#include "state/BuildValue.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** A fence is the term and, below it, a number that rises within the term. */
constexpr std::int64_t kFencesPerTerm = std::int64_t{ 1 } << 24U;

std::int64_t
withDrift(std::int64_t aMs)
{
  return static_cast<std::int64_t>(static_cast<double>(aMs) * (1 + WorkerFleet::kClockDrift)) +
         WorkerFleet::kMarginMs;
}

} // namespace

void
WorkerFleet::startTerm(const std::map<LifeKey, std::string>& aPlaces,
                       std::int64_t aTerm,
                       MonotonicTime aElectedAt,
                       std::int64_t aElectionTimeoutMs)
{
  mLives.clear();
  mTerm = aTerm;
  mFences = 0;
  for (const auto& [key, place] : aPlaces) {
    WorkerLife life;
    life.relay = place;
    life.description = buildValue<WorkerDescription>(
      { .workerId = key.worker, .bornMs = key.bornMs, .poolName = "unknown" });
    life.leaseEnd = aElectedAt.plusMs(aElectionTimeoutMs + withDrift(mLeaseMs));
    mLives.emplace(key, std::move(life));
  }
}

std::int64_t
WorkerFleet::newFence()
{
  mFences++;
  return mTerm * kFencesPerTerm + mFences;
}

WorkerLife*
WorkerFleet::report(const WorkerReport& aReport,
                    const std::string& aRelay,
                    std::int64_t aSession,
                    MonotonicTime aNow)
{
  const LifeKey key{ aReport.worker().workerId(), aReport.worker().bornMs() };
  const auto later = std::find_if(mLives.begin(), mLives.end(), [&](const auto& aItem) {
    const bool samePlace = aItem.first.worker == key.worker || aItem.second.relay == aRelay;
    return samePlace && aItem.first.bornMs > key.bornMs;
  });
  if (later != mLives.end()) {
    return nullptr;
  }
  const WorkerLife* known = find(key);
  if (known != nullptr && known->isLost) {
    return nullptr;
  }
  const bool isNew = known == nullptr;
  WorkerLife& life = mLives[key];
  if (isNew || life.fence == 0) {
    life.fence = newFence();
    if (isNew) {
      life.leaseEnd = aNow.plusMs(withDrift(mLeaseMs));
    }
    logInfo("worker found",
            { { "worker", key.worker },
              { "born", key.bornMs },
              { "relay", aRelay },
              { "pool", aReport.worker().poolName() },
              { "fence", life.fence } });
    supersede(key, aRelay, aNow);
  }
  if (life.description.draining() != aReport.worker().draining()) {
    logInfo("worker drains",
            { { "worker", key.worker }, { "draining", aReport.worker().draining() } });
  }
  life.description = aReport.worker();
  life.relay = aRelay;
  life.session = aSession;
  life.reportedAt = aNow;
  if (aReport.worker().gone() && !life.leftAt) {
    life.leftAt = aNow;
    logInfo("worker leaves", { { "worker", key.worker }, { "born", key.bornMs } });
  }
  return &life;
}

void
WorkerFleet::supersede(const LifeKey& aBy, const std::string& aRelay, MonotonicTime aNow)
{
  for (auto& [key, life] : mLives) {
    const bool samePlace = key.worker == aBy.worker || life.relay == aRelay;
    if (samePlace && key.bornMs < aBy.bornMs && !life.leftAt) {
      life.leftAt = aNow;
      logInfo("a later life has replaced a worker",
              { { "worker", key.worker }, { "born", key.bornMs }, { "by", aBy.worker } });
    }
  }
}

void
WorkerFleet::renew(WorkerLife& aLife, std::int64_t aClockMs, MonotonicTime aNow)
{
  aLife.leaseUntilMs = std::max(aLife.leaseUntilMs, aClockMs + mLeaseMs);
  aLife.leaseEnd = std::max(aLife.leaseEnd, aNow.plusMs(withDrift(mLeaseMs)));
}

WorkerLife*
WorkerFleet::find(const LifeKey& aKey)
{
  const auto position = mLives.find(aKey);
  return position == mLives.end() ? nullptr : &position->second;
}

bool
WorkerFleet::isReplaced(const LifeKey& aKey, const WorkerLife& aLife) const
{
  return std::any_of(mLives.begin(), mLives.end(), [&](const auto& aItem) {
    const bool samePlace = aItem.first.worker == aKey.worker ||
                           (!aLife.relay.empty() && aItem.second.relay == aLife.relay);
    return samePlace && aItem.first.bornMs > aKey.bornMs && aItem.second.isSynced;
  });
}

std::vector<LifeKey>
WorkerFleet::takeEnded(MonotonicTime aNow)
{
  std::vector<LifeKey> keys;
  for (auto& [key, life] : mLives) {
    const bool hasLeft =
      life.description.gone() && life.leftAt && aNow.msSince(*life.leftAt) >= kLeaveMs;
    if (life.isLost || aNow > life.leaseEnd || hasLeft || isReplaced(key, life)) {
      life.isLost = true;
      keys.push_back(key);
    }
  }
  return keys;
}

} // namespace magnoliadrum
