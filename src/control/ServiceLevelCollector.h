#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/**
 * Aggregates the gateways' cumulative counters into rows per entry and minute.
 *
 * A newly elected leader does not know what its predecessor counted, so the first counters of a
 * gateway that was already running only set the baseline. At most the counts since the
 * predecessor's last flush are lost; none is counted twice.
 */
class ServiceLevelCollector
{
public:
  /** Discards all state. Called when this replica gains or loses the leadership. */
  void reset();

  /** A gateway process started under this leader, so its counters start at zero. */
  void onGatewayStarted(const std::string& aProcessId, const std::string& aIncarnation);

  /** Adds the increase of a gateway's counters since its last report to the rows of aMinute, the
   * leader's wall-clock time in minutes since 1970. */
  void addCounters(const std::string& aProcessId,
                   const std::string& aIncarnation,
                   const std::vector<ServiceCounters>& aCounters,
                   std::int64_t aMinute);

  /** Returns and clears the rows collected since the last call. */
  std::vector<ServiceLevelRow> takeRows();

  /** Returns and clears the latency histogram counts per entry since the last call. */
  std::map<std::string, std::vector<std::int64_t>> takeLatencies();

  /** Adds rows back after the command that should record them is known to have failed. */
  void restoreRows(const std::vector<ServiceLevelRow>& aRows);

private:
  struct Gateway
  {
    std::string mIncarnation;
    bool mCountsFromZero = false;
    std::map<std::string, ServiceCounters> mLastCounters;
  };

  void addRow(const ServiceLevelRow::Fields& aRow);

  std::map<std::string, Gateway> mGateways;
  std::map<std::pair<std::string, std::int64_t>, ServiceLevelRow::Fields> mRows;
  std::map<std::string, std::vector<std::int64_t>> mLatencies;
};

} // namespace magnoliadrum
