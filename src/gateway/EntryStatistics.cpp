#include "gateway/EntryStatistics.h"

namespace magnoliadrum {

namespace {

constexpr std::int64_t kFirstServerError = 500;

bool
isCallerError(const RequestResult& aResult)
{
  return aResult.mReason == RefusalReason::eRateLimit ||
         aResult.mReason == RefusalReason::eConcurrencyLimit ||
         aResult.mReason == RefusalReason::eKeyRequired ||
         aResult.mReason == RefusalReason::eInvalidRequest;
}

bool
isGood(const CatalogueEntry& aEntry, const RequestResult& aResult)
{
  if (aResult.mOutcome != RequestOutcome::eDone || aResult.mStatus >= kFirstServerError) {
    return false;
  }
  return !aEntry.objective() || aResult.mLatencyMs <= aEntry.objective()->latencyMs();
}

} // namespace

void
EntryStatistics::record(const CatalogueEntry& aEntry, const RequestResult& aResult)
{
  Statistics& entry = mEntries[aEntry.name()];
  entry.mChanged = true;
  entry.mRefused += aResult.mOutcome == RequestOutcome::eNotRun ? 1 : 0;
  entry.mUnknown += aResult.mOutcome == RequestOutcome::eUnknown ? 1 : 0;
  if (isCallerError(aResult)) {
    return;
  }
  entry.mTotal++;
  entry.mGood += isGood(aEntry, aResult) ? 1 : 0;
  if (aResult.mOutcome == RequestOutcome::eDone) {
    entry.mLatency.record(static_cast<double>(aResult.mLatencyMs));
  }
}

std::vector<ServiceCounters>
EntryStatistics::report(bool aAll)
{
  std::vector<ServiceCounters> report;
  for (auto& [name, statistics] : mEntries) {
    if (statistics.mChanged || aAll) {
      report.push_back(counters(name, statistics));
      statistics.mChanged = false;
    }
  }
  return report;
}

ServiceCounters
EntryStatistics::counters(const std::string& aEntryName, const Statistics& aStatistics)
{
  std::vector<std::int64_t> counts = aStatistics.mLatency.counts();
  // The receiver takes missing counts as zero, so trailing empty buckets are left out.
  while (!counts.empty() && counts.back() == 0) {
    counts.pop_back();
  }
  return valueOf(ServiceCounters::create({ .entryName = aEntryName,
                                           .total = aStatistics.mTotal,
                                           .good = aStatistics.mGood,
                                           .refused = aStatistics.mRefused,
                                           .unknown = aStatistics.mUnknown,
                                           .latencyCounts = std::move(counts) }));
}

void
EntryStatistics::writeMetrics(MetricsRegistry& aMetrics) const
{
  for (const auto& [name, statistics] : mEntries) {
    const std::string labels = "entry=\"" + name + "\"";
    const auto set = [&](const char* aName, std::int64_t aValue) {
      aMetrics.set(aName, labels, static_cast<double>(aValue));
    };
    set("requests_total", statistics.mTotal);
    set("requests_good_total", statistics.mGood);
    set("requests_refused_total", statistics.mRefused);
    set("requests_unknown_total", statistics.mUnknown);
    if (statistics.mLatency.total() > 0) {
      aMetrics.set(
        "request_latency_ms", labels + ",quantile=\"0.5\"", statistics.mLatency.quantile(0.5));
      aMetrics.set(
        "request_latency_ms", labels + ",quantile=\"0.99\"", statistics.mLatency.quantile(0.99));
      aMetrics.set(
        "request_latency_ms", labels + ",quantile=\"0.999\"", statistics.mLatency.quantile(0.999));
    }
  }
}

} // namespace magnoliadrum
