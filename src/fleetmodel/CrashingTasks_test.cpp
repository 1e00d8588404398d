#include "fleetmodel/fleetmodel.h"
#include "jobs/JobsFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ResourceAmount kWorkerCapacity{ 4000, 100000, 0 };

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_tasks)

// Guards against BUDGET: a task that crashes each worker that starts it is started without end.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_is_given_up)
{
  FleetModel fleet(4, kWorkerCapacity);
  fleet.run(1000);
  fleet.submit(jobOf("deadly", { stepOf(2, 1000, 10) }));
  fleet.makeDeadly("deadly.0.0.1");
  fleet.run(30000);
  BOOST_TEST(fleet.violations() == "");
  BOOST_TEST((fleet.stateOf("deadly") == JobState::eFailed));
}

// Guards against BUDGET: a task that takes longer than a second to crash its worker was never
// suspected and was started without end.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_late_is_given_up)
{
  for (const std::int64_t delayMs : { 1500, 2000, 5000, 12000 }) {
    FleetModel fleet(4, kWorkerCapacity);
    fleet.run(1000);
    JobStep::Fields longStep = stepOf(1, 1000, 10);
    longStep.estimateMs = 30000;
    JobStep::Fields harmlessStep = stepOf(6, 1000, 10);
    harmlessStep.estimateMs = 12000;
    fleet.submit(jobOf("harmless", { harmlessStep }));
    fleet.run(500);
    fleet.submit(jobOf("deadly", { longStep }));
    fleet.makeDeadly("deadly.0.0.0", delayMs);
    fleet.run(40000);
    fleet.changeLeader();
    fleet.run(120000);
    BOOST_TEST_CONTEXT("crash after " << delayMs << " ms")
    {
      BOOST_TEST(fleet.violations() == "");
      BOOST_TEST((fleet.stateOf("deadly") == JobState::eFailed));
      BOOST_TEST((fleet.stateOf("harmless") == JobState::eCompleted));
    }
  }
}

// Guards against a count of crashes that a change of leader resets.
BOOST_AUTO_TEST_CASE(crashes_are_counted_across_changes_of_leader)
{
  FleetModel fleet(4, kWorkerCapacity);
  fleet.run(1000);
  fleet.submit(jobOf("deadly", { stepOf(1, 1000, 10) }));
  fleet.makeDeadly("deadly.0.0.0");
  for (int change = 0; change < 15; change++) {
    fleet.run(2000);
    fleet.changeLeader();
  }
  fleet.run(10000);
  BOOST_TEST(fleet.violations() == "");
  BOOST_TEST((fleet.stateOf("deadly") == JobState::eFailed));
}

// Guards against blaming the tasks that shared a worker with a crashing one, in every crash.
BOOST_AUTO_TEST_CASE(tasks_beside_a_crashing_task_complete)
{
  for (unsigned seed = 1; seed <= 10; seed++) {
    std::mt19937 random(seed);
    FleetModel fleet(5, kWorkerCapacity);
    fleet.run(1000);
    std::vector<std::string> harmless;
    std::vector<std::string> deadly;
    for (int job = 0; job < 24; job++) {
      const std::string id = "j" + std::to_string(job);
      fleet.submit(jobOf(id, { stepOf(3, 400, 10) }));
      const bool isDeadly = random() % 8 == 0;
      (isDeadly ? deadly : harmless).push_back(id);
      if (isDeadly) {
        fleet.makeDeadly(id + ".0.0." + std::to_string(random() % 3));
      }
      fleet.run(static_cast<std::int64_t>(random() % 300));
    }
    fleet.run(60000);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(fleet.violations() == "");
      for (const std::string& id : harmless) {
        BOOST_TEST((fleet.stateOf(id) == JobState::eCompleted), id);
      }
      for (const std::string& id : deadly) {
        BOOST_TEST((fleet.stateOf(id) == JobState::eFailed), id);
      }
    }
  }
}

// Guards against taking a cut for a crash: the tasks of cut workers then wait for trials beside
// idle workers, and their jobs are given up.
BOOST_AUTO_TEST_CASE(tasks_of_workers_that_were_cut_off_are_not_suspected)
{
  constexpr std::size_t kWorkers = 8;
  FleetModel fleet(kWorkers, kWorkerCapacity);
  fleet.run(1000);
  std::vector<std::string> jobs;
  for (std::size_t round = 0; round < 30; round++) {
    for (int job = 0; job < 3; job++) {
      jobs.push_back("j" + std::to_string(round) + "-" + std::to_string(job));
      fleet.submit(jobOf(jobs.back(), { stepOf(4, 400, 10) }));
    }
    fleet.run(20);
    fleet.cutRelay(round % kWorkers, 6500);
    fleet.cutRelay((round + 3) % kWorkers, 6500);
    fleet.run(1980);
  }
  fleet.run(10000);
  BOOST_TEST(fleet.violations() == "");
  for (const std::string& id : jobs) {
    BOOST_TEST((fleet.stateOf(id) == JobState::eCompleted), id);
  }
}

