#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A registry with a job 's' of one long-running task of 2 cores. */
JobRegistry
registryWithStandingTask()
{
  JobRegistry jobs = registryWithQueues();
  jobs.apply(submitOf("urgent", standingJobOf("s", 1, 2000)));
  return jobs;
}

const JobStep&
standingStep(const JobRegistry& aJobs)
{
  return aJobs.find("s")->steps()[0];
}

} // namespace

BOOST_AUTO_TEST_SUITE(standing_wait_meter)

// Guards against room that a reading counts although no worker, or one worker only, has it.
BOOST_AUTO_TEST_CASE(readings_of_room_differ_by_pieces)
{
  const JobRegistry jobs = registryWithStandingTask();
  const auto read = [&jobs](const std::vector<WorkerCandidate>& aWorkers) {
    return readRoom(aWorkers, "desk", standingStep(jobs), "s.0.0");
  };
  using Readings = std::array<bool, kRoomReadings>;
  const WorkerCandidate small = workerOf("w1", 1500, 1000);
  const WorkerCandidate fitting = workerOf("w2", 2000, 1000);
  const WorkerCandidate large = workerOf("w3", 4000, 1000);
  BOOST_TEST((read({ small, small }) == Readings{ false, false, false, false }));
  BOOST_TEST((read({ small, small, small }) == Readings{ false, false, true, false }));
  BOOST_TEST((read({ fitting, fitting }) == Readings{ true, false, true, true }));
  BOOST_TEST((read({ large }) == Readings{ false, true, true, false }));
  WorkerCandidate busy = fitting;
  busy.used.cpuMilli = 1500;
  busy.evictable.push_back({ { "j", 0, 0, 0 }, 1, 0, { 1500, 0, 0 }, 0 });
  BOOST_TEST((read({ busy, busy }) == Readings{ false, false, false, true }));
}

// Guards against a wait that is counted before the time of an ordinary restart, or under the wrong
// cause.
BOOST_AUTO_TEST_CASE(time_beyond_an_ordinary_restart_is_counted_by_cause)
{
  JobRegistry jobs = registryWithStandingTask();
  WorkerCandidate limited = workerOf("w1", 4000, 1000);
  limited.maxRuns = 1;
  limited.youngStandingRuns = 1;
  StandingWaitMeter meter;
  const auto observe = [&](std::int64_t aMs) {
    return meter.observe(jobs, { limited }, {}, {}, MonotonicTime::fromMs(aMs));
  };
  observe(1000);
  BOOST_TEST(observe(7000).begun.empty());
  BOOST_TEST(meter.overdueTasks() == 0u);
  BOOST_TEST(observe(7500).begun.size() == 1u);
  BOOST_TEST(meter.overdueTasks() == 1u);
  BOOST_TEST(meter.sumMs(RoomReading::eOneWorker, StandingWaitCause::eLimited) == 500);
  BOOST_TEST(meter.sumMs(RoomReading::eTwoWorkers, StandingWaitCause::eLimited) == 0);
  SchedulePlan plan;
  plan.assignments.push_back(
    { valueOf(RunStart::create({ .task = "s.0.0.0", .run = 1, .worker = "w1", .bornMs = 1 })),
      { "s", 0, 0, 0 } });
  BOOST_TEST(meter.observe(jobs, { limited }, plan, {}, MonotonicTime::fromMs(8000)).ended.empty());
  BOOST_TEST(meter.overdueTasks() == 1u);
  jobs.apply(startOf("s.0.0.0", 1));
  const StandingWaitMeter::Changes changes = observe(8100);
  BOOST_REQUIRE(changes.ended.size() == 1u);
  BOOST_TEST(changes.ended.front().waitedMs == 7000);
  BOOST_TEST(meter.overdueTasks() == 0u);
  BOOST_TEST(meter.sumMs(RoomReading::eOneWorker) == 500);
}

// Guards against a run that only the leader believes in and that hides the wait of its task.
BOOST_AUTO_TEST_CASE(run_that_no_list_shows_counts_as_waiting)
{
  JobRegistry jobs = registryWithStandingTask();
  jobs.apply(startOf("s.0.0.0", 1));
  const std::vector<WorkerCandidate> workers = { workerOf("w1", 4000, 1000) };
  StandingWaitMeter meter;
  meter.observe(jobs, workers, {}, { "s.0.0.0" }, MonotonicTime::fromMs(1000));
  meter.observe(jobs, workers, {}, { "s.0.0.0" }, MonotonicTime::fromMs(8000));
  BOOST_TEST(meter.sumMs(RoomReading::eOneWorker, StandingWaitCause::eUnlisted) == 7000);
  meter.observe(jobs, workers, {}, {}, MonotonicTime::fromMs(9000));
  BOOST_TEST(meter.overdueTasks() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
