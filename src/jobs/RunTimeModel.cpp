#include "jobs/RunTimeModel.h"

#include "core/core.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr double kFullPercent = 100;

/** Weight of the declared estimate against the ends of a queue's steps, and the variance that it is
 * believed to have: a standard deviation of one half. */
constexpr double kDeclaredWeight = 4;
constexpr double kDeclaredVariance = 0.25;

/** Observations of a queue beyond this number replace earlier ones, so that a change is followed.
 */
constexpr double kMaxCount = 200;

/** Variance of the logarithm of the run times of a step's tasks, which are alike, together with the
 * error of the measurement. */
constexpr double kWithinStepVariance = 0.06;

/** A run that lasts this many times longer or shorter than declared is a fault of the measurement.
 */
constexpr double kMaxLogRatio = 4;

/** Number of LearnedFigures::runTimes that the schema allows. */
constexpr std::size_t kMaxSaved = 500;

double
normalProbability(double aX)
{
  return 0.5 * std::erfc(-aX / std::numbers::sqrt2);
}

const JobStep&
stepOf(const Job& aJob, std::int64_t aStep)
{
  return aJob.steps()[static_cast<std::size_t>(aStep)];
}

double
declaredMs(const JobStep& aStep)
{
  return std::max<double>(1, static_cast<double>(aStep.estimateMs()));
}

} // namespace

double
RunTimeEstimate::quantileMs(double aProbability) const
{
  constexpr int kBisections = 40;
  constexpr double kLimit = 8;
  double low = -kLimit;
  double high = kLimit;
  for (int step = 0; step < kBisections; step++) {
    const double middle = std::midpoint(low, high);
    (normalProbability(middle) < aProbability ? low : high) = middle;
  }
  return medianMs * std::exp(std::midpoint(low, high) * logDeviation);
}

double
RunTimeEstimate::remainingMs(double aWorkedMs) const
{
  constexpr double kMinDeviation = 0.01;
  const double deviation = std::max(kMinDeviation, logDeviation);
  const double mean = medianMs * std::exp(deviation * deviation / 2);
  if (aWorkedMs <= 0) {
    return mean;
  }
  const double position = std::log(std::max(1.0, medianMs) / aWorkedMs) / deviation;
  const double longerShare = normalProbability(position);
  // A run that no estimate covers is expected to last as long again as it has lasted.
  constexpr double kMinShare = 1e-6;
  if (longerShare < kMinShare) {
    return aWorkedMs;
  }
  return std::max(0.0, mean * normalProbability(position + deviation) / longerShare - aWorkedMs);
}

std::vector<RunTimeModel::Key>
RunTimeModel::keysOf(const Job& aJob, std::int64_t aStep) const
{
  std::vector<Key> keys = { { aJob.queue().name(), "" } };
  if (!stepOf(aJob, aStep).image().empty()) {
    keys.emplace_back(aJob.queue().name(), stepOf(aJob, aStep).image());
  }
  return keys;
}

void
RunTimeModel::observe(const Job& aJob,
                      const TaskId& aTask,
                      double aWorkedMs,
                      double aGainedPercent,
                      bool aIsDone)
{
  const bool isMeasurable = aGainedPercent >= kMinPercent && aWorkedMs >= kMinWorkedMs;
  if (!isMeasurable || aTask.step >= std::ssize(aJob.steps())) {
    return;
  }
  const double totalMs = aWorkedMs * kFullPercent / aGainedPercent;
  const double logRatio = std::clamp(
    std::log(totalMs / declaredMs(stepOf(aJob, aTask.step))), -kMaxLogRatio, kMaxLogRatio);
  StepErrors& errors = mJobs[aJob.jobId()][{ aTask.occurrence, aTask.step }];
  TaskError& task = errors.tasks[aTask.index];
  const double weight = aIsDone ? 1 : std::min(1.0, aGainedPercent / kFullPercent);
  if (weight >= task.weight) {
    task = { logRatio, weight };
  }
  if (!aIsDone || std::exchange(errors.isCounted, true)) {
    return;
  }
  for (const Key& key : keysOf(aJob, aTask.step)) {
    QueueError& queue = mQueues[key];
    queue.count = std::min(queue.count + 1, kMaxCount);
    const double difference = logRatio - queue.mean;
    queue.mean += difference / queue.count;
    queue.variance += (difference * (logRatio - queue.mean) - queue.variance) / queue.count;
  }
}

