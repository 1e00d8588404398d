#include "jobs/JobsFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

std::vector<WorkerCandidate>
poolOf(int aWorkers)
{
  std::vector<WorkerCandidate> workers;
  for (int index = 1; index <= aWorkers; index++) {
    workers.push_back(workerOf("w" + std::to_string(index), 4000, 1000));
    workers.back().relay = "relay-" + std::to_string(index);
  }
  return workers;
}

TrialTask
trialOf(std::int64_t aIndex, std::int64_t aCrashes, const std::string& aCrashPlace = "")
{
  return { { "j", 0, 0, aIndex }, "desk", aCrashes, aCrashPlace };
}

TrialFit
fitsNow(const WorkerCandidate& /*aWorker*/)
{
  return TrialFit::eNow;
}

/** A registry in which the task j.0.0.0 of two has crashed aCrashes workers at different places. */
JobRegistry
registryWithSuspect(std::int64_t aCrashes, std::int64_t aSuspects)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(2, 1000, 10) })));
  for (std::int64_t run = 1; run <= aCrashes; run++) {
    jobs.apply(valueOf(StartRuns::create(
      { .runs = { valueOf(RunStart::create({ .task = "j.0.0.0",
                                             .run = run,
                                             .worker = "w" + std::to_string(run),
                                             .bornMs = 1,
                                             .place = "relay-" + std::to_string(run) })) } })));
    jobs.apply(valueOf(
      EndRuns::create({ .ends = { valueOf(RunEnding::create({ .task = "j.0.0.0",
                                                              .run = run,
                                                              .how = RunEnd::eLapsed,
                                                              .crashSuspects = aSuspects,
                                                              .crashShare = 950 / aSuspects,
                                                              .crashCertain = true })) } })));
  }
  return jobs;
}

/** A registry with three standing tasks that ran on a worker when it crashed, each with a share of
 * the blame of aShare thousandths. */
JobRegistry
registryWithStandingSuspects(std::int64_t aShare)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 3, 1000)));
  for (const char* task : { "s.0.0.0", "s.0.0.1", "s.0.0.2" }) {
    jobs.apply(startOf(task, 1, "w0"));
    jobs.apply(valueOf(
      EndRuns::create({ .ends = { valueOf(RunEnding::create({ .task = task,
                                                              .run = 1,
                                                              .how = RunEnd::eLapsed,
                                                              .crashSuspects = 3,
                                                              .crashShare = aShare,
                                                              .crashCertain = true })) } })));
  }
  return jobs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_trials)

BOOST_AUTO_TEST_CASE(task_is_given_up_after_two_crashes_of_which_it_alone_may_be_the_cause)
{
  BOOST_TEST((registryWithSuspect(1, 1).find("j")->state() == JobState::eRunning));
  BOOST_TEST((registryWithSuspect(2, 1).find("j")->state() == JobState::eFailed));
}

// Guards against failing a job whose task only shared workers with a crashing one.
BOOST_AUTO_TEST_CASE(task_beside_others_is_not_given_up_after_two_crashes)
{
  BOOST_TEST((registryWithSuspect(2, 7).find("j")->state() == JobState::eRunning));
  BOOST_TEST(
    (registryWithSuspect(Job::kMaxCrashes - 1, 7).find("j")->state() == JobState::eRunning));
  BOOST_TEST((registryWithSuspect(Job::kMaxCrashes, 7).find("j")->state() == JobState::eFailed));
}

// Guards against failing a job whose task was assigned to crashed workers but never seen on them.
BOOST_AUTO_TEST_CASE(crashes_without_a_witness_count_only_towards_the_upper_limit)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(1, 1000, 10) })));
  for (std::int64_t run = 1; run <= Job::kMaxCrashes; run++) {
    BOOST_TEST((jobs.find("j")->state() != JobState::eFailed));
    jobs.apply(startOf("j.0.0.0", run));
    jobs.apply(
      valueOf(EndRuns::create({ .ends = { valueOf(RunEnding::create({ .task = "j.0.0.0",
                                                                      .run = run,
                                                                      .how = RunEnd::eLapsed,
                                                                      .crashSuspects = 1,
                                                                      .crashShare = 950 })) } })));
  }
  BOOST_TEST((jobs.find("j")->state() == JobState::eFailed));
}

// Guards against failing a job because of a worker that crashes by itself, again and again.
BOOST_AUTO_TEST_CASE(two_crashes_at_the_same_place_are_not_enough)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", jobOf("j", { stepOf(1, 1000, 10) })));
  for (std::int64_t run = 1; run <= 2; run++) {
    jobs.apply(startOf("j.0.0.0", run));
    jobs.apply(valueOf(
      EndRuns::create({ .ends = { valueOf(RunEnding::create({ .task = "j.0.0.0",
                                                              .run = run,
                                                              .how = RunEnd::eLapsed,
                                                              .crashSuspects = 1,
                                                              .crashShare = 950,
                                                              .crashCertain = true })) } })));
  }
  BOOST_TEST((jobs.find("j")->state() == JobState::eRunning));
}