// Guards against LOST: from the first crash of a task on, each lapse of its runs counted as a
// crash, and its job was given up after one crash and four cuts.
BOOST_AUTO_TEST_CASE(cuts_after_a_crash_do_not_give_a_job_up)
{
  constexpr std::size_t kWorkers = 6;
  constexpr std::int64_t kTasks = 4;
  FleetModel fleet(kWorkers, kWorkerCapacity);
  fleet.run(1000);
  fleet.addAccepted(standingJobOf("s", kTasks, 1000));
  fleet.run(3000);
  for (std::int64_t index = 0; index < kTasks; index++) {
    const std::size_t slot = fleet.slotOf("s.0.0." + std::to_string(index));
    if (slot < kWorkers) {
      fleet.crashWorker(slot);
    }
  }
  fleet.run(10000);
  for (int cut = 0; cut < 8; cut++) {
    fleet.cutRelay(fleet.slotOf("s.0.0." + std::to_string(cut % kTasks)) % kWorkers, 6500);
    fleet.run(2000);
    fleet.cutRelay(fleet.slotOf("s.0.0." + std::to_string((cut + 1) % kTasks)) % kWorkers, 6500);
    fleet.run(9000);
  }
  BOOST_TEST(fleet.violations() == "");
  BOOST_TEST((fleet.stateOf("s") == JobState::eRunning));
  for (std::int64_t index = 0; index < kTasks; index++) {
    BOOST_TEST(fleet.isRunning("s.0.0." + std::to_string(index)), index);
  }
}

// Guards against BUDGET: a crash whose relay was cut off until the lease had lapsed, or was
// restarted meanwhile and knew nothing of the run, was never counted.
BOOST_AUTO_TEST_CASE(crash_that_no_relay_reports_in_time_is_counted_when_the_relay_is_back)
{
  for (const bool isRelayRestarted : { false, true }) {
    FleetModel fleet(4, kWorkerCapacity);
    fleet.run(1000);
    fleet.submit(jobOf("deadly", { stepOf(1, 1000, 10) }));
    fleet.makeDeadly("deadly.0.0.0", 0);
    while (fleet.startsOf("deadly.0.0.0") == 0) {
      fleet.run(FleetModel::kStepMs);
    }
    for (std::size_t slot = 0; slot < fleet.slots(); slot++) {
      if (!fleet.worker(slot).isUp() || fleet.worker(slot).runs("deadly.0.0.0")) {
        if (isRelayRestarted) {
          fleet.restartRelay(slot);
        }
        fleet.cutRelay(slot, 9000);
      }
    }
    fleet.run(9000 + 2 * FleetModel::kRegistrationMs);
    BOOST_TEST_CONTEXT("relay restarted: " << isRelayRestarted)
    {
      fleet.run(60000);
      BOOST_TEST(fleet.violations() == "");
      BOOST_TEST((fleet.stateOf("deadly") == JobState::eFailed));
      BOOST_TEST(fleet.startsOf("deadly.0.0.0") <= Job::kMaxCrashes);
    }
  }
}

// Guards against LOST: after a series of crashing tasks all tasks that had been beside one were
// tried one after the other, and jobs had nothing running for a minute in a mostly free pool.
BOOST_AUTO_TEST_CASE(jobs_beside_a_series_of_crashing_tasks_do_not_wait_for_trials_of_all)
{
  constexpr std::int64_t kStepMs = 200;
  constexpr std::int64_t kSeriesMs = 40000;
  constexpr std::int64_t kDeadlyEveryMs = 1400;
  // The users' bound finish_s.
  constexpr std::int64_t kFinishMs = 14000;
  for (unsigned seed = 1; seed <= 3; seed++) {
    std::mt19937 random(seed);
    FleetModel fleet(10, { 30000, 100000, 0 });
    fleet.run(1000);
    std::vector<std::string> harmless;
    for (std::int64_t atMs = 0; atMs < kSeriesMs; atMs += kStepMs) {
      const std::string id = "j" + std::to_string(atMs);
      JobStep::Fields step = stepOf(10, 400, 10);
      step.estimateMs = 800 + static_cast<std::int64_t>(random() % 1500);
      fleet.submit(jobOf(id, { step }));
      if (atMs % kDeadlyEveryMs == 0) {
        fleet.makeDeadly(id + ".0.0." + std::to_string(random() % 10));
      } else {
        harmless.push_back(id);
      }
      fleet.run(kStepMs);
    }
    fleet.run(kFinishMs);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(fleet.violations() == "");
      std::size_t waiting = 0;
      for (const std::string& id : harmless) {
        waiting += fleet.stateOf(id) != JobState::eCompleted && !fleet.mayBeGivenUp(id) ? 1 : 0;
      }
      BOOST_TEST(waiting == 0u);
    }
  }
}

