#include "jobs/JobSelector.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <numeric>
#include <queue>
#include <utility>

namespace magnoliadrum {

namespace {

/** Value of a completion for each unit of the work that it still takes. */
double
valuePerWork(const JobDemand& aDemand)
{
  const double value =
    aDemand.isStarted ? aDemand.value * JobSelector::kStartedFactor : aDemand.value;
  return value / std::max(1.0, aDemand.remainingWork);
}

/** Selects jobs that can be completed by their deadlines within the capacity. */
template<typename DeadlineOf>
class Selection
{
public:
  Selection(const std::vector<JobDemand>& aDemands, DeadlineOf aDeadlineOf, std::int64_t aNowMs)
    : mDemands(aDemands)
    , mDeadlineOf(aDeadlineOf)
    , mNowMs(aNowMs)
  {
  }

  /** Returns the selected ones of aCandidates. aReservedWork is served before them. */
  std::vector<std::size_t> select(std::vector<std::size_t> aCandidates,
                                  double aCores,
                                  double aReservedWork)
  {
    std::stable_sort(
      aCandidates.begin(), aCandidates.end(), [this](std::size_t aLeft, std::size_t aRight) {
        return mDeadlineOf(mDemands[aLeft]) < mDeadlineOf(mDemands[aRight]);
      });
    // The jobs that may still be left out, the one with the least value for its work on top.
    using Removable = std::pair<double, std::size_t>;
    std::priority_queue<Removable, std::vector<Removable>, std::greater<>> removable;
    std::vector<bool> isRemoved(mDemands.size(), false);
    std::vector<std::size_t> selected;
    double work = aReservedWork;
    for (const std::size_t candidate : aCandidates) {
      const JobDemand& demand = mDemands[candidate];
      const std::int64_t leftMs = mDeadlineOf(demand) - mNowMs;
      const double shortestPathMs =
        JobSelector::kMinPathShare * static_cast<double>(demand.remainingPathMs);
      if (shortestPathMs > static_cast<double>(leftMs)) {
        continue;
      }
      removable.emplace(valuePerWork(demand), selected.size());
      selected.push_back(candidate);
      work += demand.remainingWork;
      while (!removable.empty() && work > aCores * static_cast<double>(leftMs)) {
        const std::size_t least = selected[removable.top().second];
        removable.pop();
        isRemoved[least] = true;
        work -= mDemands[least].remainingWork;
      }
    }
    std::erase_if(selected, [&isRemoved](std::size_t aIndex) { return isRemoved[aIndex]; });
    return selected;
  }

private:
  const std::vector<JobDemand>& mDemands;
  DeadlineOf mDeadlineOf;
  std::int64_t mNowMs;
};

} // namespace

const char*
toText(JobOutlook aOutlook)
{
  switch (aOutlook) {
    case JobOutlook::eOnTime:
      return "on-time";
    case JobOutlook::eLate:
      return "late";
    case JobOutlook::eOverdue:
      return "overdue";
  }
  return "unknown";
}

std::vector<JobOutlook>
JobSelector::select(const std::vector<JobDemand>& aDemands,
                    double aCapacityCores,
                    std::int64_t aNowMs)
{
  const double cores = aCapacityCores * kUsableShare;
  const auto objectiveEnd = [](const JobDemand& aDemand) { return aDemand.objectiveEndMs; };
  const auto usefulUntil = [](const JobDemand& aDemand) { return aDemand.usefulUntilMs; };
  std::vector<JobOutlook> outlooks(aDemands.size(), JobOutlook::eOverdue);
  std::vector<std::size_t> candidates(aDemands.size());
  std::iota(candidates.begin(), candidates.end(), std::size_t{ 0 });

  Selection onTime(aDemands, objectiveEnd, aNowMs);
  double reservedWork = 0;
  for (const std::size_t index : onTime.select(candidates, cores, 0)) {
    outlooks[index] = JobOutlook::eOnTime;
    reservedWork += aDemands[index].remainingWork;
  }
  std::erase_if(candidates,
                [&](std::size_t aIndex) { return outlooks[aIndex] == JobOutlook::eOnTime; });
  Selection late(aDemands, usefulUntil, aNowMs);
  for (const std::size_t index : late.select(candidates, cores, reservedWork)) {
    outlooks[index] = JobOutlook::eLate;
  }
  return outlooks;
}

} // namespace magnoliadrum
