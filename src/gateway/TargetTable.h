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

/** A target that was chosen for a request. */
struct TargetChoice
{
  std::string mTargetId;
  std::uint64_t mConnection = 0;
  /** Session of the target's agent. */
  std::int64_t mSession = 0;
  /** The request's deadline on the agent's clock. */
  Deadline mDeadline;
  /** The request is the probe of an ejected target. */
  bool mIsProbe = false;
};

/**
 * The executors that the gateway knows, and which of them can get a request.
 *
 * Combines what the control leader announced (target, session, leaving), what the agents report on
 * their connections (clock, load, leaving) and what the requests showed (errors, latency). A
 * connection is known by a number that is never reused.
 */
class TargetTable
{
public:
  /** A target whose agent sent no status for aSilenceMs gets no requests. */
  TargetTable(RandomEngine aEngine, std::int64_t aSilenceMs);

  /** Sets the table that the leader announced. Targets that stay keep their load and their record.
   */
  void setTargets(const std::vector<TargetStatus>& aTargets);

  /** The connection to the agent of a target is open. An older connection of the target is not used
   * any more. */
  void connectionOpened(const std::string& aTargetId, std::uint64_t aConnection);
  void connectionLost(std::uint64_t aConnection);

  void recordStatus(std::uint64_t aConnection, const AgentStatus& aStatus, MonotonicTime aNow);

  /**
   * Chooses a target of aEntry in its allowed data centres with a free slot, preferably not one of
   * aTried. Returns nothing when there is none.
   */
  std::optional<TargetChoice> choose(const CatalogueEntry& aEntry,
                                     const std::set<std::string>& aTried,
                                     Deadline aDeadline,
                                     MonotonicTime aNow);

  /** Whether choose() would return a target. */
  bool hasFreeTarget(const CatalogueEntry& aEntry, MonotonicTime aNow) const;

  /** Whether any target could get requests of aEntry, leaving its load aside. */
  bool hasUsableTarget(const CatalogueEntry& aEntry, MonotonicTime aNow) const;

  /** Whether the agent of a target has sent no status for too long. */
  bool isSilent(const std::string& aTargetId, MonotonicTime aNow) const;

  /** Counts a request on the chosen target until endAttempt(). */
  void beginAttempt(const TargetChoice& aChoice);

  /** The target or its connection will not hold the request any more. */
  void endAttempt(const std::string& aTargetId);

  /** Takes the target's own count of its requests. */
  void recordLoad(const std::string& aTargetId, std::int64_t aOutstanding, MonotonicTime aNow);

  void recordResponse(const std::string& aTargetId,
                      bool aSuccess,
                      std::int64_t aLatencyMs,
                      MonotonicTime aNow);
  void recordTimeout(const std::string& aTargetId, std::int64_t aElapsedMs, MonotonicTime aNow);

  /** Takes the reason for which an agent refused a request. */
  void recordRefusal(const std::string& aTargetId, RefusalReason aReason, MonotonicTime aNow);

  /** The target gets no requests until the next status of its agent. */
  void suspend(const std::string& aTargetId);

  /** Targets of an entry that are ejected at the moment. */
  std::size_t ejectedCount(const std::string& aEntryName) const;

  /** Targets of an entry that the leader announced. */
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
