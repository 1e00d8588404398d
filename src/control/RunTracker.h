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

/** What the leader knows about an active run in addition to the log. */
struct TrackedRun
{
  TaskId task;
  std::int64_t run = 0;
  IncarnationKey incarnation;
  /** Not owned; the job registry keeps a job while it has active runs. */
  const Job* job = nullptr;
  /** The worker has listed the run or accepted its start order. */
  bool isConfirmed = false;
  /** Worker's clock at the first list with the run. */
  std::optional<std::int64_t> firstListedClockMs;
  /** Time from the first to the latest list with the run, in ms of the worker's clock. */
  std::int64_t listedMs = 0;
  /** The reliability of the worker includes this standing run. */
  bool isCountedAsSuccess = false;
  /** The run is to be stopped. A run that has not started is closed: its worker never starts it. */
  bool shouldStop = false;
  /** The stop is for a sooner end on another worker. */
  bool isRestarting = false;
  /** The end of the run is proposed to the log. */
  bool endProposed = false;
  std::optional<MonotonicTime> startSentAt;
  std::optional<MonotonicTime> stopSentAt;
  /** When the first stop order was sent. */
  std::optional<MonotonicTime> firstStopSentAt;
  /** When the worker's lists first named the end of the run. */
  std::optional<MonotonicTime> endReportedAt;
  /** Worker's clock at its answer that it will not start the run any more, or that it accepts a
   * stop order. */
  std::optional<std::int64_t> closedAtClockMs;
  /** The order with that answer. */
  OrderKind closedBy = OrderKind::eStop;
  /** Time of the first list without the run after its confirmation. */
  std::optional<MonotonicTime> missingSince;
  /** Last reported checkpoint, progress and measurement. */
  std::string checkpoint;
  double progressPercent = 0;
  /** Progress when the checkpoint was first reported. */
  double checkpointPercent = 0;
  /** How fast the run makes progress. */
  ProgressMeter meter;
  /** Tail latency in ms of a task with a latency objective, otherwise the processor time in use in
   * thousandths of a core. */
  double latencyMsOrCpuMilli = 0;
  /** Pace in the latest pace order, in percent of full speed, and when it was sent. */
  std::int64_t orderedPacePercent = 100;
  MonotonicTime paceSentAt;
  /** Pace that the interference guard has decided. */
  std::int64_t desiredPacePercent = 100;

  /** Returns the progress at a checkpoint with which the run has ended. */
  double percentAt(const std::string& aCheckpoint) const
  {
    return aCheckpoint == checkpoint ? checkpointPercent : progressPercent;
  }

  /** The run has worked for long enough to show that its task does not crash its worker. */
  bool isProvenHarmless() const
  {
    return listedMs >= CrashAttribution::provingMs(*job->find(task));
  }

  const JobStep& step() const { return job->steps()[static_cast<std::size_t>(task.step)]; }
};

/**
 * Tracks the active runs and the orders that they still need.
 *
 * A run is active from the commit of its assignment to the commit of its end. Orders are idempotent
 * for the worker, so an unanswered order is sent again.
 */
class RunTracker
{
public:
  /** An order without a visible effect is resent after this time. */
  static constexpr std::int64_t kResendMs = 1200;
  /** A confirmed run that is missing from the lists for this long gets a stop order, which closes
   * it. */
  static constexpr std::int64_t kMissingTimeoutMs = 2000;
  /** A pace below 100 is resent at this interval, because an older order may take effect late. */
  static constexpr std::int64_t kPaceResendMs = 3000;

  void clear();
  void add(const TaskId& aTask, std::int64_t aRun, const IncarnationKey& aKey, const Job* aJob);
  void remove(const std::string& aTask, std::int64_t aRun);

  TrackedRun* find(const std::string& aTask, std::int64_t aRun);
  std::map<std::string, TrackedRun>& runs() { return mRuns; }
  const std::map<std::string, TrackedRun>& runs() const { return mRuns; }

  std::size_t size() const { return mRuns.size(); }

  /** Precondition: the task is tracked. */
  const TrackedRun& run(const std::string& aTask) const { return mRuns.at(aTask); }

  /** Names of the tasks that have an active run on an incarnation. */
  const std::set<std::string>& tasksOn(const IncarnationKey& aKey) const;

  /**
   * Applies the runs that the lists of a synced incarnation name. Returns the listed runs that are
   * not assigned to the incarnation.
   */
  std::vector<ListedRun> applyListedRuns(const IncarnationKey& aKey, const WorkerReport& aReport);

  /**
   * Applies the absence of runs from lists that are newer than all earlier ones. Returns the ends
   * of the runs that never started and never will.
   */
  std::vector<RunEnding> applyAbsentRuns(const IncarnationKey& aKey,
                                         const WorkerReport& aReport,
                                         MonotonicTime aNow);

  /** Applies a worker's answers to orders. */
  void applyAnswers(const IncarnationKey& aKey, const std::vector<OrderAnswer>& aAnswers);

  /** Stops the runs of an incarnation that have not started and whose start was not ordered, or was
   * ordered without effect. A start that was just ordered takes effect or is dropped by its relay.
   */
  void withdrawUnorderedRuns(const IncarnationKey& aKey, MonotonicTime aNow);

  /**
   * Adds the orders that are due to aOrders and records them as sent at aNow. While the runs of the
   * incarnation exceed aCapacity, which may have shrunk since their assignment, no start is ordered
   * and the runs that may not have started are withdrawn until the others fit. Without aMayStart no
   * start is ordered.
   */
  void addDueOrders(const IncarnationKey& aKey,
                    const ResourceAmount& aCapacity,
                    bool aMayStart,
                    MonotonicTime aNow,
                    WorkerOrders::Fields& aOrders);

  /** Makes orders that addDueOrders() recorded as sent due again, because they were not sent. */
  void markUnsent(const WorkerOrders& aOrders);

  /** Returns the ends of all runs of a lost incarnation and marks them as proposed; ends that are
   * already proposed are left out. aIncarnation is the lost incarnation, which tells the runs that
   * may have crashed it. An end without evidence for or against a crash is marked as unexplained.
   */
  std::vector<RunEnding> takeLapsedEnds(const IncarnationKey& aKey,
                                        const WorkerIncarnation& aIncarnation,
                                        MonotonicTime aNow);

private:
  /** Returns the runs, by task, that may have crashed a lost incarnation. Evidence of a crash is
   * the relay's word or a later incarnation. Without either, empty optional: a lapsed lease is no
   * evidence, as the network in between may be cut. */
  std::optional<std::map<std::string, CrashSuspect>> crashSuspects(
    const IncarnationKey& aKey,
    const WorkerIncarnation& aIncarnation) const;
  /** Returns whether all runs of the incarnation fit in aCapacity; withdraws runs if they do not.
   */
  bool withdrawUnstartedRuns(const IncarnationKey& aKey, const ResourceAmount& aCapacity);
  /** Records an answer after which the worker never starts the run. */
  static void close(TrackedRun& aRun, const OrderAnswer& aAnswer);
  bool needsStop(const TrackedRun& aRun) const { return aRun.shouldStop || aRun.job->isFinished(); }
  static void addDuePaceOrder(TrackedRun& aRun, MonotonicTime aNow, WorkerOrders::Fields& aOrders);

  std::map<std::string, TrackedRun> mRuns;
  std::map<IncarnationKey, std::set<std::string>> mTasksByIncarnation;
};

} // namespace magnoliadrum
