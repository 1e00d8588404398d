#pragma once

#include "generated/SettingsTypes.h"
#include "observability/observability.h"
#include "transport/transport.h"

namespace magnoliadrum {

/**
 * Sets the limits of the process's HTTP connections from its settings. Logs refusals, at most one
 * line a second, until the handle is dropped.
 */
EventHandlePointer
applyClientLimits(EventLoop& aLoop, const VmSettings& aVm);

/** Sets the metrics http_connections, http_held_bytes and http_refusals by reason. */
void
setClientMetrics(const TransferAccount& aTransfers, MetricsRegistry& aMetrics);

} // namespace magnoliadrum
