#include "fleetmodel/fleetmodel.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ResourceAmount kWorkerCapacity{ 4000, 100000, 0 };

JobDescription
jobWithRunTime(const std::string& aJobId,
               std::int64_t aCount,
               std::int64_t aCpuMilli,
               std::int64_t aRunTimeMs)
{
  JobStep::Fields step = stepOf(aCount, aCpuMilli, 10);
  step.estimateMs = aRunTimeMs;
  return jobOf(aJobId, { step });
}

} // namespace

BOOST_AUTO_TEST_SUITE(shrinking_workers)

BOOST_AUTO_TEST_CASE(worker_that_shrank_gets_no_run_beyond_its_capacity)
{
  FleetModel fleet(1, kWorkerCapacity);
  fleet.run(1000);
  fleet.submit(jobWithRunTime("long", 2, 1000, 20000));
  fleet.run(500);
  fleet.setCapacity(0, { 2500, 100000, 0 });
  fleet.run(FleetModel::kContactMs + FleetModel::kRegistrationMs + 100);
  fleet.submit(jobWithRunTime("late", 2, 1000, 1000));
  fleet.run(5000);
  BOOST_TEST(fleet.violations() == "");
  BOOST_TEST(fleet.startsOf("late.0.0.0") == 0);
  fleet.setCapacity(0, kWorkerCapacity);
  fleet.run(5000);
  BOOST_TEST((fleet.stateOf("late") == JobState::eCompleted));
}

// Guards against LIMIT: the relay's machine stands still with a start order in its socket while the
// worker shrinks, and the order goes out when the machine wakes.
BOOST_AUTO_TEST_CASE(start_order_that_waited_in_a_frozen_relay_is_not_sent)
{
  FleetModel fleet(1, kWorkerCapacity);
  fleet.run(1000);
  fleet.submit(jobWithRunTime("long", 2, 1000, 20000));
  fleet.run(500);
  fleet.freezeRelay(0, FleetModel::kContactMs + FleetModel::kRegistrationMs + 500);
  fleet.submit(jobWithRunTime("late", 2, 1000, 1000));
  fleet.run(100);
  fleet.setCapacity(0, { 2500, 100000, 0 });
  fleet.run(8000);
  BOOST_TEST(fleet.violations() == "");
}

// Guards against LIMIT: a run was assigned before its worker shrank and its start order was lost
// with the relay's process, or a new leader repeats the order.
BOOST_AUTO_TEST_CASE(start_order_is_not_repeated_after_its_worker_shrank)
{
  FleetModel fleet(1, kWorkerCapacity);
  fleet.run(1000);
  fleet.submit(jobWithRunTime("long", 2, 1000, 30000));
  fleet.run(500);
  fleet.freezeRelay(0, 400);
  fleet.submit(jobWithRunTime("late", 2, 1000, 1000));
  fleet.run(50);
  fleet.restartRelay(0);
  fleet.freezeRelay(0, FleetModel::kContactMs + FleetModel::kRegistrationMs);
  fleet.setCapacity(0, { 2500, 100000, 0 });
  fleet.run(FleetModel::kContactMs + FleetModel::kRegistrationMs + 200);
  fleet.changeLeader();
  fleet.run(5000);
  BOOST_TEST(fleet.violations() == "");
}

// Guards against LIMIT and TWICE under series of shrinking workers, crashes, restarted and frozen
// relays and changes of leader that overlap.
BOOST_AUTO_TEST_CASE(random_faults_bring_no_worker_over_its_capacity)
{
  constexpr int kEvents = 60;
  for (unsigned seed = 1; seed <= 40; seed++) {
    std::mt19937 random(seed);
    const auto below = [&random](std::int64_t aLimit) {
      return static_cast<std::int64_t>(random() % static_cast<unsigned>(aLimit));
    };
    FleetModel fleet(4, kWorkerCapacity);
    fleet.run(1000);
    for (int event = 0; event < kEvents; event++) {
      const std::size_t slot = static_cast<std::size_t>(below(4));
      fleet.submit(
        jobWithRunTime(
          "j" + std::to_string(event), 1 + below(5), 300 + 300 * below(4), 500 + below(3000)),
        below(2) == 0 ? "urgent" : "tally");
      switch (below(8)) {
        case 0:
        case 1:
        case 2:
          fleet.setCapacity(slot, { 1000 + 500 * below(7), 100000, 0 });
          break;
        case 3:
          fleet.crashWorker(slot);
          break;
        case 4:
          fleet.restartRelay(slot);
          break;
        case 5:
          fleet.freezeRelay(slot, 500 + below(6000));
          break;
        case 6:
          fleet.changeLeader();
          break;
        default:
          break;
      }
      fleet.run(50 + below(1200));
    }
    fleet.run(10000);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(fleet.violations() == "");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
