#include "control/ConnectionReplicaTransport.h"
#include "control/ControlProcess.h"
#include "control/ReplicatedCommandLog.h"
#include "faults/faults.h"
#include "session/Incarnation.h"
#include "settings/settings.h"
#include "state/BuildValue.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file (JSON, ControlSettings)");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(bootstrap, false, "first start of a new group; needs initialReplicas in the settings");
DEFINE_bool(join, false, "start with an empty data folder and wait to be added to a group");
DEFINE_string(fault_points_file, "", "for tests: file of fault points that SIGUSR1 arms");

namespace magnoliadrum {

namespace {

constexpr int kExitFailure = 1;

ReplicaStart
replicaStart()
{
  if (FLAGS_bootstrap) {
    return ReplicaStart::eBootstrap;
  }
  return FLAGS_join ? ReplicaStart::eJoin : ReplicaStart::eExisting;
}

ReplicatorSettings
replicatorSettings(const ControlSettings& aSettings)
{
  ReplicatorSettings settings;
  settings.dataFolder = aSettings.dataFolder();
  settings.address = aSettings.advertisedAddress().empty() ? aSettings.listenAddress()
                                                           : aSettings.advertisedAddress();
  settings.start = replicaStart();
  settings.initialReplicas = aSettings.initialReplicas();
  settings.electionTimeoutMs = aSettings.electionTimeoutMs();
  settings.heartbeatMs = aSettings.replicationHeartbeatMs();
  settings.snapshotEveryEntries = aSettings.snapshotEveryEntries();
  return settings;
}

std::unique_ptr<ReplicaTransport>
replicaTransport(EventLoop& aLoop, const ControlSettings& aSettings)
{
  return std::make_unique<ConnectionReplicaTransport>(
    aLoop,
    buildValue<Hello>({ .processKind = ProcessKind::eControl,
                        .processId = aSettings.processId(),
                        .incarnation = newIncarnation() }),
    aSettings.electionTimeoutMs());
}

/** A replica whose storage failed must not send another message, so nothing is cleaned up. */
void
stopAtOnce(const Error& aError)
{
  logError("the replicated log failed", aError);
  std::_Exit(kExitFailure);
}

int
runControl(const ControlSettings& aSettings)
{
  configureLogging(aSettings.processId(), toText(aSettings.logLevel()));
  auto created = EventLoop::create();
  if (!isOk(created)) {
    logError("event loop", errorOf(created));
    return kExitFailure;
  }
  const auto loop = takeValue(std::move(created));
  loop->setSourceHost(hostOfAddress(aSettings.listenAddress()));
  const std::unique_ptr<FaultPointFile> faults =
    FaultPointFile::watch(*loop, FLAGS_fault_points_file);
  ControlState state;
  auto log = ReplicatedCommandLog::create(
    *loop, replicatorSettings(aSettings), replicaTransport(*loop, aSettings), state, stopAtOnce);
  if (!isOk(log)) {
    logError("the replicated log cannot start", errorOf(log));
    return kExitFailure;
  }
  auto process = ControlProcess::start(*loop, aSettings, state, *valueOf(log));
  if (!isOk(process)) {
    logError("control cannot start", errorOf(process));
    return kExitFailure;
  }
  const auto onTerminate = loop->onSignal(SIGTERM, [&]() { valueOf(process)->shutDown(); });
  const auto onInterrupt = loop->onSignal(SIGINT, [&]() { valueOf(process)->shutDown(); });
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
    std::fprintf(stderr, "--bootstrap and --join exclude each other\n");
    return magnoliadrum::kExitFailure;
  }
  return magnoliadrum::runControl(magnoliadrum::valueOf(settings));
}
