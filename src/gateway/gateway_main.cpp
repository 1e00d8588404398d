#include "faults/faults.h"
#include "gateway/gateway.h"
#include "observability/observability.h"
#include "platform/platform.h"
#include "settings/settings.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file (JSON, GatewaySettings).");
DEFINE_string(fault_points_file, "", "For tests: file of fault points that SIGUSR1 arms.");
DEFINE_bool(check_settings, false, "Check the settings file and exit.");

using namespace magnoliadrum;

namespace {

/** Starts the platform's interface for callers. Returns null if the settings have no address for
 * it.
 */
Result<std::unique_ptr<platform::CallerServer>>
startCallerServer(EventLoop& aLoop, const GatewaySettings& aSettings, GatewayProcess& aProcess)
{
  if (aSettings.platformAddress().empty()) {
    return std::unique_ptr<platform::CallerServer>();
  }
  platform::CallerServer::Options options;
  options.callerAddress = aSettings.platformAddress();
  options.readinessAddress = aSettings.readinessAddress();
  options.incarnation = aProcess.incarnation();
  options.call = [&aProcess](const Message& aMessage,
                             Deadline aDeadline,
                             std::function<void(const Result<Message>&)> aCallback) {
    aProcess.call(aMessage, aDeadline, std::move(aCallback));
  };
  options.earliestArrival = [&aProcess]() { return aProcess.earliestArrival(); };
  options.isReady = [&aProcess]() { return aProcess.holdsLease(); };
  return platform::CallerServer::start(aLoop, std::move(options));
}

int
runGateway(const GatewaySettings& aSettings)
{
  const Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    logError("gateway cannot start", errorOf(loop));
    return EXIT_FAILURE;
  }
  EventLoop& events = *valueOf(loop);
  events.setSourceHost(hostOfAddress(aSettings.httpAddress()));
  const EventHandlePointer clientLimits = applyClientLimits(events, aSettings.vm());
  const Result<std::unique_ptr<GatewayProcess>> process = GatewayProcess::start(events, aSettings);
  if (!isOk(process)) {
    logError("gateway cannot start", errorOf(process));
    return EXIT_FAILURE;
  }
  valueOf(process)->setAddressReader(controlAddressReader<GatewaySettings>(FLAGS_settings));
  const Result<std::unique_ptr<platform::CallerServer>> callers =
    startCallerServer(events, aSettings, *valueOf(process));
  if (!isOk(callers)) {
    logError("gateway cannot start", errorOf(callers));
    return EXIT_FAILURE;
  }
  if (valueOf(callers) != nullptr) {
    valueOf(process)->setOthersIdle([&callers]() { return valueOf(callers)->isIdle(); });
  }
  const auto onTerminate = [&]() {
    if (valueOf(callers) == nullptr) {
      valueOf(process)->beginShutdown();
      return;
    }
    valueOf(callers)->beginShutdown([&]() { valueOf(process)->beginShutdown(); });
  };
  const EventHandlePointer terminate = events.onSignal(SIGTERM, onTerminate);
  const EventHandlePointer interrupt = events.onSignal(SIGINT, onTerminate);
  const EventHandlePointer reload = reloadOnHangup<GatewaySettings>(
    events, FLAGS_settings, [&process](const GatewaySettings& aNew) {
      valueOf(process)->setControlAddresses(controlAddresses(aNew));
    });
  const std::unique_ptr<FaultPointFile> faults =
    FaultPointFile::watch(events, FLAGS_fault_points_file);
  events.run();
  return valueOf(process)->shutdownTimedOut() ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("magnoliadrum-gateway --settings FILE [--check-settings]");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const Result<GatewaySettings> settings = readSettings<GatewaySettings>(FLAGS_settings);
  if (!isOk(settings)) {
    std::cerr << errorOf(settings).text() << "\n";
    return EXIT_FAILURE;
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  configureLogging(valueOf(settings).processId(), toText(valueOf(settings).logLevel()));
  return runGateway(valueOf(settings));
}
