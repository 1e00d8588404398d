#include "settings/settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace magnoliadrum;

namespace {

/** A file in the current folder that is removed at the end of the test. */
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : mName("settings_test." + std::to_string(getpid()) + ".json")
  {
    std::ofstream(mName) << aText;
  }
  ~TemporaryFile() { std::remove(mName.c_str()); }
  const std::string& name() const { return mName; }

private:
  std::string mName;
};

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_get_their_defaults)
{
  const TemporaryFile file(R"({"processId":"gateway-1","httpAddress":"127.0.0.1:8080",
    "dataCentre":"Waco","controlAddresses":["127.0.0.1:7001"]})");
  const Result<GatewaySettings> settings = readSettings<GatewaySettings>(file.name());
  BOOST_REQUIRE(isOk(settings));
  BOOST_TEST(valueOf(settings).lease().leaseMs() == 6000);
}

// Guards against an operator who mends one fault at a time because only the first is shown.
BOOST_AUTO_TEST_CASE(all_faults_of_a_file_are_listed)
{
  const TemporaryFile file(R"({"processId":"","httpAddress":7,"colour":"red"})");
  const Result<GatewaySettings> settings = readSettings<GatewaySettings>(file.name());
  BOOST_REQUIRE(!isOk(settings));
  const std::string detail = errorOf(settings).detail();
  for (const char* fault :
       { "httpAddress: expected", "colour: unknown", "dataCentre: missing", "controlAddresses" }) {
    BOOST_TEST(detail.find(fault) != std::string::npos, fault << " not in " << detail);
  }
}

// Guards against a control VM without a disk that ends at its start, or that founds a group.
BOOST_AUTO_TEST_CASE(a_control_process_without_a_data_folder_needs_a_leader_to_follow)
{
  const std::string common =
    R"({"processId":"c","listenAddress":"127.0.0.1:1","dataCentre":"Waco","dataFolder":"")";
  const TemporaryFile follower(
    common + R"(,"controlSeeds":["127.0.0.2:1"],"platformAddress":"127.0.0.1:2"})");
  BOOST_TEST(isOk(readSettings<ControlSettings>(follower.name())));
  const TemporaryFile alone(common + "}");
  const Result<ControlSettings> settings = readSettings<ControlSettings>(alone.name());
  BOOST_REQUIRE(!isOk(settings));
  BOOST_TEST(errorOf(settings).detail().find("dataFolder") != std::string::npos);
}

// Guards against a log that fills the disk between two snapshots, on which the replica would end.
BOOST_AUTO_TEST_CASE(log_between_snapshots_must_fit_in_half_of_the_disk)
{
  const std::string common =
    R"({"processId":"c","listenAddress":"127.0.0.1:1","dataCentre":"Waco","dataFolder":"d","diskMb":128)";
  const TemporaryFile fitting(common + "}");
  BOOST_TEST(isOk(readSettings<ControlSettings>(fitting.name())));
  const TemporaryFile large(common + R"(,"snapshotEveryMb":25})");
  const Result<ControlSettings> settings = readSettings<ControlSettings>(large.name());
  BOOST_REQUIRE(!isOk(settings));
  BOOST_TEST(errorOf(settings).detail().find("snapshotEveryMb") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(values_that_do_not_fit_together_are_refused)
{
  const TemporaryFile file(
    R"({"processId":"a","listenAddress":"127.0.0.1:1","targetKind":"executor",
    "targetAddress":"nonsense","dataCentre":"Waco","rack":"r1","controlAddresses":["127.0.0.1:7001"],
    "lease":{"leaseMs":1000,"heartbeatMs":900}})");
  const Result<AgentSettings> settings = readSettings<AgentSettings>(file.name());
  BOOST_REQUIRE(!isOk(settings));
  const std::string detail = errorOf(settings).detail();
  for (const char* fault : { "targetAddress", "lease.heartbeatMs", "entryName", "slots" }) {
    BOOST_TEST(detail.find(fault) != std::string::npos, fault << " not in " << detail);
  }
}

BOOST_AUTO_TEST_CASE(missing_and_malformed_files_are_errors)
{
  BOOST_TEST(!isOk(readSettings<ControlSettings>("no-such-file.json")));
  const TemporaryFile file("{ not json");
  BOOST_TEST(!isOk(readSettings<ControlSettings>(file.name())));
}

BOOST_AUTO_TEST_CASE(seeds_stand_for_the_addresses_of_control)
{
  const TemporaryFile file(
    R"({"processId":"relay-1","platformAddress":"127.0.0.1:80","dataCentre":"Waco",
    "controlSeeds":["10.1.0.13:8166","10.2.0.30:8166"],"controlPort":7720})");
  const Result<RelaySettings> settings = readSettings<RelaySettings>(file.name());
  BOOST_REQUIRE(isOk(settings));
  const std::vector<std::string> expected = { "10.1.0.13:7720", "10.2.0.30:7720" };
  BOOST_TEST(controlAddresses(valueOf(settings)) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(seeds_need_a_port_and_stand_alone)
{
  const TemporaryFile file(
    R"({"processId":"relay-1","platformAddress":"127.0.0.1:80","dataCentre":"Waco",
    "controlSeeds":["10.1.0.13:8166"],"controlAddresses":["10.1.0.13:7720"]})");
  const Result<RelaySettings> settings = readSettings<RelaySettings>(file.name());
  BOOST_REQUIRE(!isOk(settings));
  const std::string detail = errorOf(settings).detail();
  for (const char* fault : { "controlPort", "only one of them" }) {
    BOOST_TEST(detail.find(fault) != std::string::npos, fault << " not in " << detail);
  }
}
