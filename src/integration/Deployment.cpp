#include "integration/Deployment.h"

#include "transport/LoopbackHost.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kControlPort = 7000;
constexpr int kExecutorAgentPort = 7100;
constexpr int kWorkerAgentPort = 7200;
constexpr int kGatewayPort = 8080;
constexpr int kMetricsPort = 9100;
constexpr int kExecutorPort = 9000;
constexpr int kWorkerPort = 9500;
constexpr int kProxyControlPort = 7900;

/** Behind the fault proxy, the processes listen on their usual port plus this. */
constexpr int kHiddenPortOffset = 10000;

constexpr std::int64_t kStopLimitMs = 40000;

std::string
withPort(const std::string& aHost, int aPort)
{
  return aHost + ":" + std::to_string(aPort);
}

std::string
numbered(const char* aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

int
agentPort(TargetKind aKind)
{
  return aKind == TargetKind::eExecutor ? kExecutorAgentPort : kWorkerAgentPort;
}

int
targetPort(TargetKind aKind)
{
  return aKind == TargetKind::eExecutor ? kExecutorPort : kWorkerPort;
}

} // namespace

DeploymentTiming
DeploymentTiming::forTests()
{
  DeploymentTiming timing;
  timing.mLeaseMs = 1500;
  timing.mHeartbeatMs = 100;
  timing.mElectionTimeoutMs = 300;
  timing.mReplicationHeartbeatMs = 50;
  return timing;
}

