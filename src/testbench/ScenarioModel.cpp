#include "testbench/ScenarioModel.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace magnoliadrum {

namespace {

constexpr std::size_t kUsageLagSeconds = 2;
constexpr std::size_t kLatencyLagSeconds = 4;
constexpr std::int64_t kStopSeconds = 2;
constexpr std::int64_t kFailSeconds = 2;
/** Memory grows to its full size in this time, so a report right after a start says little. */
constexpr double kMemoryRampSeconds = 30;
constexpr int kSamplesPerSecond = 20;
/** Spread of request latencies around the p99 of one second. */
constexpr double kLatencySpread = 0.4;
constexpr double kNormalP99 = 2.326;
constexpr double kMeasurementNoise = 0.1;
constexpr double kOwnLoadEffect = 1.0;
constexpr double kSizeSpread = 0.2;
constexpr double kSecondsPerHour = 3600;

std::int64_t
sessionOf(std::size_t aWorker)
{
  return static_cast<std::int64_t>(aWorker) + 1;
}

Resources
rounded(double aCpuMilli, double aMemoryMb)
{
  return takeValue(Resources::create({ .cpuMilli = static_cast<std::int64_t>(aCpuMilli),
                                       .memoryMb = static_cast<std::int64_t>(aMemoryMb) }));
}

} // namespace

ScenarioModel::ScenarioModel(const Scenario& aScenario, std::uint64_t aSeed)
  : mScenario(aScenario)
  , mRandom(aSeed)
{
}

double
ScenarioModel::load() const
{
  double result = 0;
  for (const LoadChange& change : mScenario.loads) {
    result = change.atSecond <= mSecond ? change.load : result;
  }
  return result;
}

ScenarioModel::Task
ScenarioModel::newTask(std::size_t aBehaviour)
{
  const TrueBehaviour& behaviour = mScenario.batch.at(aBehaviour);
  std::lognormal_distribution<double> spread(0, kSizeSpread);
  Task task;
  task.behaviour = aBehaviour;
  task.view.entryName = behaviour.entry.name();
  task.view.taskId = behaviour.entry.name() + "/" + std::to_string(mTasks.size());
  task.cpuMilli = behaviour.cpuMilli * spread(mRandom);
  task.memoryMb = behaviour.memoryMb * spread(mRandom);
  task.runSeconds = behaviour.runSeconds * spread(mRandom);
  return task;
}

void
ScenarioModel::submit()
{
  for (const Submission& submission : mScenario.submissions) {
    if (submission.atSecond != mSecond) {
      continue;
    }
    for (int i = 0; i < submission.tasks; ++i) {
      Task task = newTask(submission.behaviour);
      if (submission.cancelAfterSeconds >= 0 && i < submission.cancelled) {
        task.cancelAt = mSecond + submission.cancelAfterSeconds;
      }
      mTasks.push_back(std::move(task));
    }
  }
}

bool
ScenarioModel::isHeld(const Task& aTask) const
{
  return !aTask.ended && aTask.view.session != 0;
}

double
ScenarioModel::memoryOf(const Task& aTask) const
{
  const double age = static_cast<double>(mSecond - aTask.startedAt);
  return aTask.memoryMb * std::min(1.0, age / kMemoryRampSeconds);
}

