#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "integration/ChildProcess.h"
#include "integration/DeploymentShape.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Periods that tests shorten. */
struct DeploymentTiming
{
  std::int64_t mLeaseMs = 6000;
  std::int64_t mHeartbeatMs = 500;
  std::int64_t mElectionTimeoutMs = 1000;
  std::int64_t mReplicationHeartbeatMs = 100;

  /** Short periods for tests. */
  static DeploymentTiming forTests();
};

struct DeploymentOptions
{
  /** Folder with the built programs. */
  std::string mProgramFolder;
  /** Folder for settings, data, logs and histories; emptied at the start. */
  std::string mRunFolder;
  DeploymentShape mShape;
  DeploymentTiming mTiming;
  /** All connections between VMs run through one fault proxy. */
  bool mWithFaultProxy = false;
  std::int64_t mSnapshotEveryEntries = 20000;
  /** Our processes watch the file faultFile(). */
  bool mWithFaultPoints = false;
};

/**
 * A deployment of real processes on loopback. Each VM has an IP address of its own in 127.0.0.0/8;
 * executor-N and worker-N share one, because services and tasks share machines.
 *
 * Names of processes: control-N, gateway-N, executor-N and worker-N (the targets), agent-executor-N
 * and agent-worker-N, fault-proxy.
 */
class Deployment
{
public:
  /** Writes all settings files; starts nothing. */
  static Result<std::unique_ptr<Deployment>> create(DeploymentOptions aOptions);

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts every process; the control group is new. */
  Result<Done> startAll();

  /** Starts one process that does not run, with extra flags. */
  Result<Done> start(const std::string& aName, const std::vector<std::string>& aExtraFlags = {});

  /** A process that was started. Precondition: hasProcess(aName). */
  ChildProcess& process(const std::string& aName);
  bool hasProcess(const std::string& aName) const { return mProcesses.contains(aName); }

  /** Sends SIGTERM to all processes in the order callers would want and waits for their ends. */
  Result<Done> stopAll();

  /** Kills all processes. */
  void killAll() { mProcesses.clear(); }

  std::vector<std::string> gatewayAddresses() const;
  std::vector<std::string> controlNames() const;
  std::vector<std::string> targetNames(TargetKind aKind) const;

  /** IP address of the VM of a process. */
  std::string hostOf(const std::string& aName) const;

  /** IP:port under which other VMs reach a control replica. */
  std::string controlAddress(const std::string& aName) const;

  std::string historyFile(const std::string& aTarget) const;
  std::string logFile(const std::string& aName) const;
  std::string dataFolder(const std::string& aControl) const;
  std::string settingsFile(const std::string& aName) const;
  /** File from which a process arms fault points at SIGUSR1. */
  std::string faultFile(const std::string& aName) const;
  std::string faultProxyAddress() const;
  const DeploymentShape& shape() const { return mOptions.mShape; }
  const std::string& runFolder() const { return mOptions.mRunFolder; }

  /** Adds a further control VM that is not a member yet. Returns its name. */
  Result<std::string> addControl();

private:
  explicit Deployment(DeploymentOptions aOptions);

  Result<Done> writeSettings();
  Result<Done> writeControl(int aNumber);
  Result<Done> writeFile(const std::string& aFileName, const nlohmann::json& aContent) const;
  Result<Done> writeAgent(TargetKind aKind, int aNumber);
  void addTargetProgram(TargetKind aKind, int aNumber);
  Result<Done> addFaultProxy();
  std::string addHost(const std::string& aName);
  std::vector<std::string> programFlags(const std::string& aName) const;
  nlohmann::json leaseJson() const;
  nlohmann::json controlAddressesJson() const;
  std::string dataCentre(int aNumber) const;
  std::string rack(int aNumber) const;

  /** Program and flags of a process. */
  struct Command
  {
    std::string mProgram;
    std::vector<std::string> mFlags;
  };

  DeploymentOptions mOptions;
  int mLastHost = 0;
  std::vector<std::string> mNames;
  std::map<std::string, std::string> mHosts;
  std::map<std::string, Command> mCommands;
  std::map<std::string, std::unique_ptr<ChildProcess>> mProcesses;
};

} // namespace magnoliadrum
