#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "state/state.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Detects standing tasks without a liveness signal for longer than their entry's silenceMs. */
class SilenceMonitor
{
public:
  void reset() { mLastAlive.clear(); }

  /**
   * Records the liveness signals in an agent's usage report that arrived at aNow. The age of a
   * signal is the difference of two readings of the agent's VM clock, so the clocks of two VMs are
   * never compared.
   */
  void recordUsage(const TargetUsage& aUsage, std::int64_t aSentAtMs, MonotonicTime aNow);

  /** Returns the silent tasks. A task without a recorded signal counts as alive at the first call
   * under this leader that sees it. */
  std::vector<std::string> silentTasks(const ControlState& aState, MonotonicTime aNow);

private:
  std::map<std::string, MonotonicTime> mLastAlive;
};

} // namespace magnoliadrum
