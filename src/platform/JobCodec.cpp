#include "platform/JobCodec.h"

#include "platform/JsonReader.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kStep = "decode job";

JobStep
decodeStep(const JsonReader& aStep, std::vector<std::string>& aFaults)
{
  const Result<Resources> resources = Resources::create({ .cpuMilli = aStep.integer("Cpu"),
                                                          .memoryMb = aStep.integer("MemMb"),
                                                          .accelerators = aStep.integer("Gpu") });
  if (!isOk(resources)) {
    aFaults.push_back(aStep.path() + ": " + errorOf(resources).detail());
    return JobStep();
  }
  JobStep::Fields fields{ .count = aStep.integer("Count", 0, true),
                          .resources = valueOf(resources),
                          .estimateMs = aStep.integer("EstimateMs"),
                          .after = aStep.integers("After"),
                          .checkpoints = aStep.boolean("Checkpointing"),
                          .gang = aStep.boolean("Gang"),
                          .sameRack = aStep.boolean("SameRack"),
                          .requiredLabel = aStep.string("RequiredLabel"),
                          .preferredRack = aStep.string("DataRack"),
                          .maxPerWorker = aStep.integer("MaxPerServer"),
                          .allowsDuplicates = aStep.boolean("AllowDuplicates"),
                          .longRunning = aStep.boolean("LongRunning"),
                          .image = aStep.string("Image"),
                          .latencyObjectiveMs = aStep.integer("TargetMs"),
                          // "Fills": the step uses only resources that other tasks leave unused.
                          .opportunistic = aStep.boolean("Fills") };
  if (aStep.has("MaxUnavailable")) {
    fields.maxUnavailable = aStep.integer("MaxUnavailable");
  }
  const Result<JobStep> step = JobStep::create(std::move(fields));
  if (!isOk(step)) {
    aFaults.push_back(aStep.path() + ": " + errorOf(step).detail());
    return JobStep();
  }
  return valueOf(step);
}

} // namespace

Result<JobDescription>
decodeJob(const std::string& aJobId, const std::string& aBody, const std::string& aPeer)
{
  const std::optional<nlohmann::json> body = parseBody(aBody, kMaxCallerValues);
  if (!body) {
    return Error::create(
      ErrorCode::eInvalid, kStep, aPeer, "body: not valid JSON, or too many values");
  }
  std::vector<std::string> faults;
  const JsonReader reader(*body, "", faults);
  JobDescription::Fields fields{ .jobId = aJobId, .payload = reader.string("Spec") };
  for (const JsonReader& step : reader.items("Steps", true)) {
    fields.steps.push_back(decodeStep(step, faults));
  }
  const std::int64_t repeats = reader.integer("RepeatCount");
  if (repeats > 0) {
    fields.occurrences = repeats;
    fields.firstDueMs = reader.integer("FirstRunMs");
    fields.intervalMs = reader.integer("IntervalMs");
  }
  if (!faults.empty()) {
    return Error::create(ErrorCode::eInvalid, kStep, aPeer, joinFaults(faults));
  }
  const Result<JobDescription> job = JobDescription::create(std::move(fields));
  if (!isOk(job)) {
    return Error::create(ErrorCode::eInvalid, kStep, aPeer, errorOf(job).detail());
  }
  return job;
}

std::string
encodeJobState(JobState aState)
{
  return dumpBody({ { "State", toText(aState) } });
}

std::string
encodeWaitingJobs(std::int64_t aWaiting)
{
  return dumpBody({ { "Pending", aWaiting } });
}

std::string
encodeError(const std::string& aDetail)
{
  return dumpBody({ { "Error", aDetail } });
}

} // namespace magnoliadrum::platform
