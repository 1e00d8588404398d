#include "agent/WorkerAdapter.h"

#include "observability/observability.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

/**
 * Maximum number of concurrent calls to the worker: one per task that is being started, stopped or
 * published, and those for the listing and the lease.
 */
constexpr std::size_t kMaxConnections = 64;

/** Timeout for calls that a worker on the same VM answers immediately. */
constexpr std::int64_t kShortCallTimeoutMs = 2000;

/** Timeout for calls that write a checkpoint or publish an output. */
constexpr std::int64_t kLongCallTimeoutMs = 30000;

Error
listingError(const std::string& aDetail)
{
  return Error::create(ErrorCode::eInvalid, "worker.list", "worker", aDetail);
}

WorkerTask
readTask(const nlohmann::json& aJson, std::vector<std::string>& aErrors)
{
  WorkerTask task;
  task.mTaskId = aJson.at("taskId").get<std::string>();
  task.mEpoch = aJson.at("epoch").get<std::int64_t>();
  const std::string state = aJson.at("state").get<std::string>();
  const std::optional<TaskState> parsed = parseTaskState(state);
  if (!parsed) {
    aErrors.push_back("unknown state " + state);
  }
  task.mState = parsed.value_or(TaskState::eStopped);
  task.mCheckpoint = aJson.value("checkpoint", "");
  task.mDetail = aJson.value("detail", "");
  task.mEntryName = aJson.value("entryName", "");
  task.mProgress = aJson.value("progress", 0.0);
  task.mAliveAtMs = aJson.value("aliveAtMs", std::int64_t{ 0 });
  if (aJson.contains("used")) {
    task.mUsed = Resources::read(aJson.at("used"), "used", aErrors);
  }
  if (aJson.contains("resources")) {
    task.mReserved = Resources::read(aJson.at("resources"), "resources", aErrors);
  }
  return task;
}

Result<WorkerListing>
readListing(const Result<HttpAnswer>& aResult)
{
  if (!isOk(aResult)) {
    return errorOf(aResult);
  }
  if (valueOf(aResult).status() != kStatusOk) {
    return listingError("worker answered with status " + std::to_string(valueOf(aResult).status()));
  }
  WorkerListing listing;
  std::vector<std::string> errors;
  try {
    const nlohmann::json body = nlohmann::json::parse(valueOf(aResult).body());
    for (const nlohmann::json& task : body.at("tasks")) {
      listing.mTasks.push_back(readTask(task, errors));
    }
    if (body.contains("used")) {
      listing.mUsed = Resources::read(body.at("used"), "used", errors);
    }
  } catch (const nlohmann::json::exception& exception) {
    return listingError(exception.what());
  }
  if (!errors.empty()) {
    return listingError(errors.front());
  }
  return listing;
}

} // namespace

WorkerAdapter::WorkerAdapter(EventLoop& aLoop,
                             std::unique_ptr<HttpClient> aClient,
                             std::int64_t aToken)
  : mLoop(aLoop)
  , mClient(std::move(aClient))
  , mToken(aToken)
{
}

Result<std::unique_ptr<WorkerAdapter>>
WorkerAdapter::create(EventLoop& aLoop, const std::string& aAddress, std::int64_t aToken)
{
  Result<std::unique_ptr<HttpClient>> client = HttpClient::create(aLoop, aAddress, kMaxConnections);
  if (!isOk(client)) {
    return errorOf(client);
  }
  return std::unique_ptr<WorkerAdapter>(
    new WorkerAdapter(aLoop, takeValue(std::move(client)), aToken));
}

void
WorkerAdapter::post(const std::string& aPath,
                    const nlohmann::json& aBody,
                    std::int64_t aTimeoutMs,
                    HttpClient::Callback aCallback)
{
  nlohmann::json body = aBody;
  body["token"] = mToken;
  HttpCall call;
  call.mMethod = "POST";
  call.mPath = aPath;
  call.mBody = body.dump();
  call.mDeadline = mLoop.now().plusMs(aTimeoutMs);
  mClient->send(call, std::move(aCallback));
}

void
WorkerAdapter::claim(ListingCallback aCallback)
{
  post("/claim", {}, kShortCallTimeoutMs, [this, aCallback](const Result<HttpAnswer>& aResult) {
    if (isOk(aResult) && valueOf(aResult).status() == kStatusConflict) {
      // Invokes mOnSuperseded if the token is stale.
      readCallResult(aResult);
    }
    aCallback(readListing(aResult));
  });
}

