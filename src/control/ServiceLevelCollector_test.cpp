#include "control/ServiceLevelCollector.h"
#include "control/SilenceMonitor.h"
#include "control/control_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

std::vector<ServiceCounters>
counters(std::int64_t aTotal, std::int64_t aGood)
{
  return { buildValue<ServiceCounters>({ .entryName = "pickup",
                                         .total = aTotal,
                                         .good = aGood,
                                         .latencyCounts = { aGood, aTotal - aGood } }) };
}

} // namespace

// Guards against counting a duplicate or resent heartbeat twice, and against the counts of one
// gateway replacing those of another.
BOOST_AUTO_TEST_CASE(increase_of_cumulative_counters_is_summed_per_minute)
{
  ServiceLevelCollector collector;
  collector.onGatewayStarted("g1", "i1");
  collector.onGatewayStarted("g2", "i1");
  collector.addCounters("g1", "i1", counters(10, 8), 5);
  collector.addCounters("g1", "i1", counters(10, 8), 5);
  collector.addCounters("g2", "i1", counters(4, 4), 5);
  collector.addCounters("g1", "i1", counters(15, 9), 6);
  const std::vector<ServiceLevelRow> rows = collector.takeRows();
  BOOST_REQUIRE(rows.size() == 2U);
  BOOST_TEST(rows[0].total() == 14);
  BOOST_TEST(rows[0].good() == 12);
  BOOST_TEST((rows[0].latencyCounts() == std::vector<std::int64_t>{ 12, 2 }));
  BOOST_TEST(rows[1].total() == 5);
  BOOST_TEST(collector.takeRows().empty());
  BOOST_TEST((collector.takeLatencies().at("pickup") == std::vector<std::int64_t>{ 13, 6 }));
}

// Guards against a new leader that counts a gateway's requests since its start again.
BOOST_AUTO_TEST_CASE(first_counters_of_an_already_running_gateway_set_the_baseline)
{
  ServiceLevelCollector collector;
  collector.addCounters("g1", "i1", counters(1000, 900), 5);
  BOOST_TEST(collector.takeRows().empty());
  collector.addCounters("g1", "i1", counters(1003, 902), 5);
  const std::vector<ServiceLevelRow> rows = collector.takeRows();
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0].total() == 3);
  collector.restoreRows(rows);
  BOOST_TEST((collector.takeRows() == rows));
}

// Guards against treating the reset counters of a restarted gateway as a decrease, which would lose
// its counts.
BOOST_AUTO_TEST_CASE(restarted_gateway_counts_from_zero)
{
  ServiceLevelCollector collector;
  collector.onGatewayStarted("g1", "i1");
  collector.addCounters("g1", "i1", counters(100, 100), 5);
  collector.takeRows();
  collector.onGatewayStarted("g1", "i2");
  collector.addCounters("g1", "i2", counters(7, 7), 5);
  BOOST_TEST(collector.takeRows()[0].total() == 7);
}

// Guards against a hanging standing task that is not detected, and against false alarms caused by
// clock differences between VMs.
BOOST_AUTO_TEST_CASE(standing_task_without_liveness_signal_is_silent)
{
  ControlServiceFixture service;
  service.change(entryChange("w", 0, taskEntry("watch", EntryKind::eStanding).fields()));
  SilenceMonitor monitor;
  const MonotonicTime now = service.mNow;
  BOOST_TEST(monitor.silentTasks(service.mState, now).empty());
  const auto usage = [](std::int64_t aAliveAtMs) {
    return buildValue<TargetUsage>(
      { .tasks = { buildValue<TaskUsage>({ .taskId = "watch/#1", .aliveAtMs = aAliveAtMs }) } });
  };
  monitor.recordUsage(usage(7000), 7100, now.plusMs(3000));
  BOOST_TEST(monitor.silentTasks(service.mState, now.plusMs(7900)).empty());
  monitor.recordUsage(usage(7000), 12100, now.plusMs(8000));
  BOOST_TEST(monitor.silentTasks(service.mState, now.plusMs(8000)).size() == 1U);
}
