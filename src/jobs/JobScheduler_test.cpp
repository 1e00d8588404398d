#include "jobs/JobsFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** Schedules one round with a guard that has learned nothing about interference. */
SchedulePlan
decide(const JobRegistry& aJobs, std::vector<WorkerCandidate> aWorkers, std::int64_t aWallMs = 0)
{
  const InterferenceGuard guard;
  return JobScheduler::decide(aJobs, guard, aWorkers, aWallMs);
}

std::map<std::string, std::string>
workersByTask(const SchedulePlan& aPlan)
{
  std::map<std::string, std::string> workerByTask;
  for (const Assignment& assignment : aPlan.assignments) {
    workerByTask[assignment.start.task()] = assignment.start.worker();
  }
  return workerByTask;
}

JobStep::Fields
longRunningStep(std::int64_t aCount, std::int64_t aCpuMilli, std::int64_t aMemoryMb)
{
  JobStep::Fields step = stepOf(aCount, aCpuMilli, aMemoryMb);
  step.longRunning = true;
  step.latencyObjectiveMs = 150;
  step.image = "serving";
  return step;
}

JobStep::Fields
opportunisticStep(std::int64_t aCount, std::int64_t aCpuMilli, std::int64_t aMemoryMb)
{
  JobStep::Fields step = stepOf(aCount, aCpuMilli, aMemoryMb);
  step.opportunistic = true;
  step.checkpoints = true;
  step.image = "batch";
  return step;
}

/** Number of workers that a round examines in a full pool with the given number of waiting jobs. */
std::int64_t
examinedWorkers(std::int64_t aJobs)
{
  JobRegistry jobs = registryWithQueues();
  for (std::int64_t job = 0; job < aJobs; job++) {
    jobs.apply(submitOf("urgent", jobOf("u" + std::to_string(job), { stepOf(10, 1500, 10) })));
    jobs.apply(submitOf("tally", jobOf("t" + std::to_string(job), { stepOf(10, 1500, 10) })));
  }
  std::vector<WorkerCandidate> workers;
  for (std::int64_t index = 0; index < 20; index++) {
    workers.push_back(workerOf("w" + std::to_string(index), 1000, 1000));
  }
  const InterferenceGuard guard;
  return JobScheduler::decide(jobs, guard, workers, 0).examinedWorkers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_scheduler)

BOOST_AUTO_TEST_CASE(no_worker_is_assigned_more_than_its_capacity)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(10, 1000, 10) })));
  const SchedulePlan plan =
    decide(jobs, { workerOf("w1", 3000, 1000), workerOf("w2", 2500, 1000) });
  BOOST_TEST(plan.assignments.size() == 5u);
  BOOST_TEST(plan.waiting.size() == 1u);
  BOOST_TEST(plan.waiting.front().fullWorkers == 2);
}

BOOST_AUTO_TEST_CASE(a_step_waits_for_the_steps_it_depends_on)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields second = stepOf(1, 100, 10);
  second.after = { 0 };
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(1, 100, 10), second })));
  const std::vector<WorkerCandidate> workers = { workerOf("w1", 3000, 1000) };
  BOOST_TEST(workersByTask(decide(jobs, workers)).contains("j.0.0.0"));
  BOOST_TEST(!workersByTask(decide(jobs, workers)).contains("j.0.1.0"));
  jobs.apply(startOf("j.0.0.0", 1));
  BOOST_TEST(decide(jobs, workers).assignments.empty());
  jobs.apply(endOf("j.0.0.0", 1, RunEnd::eDone));
  BOOST_TEST(workersByTask(decide(jobs, workers)).contains("j.0.1.0"));
}

BOOST_AUTO_TEST_CASE(the_queue_with_the_lower_priority_number_goes_first)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("tally", jobOf("a", { stepOf(1, 1000, 10) })));
  jobs.apply(submitOf("urgent", jobOf("b", { stepOf(1, 1000, 10) })));
  const SchedulePlan plan = decide(jobs, { workerOf("w1", 1000, 1000) });
  BOOST_TEST(workersByTask(plan).contains("b.0.0.0"));
  BOOST_TEST(plan.assignments.size() == 1u);
}

// After a burst some jobs are late in any case. They must not delay the jobs that can still meet
// their objective.
BOOST_AUTO_TEST_CASE(jobs_that_can_meet_their_objective_go_before_late_ones)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("tally", jobOf("late", { stepOf(1, 1000, 10) }), 1000));
  jobs.apply(submitOf("tally", jobOf("new", { stepOf(1, 1000, 10) }), 9000));
  BOOST_TEST(
    workersByTask(decide(jobs, { workerOf("w1", 1000, 1000) }, 9000)).contains("new.0.0.0"));
  BOOST_TEST(
    workersByTask(decide(jobs, { workerOf("w1", 1000, 1000) }, 1500)).contains("late.0.0.0"));
}

