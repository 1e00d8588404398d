#include "jobs/JobsFixture.h"
#include "state/CatalogueCheck.h"
#include "state/state_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

JobQueue
queueAt(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  JobQueue::Fields fields = jobQueue(aName).fields();
  fields.host = aHost;
  fields.pathPrefix = aPrefix;
  return buildValue<JobQueue>(std::move(fields));
}

/** Paths of the findings of a level. */
std::vector<std::string>
pathsOf(const std::vector<CatalogueFinding>& aFindings, FindingLevel aLevel)
{
  std::vector<std::string> paths;
  for (const CatalogueFinding& finding : aFindings) {
    if (finding.level == aLevel) {
      paths.push_back(finding.path);
    }
  }
  return paths;
}

std::vector<std::string>
warnings(const std::vector<CatalogueFinding>& aFindings)
{
  return pathsOf(aFindings, FindingLevel::eWarning);
}

TargetDescription
workerTarget(const std::string& aDataCentre, std::int64_t aCpuMilli)
{
  return buildValue<TargetDescription>(
    { .targetId = "t-" + aDataCentre,
      .targetKind = TargetKind::eWorker,
      .agentAddress = "127.0.0.1:7000",
      .dataCentre = aDataCentre,
      .rack = "r1",
      .capacity = buildValue<Resources>({ .cpuMilli = aCpuMilli, .memoryMb = 1000 }) });
}

using Paths = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_check)

// Guards against a check that finds other errors than the server.
BOOST_AUTO_TEST_CASE(errors_are_those_of_the_server_with_their_paths)
{
  const auto findings = CatalogueCheck::check(queueCatalogue(1, { jobQueue("a"), jobQueue("a") }));
  BOOST_TEST(
    (pathsOf(findings, FindingLevel::eError) == Paths{ "queues[1].name", "queues[1].pathPrefix" }));
  CatalogueEntry::Fields entry = serviceEntry("pickup");
  entry.urgent = true;
  const auto entryFindings =
    CatalogueCheck::check({ .entries = { buildValue<CatalogueEntry>(entry) } }, {}, {});
  BOOST_TEST((pathsOf(entryFindings, FindingLevel::eError) == Paths{ "entry pickup.urgent" }));
}

// Guards against queues that are accepted and never get a request, and unused pools.
BOOST_AUTO_TEST_CASE(queues_that_never_match_and_unused_pools_are_found)
{
  QueueCatalogue::Fields fields = queueCatalogue(1,
                                                 { queueAt("upper", "Guild.example", "/a/"),
                                                   queueAt("relative", "guild.example", "b/"),
                                                   queueAt("query", "guild.example", "/c?x"),
                                                   queueAt("wide", "guild.example", "/d/"),
                                                   queueAt("narrow", "guild.example", "/d/e/") })
                                    .fields();
  fields.pools.push_back(buildValue<WorkerPool>({ .name = "spare" }));
  const auto findings = CatalogueCheck::check(buildValue<QueueCatalogue>(fields));
  BOOST_TEST(
    (warnings(findings) ==
     Paths{ "queues[0].host", "queues[1].pathPrefix", "queues[2].pathPrefix", "pools[1]" }));
  BOOST_TEST((pathsOf(findings, FindingLevel::eNote) == Paths{ "queues[3].pathPrefix" }));
  BOOST_TEST(CatalogueCheck::check(queueCatalogue(1, { jobQueue("a"), jobQueue("b") })).empty());
}

BOOST_AUTO_TEST_CASE(limits_of_queues_that_contradict_each_other_are_found)
{
  JobQueue::Fields queue = jobQueue("a").fields();
  queue.stretch = 0.5;
  queue.objectiveMs = 0;
  queue.advice = buildValue<QueueAdvice>({ .decideMs = 300, .perWorkerMs = 10, .validMs = 200 });
  const auto findings =
    CatalogueCheck::check(queueCatalogue(1, { buildValue<JobQueue>(std::move(queue)) }));
  BOOST_TEST(
    (warnings(findings) ==
     Paths{ "queues[0].stretch", "queues[0].advice.validMs", "queues[0].advice.decideMs" }));
}

