#include "integration/FaultScenario.h"

#include "cli/CommandLine.h"
#include "testbench/HistoryChecker.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kClientTimeoutMs = 8000;
constexpr std::int64_t kStartLimitMs = 30000;
constexpr std::int64_t kHitLimitMs = 15000;
constexpr std::int64_t kTasksLimitMs = 45000;
constexpr std::int64_t kInForceLimitMs = 10000;
constexpr std::int64_t kExitLimitMs = 30000;
constexpr std::int64_t kPollMs = 50;
constexpr std::int64_t kLoadMs = 7000;
constexpr double kRequestsPerSecond = 60;
constexpr double kNonRepeatableShare = 0.3;
constexpr int kResends = 3;
constexpr std::int64_t kDeadlineMs = 1000;
constexpr int kEarlyTasks = 8;
constexpr int kLateTasks = 3;
constexpr int kStandingReplicas = 2;
constexpr int kExecutors = 2;
constexpr int kWorkers = 3;
constexpr int kSnapshotEveryEntries = 60;
constexpr std::int64_t kDelayMs = 400;

/** Frames that pass before a network effect acts, so that it hits a connection in use. */
constexpr int kAfterFrames = 20;

constexpr const char* kBatchEntry = "tally";
constexpr const char* kStandingEntry = "watch";
constexpr const char* kChangingEntry = "changing";

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

bool
isNetworkEffect(FaultEffect aEffect)
{
  return aEffect >= FaultEffect::eCutBoth && aEffect <= FaultEffect::eReorder;
}

bool
endsProcess(FaultEffect aEffect)
{
  return aEffect == FaultEffect::eKill || aEffect == FaultEffect::eKillLate ||
         aEffect == FaultEffect::eExit;
}

const char*
pointAction(FaultEffect aEffect)
{
  return aEffect == FaultEffect::eFreeze ? "freeze"
         : aEffect == FaultEffect::eExit ? "exit"
                                         : "kill";
}

/** Whether a process is stopped by a signal. */
bool
isStopped(int aProcessId)
{
  std::ifstream file("/proc/" + std::to_string(aProcessId) + "/stat");
  std::string line;
  std::getline(file, line);
  const std::size_t nameEnd = line.rfind(')');
  return nameEnd != std::string::npos && line.size() > nameEnd + 2 && line[nameEnd + 2] == 'T';
}

} // namespace

FaultScenario::FaultScenario(const FaultCell& aCell,
                             Options aOptions,
                             std::unique_ptr<Deployment> aDeployment,
                             std::unique_ptr<GatewayClient> aClient)
  : mCell(aCell)
  , mOptions(std::move(aOptions))
  , mDeployment(std::move(aDeployment))
  , mClient(std::move(aClient))
{
}

Result<FaultReport>
FaultScenario::run(const FaultCell& aCell, const Options& aOptions)
{
  DeploymentOptions options;
  options.mProgramFolder = aOptions.mProgramFolder;
  options.mRunFolder = aOptions.mRunFolder;
  options.mShape = DeploymentShape::guild().withTargets(kExecutors, kWorkers);
  options.mTiming = DeploymentTiming::forTests();
  options.mWithFaultProxy = true;
  options.mSnapshotEveryEntries = kSnapshotEveryEntries;
  options.mWithFaultPoints = true;
  Result<std::unique_ptr<Deployment>> deployment = Deployment::create(options);
  if (!isOk(deployment)) {
    return errorOf(deployment);
  }
  Result<std::unique_ptr<GatewayClient>> client =
    GatewayClient::create(valueOf(deployment)->gatewayAddresses(), kClientTimeoutMs);
  if (!isOk(client)) {
    return errorOf(client);
  }
  FaultScenario scenario(
    aCell, aOptions, takeValue(std::move(deployment)), takeValue(std::move(client)));
  return scenario.runSteps();
}

