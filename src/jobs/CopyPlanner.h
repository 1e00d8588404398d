#pragma once

#include "jobs/RunTimeModel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/** An active run that may be slower than another one would be. */
struct StragglerCandidate
{
  TaskId task;
  std::int64_t run = 0;
  /** Time that the run has worked, and its progress in percent; negative when it shows none. */
  double workedMs = 0;
  double progressPercent = -1;
  RunTimeEstimate runTime;
  /** A copy may run beside it. */
  bool allowsCopy = false;
  /** Its progress is saved, so that another run goes on from there. */
  bool checkpoints = false;
  /** How likely a run on its worker succeeds, see WorkerReliability. */
  double workerSuccess = 1;
  /** Number of open tasks of its step; the last ones hold up what follows. */
  std::int64_t openTasksOfStep = 1;

  friend bool operator==(const StragglerCandidate&, const StragglerCandidate&) = default;
};

/** What to do about a straggler. */
enum class StragglerAction
{
  eCopy,   /**< Start a second run beside it; the first end counts. */
  eRestart /**< Stop it and start it elsewhere, from its checkpoint if it has one. */
};

struct StragglerDecision
{
  TaskId task;
  std::int64_t run = 0;
  StragglerAction action = StragglerAction::eCopy;
  /** Time by which the end is expected sooner, in ms. */
  double gainMs = 0;

  friend bool operator==(const StragglerDecision&, const StragglerDecision&) = default;
};

/** Decides which active runs get a copy or are restarted elsewhere. Uses no clock. */
class CopyPlanner
{
public:
  /** aSpareCores is the room that no waiting task needs; without room there are no copies. */
  static std::vector<StragglerDecision> decide(const std::vector<StragglerCandidate>& aRuns,
                                               double aSpareCores);
};

} // namespace magnoliadrum
