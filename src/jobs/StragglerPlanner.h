#pragma once

#include "jobs/RunTimeModel.h"
#include "jobs/TaskId.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliadrum {

/** An active run that may end later than another run of its task would. */
struct StragglerCandidate
{
  TaskId task;
  std::int64_t run = 0;
  double percent = 0;
  /** Its mean progress of late, and how long it was measured. */
  double percentPerMs = 0;
  std::int64_t observedMs = 0;
  /** Run time of its task on a worker where nothing slows it down. */
  RunTimeEstimate runTime;
  /** Its progress is saved, so that another run goes on from there. */
  bool checkpoints = false;

  friend bool operator==(const StragglerCandidate&, const StragglerCandidate&) = default;
};

/** A run that is expected to end sooner when it is stopped and started elsewhere. */
struct Straggler
{
  TaskId task;
  std::int64_t run = 0;
  /** Time by which the end is expected sooner, in ms. */
  double gainMs = 0;

  friend bool operator==(const Straggler&, const Straggler&) = default;
};

/**
 * Finds the runs whose task would end sooner elsewhere: on a slow worker, or slowed down in favour
 * of tasks that serve users. One such run holds up the rest of its job while other workers take new
 * tasks. Uses no clock; whether there is room elsewhere is decided by JobScheduler.
 */
class StragglerPlanner
{
public:
  /** Time from a stop order until the next run goes on: the stop, the commits of the end and of the
   * assignment, and the restore of the checkpoint. */
  static constexpr double kRestartMs = 1200;
  /** Smallest gain for which a run is stopped. The other worker may turn out to be no faster. */
  static constexpr double kMinGainMs = 1200;
  /** A run is judged after it was measured for this long. */
  static constexpr std::int64_t kMinObservedMs = 1000;

  static std::optional<Straggler> judge(const StragglerCandidate& aRun);
};

} // namespace magnoliadrum