Deployment::Deployment(DeploymentOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

Result<std::unique_ptr<Deployment>>
Deployment::create(DeploymentOptions aOptions)
{
  std::unique_ptr<Deployment> deployment(new Deployment(std::move(aOptions)));
  std::error_code error;
  std::filesystem::remove_all(deployment->mOptions.mRunFolder, error);
  std::filesystem::create_directories(deployment->mOptions.mRunFolder, error);
  if (error) {
    return Error::create(
      ErrorCode::eIo, "create run folder", deployment->mOptions.mRunFolder, error.message());
  }
  const Result<Done> written = deployment->writeSettings();
  if (!isOk(written)) {
    return errorOf(written);
  }
  return deployment;
}

std::string
Deployment::addHost(const std::string& aName)
{
  const auto known = mHosts.find(aName);
  if (known != mHosts.end()) {
    return known->second;
  }
  const std::string host = loopbackHost(++mLastHost);
  mHosts[aName] = host;
  return host;
}

std::string
Deployment::faultFile(const std::string& aName) const
{
  return mOptions.mRunFolder + "/" + aName + ".faults";
}

std::vector<std::string>
Deployment::programFlags(const std::string& aName) const
{
  std::vector<std::string> flags = { "--settings=" + settingsFile(aName) };
  if (mOptions.mWithFaultPoints) {
    flags.push_back("--fault_points_file=" + faultFile(aName));
  }
  return flags;
}

std::string
Deployment::hostOf(const std::string& aName) const
{
  return mHosts.at(aName);
}

std::string
Deployment::dataCentre(int aNumber) const
{
  const std::vector<std::string>& all = mOptions.mShape.mDataCentres;
  const int racks = (aNumber - 1) / mOptions.mShape.mVmsPerRack;
  return all[racks % all.size()];
}

std::string
Deployment::rack(int aNumber) const
{
  return numbered("rack-", (aNumber - 1) / mOptions.mShape.mVmsPerRack + 1);
}

nlohmann::json
Deployment::leaseJson() const
{
  return { { "leaseMs", mOptions.mTiming.mLeaseMs },
           { "heartbeatMs", mOptions.mTiming.mHeartbeatMs } };
}

nlohmann::json
Deployment::controlAddressesJson() const
{
  nlohmann::json addresses = nlohmann::json::array();
  for (const std::string& name : controlNames()) {
    addresses.push_back(controlAddress(name));
  }
  return addresses;
}

std::string
Deployment::controlAddress(const std::string& aName) const
{
  return withPort(hostOf(aName), kControlPort);
}

std::string
Deployment::faultProxyAddress() const
{
  return withPort(hostOf("fault-proxy"), kProxyControlPort);
}

std::string
Deployment::historyFile(const std::string& aTarget) const
{
  return mOptions.mRunFolder + "/" + aTarget + ".history.jsonl";
}

std::string
Deployment::logFile(const std::string& aName) const
{
  return mOptions.mRunFolder + "/" + aName + ".log";
}

std::string
Deployment::settingsFile(const std::string& aName) const
{
  return mOptions.mRunFolder + "/" + aName + ".json";
}

std::string
Deployment::dataFolder(const std::string& aControl) const
{
  return mOptions.mRunFolder + "/" + aControl + ".data";
}

std::vector<std::string>
Deployment::controlNames() const
{
  std::vector<std::string> names;
  for (int number = 1; number <= mOptions.mShape.mControls; number++) {
    names.push_back(numbered("control-", number));
  }
  return names;
}

std::vector<std::string>
Deployment::targetNames(TargetKind aKind) const
{
  const bool isExecutor = aKind == TargetKind::eExecutor;
  const int count = isExecutor ? mOptions.mShape.mExecutors : mOptions.mShape.mWorkers;
  std::vector<std::string> names;
  for (int number = 1; number <= count; number++) {
    names.push_back(numbered(isExecutor ? "executor-" : "worker-", number));
  }
  return names;
}

std::vector<std::string>
Deployment::gatewayAddresses() const
{
  std::vector<std::string> addresses;
  for (int number = 1; number <= mOptions.mShape.mGateways; number++) {
    addresses.push_back(withPort(hostOf(numbered("gateway-", number)), kGatewayPort));
  }
  return addresses;
}

Result<Done>
Deployment::writeFile(const std::string& aFileName, const nlohmann::json& aContent) const
{
  std::ofstream file(aFileName);
  file << aContent.dump(2) << "\n";
  if (!file) {
    return Error::create(ErrorCode::eIo, "write settings", aFileName, "write failed");
  }
  return Done{};
}

Result<Done>
Deployment::writeSettings()
{
  for (const std::string& name : controlNames()) {
    addHost(name);
  }
  for (int number = 1; number <= mOptions.mShape.mControls; number++) {
    const Result<Done> written = writeControl(number);
    if (!isOk(written)) {
      return written;
    }
  }
  for (int number = 1; number <= mOptions.mShape.mGateways; number++) {
    const std::string name = numbered("gateway-", number);
    const std::string host = addHost(name);
    const nlohmann::json settings = { { "processId", name },
                                      { "httpAddress", withPort(host, kGatewayPort) },
                                      { "dataCentre", dataCentre(number) },
                                      { "controlAddresses", controlAddressesJson() },
                                      { "lease", leaseJson() } };
    const Result<Done> written = writeFile(settingsFile(name), settings);
    if (!isOk(written)) {
      return written;
    }
    mCommands[name] = { "magnoliadrum-gateway", programFlags(name) };
    mNames.push_back(name);
  }
  for (const TargetKind kind : { TargetKind::eExecutor, TargetKind::eWorker }) {
    const int count = static_cast<int>(targetNames(kind).size());
    for (int number = 1; number <= count; number++) {
      const Result<Done> written = writeAgent(kind, number);
      if (!isOk(written)) {
        return written;
      }
    }
  }
  if (mOptions.mWithFaultProxy) {
    return addFaultProxy();
  }
  return Done{};
}

Result<Done>
Deployment::writeControl(int aNumber)
{
  const std::string name = numbered("control-", aNumber);
  const std::string host = hostOf(name);
  const int offset = mOptions.mWithFaultProxy ? kHiddenPortOffset : 0;
  const nlohmann::json settings = {
    { "processId", name },
    { "listenAddress", withPort(host, kControlPort + offset) },
    { "advertisedAddress", controlAddress(name) },
    { "metricsAddress", withPort(host, kMetricsPort) },
    { "dataCentre", dataCentre(aNumber * mOptions.mShape.mVmsPerRack) },
    { "rack", rack(aNumber * mOptions.mShape.mVmsPerRack) },
    { "dataFolder", dataFolder(name) },
    { "initialReplicas", controlAddressesJson() },
    { "electionTimeoutMs", mOptions.mTiming.mElectionTimeoutMs },
    { "replicationHeartbeatMs", mOptions.mTiming.mReplicationHeartbeatMs },
    { "snapshotEveryEntries", mOptions.mSnapshotEveryEntries },
    { "lease", leaseJson() },
  };
  mCommands[name] = { "magnoliadrum-control", programFlags(name) };
  mNames.push_back(name);
  return writeFile(settingsFile(name), settings);
}

Result<Done>
Deployment::writeAgent(TargetKind aKind, int aNumber)
{
  const bool isExecutor = aKind == TargetKind::eExecutor;
  const std::string target = numbered(isExecutor ? "executor-" : "worker-", aNumber);
  const std::string name = "agent-" + target;
  const std::string host = addHost(numbered("vm-", aNumber));
  mHosts[target] = host;
  mHosts[name] = host;
  const int offset = mOptions.mWithFaultProxy ? kHiddenPortOffset : 0;
  nlohmann::json settings = { { "processId", target },
                              { "listenAddress", withPort(host, agentPort(aKind) + offset) },
                              { "advertisedAddress", withPort(host, agentPort(aKind)) },
                              { "targetKind", toText(aKind) },
                              { "targetAddress", withPort(host, targetPort(aKind)) },
                              { "dataCentre", dataCentre(aNumber) },
                              { "rack", rack(aNumber) },
                              { "controlAddresses", controlAddressesJson() },
                              { "lease", leaseJson() } };
  if (isExecutor) {
    settings["entryName"] = mOptions.mShape.mServiceEntry;
    settings["slots"] = mOptions.mShape.mExecutorSlots;
    settings["connections"] = mOptions.mShape.mExecutorConnections;
  } else {
    settings["capacity"] = { { "cpuMilli", mOptions.mShape.mWorkerCpuMilli },
                             { "memoryMb", mOptions.mShape.mWorkerMemoryMb } };
  }
  addTargetProgram(aKind, aNumber);
  mCommands[name] = { "magnoliadrum-agent", programFlags(name) };
  mNames.push_back(name);
  return writeFile(settingsFile(name), settings);
}

void
Deployment::addTargetProgram(TargetKind aKind, int aNumber)
{
  const bool isExecutor = aKind == TargetKind::eExecutor;
  const std::string target = numbered(isExecutor ? "executor-" : "worker-", aNumber);
  const DeploymentShape& shape = mOptions.mShape;
  std::vector<std::string> flags = { "--listen=" + withPort(hostOf(target), targetPort(aKind)),
                                     "--history=" + historyFile(target),
                                     "--data_centre=" + dataCentre(aNumber) };
  if (isExecutor) {
    flags.push_back("--slots=" + std::to_string(shape.mExecutorSlots));
  } else {
    flags.push_back("--cpu_milli=" + std::to_string(shape.mWorkerCpuMilli));
    flags.push_back("--memory_mb=" + std::to_string(shape.mWorkerMemoryMb));
  }
  mCommands[target] = { isExecutor ? "fake-executor" : "fake-worker", flags };
  mNames.push_back(target);
}

Result<Done>
Deployment::addFaultProxy()
{
  const std::string name = "fault-proxy";
  addHost(name);
  nlohmann::json links = nlohmann::json::array();
  const auto addLink = [&](const std::string& aTarget, int aPort) {
    const std::string host = hostOf(aTarget);
    links.push_back({ { "name", aTarget },
                      { "listen", withPort(host, aPort) },
                      { "forward", withPort(host, aPort + kHiddenPortOffset) } });
  };
  for (const std::string& control : controlNames()) {
    addLink(control, kControlPort);
  }
  for (const TargetKind kind : { TargetKind::eExecutor, TargetKind::eWorker }) {
    for (const std::string& target : targetNames(kind)) {
      addLink(target, agentPort(kind));
    }
  }
  mCommands[name] = { "fault-proxy",
                      { "--listen=" + faultProxyAddress(), "--links=" + settingsFile(name) } };
  mNames.insert(mNames.begin(), name);
  return writeFile(settingsFile(name), links);
}

Result<Done>
Deployment::start(const std::string& aName, const std::vector<std::string>& aExtraFlags)
{
  const auto position = mCommands.find(aName);
  if (position == mCommands.end()) {
    return Error::create(ErrorCode::eNotFound, "start process", aName, "no such process");
  }
  std::vector<std::string> flags = position->second.mFlags;
  flags.insert(flags.end(), aExtraFlags.begin(), aExtraFlags.end());
  Result<std::unique_ptr<ChildProcess>> child = ChildProcess::start(
    mOptions.mProgramFolder + "/" + position->second.mProgram, flags, logFile(aName));
  if (!isOk(child)) {
    return errorOf(child);
  }
  mProcesses[aName] = takeValue(std::move(child));
  return Done{};
}

Result<Done>
Deployment::startAll()
{
  for (const std::string& name : mNames) {
    const bool isControl = name.starts_with("control-");
    const std::vector<std::string> flags =
      isControl ? std::vector<std::string>{ "--bootstrap" } : std::vector<std::string>{};
    const Result<Done> started = start(name, flags);
    if (!isOk(started)) {
      return started;
    }
  }
  return Done{};
}

ChildProcess&
Deployment::process(const std::string& aName)
{
  return *mProcesses.at(aName);
}

Result<Done>
Deployment::stopAll()
{
  // Callers first, then what serves them, and control last, so that each part can report its end.
  const std::vector<std::string> order = { "gateway-", "agent-",   "executor-",
                                           "worker-",  "control-", "fault-proxy" };
  for (const std::string& prefix : order) {
    for (auto& [name, child] : mProcesses) {
      if (name.starts_with(prefix)) {
        child->signal(SIGTERM);
      }
    }
    for (auto& [name, child] : mProcesses) {
      if (!name.starts_with(prefix) || !child->isRunning()) {
        continue;
      }
      const Result<int> code = child->waitForExit(MonotonicTime::now().plusMs(kStopLimitMs));
      if (!isOk(code)) {
        return errorOf(code);
      }
      if (valueOf(code) != 0) {
        return Error::create(
          ErrorCode::eIo, "stop process", name, "exit code " + std::to_string(valueOf(code)));
      }
    }
  }
  mProcesses.clear();
  return Done{};
}

Result<std::string>
Deployment::addControl()
{
  mOptions.mShape.mControls++;
  const std::string name = numbered("control-", mOptions.mShape.mControls);
  addHost(name);
  const Result<Done> written = writeControl(mOptions.mShape.mControls);
  if (!isOk(written)) {
    return errorOf(written);
  }
  return name;
}

} // namespace magnoliadrum
