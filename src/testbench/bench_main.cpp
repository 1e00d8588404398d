#include "testbench/LoadGenerator.h"
#include "testbench/PolicyExperiment.h"
#include "testbench/PolicyExperimentCost.h"
#include "testbench/RoutingExperiment.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(scenario, "all", "policy, routing: name of the scenario, or all");
DEFINE_string(weights, "guild", "policy: guild or delta");
DEFINE_string(format, "table", "policy: table or json");
DEFINE_double(utilization, 0.7, "routing: offered load as a share of the capacity");
DEFINE_int64(duration_ms, 30000, "routing, load: how long requests are sent");
DEFINE_string(gateways, "127.0.0.1:8080", "load: IP:port of the gateways, separated by commas");
DEFINE_string(entry, "pickup-confirmation", "load: service entry");
DEFINE_double(rate, 100, "load: requests per second");
DEFINE_int64(deadline_ms, 1000, "load: deadline of each request");
DEFINE_double(non_repeatable, 0, "load: share of requests that may not be repeated");
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

int
runRouting()
{
  magnoliadrum::RoutingExperimentOptions options;
  options.mSeed = FLAGS_seed;
  options.mDurationMs = FLAGS_duration_ms;
  options.mUtilization = FLAGS_utilization;
  options.mScenario = FLAGS_scenario;
  const auto done = magnoliadrum::runRoutingExperiment(options, std::cout);
  if (!magnoliadrum::isOk(done)) {
    std::cerr << magnoliadrum::errorOf(done).text() << "\n";
    return kUsageStatus;
  }
  return 0;
}

int
runLoad()
{
  magnoliadrum::LoadOptions options;
  boost::algorithm::split(options.mGateways, FLAGS_gateways, boost::algorithm::is_any_of(","));
  options.mEntryName = FLAGS_entry;
  options.mRequestsPerSecond = FLAGS_rate;
  options.mDurationMs = FLAGS_duration_ms;
  options.mDeadlineMs = FLAGS_deadline_ms;
  options.mNonRepeatableShare = FLAGS_non_repeatable;
  options.mSeed = FLAGS_seed;
  const std::unique_ptr<magnoliadrum::EventLoop> loop =
    magnoliadrum::takeValue(magnoliadrum::EventLoop::create());
  const auto generator = magnoliadrum::LoadGenerator::create(*loop, options);
  if (!magnoliadrum::isOk(generator)) {
    std::cerr << magnoliadrum::errorOf(generator).text() << "\n";
    return kUsageStatus;
  }
  magnoliadrum::valueOf(generator)->start([&loop]() { loop->stop(); });
  loop->run();
  const magnoliadrum::LoadResult& result = magnoliadrum::valueOf(generator)->result();
  std::cout << "sent " << result.mSent << ", done " << result.mDone << ", not run "
            << result.mNotRun << ", unknown " << result.mUnknown << ", no answer "
            << result.mNoAnswer << ", mixed up " << result.mMixedUp << "; p50 "
            << result.mLatency.quantile(0.5) << " ms, p99 " << result.mLatency.quantile(0.99)
            << " ms, p99.9 " << result.mLatency.quantile(0.999) << " ms\n";
  return 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("magnoliadrum-bench policy|placement-cost|routing|load [flags]");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  const std::string command = aCount > 1 ? aValues[1] : "";
  if (command == "policy") {
    return runPolicy();
  }
  if (command == "placement-cost") {
    magnoliadrum::printPlacementCost(FLAGS_seed, std::cout);
    return 0;
  }
  if (command == "routing") {
    return runRouting();
  }
  if (command == "load") {
    return runLoad();
  }
  std::cerr << "unknown command '" << command << "'; see --help\n";
  return kUsageStatus;
}
