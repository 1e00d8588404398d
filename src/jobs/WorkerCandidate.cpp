#include "jobs/WorkerCandidate.h"

#include "jobs/CrashAttribution.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

bool
servesUsers(const JobStep& aStep)
{
  return aStep.longRunning() && aStep.latencyObjectiveMs() > 0;
}

ResourceAmount
requiredResources(const JobStep& aStep)
{
  ResourceAmount size = ResourceAmount::of(aStep.resources());
  if (aStep.opportunistic()) {
    size.cpuMilli = 0;
  }
  return size;
}

std::string
stepName(const TaskId& aTask)
{
  return aTask.jobId + "." + std::to_string(aTask.occurrence) + "." + std::to_string(aTask.step);
}

double
cpuShare(const WorkerCandidate& aWorker, const JobStep& aStep)
{
  const double capacity = std::max<double>(1, static_cast<double>(aWorker.capacity.cpuMilli));
  return static_cast<double>(aStep.resources().cpuMilli()) / capacity;
}

void
addRun(WorkerCandidate& aWorker, const JobStep& aStep, const TaskId& aTask)
{
  aWorker.used = aWorker.used.plus(requiredResources(aStep));
  if (aStep.opportunistic()) {
    aWorker.opportunisticCpuMilli += aStep.resources().cpuMilli();
  } else if (aStep.longRunning()) {
    aWorker.longRunningCpuMilli += aStep.resources().cpuMilli();
  }
  if (aStep.longRunning()) {
    aWorker.youngStandingRuns++;
  } else {
    aWorker.endingRuns++;
  }
  if (servesUsers(aStep)) {
    aWorker.servingRuns[aStep.image()]++;
  }
  if (aStep.maxPerWorker() > 0) {
    aWorker.runsOfStep[stepName(aTask)]++;
  }
}

WorkerCandidate
withoutEndedRuns(WorkerCandidate aWorker)
{
  for (const EndedRun& ended : std::exchange(aWorker.endedRuns, {})) {
    aWorker.used = aWorker.used.minus(ended.size);
    std::erase_if(aWorker.evictable,
                  [&ended](const EvictableRun& aRun) { return aRun.task == ended.task; });
    const auto count = aWorker.runsOfStep.find(stepName(ended.task));
    if (count != aWorker.runsOfStep.end()) {
      count->second--;
    }
  }
  return aWorker;
}

double
unusedCpuMilli(const WorkerCandidate& aWorker)
{
  const std::int64_t shortRunningCpuMilli = aWorker.used.cpuMilli - aWorker.longRunningCpuMilli;
  return static_cast<double>(aWorker.capacity.cpuMilli - shortRunningCpuMilli -
                             aWorker.opportunisticCpuMilli) -
         kLongRunningCpuUsage * static_cast<double>(aWorker.longRunningCpuMilli);
}

bool
hasLabel(const WorkerCandidate& aWorker, const std::string& aLabel)
{
  return aLabel.empty() ||
         std::find(aWorker.labels.begin(), aWorker.labels.end(), aLabel) != aWorker.labels.end();
}

bool
isPermitted(const WorkerCandidate& aWorker,
            const std::string& aPoolName,
            const JobStep& aStep,
            const std::string& aStepName)
{
  if (aWorker.poolName != aPoolName || !hasLabel(aWorker, aStep.requiredLabel())) {
    return false;
  }
  const auto runs = aWorker.runsOfStep.find(aStepName);
  return aStep.maxPerWorker() == 0 || runs == aWorker.runsOfStep.end() ||
         runs->second < aStep.maxPerWorker();
}

bool
isDoubtful(const JobStep& aStep, const JobTaskRecord::Fields& aTask)
{
  // Runs that were lost with their workers leave harmlessMs as it is.
  return aStep.longRunning() && aTask.run >= WorkerReliability::kDoubtfulStarts &&
         aTask.harmlessMs > 0 && aTask.harmlessMs < WorkerReliability::kStandingSuccessMs;
}

bool
isLimited(const WorkerCandidate& aWorker, const JobStep& aStep, const JobTaskRecord::Fields& aTask)
{
  const bool isOfDoubtfulTask = isDoubtful(aStep, aTask);
  if (aStep.longRunning() &&
      (isOfDoubtfulTask ? aWorker.hasJustFailedDoubtfulRun : aWorker.hasJustFailedStandingRun)) {
    return true;
  }
  if (aWorker.maxRuns == WorkerReliability::kNoLimit) {
    return false;
  }
  if (isOfDoubtfulTask) {
    return aWorker.youngDoubtfulRuns >= 1;
  }
  return aStep.longRunning() ? aWorker.youngStandingRuns >= 1
                             : aWorker.youngStandingRuns + aWorker.endingRuns >= aWorker.maxRuns;
}

bool
isClosedForTrials(const WorkerCandidate& aWorker,
                  const JobStep& aStep,
                  const JobTaskRecord::Fields& aTask)
{
  const bool mayJoin = aStep.longRunning() && !aStep.gang() && !aStep.opportunistic() &&
                       !CrashAttribution::needsTrial(aTask) && aWorker.suspects > 0 &&
                       aWorker.youngSuspects == 0;
  return aWorker.isReserved && !mayJoin;
}

bool
fits(const WorkerCandidate& aWorker, const JobStep& aStep)
{
  return requiredResources(aStep).fitsIn(aWorker.capacity.minus(aWorker.used));
}

} // namespace magnoliadrum
