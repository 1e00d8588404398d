#pragma once

#include "generated/generated.h"
#include "relay/WorkerClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Tracks which runs of one worker incarnation were started so recently that they may be the cause
 * if the worker crashes now.
 *
 * A run leaves this set when the worker has listed it for kHarmlessRunMs, when it has ended, and
 * when the worker has rejected its start order. A start order without an answer may still take
 * effect, so its run stays.
 */
class RecentStarts
{
public:
  void clear() { mRuns.clear(); }

  /** Adds a run whose start order is sent now. */
  void onStartSent(const std::string& aTask, std::int64_t aRun);

  /** Applies the worker's answer to a start order. */
  void onStartAnswered(const std::string& aTask, std::int64_t aRun, OrderResult aResult);

  /** Applies run lists of the incarnation. A listed run that is not known counts as started now. */
  void onRunLists(const RunLists& aLists);

  /** Returns the runs that may have caused a crash at this moment. */
  std::vector<SuspectedRun> suspects() const;

private:
  struct StartedRun
  {
    std::int64_t run = 0;
    /** Number of start orders for the run that may have reached the worker. */
    int orders = 0;
    /** The worker has accepted or listed the run. */
    bool hasBegun = false;
    /** Worker's clock at the first list with the run. */
    std::optional<std::int64_t> firstListedClockMs;
    bool isHarmless = false;
  };

  /** Returns the entry of a run, which replaces one of an earlier run of the task. */
  StartedRun& entryOf(const std::string& aTask, std::int64_t aRun);

  /** Started runs by task name. */
  std::map<std::string, StartedRun> mRuns;
};

} // namespace magnoliadrum