BOOST_AUTO_TEST_CASE(crashes_survive_a_snapshot)
{
  StateSnapshot::Fields snapshot{ .appliedIndex = 1, .catalogueVersion = 0, .nextSession = 1 };
  registryWithSuspect(1, 1).writeTo(snapshot);
  const JobRegistry restored =
    JobRegistry::fromSnapshot(valueOf(StateSnapshot::create(std::move(snapshot))));
  BOOST_TEST(restored.find("j")->hasCrashSuspects());
  BOOST_TEST(restored.find("j")->find({ "j", 0, 0, 0 })->crashes == 1);
}

// Guards against giving up a standing task because of crashes that lie far apart.
BOOST_AUTO_TEST_CASE(harmless_run_clears_the_crashes_of_its_task)
{
  JobRegistry jobs = registryWithSuspect(1, 1);
  jobs.apply(startOf("j.0.0.0", 2));
  jobs.apply(valueOf(EndRuns::create(
    { .ends = { valueOf(RunEnding::create(
        { .task = "j.0.0.0", .run = 2, .how = RunEnd::eStopped, .harmless = true })) } })));
  BOOST_TEST(!jobs.find("j")->hasCrashSuspects());
  BOOST_TEST(jobs.find("j")->find({ "j", 0, 0, 0 })->crashes == 0);
}

// Guards against a second crash that does not tell which run caused it.
BOOST_AUTO_TEST_CASE(trial_gets_a_worker_of_its_own)
{
  std::vector<WorkerCandidate> workers = poolOf(3);
  workers[0].unprovenRuns = 1;
  TrialPlanner planner(workers, { trialOf(0, 1) });
  const WorkerCandidate* chosen = planner.choose(trialOf(0, 1, "relay-2"), fitsNow);
  BOOST_REQUIRE(chosen != nullptr);
  BOOST_TEST(chosen->worker == "w3");
  BOOST_TEST(chosen->isReserved);
}

BOOST_AUTO_TEST_CASE(trial_waits_on_a_reserved_worker_until_its_recent_runs_are_harmless)
{
  std::vector<WorkerCandidate> workers = poolOf(2);
  workers[0].unprovenRuns = 4;
  workers[1].unprovenRuns = 2;
  TrialPlanner planner(workers, { trialOf(0, 1) });
  BOOST_TEST(planner.choose(trialOf(0, 1), fitsNow) == nullptr);
  BOOST_TEST(!workers[0].isReserved);
  BOOST_TEST(workers[1].isReserved);
}

// Guards against a pool that does nothing but trials after a burst of starts has crashed with its
// worker.
BOOST_AUTO_TEST_CASE(trials_reserve_a_third_of_a_pool_and_share_it)
{
  std::vector<WorkerCandidate> workers = poolOf(6);
  std::vector<TrialTask> waiting;
  for (std::int64_t index = 0; index < 8; index++) {
    waiting.push_back(trialOf(index, 1));
  }
  TrialPlanner planner(workers, waiting);
  std::multiset<std::string> chosen;
  for (const TrialTask& task : waiting) {
    const WorkerCandidate* worker = planner.choose(task, fitsNow);
    BOOST_REQUIRE(worker != nullptr);
    chosen.insert(worker->worker);
  }
  BOOST_TEST(chosen.count("w1") == 4u);
  BOOST_TEST(chosen.count("w2") == 4u);
}

BOOST_AUTO_TEST_CASE(task_with_two_crashes_shares_no_worker)
{
  std::vector<WorkerCandidate> workers = poolOf(3);
  TrialPlanner planner(workers, { trialOf(0, 2), trialOf(1, 2) });
  BOOST_TEST(planner.choose(trialOf(0, 2), fitsNow) != nullptr);
  BOOST_TEST(planner.choose(trialOf(1, 2), fitsNow) == nullptr);
}

BOOST_AUTO_TEST_CASE(reserved_worker_gets_no_other_task)
{
  const JobRegistry jobs = registryWithSuspect(1, 1);
  const InterferenceGuard guard;
  std::vector<WorkerCandidate> workers = poolOf(2);
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, workers, 0);
  BOOST_REQUIRE(plan.assignments.size() == 2u);
  BOOST_TEST(plan.assignments[0].start.task() == "j.0.0.0");
  BOOST_TEST(plan.assignments[0].start.worker() == "w2", "not where it crashed a worker before");
  BOOST_TEST(plan.assignments[1].start.worker() == "w1");
}

