#include "cli/CommandLine.h"
#include "integration/FaultScenario.h"
#include "integration/FaultWorkload.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace magnoliadrum {

namespace {

nlohmann::json
entryJson(const std::string& aName, const char* aKind, const std::string& aPayload)
{
  const bool isService = std::string(aKind) == "service";
  return { { "name", aName },
           { "owner", "guild" },
           { "kind", aKind },
           { "class", isService ? "latency-critical" : "batch" },
           { "resources", { { "cpuMilli", 8000 }, { "memoryMb", 16000 } } },
           { "dataCentres", { "Waco" } },
           { "payload", aPayload } };
}

} // namespace

Result<Done>
FaultScenario::startDeployment()
{
  const Result<Done> started = mDeployment->startAll();
  if (!isOk(started)) {
    return started;
  }
  const std::size_t sessions = kExecutors + kWorkers + mDeployment->shape().mGateways;
  return waitFor("all sessions", kStartLimitMs, [this, sessions]() {
    const Result<nlohmann::json> status = query("/v1/status");
    return isOk(status) &&
           valueOf(status).value("sessions", nlohmann::json::array()).size() >= sessions;
  });
}

Result<Done>
FaultScenario::applyCatalogue()
{
  nlohmann::json service = entryJson(mDeployment->shape().mServiceEntry, "service", "");
  service["dataCentres"] = mDeployment->shape().mDataCentres;
  service["objective"] = { { "latencyMs", 200 }, { "share", 0.99 } };
  nlohmann::json batch = entryJson(kBatchEntry, "batch", "{\"runMs\":900}");
  batch["limits"] = { { "maxAttempts", 20 } };
  nlohmann::json standing = entryJson(kStandingEntry, "standing", "{\"runMs\":0}");
  standing["limits"] = { { "replicas", kStandingReplicas } };
  const nlohmann::json changing = entryJson(kChangingEntry, "batch", "");
  const std::string file = mDeployment->runFolder() + "/catalogue.json";
  std::ofstream(file) << nlohmann::json::array({ service, batch, standing, changing }).dump();
  std::ostringstream text;
  CommandOptions options;
  options.mWait = true;
  options.mWaitMs = kInForceLimitMs;
  CommandLine commandLine(*mClient, options, text, text);
  if (commandLine.run({ "apply", file }) != ExitStatus::eSuccess) {
    return Error::create(ErrorCode::eRefused, "apply catalogue", "gateway", text.str());
  }
  mEntryVersion = 1;
  return Done{};
}

void
FaultScenario::startLoad()
{
  LoadOptions options;
  options.mGateways = mDeployment->gatewayAddresses();
  options.mEntryName = mDeployment->shape().mServiceEntry;
  options.mRequestsPerSecond = kRequestsPerSecond;
  options.mDurationMs = kLoadMs;
  options.mDeadlineMs = kDeadlineMs;
  options.mNonRepeatableShare = kNonRepeatableShare;
  options.mResends = kResends;
  options.mSeed = mOptions.mSeed;
  options.mHistoryFile = mDeployment->runFolder() + "/callers.history.jsonl";
  mLoadThread = std::jthread([this, options]() {
    const std::unique_ptr<EventLoop> loop = takeValue(EventLoop::create());
    const std::unique_ptr<LoadGenerator> generator =
      takeValue(LoadGenerator::create(*loop, options));
    generator->start([&loop]() { loop->stop(); });
    loop->run();
    mLoadResult = generator->result();
  });
}

Result<Done>
FaultScenario::submitTasks(int aFirst, int aCount)
{
  for (int number = aFirst; number < aFirst + aCount; number++) {
    const nlohmann::json body = { { "entryName", kBatchEntry },
                                  { "runKey", "run-" + std::to_string(number) } };
    const Result<GatewayAnswer> answer = mClient->request("POST", "/v1/tasks", body);
    if (!isOk(answer)) {
      return errorOf(answer);
    }
    if (!valueOf(answer).isSuccess()) {
      return Error::create(
        ErrorCode::eRefused, "submit task", "gateway", valueOf(answer).mBody.dump());
    }
  }
  return Done{};
}

void
FaultScenario::changeEntry()
{
  mEntryAttempts++;
  nlohmann::json entry = entryJson(kChangingEntry, "batch", "");
  entry["limits"] = { { "maxAttempts", mEntryAttempts } };
  const nlohmann::json change = { { "changeId", "change-" + std::to_string(mEntryAttempts) },
                                  { "recordName", kChangingEntry },
                                  { "expectedVersion", mEntryVersion },
                                  { "entry", entry } };
  const Result<GatewayAnswer> answer =
    mClient->request("PUT", std::string("/v1/catalogue/") + kChangingEntry, change);
  if (!isOk(answer)) {
    return;
  }
  const nlohmann::json& body = valueOf(answer).mBody;
  if (body.is_object() && body.contains("version")) {
    mEntryVersion = body.value("version", mEntryVersion);
  }
  if (valueOf(answer).isSuccess()) {
    mAcceptedAttempts = mEntryAttempts;
  }
}

Result<Done>
FaultScenario::waitForTasks()
{
  return waitFor("publication of all tasks", kTasksLimitMs, [this]() {
    const Result<nlohmann::json> listing = query(std::string("/v1/tasks?entry=") + kBatchEntry);
    if (!isOk(listing)) {
      return false;
    }
    const nlohmann::json tasks = valueOf(listing).value("tasks", nlohmann::json::array());
    const auto isPublished = [](const nlohmann::json& aTask) {
      return aTask.value("state", "") == "published";
    };
    return tasks.size() >= kEarlyTasks + kLateTasks &&
           std::all_of(tasks.begin(), tasks.end(), isPublished);
  });
}

Result<Done>
FaultScenario::waitForStandingTasks()
{
  return waitFor("running standing tasks", kTasksLimitMs, [this]() {
    const Result<nlohmann::json> listing = query(std::string("/v1/tasks?entry=") + kStandingEntry);
    if (!isOk(listing)) {
      return false;
    }
    const nlohmann::json tasks = valueOf(listing).value("tasks", nlohmann::json::array());
    const auto isRunning = [](const nlohmann::json& aTask) {
      return aTask.value("state", "") == "running";
    };
    return std::count_if(tasks.begin(), tasks.end(), isRunning) == kStandingReplicas;
  });
}

} // namespace magnoliadrum
