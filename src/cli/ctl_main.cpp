#include "cli/cli.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(gateways, "127.0.0.1:8080", "IP:port of the gateways, separated by commas");
DEFINE_int64(timeout_ms, 10000, "time for one operation");
DEFINE_bool(wait, false, "apply, delete: return when the change is in force everywhere");
DEFINE_int64(wait_ms, 10000, "longest wait for --wait and for the promotion in replace");
DEFINE_int64(expected_version, -1, "apply, delete: version that the record must have");
DEFINE_string(format,
              "text",
              "status, tasks, report, evacuations, catalogue check: text, json or html");
DEFINE_string(against, "", "catalogue check: version number, in-force or a file to compare with");
DEFINE_string(payload, "", "submit: parameters of the run");

namespace {

constexpr int kUsageStatus = 2;

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage(magnoliadrum::CommandLine::usage());
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  std::vector<std::string> gateways;
  boost::algorithm::split(gateways, FLAGS_gateways, boost::algorithm::is_any_of(","));
  auto client = magnoliadrum::GatewayClient::create(gateways, FLAGS_timeout_ms);
  if (!magnoliadrum::isOk(client)) {
    std::cerr << magnoliadrum::errorOf(client).text() << "\n";
    return kUsageStatus;
  }
  const magnoliadrum::CommandOptions options{ FLAGS_wait,   FLAGS_wait_ms, FLAGS_expected_version,
                                              FLAGS_format, FLAGS_payload, FLAGS_against };
  magnoliadrum::CommandLine commandLine(
    *magnoliadrum::valueOf(client), options, std::cout, std::cerr);
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  return static_cast<int>(commandLine.run(words));
}
