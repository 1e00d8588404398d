#pragma once

#include "placement/PlacementContext.h"
#include "placement/WorkerSelector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace magnoliadrum {

/**
 * Keeps services within their latency goals.
 *
 * Learns interference from observations and acts on a slow service in steps: throttle the batch
 * tasks that slow it down most, then move one, then evict the cheapest. Each step waits until the
 * effect of the last one can show in delayed reports. Limits are lifted only after a calm time that
 * doubles each time the service becomes slow again soon after a lift, so a delayed signal does not
 * make the policy oscillate.
 */
class LatencyController
{
public:
  explicit LatencyController(PlacementContext& aContext)
    : mContext(aContext)
  {
  }

  /** Takes in the observations of a round. */
  void recordObservations(const std::vector<ServiceObservation>& aObservations);

  /** Acts on the services that were observed in this round. */
  void enforceGoals(const WorkerSelector& aSelector);

  /** Cost of one more task of an entry on a worker; nothing when a service would get too slow. */
  std::optional<double> placementCost(WorkerIndex aWorker, EntryIndex aEntry) const;

  /** Drops what is known about a session that ended. */
  void forgetClosedSessions();

private:
  enum class Step : std::uint8_t
  {
    eNone,
    eThrottled,
    eMoved,
    eEvicted
  };

  struct ControlState
  {
    bool isNew = false;
    double latencyMs = 0;
    double load = 0;
    Step step = Step::eNone;
    std::int64_t actedAtMs = 0;
    std::int64_t recoveredSinceMs = -1;
    std::int64_t raisedAtMs = 0;
    /** When the worker was last offered to tasks that did not fit beside the service. */
    std::int64_t markedFreedAtMs = 0;
    int relapses = 0;
  };

  struct Aggressor
  {
    TaskIndex task;
    /** Logarithm of the latency that the task is expected to add. */
    double effect;
    /** The same with the uncertainty of what was learned added. */
    double possibleEffect;
  };

  using StateKey = std::pair<std::int64_t, EntryIndex>;

  void recordLatency(WorkerIndex aWorker, EntryIndex aService, double aLatencyMs, double aLoad);
  double relativeLoad(EntryIndex aService, std::int64_t aRequests);
  std::vector<Aggressor> aggressors(WorkerIndex aWorker, EntryIndex aService) const;
  void mitigate(WorkerIndex aWorker,
                EntryIndex aService,
                ControlState& aState,
                const WorkerSelector& aSelector);
  bool throttle(const std::vector<Aggressor>& aAggressors, double aReduction, ControlState& aState);
  bool evictOne(const std::vector<Aggressor>& aAggressors,
                double aExcess,
                ControlState& aState,
                const WorkerSelector& aSelector);
  bool fitsElsewhere(TaskIndex aTask, const WorkerSelector& aSelector) const;
  void relaxLimits(WorkerIndex aWorker, EntryIndex aService, ControlState& aState);
  /** Tells whether limits on a worker still help a service that is not calm yet. */
  bool hasUnrecoveredService(std::int64_t aSession) const;
  double latencyAfterRaise(WorkerIndex aWorker,
                           EntryIndex aService,
                           const ControlState& aState) const;
  /** Doubles the limits on a worker; returns whether any limit remains. */
  bool raiseLimits(WorkerIndex aWorker);
  double latencyMargin() const;

  PlacementContext& mContext;
  std::map<StateKey, ControlState> mStates;
  /** Most requests in one observation, by service. */
  std::map<EntryIndex, double> mPeakRequests;
};

} // namespace magnoliadrum
