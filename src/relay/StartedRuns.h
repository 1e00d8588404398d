#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "relay/WorkerClient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Tracks the runs of one worker incarnation that are the possible causes if the worker crashes now,
 * and for how long each has run.
 *
 * A run leaves this set when it has ended and when the worker has rejected its start order. A start
 * order without an answer may still take effect, so its run stays.
 */
class StartedRuns
{
public:
  void clear() { mRuns.clear(); }

  /** Adds a run whose start order is sent now. */
  void onStartSent(const std::string& aTask, std::int64_t aRun, MonotonicTime aNow);

  /** Applies the worker's answer to a start order. */
  void onStartAnswered(const std::string& aTask, std::int64_t aRun, OrderResult aResult);

  /** Applies run lists of the incarnation. A listed run that is not known counts as started now. */
  void onRunLists(const RunLists& aLists, MonotonicTime aNow);

  /** Returns the runs that may have caused a crash at aNow. */
  std::vector<SuspectedRun> suspects(MonotonicTime aNow) const;

  std::size_t size() const { return mRuns.size(); }

private:
  struct StartedRun
  {
    std::int64_t run = 0;
    /** Number of start orders for the run that may have reached the worker. */
    int orders = 0;
    /** The worker has accepted or listed the run. */
    bool hasBegun = false;
    bool isListed = false;
    /** When the first order was sent; when the run was first listed if this process sent none. */
    MonotonicTime startedAt;
    /** Progress in the last lists. */
    double percent = 0;
  };

  /** Returns the entry of a run, which replaces one of an earlier run of the task. */
  StartedRun& entryOf(const std::string& aTask, std::int64_t aRun, MonotonicTime aNow);

  /** Started runs by task name. */
  std::map<std::string, StartedRun> mRuns;
};

} // namespace magnoliadrum
