#include "placement/PlacementEngine.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/** Makes any worker without recent failures preferable, but below the cost of wasted accelerators.
 */
constexpr double kRecentFailureCost = 50;

/** Between -1 when only tail latency counts (spread) and 1 when only throughput counts (fill). */
double
packingOf(const PolicySettings& aSettings)
{
  const double total = aSettings.throughputWeight() + aSettings.tailLatencyWeight();
  return total > 0 ? (aSettings.throughputWeight() - aSettings.tailLatencyWeight()) / total : 0;
}

} // namespace

PlacementEngine::PlacementEngine(PlacementOptions aOptions, std::mt19937_64 aRandom)
  : mContext(std::move(aOptions), aRandom)
  , mGuard(mContext)
  , mSelector(
      mContext.ledger,
      packingOf(mContext.options.settings),
      [this](WorkerIndex aWorker, EntryIndex aEntry) { return workerCost(aWorker, aEntry); })
  , mPlacer(mContext, mSelector)
  , mRoomMaker(mContext, mSelector)
  , mIntake(mContext, mPlacer)
{
}

std::vector<PlacementDecision>
PlacementEngine::decide(const PlacementView& aView, MonotonicTime aNow)
{
  mContext.nowMs = aNow.ms();
  mContext.decisions.clear();
  mIntake.takeIn(aView);
  mIntake.repeatUnconfirmed();
  mContext.waiting.wake(mContext.nowMs);
  if (mContext.topologyChanged) {
    mGuard.forgetClosedSessions();
  }
  mGuard.observe(aView.services);
  releaseProbes();
  mPlacer.reconsiderParked();
  mPlacer.dropHolds();
  if (mContext.options.react) {
    mRoomMaker.keepCapacity();
    mGuard.act(mSelector);
  }
  mPlacer.placeWaiting();
  if (mContext.options.react) {
    mRoomMaker.makeRoomFor(mPlacer.unplacedImportant(), mPlacer);
    mRoomMaker.emptyDraining();
  }
  return std::exchange(mContext.decisions, {});
}

std::optional<double>
PlacementEngine::workerCost(WorkerIndex aWorker, EntryIndex aEntry) const
{
  const std::uint32_t target = mContext.ledger.worker(aWorker).targetName;
  if (!mContext.failures.admits(target, aEntry, mContext.nowMs)) {
    return std::nullopt;
  }
  const std::optional<double> interference = mGuard.placementCost(aWorker, aEntry);
  if (!interference) {
    return std::nullopt;
  }
  return *interference +
         kRecentFailureCost * static_cast<double>(mContext.failures.recentFailures(target));
}

void
PlacementEngine::releaseProbes()
{
  const std::vector<std::uint32_t> probes = mContext.failures.takeProbes(mContext.nowMs);
  if (probes.empty()) {
    return;
  }
  for (WorkerIndex i = 0; i < mContext.ledger.workers().size(); ++i) {
    const WorkerAccount& worker = mContext.ledger.worker(i);
    if (worker.open && std::find(probes.begin(), probes.end(), worker.targetName) != probes.end()) {
      mContext.ledger.markFreed(i);
    }
  }
}

std::size_t
PlacementEngine::bytes() const
{
  return mContext.ledger.bytes() + mContext.waiting.bytes() + mContext.interference.bytes();
}

} // namespace magnoliadrum