// Guards against a backlog in which jobs that nobody waits for any more make all others late as
// well.
BOOST_AUTO_TEST_CASE(late_job_that_still_counts_goes_before_an_overdue_one)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("a-overdue", { stepOf(1, 1000, 10) }), 0));
  jobs.apply(submitOf("urgent", jobOf("b-late", { stepOf(1, 1000, 10) }), 7000));
  const std::vector<WorkerCandidate> workers = { workerOf("w1", 1000, 1000) };
  BOOST_TEST(workersByTask(decide(jobs, workers, 10500)).contains("b-late.0.0.0"));
  jobs.apply(startOf("b-late.0.0.0", 1));
  BOOST_TEST(workersByTask(decide(jobs, workers, 10500)).contains("a-overdue.0.0.0"));
}

BOOST_AUTO_TEST_CASE(required_labels_task_limits_per_worker_and_preferred_racks_are_respected)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields labelled = stepOf(1, 100, 10);
  labelled.requiredLabel = "b";
  JobStep::Fields spread = stepOf(3, 100, 10);
  spread.maxPerWorker = 1;
  JobStep::Fields near = stepOf(2, 100, 10);
  near.preferredRack = "r2";
  jobs.apply(submitOf("urgent", jobOf("j", { labelled, spread, near })));
  WorkerCandidate other = workerOf("w2", 3000, 1000);
  other.labels = { "b", "r2" };
  other.rack = "r2";
  const auto workerByTask = workersByTask(decide(jobs, { workerOf("w1", 3000, 1000), other }));
  BOOST_TEST(workerByTask.at("j.0.0.0") == "w2");
  BOOST_TEST(workerByTask.contains("j.0.1.1"));
  BOOST_TEST(!workerByTask.contains("j.0.1.2"), "two workers, one task each");
  BOOST_TEST(workerByTask.at("j.0.2.0") == "w2");
  BOOST_TEST(workerByTask.at("j.0.2.1") == "w2");
}

BOOST_AUTO_TEST_CASE(all_tasks_of_a_gang_start_together_or_none_does)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields step = stepOf(3, 1000, 10);
  step.gang = true;
  jobs.apply(submitOf("urgent", jobOf("g", { step })));
  BOOST_TEST(decide(jobs, { workerOf("w1", 2000, 1000) }).assignments.empty());
  const SchedulePlan plan =
    decide(jobs, { workerOf("w1", 2000, 1000), workerOf("w2", 1000, 1000) });
  BOOST_TEST(plan.assignments.size() == 3u);
  BOOST_TEST(plan.assignments[0].start.run() == plan.assignments[2].start.run());
}

BOOST_AUTO_TEST_CASE(an_occurrence_waits_until_it_is_due)
{
  JobRegistry jobs = registryWithQueues();
  JobDescription::Fields timed = jobOf("t", { stepOf(1, 100, 10) }).fields();
  timed.occurrences = 2;
  timed.firstDueMs = 5000;
  timed.intervalMs = 1000;
  jobs.apply(submitOf("urgent", valueOf(JobDescription::create(timed))));
  const std::vector<WorkerCandidate> workers = { workerOf("w1", 3000, 1000) };
  BOOST_TEST(decide(jobs, workers, 4999).assignments.empty());
  BOOST_TEST(decide(jobs, workers, 5000).assignments.size() == 1u);
  BOOST_TEST(decide(jobs, workers, 6000).assignments.size() == 2u);
}

// After a power failure the long-running tasks of many jobs restart at once and need all remaining
// capacity, beside tasks that already run.
BOOST_AUTO_TEST_CASE(long_running_tasks_can_use_all_remaining_capacity)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("s", { longRunningStep(2, 6400, 13000) })));
  WorkerCandidate nearlyFull = workerOf("w1", 32000, 128000);
  nearlyFull.used = { 25600, 52000, 0 };
  nearlyFull.longRunningCpuMilli = 25600;
  WorkerCandidate other = nearlyFull;
  other.worker = "w2";
  BOOST_TEST(decide(jobs, { nearlyFull, other }).assignments.size() == 2u);
}

