#include "testbench/PolicyExperimentCost.h"

#include "placement/placement.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <string>

namespace magnoliadrum {

namespace {

constexpr int kEntries = 560;
constexpr int kDataCentres = 16;
constexpr int kWorkersPerRack = 40;
constexpr std::int64_t kCpuMilli = 64000;
constexpr std::int64_t kMemoryMb = 250000;
constexpr int kRounds = 20;
/** The fastest of these counts, because other work on the machine only ever adds time. */
constexpr int kRepeats = 5;

double
microsecondsOf(const std::chrono::steady_clock::time_point& aFrom)
{
  const auto passed = std::chrono::steady_clock::now() - aFrom;
  return std::chrono::duration<double, std::micro>(passed).count();
}

WorkerView
workerNumber(int aNumber)
{
  TargetDescription::Fields fields;
  fields.targetId = "worker-" + std::to_string(aNumber);
  fields.targetKind = TargetKind::eWorker;
  fields.agentAddress = "127.0.0.1:1";
  fields.dataCentre = "dc-" + std::to_string(aNumber % kDataCentres);
  fields.rack = "rack-" + std::to_string(aNumber / kWorkersPerRack);
  fields.capacity = takeValue(Resources::create({ .cpuMilli = kCpuMilli, .memoryMb = kMemoryMb }));
  WorkerView view;
  view.session = aNumber + 1;
  view.target = takeValue(TargetDescription::create(std::move(fields)));
  if (aNumber % 2 == 0) {
    view.services = { "service" };
  }
  return view;
}

CatalogueEntry
entryNumber(int aNumber, std::mt19937_64& aRandom)
{
  CatalogueEntry::Fields fields;
  fields.name = "entry-" + std::to_string(aNumber);
  fields.owner = "team-" + std::to_string(aNumber);
  fields.kind = EntryKind::eBatch;
  fields.workClass = WorkClass::eBatch;
  const std::int64_t cpu = static_cast<std::int64_t>(1000 + aRandom() % 15000);
  fields.resources = takeValue(Resources::create({ .cpuMilli = cpu, .memoryMb = cpu * 3 }));
  for (int i = 0; i < kDataCentres; ++i) {
    fields.dataCentres.push_back("dc-" + std::to_string(i));
  }
  return takeValue(CatalogueEntry::create(std::move(fields)));
}

TaskView
taskNumber(int aNumber)
{
  TaskView task;
  task.entryName = "entry-" + std::to_string(aNumber % kEntries);
  task.taskId = task.entryName + "/" + std::to_string(aNumber);
  return task;
}

void
measure(int aWorkers, int aTasks, std::uint64_t aSeed, std::ostream& aOut)
{
  std::mt19937_64 random(aSeed);
  PlacementView view;
  view.complete = false;
  for (int i = 0; i < kEntries; ++i) {
    view.entries.push_back(entryNumber(i, random));
  }
  for (int i = 0; i < aWorkers; ++i) {
    view.workers.push_back(workerNumber(i));
  }
  PlacementOptions idle;
  idle.maxDecisions = 0;
  PlacementPolicy empty(idle, random);
  empty.decide(view, MonotonicTime::fromMs(0));
  const std::size_t workerBytes = empty.modelBytes();
  for (int i = 0; i < aTasks; ++i) {
    view.tasks.push_back(taskNumber(i));
  }
  PlacementOptions options;
  options.maxDecisions = 1000000;
  PlacementPolicy policy(options, random);
  std::vector<PlacementDecision> placed;
  double intake = 0;
  double firstRound = 0;
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    PlacementPolicy intakeOnly(idle, random);
    auto start = std::chrono::steady_clock::now();
    intakeOnly.decide(view, MonotonicTime::fromMs(0));
    const double intakeNow = microsecondsOf(start);
    policy = PlacementPolicy(options, random);
    start = std::chrono::steady_clock::now();
    placed = policy.decide(view, MonotonicTime::fromMs(0));
    const double roundNow = microsecondsOf(start);
    intake = repeat == 0 ? intakeNow : std::min(intake, intakeNow);
    firstRound = repeat == 0 ? roundNow : std::min(firstRound, roundNow);
  }
  firstRound = std::max(0.0, firstRound - intake);
  // Each further round ends the tasks of some workers, which gives room to as many others.
  const PlacementView running = [&] {
    PlacementView confirmed;
    confirmed.complete = false;
    for (const PlacementDecision& decision : placed) {
      if (const PlaceDecision* placement = std::get_if<PlaceDecision>(&decision)) {
        TaskView task;
        task.taskId = placement->taskId;
        task.entryName = task.taskId.substr(0, task.taskId.find('/'));
        task.state = TaskState::eRunning;
        task.session = placement->session;
        task.epoch = placement->epoch;
        confirmed.tasks.push_back(std::move(task));
      }
    }
    return confirmed;
  }();
  policy.decide(running, MonotonicTime::fromMs(1000));
  const std::size_t perRound = std::max<std::size_t>(1, running.tasks.size() / 50);
  std::size_t decisions = 0;
  double decisionTime = 0;
  double idleTime = 0;
  for (int round = 0; round < kRounds; ++round) {
    PlacementView changed;
    changed.complete = false;
    for (std::size_t i = 0; i < perRound; ++i) {
      const std::size_t ended = static_cast<std::size_t>(round) * perRound + i;
      if (ended < running.tasks.size()) {
        changed.tasks.push_back(running.tasks[ended]);
        changed.tasks.back().state = TaskState::eCompleted;
        changed.tasks.back().session = 0;
      }
    }
    const std::int64_t nowMs = 1000 + (round + 1) * 20;
    auto from = std::chrono::steady_clock::now();
    decisions += policy.decide(changed, MonotonicTime::fromMs(nowMs)).size();
    decisionTime += microsecondsOf(from);
    PlacementView nothing;
    nothing.complete = false;
    from = std::chrono::steady_clock::now();
    policy.decide(nothing, MonotonicTime::fromMs(nowMs + 10));
    idleTime += microsecondsOf(from);
  }
  const std::size_t bytes = policy.modelBytes();
  const auto each = [](double aTime, std::size_t aCount) {
    return aTime / static_cast<double>(std::max<std::size_t>(1, aCount));
  };
  aOut << std::fixed << std::setprecision(1) << std::setw(9) << aWorkers << std::setw(9) << aTasks
       << std::setw(12) << intake / 1000 << std::setw(9) << placed.size() << std::setw(12)
       << each(firstRound, placed.size()) << std::setw(12) << decisions << std::setw(12)
       << decisionTime / kRounds << std::setw(12) << idleTime / kRounds << std::setw(10)
       << workerBytes / static_cast<std::size_t>(aWorkers) << std::setw(10)
       << (bytes - workerBytes) / static_cast<std::size_t>(aTasks) << "\n";
}

} // namespace

void
printPlacementCost(std::uint64_t aSeed, std::ostream& aOut)
{
  aOut << std::setw(9) << "workers" << std::setw(9) << "tasks" << std::setw(12) << "intake ms"
       << std::setw(9) << "placed" << std::setw(12) << "us/placed" << std::setw(12) << "in rounds"
       << std::setw(12) << "us/round" << std::setw(12) << "us/idle" << std::setw(10) << "B/worker"
       << std::setw(10) << "B/task"
       << "\n";
  for (const int workers : { 11, 110, 1100, 7100 }) {
    for (const int tasks : { 500, 5000, 50000 }) {
      measure(workers, tasks, aSeed, aOut);
    }
  }
}

} // namespace magnoliadrum
