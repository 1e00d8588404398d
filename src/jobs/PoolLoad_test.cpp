#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

BOOST_AUTO_TEST_SUITE(pool_load)

// Guards against a load line that hides why a large task waits beside much free processor time.
BOOST_AUTO_TEST_CASE(free_processor_time_of_a_pool_is_told_apart_from_that_of_one_worker)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 3, 2000)));
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(2, 1000, 10) })));
  jobs.apply(startOf("s.0.0.0", 1));
  WorkerCandidate first = workerOf("w1", 3000, 1000);
  WorkerCandidate second = workerOf("w2", 1500, 1000);
  addRun(first, jobs.find("s")->steps()[0], { "s", 0, 0, 0 });
  const std::vector<PoolLoad> loads = summarizePools({ first, second }, jobs, 0);
  BOOST_REQUIRE(loads.size() == 1u);
  const PoolLoad expected{ .poolName = "desk",
                           .workers = 2,
                           .capacityCpuMilli = 4500,
                           .longRunningCpuMilli = 2000,
                           .freeCpuMilli = 2500,
                           .largestFreeCpuMilli = 1500,
                           .freeMemoryMb = 1990,
                           .promisedCpuMilli = 6000,
                           .waitingLongRunning = 2,
                           .waitingOther = 2 };
  BOOST_TEST((loads.front() == expected));
}

BOOST_AUTO_TEST_CASE(steps_that_are_not_ready_do_not_count_as_waiting)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields second = stepOf(4, 100, 10);
  second.after = { 0 };
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(1, 100, 10), second })));
  const std::vector<PoolLoad> loads = summarizePools({}, jobs, 0);
  BOOST_REQUIRE(loads.size() == 1u);
  BOOST_TEST(loads.front().waitingOther == 1);
}

BOOST_AUTO_TEST_SUITE_END()
