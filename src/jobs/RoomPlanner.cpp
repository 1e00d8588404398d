#include "jobs/RoomPlanner.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

RoomPlanner::RoomPlanner(std::map<std::string, std::int64_t> aUncommittedCpuMilli)
  : mUncommittedCpuMilli(std::move(aUncommittedCpuMilli))
{
}

bool
RoomPlanner::mayAwaitCapacity(const WorkerCandidate& aWorker, const JobStep& aStep) const
{
  if (!aStep.longRunning()) {
    return false;
  }
  const bool isOvercommitted = mUncommittedCpuMilli.at(aWorker.poolName) < 0;
  const auto awaited = mAwaitedPieces.find(aWorker.poolName);
  return !isOvercommitted || awaited == mAwaitedPieces.end() || awaited->second < kMaxAwaitedPieces;
}

std::optional<RoomPlan>
RoomPlanner::plan(const WorkerCandidate& aWorker,
                  const JobStep& aStep,
                  std::int64_t aPriority) const
{
  const ResourceAmount size = requiredResources(aStep);
  const ResourceAmount free = aWorker.capacity.minus(aWorker.used).plus(aWorker.releasing);
  std::optional<RoomPlan> plan = findVictims(aWorker, size, free, aPriority);
  if (plan || !mayAwaitCapacity(aWorker, aStep)) {
    return plan;
  }
  // Short runs would otherwise take the room of a long-running task piece by piece, again and
  // again.
  ResourceAmount ending;
  for (const EvictableRun& run : aWorker.evictable) {
    if (run.priority <= aPriority) {
      ending = ending.plus(run.size);
    }
  }
  plan = findVictims(aWorker, size, free.plus(ending), aPriority);
  if (plan) {
    plan->awaitedCpuMilli = std::max<std::int64_t>(1, size.cpuMilli - free.cpuMilli);
    // They are stopped once the awaited runs have ended.
    plan->victims.clear();
  }
  return plan;
}

void
RoomPlanner::carryOut(WorkerCandidate& aWorker, const RoomPlan& aPlan)
{
  if (aPlan.awaitedCpuMilli > 0) {
    mAwaitedPieces[aWorker.poolName]++;
  }
  for (const EvictableRun& victim : aPlan.victims) {
    aWorker.releasing = aWorker.releasing.plus(victim.size);
    std::erase(aWorker.evictable, victim);
    mEvictions.push_back(victim);
  }
}

std::optional<RoomPlan>
RoomPlanner::findVictims(const WorkerCandidate& aWorker,
                         const ResourceAmount& aSize,
                         ResourceAmount aFree,
                         std::int64_t aPriority) const
{
  std::vector<const EvictableRun*> candidates;
  ResourceAmount attainable = aFree;
  for (const EvictableRun& run : aWorker.evictable) {
    if (run.priority > aPriority) {
      candidates.push_back(&run);
      attainable = attainable.plus(run.size);
    }
  }
  if (!aSize.fitsIn(attainable)) {
    return std::nullopt;
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const EvictableRun* aLeft, const EvictableRun* aRight) {
              return std::tie(aLeft->lostWork, aLeft->task) <
                     std::tie(aRight->lostWork, aRight->task);
            });
  RoomPlan plan;
  for (const EvictableRun* candidate : candidates) {
    if (aSize.fitsIn(aFree)) {
      break;
    }
    aFree = aFree.plus(candidate->size);
    plan.lostWork += candidate->lostWork;
    plan.victims.push_back(*candidate);
  }
  const bool isAllowed = mEvictions.size() + plan.victims.size() <= kMaxEvictions;
  return aSize.fitsIn(aFree) && isAllowed ? std::optional<RoomPlan>(plan) : std::nullopt;
}

} // namespace magnoliadrum
