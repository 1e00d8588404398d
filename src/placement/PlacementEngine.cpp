#include "placement/PlacementEngine.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/**
 * Cost of one recent failure. Makes any worker without recent failures preferable, but costs less
 * than wasting an accelerator.
 */
constexpr double kRecentFailureCost = 50;

/** Returns -1 (spread) when only tail latency counts up to 1 (pack) when only throughput counts. */
double
packingOf(const PolicySettings& aSettings)
{
  const double total = aSettings.throughputWeight() + aSettings.tailLatencyWeight();
  return total > 0 ? (aSettings.throughputWeight() - aSettings.tailLatencyWeight()) / total : 0;
}

} // namespace

PlacementEngine::PlacementEngine(PlacementOptions aOptions, std::mt19937_64 aRandom)
  : mContext(std::move(aOptions), aRandom)
  , mLatencyController(mContext)
  , mSelector(
      mContext.cluster,
      packingOf(mContext.options.settings),
      [this](WorkerIndex aWorker, EntryIndex aEntry) { return workerCost(aWorker, aEntry); })
  , mPlacer(mContext, mSelector)
  , mCapacityController(mContext, mSelector)
  , mViewProcessor(mContext, mPlacer)
{
}

std::vector<PlacementDecision>
PlacementEngine::decide(const PlacementView& aView, MonotonicTime aNow)
{
  mContext.nowMs = aNow.ms();
  mContext.decisions.clear();
  mViewProcessor.apply(aView);
  mViewProcessor.expireUnconfirmed();
  mContext.waiting.enqueueDue(mContext.nowMs);
  if (mContext.topologyChanged) {
    mLatencyController.forgetClosedSessions();
  }
  mLatencyController.recordObservations(aView.services);
  markProbeTargetsFreed();
  mPlacer.reconsiderParked();
  mPlacer.releaseHolds();
  if (mContext.options.throttleAndEvict) {
    mCapacityController.enforceCapacity();
    mLatencyController.enforceGoals(mSelector);
  }
  mPlacer.placeWaiting();
  if (mContext.options.throttleAndEvict) {
    mCapacityController.preemptFor(mPlacer.unplacedPriorityGroups(), mPlacer);
    mCapacityController.drainWorkers();
  }
  return std::exchange(mContext.decisions, {});
}

std::optional<double>
PlacementEngine::workerCost(WorkerIndex aWorker, EntryIndex aEntry) const
{
  const std::uint32_t target = mContext.cluster.worker(aWorker).targetName;
  if (!mContext.failures.admits(target, aEntry, mContext.nowMs)) {
    return std::nullopt;
  }
  const std::optional<double> interference = mLatencyController.placementCost(aWorker, aEntry);
  if (!interference) {
    return std::nullopt;
  }
  return *interference +
         kRecentFailureCost * static_cast<double>(mContext.failures.recentFailures(target));
}

void
PlacementEngine::markProbeTargetsFreed()
{
  const std::vector<std::uint32_t> probes = mContext.failures.takeProbeTargets(mContext.nowMs);
  if (probes.empty()) {
    return;
  }
  for (WorkerIndex i = 0; i < mContext.cluster.workers().size(); ++i) {
    const WorkerInfo& worker = mContext.cluster.worker(i);
    if (worker.open && std::find(probes.begin(), probes.end(), worker.targetName) != probes.end()) {
      mContext.cluster.markFreed(i);
    }
  }
}

std::size_t
PlacementEngine::bytes() const
{
  return mContext.cluster.bytes() + mContext.waiting.bytes() + mContext.interference.bytes();
}

} // namespace magnoliadrum
