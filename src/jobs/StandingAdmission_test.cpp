#include "jobs/StandingAdmission.h"

#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A pool of 100 cores that has promised aTasks tasks of one core. */
PoolPromises
poolWith(std::int64_t aTasks, double aShortCpuMilli = 0, double aDeviationCpuMilli = 0)
{
  return { .capacityCpuMilli = 100000,
           .promisedCpuMilli = aTasks * 1000,
           .promisedTasks = aTasks,
           .shortWork = { aShortCpuMilli, aDeviationCpuMilli } };
}

bool
accepts(const PoolPromises& aPool)
{
  return !StandingAdmission::decide(aPool, standingJobOf("s", 1, 1000));
}

} // namespace

BOOST_AUTO_TEST_SUITE(standing_admission)

// Guards against SHORT: standing tasks are accepted until nothing is left.
BOOST_AUTO_TEST_CASE(room_for_restarts_is_not_promised)
{
  // Of 90 tasks 9.5 may start again at the same time.
  BOOST_TEST(accepts(poolWith(89)));
  BOOST_TEST(!accepts(poolWith(90)));
}

BOOST_AUTO_TEST_CASE(room_of_short_work_is_not_promised)
{
  BOOST_TEST(accepts(poolWith(84, 15000)));
  BOOST_TEST(!accepts(poolWith(85, 15000)));
  BOOST_TEST(accepts(poolWith(64, 15000, 20000)));
  BOOST_TEST(!accepts(poolWith(65, 15000, 20000)));
}

BOOST_AUTO_TEST_CASE(short_work_keeps_standing_work_out_of_half_of_the_pool_only)
{
  BOOST_TEST(accepts(poolWith(49, 1000000)));
  BOOST_TEST(!accepts(poolWith(50, 1000000)));
}

BOOST_AUTO_TEST_CASE(restarts_take_a_small_part_of_a_pool_with_few_tasks)
{
  const PoolPromises pool{ .capacityCpuMilli = 4000 };
  BOOST_TEST(!StandingAdmission::decide(pool, standingJobOf("s", 3, 1000)));
  BOOST_TEST(StandingAdmission::decide(pool, standingJobOf("s", 4, 1000)).has_value());
}

// Guards against tasks that are accepted by the sum of the free pieces, none of which holds them.
BOOST_AUTO_TEST_CASE(each_task_needs_a_worker)
{
  WorkerCandidate first = workerOf("w1", 4000, 1000);
  WorkerCandidate second = workerOf("w2", 4000, 1000);
  const JobDescription running = standingJobOf("r", 2, 2500);
  addRun(first, running.steps()[0], { "r", 0, 0, 0 });
  addRun(second, running.steps()[0], { "r", 0, 0, 1 });
  const auto hasWorkers = [&](const JobDescription& aJob,
                              const std::vector<WaitingTasks>& aWaiting = {}) {
    return StandingAdmission::hasWorkers({ first, second }, aWaiting, "desk", aJob);
  };
  BOOST_TEST(hasWorkers(standingJobOf("s", 2, 1500)));
  BOOST_TEST(!hasWorkers(standingJobOf("s", 1, 2000)));
  const JobDescription waiting = standingJobOf("t", 1, 1500);
  BOOST_TEST(
    !hasWorkers(standingJobOf("s", 2, 1500), { { "desk", "t.0.0", &waiting.steps()[0], 1 } }));
  JobStep::Fields limited = stepOf(3, 500, 10);
  limited.longRunning = true;
  BOOST_TEST(hasWorkers(jobOf("s", { limited })));
  limited.maxPerWorker = 1;
  BOOST_TEST(!hasWorkers(jobOf("s", { limited })), "a worker takes one task of the step");
}

BOOST_AUTO_TEST_CASE(short_runs_make_room)
{
  WorkerCandidate worker = workerOf("w1", 4000, 1000);
  const JobDescription running = jobOf("j", { stepOf(1, 3000, 600) });
  addRun(worker, running.steps()[0], { "j", 0, 0, 0 });
  worker.evictable.push_back({ { "j", 0, 0, 0 }, 1, 0, { 3000, 600, 0 }, 0 });
  JobStep::Fields standing = stepOf(1, 3500, 900);
  standing.longRunning = true;
  BOOST_TEST(StandingAdmission::hasWorkers({ worker }, {}, "desk", jobOf("s", { standing })));
}

BOOST_AUTO_TEST_CASE(jobs_without_long_running_tasks_are_accepted)
{
  BOOST_TEST(!StandingAdmission::decide(poolWith(100), jobOf("j", { stepOf(10, 1000, 10) })));
}

BOOST_AUTO_TEST_CASE(pool_without_known_workers_refuses_nothing)
{
  BOOST_TEST(accepts({}));
}

BOOST_AUTO_TEST_CASE(refusal_names_what_it_was_decided_from)
{
  const PoolPromises pool = poolWith(95);
  const std::optional<AdmissionRefusal> refusal =
    StandingAdmission::decide(pool, standingJobOf("s", 5, 1000));
  BOOST_REQUIRE(refusal.has_value());
  const AdmissionRefusal expected{ .askedCpuMilli = 5000, .reservedCpuMilli = 10000, .pool = pool };
  BOOST_TEST((*refusal == expected));
}

BOOST_AUTO_TEST_SUITE_END()
