#pragma once

#include "jobs/WorkerCandidate.h"

#include <string>
#include <vector>

namespace magnoliadrum {

/** The move of a standing task: a new run starts first, the old one is stopped once it works. */
struct StandingMove
{
  TaskId task;
  std::string fromWorker;
  std::string toWorker;

  friend bool operator==(const StandingMove&, const StandingMove&) = default;
};

/**
 * Divides the workers of a pool between standing tasks and work that may press on them.
 *
 * The workers that carry standing tasks are as few as their declared room and the reserve for a
 * lost worker or rack need; the others stay free of them. The division follows demand slowly.
 */
class StandingPlacement
{
public:
  /** Workers that standing tasks are placed on, by worker id. */
  static std::vector<std::string> carriers(const std::vector<WorkerCandidate>& aWorkers,
                                           const std::string& aPool);

  /** Moves that free a worker of standing tasks, within the disruption budgets; at most a few. */
  static std::vector<StandingMove> moves(const std::vector<WorkerCandidate>& aWorkers,
                                         const std::string& aPool);
};

} // namespace magnoliadrum
