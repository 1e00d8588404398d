#pragma once

#include "jobs/WorkerCandidate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/** An active run of a job on a worker whose data centre is evacuated. */
struct EvacuatedRun
{
  TaskId task;
  std::int64_t run = 0;
  std::string dataCentre;
  std::string poolName;
  /** Not owned. */
  const JobStep* step = nullptr;
  /** Progress that the worker has reported; 100 for a long-running task that is at work. */
  double progressPercent = 0;
  /** Whether a saved progress is known from which a new run continues. */
  bool hasCheckpoint = false;
  /** Whether the run is being stopped, so that its task soon needs room elsewhere. */
  bool isStopping = false;
  /** Number of other tasks of the step that are not at work, whatever the cause. */
  std::int64_t otherUnavailableTasks = 0;

  friend bool operator==(const EvacuatedRun&, const EvacuatedRun&) = default;
};

/** What a round decides about the runs in evacuated data centres. */
struct EvacuationPlan
{
  /** Runs to stop now; their tasks start elsewhere. */
  std::vector<EvacuatedRun> moves;
  /** Long-running runs that stay because too many other tasks of their step are unavailable. */
  std::vector<EvacuatedRun> waitingForBudget;
  /** Runs that stay because no other worker has room for them. */
  std::vector<EvacuatedRun> waitingForRoom;

  friend bool operator==(const EvacuationPlan&, const EvacuationPlan&) = default;
};

/**
 * Decides which runs leave evacuated data centres. Uses no clock and no sockets.
 *
 * A long-running task is moved when the disruption budget of its step allows it. Another run ends
 * where it is, unless it has a checkpoint and so much work left that a new start costs less than
 * the wait for its end. A run is only moved while a worker elsewhere has room for it, which the
 * move then takes, as do the runs that are being stopped. Gangs are never moved, because one run
 * that leaves stops the others from working.
 */
class EvacuationPlanner
{
public:
  /** A run that has less than this left (estimate, ms) ends where it is: a move costs a restart and
   * up to a second of work since the checkpoint. */
  static constexpr std::int64_t kMinRemainingMs = 10000;
  /** Largest share of the tasks of a long-running step without a budget that may be unavailable
   * because of moves; at least one task. */
  static constexpr double kShareWithoutBudget = 0.25;
  /** Largest number of runs that are being stopped at the same time. */
  static constexpr std::size_t kMaxMoves = 20;

  /** aElsewhere holds the workers outside, with the room that scheduling has left. */
  static EvacuationPlan plan(const std::vector<EvacuatedRun>& aRuns,
                             std::vector<WorkerCandidate> aElsewhere);
};

} // namespace magnoliadrum
