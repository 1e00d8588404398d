#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

const std::int64_t kFirst = 0;
const std::int64_t kLater = 2;

JobStep
standingStep(std::int64_t aCpuMilli)
{
  JobStep::Fields step = stepOf(1, aCpuMilli, 10);
  step.longRunning = true;
  return valueOf(JobStep::create(step));
}

/** A worker of 8 cores without free ones, with short runs of aCpuMilli each. */
WorkerCandidate
fullWorker(const std::string& aWorker,
           std::int64_t aRuns,
           std::int64_t aCpuMilli,
           std::int64_t aPriority)
{
  WorkerCandidate worker = workerOf(aWorker, 8000, 1000);
  worker.used.cpuMilli = 8000;
  for (std::int64_t run = 0; run < aRuns; run++) {
    worker.evictable.push_back({ .task = { "z", 0, 0, run },
                                 .run = 1,
                                 .priority = aPriority,
                                 .size = { aCpuMilli, 10, 0 },
                                 .lostWork = static_cast<double>(run) });
  }
  return worker;
}

/** A planner for a pool that has aCpuMilli more than its tasks take and wait for. */
RoomPlanner
plannerWith(std::int64_t aCpuMilli)
{
  return RoomPlanner({ { "desk", aCpuMilli } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(room_planner)

// Guards against runs that are stopped for a task for which the stops under way free enough.
BOOST_AUTO_TEST_CASE(room_that_is_being_released_is_used_first)
{
  WorkerCandidate worker = fullWorker("w1", 2, 2000, kLater);
  worker.releasing.cpuMilli = 3000;
  const std::optional<RoomPlan> plan = plannerWith(0).plan(worker, standingStep(3000), kFirst);
  BOOST_REQUIRE(plan);
  BOOST_TEST(plan->victims.empty());
  BOOST_TEST(plan->awaitedCpuMilli == 0);
}

// Guards against runs that are stopped though their room is not needed.
BOOST_AUTO_TEST_CASE(the_cheapest_runs_are_stopped_and_no_more_than_needed)
{
  const std::optional<RoomPlan> plan =
    plannerWith(0).plan(fullWorker("w1", 4, 2000, kLater), standingStep(3000), kFirst);
  BOOST_REQUIRE(plan);
  BOOST_REQUIRE(plan->victims.size() == 2u);
  BOOST_TEST(plan->victims[0].task.index == 0);
  BOOST_TEST(plan->victims[1].task.index == 1);
}

// Guards against runs that are stopped for a task of the same priority: short ones are awaited, and
// only for a long-running task.
BOOST_AUTO_TEST_CASE(runs_of_the_same_priority_are_awaited)
{
  const WorkerCandidate worker = fullWorker("w1", 4, 2000, kFirst);
  const std::optional<RoomPlan> plan = plannerWith(0).plan(worker, standingStep(3000), kFirst);
  BOOST_REQUIRE(plan);
  BOOST_TEST(plan->victims.empty());
  BOOST_TEST(plan->awaitedCpuMilli == 3000);
  BOOST_TEST(!plannerWith(0).plan(worker, valueOf(JobStep::create(stepOf(1, 3000, 10))), kFirst));
}

// Guards against awaited room on all workers at once where short tasks need it too.
BOOST_AUTO_TEST_CASE(awaited_pieces_are_limited_in_a_pool_with_too_little_for_all)
{
  RoomPlanner planner = plannerWith(-1);
  const JobStep step = standingStep(3000);
  for (std::size_t piece = 0; piece < RoomPlanner::kMaxAwaitedPieces; piece++) {
    WorkerCandidate worker = fullWorker("w" + std::to_string(piece), 4, 2000, kFirst);
    const std::optional<RoomPlan> plan = planner.plan(worker, step, kFirst);
    BOOST_REQUIRE(plan);
    planner.carryOut(worker, *plan);
  }
  BOOST_TEST(!planner.plan(fullWorker("last", 4, 2000, kFirst), step, kFirst));
  BOOST_TEST(planner.plan(fullWorker("last", 4, 2000, kLater), step, kFirst).has_value(),
             "runs of a later priority are stopped in any case");
}

// Guards against a round that stops more runs than its bound.
BOOST_AUTO_TEST_CASE(evictions_of_a_round_are_limited)
{
  RoomPlanner planner = plannerWith(0);
  const JobStep step = standingStep(8000);
  for (std::size_t stopped = 0; stopped < RoomPlanner::kMaxEvictions; stopped += 4) {
    WorkerCandidate worker = fullWorker("w" + std::to_string(stopped), 4, 2000, kLater);
    const std::optional<RoomPlan> plan = planner.plan(worker, step, kFirst);
    BOOST_REQUIRE(plan);
    planner.carryOut(worker, *plan);
    BOOST_TEST(worker.evictable.empty());
    BOOST_TEST(worker.releasing.cpuMilli == 8000);
  }
  BOOST_TEST(planner.evictions().size() == RoomPlanner::kMaxEvictions);
  BOOST_TEST(!planner.plan(fullWorker("last", 4, 2000, kLater), step, kFirst));
}

BOOST_AUTO_TEST_SUITE_END()