PlacementView
ScenarioModel::advance()
{
  submit();
  for (const PlacementDecision& decision : mPending) {
    std::visit([this](const auto& aDecision) { carryOut(aDecision); }, decision);
  }
  mPending.clear();
  PlacementView view;
  std::vector<std::vector<Task*>> held(mScenario.workers.size());
  for (Task& task : mTasks) {
    if (!task.ended && task.cancelAt == mSecond) {
      end(task, TaskState::eCancelled);
      view.tasks.push_back(task.view);
    } else if (isHeld(task)) {
      held[task.worker].push_back(&task);
    }
  }
  Report report;
  report.usage.resize(mScenario.workers.size());
  for (std::size_t i = 0; i < held.size(); ++i) {
    runWorker(i, held[i], report);
    for (const Task* task : held[i]) {
      if (task->ended) {
        view.tasks.push_back(task->view);
      }
    }
  }
  mReports.push_front(std::move(report));
  mReports.resize(std::min(mReports.size(), kLatencyLagSeconds + 1));
  view.entries.push_back(mScenario.service);
  for (const TrueBehaviour& behaviour : mScenario.batch) {
    view.entries.push_back(behaviour.entry);
  }
  const std::size_t usageAge = std::min(kUsageLagSeconds, mReports.size() - 1);
  for (std::size_t i = 0; i < mScenario.workers.size(); ++i) {
    WorkerView worker;
    worker.session = sessionOf(i);
    worker.target = mScenario.workers[i];
    if (i < mScenario.serviceWorkers) {
      worker.services = { mScenario.service.name() };
      worker.reserved = mScenario.serviceReserved;
    }
    worker.usage = mReports[usageAge].usage[i];
    worker.usageAt = MonotonicTime::fromMs(mSecond * 1000);
    view.workers.push_back(std::move(worker));
  }
  view.services = mReports.back().services;
  for (const Task& task : mTasks) {
    if (!task.ended) {
      view.tasks.push_back(task.view);
    }
  }
  ++mSecond;
  return view;
}

void
ScenarioModel::runWorker(std::size_t aWorker, const std::vector<Task*>& aTasks, Report& aReport)
{
  const Resources& capacity = mScenario.workers[aWorker].capacity();
  const double cores = static_cast<double>(capacity.cpuMilli());
  const bool hasService = aWorker < mScenario.serviceWorkers;
  const double serviceCpu =
    hasService ? load() * static_cast<double>(mScenario.serviceReserved.cpuMilli()) : 0;
  double demand = serviceCpu;
  double memory = hasService ? static_cast<double>(mScenario.serviceReserved.memoryMb()) : 0;
  double inflation = 0;
  const auto cpuOf = [](const Task& aTask) {
    return aTask.limitMilli > 0 ? std::min(aTask.limitMilli, aTask.cpuMilli) : aTask.cpuMilli;
  };
  const double reserved = static_cast<double>(mScenario.serviceReserved.cpuMilli());
  mRoomMilliSeconds += cores - (hasService ? reserved : 0);
  for (const Task* task : aTasks) {
    const CatalogueEntry& entry = mScenario.batch[task->behaviour].entry;
    mHeldMilliSeconds +=
      std::max(task->cpuMilli, static_cast<double>(entry.resources().cpuMilli()));
    demand += cpuOf(*task);
    memory += memoryOf(*task);
    inflation += mScenario.batch[task->behaviour].interference * cpuOf(*task) / cores;
  }
  mServiceCoreSeconds += serviceCpu / 1000;
  const double contention = std::max(1.0, demand / cores);
  if (hasService) {
    sampleLatency(aWorker, inflation * (0.5 + load()) + 2 * std::log(contention), aReport);
  }
  TargetUsage::Fields usage;
  usage.used = rounded(std::min(demand, cores), memory);
  for (Task* task : aTasks) {
    const double given = cpuOf(*task) / contention;
    usage.tasks.push_back(takeValue(TaskUsage::create({ .taskId = task->view.taskId,
                                                        .used = rounded(given, memoryOf(*task)),
                                                        .progress = task->progress })));
    task->progress = std::min(1.0, task->progress + given / task->cpuMilli / task->runSeconds);
    const std::int64_t age = mSecond - task->startedAt;
    const bool isFaulty = mScenario.batch[task->behaviour].alwaysFails ||
                          static_cast<int>(aWorker) == mScenario.badWorker;
    if (isFaulty && age >= kFailSeconds) {
      fail(*task);
    } else if (task->stopsAt >= 0 && task->stopsAt <= mSecond) {
      stop(*task);
    } else if (task->progress >= 1.0) {
      end(*task, TaskState::eCompleted);
    } else {
      task->view.state = TaskState::eRunning;
    }
  }
  aReport.usage[aWorker] = takeValue(TargetUsage::create(std::move(usage)));
  // The kernel ends the largest task when the memory of the VM is used up.
  const auto largest =
    std::max_element(aTasks.begin(), aTasks.end(), [this](const Task* aLeft, const Task* aRight) {
      return (isHeld(*aLeft) ? memoryOf(*aLeft) : 0) < (isHeld(*aRight) ? memoryOf(*aRight) : 0);
    });
  if (memory > static_cast<double>(capacity.memoryMb()) && isHeld(**largest)) {
    ++mOutcome.outOfMemory;
    fail(**largest);
  }
}

