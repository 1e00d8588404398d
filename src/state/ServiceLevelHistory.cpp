#include "state/ServiceLevelHistory.h"

#include "state/BuildValue.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

ServiceLevelRow
mergeRows(const ServiceLevelRow& aLeft, const ServiceLevelRow& aRight)
{
  ServiceLevelRow::Fields sum = aLeft.fields();
  sum.total += aRight.total();
  sum.good += aRight.good();
  sum.refused += aRight.refused();
  sum.unknown += aRight.unknown();
  const std::vector<std::int64_t>& counts = aRight.latencyCounts();
  sum.latencyCounts.resize(std::max(sum.latencyCounts.size(), counts.size()));
  for (std::size_t bucket = 0; bucket < counts.size(); bucket++) {
    sum.latencyCounts[bucket] += counts[bucket];
  }
  return buildValue<ServiceLevelRow>(std::move(sum));
}

} // namespace

ServiceLevelHistory
ServiceLevelHistory::fromSnapshot(const StateSnapshot& aSnapshot)
{
  ServiceLevelHistory history;
  for (const ServiceLevelRow& row : aSnapshot.serviceLevel()) {
    add(history.mEntries[row.entryName()], row);
  }
  return history;
}

void
ServiceLevelHistory::writeTo(StateSnapshot::Fields& aSnapshot) const
{
  aSnapshot.serviceLevel = rows("");
}

Outcome
ServiceLevelHistory::record(const RecordServiceLevel& aCommand)
{
  for (const ServiceLevelRow& row : aCommand.rows()) {
    EntryRows& rows = mEntries[row.entryName()];
    add(rows, row);
    compact(rows);
  }
  return ServiceLevelRecorded{ aCommand.rows().size() };
}

void
ServiceLevelHistory::add(EntryRows& aRows, const ServiceLevelRow& aRow)
{
  const auto position = aRows.find(aRow.minute());
  if (position == aRows.end()) {
    aRows.emplace(aRow.minute(), aRow);
  } else {
    position->second = mergeRows(position->second, aRow);
  }
}

void
ServiceLevelHistory::compact(EntryRows& aRows)
{
  const std::int64_t newest = aRows.rbegin()->first;
  const std::int64_t oldestMinute = newest - kMinuteRowRetentionMinutes;
  // Only whole hours are merged. A row at a full hour stays and receives the sum of its hour.
  const std::int64_t firstKept = oldestMinute - oldestMinute % kMinutesPerHour;
  auto position = aRows.begin();
  while (position != aRows.end() && position->first < firstKept) {
    if (position->first % kMinutesPerHour == 0) {
      position++;
      continue;
    }
    ServiceLevelRow::Fields fields = position->second.fields();
    fields.minute -= fields.minute % kMinutesPerHour;
    add(aRows, buildValue<ServiceLevelRow>(std::move(fields)));
    position = aRows.erase(position);
  }
  aRows.erase(aRows.begin(), aRows.lower_bound(newest - kHistoryRetentionMinutes));
}

std::vector<ServiceLevelRow>
ServiceLevelHistory::rows(const std::string& aEntryName) const
{
  std::vector<ServiceLevelRow> found;
  for (const auto& [entryName, entryRows] : mEntries) {
    if (!aEntryName.empty() && aEntryName != entryName) {
      continue;
    }
    for (const auto& [minute, row] : entryRows) {
      found.push_back(row);
    }
  }
  return found;
}

} // namespace magnoliadrum
