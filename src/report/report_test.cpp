#include "report/report.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

constexpr std::int64_t kNowMinute = 1000;

CatalogueEntry
entryOf(const std::string& aName, std::int64_t aFinishWithinMs)
{
  const EntryLimits limits = valueOf(EntryLimits::create({ .finishWithinMs = aFinishWithinMs }));
  const Objective objective = valueOf(Objective::create({ .latencyMs = 100, .share = 0.9 }));
  return valueOf(CatalogueEntry::create({ .name = aName,
                                          .owner = "guild",
                                          .dataCentres = { "Waco" },
                                          .limits = limits,
                                          .objective = objective }));
}

ServiceLevelRow
rowOf(std::int64_t aMinute, std::int64_t aTotal, std::int64_t aGood)
{
  return valueOf(ServiceLevelRow::create(
    { .entryName = "pickup", .minute = aMinute, .total = aTotal, .good = aGood }));
}

BurnReport
reportOf(std::vector<ServiceLevelRow> aRows, std::vector<TaskRecord> aTasks = {})
{
  return BurnReport::create(
    valueOf(ReportRows::create({ .requestId = "r",
                                 .nowMs = kNowMinute * 60000,
                                 .entries = { entryOf("pickup", 0), entryOf("tally", 600000) },
                                 .rows = std::move(aRows),
                                 .tasks = std::move(aTasks),
                                 .silent = { "watcher/#1<" } })));
}

TaskRecord
taskOf(const std::string& aId, std::int64_t aAgeMs)
{
  return valueOf(TaskRecord::create({ .taskId = aId,
                                      .entryName = "tally",
                                      .state = TaskState::eRunning,
                                      .submittedAtMs = kNowMinute * 60000 - aAgeMs }));
}

} // namespace

// Guards against a burn rate that counts rows outside its window or divides by the wrong budget.
BOOST_AUTO_TEST_CASE(burn_rates_count_their_windows_only)
{
  const BurnReport report = reportOf({ rowOf(kNowMinute, 100, 70),
                                       rowOf(kNowMinute - 10, 100, 100),
                                       rowOf(kNowMinute - 100, 100, 100) });
  const EntryBurn& burn = report.entries().front();
  BOOST_TEST(burn.mShortBurnRate == 3.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(burn.mLongBurnRate == 1.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(burn.mBudgetUsed == 1.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(late_tasks_are_listed_before_they_miss_their_time)
{
  const BurnReport report =
    reportOf({}, { taskOf("early", 100000), taskOf("soon", 500000), taskOf("over", 700000) });
  BOOST_REQUIRE(report.lateTasks().size() == 2U);
  BOOST_TEST(report.lateTasks()[0].mTaskId == "soon");
  BOOST_TEST(!report.lateTasks()[0].mMissed);
  BOOST_TEST(report.lateTasks()[1].mMissed);
}

BOOST_AUTO_TEST_CASE(html_page_escapes_names_and_has_the_plots)
{
  const std::string html = reportOf({ rowOf(kNowMinute, 10, 10) }).toHtml();
  BOOST_TEST(html.find("watcher/#1&lt;") != std::string::npos);
  BOOST_TEST(html.find("<svg") != std::string::npos);
}
