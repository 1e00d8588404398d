#include "observability/MetricsRegistry.h"

#include <array>
#include <sstream>

namespace magnoliadrum {

namespace {

constexpr const char* kPrefix = "magnoliadrum_";
constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };

std::string
withLabels(const std::string& aName, const std::string& aLabels)
{
  return kPrefix + aName + (aLabels.empty() ? "" : "{" + aLabels + "}");
}

} // namespace

void
MetricsRegistry::count(const std::string& aName, const std::string& aLabels, std::int64_t aAmount)
{
  mCounters[{ aName, aLabels }] += aAmount;
}

void
MetricsRegistry::set(const std::string& aName, const std::string& aLabels, double aValue)
{
  mGauges[{ aName, aLabels }] = aValue;
}

void
MetricsRegistry::recordLatency(const std::string& aName, const std::string& aLabels, double aMs)
{
  mLatencies[{ aName, aLabels }].record(aMs);
}

std::int64_t
MetricsRegistry::counter(const std::string& aName, const std::string& aLabels) const
{
  const auto position = mCounters.find({ aName, aLabels });
  return position == mCounters.end() ? 0 : position->second;
}

const LatencyHistogram*
MetricsRegistry::latency(const std::string& aName, const std::string& aLabels) const
{
  const auto position = mLatencies.find({ aName, aLabels });
  return position == mLatencies.end() ? nullptr : &position->second;
}

std::string
MetricsRegistry::text() const
{
  std::ostringstream out;
  for (const auto& [key, value] : mCounters) {
    out << withLabels(key.first, key.second) << " " << value << "\n";
  }
  for (const auto& [key, value] : mGauges) {
    out << withLabels(key.first, key.second) << " " << value << "\n";
  }
  for (const auto& [key, histogram] : mLatencies) {
    for (const double share : kQuantiles) {
      std::ostringstream labels;
      labels << key.second << (key.second.empty() ? "" : ",") << "quantile=\"" << share << "\"";
      out << withLabels(key.first, labels.str()) << " " << histogram.quantile(share) << "\n";
    }
    out << withLabels(key.first + "_count", key.second) << " " << histogram.total() << "\n";
  }
  return out.str();
}

} // namespace magnoliadrum
