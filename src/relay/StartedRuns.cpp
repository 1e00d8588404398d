#include "relay/StartedRuns.h"

#include <algorithm>
#include <set>

namespace magnoliadrum {

StartedRuns::StartedRun&
StartedRuns::entryOf(const std::string& aTask, std::int64_t aRun, MonotonicTime aNow)
{
  StartedRun& started = mRuns[aTask];
  if (started.run < aRun) {
    started = StartedRun();
    started.run = aRun;
    started.startedAt = aNow;
  }
  return started;
}

void
StartedRuns::onStartSent(const std::string& aTask, std::int64_t aRun, MonotonicTime aNow)
{
  entryOf(aTask, aRun, aNow).orders++;
}

void
StartedRuns::onStartAnswered(const std::string& aTask, std::int64_t aRun, OrderResult aResult)
{
  const auto position = mRuns.find(aTask);
  if (position == mRuns.end() || position->second.run != aRun) {
    return;
  }
  position->second.hasBegun = position->second.hasBegun || aResult == OrderResult::eAccepted;
  if (position->second.hasBegun || aResult == OrderResult::eNoAnswer) {
    return;
  }
  // An earlier copy of an order that did not reach the worker may have reached it.
  position->second.orders--;
  if (aResult != OrderResult::eNotSent || position->second.orders == 0) {
    mRuns.erase(position);
  }
}

void
StartedRuns::onRunLists(const RunLists& aLists, MonotonicTime aNow)
{
  std::set<std::string> listed;
  for (const ListedRun& running : aLists.running) {
    listed.insert(running.task());
    StartedRun& started = entryOf(running.task(), running.run(), aNow);
    if (started.run != running.run()) {
      continue;
    }
    started.hasBegun = true;
    started.isListed = true;
    started.percent = running.percent();
  }
  for (const ListedEnd& ended : aLists.ended) {
    const auto position = mRuns.find(ended.task());
    if (position != mRuns.end() && position->second.run <= ended.run()) {
      mRuns.erase(position);
    }
  }
  std::erase_if(mRuns, [&listed](const auto& aItem) {
    return aItem.second.isListed && !listed.contains(aItem.first);
  });
}

std::vector<SuspectedRun>
StartedRuns::suspects(MonotonicTime aNow) const
{
  std::vector<SuspectedRun> runs;
  for (const auto& [task, started] : mRuns) {
    runs.push_back(valueOf(
      SuspectedRun::create({ .task = task,
                             .run = started.run,
                             .begun = started.hasBegun,
                             .ranMs = std::max<std::int64_t>(0, aNow.msSince(started.startedAt)),
                             .percent = started.percent })));
  }
  return runs;
}

} // namespace magnoliadrum
