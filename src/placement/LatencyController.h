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
 * Learns interference from observations and escalates while a service is slow: throttle the batch
 * tasks that slow it down most, then move one to another worker, then evict one. Move and evict
 * choose the task whose relief most exceeds its eviction cost. Each step waits until the effect of
 * the previous one can show in delayed reports. Limits are raised only after the service was
 * recovered for some time. That time doubles with each relapse (the service becomes slow again soon
 * after limits were raised), so that delayed reports do not make the policy oscillate.
 */
class LatencyController
{
public:
  explicit LatencyController(PlacementContext& aContext)
    : mContext(aContext)
  {
  }

  /** Records the observations of a round. */
  void recordObservations(const std::vector<ServiceObservation>& aObservations);

  /** Acts on the services that were observed in this round; see the class description. */
  void enforceGoals(const WorkerSelector& aSelector);

  /** Returns the cost of another task of an entry on a worker; empty if a service gets too slow. */
  std::optional<double> placementCost(WorkerIndex aWorker, EntryIndex aEntry) const;

  /** Removes the state of sessions that ended. */
  void forgetClosedSessions();

private:
  /** Latest escalation step for a service on a worker. */
  enum class Step : std::uint8_t
  {
    eNone,
    eThrottled,
    eMoved,
    eEvicted
  };

  /** State of one service on one worker. */
  struct ControlState
  {
    /** The latency was observed in this round. */
    bool hasNewLatency = false;
    /** Exponential moving average. */
    double latencyMs = 0;
    /** Requests in the latest period relative to the peak. */
    double load = 0;
    Step step = Step::eNone;
    std::int64_t actedAtMs = 0;
    /** When the service recovered or, if later, limits were raised; -1 when not recovered. */
    std::int64_t recoveredSinceMs = -1;
    /** When limits were last raised; 0 once the service was slow again. */
    std::int64_t limitsRaisedAtMs = 0;
    /** When the worker was last marked as freed for tasks that were kept away from the service. */
    std::int64_t markedFreedAtMs = 0;
    int relapses = 0;
  };

  /** A batch task that may slow the service down. */
  struct Aggressor
  {
    TaskIndex task;
    /** Expected increase of the logarithm of the latency by the task. */
    double effect;
    /** Upper estimate of the effect: one standard deviation of the learned coefficient is added. */
    double possibleEffect;
  };

  /** Session and service. */
  using StateKey = std::pair<std::int64_t, EntryIndex>;

  void recordLatency(WorkerIndex aWorker, EntryIndex aService, double aLatencyMs, double aLoad);
  /** Returns the requests relative to the highest number seen, which decays slowly. */
  double relativeLoad(EntryIndex aService, std::int64_t aRequests);
  /** Returns the tasks that may slow a service down, largest possible effect first. */
  std::vector<Aggressor> aggressors(WorkerIndex aWorker, EntryIndex aService) const;
  /** Takes the next escalation step for a slow service. */
  void mitigate(WorkerIndex aWorker,
                EntryIndex aService,
                ControlState& aState,
                const WorkerSelector& aSelector);
  bool throttle(const std::vector<Aggressor>& aAggressors, double aReduction, ControlState& aState);
  /** Evicts one task; directly after throttling only one that fits elsewhere. */
  bool evictOne(const std::vector<Aggressor>& aAggressors,
                double aExcess,
                ControlState& aState,
                const WorkerSelector& aSelector);
  bool fitsElsewhere(TaskIndex aTask, const WorkerSelector& aSelector) const;
  /** Raises limits once a service was recovered for long enough. */
  void relaxLimits(WorkerIndex aWorker, EntryIndex aService, ControlState& aState);
  /** Returns whether any service under mitigation on a worker is not recovered yet. */
  bool hasUnrecoveredService(std::int64_t aSession) const;
  /** Predicts the latency of a service after raiseLimits(). */
  double latencyAfterRaise(WorkerIndex aWorker,
                           EntryIndex aService,
                           const ControlState& aState) const;
  /** Doubles the limits that protect services on a worker; returns whether any limit remains. */
  bool raiseLimits(WorkerIndex aWorker);
  /** Returns the share of its goal up to which a service may be slowed down by a placement. */
  double latencyMargin() const;

  PlacementContext& mContext;
  std::map<StateKey, ControlState> mStates;
  /** Highest number of requests in one observation by service, decaying slowly. */
  std::map<EntryIndex, double> mPeakRequests;
};

} // namespace magnoliadrum