// Long-running tasks of several images take most of a pool, and batch work of many images
// interferes with some of them. Packing the former on few workers leaves the other workers to the
// batch work.
BOOST_AUTO_TEST_CASE(serving_tasks_are_packed_on_few_workers)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields other = longRunningStep(4, 6400, 13000);
  other.image = "other";
  jobs.apply(submitOf("urgent", jobOf("a", { longRunningStep(4, 6400, 13000) })));
  jobs.apply(submitOf("urgent", jobOf("b", { other })));
  jobs.apply(submitOf("urgent", jobOf("c", { longRunningStep(1, 6400, 13000) })));
  std::vector<WorkerCandidate> workers;
  for (const char* name : { "w1", "w2", "w3", "w4" }) {
    workers.push_back(workerOf(name, 32000, 128000));
  }
  std::map<std::string, std::set<std::string>> imagesByWorker;
  for (const auto& [task, worker] : workersByTask(decide(jobs, workers))) {
    imagesByWorker[worker].insert(task.front() == 'b' ? "other" : "serving");
  }
  BOOST_TEST(imagesByWorker.size() == 2u, "nine tasks fit on two workers");
}

BOOST_AUTO_TEST_CASE(serving_tasks_prefer_a_worker_with_their_image_over_the_fullest_worker)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("a", { longRunningStep(1, 6400, 13000) })));
  WorkerCandidate sameImage = workerOf("w1", 32000, 128000);
  sameImage.used.cpuMilli = 6400;
  sameImage.servingRuns["serving"] = 1;
  WorkerCandidate fullest = workerOf("w2", 32000, 128000);
  fullest.used.cpuMilli = 19200;
  fullest.servingRuns["other"] = 3;
  WorkerCandidate empty = workerOf("w3", 48000, 128000);
  BOOST_TEST(workersByTask(decide(jobs, { empty, fullest, sameImage })).at("a.0.0.0") == "w1");
  BOOST_TEST(workersByTask(decide(jobs, { empty, fullest })).at("a.0.0.0") == "w2");
}

// Opportunistic tasks have filled the memory when long-running tasks of a higher priority restart.
BOOST_AUTO_TEST_CASE(the_cheapest_runs_of_a_lower_priority_queue_are_evicted)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("s", { longRunningStep(1, 6400, 13000) })));
  jobs.apply(submitOf("tally", jobOf("b", { opportunisticStep(4, 3500, 6400) })));
  WorkerCandidate worker = workerOf("w1", 32000, 20000);
  worker.used = { 0, 19200, 0 };
  const ResourceAmount size{ 0, 6400, 0 };
  worker.evictable = { { { "x", 0, 0, 0 }, 1, 2, size, 5 },
                       { { "x", 0, 0, 1 }, 1, 2, size, 1 },
                       { { "x", 0, 0, 2 }, 1, 2, size, 3 } };
  const SchedulePlan plan = decide(jobs, { worker });
  BOOST_TEST(plan.assignments.empty(), "nothing else may take the capacity that is being freed");
  BOOST_REQUIRE(plan.evictions.size() == 2u);
  BOOST_TEST(plan.evictions[0].task.text() == "x.0.0.1");
  BOOST_TEST(plan.evictions[1].task.text() == "x.0.0.2");
}

BOOST_AUTO_TEST_CASE(no_run_is_evicted_while_stopping_runs_free_enough_capacity)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("s", { longRunningStep(1, 6400, 13000) })));
  WorkerCandidate worker = workerOf("w1", 32000, 20000);
  worker.used = { 0, 19200, 0 };
  worker.releasing = { 0, 12800, 0 };
  worker.evictable = { { { "x", 0, 0, 0 }, 1, 2, { 0, 6400, 0 }, 5 } };
  const SchedulePlan plan = decide(jobs, { worker });
  BOOST_TEST(plan.assignments.empty());
  BOOST_TEST(plan.evictions.empty());
}

BOOST_AUTO_TEST_CASE(runs_of_equal_priority_are_not_evicted)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("s", { longRunningStep(1, 6400, 13000) })));
  WorkerCandidate worker = workerOf("w1", 32000, 20000);
  worker.used = { 0, 19200, 0 };
  worker.evictable = { { { "x", 0, 0, 0 }, 1, 0, { 0, 19200, 0 }, 5 } };
  BOOST_TEST(decide(jobs, { worker }).evictions.empty());
}

// A burst of batch work arrives while a serving task is near its objective.
BOOST_AUTO_TEST_CASE(opportunistic_tasks_avoid_workers_with_tasks_near_their_objective)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("tally", jobOf("b", { opportunisticStep(2, 3500, 6400) })));
  WorkerCandidate nearObjective = workerOf("w1", 32000, 128000);
  nearObjective.serving = { { "serving", 140, 150, "s.0.0.0" } };
  WorkerCandidate farFromObjective = workerOf("w2", 32000, 128000);
  farFromObjective.serving = { { "serving", 40, 150, "s.0.0.0" } };
  const auto workerByTask = workersByTask(decide(jobs, { nearObjective, farFromObjective }));
  BOOST_TEST(workerByTask.at("b.0.0.0") == "w2");
  BOOST_TEST(workerByTask.at("b.0.0.1") == "w2");
}

