#include "agent/agent.h"
#include "faults/faults.h"
#include "observability/observability.h"
#include "settings/settings.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file (JSON, AgentSettings)");
DEFINE_string(fault_points_file, "", "for tests: file of fault points that SIGUSR1 arms");
DEFINE_bool(check_settings, false, "check the settings file and exit");

using namespace magnoliadrum;

namespace {

int
runAgent(const AgentSettings& aSettings)
{
  const Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    logError("agent cannot start", errorOf(loop));
    return EXIT_FAILURE;
  }
  EventLoop& events = *valueOf(loop);
  events.setSourceHost(hostOfAddress(aSettings.listenAddress()));
  const EventHandlePointer clientLimits = applyClientLimits(events, aSettings.vm());
  const Result<std::unique_ptr<AgentService>> service = AgentService::start(events, aSettings);
  if (!isOk(service)) {
    logError("agent cannot start", errorOf(service));
    return EXIT_FAILURE;
  }
  const auto onTerminate = [&service]() { valueOf(service)->beginShutdown(); };
  const EventHandlePointer terminate = events.onSignal(SIGTERM, onTerminate);
  const EventHandlePointer interrupt = events.onSignal(SIGINT, onTerminate);
  valueOf(service)->setAddressReader(controlAddressReader<AgentSettings>(FLAGS_settings));
  const EventHandlePointer reload =
    reloadOnHangup<AgentSettings>(events, FLAGS_settings, [&service](const AgentSettings& aNew) {
      valueOf(service)->setControlAddresses(controlAddresses(aNew));
    });
  const std::unique_ptr<FaultPointFile> faults =
    FaultPointFile::watch(events, FLAGS_fault_points_file);
  events.run();
  return valueOf(service)->wasAborted() ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("magnoliadrum-agent --settings FILE [--check-settings]");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const Result<AgentSettings> settings = readSettings<AgentSettings>(FLAGS_settings);
  if (!isOk(settings)) {
    std::cerr << errorOf(settings).text() << "\n";
    return EXIT_FAILURE;
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  configureLogging(valueOf(settings).processId(), toText(valueOf(settings).logLevel()));
  return runAgent(valueOf(settings));
}