// Guards against tasks that wait for trials beside idle workers: all tasks of the pool are
// suspects, and the third of it that trials may reserve is taken.
BOOST_AUTO_TEST_CASE(suspects_are_tried_on_idle_workers_beyond_a_third_of_the_pool)
{
  JobRegistry jobs = registryWithSuspect(2, 7);
  jobs.apply(submitOf("urgent", jobOf("k", { stepOf(1, 1000, 10) })));
  for (std::int64_t run = 1; run <= 2; run++) {
    jobs.apply(startOf("k.0.0.0", run));
    jobs.apply(valueOf(EndRuns::create(
      { .ends = { valueOf(RunEnding::create(
          { .task = "k.0.0.0", .run = run, .how = RunEnd::eLapsed, .crashSuspects = 7 })) } })));
  }
  const InterferenceGuard guard;
  std::vector<WorkerCandidate> workers = poolOf(4);
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, workers, 0);
  BOOST_TEST(plan.assignments.size() == 3u);
  std::set<std::string> used;
  for (const Assignment& assignment : plan.assignments) {
    used.insert(assignment.start.worker());
  }
  BOOST_TEST(used.size() == 3u, "each on a worker of its own");
}

// Guards against a worker that is reserved for ever, for capacity that standing tasks hold.
BOOST_AUTO_TEST_CASE(worker_filled_by_standing_tasks_is_not_reserved)
{
  const JobRegistry jobs = registryWithSuspect(1, 1);
  const InterferenceGuard guard;
  std::vector<WorkerCandidate> workers = poolOf(2);
  workers[1].used.cpuMilli = 3500;
  workers[1].longRunningCpuMilli = 3500;
  const SchedulePlan plan = JobScheduler::decide(jobs, guard, workers, 0);
  BOOST_REQUIRE(!plan.assignments.empty());
  BOOST_TEST(plan.assignments[0].start.task() == "j.0.0.0");
  BOOST_TEST(plan.assignments[0].start.worker() == "w1", "although a worker crashed there before");
}

// Guards against standing tasks that wait beside room for a trial, though others were there when
// their worker crashed: in a busy pool each worker has runs that have just begun.
BOOST_AUTO_TEST_CASE(standing_tasks_with_shared_blame_do_not_wait_for_a_worker_of_their_own)
{
  const InterferenceGuard guard;
  std::vector<WorkerCandidate> workers = poolOf(4);
  for (WorkerCandidate& worker : workers) {
    worker.unprovenRuns = 3;
  }
  std::vector<WorkerCandidate> again = workers;
  const SchedulePlan shared =
    JobScheduler::decide(registryWithStandingSuspects(300), guard, workers, 0);
  std::set<std::string> used;
  for (const Assignment& assignment : shared.assignments) {
    used.insert(assignment.start.worker());
  }
  BOOST_TEST(shared.assignments.size() == 3u);
  BOOST_TEST(used.size() == 3u, "none beside another");
  BOOST_TEST(std::none_of(workers.begin(), workers.end(), [](const WorkerCandidate& aWorker) {
    return aWorker.isReserved;
  }));
  const SchedulePlan single =
    JobScheduler::decide(registryWithStandingSuspects(950), guard, again, 0);
  BOOST_TEST(single.assignments.empty(), "a task that is likely to be the cause is tried apart");
}

// Guards against standing tasks that wait beside a worker on which a long trial takes little room:
// a trial works for twice the time of the crash, up to 20 s.
BOOST_AUTO_TEST_CASE(standing_tasks_join_a_trial_that_has_worked_for_a_while)
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 1, 1000)));
  jobs.apply(submitOf("urgent", jobOf("z", { stepOf(1, 1000, 10) })));
  const InterferenceGuard guard;
  const auto assigned = [&](std::int64_t aSuspects, std::int64_t aYoungSuspects) {
    std::vector<WorkerCandidate> workers = poolOf(1);
    workers[0].suspects = aSuspects;
    workers[0].youngSuspects = aYoungSuspects;
    workers[0].isReserved = true;
    std::set<std::string> tasks;
    for (const Assignment& assignment : JobScheduler::decide(jobs, guard, workers, 0).assignments) {
      tasks.insert(assignment.start.task());
    }
    return tasks;
  };
  BOOST_TEST((assigned(1, 0) == std::set<std::string>{ "s.0.0.0" }));
  BOOST_TEST(assigned(1, 1).empty(), "the trial has just begun");
  BOOST_TEST(assigned(0, 0).empty(), "the worker is reserved for a trial to come");
}

BOOST_AUTO_TEST_SUITE_END()
