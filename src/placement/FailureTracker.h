#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace magnoliadrum {

/**
 * Distinguishes faulty workers from faulty entries.
 *
 * A worker is quarantined after several failures without a success if the failed tasks belong to
 * several entries or to an entry that has succeeded before. After the quarantine a single task
 * probes the worker; if the probe fails, the next quarantine is twice as long. An entry that failed
 * on several workers without a success is faulty, and its failures no longer count against workers.
 */
class FailureTracker
{
public:
  /** Records that a task of aEntry failed on aTarget. */
  void taskFailed(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs);
  /** Records that a task of aEntry started successfully or completed on aTarget. */
  void taskSucceeded(std::uint32_t aTarget, std::uint32_t aEntry);
  /** Records a placement; on a worker on probation, it is the probe and blocks further ones. */
  void taskPlaced(std::uint32_t aTarget, std::int64_t aNowMs);

  /** Returns whether a worker may get a task of aEntry now. */
  bool admits(std::uint32_t aTarget, std::uint32_t aEntry, std::int64_t aNowMs) const;
  bool isQuarantined(std::uint32_t aTarget, std::int64_t aNowMs) const;

  /** Returns the number of failures on a worker since its last success. */
  std::int64_t recentFailures(std::uint32_t aTarget) const;

  /** Returns whether an entry failed on several targets without a success. */
  bool isFaulty(std::uint32_t aEntry) const;

  /** Returns the targets that became ready for a probe since the last call. */
  std::vector<std::uint32_t> takeProbeTargets(std::int64_t aNowMs);

  /** Returns the delay before the next start of a task that failed aAttempts times. */
  std::int64_t retryDelayMs(std::uint32_t aTarget, std::int64_t aAttempts) const;

private:
  struct TargetHistory
  {
    std::int64_t failures = 0;
    std::vector<std::uint32_t> entries;
    std::int64_t quarantines = 0;
    std::int64_t quarantinedUntilMs = 0;
    /** Set by a quarantine and cleared by a success. */
    bool onProbation = false;
    /** No probe may start before this time. */
    std::int64_t probeUntilMs = 0;
  };

  struct EntryHistory
  {
    bool hasSucceeded = false;
    /** Targets on which the entry failed since its last success. */
    std::vector<std::uint32_t> failedTargets;
  };

  bool shouldQuarantine(const TargetHistory& aTarget) const;
  void quarantine(TargetHistory& aTarget, std::int64_t aNowMs);

  std::unordered_map<std::uint32_t, TargetHistory> mTargets;
  std::unordered_map<std::uint32_t, EntryHistory> mEntries;
};

} // namespace magnoliadrum
