#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/**
 * Turns the gateways' cumulative counters into rows per entry and minute.
 *
 * A leader that has just been elected does not know what its predecessor counted, so the first
 * counters of a gateway that was there before only set the base. At most the counts since the
 * predecessor's last flush are lost; none is counted twice.
 */
class ServiceLevelCollector
{
public:
  /** Forgets everything, at the start or the end of a leadership. */
  void reset();

  /** A gateway process started under this leader, so its counters count from zero. */
  void onGatewayStarted(const std::string& aProcessId, const std::string& aIncarnation);

  /** Takes counters in. aMinute is the wall-clock minute since 1970 on the leader. */
  void addCounters(const std::string& aProcessId,
                   const std::string& aIncarnation,
                   const std::vector<ServiceCounters>& aCounters,
                   std::int64_t aMinute);

  /** Returns the rows since the last call and empties them. */
  std::vector<ServiceLevelRow> takeRows();

  /** Returns the latency counts per entry since the last call and empties them. */
  std::map<std::string, std::vector<std::int64_t>> takeLatencies();

  /** Adds rows whose command surely failed again. */
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
