#include "jobs/JobsFixture.h"

#include <chrono>
#include <cstdint>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

DEFINE_int64(workers, 72, "number of workers in the pool");
DEFINE_int64(rounds, 20, "number of measured rounds");

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr std::int64_t kWorkerCpuMilli = 64000;
constexpr std::int64_t kWorkerMemoryMb = 256000;
constexpr std::int64_t kStandingCpuMilli = 12000;
constexpr std::int64_t kTasksOfShortJob = 10;
constexpr std::int64_t kTasksOfBatchJob = 20;

JobStep::Fields
standingStep(std::int64_t aTasks)
{
  JobStep::Fields step = stepOf(aTasks, kStandingCpuMilli, 26000);
  step.longRunning = true;
  step.latencyObjectiveMs = 150;
  step.image = "serving" + std::to_string(aTasks % 7);
  return step;
}

/** A pool without room whose queues have waiting jobs. */
class FullPool
{
public:
  FullPool(std::int64_t aWorkers, std::int64_t aWaitingTasks)
    : mJobs(registryWithQueues())
  {
    for (std::int64_t index = 0; index < aWorkers; index++) {
      addWorker(index);
    }
    for (std::int64_t waiting = 0; waiting < aWaitingTasks;) {
      waiting += submitShortJob();
      waiting += submitBatchJob();
    }
    mJobs.apply(submitOf("urgent", jobOf("standing", { standingStep(aWorkers) })));
  }

  struct RoundCost
  {
    double ms = 0;
    std::int64_t examinedWorkers = 0;
  };

  /** Returns the mean processor time of a round. */
  RoundCost measureRound(std::int64_t aRounds) const
  {
    const InterferenceGuard guard;
    std::chrono::nanoseconds total{ 0 };
    RoundCost cost;
    for (std::int64_t round = 0; round < aRounds; round++) {
      std::vector<WorkerCandidate> workers = mWorkers;
      const auto begin = std::chrono::steady_clock::now();
      const SchedulePlan plan = JobScheduler::decide(mJobs, guard, workers, kNowMs);
      total += std::chrono::steady_clock::now() - begin;
      cost.examinedWorkers = plan.examinedWorkers;
    }
    cost.ms =
      std::chrono::duration<double, std::milli>(total).count() / static_cast<double>(aRounds);
    return cost;
  }

private:
  static constexpr std::int64_t kNowMs = 1000;

  void addWorker(std::int64_t aIndex)
  {
    WorkerCandidate worker =
      workerOf("i-" + std::to_string(1000000000 + aIndex), kWorkerCpuMilli, kWorkerMemoryMb);
    for (std::int64_t image = 0; image < 5; image++) {
      const JobStep step = valueOf(JobStep::create(standingStep(image + 1)));
      addRun(worker, step, { "running", 0, image, aIndex });
      worker.serving.push_back({ step.image(), 80, 150, "task" });
    }
    worker.youngStandingRuns = 0;
    for (std::int64_t run = 0; run < 6; run++) {
      const bool isBatch = run % 2 == 0;
      const ResourceAmount size{ isBatch ? 0 : 1200, 5000, 0 };
      worker.used = worker.used.plus(size);
      worker.evictable.push_back({ { "0123456789abcdef", 0, run, aIndex },
                                   1,
                                   isBatch ? 2 : 0,
                                   size,
                                   static_cast<double>(run * 100) });
    }
    mWorkers.push_back(std::move(worker));
  }

  std::int64_t submitShortJob()
  {
    JobStep::Fields step = stepOf(kTasksOfShortJob, 900 + mSubmitted % 20 * 60, 3000);
    step.estimateMs = 640;
    submit("urgent", step);
    return kTasksOfShortJob;
  }

  std::int64_t submitBatchJob()
  {
    JobStep::Fields step = stepOf(kTasksOfBatchJob, 5000 + mSubmitted % 20 * 300, 13000);
    step.opportunistic = true;
    step.image = "batch" + std::to_string(mSubmitted % 18);
    step.estimateMs = 2200;
    submit("tally", step);
    return kTasksOfBatchJob;
  }

  void submit(const std::string& aQueue, const JobStep::Fields& aStep)
  {
    mSubmitted++;
    const std::string jobId = "job-" + std::to_string(100000000000 + mSubmitted);
    mJobs.apply(submitOf(aQueue, jobOf(jobId, { aStep }), kNowMs - mSubmitted % 1000));
  }

  JobRegistry mJobs;
  std::vector<WorkerCandidate> mWorkers;
  std::int64_t mSubmitted = 0;
};

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("measures the processor time of a scheduling round in a full pool");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  for (const std::int64_t waitingTasks : { 200, 2000, 20000 }) {
    const FullPool pool(FLAGS_workers, waitingTasks);
    const FullPool::RoundCost cost = pool.measureRound(FLAGS_rounds);
    std::cout << "workers " << FLAGS_workers << ", waiting tasks " << waitingTasks << ": "
              << std::fixed << std::setprecision(2) << cost.ms << " ms a round, "
              << cost.examinedWorkers << " workers examined\n";
  }
  return 0;
}
