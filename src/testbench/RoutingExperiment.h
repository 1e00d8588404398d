#pragma once

#include "core/core.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What a run of the routing experiment varies. */
struct RoutingExperimentOptions
{
  std::uint64_t mSeed = 1;
  /** Simulated time. */
  std::int64_t mDurationMs = 30000;
  /** Offered load as a share of the capacity of all executors. */
  double mUtilization = 0.7;
  /** Gateways that share the executors without knowing of each other's requests; at least 1. */
  int mGateways = 2;
  /** Name of one scenario, or "all". */
  std::string mScenario = "all";
};

/** Names of the scenarios of the experiment. */
std::vector<std::string>
routingScenarioNames();

/**
 * Compares rules of target selection, with and without ejection of outliers, on a simulated
 * service: 2 gateways and 11 executors with 8 slots each, 1 ms between them. Prints one row per
 * scenario and rule with the latency of successful responses, the share of requests that were
 * answered within their deadline (goodput), the refusals and the requests whose deadline passed at
 * an executor. The gateways use the classes of module routing; an unknown scenario is an error.
 */
Result<Done>
runRoutingExperiment(const RoutingExperimentOptions& aOptions, std::ostream& aOut);

} // namespace magnoliadrum
