#include "observability/observability.h"
#include "platform/platform.h"
#include "relay/relay.h"
#include "session/session.h"
#include "settings/settings.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file (JSON, RelaySettings)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

using namespace magnoliadrum;

namespace {

/** Requests to the metrics endpoint need no body. */
constexpr std::size_t kMaxMetricsBodyBytes = 1024;

class RelayProcess
{
public:
  RelayProcess(EventLoop& aLoop, const RelaySettings& aSettings)
    : mLoop(aLoop)
    , mRelay({ .now = [&aLoop]() { return aLoop.now(); },
               .send = [this](const Message& aMessage) { return mLink->send(aMessage); },
               .createClient =
                 [&aLoop](const WorkerDescription& aWorker, const std::string& aAddress) {
                   return platform::PlatformWorkerClient::create(aLoop, aAddress, aWorker);
                 },
               .longestStopMs = aSettings.shutdownMs() })
  {
    ControlLinkHandlers handlers;
    handlers.fillOpen = [](SessionOpen::Fields& /*aFields*/) { return true; };
    handlers.fillHeartbeat = [](SessionHeartbeat::Fields& /*aFields*/) {};
    handlers.onGranted = [this]() { mRelay.onSession(); };
    handlers.onMessage = [this](const Message& aMessage) {
      if (const WorkerOrders* orders = std::get_if<WorkerOrders>(&aMessage)) {
        mRelay.onOrders(*orders);
      }
    };
    mLink = ControlLink::create(aLoop,
                                { .mProcessKind = ProcessKind::eRelay,
                                  .mProcessId = aSettings.processId(),
                                  .mIncarnation = newIncarnation(),
                                  .mControlAddresses = controlAddresses(aSettings),
                                  .mLeaseMs = aSettings.lease().leaseMs(),
                                  .mHeartbeatMs = aSettings.lease().heartbeatMs(),
                                  .mSilenceMs = aSettings.lease().leaderSilenceMs() },
                                std::move(handlers));
    mLink->setAddressReader(controlAddressReader<RelaySettings>(FLAGS_settings));
  }

  Result<Done> start(const std::string& aAddress, const std::string& aMetricsAddress)
  {
    platform::RegistrationServer::Handlers handlers;
    handlers.onRegistration = [this](const platform::Registration& aRegistration) {
      mRelay.onRegistration(aRegistration.worker, aRegistration.address, aRegistration.sequence);
    };
    handlers.onDeregistration = [this](const std::string& aId) { mRelay.onDeregistration(aId); };
    auto server = platform::RegistrationServer::start(mLoop, aAddress, std::move(handlers));
    if (!isOk(server)) {
      return errorOf(server);
    }
    mServer = takeValue(std::move(server));
    if (!aMetricsAddress.empty()) {
      auto metrics = HttpServer::listen(
        mLoop,
        aMetricsAddress,
        kMaxMetricsBodyBytes,
        [this](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
          answerMetrics(aRequest, *aResponder);
        });
      if (!isOk(metrics)) {
        return errorOf(metrics);
      }
      mMetricsServer = takeValue(std::move(metrics));
    }
    mLink->start();
    mTickTimer = mLoop.runEvery(WorkerRelay::kTickMs, [this]() {
      mRelay.tick();
      exitIfDone();
    });
    return Done{};
  }

  /** Ends the loop as soon as the relay may exit. */
  void stop()
  {
    mRelay.stop();
    exitIfDone();
  }

  void setControlAddresses(std::vector<std::string> aAddresses)
  {
    mLink->setControlAddresses(std::move(aAddresses));
  }

private:
  void exitIfDone()
  {
    if (mRelay.mayExit()) {
      mLoop.stop();
    }
  }

  void answerMetrics(const HttpRequest& aRequest, HttpResponder& aResponder)
  {
    constexpr std::int64_t kOk = 200;
    constexpr std::int64_t kNotFound = 404;
    const bool isKnown = aRequest.mPath == "/metrics";
    mRelay.setMetrics(mMetrics);
    setClientMetrics(mLoop.transfers(), mMetrics);
    mMetrics.set("relay_has_leader", "", mLink->holdsLease(mLoop.now()) ? 1 : 0);
    aResponder.answer(valueOf(HttpAnswer::create(
      { .status = isKnown ? kOk : kNotFound, .body = isKnown ? mMetrics.text() : "" })));
  }

  EventLoop& mLoop;
  MetricsRegistry mMetrics;
  std::unique_ptr<HttpServer> mMetricsServer;
  std::unique_ptr<ControlLink> mLink;
  WorkerRelay mRelay;
  std::unique_ptr<platform::RegistrationServer> mServer;
  EventHandlePointer mTickTimer;
};

int
runRelay(const RelaySettings& aSettings)
{
  const Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    logError("relay cannot start", errorOf(loop));
    return EXIT_FAILURE;
  }
  EventLoop& events = *valueOf(loop);
  events.setSourceHost(hostOfAddress(aSettings.platformAddress()));
  const EventHandlePointer clientLimits = applyClientLimits(events, aSettings.vm());
  RelayProcess process(events, aSettings);
  const Result<Done> started =
    process.start(aSettings.platformAddress(), aSettings.metricsAddress());
  if (!isOk(started)) {
    logError("relay cannot start", errorOf(started));
    return EXIT_FAILURE;
  }
  // No cleanup is needed: the worker's runs continue under their lease while another relay takes
  // over.
  const auto stopRelay = [&process]() {
    logInfo("relay stopping");
    process.stop();
  };
  const EventHandlePointer terminate = events.onSignal(SIGTERM, stopRelay);
  const EventHandlePointer interrupt = events.onSignal(SIGINT, stopRelay);
  const EventHandlePointer reload =
    reloadOnHangup<RelaySettings>(events, FLAGS_settings, [&process](const RelaySettings& aNew) {
      process.setControlAddresses(controlAddresses(aNew));
    });
  logInfo("relay started", { { "address", aSettings.platformAddress() } });
  events.run();
  return EXIT_SUCCESS;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("magnoliadrum-relay --settings FILE [--check_settings]");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const Result<RelaySettings> settings = readSettings<RelaySettings>(FLAGS_settings);
  if (!isOk(settings)) {
    std::cerr << errorOf(settings).text() << "\n";
    return EXIT_FAILURE;
  }
  if (FLAGS_check_settings) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  configureLogging(valueOf(settings).processId(), toText(valueOf(settings).logLevel()));
  return runRelay(valueOf(settings));
}
