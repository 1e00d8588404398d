#pragma once

#include <string>
#include <vector>

namespace magnoliadrum {

/** Which process a fault hits. */
enum class FaultVictim
{
  eControlLeader,
  eControlFollower,
  eGateway,
  eExecutorAgent,
  eWorkerAgent,
  eWorkerVm /**< The agent and the worker's own process together. */
};

/** What is done to it. */
enum class FaultEffect
{
  eKill,     /**< The process dies and is started again at once. */
  eKillLate, /**< The process dies and is started again after its sessions have expired. */
  eFreeze,   /**< The process stops and goes on after its lease is over. */
  eExit,     /**< The process ends by itself, as after a failed disk write, and is started again. */
  eLoseDisk, /**< A control VM dies, its disk is lost, and it is replaced under a new identity. */
  eLoseTwo,  /**< Like eLoseDisk, and a second control VM dies right after the repair. */
  eTornTail, /**< A control VM dies, and half of its last log record is missing at the restart. */
  eCutBoth,  /**< The network to the process is cut silently, and healed after its lease is over. */
  eCutToServer, /**< Only what is sent to the process is lost. */
  eCutToClient, /**< Only what the process answers is lost. */
  eReset,       /**< Connections to the process are reset. */
  eTruncate,    /**< A message to the process is cut in the middle. */
  eDelay,       /**< Messages to the process are delayed. */
  eDuplicate,   /**< Messages to the process arrive twice. */
  eReorder,     /**< Messages to the process change places. */
  eTerminate    /**< The process gets SIGTERM and is started again: a planned stop. */
};

const char*
toText(FaultVictim aVictim);
const char*
toText(FaultEffect aEffect);

/** One cell of the fault matrix: a step of a path and what happens there. */
struct FaultCell
{
  /** Path of the step: session, request, task, catalogue, log, snapshot, member or exit. */
  std::string mPath;
  /** Fault point in the victim at which the effect happens; empty for effects on the network. */
  std::string mPoint;
  /** Passage of the fault point, counted from the moment of arming. */
  int mPassage = 1;
  FaultVictim mVictim = FaultVictim::eControlLeader;
  FaultEffect mEffect = FaultEffect::eKill;
  /** Whether CI runs it. */
  bool mInCi = false;

  /** Unique name: "PATH/POINT/VICTIM/EFFECT". */
  std::string name() const;
};

/** All cells. */
std::vector<FaultCell>
allFaultCells();

} // namespace magnoliadrum
