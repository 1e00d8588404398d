#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "state/state.h"

#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Which standing tasks have given no sign of life for the silenceMs of their entry. */
class SilenceMonitor
{
public:
  void reset() { mLastAlive.clear(); }

  /**
   * Takes in an agent's report that arrived at aNow. The age of a sign of life is the difference of
   * two readings of the VM's clock, so the clocks of two VMs are never compared.
   */
  void report(const TargetUsage& aUsage, std::int64_t aSentAtMs, MonotonicTime aNow);

  /** Returns the silent tasks. A task counts from when this leader first saw it. */
  std::vector<std::string> silentTasks(const ControlState& aState, MonotonicTime aNow);

private:
  std::map<std::string, MonotonicTime> mLastAlive;
};

} // namespace magnoliadrum
