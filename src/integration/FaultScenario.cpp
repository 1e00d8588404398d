#include "integration/FaultScenario.h"

#include "cli/CommandLine.h"
#include "integration/FaultWorkload.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace magnoliadrum {

namespace {

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

Result<Done>
FaultScenario::waitFor(const std::string& aWhat,
                       std::int64_t aLimitMs,
                       const std::function<bool()>& aCondition)
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
  // These points are passed only when a process leaves or comes.
  const bool needsExpiry = mCell.mPoint == "session.expire";
  const bool needsOpening = mCell.mPoint == "session.admit";
  if (needsExpiry || needsOpening) {
    mDeployment->process("agent-executor-2").kill();
  }
  if (needsOpening) {
    mDeployment->start("agent-executor-2");
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
  if (needsExpiry) {
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

} // namespace magnoliadrum
