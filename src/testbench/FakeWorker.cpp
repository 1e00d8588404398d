#include "testbench/FakeWorker.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusInvalid = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 20U;

/** Tasks advance, end and lose their lease in steps of this length. */
constexpr std::int64_t kStepMs = 5;

void
reply(const HttpResponderPointer& aResponder, int aStatus, const nlohmann::json& aBody)
{
  aResponder->answer(valueOf(HttpAnswer::create({ .status = aStatus, .body = aBody.dump() })));
}

void
reject(const HttpResponderPointer& aResponder, const char* aError)
{
  reply(aResponder, kStatusConflict, { { "error", aError } });
}

Resources
readResources(const nlohmann::json& aJson)
{
  std::vector<std::string> faults;
  return Resources::read(aJson, "resources", faults);
}

/** A checkpoint's id holds the progress, so that any worker can resume from it. */
std::string
checkpointId(std::int64_t aEpoch, double aDoneMs)
{
  return "e" + std::to_string(aEpoch) + "-" + std::to_string(static_cast<std::int64_t>(aDoneMs));
}

double
progressOf(const std::string& aCheckpoint)
{
  const std::size_t dash = aCheckpoint.find('-');
  std::int64_t doneMs = 0;
  if (dash != std::string::npos) {
    const char* begin = aCheckpoint.data() + dash + 1;
    std::from_chars(begin, aCheckpoint.data() + aCheckpoint.size(), doneMs);
  }
  return static_cast<double>(doneMs);
}

} // namespace

SimulatedWork
SimulatedWork::read(const std::string& aPayload,
                    const std::string& aKind,
                    const Resources& aDeclared)
{
  SimulatedWork work;
  work.mRunMs = aKind == "standing" ? 0 : work.mRunMs;
  work.mUsed = aDeclared;
  const nlohmann::json payload = nlohmann::json::parse(aPayload, nullptr, false);
  if (!payload.is_object()) {
    return work;
  }
  try {
    work.mRunMs = payload.value("runMs", work.mRunMs);
    work.mFails = payload.value("fail", false);
    const Result<Resources> used = Resources::create(
      { .cpuMilli = payload.value("cpuMilli", aDeclared.cpuMilli()),
        .memoryMb = payload.value("memoryMb", aDeclared.memoryMb()),
        .accelerators = payload.value("accelerators", aDeclared.accelerators()) });
    work.mUsed = isOk(used) ? valueOf(used) : aDeclared;
  } catch (const nlohmann::json::exception&) {
    // A field of another type keeps its default, as an absent one does.
    return work;
  }
  return work;
}

FakeWorker::FakeWorker(EventLoop& aLoop, Options aOptions, std::unique_ptr<HistoryWriter> aHistory)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHistory(std::move(aHistory))
  , mEngine(mOptions.mSeed)
  , mSteppedAt(aLoop.now())
{
}

Result<std::unique_ptr<FakeWorker>>
FakeWorker::start(EventLoop& aLoop, const Options& aOptions)
{
  Result<std::unique_ptr<HistoryWriter>> history = HistoryWriter::open(aOptions.mHistoryFile);
  if (!isOk(history)) {
    return errorOf(history);
  }
  std::unique_ptr<FakeWorker> worker(
    new FakeWorker(aLoop, aOptions, takeValue(std::move(history))));
  FakeWorker* self = worker.get();
  Result<std::unique_ptr<HttpServer>> server =
    HttpServer::listen(aLoop,
                       aOptions.mListenAddress,
                       kMaxBodyBytes,
                       [self](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
                         self->onRequest(aRequest, aResponder);
                       });
  if (!isOk(server)) {
    return errorOf(server);
  }
  worker->mServer = takeValue(std::move(server));
  worker->mStep = aLoop.runEvery(kStepMs, [self]() { self->step(); });
  worker->mHistory->write("capacity",
                          { { "kind", "worker" },
                            { "resources", aOptions.mCapacity.toJson() },
                            { "dataCentre", aOptions.mDataCentre } });
  return worker;
}

