#pragma once

#include "placement/placement.h"
#include "testbench/Scenario.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What one run of a scenario came to. */
struct ScenarioOutcome
{
  /** Latency of every sampled request in ms. */
  std::vector<float> latenciesMs;
  /** The same requests with the service alone on its machines. */
  std::vector<float> aloneMs;
  /** Batch work done and kept, in core hours of the tasks' own need. */
  double usefulCoreHours = 0;
  /** Upper bound of usefulCoreHours: the smaller of the work submitted and the processor time that
   * the service leaves. */
  double boundCoreHours = 0;
  /** The same bound when every task reserves the larger of its declared and its true processor
   * time, as the rules demand; memory and the gaps of packing are left out. */
  double ruleBoundCoreHours = 0;
  /** Mean share of the room beside the service that tasks held by the larger of their declared and
   * true processor time; the rest is lost to packing, memory and waiting. */
  double heldShare = 0;
  std::int64_t completed = 0;
  std::int64_t evictions = 0;
  /** Starts that ended in a failure, by a bad worker, a faulty task or a full memory. */
  std::int64_t failures = 0;
  std::int64_t outOfMemory = 0;
  /** Tasks that used up their attempts although they could run on a good worker. */
  std::int64_t lost = 0;
  std::int64_t toldImpossible = 0;
  std::int64_t throttles = 0;
};

/**
 * A small model of the workers, in steps of one second.
 *
 * Holds only what is needed to score decisions: true sizes and run times, usage reports and
 * latencies that arrive late, interference that inflates the service's latency, checkpoints, and
 * memory that runs out. A decision takes effect one step after it was made.
 */
class ScenarioModel
{
public:
  ScenarioModel(const Scenario& aScenario, std::uint64_t aSeed);

  /** Simulates one second and returns what the control service would know then. */
  PlacementView advance();

  /** Takes over the decisions of a round. */
  void carryOut(const std::vector<PlacementDecision>& aDecisions);

  ScenarioOutcome finish();

private:
  struct Task
  {
    TaskView view;
    std::size_t behaviour = 0;
    std::size_t worker = 0;
    double cpuMilli = 0;
    double memoryMb = 0;
    double runSeconds = 0;
    double progress = 0;
    double kept = 0;
    double limitMilli = 0;
    std::int64_t startedAt = 0;
    std::int64_t stopsAt = -1;
    std::int64_t cancelAt = -1;
    bool ended = false;
  };

  struct Report
  {
    std::vector<TargetUsage> usage;
    std::vector<ServiceObservation> services;
  };

  void submit();
  Task newTask(std::size_t aBehaviour);
  void runWorker(std::size_t aWorker, const std::vector<Task*>& aTasks, Report& aReport);
  void sampleLatency(std::size_t aWorker, double aInflation, Report& aReport);
  void fail(Task& aTask);
  void stop(Task& aTask);
  void end(Task& aTask, TaskState aState);
  bool isHeld(const Task& aTask) const;
  double load() const;
  double memoryOf(const Task& aTask) const;
  Task* find(const std::string& aTaskId, std::int64_t aEpoch);
  void computeBounds();
  void carryOut(const PlaceDecision& aDecision);
  void carryOut(const EvictDecision& aDecision);
  void carryOut(const ThrottleDecision& aDecision);
  void carryOut(const ImpossibleDecision& aDecision);
  void carryOut(const ReconsiderDecision& aDecision);

  const Scenario& mScenario;
  std::mt19937_64 mRandom;
  std::int64_t mSecond = 0;
  std::deque<Task> mTasks;
  std::deque<Report> mReports;
  std::vector<PlacementDecision> mPending;
  ScenarioOutcome mOutcome;
  double mServiceCoreSeconds = 0;
  double mHeldMilliSeconds = 0;
  double mRoomMilliSeconds = 0;
};

} // namespace magnoliadrum
