#pragma once

#include "generated/generated.h"
#include "routing/routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/** The target chosen for a request. */
struct TargetChoice
{
  std::string mTargetId;
  std::uint64_t mConnection = 0;
  /** Session of the target's agent. */
  std::int64_t mSession = 0;
  /** The request's deadline on the agent's clock. */
  Deadline mDeadline;
  /** Whether the request probes an ejected target. */
  bool mIsProbe = false;
};

/**
 * The executors known to the gateway, and which of them can get a request.
 *
 * Combines what the control leader announced (target, session, leaving), what the agents report on
 * their connections (clock, load, leaving) and the results of requests (errors, latency). A
 * connection is identified by a number that is never reused.
 */
class TargetTable
{
public:
  /** A target whose agent has sent no status for more than aSilenceMs gets no requests. */
  TargetTable(RandomEngine aEngine, std::int64_t aSilenceMs);

  /** Replaces the targets by those that the leader announced. Targets that remain keep their load
   * and their outlier statistics. */
  void setTargets(const std::vector<TargetStatus>& aTargets);

  /** Records that a connection to the agent of a target is open. It replaces an older connection of
   * the target. */
  void connectionOpened(const std::string& aTargetId, std::uint64_t aConnection);
  void connectionLost(std::uint64_t aConnection);

  void recordStatus(std::uint64_t aConnection, const AgentStatus& aStatus, MonotonicTime aNow);

  /**
   * Chooses a target of aEntry with a free slot in one of the allowed data centres, preferably one
   * that is not in aTried. Returns nothing if there is none, or if the deadline cannot be
   * translated to the clock of the agent.
   */
  std::optional<TargetChoice> choose(const CatalogueEntry& aEntry,
                                     const std::set<std::string>& aTried,
                                     Deadline aDeadline,
                                     MonotonicTime aNow);

  /** Whether a target with a free slot is available for choose(). */
  bool hasFreeTarget(const CatalogueEntry& aEntry, MonotonicTime aNow) const;

  /** Whether any target could get requests of aEntry, regardless of its load. */
  bool hasUsableTarget(const CatalogueEntry& aEntry, MonotonicTime aNow) const;

  /** Whether the agent of a target has sent no status for more than the time given to the
   * constructor. */
  bool isSilent(const std::string& aTargetId, MonotonicTime aNow) const;

  /** Counts a request as in progress on the chosen target until endAttempt(). */
  void beginAttempt(const TargetChoice& aChoice);

  /** Ends the count of beginAttempt(): neither the target nor its connection holds the request any
   * longer. */
  void endAttempt(const std::string& aTargetId);

  /** Records the number of requests in progress that the target reported. */
  void recordLoad(const std::string& aTargetId, std::int64_t aOutstanding, MonotonicTime aNow);

  void recordResponse(const std::string& aTargetId,
                      bool aSuccess,
                      std::int64_t aLatencyMs,
                      MonotonicTime aNow);
  void recordTimeout(const std::string& aTargetId, std::int64_t aElapsedMs, MonotonicTime aNow);

  /** Records that an agent refused a request. Depending on the reason, the request counts as a
   * failure, or the target counts as full or is suspended. */
  void recordRefusal(const std::string& aTargetId, RefusalReason aReason, MonotonicTime aNow);

  /** Sends no requests to the target until the next status of its agent. */
  void suspend(const std::string& aTargetId);

  /** Number of targets of an entry that are currently ejected. */
  std::size_t ejectedCount(const std::string& aEntryName) const;

  /** Number of targets of an entry that the leader announced. */
  std::size_t targetCount(const std::string& aEntryName) const;

private:
  struct Target
  {
    TargetDescription mDescription;
    std::int64_t mSession = 0;
    bool mAnnounced = false;
    bool mLeaving = false;
    std::uint64_t mConnection = 0;
    std::optional<AgentStatus> mStatus;
    MonotonicTime mStatusReceivedAt;
    bool mSuspended = false;
    TargetLoad mLoad;
    ClockOffset mClockOffset;
  };

  struct EntryTargets
  {
    std::vector<std::string> mTargetIds;
    OutlierDetector mOutlierDetector;
  };

  bool isSilent(const Target& aTarget, MonotonicTime aNow) const;
  bool isUsable(const Target& aTarget, const CatalogueEntry& aEntry, MonotonicTime aNow) const;
  std::vector<std::string> freeTargets(const CatalogueEntry& aEntry, MonotonicTime aNow) const;
  OutlierDetector* findOutlierDetector(const std::string& aTargetId);
  void removeUnusedTargets();

  std::int64_t mSilenceMs;
  TargetSelector<LeastRelativeLoadOfTwo> mSelector;
  std::map<std::string, Target> mTargets;
  std::map<std::string, EntryTargets> mEntries;
  std::map<std::uint64_t, std::string> mTargetIdByConnection;
};

} // namespace magnoliadrum
