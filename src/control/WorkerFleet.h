#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "jobs/jobs.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Names one life of a worker: the same id may come back with nothing of what it held. */
struct IncarnationKey
{
  std::string worker;
  std::int64_t bornMs = 0;

  friend auto operator<=>(const IncarnationKey&, const IncarnationKey&) = default;
};

/** One life of a worker as the leader knows it. Lost with the leadership. */
struct WorkerIncarnation
{
  WorkerDescription description;
  /** Process id of the relay beside the worker; empty until this leader has heard from it. */
  std::string relay;
  /** Session of that relay. */
  std::int64_t relaySession = 0;
  /** Fence of this leader's orders to this life. */
  std::int64_t fence = 0;
  /** The worker has given its lists under the fence, so no older order takes effect any more. */
  bool isSynced = false;
  /** Worker's clock at its latest list. */
  std::int64_t listClockMs = 0;
  /** End of the lease on the worker's clock. */
  std::int64_t leaseUntilMs = 0;
  /** From then on the lease is surely over. */
  MonotonicTime leaseExpiresAt;
  MonotonicTime reportedAt;
  /** Ends up to this number are in the log. */
  std::int64_t ackedEnds = 0;
  /** Ends up to this number are proposed. */
  std::int64_t proposedEnds = 0;
  /** Set when the worker has said that it ends, or a later life is at its place. */
  std::optional<MonotonicTime> leftAt;
  /** The lease is surely over. The life is kept only until the ends of its runs are in the log;
   * when the worker reports again, it is another life with a higher fence. */
  bool isLost = false;
  DisturbanceGuard::State guardState;
  /** Runs that failed here since a run ended well. */
  std::int64_t consecutiveFailures = 0;

  /** A worker that has not reported for this long gets no new run; it reports four times a second.
   */
  static constexpr std::int64_t kReportTimeoutMs = 1000;

  /** Whether orders may be sent to it. */
  bool canReceiveOrders() const { return isSynced && !leftAt && !isLost; }

  /** Whether runs may be assigned to it. */
  bool canAcceptRuns(MonotonicTime aNow) const
  {
    return canReceiveOrders() && !description.draining() && !description.gone() &&
           aNow.msSince(reportedAt) < kReportTimeoutMs;
  }
};

/**
 * The lives of all workers and the leases that this leader gives them.
 *
 * A lease is a point on the worker's own clock: the worker's reading in a report plus the length of
 * a lease. The leader's own record starts when it replies, which is later, and allows for a slow
 * clock, so it always ends after the worker's.
 */
class WorkerFleet
{
public:
  /** Rates of two clocks differ by at most this share; twice what the platform states. */
  static constexpr double kMaxClockDrift = 0.04;
  /** Added for rounding and for delayed timers. */
  static constexpr std::int64_t kLeaseMarginMs = 200;
  /** A worker that said that it ends gets this long for it. */
  static constexpr std::int64_t kShutdownGraceMs = 500;

  explicit WorkerFleet(std::int64_t aLeaseMs)
    : mLeaseMs(aLeaseMs)
  {
  }

  /**
   * Starts a leadership with the places (relays) of the lives that hold runs. They may have a lease
   * of the predecessor, which could renew them until one election timeout after aElectedAt.
   */
  void startTerm(const std::map<IncarnationKey, std::string>& aRelays,
                 std::int64_t aTerm,
                 MonotonicTime aElectedAt,
                 std::int64_t aElectionTimeoutMs);
  void endTerm() { mIncarnations.clear(); }

  /**
   * Takes a report. Returns the life, or null when the report is of a life that a later one has
   * replaced, or that is lost and not forgotten yet.
   */
  WorkerIncarnation* handleReport(const WorkerReport& aReport,
                                  const std::string& aRelay,
                                  std::int64_t aSession,
                                  MonotonicTime aNow);

  /** Extends the lease of a life that reported aClockMs, with an order that is sent at aNow. */
  void renewLease(WorkerIncarnation& aIncarnation, std::int64_t aClockMs, MonotonicTime aNow);

  WorkerIncarnation* find(const IncarnationKey& aKey);
  std::map<IncarnationKey, WorkerIncarnation>& incarnations() { return mIncarnations; }
  std::size_t size() const { return mIncarnations.size(); }

  /**
   * Lives whose runs have surely ended: the lease is over, or a later life has taken over. They are
   * marked as lost and take no further order.
   */
  std::vector<IncarnationKey> markLost(MonotonicTime aNow);

  void remove(const IncarnationKey& aKey) { mIncarnations.erase(aKey); }

private:
  void markSuperseded(const IncarnationKey& aSuccessor,
                      const std::string& aRelay,
                      MonotonicTime aNow);
  bool isSuperseded(const IncarnationKey& aKey, const WorkerIncarnation& aIncarnation) const;
  std::int64_t nextFence();

  std::int64_t mLeaseMs;
  std::int64_t mTerm = 0;
  std::int64_t mIssuedFences = 0;
  std::map<IncarnationKey, WorkerIncarnation> mIncarnations;
};

} // namespace magnoliadrum
