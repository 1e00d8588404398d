#pragma once

#include "control/WorkerFleet.h"
#include "core/core.h"
#include "generated/generated.h"
#include "jobs/jobs.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What the leader knows about an active run beyond the log. */
struct TrackedRun
{
  TaskId task;
  std::int64_t run = 0;
  IncarnationKey incarnation;
  /** The registry keeps a job as long as it has active runs. */
  const Job* job = nullptr;
  /** The worker has listed it or confirmed its start. */
  bool isConfirmed = false;
  /** It is to be stopped, or closed when it has not started. */
  bool shouldStop = false;
  /** Its end is proposed. */
  bool endProposed = false;
  std::optional<MonotonicTime> startSentAt;
  std::optional<MonotonicTime> stopSentAt;
  /** Worker's clock at which it said that it will never take the run. */
  std::optional<std::int64_t> closedAtClockMs;
  /** Since when lists leave out the run although it was confirmed. */
  std::optional<MonotonicTime> missingSince;
  /** Last reported. */
  std::string checkpoint;
  double progressPercent = 0;
  double latencyMsOrCpuMilli = 0;
  /** Pace that was ordered last, and when. */
  std::int64_t orderedPacePercent = 100;
  MonotonicTime paceSentAt;
  /** Pace that it should have. */
  std::int64_t desiredPacePercent = 100;

  const JobStep& step() const { return job->steps()[static_cast<std::size_t>(task.step)]; }
};

/**
 * The active runs and the orders that they still need. A run is on its way from the moment when its
 * assignment is committed until its end is; an order without an answer is sent again, because a
 * worker takes the same order twice without harm.
 */
class RunTracker
{
public:
  /** An order without a visible effect is sent again after this time. */
  static constexpr std::int64_t kResendMs = 1200;
  /** A confirmed run that lists leave out for this long is closed. */
  static constexpr std::int64_t kMissingTimeoutMs = 2000;
  /** A pace below 100 is sent again this often, because an older order may be carried out late. */
  static constexpr std::int64_t kPaceResendMs = 3000;

  void clear();
  void add(const TaskId& aTask,
           std::int64_t aRun,
           const IncarnationKey& aIncarnation,
           const Job* aJob);
  void remove(const std::string& aTask, std::int64_t aRun);

  TrackedRun* find(const std::string& aTask, std::int64_t aRun);
  std::map<std::string, TrackedRun>& runs() { return mRuns; }

  std::size_t size() const { return mRuns.size(); }

  /** Precondition: the task is tracked. */
  const TrackedRun& run(const std::string& aTask) const { return mRuns.at(aTask); }
  const std::set<std::string>& tasksOn(const IncarnationKey& aIncarnation) const;

  /**
   * Takes the lists of a synced life. Returns the runs that surely never started, and adds the
   * listed runs that are not tracked to aStrays.
   */
  std::vector<RunEnding> applyLists(const IncarnationKey& aIncarnation,
                                    const WorkerReport& aReport,
                                    MonotonicTime aNow,
                                    std::vector<ListedRun>& aUnassigned);

  /** Takes a worker's answers to orders. */
  void applyAnswers(const IncarnationKey& aIncarnation, const std::vector<OrderAnswer>& aAnswers);

  /** Adds the orders that are due to aOrders and notes that they are sent. */
  void addDueOrders(const IncarnationKey& aIncarnation,
                    MonotonicTime aNow,
                    WorkerOrders::Fields& aOrders);

  /** Endings of all runs of a life that has surely ended. */
  std::vector<RunEnding> takeLapsedEnds(const IncarnationKey& aIncarnation);

private:
  bool needsStop(const TrackedRun& aRun) const { return aRun.shouldStop || aRun.job->isOver(); }
  static void addDuePaceOrder(TrackedRun& aRun, MonotonicTime aNow, WorkerOrders::Fields& aOrders);

  std::map<std::string, TrackedRun> mRuns;
  std::map<IncarnationKey, std::set<std::string>> mTasksByIncarnation;
};

} // namespace magnoliadrum
