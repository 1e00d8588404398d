#include "control/ControlProcess.h"
#include "control/InMemoryCommandLog.h"
#include "faults/faults.h"
#include "settings/settings.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_string(fault_points_file, "", "for tests: file of fault points that SIGUSR1 arms");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(bootstrap, false, "first start of a new group; needs initialReplicas in the settings");
DEFINE_bool(join, false, "start with an empty data folder and wait to be added to a group");

namespace magnoliadrum {

namespace {

constexpr int kExitFailure = 1;

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
  ControlState state;
  InMemoryCommandLog log(
    state,
    [&loop](std::function<void()> aFunction) { loop->post(std::move(aFunction)); },
    aSettings.advertisedAddress().empty() ? aSettings.listenAddress()
                                          : aSettings.advertisedAddress());
  auto process = ControlProcess::start(*loop, aSettings, state, log);
  if (!isOk(process)) {
    logError("control cannot start", errorOf(process));
    return kExitFailure;
  }
  log.setLeads(true, loop->now());
  const auto onTerminate = loop->onSignal(SIGTERM, [&]() { valueOf(process)->shutDown(); });
  const auto onInterrupt = loop->onSignal(SIGINT, [&]() { valueOf(process)->shutDown(); });
  logInfo("control started", { { "address", aSettings.listenAddress() } });
  const auto faults = FaultPointFile::watch(*loop, FLAGS_fault_points_file);
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
  return magnoliadrum::runControl(magnoliadrum::valueOf(settings));
}