Result<FaultReport>
FaultScenario::runSteps()
{
  using Step = std::function<Result<Done>()>;
  const std::vector<Step> steps = {
    [this]() { return startDeployment(); },
    [this]() { return applyCatalogue(); },
    [this]() {
      startLoad();
      return submitTasks(0, kEarlyTasks);
    },
    [this]() { return chooseVictim(); },
    [this]() { return inject(); },
    [this]() { return recover(); },
    [this]() { return submitTasks(kEarlyTasks, kLateTasks); },
    [this]() { return waitForTasks(); },
    [this]() { return waitForStandingTasks(); },
  };
  for (const Step& step : steps) {
    const Result<Done> done = step();
    if (!isOk(done)) {
      violation(errorOf(done).text());
      break;
    }
  }
  if (mLoadThread.joinable()) {
    mLoadThread.join();
  }
  mReport.mLoad = mLoadResult;
  if (mReport.mViolations.empty()) {
    checkCatalogue();
    checkLoad();
    const Result<Done> stopped = mDeployment->stopAll();
    if (!isOk(stopped)) {
      violation("planned stop: " + errorOf(stopped).text());
    }
  }
  mDeployment->killAll();
  checkHistories();
  return mReport;
}

void
FaultScenario::violation(std::string aText)
{
  mReport.mViolations.push_back(std::move(aText));
}

template<typename Condition>
Result<Done>
FaultScenario::waitFor(const std::string& aWhat, std::int64_t aLimitMs, Condition aCondition)
{
  const Deadline deadline = MonotonicTime::now().plusMs(aLimitMs);
  while (!aCondition()) {
    if (MonotonicTime::now() > deadline) {
      return Error::create(ErrorCode::eTimeout, "wait", aWhat, "did not happen in time");
    }
    mClient->sleepMs(kPollMs);
  }
  return Done{};
}

Result<nlohmann::json>
FaultScenario::query(const std::string& aPath)
{
  const Result<GatewayAnswer> answer = mClient->request("GET", aPath);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  if (!valueOf(answer).isSuccess() || !valueOf(answer).mBody.is_object()) {
    return Error::create(
      ErrorCode::eUnavailable, "query", aPath, "status " + std::to_string(valueOf(answer).mStatus));
  }
  return valueOf(answer).mBody;
}

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

std::string
FaultScenario::findLeader()
{
  const Result<nlohmann::json> status = query("/v1/status");
  if (!isOk(status)) {
    return "";
  }
  for (const nlohmann::json& replica : valueOf(status).value("replicas", nlohmann::json::array())) {
    if (replica.value("replicaId", "") != valueOf(status).value("leaderId", "-")) {
      continue;
    }
    for (const std::string& name : mDeployment->controlNames()) {
      if (mDeployment->controlAddress(name) == replica.value("address", "")) {
        return name;
      }
    }
  }
  return "";
}

Result<Done>
FaultScenario::chooseVictim()
{
  const std::string leader = findLeader();
  if (leader.empty()) {
    return Error::create(ErrorCode::eNotFound, "choose victim", "control", "no leader is known");
  }
  switch (mCell.mVictim) {
    case FaultVictim::eControlLeader:
      mVictims = { leader };
      break;
    case FaultVictim::eControlFollower:
      for (const std::string& name : mDeployment->controlNames()) {
        if (name != leader) {
          mVictims = { name };
        }
      }
      break;
    case FaultVictim::eGateway:
      mVictims = { "gateway-1" };
      break;
    case FaultVictim::eExecutorAgent:
      mVictims = { "agent-executor-1" };
      break;
    case FaultVictim::eWorkerAgent:
      mVictims = { "agent-worker-1" };
      break;
    case FaultVictim::eWorkerVm:
      mVictims = { "agent-worker-1", "worker-1" };
      break;
  }
  return Done{};
}

Result<Done>
FaultScenario::inject()
{
  if (!mCell.mPoint.empty()) {
    return injectAtPoint();
  }
  changeEntry();
  mReport.mHit = true;
  if (isNetworkEffect(mCell.mEffect)) {
    return setProxyRules(true);
  }
  for (const std::string& victim : mVictims) {
    if (mCell.mEffect == FaultEffect::eFreeze) {
      mDeployment->process(victim).freeze();
    } else if (mCell.mEffect == FaultEffect::eTerminate) {
      mDeployment->process(victim).signal(SIGTERM);
    }
  }
  if (mCell.mEffect != FaultEffect::eFreeze && mCell.mEffect != FaultEffect::eTerminate) {
    killVictim();
  }
  return Done{};
}

