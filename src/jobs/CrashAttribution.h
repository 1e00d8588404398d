#pragma once

#include "generated/JobsTypes.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/** A run that was on a worker when the worker crashed, or may have been. */
struct RunAtCrash
{
  /** Time in ms from the run's start to the crash; rather too long than too short. */
  std::int64_t ranMs = 0;
  /** The worker has accepted or listed the run. */
  bool hasBegun = false;
  /** The run may have ended before the crash, with its end still on the way. */
  bool mayHaveEnded = false;
  /** Longest time in ms that an earlier run of the task has worked without a crash. */
  std::int64_t harmlessMs = 0;
  /** Sum of the shares of the task in earlier crashes, in thousandths. */
  std::int64_t suspicion = 0;

  friend bool operator==(const RunAtCrash&, const RunAtCrash&) = default;
};

/**
 * What a crash of a worker says of the runs that were there.
 *
 * A task that crashes its worker does so after about the same time in each run, and mostly soon.
 * Each run therefore gets a share of the blame that falls with the time that it had worked, rises
 * with the suspicion from earlier crashes, and is small if an earlier run of its task has worked
 * for longer without harm. The worker may also have crashed by itself.
 */
class CrashAttribution
{
public:
  /** A run that has worked for longer (ms) is not taken for the cause. Without a bound, a standing
   * task would collect the crashes of all workers that it ever ran on. */
  static constexpr std::int64_t kLongestCrashDelayMs = 60000;
  /** A trial keeps other runs away from a worker, so tasks that crash it later (ms) are only
   * counted. */
  static constexpr std::int64_t kLongestTrialDelayMs = 10000;
  /** For so long (ms) a trial keeps standing tasks without a crash away. Before it, the young runs
   * of its worker are awaited for kHarmlessRunMs, and callers tolerate 3 s of room that a standing
   * task doesn't get. A later crash has more suspects, of which the task on trial has the largest
   * share. */
  static constexpr std::int64_t kClosedTrialMs = 1000;
  /** Share, in thousandths, from which a run is taken for the cause of a crash. */
  static constexpr std::int64_t kCausingShare = 900;
  /** A task with this suspicion, in thousandths, is tried apart from others. */
  static constexpr std::int64_t kTrialSuspicion = 200;
  /** A task whose runs had just begun is tried apart from this share on, in thousandths, in the
   * mean of its first two crashes. With less it is most likely one of many that were there by
   * chance, and trials of them all would make the cause wait. From the third crash on it is tried
   * in any case. */
  static constexpr std::int64_t kSmallShare = 50;
  /** Number of workers that may be crashed by a task before its job is given up, if each time other
   * runs may have been the cause. */
  static constexpr std::int64_t kMaxCrashes = 5;
  /** The same if a run of the task was surely there at so many crashes and almost certainly caused
   * the last one; one more if one of these runs had worked for longer than kHarmlessRunMs. */
  static constexpr std::int64_t kMaxCrashesAlone = 2;

  /** Returns the share of each run in the blame for a crash, in thousandths. */
  static std::vector<std::int64_t> shares(const std::vector<RunAtCrash>& aRuns);

  /**
   * Whether a run that the worker listed with aPercent, aListAgeMs before its crash and
   * aRanMs - aListAgeMs after its start, may have ended meanwhile. aPercent is 0 for a run without
   * visible progress and for one that was not listed.
   */
  static bool mayHaveEnded(const JobStep& aStep,
                           std::int64_t aRanMs,
                           double aPercent,
                           std::int64_t aListAgeMs);

  /** Time in ms for which a run of the task has to work to prove that the task does not crash its
   * workers. */
  static std::int64_t provingMs(const JobTaskRecord::Fields& aTask);

  /** Whether the next run of the task is tried apart from others. */
  static bool needsTrial(const JobTaskRecord::Fields& aTask);

  /** Returns the lapsed runs of a task whose cause is open. */
  static const std::vector<LapsedRun>& openLapses(const JobTaskRecord::Fields& aTask);

  /** Whether the next run of the task waits until its open lapses are explained: if they were
   * crashes too, there have been as many as a task may cause. */
  static bool awaitsEvidence(const JobTaskRecord::Fields& aTask);

  /** Whether a task with needsTrial() waits until it can be tried on a worker of its own. A
   * standing task whose only crash had other suspects does not: it is most likely innocent, and its
   * users miss it. It only keeps away from other suspects. */
  static bool needsOwnWorker(const JobStep& aStep, const JobTaskRecord::Fields& aTask);
};

} // namespace magnoliadrum
