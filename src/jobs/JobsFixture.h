#pragma once

#include "jobs/jobs.h"

#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum::fixture {

// Builders of valid values, so that each test only sets the fields that matter to it.

inline JobQueue
jobQueue(const std::string& aName, std::int64_t aPriority = 0, std::int64_t aMaxAttempts = 2)
{
  return valueOf(JobQueue::create({ .name = aName,
                                    .host = "guild.example",
                                    .pathPrefix = "/" + aName + "/",
                                    .poolName = "desk",
                                    .priority = aPriority,
                                    .maxAttempts = aMaxAttempts,
                                    .stretch = 2,
                                    .objectiveMs = 1000 }));
}

inline JobQueue
inPool(const JobQueue& aQueue, const std::string& aPool)
{
  JobQueue::Fields fields = aQueue.fields();
  fields.poolName = aPool;
  return valueOf(JobQueue::create(std::move(fields)));
}

/** The queues in the pools beside them; one with an empty pool is left out. */
inline std::vector<JobQueue>
queuesInPools(const std::vector<std::pair<JobQueue, std::string>>& aQueues)
{
  std::vector<JobQueue> queues;
  for (const auto& [queue, pool] : aQueues) {
    if (!pool.empty()) {
      queues.push_back(inPool(queue, pool));
    }
  }
  return queues;
}

inline QueueCatalogue
queueCatalogue(std::int64_t aVersion,
               std::vector<JobQueue> aQueues,
               const std::vector<std::string>& aPools = { "desk" })
{
  QueueCatalogue::Fields fields{ .version = aVersion,
                                 .queues = std::move(aQueues),
                                 .source = "document " + std::to_string(aVersion) };
  for (const std::string& pool : aPools) {
    fields.pools.push_back(valueOf(WorkerPool::create({ .name = pool })));
  }
  return valueOf(QueueCatalogue::create(std::move(fields)));
}

inline JobStep::Fields
stepOf(std::int64_t aCount, std::int64_t aCpuMilli, std::int64_t aMemoryMb)
{
  return { .count = aCount,
           .resources =
             valueOf(Resources::create({ .cpuMilli = aCpuMilli, .memoryMb = aMemoryMb })),
           .estimateMs = 1000 };
}

inline JobDescription
jobOf(const std::string& aJobId, const std::vector<JobStep::Fields>& aSteps)
{
  JobDescription::Fields fields{ .jobId = aJobId, .payload = "payload of " + aJobId };
  for (const JobStep::Fields& step : aSteps) {
    fields.steps.push_back(valueOf(JobStep::create(step)));
  }
  return valueOf(JobDescription::create(std::move(fields)));
}

/** A job of one step of long-running tasks of 10 MB each. */
inline JobDescription
standingJobOf(const std::string& aJobId, std::int64_t aCount, std::int64_t aCpuMilli)
{
  JobStep::Fields step = stepOf(aCount, aCpuMilli, 10);
  step.longRunning = true;
  return jobOf(aJobId, { step });
}

inline SubmitJob
submitOf(const std::string& aQueue, const JobDescription& aJob, std::int64_t aAcceptedAtMs = 0)
{
  return valueOf(
    SubmitJob::create({ .queueName = aQueue, .job = aJob, .acceptedAtMs = aAcceptedAtMs }));
}

inline StartRuns
startOf(const std::string& aTask, std::int64_t aRun, const std::string& aWorker = "w1")
{
  return valueOf(
    StartRuns::create({ .runs = { valueOf(RunStart::create(
                          { .task = aTask, .run = aRun, .worker = aWorker, .bornMs = 1 })) } }));
}

inline EndRuns
endOf(const std::string& aTask, std::int64_t aRun, RunEnd aHow, const std::string& aCheckpoint = "")
{
  return valueOf(EndRuns::create(
    { .ends = { valueOf(RunEnding::create(
        { .task = aTask, .run = aRun, .how = aHow, .checkpoint = aCheckpoint })) } }));
}

/** A registry with the queues "urgent" (priority 0) and "tally" (priority 2). */
inline JobRegistry
registryWithQueues()
{
  JobRegistry registry;
  registry.apply(valueOf(SetQueueCatalogue::create(
    { .catalogue = queueCatalogue(1, { jobQueue("urgent", 0), jobQueue("tally", 2) }) })));
  return registry;
}

inline WorkerCandidate
workerOf(const std::string& aWorker, std::int64_t aCpuMilli, std::int64_t aMemoryMb)
{
  WorkerCandidate worker;
  worker.worker = aWorker;
  worker.startedAtMs = 1;
  worker.poolName = "desk";
  worker.rack = "r1";
  worker.labels = { "a", "r1" };
  worker.capacity = { aCpuMilli, aMemoryMb, 0 };
  return worker;
}

} // namespace magnoliadrum::fixture