void
WorkerAdapter::list(ListingCallback aCallback)
{
  HttpCall call;
  call.mMethod = "GET";
  call.mPath = "/tasks";
  call.mDeadline = mLoop.now().plusMs(kShortCallTimeoutMs);
  mClient->send(
    call, [aCallback](const Result<HttpAnswer>& aResult) { aCallback(readListing(aResult)); });
}

WorkerCallResult
WorkerAdapter::readCallResult(const Result<HttpAnswer>& aResult) const
{
  if (!isOk(aResult)) {
    const bool notSent = errorOf(aResult).code() == ErrorCode::eRefused;
    return { notSent ? WorkerCallOutcome::eNotSent : WorkerCallOutcome::eUnknown,
             errorOf(aResult).text(),
             "" };
  }
  const HttpAnswer& answer = valueOf(aResult);
  const nlohmann::json body = nlohmann::json::parse(answer.body(), nullptr, false);
  const auto text = [&body](const char* aName) {
    const bool present = body.is_object() && body.contains(aName) && body[aName].is_string();
    return present ? body[aName].get<std::string>() : std::string();
  };
  if (answer.status() == kStatusOk) {
    return { WorkerCallOutcome::eSucceeded, "", text("checkpoint") };
  }
  const std::string error = text("error");
  if (answer.status() == kStatusConflict && error == "stale-token" && mOnSuperseded) {
    mOnSuperseded();
  }
  return { WorkerCallOutcome::eRejected,
           "worker answered with status " + std::to_string(answer.status()) + " " + error,
           "" };
}

void
WorkerAdapter::call(const std::string& aPath,
                    const nlohmann::json& aBody,
                    std::int64_t aTimeoutMs,
                    CallResultCallback aCallback)
{
  post(aPath, aBody, aTimeoutMs, [this, aPath, aCallback](const Result<HttpAnswer>& aResult) {
    const WorkerCallResult result = readCallResult(aResult);
    if (result.mOutcome != WorkerCallOutcome::eSucceeded) {
      logInfo("worker call failed", { { "call", aPath }, { "detail", result.mDetail } });
    }
    aCallback(result);
  });
}

void
WorkerAdapter::start(const StartAction& aAction, CallResultCallback aCallback)
{
  const TaskStart& start = aAction.mStart;
  const nlohmann::json body = { { "taskId", start.taskId() },
                                { "epoch", start.epoch() },
                                { "entryName", start.entryName() },
                                { "kind", toText(start.entryKind()) },
                                { "payload", start.payload() },
                                { "checkpoint", start.checkpoint() },
                                { "resources", start.resources().toJson() },
                                { "leaseUntilMs", aAction.mLeaseUntil.ms() } };
  call("/start", body, kShortCallTimeoutMs, std::move(aCallback));
}

void
WorkerAdapter::stop(const StopAction& aAction, CallResultCallback aCallback)
{
  const nlohmann::json body = { { "taskId", aAction.mTaskId },
                                { "epoch", aAction.mEpoch },
                                { "mode", toText(aAction.mMode) } };
  call("/stop", body, kLongCallTimeoutMs, std::move(aCallback));
}

void
WorkerAdapter::publish(const PublishAction& aAction, CallResultCallback aCallback)
{
  const nlohmann::json body = { { "taskId", aAction.mTaskId }, { "epoch", aAction.mEpoch } };
  call("/publish", body, kLongCallTimeoutMs, std::move(aCallback));
}

void
WorkerAdapter::throttle(const ThrottleAction& aAction)
{
  const nlohmann::json body = { { "taskId", aAction.mTaskId },
                                { "epoch", aAction.mEpoch },
                                { "cpuMilli", aAction.mCpuMilli } };
  call("/throttle", body, kShortCallTimeoutMs, [](const WorkerCallResult&) {});
}

void
WorkerAdapter::extendLease(const LeaseAction& aAction)
{
  const nlohmann::json body = { { "leaseUntilMs", aAction.mLeaseUntil.ms() } };
  call("/lease", body, kShortCallTimeoutMs, [](const WorkerCallResult&) {});
}

} // namespace magnoliadrum