void
ScenarioModel::sampleLatency(std::size_t aWorker, double aInflation, Report& aReport)
{
  const double alone = mScenario.serviceBaseMs * std::exp(kOwnLoadEffect * load());
  const double shared = alone * std::exp(aInflation);
  std::normal_distribution<double> normal;
  const int samples = static_cast<int>(kSamplesPerSecond * load());
  for (int i = 0; i < samples; ++i) {
    const double request = std::exp(kLatencySpread * (normal(mRandom) - kNormalP99));
    mOutcome.latenciesMs.push_back(static_cast<float>(shared * request));
    mOutcome.aloneMs.push_back(static_cast<float>(alone * request));
  }
  const double measured = shared * std::exp(kMeasurementNoise * normal(mRandom));
  aReport.services.push_back({ mScenario.service.name(),
                               sessionOf(aWorker),
                               measured,
                               static_cast<std::int64_t>(1000 * load()) });
}

void
ScenarioModel::stop(Task& aTask)
{
  const TrueBehaviour& behaviour = mScenario.batch[aTask.behaviour];
  const double step = behaviour.checkpointSeconds / aTask.runSeconds;
  const double saved = std::floor(aTask.progress / step) * step;
  aTask.kept = std::max(aTask.kept, saved);
  aTask.progress = aTask.kept;
  aTask.view.checkpoint = std::to_string(aTask.kept);
  aTask.view.session = 0;
  aTask.view.state = TaskState::ePending;
  aTask.view.stopRequested = false;
  aTask.stopsAt = -1;
  aTask.limitMilli = 0;
}

void
ScenarioModel::fail(Task& aTask)
{
  ++mOutcome.failures;
  ++aTask.view.attempts;
  stop(aTask);
  const TrueBehaviour& behaviour = mScenario.batch[aTask.behaviour];
  if (aTask.view.attempts >= behaviour.entry.limits().maxAttempts()) {
    mOutcome.lost += behaviour.alwaysFails ? 0 : 1;
    end(aTask, TaskState::eFailed);
  }
}

void
ScenarioModel::end(Task& aTask, TaskState aState)
{
  aTask.ended = true;
  aTask.view.state = aState;
  aTask.view.session = 0;
  mOutcome.completed += aState == TaskState::eCompleted ? 1 : 0;
}

ScenarioModel::Task*
ScenarioModel::find(const std::string& aTaskId, std::int64_t aEpoch)
{
  const std::size_t number = std::stoul(aTaskId.substr(aTaskId.find('/') + 1));
  Task& task = mTasks.at(number);
  return task.ended || task.view.epoch != aEpoch ? nullptr : &task;
}

void
ScenarioModel::carryOut(const std::vector<PlacementDecision>& aDecisions)
{
  mPending = aDecisions;
}

void
ScenarioModel::carryOut(const PlaceDecision& aDecision)
{
  Task* task = find(aDecision.taskId, aDecision.epoch - 1);
  if (task == nullptr || task->view.state != TaskState::ePending) {
    return;
  }
  task->view.epoch = aDecision.epoch;
  task->view.session = aDecision.session;
  task->view.state = TaskState::ePlaced;
  task->worker = static_cast<std::size_t>(aDecision.session - 1);
  task->startedAt = mSecond;
}

