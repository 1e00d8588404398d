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

/**
 * Identifies one incarnation of a worker. After a restart the same worker id holds none of its
 * earlier runs.
 */
struct IncarnationKey
{
  std::string worker;
  std::int64_t startedAtMs = 0;

  friend auto operator<=>(const IncarnationKey&, const IncarnationKey&) = default;
};

/** Why a run that has lapsed is taken for the possible cause of a crash. */
enum class CrashEvidence
{
  eRelayReport, /**< The relay has seen that the worker refuses connections, or its successor. */
  eLaterIncarnation /**< A later incarnation has reported, and the relay names no runs. */
};

const char*
toText(CrashEvidence aEvidence);

/** A run that may have crashed its worker. */
struct CrashSuspect
{
  std::int64_t run = 0;
  /** The worker has accepted or listed the run. */
  bool hasBegun = false;
  /** Time from its start to the crash in ms. */
  std::int64_t ranMs = 0;
  /** Progress in the worker's last lists, and their age at the crash in ms. */
  double percent = 0;
  std::int64_t listAgeMs = 0;
  /** The relay saw the crash shortly after the lists, so no run but the suspects is the cause. */
  bool isWitnessed = false;
  CrashEvidence evidence = CrashEvidence::eRelayReport;

  friend bool operator==(const CrashSuspect&, const CrashSuspect&) = default;
};

/** Returns the runs that a relay names for a crash, by task name. */
std::map<std::string, CrashSuspect>
crashSuspectsOf(const CrashSuspects& aReported);

/** What the leader knows about one incarnation of a worker. Kept in memory for one leadership only.
 */
struct WorkerIncarnation
{
  WorkerDescription description;
  /** Process id of the worker's relay. Until the first report it comes from the log and may be
   * empty. */
  std::string relay;
  /** Session of that relay; 0 until the first report. */
  std::int64_t relaySession = 0;
  /** Fencing token of this leader's orders to this incarnation; 0 until the first report. */
  std::int64_t fence = 0;
  /** The worker has sent its lists under the fence, so orders with a lower fence no longer take
   * effect. */
  bool isSynced = false;
  /** The latest lists name a run that the log does not place on this incarnation. It takes capacity
   * that the leader does not count. */
  bool hasUnassignedRuns = false;
  /** Worker's clock at its latest lists. */
  std::int64_t listClockMs = 0;
  /** End of the lease by the worker's clock. */
  std::int64_t leaseUntilMs = 0;
  /** End of the lease by this leader's clock. It allows for clock drift, so the worker's lease has
   * ended before. */
  MonotonicTime leaseExpiresAt;
  MonotonicTime reportedAt;
  /** The worker's process accepts no connections, as its relay has reported. */
  bool isUnreachable = false;
  /** Run ends up to this number are committed. */
  std::int64_t ackedEnds = 0;
  /** Run ends up to this number are proposed. */
  std::int64_t proposedEnds = 0;
  /** When the worker announced its shutdown or a later incarnation of the worker, or at its relay,
   * first reported. */
  std::optional<MonotonicTime> leftAt;
  /** Runs that may have crashed the incarnation, by task name. Empty optional until its relay has
   * named them. */
  std::optional<std::map<std::string, CrashSuspect>> crashSuspects;
  /** All runs of the incarnation have ended. It is kept until their ends are committed; a report
   * after that adds it again with a higher fence. */
  bool isLost = false;
  InterferenceGuard::State guardState;

  /** A worker without a report for this long gets no new runs. Workers report four times a second.
   */
  static constexpr std::int64_t kReportTimeoutMs = 1000;

  /** Whether the incarnation has announced that it leaves. */
  bool isLeaving() const { return description.draining() || description.gone(); }

  /** Whether orders to start, stop or pace assigned runs may be sent. */
  bool canReceiveOrders() const { return isSynced && !leftAt && !isLost; }

  /** Whether new runs may be assigned. */
  bool canAcceptRuns(MonotonicTime aNow) const
  {
    return canReceiveOrders() && !hasUnassignedRuns && !isUnreachable && !description.draining() &&
           !description.gone() && aNow.msSince(reportedAt) < kReportTimeoutMs;
  }
};

/** An incarnation that a new leader took over with runs and that no relay has reported to it. */
struct UnreportedIncarnation
{
  IncarnationKey key;
  /** Its relay by the log; may be empty. */
  std::string relay;
  /** Time until its runs are taken for ended, in ms. */
  std::int64_t leaseLeftMs = 0;