// A batch image interferes with one image of serving tasks from time to time. While it does not,
// its tasks must still be placed beside other images.
BOOST_AUTO_TEST_CASE(an_image_that_interfered_recently_prefers_workers_with_unaffected_tasks)
{
  InterferenceGuard guard;
  InterferenceGuard::State state;
  const MonotonicTime start = MonotonicTime::fromMs(1000000);
  constexpr std::int64_t kReportMs = 250;
  constexpr int kReports = 80;
  const std::vector<OpportunisticTask> beside = { { "x.0.0.0", "batch", 0.1, 0.1, 100 } };
  for (int report = 0; report < kReports; report++) {
    // The image interferes for two seconds.
    const bool isInterfering = report >= 20 && report < 28;
    guard.observe(state,
                  { { "frail", isInterfering ? 300.0 : 40.0, 150, "s.0.0.0" },
                    { "robust", 40, 150, "s.0.0.1" } },
                  report < 10 ? std::vector<OpportunisticTask>() : beside,
                  start.plusMs(report * kReportMs));
  }
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("tally", jobOf("b", { opportunisticStep(1, 3500, 6400) })));
  WorkerCandidate frail = workerOf("w1", 32000, 128000);
  frail.serving = { { "frail", 40, 150, "s.0.0.0" } };
  WorkerCandidate busierRobust = workerOf("w2", 32000, 128000);
  busierRobust.serving = { { "robust", 40, 150, "s.0.0.1" } };
  busierRobust.used.cpuMilli = 4000;
  std::vector<WorkerCandidate> workers = { frail, busierRobust };
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, workers, 0);
  BOOST_TEST(workersByTask(plan).at("b.0.0.0") == "w2");
}

// At the end of a day few long-running tasks are left, and the remaining batch work is expected to
// interfere with all of them. Its job must make progress nevertheless.
BOOST_AUTO_TEST_CASE(a_job_does_not_starve_while_its_pool_is_mostly_free)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("tally", jobOf("b", { opportunisticStep(8, 4650, 7152) })));
  WorkerCandidate first = workerOf("w1", 32000, 128000);
  first.serving = { { "serving", 145, 150, "s.0.0.0" } };
  WorkerCandidate second = workerOf("w2", 32000, 128000);
  second.serving = { { "serving", 140, 150, "s.0.0.0" } };
  const auto workerByTask = workersByTask(decide(jobs, { first, second }));
  BOOST_TEST(workerByTask.size() == 1u, "one task is enough for progress");
  BOOST_TEST(workerByTask.at("b.0.0.0") == "w2", "where it interferes least");
  first.used.cpuMilli = 30000;
  second.used.cpuMilli = 30000;
  BOOST_TEST(decide(jobs, { first, second }).assignments.empty());
}

BOOST_AUTO_TEST_CASE(a_worker_on_which_runs_fail_is_used_last)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(1, 100, 10) })));
  WorkerCandidate failing = workerOf("w1", 32000, 128000);
  failing.failureRank = 4;
  WorkerCandidate busy = workerOf("w2", 32000, 128000);
  busy.used = { 20000, 1000, 0 };
  BOOST_TEST(workersByTask(decide(jobs, { failing, busy })).at("j.0.0.0") == "w2");
  BOOST_TEST(workersByTask(decide(jobs, { failing })).at("j.0.0.0") == "w1");
}

// Load: a burst in which the job with the earliest deadline is larger than the capacity until then.
// Earliest deadline first gives it all workers, and every job is late.
BOOST_AUTO_TEST_CASE(in_a_burst_the_capacity_goes_to_jobs_that_can_be_on_time)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("tally", jobOf("large", { opportunisticStep(200, 1000, 10) }), 0));
  for (const char* name : { "a", "b", "c" }) {
    jobs.apply(submitOf("tally", jobOf(name, { opportunisticStep(8, 1000, 10) }), 1));
  }
  const SchedulePlan plan =
    decide(jobs, { workerOf("w1", 12000, 100000), workerOf("w2", 12000, 100000) }, 1);
  std::map<std::string, int> tasksByJob;
  for (const Assignment& assignment : plan.assignments) {
    tasksByJob[assignment.task.jobId]++;
  }
  BOOST_TEST(tasksByJob["a"] == 8);
  BOOST_TEST(tasksByJob["b"] == 8);
  BOOST_TEST(tasksByJob["c"] == 8);
  BOOST_TEST(tasksByJob["large"] <= 1, "at most the task that keeps a waiting job going");
}

// Guards against SHORT: the cost of a round grows with the queue, so that a leader with a long
// queue leaves room idle.
BOOST_AUTO_TEST_CASE(full_pool_is_not_searched_for_each_waiting_task)
{
  BOOST_TEST(examinedWorkers(200) == examinedWorkers(10));
}

BOOST_AUTO_TEST_SUITE_END()
