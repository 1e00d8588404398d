#include "settings/ClientLimits.h"

#include <map>
#include <string>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kLogPeriodMs = 1000;

} // namespace

EventHandlePointer
applyClientLimits(EventLoop& aLoop, const VmSettings& aVm)
{
  aLoop.transfers().setLimits(TransferLimits::forVm(aVm.memoryMb(), aVm.maxDescriptors()));
  return aLoop.runEvery(kLogPeriodMs,
                        [&aLoop, logged = std::map<TransferRefusal, std::uint64_t>()]() mutable {
                          const TransferAccount& transfers = aLoop.transfers();
                          if (logged == transfers.refusals()) {
                            return;
                          }
                          std::string reasons;
                          for (const auto& [reason, count] : transfers.refusals()) {
                            const std::uint64_t added = count - logged[reason];
                            if (added > 0) {
                              reasons.append(reasons.empty() ? "" : " ")
                                .append(toText(reason))
                                .append("=")
                                .append(std::to_string(added));
                            }
                          }
                          logged = transfers.refusals();
                          logWarning("clients outside the limits were refused",
                                     { { "reasons", reasons },
                                       { "connections", transfers.connections() },
                                       { "heldBytes", transfers.bytes() } });
                        });
}

void
setClientMetrics(const TransferAccount& aTransfers, MetricsRegistry& aMetrics)
{
  aMetrics.set("http_connections", "", static_cast<double>(aTransfers.connections()));
  aMetrics.set("http_held_bytes", "", static_cast<double>(aTransfers.bytes()));
  for (const auto& [reason, count] : aTransfers.refusals()) {
    aMetrics.set("http_refusals",
                 std::string("reason=\"").append(toText(reason)).append("\""),
                 static_cast<double>(count));
  }
}

} // namespace magnoliadrum
