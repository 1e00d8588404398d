#include "testbench/PolicyExperiment.h"
#include "testbench/PolicyExperimentCost.h"
#include "testbench/RoutingExperiment.h"

#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(scenario, "all", "policy: name of the scenario, or all");
DEFINE_string(weights, "guild", "policy: guild or delta");
DEFINE_string(format, "table", "policy: table or json");
DEFINE_uint64(seed, 1, "seed of everything random");

namespace {

constexpr int kUsageStatus = 2;

int
runPolicy()
{
  std::vector<std::string> names = { FLAGS_scenario };
  if (FLAGS_scenario == "all") {
    names = magnoliadrum::Scenario::names();
  }
  for (const std::string& name : names) {
    const auto compared = magnoliadrum::comparePolicies(name, FLAGS_weights, FLAGS_seed);
    if (!magnoliadrum::isOk(compared)) {
      std::cerr << magnoliadrum::errorOf(compared).text() << "\n";
      return kUsageStatus;
    }
    if (FLAGS_format == "json") {
      magnoliadrum::printJson(magnoliadrum::valueOf(compared), std::cout);
    } else {
      magnoliadrum::printTable(magnoliadrum::valueOf(compared), std::cout);
    }
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("magnoliadrum-bench policy|placement-cost [flags]");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  const std::string command = aCount > 1 ? aValues[1] : "";
  if (command == "policy") {
    return runPolicy();
  }
  if (command == "placement-cost") {
    magnoliadrum::printPlacementCost(FLAGS_seed, std::cout);
    return 0;
  }
  std::cerr << "unknown command '" << command << "'; see --help\n";
  return kUsageStatus;
}
