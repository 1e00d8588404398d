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

// Guards against a sum that hides whether room was there on end or in short pieces: only room for
// seconds on end breaks the users' rule.
BOOST_AUTO_TEST_CASE(longest_stretch_ends_at_a_gap)
{
  JobRegistry jobs = registryWithStandingTask();
  const std::vector<WorkerCandidate> open = { workerOf("w1", 2000, 1000),
                                              workerOf("w2", 2000, 1000) };
  const std::vector<WorkerCandidate> full = { workerOf("w1", 1000, 1000) };
  StandingWaitMeter meter;
  const auto observe = [&](const std::vector<WorkerCandidate>& aWorkers, std::int64_t aMs) {
    return meter.observe(jobs, aWorkers, {}, {}, MonotonicTime::fromMs(aMs));
  };
  observe(full, 1000);
  observe(full, 7100);
  observe(open, 7500);
  observe(open, 8100);
  BOOST_TEST(meter.longestMs(RoomReading::eTwoWorkers) == 1000);
  observe(full, 8200);
  observe(open, 8800);
  BOOST_TEST(meter.longestMs(RoomReading::eTwoWorkers) == 1000, "the gap has split the time");
  BOOST_TEST(meter.sumMs(RoomReading::eTwoWorkers) == 1600);
  BOOST_TEST(meter.longestMs(RoomReading::eOneWorker) == 0);
  observe(open, 9900);
  BOOST_TEST(meter.longestMs(RoomReading::eTwoWorkers) == 1700);
  jobs.apply(startOf("s.0.0.0", 1));
  const StandingWaitMeter::Changes changes = observe(open, 10000);
  BOOST_REQUIRE(changes.ended.size() == 1u);
  BOOST_TEST(changes.ended.front().longestMs[static_cast<std::size_t>(RoomReading::eTwoWorkers)] ==
             1700);
  BOOST_TEST(meter.longestMs(RoomReading::eTwoWorkers) == 0);
  BOOST_TEST(meter.longestMsOfTerm(RoomReading::eTwoWorkers) == 1700);
  meter.clear();
  BOOST_TEST(meter.longestMsOfTerm(RoomReading::eTwoWorkers) == 0);
}

// Guards against a stretch that seems to end with an assignment that its worker then refuses.
BOOST_AUTO_TEST_CASE(assignment_does_not_split_a_stretch)
{
  const JobRegistry jobs = registryWithStandingTask();
  const std::vector<WorkerCandidate> workers = { workerOf("w1", 2000, 1000),
                                                 workerOf("w2", 2000, 1000) };
  SchedulePlan plan;
  plan.assignments.push_back(
    { valueOf(RunStart::create({ .task = "s.0.0.0", .run = 1, .worker = "w1", .bornMs = 1 })),
      { "s", 0, 0, 0 } });
  StandingWaitMeter meter;
  meter.observe(jobs, workers, {}, {}, MonotonicTime::fromMs(1000));
  meter.observe(jobs, workers, {}, {}, MonotonicTime::fromMs(7100));
  const std::int64_t before = meter.longestMs(RoomReading::eTwoWorkers);
  meter.observe(jobs, workers, plan, {}, MonotonicTime::fromMs(7200));
  meter.observe(jobs, workers, {}, {}, MonotonicTime::fromMs(7300));
  BOOST_TEST(meter.longestMs(RoomReading::eTwoWorkers) == before + 200);
}

// Guards against room that the users see at a worker and the meter does not, because the leader has
// not committed the end of a run yet.
BOOST_AUTO_TEST_CASE(run_that_has_ended_at_its_worker_takes_no_room)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields step = stepOf(1, 2000, 10);
  step.longRunning = true;
  step.maxPerWorker = 1;
  jobs.apply(submitOf("urgent", jobOf("s", { step })));
  const auto read = [&jobs](const WorkerCandidate& aWorker) {
    return readRoom({ aWorker, aWorker }, "desk", standingStep(jobs), "s.0.0");
  };
  using Readings = std::array<bool, kRoomReadings>;
  WorkerCandidate busy = workerOf("w1", 2000, 1000);
  addRun(busy, standingStep(jobs), { "s", 0, 0, 0 });
  busy.evictable.push_back({ { "s", 0, 0, 0 }, 1, 0, { 2000, 10, 0 }, 0 });
  BOOST_TEST((read(busy) == Readings{ false, false, false, false }));
  busy.endedRuns.push_back({ { "s", 0, 0, 0 }, { 2000, 10, 0 } });
  BOOST_TEST((read(withoutEndedRuns(busy)) == Readings{ true, false, true, true }));
  StandingWaitMeter meter;
  meter.observe(jobs, { busy, busy }, {}, {}, MonotonicTime::fromMs(1000));
  meter.observe(jobs, { busy, busy }, {}, {}, MonotonicTime::fromMs(8000));
  BOOST_TEST(meter.longestMs(RoomReading::eTwoWorkers) == 7000);
  BOOST_TEST(meter.sumMs(RoomReading::eTwoWorkers, StandingWaitCause::eNoRoom) == 7000,
             "the leader has no room for it before the commit");
}

// Guards against idle workers of another pool that count as room that a standing task waits for.
BOOST_AUTO_TEST_CASE(pool_is_awaited_while_a_task_has_no_run)
{
  JobRegistry jobs = registryWithStandingTask();
  StandingWaitMeter meter;
  meter.observe(jobs, {}, {}, {}, MonotonicTime::fromMs(1000));
  BOOST_TEST(meter.isAwaited("desk"));
  BOOST_TEST(!meter.isAwaited("yard"));
  jobs.apply(startOf("s.0.0.0", 1));
  meter.observe(jobs, {}, {}, { "s.0.0.0" }, MonotonicTime::fromMs(1100));
  BOOST_TEST(!meter.isAwaited("desk"), "its run is assigned and not listed yet");
}

BOOST_AUTO_TEST_SUITE_END()
