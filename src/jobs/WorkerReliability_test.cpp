#include "jobs/WorkerReliability.h"

#include "jobs/JobsFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

const MonotonicTime kStart = MonotonicTime().plusMs(1000000);

void
recordFailures(WorkerReliability& aReliability, const std::string& aWorker, int aCount)
{
  for (int number = 0; number < aCount; number++) {
    aReliability.record(aWorker, false, kStart);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_reliability)

// Load: a worker that fails all that it starts at once, in a full pool. It is always free, and took
// run after run until jobs had used up their attempts.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_gets_single_runs)
{
  WorkerReliability reliability;
  recordFailures(reliability, "w1", 4);
  const std::vector<std::string> pool = { "w1", "w2", "w3" };
  BOOST_TEST(reliability.runLimits(pool, kStart)[0] == 0);
  const MonotonicTime later = kStart.plusMs(WorkerReliability::kTrialIntervalMs);
  BOOST_TEST(reliability.runLimits(pool, later)[0] == 1);
  BOOST_TEST(reliability.runLimits(pool, later)[1] == WorkerReliability::kNoLimit);
  reliability.record("w1", true, later);
  reliability.record("w1", true, later);
  BOOST_TEST(reliability.runLimits(pool, later)[0] == WorkerReliability::kNoLimit);
}

// Load: jobs whose tasks fail wherever they run.
BOOST_AUTO_TEST_CASE(failures_among_successes_do_not_limit_a_worker)
{
  WorkerReliability reliability;
  for (int number = 0; number < 10; number++) {
    reliability.record("w1", number % 2 == 0, kStart);
  }
  BOOST_TEST(reliability.runLimits({ "w1", "w2", "w3" }, kStart)[0] == WorkerReliability::kNoLimit);
}

BOOST_AUTO_TEST_CASE(at_most_a_third_of_a_pool_is_limited)
{
  WorkerReliability reliability;
  std::vector<std::string> pool;
  for (int number = 0; number < 7; number++) {
    pool.push_back("w" + std::to_string(number));
    recordFailures(reliability, pool.back(), 4 + number);
  }
  const std::vector<std::int64_t> limits = reliability.runLimits(pool, kStart);
  BOOST_TEST(std::count(limits.begin(), limits.end(), WorkerReliability::kNoLimit) == 5);
  BOOST_TEST(limits[6] == 0, "the worst ones are limited");
}

BOOST_AUTO_TEST_CASE(failures_are_forgotten_with_time)
{
  WorkerReliability reliability;
  recordFailures(reliability, "w1", 4);
  const MonotonicTime later =
    kStart.plusMs(static_cast<std::int64_t>(WorkerReliability::kHalfLifeMs));
  BOOST_TEST(reliability.runLimits({ "w1", "w2", "w3" }, later)[0] == WorkerReliability::kNoLimit);
}

BOOST_AUTO_TEST_CASE(the_scheduler_keeps_to_the_limit_of_a_worker)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(5, 100, 10) })));
  std::vector<WorkerCandidate> workers = { workerOf("w1", 4000, 1000) };
  workers[0].maxRuns = 1;
  const InterferenceGuard guard;
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, workers, 0);
  BOOST_TEST(plan.assignments.size() == 1u);
  BOOST_REQUIRE(plan.waiting.size() == 1u);
  BOOST_TEST(plan.waiting.front().unreliableWorkers == 1);
}

// Guards against standing tasks that start together on a worker that fails everything, because only
// short runs counted.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_its_runs_gets_one_standing_task)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 5, 100)));
  std::vector<WorkerCandidate> workers = { workerOf("w1", 4000, 1000) };
  workers[0].maxRuns = 1;
  const InterferenceGuard guard;
  BOOST_TEST(JobScheduler::decide(jobs, guard, workers, 0).assignments.size() == 1u);
}

