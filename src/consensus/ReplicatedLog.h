#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace magnoliadrum {

/**
 * The entries in memory, consecutive after a base index, and the configurations they contain.
 *
 * The entry at the base index is compacted, but its term is known.
 */
class ReplicatedLog
{
public:
  ReplicatedLog() = default;

  std::int64_t baseIndex() const { return mBaseIndex; }
  std::int64_t lastIndex() const;
  std::int64_t lastTerm() const;

  /** Term of an entry; nothing when it is compacted or not there. */
  std::optional<std::int64_t> termAt(std::int64_t aIndex) const;

  /** Precondition: baseIndex() < aIndex <= lastIndex(). */
  const LogEntry& at(std::int64_t aIndex) const;

  /** Size of the data of all entries. */
  std::size_t dataBytes() const { return mDataBytes; }

  /** Entries from aFirst on, within both limits, but at least one when there is one. */
  std::vector<LogEntry> slice(std::int64_t aFirst,
                              std::size_t aMaxEntries,
                              std::size_t aMaxBytes) const;

  /** Entries aFirst to aLast. */
  std::vector<LogEntry> range(std::int64_t aFirst, std::int64_t aLast) const;

  /** Precondition: the entry follows the last one; a configuration entry can be decoded. */
  void append(LogEntry aEntry);

  /** Drops the entry at aIndex and all after it. */
  void truncateFrom(std::int64_t aIndex);

  /** Drops the entries up to aIndex, which stays known as the base. */
  void compact(std::int64_t aIndex);

  /** Drops everything and continues after a snapshot. */
  void reset(std::int64_t aIndex, std::int64_t aTerm, const GroupConfiguration& aConfiguration);

  /** The configuration in effect: the latest in the log, committed or not. */
  const GroupConfiguration& configuration() const;
  std::int64_t configurationIndex() const;

  /** The configuration in effect after entry aIndex. Precondition: aIndex >= baseIndex(). */
  const GroupConfiguration& configurationAt(std::int64_t aIndex) const;

  /**
   * Where the leader should try again when the entry at aPreviousIndex is not of aPreviousTerm:
   * before all entries here that cannot match, but not below aFloor.
   */
  std::int64_t conflictHint(std::int64_t aPreviousIndex,
                            std::int64_t aPreviousTerm,
                            std::int64_t aFloor) const;

private:
  std::int64_t mBaseIndex = 0;
  std::int64_t mBaseTerm = 0;
  std::deque<LogEntry> mEntries;
  std::size_t mDataBytes = 0;
  /** By index of the entry; the one at or below the base comes from the snapshot. */
  std::map<std::int64_t, GroupConfiguration> mConfigurations = { { 0, GroupConfiguration() } };
};

} // namespace magnoliadrum