void
FakeWorker::onRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  if (aRequest.mMethod == "GET" && aRequest.mPath == "/tasks") {
    reply(aResponder, kStatusOk, listing());
    return;
  }
  const nlohmann::json body = nlohmann::json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("token") || !body["token"].is_number_integer()) {
    reply(aResponder, kStatusInvalid, { { "error", "expected a JSON object with a token" } });
    return;
  }
  const std::int64_t token = body["token"].get<std::int64_t>();
  if (token < mToken) {
    reject(aResponder, "stale-token");
    return;
  }
  if (token > mToken) {
    mToken = token;
    mHistory->write("claim", { { "token", token } });
  }
  try {
    onOperation(aRequest.mPath, body, aResponder);
  } catch (const nlohmann::json::exception& exception) {
    reply(aResponder, kStatusInvalid, { { "error", exception.what() } });
  }
}

void
FakeWorker::onOperation(const std::string& aPath,
                        const nlohmann::json& aBody,
                        const HttpResponderPointer& aResponder)
{
  if (aPath == "/claim") {
    reply(aResponder, kStatusOk, listing());
  } else if (aPath == "/start") {
    startTask(aBody, aResponder);
  } else if (aPath == "/stop") {
    stopTask(aBody, aResponder);
  } else if (aPath == "/publish") {
    publish(aBody, aResponder);
  } else if (aPath == "/throttle") {
    throttle(aBody, aResponder);
  } else if (aPath == "/lease") {
    extendLease(MonotonicTime::fromMs(aBody.at("leaseUntilMs").get<std::int64_t>()));
    reply(aResponder, kStatusOk, nlohmann::json::object());
  } else {
    reply(aResponder, kStatusNotFound, { { "error", "unknown operation" } });
  }
}

FakeWorker::TaskItem*
FakeWorker::find(const nlohmann::json& aBody)
{
  const auto position = mTasks.find(
    Key{ aBody.at("taskId").get<std::string>(), aBody.at("epoch").get<std::int64_t>() });
  return position != mTasks.end() ? &*position : nullptr;
}

void
FakeWorker::startTask(const nlohmann::json& aBody, const HttpResponderPointer& aResponder)
{
  const Key key{ aBody.at("taskId").get<std::string>(), aBody.at("epoch").get<std::int64_t>() };
  const MonotonicTime leaseUntil =
    MonotonicTime::fromMs(aBody.at("leaseUntilMs").get<std::int64_t>());
  if (mTasks.contains(key)) {
    reply(aResponder, kStatusOk, nlohmann::json::object());
    return;
  }
  const auto newer = mTasks.upper_bound(key);
  if (newer != mTasks.end() && newer->first.mTaskId == key.mTaskId) {
    reject(aResponder, "stale-epoch");
    return;
  }
  if (leaseUntil <= mLoop.now()) {
    reject(aResponder, "lease-expired");
    return;
  }
  TaskItem& item = *mTasks.try_emplace(key).first;
  Task& task = item.second;
  task.mEntryName = aBody.value("entryName", "");
  task.mDeclared = readResources(aBody.at("resources"));
  task.mWork =
    SimulatedWork::read(aBody.value("payload", ""), aBody.value("kind", "batch"), task.mDeclared);
  task.mCheckpoint = aBody.value("checkpoint", "");
  task.mDoneMs = progressOf(task.mCheckpoint);
  task.mLeaseUntil = leaseUntil;
  task.mAliveAtMs = mLoop.now().ms();
  writeEvent(task.mCheckpoint.empty() ? "start" : "resume", item, task.mCheckpoint);
  showUsage(item);
  reply(aResponder, kStatusOk, nlohmann::json::object());
  if (std::uniform_real_distribution<double>(0, 1)(mEngine) < mOptions.mFailShare) {
    end(item, TaskState::eFailed, "failed", "");
  }
}

