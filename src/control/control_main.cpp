#include "control/ConnectionReplicaTransport.h"
#include "control/ControlProcess.h"
#include "control/GroupJoiner.h"
#include "control/ReplicatedCommandLog.h"
#include "faults/faults.h"
#include "platform/platform.h"
#include "session/session.h"
#include "settings/settings.h"
#include "state/BuildValue.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>
#include <optional>

DEFINE_string(settings, "", "settings file (JSON, ControlSettings)");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(bootstrap, false, "first start of a new group; needs initialReplicas in the settings");
DEFINE_bool(join, false, "start with an empty data folder and wait to be added to a group");
DEFINE_string(fault_points_file, "", "for tests: file of fault points that SIGUSR1 arms");

namespace magnoliadrum {

namespace {

constexpr int kExitFailure = 1;

constexpr std::int64_t kBytesPerMb = std::int64_t{ 1 } << 20U;

/** The platform's operators wait about a second for an answer before they try another address. */
constexpr std::int64_t kOperatorRequestTimeoutMs = 3000;

std::string
ownAddress(const ControlSettings& aSettings)
{
  return aSettings.advertisedAddress().empty() ? aSettings.listenAddress()
                                               : aSettings.advertisedAddress();
}

/** The addresses of controlSeeds, with their port replaced by the one of listenAddress. */
std::vector<std::string>
seedAddresses(const ControlSettings& aSettings)
{
  return withPort(aSettings.controlSeeds(), portOfAddress(aSettings.listenAddress()));
}

/** Reads the seeds again from the settings file; empty if it is invalid. */
std::vector<std::string>
readSeedAddresses()
{
  const Result<ControlSettings> settings = readSettingsAgain<ControlSettings>(FLAGS_settings);
  return isOk(settings) ? seedAddresses(valueOf(settings)) : std::vector<std::string>();
}

Hello
ownHello(const ControlSettings& aSettings)
{
  return buildValue<Hello>({ .processKind = ProcessKind::eControl,
                             .processId = aSettings.processId(),
                             .incarnation = newIncarnation() });
}

ReplicaStart
replicaStart(const ControlSettings& aSettings)
{
  const std::vector<std::string> addresses = seedAddresses(aSettings);
  const bool isInitialReplica =
    std::find(addresses.begin(), addresses.end(), ownAddress(aSettings)) != addresses.end();
  if (!addresses.empty() && !isInitialReplica) {
    return ReplicaStart::eJoin;
  }
  if (FLAGS_bootstrap || aSettings.start() == FirstStart::eFound) {
    return ReplicaStart::eBootstrap;
  }
  const bool joins = FLAGS_join || aSettings.start() == FirstStart::eJoin;
  return joins ? ReplicaStart::eJoin : ReplicaStart::eExisting;
}

ReplicatorSettings
replicatorSettings(const ControlSettings& aSettings)
{
  ReplicatorSettings settings;
  settings.dataFolder = aSettings.dataFolder();
  settings.address = ownAddress(aSettings);
  settings.start = replicaStart(aSettings);
  settings.initialReplicas =
    aSettings.controlSeeds().empty() ? aSettings.initialReplicas() : seedAddresses(aSettings);
  settings.electionTimeoutMs = aSettings.electionTimeoutMs();
  settings.heartbeatMs = aSettings.replicationHeartbeatMs();
  settings.snapshotEveryEntries = aSettings.snapshotEveryEntries();
  settings.snapshotEveryBytes = aSettings.snapshotEveryMb() * kBytesPerMb;
  return settings;
}

std::unique_ptr<ReplicaTransport>
replicaTransport(EventLoop& aLoop, const ControlSettings& aSettings)
{
  return std::make_unique<ConnectionReplicaTransport>(
    aLoop, ownHello(aSettings), aSettings.electionTimeoutMs());
}

/** Exits without cleanup, because a replica whose storage failed must not send another message. */
void
terminateImmediately(const Error& aError)
{
  logError("the replicated log failed", aError);
  std::_Exit(kExitFailure);
}

/** Period at which a replica whose disk is full tries to start again. */
constexpr std::int64_t kFullDiskRetryMs = 500;

/**
 * Opens the replicated log. While the disk is full this replica waits, without a vote and without
 * an operator interface, instead of ending and being started again in vain. Returns eUnavailable
 * when the process is told to stop meanwhile.
 */
Result<std::unique_ptr<ReplicatedCommandLog>>
openLog(EventLoop& aLoop, const ControlSettings& aSettings, ControlState& aState)
{
  bool isStopped = false;
  const auto stopWaiting = [&]() {
    isStopped = true;
    aLoop.stop();
  };
  const EventHandlePointer onTerminate = aLoop.onSignal(SIGTERM, stopWaiting);
  const EventHandlePointer onInterrupt = aLoop.onSignal(SIGINT, stopWaiting);
  bool isLogged = false;
  while (!isStopped) {
    auto log = ReplicatedCommandLog::create(aLoop,
                                            replicatorSettings(aSettings),
                                            replicaTransport(aLoop, aSettings),
                                            aState,
                                            terminateImmediately);
    if (isOk(log) || errorOf(log).code() != ErrorCode::eNoSpace) {
      return log;
    }
    if (!std::exchange(isLogged, true)) {
      logError("the disk is full: the replica waits for space", errorOf(log));
    }
    aState = ControlState();
    const EventHandlePointer retry =
      aLoop.runAt(aLoop.now().plusMs(kFullDiskRetryMs), [&aLoop]() { aLoop.stop(); });
    aLoop.run();
  }
  return Error::create(ErrorCode::eUnavailable,
                       "control.start",
                       aSettings.processId(),
                       "stopped while waiting for space");
}

/** Starts the platform's interface for operators; null when the settings have no address for it. */
Result<std::unique_ptr<platform::OperatorServer>>
startOperatorServer(EventLoop& aLoop, const ControlSettings& aSettings, ControlProcess& aProcess)
{
  if (aSettings.platformAddress().empty()) {
    return std::unique_ptr<platform::OperatorServer>();
  }
  const auto call =
    [&aLoop, &aProcess](const Message& aMessage,
                        const std::function<void(const platform::OperatorServer::Reply&)>& aDone) {
      aProcess.call(
        aMessage, aLoop.now().plusMs(kOperatorRequestTimeoutMs), [aDone](const Message& aAnswer) {
          const OperationFailed* failed = std::get_if<OperationFailed>(&aAnswer);
          if (failed == nullptr) {
            aDone({ aAnswer, "" });
            return;
          }
          const bool isNotLeader = failed->code() == FailureCode::eNotLeader;
          aDone({ toError(*failed), isNotLeader ? failed->leaderAddress() : "" });
        });
    };
  return platform::OperatorServer::start(aLoop, aSettings.platformAddress(), call);
}

/**
 * Runs without a replica of the log, for a VM without a disk, which cannot vote. Keeps track of the
 * leader and redirects operators to it.
 */
int
runWithoutReplica(const ControlSettings& aSettings)
{
  auto created = EventLoop::create();
  if (!isOk(created)) {
    logError("cannot create the event loop", errorOf(created));
    return kExitFailure;
  }
  const auto loop = takeValue(std::move(created));
  loop->setSourceHost(hostOfAddress(aSettings.listenAddress()));
  const EventHandlePointer clientLimits = applyClientLimits(*loop, aSettings.vm());
  ControlLinkHandlers handlers;
  handlers.fillOpen = [](SessionOpen::Fields& /*aFields*/) { return true; };
  handlers.fillHeartbeat = [](SessionHeartbeat::Fields& /*aFields*/) {};
  const auto link = ControlLink::create(*loop,
                                        { .mProcessKind = ProcessKind::eRelay,
                                          .mProcessId = aSettings.processId(),
                                          .mIncarnation = newIncarnation(),
                                          .mControlAddresses = seedAddresses(aSettings),
                                          .mLeaseMs = aSettings.lease().leaseMs(),
                                          .mHeartbeatMs = aSettings.lease().heartbeatMs(),
                                          .mSilenceMs = aSettings.lease().leaderSilenceMs() },
                                        std::move(handlers));
  const auto operatorServer = platform::OperatorServer::start(
    *loop,
    aSettings.platformAddress(),
    [&link](const Message& /*aMessage*/,
            const std::function<void(const platform::OperatorServer::Reply&)>& aDone) {
      const std::string leader = link->leaderAddress();
      aDone({ Error::create(ErrorCode::eNotLeader,
                            "operator request",
                            leader,
                            "this process has no replica of the log"),
              leader });
    });
  if (!isOk(operatorServer)) {
    logError("control cannot start", errorOf(operatorServer));
    return kExitFailure;
  }
  link->setAddressReader(readSeedAddresses);
  link->start();
  const auto onTerminate = loop->onSignal(SIGTERM, [&loop]() { loop->stop(); });
  const auto onInterrupt = loop->onSignal(SIGINT, [&loop]() { loop->stop(); });
  const auto reload =
    reloadOnHangup<ControlSettings>(*loop, FLAGS_settings, [&link](const ControlSettings& aNew) {
      link->setControlAddresses(seedAddresses(aNew));
    });
  logInfo("control started without a replica", { { "address", aSettings.listenAddress() } });
  loop->run();
  return 0;
}

int
runControl(const ControlSettings& aSettings)
{
  configureLogging(aSettings.processId(), toText(aSettings.logLevel()));
  if (aSettings.dataFolder().empty()) {
    return runWithoutReplica(aSettings);
  }
  auto created = EventLoop::create();
  if (!isOk(created)) {
    logError("cannot create the event loop", errorOf(created));
    return kExitFailure;
  }
  const auto loop = takeValue(std::move(created));
  loop->setSourceHost(hostOfAddress(aSettings.listenAddress()));
  const EventHandlePointer clientLimits = applyClientLimits(*loop, aSettings.vm());
  const std::unique_ptr<FaultPointFile> faultPoints =
    FaultPointFile::watch(*loop, FLAGS_fault_points_file);
  ControlState state;
  auto log = openLog(*loop, aSettings, state);
  if (!isOk(log) && errorOf(log).code() == ErrorCode::eUnavailable) {
    logInfo("stopped while waiting for space on the disk");
    return 0;
  }
  if (!isOk(log)) {
    logError("the replicated log cannot start", errorOf(log));
    return kExitFailure;
  }
  std::optional<GroupJoiner> joiner;
  if (!aSettings.controlSeeds().empty()) {
    joiner.emplace(*loop,
                   *valueOf(log),
                   ownHello(aSettings),
                   ownAddress(aSettings),
                   seedAddresses(aSettings),
                   readSeedAddresses);
  }
  auto process = ControlProcess::start(*loop, aSettings, state, *valueOf(log));
  if (!isOk(process)) {
    logError("control cannot start", errorOf(process));
    return kExitFailure;
  }
  const auto operatorServer = startOperatorServer(*loop, aSettings, *valueOf(process));
  if (!isOk(operatorServer)) {
    logError("control cannot start", errorOf(operatorServer));
    return kExitFailure;
  }
  const auto onTerminate = loop->onSignal(SIGTERM, [&]() { valueOf(process)->shutDown(); });
  const auto onInterrupt = loop->onSignal(SIGINT, [&]() { valueOf(process)->shutDown(); });
  const auto reload =
    reloadOnHangup<ControlSettings>(*loop, FLAGS_settings, [&joiner](const ControlSettings& aNew) {
      if (joiner) {
        joiner->setSeeds(seedAddresses(aNew));
      }
    });
  logInfo("control started", { { "address", aSettings.listenAddress() } });
  loop->run();
  return 0;
}

} // namespace

} // namespace magnoliadrum

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("control replica of magnoliadrum");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const auto settings = magnoliadrum::readSettings<magnoliadrum::ControlSettings>(FLAGS_settings);
  if (!magnoliadrum::isOk(settings)) {
    std::fprintf(stderr, "%s\n", magnoliadrum::errorOf(settings).text().c_str());
    return magnoliadrum::kExitFailure;
  }
  if (FLAGS_check_settings) {
    return 0;
  }
  if (FLAGS_bootstrap && FLAGS_join) {
    std::fprintf(stderr, "--bootstrap and --join are mutually exclusive\n");
    return magnoliadrum::kExitFailure;
  }
  return magnoliadrum::runControl(magnoliadrum::valueOf(settings));
}