// Guards against entries whose tasks wait for ever, and quotas that bind before the entry's own
// limits or exceed what there is.
BOOST_AUTO_TEST_CASE(entries_are_checked_against_targets_and_quotas)
{
  CatalogueRecords records;
  CatalogueEntry::Fields batch = batchEntry("recon");
  batch.limits = buildValue<EntryLimits>({ .finishWithinMs = 3000, .silenceMs = 4000 });
  records.entries.push_back(buildValue<CatalogueEntry>(batch));
  records.entries.push_back(buildValue<CatalogueEntry>(standingEntry("watch", 3)));
  records.quotas.push_back(buildValue<OwnerQuota>(
    { .owner = "delta", .resources = buildValue<Resources>({ .cpuMilli = 2000 }) }));
  records.quotas.push_back(buildValue<OwnerQuota>({ .owner = "nobody" }));
  BOOST_TEST((warnings(CatalogueCheck::check(records, {}, {})) ==
              Paths{ "entry recon.limits.silenceMs", "quota delta.resources", "quota nobody" }));
  const auto findings = CatalogueCheck::check(records, {}, { workerTarget("Tulcea", 500) });
  const Paths paths = warnings(findings);
  const auto has = [&paths](const std::string& aPath) {
    return std::find(paths.begin(), paths.end(), aPath) != paths.end();
  };
  BOOST_TEST(has("entry recon.dataCentres[1]"));
  BOOST_TEST(has("entry recon.resources"));
  BOOST_TEST(has("entry watch.resources"));
  BOOST_TEST(has("quota delta.resources"));
  records.quotas.clear();
  records.entries = { buildValue<CatalogueEntry>(batchEntry("recon")) };
  BOOST_TEST(
    CatalogueCheck::check(records, {}, { workerTarget("Tulcea", 5000), workerTarget("Braila", 10) })
      .empty());
}

// Guards against a limit of the entry that hides another: the quota in force counts too.
BOOST_AUTO_TEST_CASE(request_limits_are_checked_against_the_objective_and_the_quota_in_force)
{
  CatalogueEntry::Fields entry = serviceEntry("pickup");
  entry.limits = buildValue<EntryLimits>({ .requestsPerSecond = 100, .concurrentRequests = 5 });
  entry.objective = buildValue<Objective>({ .latencyMs = 200, .share = 0.99 });
  const CatalogueRecords inForce{ .quotas = { buildValue<OwnerQuota>(
                                    { .owner = "guild", .requestsPerSecond = 50 }) } };
  const CatalogueRecords records{ .entries = { buildValue<CatalogueEntry>(entry) } };
  BOOST_TEST(
    (warnings(CatalogueCheck::check(records, inForce, {})) ==
     Paths{ "entry pickup.limits.concurrentRequests", "entry pickup.limits.requestsPerSecond" }));
}

// Guards against differences that are only in the text, and against missed ones.
BOOST_AUTO_TEST_CASE(catalogues_are_compared_by_meaning)
{
  const QueueCatalogue before = queueCatalogue(1, { jobQueue("a"), jobQueue("b") });
  BOOST_TEST(
    CatalogueCheck::compare(before, queueCatalogue(2, { jobQueue("b"), jobQueue("a") })).empty());
  const auto differences =
    CatalogueCheck::compare(before, queueCatalogue(2, { jobQueue("a", 3), jobQueue("c") }));
  BOOST_REQUIRE(differences.size() == 3u);
  BOOST_TEST((differences[0] == CatalogueDifference{ "queue a.priority", "0", "3" }));
  BOOST_TEST(differences[1].path == "queue b");
  BOOST_TEST(differences[1].after.empty());
  BOOST_TEST(differences[2].path == "queue c");
  BOOST_TEST(differences[2].before.empty());
  CatalogueEntry::Fields entry = batchEntry("recon");
  CatalogueRecords first{ .entries = { buildValue<CatalogueEntry>(entry),
                                       buildValue<CatalogueEntry>(standingEntry("watch", 1)) } };
  std::swap(entry.dataCentres[0], entry.dataCentres[1]);
  CatalogueRecords second{ .entries = { buildValue<CatalogueEntry>(entry) } };
  BOOST_TEST(CatalogueCheck::compare(first, second).empty());
  entry.dataCentres.pop_back();
  second.entries = { buildValue<CatalogueEntry>(entry) };
  BOOST_TEST(CatalogueCheck::compare(first, second).size() == 1u);
}

// Guards against a catalogue that is acknowledged without effect.
BOOST_AUTO_TEST_CASE(a_version_that_is_not_higher_is_found)
{
  const QueueCatalogue before = queueCatalogue(4, { jobQueue("a") });
  BOOST_TEST(CatalogueCheck::checkVersion(before, queueCatalogue(4, { jobQueue("b") })).size() ==
             1u);
  BOOST_TEST(CatalogueCheck::checkVersion(before, queueCatalogue(5, { jobQueue("b") })).empty());
}

BOOST_AUTO_TEST_SUITE_END()
