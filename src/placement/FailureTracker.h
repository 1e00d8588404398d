#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/**
 * Tells workers that fail everything from entries that fail everywhere.
 *
 * A worker is quarantined when it only fails, and what fails there is known to succeed elsewhere or
 * is of several entries. After the quarantine one task probes it; the next quarantine is twice as
 * long when the probe fails. An entry that failed on several workers without a success is blamed
 * itself, and its failures no longer count against workers.
 */
class FailureTracker
{
public:
  /** Takes in that a task of aEntry failed on aTarget. */
  void taskFailed(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs);
  /** Takes in that a task of aEntry made progress or completed on aTarget. */
  void taskSucceeded(std::uint32_t aTarget, std::uint32_t aEntry);
  /** Takes in that a task was placed; a worker under probation gets no second one. */
  void taskPlaced(std::uint32_t aTarget, std::int64_t aNowMs);

  /** Tells whether a worker may get a task of aEntry now. */
  bool admits(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs) const;
  bool isQuarantined(std::uint32_t aTarget, std::int64_t aNowMs) const;

  /** Failures on a worker since its last success; a reason to prefer other workers. */
  std::int64_t recentFailures(std::uint32_t aTarget) const;

  bool isFaulty(std::uint32_t aEntry) const;

  /** Returns the targets that may be probed since the last call. */
  std::vector<std::uint32_t> takeProbeTargets(std::int64_t aNowMs);

  /** Time until the next start of a task that failed aAttempts times. */
  std::int64_t retryDelayMs(std::uint32_t aTarget, std::int64_t aAttempts) const;

private:
  struct TargetHistory
  {
    std::int64_t failures = 0;
    std::vector<std::uint32_t> entries;
    std::int64_t quarantines = 0;
    std::int64_t quarantinedUntilMs = 0;
    bool onProbation = false;
    std::int64_t probeUntilMs = 0;
  };

  struct EntryHistory
  {
    bool hasSucceeded = false;
    /** Targets of failures since the last success. */
    std::vector<std::uint32_t> failedTargets;
  };

  bool shouldQuarantine(const TargetHistory& aTarget) const;
  void quarantine(TargetHistory& aTarget, std::int64_t aNowMs);

  std::unordered_map<std::uint32_t, TargetHistory> mTargets;
  std::unordered_map<std::uint32_t, EntryHistory> mEntries;
};

} // namespace magnoliadrum
