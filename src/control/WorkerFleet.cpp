#include "control/WorkerFleet.h"

#include "observability/observability.h"
#include "state/BuildValue.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** The upper bits of a fence hold the term and the lower 24 bits a counter within the term. */
constexpr std::int64_t kFencesPerTerm = std::int64_t{ 1 } << 24U;

std::int64_t
withClockTolerance(std::int64_t aMs)
{
  return static_cast<std::int64_t>(static_cast<double>(aMs) * (1 + WorkerFleet::kMaxClockDrift)) +
         WorkerFleet::kLeaseMarginMs;
}

} // namespace

const char*
toText(CrashEvidence aEvidence)
{
  switch (aEvidence) {
    case CrashEvidence::eRelayReport:
      return "relay-report";
    case CrashEvidence::eLaterIncarnation:
      return "later-incarnation";
  }
  return "unknown";
}

std::map<std::string, CrashSuspect>
crashSuspectsOf(const CrashSuspects& aReported)
{
  std::map<std::string, CrashSuspect> runs;
  for (const SuspectedRun& run : aReported.runs()) {
    runs[run.task()] = { .run = run.run(),
                         .hasBegun = run.begun(),
                         .ranMs = run.ranMs(),
                         .percent = run.percent(),
                         .listAgeMs = aReported.listAgeMs(),
                         .isWitnessed = aReported.certain() };
  }
  return runs;
}

void
WorkerFleet::startTerm(const std::map<IncarnationKey, std::string>& aRelays,
                       std::int64_t aTerm,
                       MonotonicTime aRenewedAt,
                       MonotonicTime aNow)
{
  mIncarnations.clear();
  mTermStartedAt = aNow;
  mIsUnreportedTaken = false;
  mTerm = aTerm;
  mIssuedFences = 0;
  for (const auto& [key, relay] : aRelays) {
    WorkerIncarnation incarnation;
    incarnation.relay = relay;
    incarnation.description = buildValue<WorkerDescription>(
      { .workerId = key.worker, .bornMs = key.startedAtMs, .poolName = "unknown" });
    incarnation.leaseExpiresAt = aRenewedAt.plusMs(withClockTolerance(mLeaseMs));
    mIncarnations.emplace(key, std::move(incarnation));
  }
}

std::int64_t
WorkerFleet::nextFence()
{
  mIssuedFences++;
  return mTerm * kFencesPerTerm + mIssuedFences;
}

WorkerIncarnation*
WorkerFleet::handleReport(const WorkerReport& aReport,
                          const std::string& aRelay,
                          std::int64_t aSession,
                          MonotonicTime aNow)
{
  const IncarnationKey key{ aReport.worker().workerId(), aReport.worker().bornMs() };
  const auto successor =
    std::find_if(mIncarnations.begin(), mIncarnations.end(), [&](const auto& aItem) {
      const bool isSameWorkerOrRelay =
        aItem.first.worker == key.worker || aItem.second.relay == aRelay;
      return isSameWorkerOrRelay && aItem.first.startedAtMs > key.startedAtMs;
    });
  if (successor != mIncarnations.end()) {
    return nullptr;
  }
  const WorkerIncarnation* known = find(key);
  if (known != nullptr && known->isLost) {
    return nullptr;
  }
  const bool isNew = known == nullptr;
  WorkerIncarnation& incarnation = mIncarnations[key];
  if (isNew || incarnation.fence == 0) {
    incarnation.fence = nextFence();
    if (isNew) {
      incarnation.leaseExpiresAt = aNow.plusMs(withClockTolerance(mLeaseMs));
    }
    logInfo("worker registered",
            { { "worker", key.worker },
              { "born", key.startedAtMs },
              { "relay", aRelay },
              { "pool", aReport.worker().poolName() },
              { "fence", incarnation.fence } });
    markSuperseded(key, aRelay, aNow);
  }
  if (incarnation.description.draining() != aReport.worker().draining()) {
    logInfo("worker draining state changed",
            { { "worker", key.worker }, { "draining", aReport.worker().draining() } });
  }
  incarnation.description = aReport.worker();
  incarnation.relay = aRelay;
  incarnation.relaySession = aSession;
  incarnation.crashSuspects.reset();
  incarnation.reportedAt = aNow;
  incarnation.isUnreachable = aReport.unreachable();
  if (aReport.worker().gone() && !incarnation.leftAt) {
    incarnation.leftAt = aNow.plusMs(-aReport.goneForMs());
    logInfo("worker announced its shutdown",
            { { "worker", key.worker },
              { "born", key.startedAtMs },
              { "goneForMs", aReport.goneForMs() } });
  }
  return &incarnation;
}

