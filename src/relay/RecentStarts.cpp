#include "relay/RecentStarts.h"

#include <set>

namespace magnoliadrum {

RecentStarts::StartedRun&
RecentStarts::entryOf(const std::string& aTask, std::int64_t aRun)
{
  StartedRun& started = mRuns[aTask];
  if (started.run < aRun) {
    started = StartedRun();
    started.run = aRun;
  }
  return started;
}

void
RecentStarts::onStartSent(const std::string& aTask, std::int64_t aRun)
{
  entryOf(aTask, aRun).orders++;
}

void
RecentStarts::onStartAnswered(const std::string& aTask, std::int64_t aRun, OrderResult aResult)
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
RecentStarts::onRunLists(const RunLists& aLists)
{
  std::set<std::string> listed;
  for (const ListedRun& running : aLists.running) {
    listed.insert(running.task());
    StartedRun& started = entryOf(running.task(), running.run());
    if (started.run != running.run()) {
      continue;
    }
    started.hasBegun = true;
    started.firstListedClockMs = started.firstListedClockMs.value_or(aLists.clockMs);
    started.isHarmless =
      started.isHarmless || aLists.clockMs - *started.firstListedClockMs >= kHarmlessRunMs;
  }
  for (const ListedEnd& ended : aLists.ended) {
    const auto position = mRuns.find(ended.task());
    if (position != mRuns.end() && position->second.run <= ended.run()) {
      mRuns.erase(position);
    }
  }
  std::erase_if(mRuns, [&listed](const auto& aItem) {
    return aItem.second.firstListedClockMs && !listed.contains(aItem.first);
  });
}

std::vector<SuspectedRun>
RecentStarts::suspects() const
{
  std::vector<SuspectedRun> runs;
  for (const auto& [task, started] : mRuns) {
    if (!started.isHarmless) {
      runs.push_back(valueOf(
        SuspectedRun::create({ .task = task, .run = started.run, .begun = started.hasBegun })));
    }
  }
  return runs;
}

} // namespace magnoliadrum