void
FakeWorker::stopTask(const nlohmann::json& aBody, const HttpResponderPointer& aResponder)
{
  TaskItem* item = find(aBody);
  const bool kill = aBody.at("mode").get<std::string>() == "kill";
  if (item == nullptr) {
    // A start of this epoch that is still on its way must have no effect.
    Task& task =
      mTasks[Key{ aBody.at("taskId").get<std::string>(), aBody.at("epoch").get<std::int64_t>() }];
    task.mState = TaskState::eStopped;
    task.mEndedAt = mLoop.now();
    reply(aResponder, kStatusOk, { { "checkpoint", "" } });
    return;
  }
  Task& task = item->second;
  if (task.mState == TaskState::eStopped) {
    reply(aResponder, kStatusOk, { { "checkpoint", task.mCheckpoint } });
    return;
  }
  if (kill && (task.mState == TaskState::eRunning || task.mState == TaskState::eCompleted)) {
    end(*item, TaskState::eStopped, "stop", "");
    reply(aResponder, kStatusOk, { { "checkpoint", "" } });
    return;
  }
  if (task.mState != TaskState::eRunning || task.mStopping) {
    reject(aResponder, "not-running");
    return;
  }
  task.mStopping = true;
  const Key key = item->first;
  task.mStopTimer = mLoop.runAt(mLoop.now().plusMs(mOptions.mCheckpointMs),
                                [this, key, aResponder]() { finishStop(key, aResponder); });
}

void
FakeWorker::finishStop(const Key& aKey, const HttpResponderPointer& aResponder)
{
  TaskItem& item = *mTasks.find(aKey);
  if (item.second.mState != TaskState::eRunning) {
    reject(aResponder, "not-running");
    return;
  }
  const std::string checkpoint = checkpointId(aKey.mEpoch, item.second.mDoneMs);
  end(item, TaskState::eStopped, "stop", checkpoint);
  reply(aResponder, kStatusOk, { { "checkpoint", checkpoint } });
}

void
FakeWorker::publish(const nlohmann::json& aBody, const HttpResponderPointer& aResponder)
{
  TaskItem* item = find(aBody);
  const bool isReady = item != nullptr && (item->second.mState == TaskState::eCompleted ||
                                           item->second.mState == TaskState::ePublished);
  if (!isReady) {
    reject(aResponder, "not-completed");
    return;
  }
  if (item->second.mState == TaskState::eCompleted) {
    end(*item, TaskState::ePublished, "published", "");
  }
  reply(aResponder, kStatusOk, nlohmann::json::object());
}

void
FakeWorker::throttle(const nlohmann::json& aBody, const HttpResponderPointer& aResponder)
{
  TaskItem* item = find(aBody);
  if (item == nullptr || item->second.mState != TaskState::eRunning) {
    reject(aResponder, "not-running");
    return;
  }
  item->second.mThrottleCpuMilli = aBody.at("cpuMilli").get<std::int64_t>();
  mHistory->write("throttle",
                  { { "taskId", item->first.mTaskId },
                    { "epoch", item->first.mEpoch },
                    { "cpuMilli", item->second.mThrottleCpuMilli } });
  reply(aResponder, kStatusOk, nlohmann::json::object());
}

void
FakeWorker::extendLease(MonotonicTime aLeaseUntil)
{
  for (auto& [key, task] : mTasks) {
    // A lease that is over is not revived, even when the task has not been stopped yet.
    if (task.mLeaseUntil > mLoop.now()) {
      task.mLeaseUntil = std::max(task.mLeaseUntil, aLeaseUntil);
    }
  }
}

nlohmann::json
FakeWorker::listing() const
{
  nlohmann::json tasks = nlohmann::json::array();
  Resources::Fields used;
  for (const auto& [key, task] : mTasks) {
    const double share =
      task.mWork.mRunMs > 0 ? task.mDoneMs / static_cast<double>(task.mWork.mRunMs) : 0;
    tasks.push_back({ { "taskId", key.mTaskId },
                      { "epoch", key.mEpoch },
                      { "state", toText(task.mState) },
                      { "checkpoint", task.mState == TaskState::eStopped ? task.mCheckpoint : "" },
                      { "detail", task.mDetail },
                      { "entryName", task.mEntryName },
                      { "resources", task.mDeclared.toJson() },
                      { "used", task.mShownUsed.toJson() },
                      { "progress", std::min(1.0, share) },
                      { "aliveAtMs", task.mAliveAtMs } });
    used.cpuMilli += task.mShownUsed.cpuMilli();
    used.memoryMb += task.mShownUsed.memoryMb();
    used.accelerators += task.mShownUsed.accelerators();
  }
  return { { "tasks", tasks },
           { "used",
             { { "cpuMilli", used.cpuMilli },
               { "memoryMb", used.memoryMb },
               { "accelerators", used.accelerators } } } };
}