void
WorkerFleet::markSuperseded(const IncarnationKey& aSuccessor,
                            const std::string& aRelay,
                            MonotonicTime aNow)
{
  for (auto& [key, incarnation] : mIncarnations) {
    const bool isSameWorkerOrRelay = key.worker == aSuccessor.worker || incarnation.relay == aRelay;
    if (isSameWorkerOrRelay && key.startedAtMs < aSuccessor.startedAtMs && !incarnation.leftAt) {
      incarnation.leftAt = aNow;
      logInfo(
        "worker superseded by a later incarnation",
        { { "worker", key.worker }, { "born", key.startedAtMs }, { "by", aSuccessor.worker } });
    }
  }
}

void
WorkerFleet::setCrashSuspects(const std::vector<CrashSuspects>& aSuspects)
{
  for (const CrashSuspects& suspects : aSuspects) {
    WorkerIncarnation* incarnation = find({ suspects.worker(), suspects.bornMs() });
    if (incarnation == nullptr) {
      continue;
    }
    incarnation->crashSuspects = crashSuspectsOf(suspects);
  }
}

void
WorkerFleet::renewLease(WorkerIncarnation& aIncarnation, std::int64_t aClockMs, MonotonicTime aNow)
{
  aIncarnation.leaseUntilMs = std::max(aIncarnation.leaseUntilMs, aClockMs + mLeaseMs);
  aIncarnation.leaseExpiresAt =
    std::max(aIncarnation.leaseExpiresAt, aNow.plusMs(withClockTolerance(mLeaseMs)));
}

WorkerIncarnation*
WorkerFleet::find(const IncarnationKey& aKey)
{
  const auto position = mIncarnations.find(aKey);
  return position == mIncarnations.end() ? nullptr : &position->second;
}

const WorkerIncarnation*
WorkerFleet::find(const IncarnationKey& aKey) const
{
  const auto position = mIncarnations.find(aKey);
  return position == mIncarnations.end() ? nullptr : &position->second;
}

bool
WorkerFleet::isSuperseded(const IncarnationKey& aKey, const WorkerIncarnation& aIncarnation) const
{
  return std::any_of(mIncarnations.begin(), mIncarnations.end(), [&](const auto& aItem) {
    const bool isSameWorkerOrRelay =
      aItem.first.worker == aKey.worker ||
      (!aIncarnation.relay.empty() && aItem.second.relay == aIncarnation.relay);
    return isSameWorkerOrRelay && aItem.first.startedAtMs > aKey.startedAtMs &&
           aItem.second.isSynced;
  });
}

std::vector<IncarnationKey>
WorkerFleet::markLost(MonotonicTime aNow)
{
  std::vector<IncarnationKey> keys;
  for (auto& [key, incarnation] : mIncarnations) {
    const bool isGraceOver = incarnation.description.gone() && incarnation.leftAt &&
                             aNow.msSince(*incarnation.leftAt) >= kShutdownGraceMs;
    if (incarnation.isLost || aNow > incarnation.leaseExpiresAt || isGraceOver ||
        isSuperseded(key, incarnation)) {
      incarnation.isLost = true;
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<UnreportedIncarnation>
WorkerFleet::takeUnreported(MonotonicTime aNow)
{
  std::vector<UnreportedIncarnation> unreported;
  if (mIsUnreportedTaken || aNow.msSince(mTermStartedAt) < kUnreportedAfterMs) {
    return unreported;
  }
  mIsUnreportedTaken = true;
  // Only incarnations that the leader took over from the log have no session of a relay.
  for (const auto& [key, incarnation] : mIncarnations) {
    if (incarnation.relaySession == 0) {
      unreported.push_back({ .key = key,
                             .relay = incarnation.relay,
                             .leaseLeftMs = incarnation.leaseExpiresAt.msSince(aNow) });
    }
  }
  return unreported;
}

bool
WorkerFleet::hasLeft(const IncarnationKey& aKey) const
{
  const WorkerIncarnation* incarnation = find(aKey);
  return incarnation == nullptr || incarnation->isLost || incarnation->leftAt;
}

std::int64_t
WorkerFleet::silentMs(const IncarnationKey& aKey, MonotonicTime aNow) const
{
  const WorkerIncarnation* incarnation = find(aKey);
  const bool hasReported = incarnation != nullptr && incarnation->relaySession != 0;
  return aNow.msSince(hasReported ? incarnation->reportedAt : mTermStartedAt);
}

} // namespace magnoliadrum
