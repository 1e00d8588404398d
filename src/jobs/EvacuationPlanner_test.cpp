#include "jobs/EvacuationPlanner.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <tuple>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A run of a long-running task that is at work. */
EvacuatedRun
standingRun(std::int64_t aIndex,
            std::int64_t aCount,
            std::optional<std::int64_t> aMaxUnavailable = std::nullopt)
{
  JobStep::Fields step = stepOf(aCount, 1000, 10);
  step.longRunning = true;
  step.maxUnavailable = aMaxUnavailable;
  static std::map<std::tuple<std::int64_t, std::optional<std::int64_t>>, JobStep> sSteps;
  const auto kept = sSteps.try_emplace({ aCount, aMaxUnavailable }, valueOf(JobStep::create(step)));
  return { .task = { "watch", 0, 0, aIndex },
           .run = 1,
           .dataCentre = "north",
           .poolName = "desk",
           .step = &kept.first->second,
           .progressPercent = 100 };
}

JobStep
batchStep(std::int64_t aEstimateMs, bool aCheckpoints, bool aGang = false)
{
  JobStep::Fields step = stepOf(1, 1000, 10);
  step.estimateMs = aEstimateMs;
  step.checkpoints = aCheckpoints;
  step.gang = aGang;
  return valueOf(JobStep::create(step));
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_planner)

// Guards against AVAIL: an evacuation that stops more tasks of a step than its budget allows, or
// any while others of the step are away for another cause.
BOOST_AUTO_TEST_CASE(moves_stay_within_the_disruption_budget_of_the_step)
{
  std::vector<EvacuatedRun> runs;
  for (std::int64_t index = 0; index < 5; index++) {
    runs.push_back(standingRun(index, 8, 2));
  }
  const std::vector<WorkerCandidate> elsewhere = { workerOf("w", 64000, 64000) };
  const EvacuationPlan plan = EvacuationPlanner::plan(runs, elsewhere);
  BOOST_TEST(plan.moves.size() == 2u);
  BOOST_TEST(plan.waitingForBudget.size() == 3u);
  for (EvacuatedRun& run : runs) {
    run.otherUnavailableTasks = 2;
  }
  BOOST_TEST(EvacuationPlanner::plan(runs, elsewhere).moves.empty());
  BOOST_TEST(EvacuationPlanner::plan({ standingRun(0, 8, 0) }, elsewhere).moves.empty());
  for (EvacuatedRun& run : runs) {
    run = standingRun(run.task.index, 8);
  }
  BOOST_TEST(EvacuationPlanner::plan(runs, elsewhere).moves.size() == 2u,
             "a quarter of a step without a budget");
}

// Guards against standing tasks that are stopped although nothing else can hold them, and against
// two of them that are stopped for the same room.
BOOST_AUTO_TEST_CASE(a_run_moves_only_while_another_worker_has_room_for_it)
{
  std::vector<EvacuatedRun> runs = { standingRun(0, 8, 8), standingRun(1, 8, 8) };
  const EvacuationPlan plan = EvacuationPlanner::plan(runs, { workerOf("w", 1500, 100) });
  BOOST_TEST(plan.moves.size() == 1u);
  BOOST_TEST(plan.waitingForRoom.size() == 1u);
  runs[0].isStopping = true;
  BOOST_TEST(EvacuationPlanner::plan(runs, { workerOf("w", 1500, 100) }).moves.empty(),
             "the run that is being stopped takes the room");
  WorkerCandidate otherPool = workerOf("w", 64000, 64000);
  otherPool.poolName = "other";
  BOOST_TEST(EvacuationPlanner::plan({ standingRun(1, 8, 8) }, { otherPool }).moves.empty());
  BOOST_TEST(EvacuationPlanner::plan({ standingRun(1, 8, 8) }, {}).waitingForRoom.size() == 1u);
}

// Guards against work that is lost by a move, and against a gang whose other members then wait.
BOOST_AUTO_TEST_CASE(other_runs_move_only_by_a_checkpoint_that_saves_a_long_wait)
{
  const std::vector<WorkerCandidate> elsewhere = { workerOf("w", 64000, 64000) };
  const auto movesOf = [&elsewhere](const JobStep& aStep, double aPercent) {
    const EvacuatedRun run{ .task = { "tally", 0, 0, 0 },
                            .run = 1,
                            .dataCentre = "north",
                            .poolName = "desk",
                            .step = &aStep,
                            .progressPercent = aPercent,
                            .hasCheckpoint = aStep.checkpoints() };
    return EvacuationPlanner::plan({ run }, elsewhere).moves.size();
  };
  const std::int64_t longMs = EvacuationPlanner::kMinRemainingMs * 4;
  BOOST_TEST(movesOf(batchStep(longMs, true), 10) == 1u);
  BOOST_TEST(movesOf(batchStep(longMs, true), 90) == 0u);
  BOOST_TEST(movesOf(batchStep(longMs, false), 10) == 0u);
  BOOST_TEST(movesOf(batchStep(longMs, true, true), 10) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