bool
FaultScenario::victimHasReached()
{
  ChildProcess& process = mDeployment->process(mVictims.front());
  if (mCell.mEffect == FaultEffect::eFreeze) {
    return isStopped(process.processId());
  }
  return !process.isRunning();
}

Result<Done>
FaultScenario::injectAtPoint()
{
  const std::string& victim = mVictims.front();
  std::ofstream(mDeployment->faultFile(victim))
    << mCell.mPoint << ":" << mCell.mPassage << ":" << pointAction(mCell.mEffect);
  mDeployment->process(victim).signal(SIGUSR1);
  if (mCell.mPoint == "session.expire") {
    mDeployment->process("agent-executor-2").kill();
  }
  int nextTask = 100;
  const Result<Done> reached = waitFor(mCell.mPoint, kHitLimitMs, [this, &nextTask]() {
    if (victimHasReached()) {
      return true;
    }
    // More of everything that can pass the point.
    changeEntry();
    submitTasks(nextTask++, 1);
    return victimHasReached();
  });
  if (mCell.mPoint == "session.expire") {
    mDeployment->start("agent-executor-2");
  }
  mReport.mHit = isOk(reached);
  for (const std::string& name : mVictims) {
    if (endsProcess(mCell.mEffect)) {
      markKilled(name);
    }
  }
  return reached;
}

void
FaultScenario::markKilled(const std::string& aTarget)
{
  if (!aTarget.starts_with("worker-") && !aTarget.starts_with("executor-")) {
    return;
  }
  const nlohmann::json line = { { "atMs", MonotonicTime::now().ms() }, { "event", "killed" } };
  std::ofstream(mDeployment->historyFile(aTarget), std::ios::app) << line.dump() << std::endl;
}

void
FaultScenario::killVictim()
{
  for (const std::string& victim : mVictims) {
    mDeployment->process(victim).kill();
    markKilled(victim);
  }
}

void
FaultScenario::restartVictim()
{
  for (const std::string& victim : mVictims) {
    const Result<Done> started = mDeployment->start(victim);
    if (!isOk(started)) {
      violation(errorOf(started).text());
    }
  }
}

Result<Done>
FaultScenario::recover()
{
  const std::int64_t pastLeaseMs = DeploymentTiming::forTests().mLeaseMs * 2;
  const Deadline pastLease = MonotonicTime::now().plusMs(pastLeaseMs);
  const auto keepChangingUntil = [this](Deadline aUntil) {
    while (MonotonicTime::now() < aUntil) {
      changeEntry();
      mClient->sleepMs(kPollMs);
    }
  };
  switch (mCell.mEffect) {
    case FaultEffect::eKill:
    case FaultEffect::eExit:
      restartVictim();
      break;
    case FaultEffect::eKillLate:
      keepChangingUntil(pastLease);
      restartVictim();
      break;
    case FaultEffect::eFreeze:
      keepChangingUntil(pastLease);
      for (const std::string& victim : mVictims) {
        mDeployment->process(victim).resume();
      }
      break;
    case FaultEffect::eTerminate: {
      const Result<int> code = mDeployment->process(mVictims.front())
                                 .waitForExit(MonotonicTime::now().plusMs(kExitLimitMs));
      if (!isOk(code) || valueOf(code) != 0) {
        violation("planned stop of " + mVictims.front() + " failed");
      }
      restartVictim();
      break;
    }
    case FaultEffect::eTornTail:
      tearLogTail();
      restartVictim();
      break;
    case FaultEffect::eLoseDisk:
    case FaultEffect::eLoseTwo:
      return replaceVictim();
    default:
      keepChangingUntil(pastLease);
      return setProxyRules(false);
  }
  return Done{};
}

