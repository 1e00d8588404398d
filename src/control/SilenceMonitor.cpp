#include "control/SilenceMonitor.h"

#include <algorithm>

namespace magnoliadrum {

void
SilenceMonitor::recordUsage(const TargetUsage& aUsage, std::int64_t aSentAtMs, MonotonicTime aNow)
{
  for (const TaskUsage& task : aUsage.tasks()) {
    const std::int64_t ageMs = std::max<std::int64_t>(0, aSentAtMs - task.aliveAtMs());
    MonotonicTime& lastAlive = mLastAlive[task.taskId()];
    lastAlive = std::max(lastAlive, aNow.plusMs(-ageMs));
  }
}

std::vector<std::string>
SilenceMonitor::silentTasks(const ControlState& aState, MonotonicTime aNow)
{
  std::erase_if(mLastAlive, [&aState](const auto& aEntry) {
    return aState.tasks().find(aEntry.first) == nullptr;
  });
  std::vector<std::string> silent;
  for (const auto& [name, record] : aState.catalogue().records()) {
    if (!record.entry() || record.entry()->kind() != EntryKind::eStanding) {
      continue;
    }
    for (const std::string& taskId : aState.tasks().ofEntry(name)) {
      const MonotonicTime lastAlive = mLastAlive.try_emplace(taskId, aNow).first->second;
      if (aNow.msSince(lastAlive) > record.entry()->limits().silenceMs()) {
        silent.push_back(taskId);
      }
    }
  }
  return silent;
}

} // namespace magnoliadrum
