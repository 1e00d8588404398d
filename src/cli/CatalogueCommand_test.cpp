#include "cli/CatalogueCommand.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

const char* const kQueues = R"({ "version": 2, "pools": [ { "name": "desk" } ], "queues": [
  { "name": "a", "host": "guild.example", "pathPrefix": "/a/", "poolName": "desk" } ] })";

std::vector<CatalogueFinding>
faultsOf(const std::string& aText)
{
  const auto read = readCatalogue(aText);
  const auto* faults = std::get_if<std::vector<CatalogueFinding>>(&read);
  return faults != nullptr ? *faults : std::vector<CatalogueFinding>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_command)

BOOST_AUTO_TEST_CASE(queues_and_records_are_told_apart)
{
  const auto queues = readCatalogue(kQueues);
  BOOST_REQUIRE(std::holds_alternative<CatalogueContent>(queues));
  BOOST_TEST(std::holds_alternative<QueueCatalogue>(std::get<CatalogueContent>(queues)));
  const auto records = readCatalogue(
    R"([ { "owner": "guild" }, { "name": "recon", "owner": "guild", "kind": "batch",
         "class": "batch", "dataCentres": [ "Waco" ] } ])");
  BOOST_REQUIRE(std::holds_alternative<CatalogueContent>(records));
  const auto& content = std::get<CatalogueRecords>(std::get<CatalogueContent>(records));
  BOOST_TEST(content.entries.size() == 1u);
  BOOST_TEST(content.quotas.size() == 1u);
}

// Guards against a report that names only the first error, or not where it is.
BOOST_AUTO_TEST_CASE(errors_of_a_file_are_listed_with_their_paths)
{
  BOOST_TEST(faultsOf("{").size() == 1u);
  const auto faults =
    faultsOf(R"([ { "name": "recon", "owner": "guild", "kind": "batch", "dataCentres": 3 } ])");
  BOOST_REQUIRE(faults.size() == 2u);
  for (const CatalogueFinding& fault : faults) {
    BOOST_TEST((fault.level == FindingLevel::eError));
    BOOST_TEST(fault.path.starts_with("[0]."), fault.path);
  }
}

// Guards against scripts that send a catalogue with errors.
BOOST_AUTO_TEST_CASE(the_exit_status_tells_errors_from_warnings)
{
  CatalogueReport report;
  BOOST_TEST((report.exitStatus() == ExitStatus::eSuccess));
  report.findings.push_back({ FindingLevel::eNote, "a", "b" });
  report.differences.push_back({ "queue a.priority", "0", "3" });
  BOOST_TEST((report.exitStatus() == ExitStatus::eSuccess));
  report.findings.push_back({ FindingLevel::eWarning, "a", "b" });
  BOOST_TEST((report.exitStatus() == ExitStatus::eWarnings));
  report.findings.push_back({ FindingLevel::eError, "a", "b" });
  BOOST_TEST((report.exitStatus() == ExitStatus::eFailure));
  BOOST_TEST(report.toJson()["differences"][0]["after"] == 3);
  BOOST_TEST(report.toText().find("changed queue a.priority: 0 -> 3") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