void
FaultScenario::tearLogTail()
{
  std::filesystem::path newest;
  for (const auto& file :
       std::filesystem::recursive_directory_iterator(mDeployment->dataFolder(mVictims.front()))) {
    const std::string name = file.path().filename().string();
    const bool isSegment =
      file.is_regular_file() && file.file_size() > 0 && name.find("log") != std::string::npos;
    if (isSegment && (newest.empty() || name > newest.filename().string())) {
      newest = file.path();
    }
  }
  if (newest.empty()) {
    violation("no log segment found");
    return;
  }
  constexpr std::uintmax_t kTornBytes = 5;
  const std::uintmax_t size = std::filesystem::file_size(newest);
  std::filesystem::resize_file(newest, size - std::min(size, kTornBytes));
}

Result<Done>
FaultScenario::replaceVictim()
{
  const std::string lost = mVictims.front();
  const Result<nlohmann::json> status = query("/v1/status");
  if (!isOk(status)) {
    return errorOf(status);
  }
  std::string lostId;
  for (const nlohmann::json& replica : valueOf(status).value("replicas", nlohmann::json::array())) {
    if (replica.value("address", "") == mDeployment->controlAddress(lost)) {
      lostId = replica.value("replicaId", "");
    }
  }
  std::filesystem::remove_all(mDeployment->dataFolder(lost));
  const Result<Done> started = mDeployment->start(lost, { "--join" });
  if (!isOk(started)) {
    return started;
  }
  std::string newId;
  const Result<Done> identified = waitFor("the new identity", kStartLimitMs, [&]() {
    std::ifstream file(mDeployment->dataFolder(lost) + "/identity.json");
    constexpr bool kThrow = false;
    const nlohmann::json identity = nlohmann::json::parse(file, nullptr, kThrow);
    newId = identity.is_object() ? identity.value("replicaId", "") : "";
    return !newId.empty();
  });
  if (!isOk(identified)) {
    return identified;
  }
  std::ostringstream text;
  CommandOptions options;
  options.mWaitMs = kStartLimitMs;
  CommandLine commandLine(*mClient, options, text, text);
  const ExitStatus replaced =
    commandLine.run({ "replace", lostId, newId, mDeployment->controlAddress(lost) });
  if (replaced != ExitStatus::eSuccess) {
    return Error::create(ErrorCode::eRefused, "replace control VM", lost, text.str());
  }
  if (mCell.mEffect == FaultEffect::eLoseTwo) {
    const std::string second = findLeader() == lost ? "" : findLeader();
    if (second.empty()) {
      return Error::create(ErrorCode::eNotFound, "lose second", lost, "no other leader is known");
    }
    mDeployment->process(second).kill();
    changeEntry();
    const Result<Done> restarted = mDeployment->start(second);
    if (!isOk(restarted)) {
      return restarted;
    }
  }
  return Done{};
}

nlohmann::json
FaultScenario::proxyRule() const
{
  const std::string& victim = mVictims.front();
  const std::string link = victim.starts_with("agent-") ? victim.substr(6) : victim;
  switch (mCell.mEffect) {
    case FaultEffect::eCutToServer:
      return { { "kind", "cut" }, { "link", link }, { "direction", "to-server" } };
    case FaultEffect::eCutToClient:
      return { { "kind", "cut" }, { "link", link }, { "direction", "to-client" } };
    case FaultEffect::eDelay:
      return { { "kind", "delay" }, { "link", link }, { "delayMs", kDelayMs }, { "times", 10 } };
    default:
      return { { "kind", toText(mCell.mEffect) },
               { "link", link },
               { "direction", "to-server" },
               { "afterFrames", kAfterFrames },
               { "times", 5 } };
  }
}

