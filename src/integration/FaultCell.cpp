#include "integration/FaultCell.h"

namespace magnoliadrum {

namespace {

/** A step: where it is, and on which kind of process it happens. */
struct Step
{
  const char* mPath;
  const char* mPoint;
  FaultVictim mVictim;
  int mPassage;
  bool mKillInCi;
};

constexpr Step kSteps[] = {
  { "session", "session.admit", FaultVictim::eControlLeader, 1, false },
  { "session", "session.renew", FaultVictim::eControlLeader, 20, false },
  { "session", "session.expire", FaultVictim::eControlLeader, 1, false },
  { "log", "file.append", FaultVictim::eControlLeader, 10, false },
  { "log", "file.sync", FaultVictim::eControlLeader, 10, true },
  { "log", "file.synced", FaultVictim::eControlLeader, 10, false },
  { "log", "file.synced", FaultVictim::eControlFollower, 10, true },
  { "log", "file.append", FaultVictim::eControlFollower, 10, false },
  { "catalogue", "change.propose", FaultVictim::eControlLeader, 2, false },
  { "catalogue", "change.spread", FaultVictim::eControlLeader, 2, true },
  { "request", "gateway.intent.answered", FaultVictim::eGateway, 3, true },
  { "request", "gateway.dispatch.sent", FaultVictim::eGateway, 5, true },
  { "request", "gateway.respond", FaultVictim::eGateway, 5, false },
  { "request", "gateway.intent.end", FaultVictim::eGateway, 3, false },
  { "request", "intent.open", FaultVictim::eControlLeader, 3, false },
  { "request", "intent.settle", FaultVictim::eControlLeader, 3, true },
  { "request", "dispatch.received", FaultVictim::eExecutorAgent, 5, false },
  { "request", "executor.answered", FaultVictim::eExecutorAgent, 5, true },
  { "task", "task.place", FaultVictim::eControlLeader, 1, false },
  { "task", "task.report", FaultVictim::eControlLeader, 2, true },
  { "task", "task.report.committed", FaultVictim::eControlLeader, 2, false },
  { "task", "task.start.received", FaultVictim::eWorkerAgent, 1, false },
  { "task", "worker.started", FaultVictim::eWorkerAgent, 1, true },
  { "task", "task.publish.received", FaultVictim::eWorkerAgent, 1, true },
  { "task", "worker.published", FaultVictim::eWorkerAgent, 1, false },
  { "snapshot", "file.rename", FaultVictim::eControlLeader, 1, false },
  { "snapshot", "file.rename", FaultVictim::eControlFollower, 1, true },
};

constexpr FaultVictim kVictims[] = { FaultVictim::eControlLeader, FaultVictim::eControlFollower,
                                     FaultVictim::eGateway,       FaultVictim::eExecutorAgent,
                                     FaultVictim::eWorkerAgent,   FaultVictim::eWorkerVm };

bool
isBehindProxy(FaultVictim aVictim)
{
  return aVictim == FaultVictim::eControlLeader || aVictim == FaultVictim::eControlFollower ||
         aVictim == FaultVictim::eExecutorAgent;
}

void
addPointCells(std::vector<FaultCell>& aCells)
{
  for (const Step& step : kSteps) {
    FaultCell cell{ step.mPath,   step.mPoint,        step.mPassage,
                    step.mVictim, FaultEffect::eKill, step.mKillInCi };
    aCells.push_back(cell);
    cell.mEffect = FaultEffect::eFreeze;
    cell.mInCi = false;
    aCells.push_back(cell);
    if (step.mVictim != FaultVictim::eControlLeader &&
        step.mVictim != FaultVictim::eControlFollower) {
      cell.mEffect = FaultEffect::eKillLate;
      aCells.push_back(cell);
    }
  }
  aCells.push_back(
    { "log", "file.sync", 10, FaultVictim::eControlLeader, FaultEffect::eExit, true });
}

void
addProcessCells(std::vector<FaultCell>& aCells)
{
  for (const FaultVictim victim : kVictims) {
    const bool isVm = victim == FaultVictim::eWorkerVm;
    if (!isVm) {
      aCells.push_back({ "exit", "", 1, victim, FaultEffect::eTerminate, true });
      aCells.push_back(
        { "any", "", 1, victim, FaultEffect::eFreeze, victim == FaultVictim::eWorkerAgent });
    }
    aCells.push_back({ "any", "", 1, victim, FaultEffect::eKillLate, isVm });
  }
  for (const FaultEffect effect :
       { FaultEffect::eLoseDisk, FaultEffect::eLoseTwo, FaultEffect::eTornTail }) {
    aCells.push_back(
      { "member", "", 1, FaultVictim::eControlFollower, effect, effect == FaultEffect::eLoseTwo });
    aCells.push_back({ "member", "", 1, FaultVictim::eControlLeader, effect, false });
  }
}

void
addNetworkCells(std::vector<FaultCell>& aCells)
{
  for (const FaultVictim victim : kVictims) {
    const bool isLeader = victim == FaultVictim::eControlLeader;
    aCells.push_back({ "network", "", 1, victim, FaultEffect::eCutBoth, isLeader });
    if (!isBehindProxy(victim)) {
      continue;
    }
    for (const FaultEffect effect : { FaultEffect::eCutToServer,
                                      FaultEffect::eCutToClient,
                                      FaultEffect::eReset,
                                      FaultEffect::eTruncate,
                                      FaultEffect::eDelay,
                                      FaultEffect::eDuplicate,
                                      FaultEffect::eReorder }) {
      const bool inCi =
        effect == FaultEffect::eDuplicate && (isLeader || victim == FaultVictim::eExecutorAgent);
      aCells.push_back({ "network", "", 1, victim, effect, inCi });
    }
  }
}

} // namespace

const char*
toText(FaultVictim aVictim)
{
  switch (aVictim) {
    case FaultVictim::eControlLeader:
      return "control-leader";
    case FaultVictim::eControlFollower:
      return "control-follower";
    case FaultVictim::eGateway:
      return "gateway";
    case FaultVictim::eExecutorAgent:
      return "executor-agent";
    case FaultVictim::eWorkerAgent:
      return "worker-agent";
    case FaultVictim::eWorkerVm:
      return "worker-vm";
  }
  return "";
}

const char*
toText(FaultEffect aEffect)
{
  switch (aEffect) {
    case FaultEffect::eKill:
      return "kill";
    case FaultEffect::eKillLate:
      return "kill-late";
    case FaultEffect::eFreeze:
      return "freeze";
    case FaultEffect::eExit:
      return "exit";
    case FaultEffect::eLoseDisk:
      return "lose-disk";
    case FaultEffect::eLoseTwo:
      return "lose-two";
    case FaultEffect::eTornTail:
      return "torn-tail";
    case FaultEffect::eCutBoth:
      return "cut-both";
    case FaultEffect::eCutToServer:
      return "cut-to-server";
    case FaultEffect::eCutToClient:
      return "cut-to-client";
    case FaultEffect::eReset:
      return "reset";
    case FaultEffect::eTruncate:
      return "truncate";
    case FaultEffect::eDelay:
      return "delay";
    case FaultEffect::eDuplicate:
      return "duplicate";
    case FaultEffect::eReorder:
      return "reorder";
    case FaultEffect::eTerminate:
      return "terminate";
  }
  return "";
}

std::string
FaultCell::name() const
{
  const std::string point = mPoint.empty() ? "-" : mPoint;
  return mPath + "/" + point + "/" + toText(mVictim) + "/" + toText(mEffect);
}

std::vector<FaultCell>
allFaultCells()
{
  std::vector<FaultCell> cells;
  addPointCells(cells);
  addProcessCells(cells);
  addNetworkCells(cells);
  return cells;
}

} // namespace magnoliadrum
