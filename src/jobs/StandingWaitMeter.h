#pragma once

#include "core/core.h"
#include "jobs/JobRegistry.h"
#include "jobs/JobScheduler.h"
#include "jobs/WorkerCandidate.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A way to read that a pool has room for a waiting task twice over. */
enum class RoomReading
{
  eTwoWorkers,         /**< Two workers have a free piece as large as the task. */
  eOneWorker,          /**< One worker has a free piece twice as large. */
  ePool,               /**< The free pieces of all workers add up to twice its size. */
  eTwoWorkersWithShort /**< As eTwoWorkers, with the room of short runs counted as free. */
};
inline constexpr std::size_t kRoomReadings = 4;

/** Returns the name of the reading in logs and metrics. */
const char*
toText(RoomReading aReading);

/** Returns which readings hold for a task of the step, by RoomReading. Counts the workers that may
 * run the task, regardless of reservations and of limits for workers that fail their runs.
 * For the room as the workers themselves have it, pass them through withoutEndedRuns(). */
std::array<bool, kRoomReadings>
readRoom(const std::vector<WorkerCandidate>& aWorkers,
         const std::string& aPoolName,
         const JobStep& aStep,
         const std::string& aStepName);

/** The first reason that keeps a long-running task from a run. */
enum class StandingWaitCause
{
  eUnlisted,  /**< The leader counts a run that its worker does not have. */
  eSuspected, /**< The task may have crashed a worker and waits for a trial or for evidence. */
  ePlanFull,  /**< A worker had room, and the round had reached its bound of assignments. */
  eOutranked, /**< A worker had room, and the round gave it to others. */
  eReserved,  /**< Only workers that are reserved for trials have room. */
  eLimited,   /**< Only workers that fail their runs have room. */
  eNoRoom     /**< No worker that may run the task has room. */
};
inline constexpr std::size_t kStandingWaitCauses = 7;

/** Returns the name of the cause in logs and metrics. */
const char*
toText(StandingWaitCause aCause);

/** A long-running task that has waited for longer than StandingWaitMeter::kToleratedMs. */
struct StandingWait
{
  TaskId task;
  std::int64_t waitedMs = 0;
  std::int64_t cpuMilli = 0;
  StandingWaitCause cause = StandingWaitCause::eNoRoom;
  /** Time beyond kToleratedMs during which each reading held, in ms. */
  std::array<std::int64_t, kRoomReadings> readMs{};
  /** Longest stretch of it without an observation in which the reading did not hold, in ms. */
  std::array<std::int64_t, kRoomReadings> longestMs{};

  friend bool operator==(const StandingWait&, const StandingWait&) = default;
};

/**
 * Measures how long long-running tasks wait beside room that could hold them.
 *
 * The time without a run beyond kToleratedMs is added up by reading and cause. Belongs to one
 * leadership; the waits of a new leadership begin with it.
 */
class StandingWaitMeter
{
public:
  /** Time without a run, in ms, that counts as an ordinary restart. */
  static constexpr std::int64_t kToleratedMs = 6000;
  /** Shortest time between two observations in ms. */
  static constexpr std::int64_t kIntervalMs = 100;

  /** The waits that an observation has found. */
  struct Changes
  {
    /** Waits that have passed kToleratedMs. */
    std::vector<StandingWait> begun;
    /** Waits of those that have ended. */
    std::vector<StandingWait> ended;

    friend bool operator==(const Changes&, const Changes&) = default;
  };

  void clear();

  bool isDue(MonotonicTime aNow) const { return aNow.msSince(mObservedAt) >= kIntervalMs; }

  /** Adds a scheduling round. aWorkers is the state before the round, aUnlisted has the tasks whose
   * active run their worker does not have: no list shows it, it has ended there, or the worker has
   * left. */
  Changes observe(const JobRegistry& aJobs,
                  const std::vector<WorkerCandidate>& aWorkers,
                  const SchedulePlan& aPlan,
                  const std::set<std::string>& aUnlisted,
                  MonotonicTime aNow);

  /** Number of tasks that have waited for longer than kToleratedMs. */
  std::size_t overdueTasks() const;

  /** Number of those tasks that wait for the cause. */
  std::size_t overdueTasks(StandingWaitCause aCause) const;

  /** Time in ms for which tasks have waited beyond kToleratedMs for the cause while the reading
   * held. */
  std::int64_t sumMs(RoomReading aReading, StandingWaitCause aCause) const;

  /** The same for all causes. */
  std::int64_t sumMs(RoomReading aReading) const;

  /** Longest stretch in ms, of all tasks that wait beyond kToleratedMs now, during which the
   * reading held without a gap. */
  std::int64_t longestMs(RoomReading aReading) const;

  /** The same for all tasks that have waited since the leadership began. */
  std::int64_t longestMsOfTerm(RoomReading aReading) const
  {
    return mLongestMs[static_cast<std::size_t>(aReading)];
  }

  /** Whether a long-running task without a run waited for a worker of the pool at the latest
   * observation. */
  bool isAwaited(const std::string& aPoolName) const { return mAwaitedPools.contains(aPoolName); }

private:
  struct Wait
  {
    MonotonicTime since;
    StandingWait state;
    /** Time up to the latest observation during which each reading has held without a gap, in ms.
     */
    std::array<std::int64_t, kRoomReadings> stretchMs{};
  };

  /** Adds the readings of an observation to an overdue wait. aIsCounted tells whether they count
   * for the sums and the cause. */
  void addReadings(Wait& aWait,
                   const std::array<bool, kRoomReadings>& aReadings,
                   std::int64_t aElapsedMs,
                   bool aIsCounted);

  std::map<std::string, Wait> mWaits;
  std::set<std::string> mAwaitedPools;
  std::array<std::array<std::int64_t, kStandingWaitCauses>, kRoomReadings> mSumsMs{};
  std::array<std::int64_t, kRoomReadings> mLongestMs{};
  MonotonicTime mObservedAt;
};

} // namespace magnoliadrum