Result<Done>
FaultScenario::setProxyRules(bool aActive)
{
  nlohmann::json rules = nlohmann::json::array();
  if (aActive && mCell.mEffect == FaultEffect::eCutBoth) {
    const std::string& victim = mVictims.front();
    const std::string link = victim.starts_with("agent-") ? victim.substr(6) : victim;
    rules.push_back({ { "kind", "cut" }, { "link", link } });
    rules.push_back({ { "kind", "cut" }, { "from", mDeployment->hostOf(victim) } });
  } else if (aActive) {
    rules.push_back(proxyRule());
  }
  Result<std::unique_ptr<GatewayClient>> proxy =
    GatewayClient::create({ mDeployment->faultProxyAddress() }, kClientTimeoutMs);
  if (!isOk(proxy)) {
    return errorOf(proxy);
  }
  const Result<GatewayAnswer> answer = valueOf(proxy)->request("POST", "/rules", rules);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  if (!valueOf(answer).isSuccess()) {
    return Error::create(
      ErrorCode::eInvalid, "set proxy rules", "fault-proxy", valueOf(answer).mBody.dump());
  }
  return Done{};
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

void
FaultScenario::checkCatalogue()
{
  for (const std::string& gateway : mDeployment->gatewayAddresses()) {
    const std::unique_ptr<GatewayClient> client =
      takeValue(GatewayClient::create({ gateway }, kClientTimeoutMs));
    const Result<GatewayAnswer> answer =
      client->request("GET", std::string("/v1/catalogue/") + kChangingEntry);
    if (!isOk(answer) || !valueOf(answer).isSuccess()) {
      violation("catalogue cannot be read at " + gateway);
      continue;
    }
    const Result<CatalogueListing> listing =
      CatalogueListing::fromJson(valueOf(answer).mBody, "check catalogue", gateway);
    if (!isOk(listing) || valueOf(listing).records().size() != 1 ||
        !valueOf(listing).records().front().entry()) {
      violation("catalogue entry is missing at " + gateway);
      continue;
    }
    const CatalogueRecord& record = valueOf(listing).records().front();
    if (record.entry()->limits().maxAttempts() < mAcceptedAttempts) {
      violation("accepted change " + std::to_string(mAcceptedAttempts) + " was reverted to " +
                std::to_string(record.entry()->limits().maxAttempts()));
    }
  }
  changeEntry();
  std::ostringstream text;
  const Result<Done> inForce = waitFor("last change in force", kInForceLimitMs, [this]() {
    const Result<nlohmann::json> status = query("/v1/status");
    if (!isOk(status)) {
      return false;
    }
    const std::int64_t version = valueOf(status).value("catalogueVersion", std::int64_t{ 0 });
    const Result<nlohmann::json> change = query("/v1/changes/" + std::to_string(version));
    return isOk(change) && valueOf(change).value("inForce", false);
  });
  if (!isOk(inForce)) {
    violation(errorOf(inForce).text());
  }
}

void
FaultScenario::checkLoad()
{
  if (mLoadResult.mDone == 0) {
    violation("no request was answered");
  }
  if (mLoadResult.mMixedUp > 0) {
    violation(std::to_string(mLoadResult.mMixedUp) + " answers belong to another request");
  }
}

void
FaultScenario::checkHistories()
{
  HistoryChecker::Options options;
  options.mRequireFinished = mReport.mViolations.empty();
  // A checkpoint is committed after it is written, so a worker that dies in between loses it.
  options.mAllowOlderCheckpoints = mCell.mVictim == FaultVictim::eWorkerVm;
  HistoryChecker checker(options);
  std::vector<std::string> files = { mDeployment->runFolder() + "/callers.history.jsonl" };
  for (const TargetKind kind : { TargetKind::eExecutor, TargetKind::eWorker }) {
    for (const std::string& target : mDeployment->targetNames(kind)) {
      files.push_back(mDeployment->historyFile(target));
    }
  }
  for (const std::string& file : files) {
    const Result<Done> added = checker.addFile(file);
    if (!isOk(added)) {
      violation(errorOf(added).text());
    }
  }
  std::ostringstream entries;
  entries << std::ifstream(mDeployment->runFolder() + "/catalogue.json").rdbuf();
  const Result<Done> set = checker.setEntries(entries.str());
  if (!isOk(set)) {
    violation(errorOf(set).text());
  }
  for (const HistoryViolation& found : checker.check()) {
    violation(found.mRule + ": " + found.mDetail);
  }
}

} // namespace magnoliadrum
