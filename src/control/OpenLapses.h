#pragma once

#include "control/WorkerFleet.h"
#include "core/core.h"
#include "generated/generated.h"
#include "jobs/jobs.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/**
 * Finds out why runs have lapsed whose workers were out of touch.
 *
 * A lapsed lease says nothing of its worker: the network between may be cut. When the relay is back
 * in touch, the same incarnation with its lists shows that the worker has lived on, and the relay's
 * word or a later incarnation shows that it has crashed. The open lapses are in the log; this index
 * of them belongs to one leadership.
 */
class OpenLapses
{
public:
  /** A lapse without evidence for this long (ms) of a leadership stays unexplained. Bounds what the
   * log keeps of workers that never come back. */
  static constexpr std::int64_t kEvidenceMs = 30000;

  void clear()
  {
    mIncarnations.clear();
    mKeys.clear();
  }

  /** Adds a lapsed run of the log. */
  void add(const TaskId& aTask, const LapsedRun& aLapse, MonotonicTime aNow);

  /** Removes the lapse of a run, which the log has explained. */
  void remove(const std::string& aTask, std::int64_t aRun);

  /**
   * Returns what a report, which the leader has accepted, says of the open lapses. aRelay is the
   * process id of the relay. aIsSynced tells whether the worker has sent its lists under this
   * leader's fence, which it got after the lapses were recorded. A lapse is returned once, unless
   * reopen() is called for it.
   */
  std::vector<LapseFinding> explain(const WorkerReport& aReport,
                                    const std::string& aRelay,
                                    bool aIsSynced,
                                    const JobRegistry& aJobs);

  /** Returns the lapses for which no evidence has come in time. */
  std::vector<LapseFinding> takeExpired(MonotonicTime aNow);

  /** The findings were not recorded. */
  void reopen(const std::vector<LapseFinding>& aFindings);

  std::size_t size() const { return mKeys.size(); }

private:
  struct Lapse
  {
    TaskId task;
    LapsedRun run;
    MonotonicTime addedAt;
    bool isExplained = false;
  };
  /** A task's name and the number of its run. */
  using RunName = std::pair<std::string, std::int64_t>;
  using Lapses = std::map<RunName, Lapse>;

  static std::vector<LapseFinding> findingsOf(Lapses& aLapses, LapseCause aCause);
  /** Returns the findings for the lapses of an incarnation that has crashed. aSuspects is what its
   * relay reports of the crash, if it does. */
  static std::vector<LapseFinding> crashFindings(Lapses& aLapses,
                                                 const CrashSuspects* aSuspects,
                                                 const JobRegistry& aJobs);

  std::map<IncarnationKey, Lapses> mIncarnations;
  /** The incarnation of each lapse. */
  std::map<RunName, IncarnationKey> mKeys;
};

} // namespace magnoliadrum
