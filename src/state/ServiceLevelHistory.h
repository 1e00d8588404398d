#pragma once

#include "generated/generated.h"
#include "state/Outcome.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * The service-level history of each entry.
 *
 * Rows are kept per minute for kMinuteRowRetentionMinutes before the newest row and then merged
 * into one row per hour, which starts at a full hour, for kHistoryRetentionMinutes. This bounds the
 * snapshot at about 2,300 rows per entry.
 */
class ServiceLevelHistory
{
public:
  static constexpr std::int64_t kMinuteRowRetentionMinutes = std::int64_t{ 24 } * 60;
  static constexpr std::int64_t kHistoryRetentionMinutes = std::int64_t{ 35 } * 24 * 60;
  static constexpr std::int64_t kMinutesPerHour = 60;

  static ServiceLevelHistory fromSnapshot(const StateSnapshot& aSnapshot);
  void writeTo(StateSnapshot::Fields& aSnapshot) const;

  /** Adds the counts of each row to those of its entry and minute. */
  Outcome record(const RecordServiceLevel& aCommand);

  /** Returns the rows of an entry, or of all entries when the name is empty, oldest first. */
  std::vector<ServiceLevelRow> rows(const std::string& aEntryName) const;

private:
  using EntryRows = std::map<std::int64_t, ServiceLevelRow>;

  static void add(EntryRows& aRows, const ServiceLevelRow& aRow);
  static void compact(EntryRows& aRows);

  std::map<std::string, EntryRows> mEntries;
};

} // namespace magnoliadrum