void
FakeWorker::step()
{
  const MonotonicTime now = mLoop.now();
  const double elapsedMs = static_cast<double>(now.msSince(mSteppedAt));
  mSteppedAt = now;
  std::int64_t cpuMilli = 0;
  for (const auto& [key, task] : mTasks) {
    cpuMilli += task.mState == TaskState::eRunning ? task.mWork.mUsed.cpuMilli() : 0;
  }
  // Tasks that together use more than the VM has get their share of it.
  const bool isOverloaded = cpuMilli > mOptions.mCapacity.cpuMilli();
  const double speed = isOverloaded ? static_cast<double>(mOptions.mCapacity.cpuMilli()) /
                                        static_cast<double>(cpuMilli)
                                    : 1;
  for (TaskItem& item : mTasks) {
    if (item.second.mState == TaskState::eRunning) {
      stepTask(item, elapsedMs, speed);
    }
  }
  std::erase_if(mTasks, [this, now](const TaskItem& aItem) {
    const Task& task = aItem.second;
    const bool isOver = task.mState != TaskState::eRunning && task.mState != TaskState::eCompleted;
    return isOver && now.msSince(task.mEndedAt) >= mOptions.mKeepEndedMs;
  });
}

void
FakeWorker::stepTask(TaskItem& aItem, double aElapsedMs, double aSpeed)
{
  Task& task = aItem.second;
  if (task.mLeaseUntil <= mLoop.now()) {
    end(aItem, TaskState::eStopped, "lease-expired", "");
    return;
  }
  const std::int64_t wanted = std::max<std::int64_t>(1, task.mWork.mUsed.cpuMilli());
  const bool isThrottled = task.mThrottleCpuMilli > 0 && task.mThrottleCpuMilli < wanted;
  const double limit =
    isThrottled ? static_cast<double>(task.mThrottleCpuMilli) / static_cast<double>(wanted) : 1;
  task.mDoneMs += aElapsedMs * std::min(aSpeed, limit);
  task.mAliveAtMs = mLoop.now().ms();
  if (task.mWork.mRunMs <= 0 || task.mDoneMs < static_cast<double>(task.mWork.mRunMs)) {
    return;
  }
  if (task.mWork.mFails) {
    end(aItem, TaskState::eFailed, "failed", "");
  } else {
    end(aItem, TaskState::eCompleted, "completed", "");
  }
}

void
FakeWorker::showUsage(TaskItem& aItem)
{
  Task& task = aItem.second;
  const Key key = aItem.first;
  const Resources used = task.mState == TaskState::eRunning ? task.mWork.mUsed : Resources();
  task.mUsageTimer = mLoop.runAt(mLoop.now().plusMs(mOptions.mUsageLagMs), [this, key, used]() {
    const auto position = mTasks.find(key);
    if (position != mTasks.end()) {
      position->second.mShownUsed = used;
    }
  });
}

void
FakeWorker::end(TaskItem& aItem,
                TaskState aState,
                const char* aEvent,
                const std::string& aCheckpoint)
{
  Task& task = aItem.second;
  task.mState = aState;
  task.mDetail = aEvent;
  task.mCheckpoint = aCheckpoint;
  task.mStopping = false;
  task.mEndedAt = mLoop.now();
  writeEvent(aEvent, aItem, aCheckpoint);
  showUsage(aItem);
}

void
FakeWorker::writeEvent(const char* aEvent, const TaskItem& aItem, const std::string& aCheckpoint)
{
  mHistory->write(aEvent,
                  { { "taskId", aItem.first.mTaskId },
                    { "epoch", aItem.first.mEpoch },
                    { "entryName", aItem.second.mEntryName },
                    { "resources", aItem.second.mDeclared.toJson() },
                    { "checkpoint", aCheckpoint },
                    { "leaseUntilMs", aItem.second.mLeaseUntil.ms() } });
}

} // namespace magnoliadrum
