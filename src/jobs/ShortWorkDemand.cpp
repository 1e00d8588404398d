#include "jobs/ShortWorkDemand.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

/** Leaders' clocks may differ by so much without one of them having been set. */
constexpr std::int64_t kToleratedBackstepS = 2;

/** Declared work that ends by itself and reserves capacity, in thousandths of a core times
 * seconds. */
double
declaredWork(const JobDescription& aJob)
{
  double work = 0;
  for (const JobStep& step : aJob.steps()) {
    if (!step.longRunning() && !step.opportunistic()) {
      work += static_cast<double>(step.count() * step.resources().cpuMilli()) *
              static_cast<double>(step.estimateMs()) / kMsPerSecond;
    }
  }
  return work;
}

} // namespace

void
ShortWorkDemand::QueueDemand::closeSecond()
{
  seconds = std::min(seconds + 1, kWindowS);
  const double difference = work - mean;
  mean += difference / static_cast<double>(seconds);
  variance += (difference * (work - mean) - variance) / static_cast<double>(seconds);
  work = 0;
  second++;
}

void
ShortWorkDemand::QueueDemand::advance(std::int64_t aWallMs)
{
  const std::int64_t current = aWallMs / kMsPerSecond;
  if (current + kToleratedBackstepS < second) {
    // The clock was set back; the second that it was in cannot be completed.
    work = 0;
    second = current;
  }
  // After a long pause, or a jump of the clock, nothing of the earlier demand is left.
  if (current > second + 4 * kWindowS) {
    mean = 0;
    variance = 0;
    work = 0;
    second = current;
  }
  while (second < current) {
    closeSecond();
  }
}

void
ShortWorkDemand::add(const JobQueue& aQueue, const JobDescription& aJob, std::int64_t aAcceptedAtMs)
{
  const double work = declaredWork(aJob);
  if (work <= 0) {
    return;
  }
  const auto [position, isNew] = mQueues.try_emplace(aQueue.name());
  QueueDemand& demand = position->second;
  if (isNew) {
    demand.second = aAcceptedAtMs / kMsPerSecond;
  }
  demand.poolName = aQueue.poolName();
  demand.priority = aQueue.priority();
  demand.advance(aAcceptedAtMs);
  demand.work += work;
}

void
ShortWorkDemand::followQueues(const std::vector<JobQueue>& aQueues)
{
  for (const JobQueue& queue : aQueues) {
    const auto position = mQueues.find(queue.name());
    if (position != mQueues.end()) {
      position->second.poolName = queue.poolName();
      position->second.priority = queue.priority();
    }
  }
}

DemandRate
ShortWorkDemand::rate(const std::string& aPoolName,
                      std::int64_t aPriority,
                      std::int64_t aWallMs,
                      const std::function<double(const std::string&)>& aCorrectionOf) const
{
  DemandRate rate;
  double variance = 0;
  for (const auto& [name, recorded] : mQueues) {
    if (recorded.poolName != aPoolName || recorded.priority > aPriority) {
      continue;
    }
    QueueDemand demand = recorded;
    demand.advance(aWallMs);
    const double correction = aCorrectionOf(name);
    rate.meanCpuMilli += correction * demand.mean;
    variance += correction * correction * std::max(0.0, demand.variance);
  }
  rate.deviationCpuMilli = std::sqrt(variance);
  return rate;
}

} // namespace magnoliadrum
