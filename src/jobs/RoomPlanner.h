#pragma once

#include "jobs/WorkerCandidate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace magnoliadrum {

/** How a worker gets room for a task that does not fit now. */
struct RoomPlan
{
  /** Runs that have to be stopped. */
  std::vector<EvictableRun> victims;
  /** Work that is lost with them, in core-milliseconds. */
  double lostWork = 0;
  /** Processor time that is missing until runs have ended by themselves, in thousandths of a
   * core; 0 if none are awaited. */
  std::int64_t awaitedCpuMilli = 0;

  /** The plan with the lowest rank is chosen. The worker that misses least mostly stays the
   * choice of the next rounds, because nothing else is assigned to its reserved room. */
  std::tuple<std::int64_t, double> rank() const { return { awaitedCpuMilli, lostWork }; }

  friend bool operator==(const RoomPlan&, const RoomPlan&) = default;
};

/**
 * Plans room for tasks that fit nowhere, within one scheduling round: what stopping runs will free,
 * if it is not enough that of evicted runs of queues with a lower priority, and for a long-running
 * task also that of short runs, which are awaited.
 *
 * In a pool with less capacity than its tasks take and wait for, room is awaited for a few tasks at
 * a time only.
 */
class RoomPlanner
{
public:
  /** Maximum number of runs that a round stops. */
  static constexpr std::size_t kMaxEvictions = 40;
  /** Maximum number of tasks of a pool for which the capacity of running tasks is awaited at the
   * same time, if the pool has too little for all. Awaited capacity is idle until enough has ended.
   */
  static constexpr std::size_t kMaxAwaitedPieces = 1;

  /** aUncommittedCpuMilli is the processor time that no task takes or waits for, by pool, in
   * thousandths of a core. Short tasks that wait count until the objective of their job has passed.
   */
  explicit RoomPlanner(std::map<std::string, std::int64_t> aUncommittedCpuMilli);

  /** Plans room for a task of the step on a worker that may run it. aPriority is that of the step's
   * queue. Empty if the worker cannot get enough. */
  std::optional<RoomPlan> plan(const WorkerCandidate& aWorker,
                               const JobStep& aStep,
                               std::int64_t aPriority) const;

  /** Takes a plan for the worker: its victims are stopped. */
  void carryOut(WorkerCandidate& aWorker, const RoomPlan& aPlan);

  /** The victims of the plans that were carried out. */
  const std::vector<EvictableRun>& evictions() const { return mEvictions; }

private:
  bool mayAwaitCapacity(const WorkerCandidate& aWorker, const JobStep& aStep) const;

  /** Selects the cheapest runs to stop beyond what is free; empty if they cannot free enough or if
   * the plan would exceed kMaxEvictions. */
  std::optional<RoomPlan> findVictims(const WorkerCandidate& aWorker,
                                      const ResourceAmount& aSize,
                                      ResourceAmount aFree,
                                      std::int64_t aPriority) const;

  std::map<std::string, std::int64_t> mUncommittedCpuMilli;
  /** Number of tasks for which capacity is awaited, by pool. */
  std::map<std::string, std::size_t> mAwaitedPieces;
  std::vector<EvictableRun> mEvictions;
};

} // namespace magnoliadrum