  friend bool operator==(const UnreportedIncarnation&, const UnreportedIncarnation&) = default;
};

/**
 * Keeps the incarnations of all workers and the leases that this leader grants them.
 *
 * A lease ends at a time of the worker's clock: the clock reading in a report plus the lease
 * duration. The leader counts the same lease from its reply, which is later than the reading, and
 * allows for a slow worker clock. It therefore considers the lease expired only after the worker
 * does.
 */
class WorkerFleet
{
public:
  /** Largest relative difference of two clock rates; twice the value that the platform states. */
  static constexpr double kMaxClockDrift = 0.04;
  /** Margin for rounding and delayed timers. */
  static constexpr std::int64_t kLeaseMarginMs = 200;
  /** Time from a worker's notice that it exits until it is lost. */
  static constexpr std::int64_t kShutdownGraceMs = 500;
  /** Relays report four times a second. One that has found the new leader has reported by this time
   * of the leadership, in ms. */
  static constexpr std::int64_t kUnreportedAfterMs = 2000;

  explicit WorkerFleet(std::int64_t aLeaseMs)
    : mLeaseMs(aLeaseMs)
  {
  }

  /**
   * Starts a leadership at aNow with the incarnations that hold runs, each with the id of its
   * relay. The leases that they may have of the previous leader count as renewed at aRenewedAt.
   */
  void startTerm(const std::map<IncarnationKey, std::string>& aRelays,
                 std::int64_t aTerm,
                 MonotonicTime aRenewedAt,
                 MonotonicTime aNow);
  void endTerm() { mIncarnations.clear(); }

  /**
   * Records a report and returns the incarnation that sent it. Returns null when a later
   * incarnation has replaced it, or when it is lost and not removed yet.
   */
  WorkerIncarnation* handleReport(const WorkerReport& aReport,
                                  const std::string& aRelay,
                                  std::int64_t aSession,
                                  MonotonicTime aNow);

  /** Replaces the crash suspects of the incarnations that a report names and that are known. */
  void setCrashSuspects(const std::vector<CrashSuspects>& aSuspects);

  /** Extends the lease of an incarnation that reported aClockMs and is answered at aNow. */
  void renewLease(WorkerIncarnation& aIncarnation, std::int64_t aClockMs, MonotonicTime aNow);

  WorkerIncarnation* find(const IncarnationKey& aKey);
  const WorkerIncarnation* find(const IncarnationKey& aKey) const;
  std::map<IncarnationKey, WorkerIncarnation>& incarnations() { return mIncarnations; }
  const std::map<IncarnationKey, WorkerIncarnation>& incarnations() const { return mIncarnations; }
  std::size_t size() const { return mIncarnations.size(); }

  /**
   * Marks the incarnations whose runs have ended as lost, so that they get no further orders, and
   * returns all lost ones. Runs end when the lease expires, the time for a shutdown is over or a
   * later incarnation has sent its lists.
   */
  std::vector<IncarnationKey> markLost(MonotonicTime aNow);

  void remove(const IncarnationKey& aKey) { mIncarnations.erase(aKey); }

  /** Returns, once in a leadership and kUnreportedAfterMs after its start, the incarnations with
   * runs that no relay has reported since; empty at all other times. */
  std::vector<UnreportedIncarnation> takeUnreported(MonotonicTime aNow);

  /** Whether the incarnation is known to have left, so that none of its runs is at work. */
  bool hasLeft(const IncarnationKey& aKey) const;

  /** Time in ms since the latest report of the incarnation, or since the start of the leadership if
   * there was none in it. */
  std::int64_t silentMs(const IncarnationKey& aKey, MonotonicTime aNow) const;

private:
  void markSuperseded(const IncarnationKey& aSuccessor,
                      const std::string& aRelay,
                      MonotonicTime aNow);
  bool isSuperseded(const IncarnationKey& aKey, const WorkerIncarnation& aIncarnation) const;
  std::int64_t nextFence();

  std::int64_t mLeaseMs;
  std::int64_t mTerm = 0;
  std::int64_t mIssuedFences = 0;
  MonotonicTime mTermStartedAt;
  bool mIsUnreportedTaken = false;
  std::map<IncarnationKey, WorkerIncarnation> mIncarnations;
};

} // namespace magnoliadrum