// Guards against BUDGET and against blaming harmless tasks when the evidence is lost with relays,
// leaders change, workers crash by themselves and tasks crash their workers late.
BOOST_AUTO_TEST_CASE(random_faults_neither_hide_crashing_tasks_nor_blame_others)
{
  constexpr int kEvents = 50;
  for (unsigned seed = 1; seed <= 40; seed++) {
    std::mt19937 random(seed);
    const auto below = [&random](std::int64_t aLimit) {
      return static_cast<std::int64_t>(random() % static_cast<unsigned>(aLimit));
    };
    FleetModel fleet(6, kWorkerCapacity);
    fleet.run(1000);
    std::vector<std::string> harmless;
    for (int event = 0; event < kEvents; event++) {
      const std::size_t slot = static_cast<std::size_t>(below(6));
      const std::string id = "j" + std::to_string(event);
      const std::int64_t count = 1 + below(5);
      fleet.submit(jobOf(id, { stepOf(count, 200 + 200 * below(4), 10) }));
      if (below(12) == 0) {
        fleet.makeDeadly(id + ".0.0." + std::to_string(below(count)), 10 + below(500));
      } else {
        harmless.push_back(id);
      }
      switch (below(8)) {
        case 0:
          fleet.crashWorker(slot);
          break;
        case 1:
          fleet.restartRelay(slot);
          break;
        case 2:
          fleet.freezeRelay(slot, 500 + below(4000));
          break;
        case 3:
          fleet.changeLeader();
          break;
        default:
          break;
      }
      fleet.run(50 + below(800));
    }
    fleet.run(60000);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(fleet.violations() == "");
      for (const std::string& id : harmless) {
        const bool isGivenUp = fleet.stateOf(id) == JobState::eFailed && fleet.mayBeGivenUp(id);
        BOOST_TEST((fleet.stateOf(id) == JobState::eCompleted || isGivenUp), id);
      }
    }
  }
}

// Guards against standing tasks that wait for trials in a full pool because they shared a worker
// with a crashing task, and against BUDGET on that way.
BOOST_AUTO_TEST_CASE(standing_tasks_beside_a_crashing_one_run_again_in_a_full_pool)
{
  constexpr std::int64_t kLongestWaitMs = 7000;
  for (unsigned seed = 1; seed <= 20; seed++) {
    std::mt19937 random(seed);
    FleetModel fleet(6, kWorkerCapacity);
    fleet.run(1000);
    constexpr std::int64_t kStandingTasks = 24;
    fleet.addAccepted(standingJobOf("s", kStandingTasks, 600));
    fleet.addAccepted(standingJobOf("deadly", 1, 600));
    fleet.makeDeadly("deadly.0.0.0", 10 + static_cast<std::int64_t>(random() % 700));
    std::int64_t longestWaitMs = 0;
    std::map<std::string, std::int64_t> waitsMs;
    for (int round = 0; round < 200; round++) {
      JobStep::Fields step = stepOf(2, 200 + 200 * static_cast<std::int64_t>(random() % 3), 10);
      step.estimateMs = 500 + static_cast<std::int64_t>(random() % 1000);
      fleet.submit(jobOf("j" + std::to_string(round), { step }));
      fleet.run(200);
      for (std::int64_t index = 0; index < kStandingTasks; index++) {
        const std::string task = "s.0.0." + std::to_string(index);
        std::int64_t& waitMs = waitsMs[task];
        waitMs = fleet.isRunning(task) ? 0 : waitMs + 200;
        longestWaitMs = std::max(longestWaitMs, waitMs);
      }
    }
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(fleet.violations() == "");
      BOOST_TEST((fleet.stateOf("deadly") == JobState::eFailed));
      BOOST_TEST(longestWaitMs <= kLongestWaitMs);
    }
  }
}

// Guards against BUDGET where several standing tasks crash their workers and share the blame with
// harmless ones, beside workers that crash by themselves and changes of leader.
BOOST_AUTO_TEST_CASE(crashing_standing_tasks_are_given_up_under_random_faults)
{
  constexpr int kEvents = 50;
  for (unsigned seed = 1; seed <= 20; seed++) {
    std::mt19937 random(seed);
    const auto below = [&random](std::int64_t aLimit) {
      return static_cast<std::int64_t>(random() % static_cast<unsigned>(aLimit));
    };
    FleetModel fleet(6, kWorkerCapacity);
    fleet.run(1000);
    std::vector<std::string> deadly;
    for (int event = 0; event < kEvents; event++) {
      const std::string id = "j" + std::to_string(event);
      if (below(4) == 0) {
        fleet.addAccepted(standingJobOf(id, 2, 400));
        if (below(2) == 0) {
          fleet.makeDeadly(id + ".0.0." + std::to_string(below(2)), 10 + below(1500));
          deadly.push_back(id);
        }
      } else {
        fleet.submit(jobOf(id, { stepOf(1 + below(5), 200 + 200 * below(4), 10) }));
      }
      switch (below(8)) {
        case 0:
          fleet.crashWorker(static_cast<std::size_t>(below(6)));
          break;
        case 1:
          fleet.changeLeader();
          break;
        default:
          break;
      }
      fleet.run(50 + below(800));
    }
    fleet.run(60000);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(fleet.violations() == "");
      for (const std::string& id : deadly) {
        BOOST_TEST((fleet.stateOf(id) == JobState::eFailed), id);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
