#pragma once

/** Module observability: structured logs, latency histograms and the metrics of a process. */

#include "observability/LatencyHistogram.h"
#include "observability/Log.h"
#include "observability/MetricsRegistry.h"