void
RunTimeModel::observeCpuShare(const Job& aJob, const TaskId& aTask, double aShare)
{
  for (const Key& key : keysOf(aJob, aTask.step)) {
    QueueError& queue = mQueues[key];
    queue.cpuCount = std::min(queue.cpuCount + 1, kMaxCount);
    queue.cpuShare += (std::max(0.0, aShare) - queue.cpuShare) / queue.cpuCount;
  }
}

RunTimeModel::QueueError
RunTimeModel::priorOf(const Job& aJob, std::int64_t aStep) const
{
  QueueError prior{ .mean = 0, .variance = kDeclaredVariance };
  for (const Key& key : keysOf(aJob, aStep)) {
    const auto found = mQueues.find(key);
    if (found == mQueues.end()) {
      continue;
    }
    const QueueError& queue = found->second;
    const double weight = queue.count + kDeclaredWeight;
    prior.mean = (queue.count * queue.mean + kDeclaredWeight * prior.mean) / weight;
    prior.variance = (queue.count * queue.variance + kDeclaredWeight * prior.variance) / weight;
    prior.count = std::max(prior.count, queue.count);
    if (queue.cpuCount > 0) {
      prior.cpuShare = (queue.cpuCount * queue.cpuShare + kDeclaredWeight * prior.cpuShare) /
                       (queue.cpuCount + kDeclaredWeight);
    }
  }
  return prior;
}

RunTimeEstimate
RunTimeModel::runTime(const Job& aJob, std::int64_t aOccurrence, std::int64_t aStep) const
{
  const QueueError prior = priorOf(aJob, aStep);
  double weight = 0;
  double sum = 0;
  const auto job = mJobs.find(aJob.jobId());
  if (job != mJobs.end()) {
    const auto step = job->second.find({ aOccurrence, aStep });
    if (step != job->second.end()) {
      for (const auto& [index, task] : step->second.tasks) {
        weight += task.weight;
        sum += task.weight * task.logRatio;
      }
    }
  }
  const double precision = 1 / prior.variance + weight / kWithinStepVariance;
  const double mean = (prior.mean / prior.variance + sum / kWithinStepVariance) / precision;
  return { .medianMs = declaredMs(stepOf(aJob, aStep)) * std::exp(mean),
           .logDeviation = std::sqrt(1 / precision + kWithinStepVariance),
           .observations = prior.count + weight };
}

double
RunTimeModel::workRatio(const std::string& aQueueName) const
{
  const auto found = mQueues.find({ aQueueName, "" });
  if (found == mQueues.end()) {
    return 1;
  }
  // Large estimates are mostly too large, so their sum errs by more than their median.
  const QueueError& queue = found->second;
  const double weight = queue.count / (queue.count + kDeclaredWeight);
  return std::exp(weight * (queue.mean - queue.variance / 2));
}

double
RunTimeModel::cpuShare(const Job& aJob, std::int64_t aStep) const
{
  return priorOf(aJob, aStep).cpuShare;
}

void
RunTimeModel::writeTo(LearnedFigures::Fields& aFigures) const
{
  for (const auto& [key, queue] : mQueues) {
    if (aFigures.runTimes.size() >= kMaxSaved) {
      return;
    }
    const Result<LearnedRunTime> saved =
      LearnedRunTime::create({ .queueName = key.first,
                               .image = key.second,
                               .count = queue.count,
                               .meanLogRatio = queue.mean,
                               .varianceLogRatio = std::max(0.0, queue.variance),
                               .varianceWithinStep = kWithinStepVariance,
                               .meanCpuShare = queue.cpuShare });
    if (isOk(saved)) {
      aFigures.runTimes.push_back(valueOf(saved));
    }
  }
}

RunTimeModel
RunTimeModel::fromFigures(const LearnedFigures& aFigures)
{
  RunTimeModel model;
  for (const LearnedRunTime& saved : aFigures.runTimes()) {
    const double count = std::min(saved.count(), kMaxCount);
    model.mQueues[{ saved.queueName(), saved.image() }] = { .count = count,
                                                            .mean = saved.meanLogRatio(),
                                                            .variance = saved.varianceLogRatio(),
                                                            .cpuCount = count,
                                                            .cpuShare = saved.meanCpuShare() };
  }
  return model;
}

} // namespace magnoliadrum