// Guards against a standing task that waits beside free room until a long short run has ended.
BOOST_AUTO_TEST_CASE(a_limited_worker_with_a_short_run_takes_a_standing_task)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 1, 100)));
  std::vector<WorkerCandidate> workers = { workerOf("w1", 4000, 1000) };
  workers[0].maxRuns = 1;
  workers[0].endingRuns = 1;
  const InterferenceGuard guard;
  BOOST_TEST(JobScheduler::decide(jobs, guard, workers, 0).assignments.size() == 1u);
}

// Guards against a worker that has recovered and stays limited to one standing run at a time,
// because it had failed many short runs before.
BOOST_AUTO_TEST_CASE(one_standing_run_without_a_failure_ends_the_limit)
{
  WorkerReliability reliability;
  recordFailures(reliability, "w1", 20);
  const MonotonicTime startedAt = kStart.plusMs(WorkerReliability::kTrialIntervalMs);
  const MonotonicTime provenAt = startedAt.plusMs(WorkerReliability::kStandingSuccessMs);
  BOOST_TEST(provenAt.msSince(kStart) < 3000, "callers tolerate 3 s beside room");
  const std::vector<std::string> pool = { "w1", "w2", "w3" };
  BOOST_TEST(reliability.runLimits(pool, provenAt)[0] == 1);
  reliability.recordStandingRun("w1", startedAt, provenAt);
  BOOST_TEST(reliability.runLimits(pool, provenAt)[0] == WorkerReliability::kNoLimit);
}

// Guards against a task that fails everywhere and takes the single run of a worker that has
// recovered, again and again, while another task waits that could prove the worker.
BOOST_AUTO_TEST_CASE(a_task_that_fails_everywhere_does_not_keep_others_from_a_limited_worker)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("failing", 1, 100)));
  jobs.apply(submitOf("urgent", standingJobOf("s", 2, 100)));
  for (std::int64_t run = 1; run <= WorkerReliability::kDoubtfulStarts; run++) {
    jobs.apply(startOf("failing.0.0.0", run));
    jobs.apply(valueOf(EndRuns::create(
      { .ends = { valueOf(RunEnding::create(
          { .task = "failing.0.0.0", .run = run, .how = RunEnd::eFailed, .ranMs = 200 })) } })));
  }
  std::vector<WorkerCandidate> workers = { workerOf("w1", 4000, 1000) };
  workers[0].maxRuns = 1;
  const InterferenceGuard guard;
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, workers, 0);
  BOOST_REQUIRE(plan.assignments.size() == 2u);
  BOOST_TEST(plan.assignments[0].start.task() == "failing.0.0.0");
  BOOST_TEST(plan.assignments[1].start.task() == "s.0.0.0");
}

// Guards against a sound worker that is limited because of the failures of such a task.
BOOST_AUTO_TEST_CASE(failures_of_a_doubtful_task_do_not_limit_a_worker)
{
  WorkerReliability reliability;
  for (int failure = 0; failure < 20; failure++) {
    reliability.recordDoubtfulFailure("w1", kStart);
  }
  BOOST_TEST(reliability.runLimits({ "w1", "w2", "w3" }, kStart)[0] == WorkerReliability::kNoLimit);
  BOOST_TEST(!reliability.hasJustFailedStandingRun("w1", kStart));
}

// Guards against a failing worker that is not noticed, because the failures of tasks whose earlier
// workers have left do not count.
BOOST_AUTO_TEST_CASE(a_task_that_has_lost_its_workers_is_not_doubtful)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 1, 100)));
  for (std::int64_t run = 1; run <= WorkerReliability::kDoubtfulStarts; run++) {
    jobs.apply(startOf("s.0.0.0", run));
    jobs.apply(valueOf(EndRuns::create(
      { .ends = { valueOf(RunEnding::create(
          { .task = "s.0.0.0", .run = run, .how = RunEnd::eLapsed, .ranMs = 60000 })) } })));
  }
  const Job* job = jobs.find("s");
  BOOST_TEST(!isDoubtful(job->steps()[0], *job->find({ "s", 0, 0, 0 })));
}

BOOST_AUTO_TEST_SUITE_END()
