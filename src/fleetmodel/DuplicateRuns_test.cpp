#include "fleetmodel/fleetmodel.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ResourceAmount kWorkerCapacity{ 4000, 100000, 0 };

/** Submits jobs of both priorities, so that runs are evicted, among leader changes, restarted,
 * frozen and cut-off relays, crashing workers and, with aStartsAreDelayed, starts that take effect
 * late. Returns the violated rules. */
std::string
playRandomFaults(unsigned aSeed, ModelWorkerDeviations aDeviations, bool aStartsAreDelayed)
{
  constexpr int kEvents = 80;
  constexpr std::size_t kWorkers = 6;
  std::mt19937 random(aSeed);
  const auto below = [&random](std::int64_t aLimit) {
    return static_cast<std::int64_t>(random() % static_cast<unsigned>(aLimit));
  };
  FleetModel fleet(kWorkers, kWorkerCapacity, aDeviations);
  fleet.run(1000);
  for (int event = 0; event < kEvents; event++) {
    const std::size_t slot = static_cast<std::size_t>(below(kWorkers));
    JobStep::Fields step = stepOf(1 + below(8), 200 + 200 * below(6), 10);
    step.estimateMs = 100 + below(2000);
    step.longRunning = below(12) == 0;
    fleet.submit(jobOf("j" + std::to_string(event), { step }), below(3) == 0 ? "urgent" : "tally");
    switch (below(8)) {
      case 0:
        fleet.crashWorker(slot);
        break;
      case 1:
        fleet.restartRelay(slot);
        break;
      case 2:
        fleet.freezeRelay(slot, 200 + below(4000));
        break;
      case 3:
      case 4:
        fleet.changeLeader();
        break;
      case 5:
        fleet.cutRelay(slot, 200 + below(7000));
        break;
      case 6:
        for (std::size_t each = 0; aStartsAreDelayed && each < kWorkers; each++) {
          fleet.worker(each).delayNextStart(below(3000));
        }
        break;
      default:
        break;
    }
    fleet.run(20 + below(500));
  }
  fleet.run(5000);
  return fleet.violations();
}

} // namespace

BOOST_AUTO_TEST_SUITE(duplicate_runs)

// Guards against TWICE and LIMIT when starts take effect late and runs are evicted.
BOOST_AUTO_TEST_CASE(random_faults_start_no_task_twice)
{
  for (unsigned seed = 1; seed <= 40; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(playRandomFaults(seed, {}, true) == "");
    }
  }
}

// Guards against TWICE and LIMIT: a new leader ordered the start of runs that their worker listed
// as ended, and the start came after the acknowledgement of the end.
BOOST_AUTO_TEST_CASE(run_is_not_started_after_its_end_was_acknowledged)
{
  for (unsigned seed = 1; seed <= 40; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(playRandomFaults(seed, { .forgetsAcknowledgedEnds = true }, false) == "");
    }
  }
}

// Guards against TWICE and LIMIT: lists were taken for newer than the answer that closed a run,
// though the worker had read them before the run began late.
BOOST_AUTO_TEST_CASE(lists_read_before_a_late_start_end_no_run)
{
  for (unsigned seed = 1; seed <= 40; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(playRandomFaults(seed, { .readsListsAtRequest = true }, true) == "");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
