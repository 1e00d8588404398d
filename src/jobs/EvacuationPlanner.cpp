#include "jobs/EvacuationPlanner.h"

#include <algorithm>
#include <map>

namespace magnoliadrum {

namespace {

constexpr double kFullPercent = 100;

/** Whether the worker may run a task of the run's step and has room for it now. */
bool
hasRoom(const WorkerCandidate& aWorker, const EvacuatedRun& aRun)
{
  const JobStep& step = *aRun.step;
  if (aWorker.isReserved || !isPermitted(aWorker, aRun.poolName, step, stepName(aRun.task))) {
    return false;
  }
  if (step.opportunistic() &&
      unusedCpuMilli(aWorker) < static_cast<double>(step.resources().cpuMilli())) {
    return false;
  }
  return fits(aWorker, step);
}

/** Takes room for the run on a worker; false if there is none. */
bool
takeRoom(std::vector<WorkerCandidate>& aWorkers, const EvacuatedRun& aRun)
{
  const auto worker =
    std::find_if(aWorkers.begin(), aWorkers.end(), [&aRun](const WorkerCandidate& aWorker) {
      return hasRoom(aWorker, aRun);
    });
  if (worker == aWorkers.end()) {
    return false;
  }
  addRun(*worker, *aRun.step, aRun.task);
  return true;
}

/** Number of tasks of the step that may be unavailable at the same time. */
std::int64_t
budgetOf(const JobStep& aStep)
{
  const std::int64_t share = static_cast<std::int64_t>(static_cast<double>(aStep.count()) *
                                                       EvacuationPlanner::kShareWithoutBudget);
  return aStep.maxUnavailable().value_or(std::max<std::int64_t>(1, share));
}

/** Whether waiting for the end of the run takes longer than a move is worth. */
bool
paysToMove(const EvacuatedRun& aRun)
{
  const double remainingShare = std::max(0.0, 1 - aRun.progressPercent / kFullPercent);
  const double remainingMs = remainingShare * static_cast<double>(aRun.step->estimateMs());
  return aRun.step->checkpoints() && aRun.hasCheckpoint &&
         remainingMs >= static_cast<double>(EvacuationPlanner::kMinRemainingMs);
}

} // namespace

EvacuationPlan
EvacuationPlanner::plan(const std::vector<EvacuatedRun>& aRuns,
                        std::vector<WorkerCandidate> aElsewhere)
{
  EvacuationPlan plan;
  std::size_t moving = 0;
  for (const EvacuatedRun& run : aRuns) {
    if (run.isStopping) {
      takeRoom(aElsewhere, run);
      moving++;
    }
  }
  std::map<std::string, std::int64_t> movedOfStep;
  for (const bool longRunning : { true, false }) {
    for (const EvacuatedRun& run : aRuns) {
      const bool isCandidate =
        run.step->longRunning() == longRunning && !run.isStopping && !run.step->gang();
      if (!isCandidate || (!longRunning && !paysToMove(run))) {
        continue;
      }
      std::int64_t& moved = movedOfStep[stepName(run.task)];
      if (longRunning && run.otherUnavailableTasks + moved >= budgetOf(*run.step)) {
        plan.waitingForBudget.push_back(run);
        continue;
      }
      if (moving >= kMaxMoves) {
        continue;
      }
      if (!takeRoom(aElsewhere, run)) {
        plan.waitingForRoom.push_back(run);
        continue;
      }
      moved++;
      moving++;
      plan.moves.push_back(run);
    }
  }
  return plan;
}

} // namespace magnoliadrum
