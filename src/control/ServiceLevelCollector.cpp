#include "control/ServiceLevelCollector.h"

#include "state/BuildValue.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/** Returns the increase of a counter; 0 if it decreased, which a cumulative counter never does. */
std::int64_t
increase(std::int64_t aNow, std::int64_t aBefore)
{
  return std::max<std::int64_t>(0, aNow - aBefore);
}

void
addCounts(std::vector<std::int64_t>& aSum, const std::vector<std::int64_t>& aCounts)
{
  aSum.resize(std::max(aSum.size(), aCounts.size()));
  for (std::size_t bucket = 0; bucket < aCounts.size(); bucket++) {
    aSum[bucket] += aCounts[bucket];
  }
}

ServiceLevelRow::Fields
increaseOf(const ServiceCounters& aNow, const ServiceCounters& aBefore, std::int64_t aMinute)
{
  ServiceLevelRow::Fields row{ .entryName = aNow.entryName(),
                               .minute = aMinute,
                               .total = increase(aNow.total(), aBefore.total()),
                               .good = increase(aNow.good(), aBefore.good()),
                               .refused = increase(aNow.refused(), aBefore.refused()),
                               .unknown = increase(aNow.unknown(), aBefore.unknown()) };
  const std::vector<std::int64_t>& before = aBefore.latencyCounts();
  for (std::size_t bucket = 0; bucket < aNow.latencyCounts().size(); bucket++) {
    const std::int64_t base = bucket < before.size() ? before[bucket] : 0;
    row.latencyCounts.push_back(increase(aNow.latencyCounts()[bucket], base));
  }
  return row;
}

} // namespace

void
ServiceLevelCollector::reset()
{
  mGateways.clear();
  mRows.clear();
  mLatencies.clear();
}

void
ServiceLevelCollector::onGatewayStarted(const std::string& aProcessId,
                                        const std::string& aIncarnation)
{
  Gateway& gateway = mGateways[aProcessId];
  if (gateway.mIncarnation != aIncarnation) {
    gateway = Gateway{ aIncarnation, true, {} };
  }
}

void
ServiceLevelCollector::addCounters(const std::string& aProcessId,
                                   const std::string& aIncarnation,
                                   const std::vector<ServiceCounters>& aCounters,
                                   std::int64_t aMinute)
{
  Gateway& gateway = mGateways[aProcessId];
  if (gateway.mIncarnation != aIncarnation) {
    gateway = Gateway{ aIncarnation, false, {} };
  }
  for (const ServiceCounters& counters : aCounters) {
    const auto last = gateway.mLastCounters.find(counters.entryName());
    if (last != gateway.mLastCounters.end() || gateway.mCountsFromZero) {
      const ServiceCounters base =
        last != gateway.mLastCounters.end() ? last->second : ServiceCounters();
      const ServiceLevelRow::Fields row = increaseOf(counters, base, aMinute);
      addRow(row);
      addCounts(mLatencies[row.entryName], row.latencyCounts);
    }
    gateway.mLastCounters.insert_or_assign(counters.entryName(), counters);
  }
}

void
ServiceLevelCollector::addRow(const ServiceLevelRow::Fields& aRow)
{
  ServiceLevelRow::Fields& sum = mRows[{ aRow.entryName, aRow.minute }];
  sum.entryName = aRow.entryName;
  sum.minute = aRow.minute;
  sum.total += aRow.total;
  sum.good += aRow.good;
  sum.refused += aRow.refused;
  sum.unknown += aRow.unknown;
  addCounts(sum.latencyCounts, aRow.latencyCounts);
}

std::vector<ServiceLevelRow>
ServiceLevelCollector::takeRows()
{
  std::vector<ServiceLevelRow> rows;
  for (auto& [name, fields] : std::exchange(mRows, {})) {
    if (fields.total + fields.refused + fields.unknown > 0) {
      rows.push_back(buildValue<ServiceLevelRow>(std::move(fields)));
    }
  }
  return rows;
}

std::map<std::string, std::vector<std::int64_t>>
ServiceLevelCollector::takeLatencies()
{
  return std::exchange(mLatencies, {});
}

void
ServiceLevelCollector::restoreRows(const std::vector<ServiceLevelRow>& aRows)
{
  for (const ServiceLevelRow& row : aRows) {
    addRow(row.fields());
  }
}

} // namespace magnoliadrum
