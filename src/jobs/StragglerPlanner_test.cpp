#include "jobs/StragglerPlanner.h"

#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A run of a task of 2,000 ms that is half done and makes progress at a share of full speed. */
StragglerCandidate
runAtSpeed(double aSpeed)
{
  constexpr double kRunTimeMs = 2000;
  return { .task = { "j", 0, 0, 0 },
           .run = 1,
           .percent = 50,
           .percentPerMs = aSpeed * 100 / kRunTimeMs,
           .observedMs = 2000,
           .runTime = { .medianMs = kRunTimeMs, .logDeviation = 0.3 },
           .checkpoints = true };
}

} // namespace

BOOST_AUTO_TEST_SUITE(straggler_planner)

// Load: opportunistic tasks that are slowed down to a fifth in favour of tasks that serve users.
BOOST_AUTO_TEST_CASE(a_run_that_is_slowed_down_for_long_ends_sooner_elsewhere)
{
  const std::optional<Straggler> straggler = StragglerPlanner::judge(runAtSpeed(0.2));
  BOOST_REQUIRE(straggler.has_value());
  BOOST_TEST(straggler->gainMs == 5000 - 1000 - StragglerPlanner::kRestartMs,
             boost::test_tools::tolerance(0.001));
  BOOST_TEST(StragglerPlanner::judge(runAtSpeed(0)).has_value(), "a run that stands still");
}

BOOST_AUTO_TEST_CASE(a_run_near_full_speed_is_left_alone)
{
  BOOST_TEST(!StragglerPlanner::judge(runAtSpeed(1)).has_value());
  BOOST_TEST(!StragglerPlanner::judge(runAtSpeed(0.5)).has_value());
}

BOOST_AUTO_TEST_CASE(a_run_near_its_end_is_left_alone)
{
  StragglerCandidate run = runAtSpeed(0.2);
  run.percent = 90;
  BOOST_TEST(!StragglerPlanner::judge(run).has_value());
}

BOOST_AUTO_TEST_CASE(without_a_checkpoint_all_of_the_work_counts)
{
  StragglerCandidate run = runAtSpeed(0.25);
  BOOST_TEST(StragglerPlanner::judge(run).has_value());
  run.checkpoints = false;
  BOOST_TEST(!StragglerPlanner::judge(run).has_value());
}

BOOST_AUTO_TEST_CASE(a_run_is_not_judged_before_it_was_measured)
{
  StragglerCandidate run = runAtSpeed(0);
  run.observedMs = StragglerPlanner::kMinObservedMs - 1;
  BOOST_TEST(!StragglerPlanner::judge(run).has_value());
}

// Load: one of two workers slows its tasks down, the other one has room. The last task of a step
// moves before a later job takes the room.
BOOST_AUTO_TEST_CASE(the_scheduler_keeps_the_room_elsewhere_for_the_next_run_of_a_straggler)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields step = stepOf(1, 1000, 10);
  step.opportunistic = true;
  step.image = "batch";
  jobs.apply(submitOf("tally", jobOf("a", { step })));
  jobs.apply(submitOf("tally", jobOf("b", { step }), 10));
  jobs.apply(startOf("a.0.0.0", 1, "w1"));
  std::vector<WorkerCandidate> workers = { workerOf("w1", 1000, 10), workerOf("w2", 1000, 10) };
  addRun(workers[0], jobs.find("a")->steps()[0], { "a", 0, 0, 0 });
  workers[0].stragglers["a.0.0.0"] = { .run = 1, .isStopping = false };
  const InterferenceGuard guard;

  std::vector<WorkerCandidate> firstRound = workers;
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, firstRound, 100);
  BOOST_REQUIRE(plan.restarts.size() == 1u);
  BOOST_TEST(plan.restarts[0].task.text() == "a.0.0.0");
  BOOST_TEST(plan.restarts[0].to == "w2");
  BOOST_TEST(plan.assignments.empty(), "the room is kept for the run that is being stopped");

  workers[0].stragglers["a.0.0.0"].isStopping = true;
  const SchedulePlan next = JobScheduler::decide(jobs, guard, workers, 200);
  BOOST_TEST(next.restarts.empty());
  BOOST_TEST(next.assignments.empty());
}

BOOST_AUTO_TEST_CASE(a_straggler_without_room_elsewhere_keeps_running)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields step = stepOf(1, 1000, 10);
  step.opportunistic = true;
  jobs.apply(submitOf("tally", jobOf("a", { step })));
  jobs.apply(startOf("a.0.0.0", 1, "w1"));
  std::vector<WorkerCandidate> workers = { workerOf("w1", 4000, 100) };
  addRun(workers[0], jobs.find("a")->steps()[0], { "a", 0, 0, 0 });
  workers[0].stragglers["a.0.0.0"] = { .run = 1, .isStopping = false };
  const InterferenceGuard guard;
  BOOST_TEST(JobScheduler::decide(jobs, guard, workers, 100).restarts.empty(),
             "its own worker is no other place");
}

BOOST_AUTO_TEST_SUITE_END()
