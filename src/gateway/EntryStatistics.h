#pragma once

#include "generated/generated.h"
#include "observability/observability.h"
#include "routing/AttemptTracker.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** How a request ended, for the statistics of its entry. */
struct RequestResult
{
  RequestOutcome mOutcome = RequestOutcome::eDone;
  /** Set when the outcome is eNotRun. */
  std::optional<RefusalReason> mReason;
  /** HTTP status of the response. */
  std::int64_t mStatus = 0;
  std::int64_t mLatencyMs = 0;
};

/**
 * Counters and latency histogram per entry since the gateway's start.
 *
 * Refusals for which the caller is responsible (limits, malformed requests) do not count towards
 * the objective. A response with a server error and any other refusal counts as not good.
 */
class EntryStatistics
{
public:
  /** Records the end of a request to an entry of the catalogue. */
  void record(const CatalogueEntry& aEntry, const RequestResult& aResult);

  /**
   * Returns the counters that changed since the last call; with aAll the counters of all entries.
   * Counters are totals, so a lost report is made up for by the next one.
   */
  std::vector<ServiceCounters> report(bool aAll);

  /** Adds the counters and latencies of all entries to the metrics. */
  void writeMetrics(MetricsRegistry& aMetrics) const;

private:
  struct Statistics
  {
    std::int64_t mTotal = 0;
    std::int64_t mGood = 0;
    std::int64_t mRefused = 0;
    std::int64_t mUnknown = 0;
    LatencyHistogram mLatency;
    bool mChanged = false;
  };

  static ServiceCounters counters(const std::string& aEntryName, const Statistics& aStatistics);

  std::map<std::string, Statistics> mEntries;
};

} // namespace magnoliadrum