void
ScenarioModel::carryOut(const EvictDecision& aDecision)
{
  Task* task = find(aDecision.taskId, aDecision.epoch);
  if (task != nullptr && isHeld(*task) && !task->view.stopRequested) {
    task->view.stopRequested = true;
    task->stopsAt = mSecond + kStopSeconds;
    ++task->view.evictions;
    ++mOutcome.evictions;
  }
}

void
ScenarioModel::carryOut(const ThrottleDecision& aDecision)
{
  Task* task = find(aDecision.taskId, aDecision.epoch);
  if (task != nullptr && isHeld(*task)) {
    task->limitMilli = static_cast<double>(aDecision.cpuMilli);
    ++mOutcome.throttles;
  }
}

void
ScenarioModel::carryOut(const ImpossibleDecision& aDecision)
{
  Task* task = find(aDecision.taskId, aDecision.epoch);
  if (task != nullptr) {
    task->view.state = TaskState::eImpossible;
    ++mOutcome.toldImpossible;
  }
}

void
ScenarioModel::carryOut(const ReconsiderDecision& aDecision)
{
  Task* task = find(aDecision.taskId, aDecision.epoch);
  if (task != nullptr) {
    task->view.state = TaskState::ePending;
  }
}

void
ScenarioModel::computeBounds()
{
  // Work and reserved core hours of each task that can run, the most work per reservation first.
  std::vector<std::pair<double, double>> tasks;
  double submitted = 0;
  for (const Task& task : mTasks) {
    const CatalogueEntry& entry = mScenario.batch[task.behaviour].entry;
    const TargetDescription& first = mScenario.workers.front();
    const bool canRun = !mScenario.batch[task.behaviour].alwaysFails && task.cancelAt < 0 &&
                        entry.resources().cpuMilli() <= first.capacity().cpuMilli() &&
                        entry.dataCentres().front() != "closed";
    if (canRun) {
      const double hours = task.runSeconds / kSecondsPerHour / 1000;
      const double declared = static_cast<double>(entry.resources().cpuMilli());
      tasks.emplace_back(task.cpuMilli * hours, std::max(declared, task.cpuMilli) * hours);
      submitted += tasks.back().first;
    }
  }
  std::sort(tasks.begin(), tasks.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first * aRight.second > aRight.first * aLeft.second;
  });
  double total = 0;
  for (const TargetDescription& worker : mScenario.workers) {
    total += static_cast<double>(worker.capacity().cpuMilli() * mSecond) / 1000 / kSecondsPerHour;
  }
  const double reserved = static_cast<double>(mScenario.serviceReserved.cpuMilli());
  double room = total - reserved / 1000 * static_cast<double>(mScenario.serviceWorkers) *
                          static_cast<double>(mSecond) / kSecondsPerHour;
  for (const auto& [work, reservation] : tasks) {
    const double share = std::clamp(room / reservation, 0.0, 1.0);
    mOutcome.ruleBoundCoreHours += work * share;
    room -= reservation * share;
  }
  mOutcome.boundCoreHours = std::min(submitted, total - mServiceCoreSeconds / kSecondsPerHour);
}

ScenarioOutcome
ScenarioModel::finish()
{
  computeBounds();
  mOutcome.heldShare = mHeldMilliSeconds / mRoomMilliSeconds;
  for (const Task& task : mTasks) {
    const bool isLost = task.view.state == TaskState::eFailed || task.cancelAt >= 0;
    const double work = task.cpuMilli / 1000 * task.runSeconds / kSecondsPerHour;
    mOutcome.usefulCoreHours += isLost ? 0 : work * task.progress;
  }
  return std::move(mOutcome);
}

} // namespace magnoliadrum
