#pragma once

#include "generated/generated.h"
#include "observability/observability.h"
#include "routing/AttemptTracker.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Result of a request, for the statistics of its entry. */
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
 * Collects counters and a latency histogram per entry since the start of the gateway.
 *
 * Refusals for which the caller is responsible (rate and concurrency limits, missing key, invalid
 * request) do not count towards the objective. Any other refusal, an unknown outcome, a server
 * error (HTTP 5xx) and a latency above the objective count as not good.
 */
class EntryStatistics
{
public:
  /** Records the end of a request to an entry of the catalogue. */
  void record(const CatalogueEntry& aEntry, const RequestResult& aResult);

  /**
   * Returns the counters of the entries that changed since the last call, or of all entries if aAll
   * is set. Counters are cumulative, so a later report of an entry replaces a lost one.
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
