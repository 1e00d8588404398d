#include "agent/AgentService.h"

#include "observability/observability.h"
#include "settings/settings.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace magnoliadrum {

namespace {

/**
 * Minimum interval between two usage reports. Usage changes constantly, and reporting it more often
 * would exceed the bandwidth available for control traffic.
 */
constexpr std::int64_t kUsageIntervalMs = 1000;

/** Interval at which a shutdown checks whether the work in flight has finished. */
constexpr std::int64_t kShutdownCheckIntervalMs = 20;

/** Time allowed for the last messages to leave the socket buffers. */
constexpr std::int64_t kFlushDelayMs = 100;

constexpr std::size_t kMaxHttpBodyBytes = 65536;
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

} // namespace

AgentService::AgentService(EventLoop& aLoop, AgentSettings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mIncarnation(newIncarnation())
{
}

Result<std::unique_ptr<AgentService>>
AgentService::start(EventLoop& aLoop, const AgentSettings& aSettings)
{
  std::unique_ptr<AgentService> service(new AgentService(aLoop, aSettings));
  const Result<Done> listening = service->listen();
  if (!isOk(listening)) {
    return errorOf(listening);
  }
  service->connectControl();
  return service;
}

Result<Done>
AgentService::listen()
{
  const Hello hello = valueOf(Hello::create({ .processKind = ProcessKind::eAgent,
                                              .processId = mSettings.processId(),
                                              .incarnation = mIncarnation }));
  MessageHandlers handlers;
  handlers.onOpen = [this](MessageConnection& aConnection) { aConnection.send(status()); };
  handlers.onMessage = [this](MessageConnection& aConnection, const Message& aMessage) {
    onGatewayMessage(aConnection, aMessage);
  };
  handlers.onClosed = [](MessageConnection& /*aConnection*/, const Error& aError) {
    logDebug("gateway connection lost", { { "detail", aError.text() } });
  };
  if (mSettings.targetKind() == TargetKind::eExecutor) {
    Result<std::unique_ptr<RequestForwarder>> forwarder =
      RequestForwarder::create(mLoop, mSettings, mMetrics);
    if (!isOk(forwarder)) {
      return errorOf(forwarder);
    }
    mForwarder = takeValue(std::move(forwarder));
  } else {
    TaskRunner::Handlers runnerHandlers{
      .mSendReport = [this](const TaskReport& aReport) { mControlLink->send(aReport); },
      .mOnSuperseded = [this]() { finishShutdown(true); }
    };
    Result<std::unique_ptr<TaskRunner>> runner =
      TaskRunner::create(mLoop, mSettings, mMetrics, std::move(runnerHandlers));
    if (!isOk(runner)) {
      return errorOf(runner);
    }
    mTaskRunner = takeValue(std::move(runner));
  }
  Result<std::unique_ptr<MessageServer>> server =
    MessageServer::listen(mLoop, mSettings.listenAddress(), hello, handlers);
  if (!isOk(server)) {
    return errorOf(server);
  }
  mMessageServer = takeValue(std::move(server));
  if (mSettings.metricsAddress().empty()) {
    return Done{};
  }
  Result<std::unique_ptr<HttpServer>> http =
    HttpServer::listen(mLoop,
                       mSettings.metricsAddress(),
                       kMaxHttpBodyBytes,
                       [this](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
                         answerHttp(aRequest, aResponder);
                       });
  if (!isOk(http)) {
    return errorOf(http);
  }
  mHttpServer = takeValue(std::move(http));
  return Done{};
}

void
AgentService::connectControl()
{
  ControlLinkOptions options{ .mProcessKind = ProcessKind::eAgent,
                              .mProcessId = mSettings.processId(),
                              .mIncarnation = mIncarnation,
                              .mControlAddresses = mSettings.controlAddresses(),
                              .mLeaseMs = mSettings.lease().leaseMs(),
                              .mHeartbeatMs = mSettings.lease().heartbeatMs(),
                              .mSilenceMs = mSettings.lease().leaderSilenceMs() };
  mControlLink = ControlLink::create(mLoop, std::move(options), controlHandlers());
  mControlLink->start();
  mTickTimer = mLoop.runEvery(mSettings.lease().heartbeatMs(), [this]() { tick(); });
  tick();
}

ControlLinkHandlers
AgentService::controlHandlers()
{
  ControlLinkHandlers handlers;
  handlers.fillOpen = [this](SessionOpen::Fields& aFields) { return fillOpen(aFields); };
  handlers.fillHeartbeat = [this](SessionHeartbeat::Fields& aFields) { fillHeartbeat(aFields); };
  handlers.onSession = [this](std::int64_t /*aSession*/) { onLeaseChanged(); };
  handlers.onLease = [this](Deadline /*aUntil*/) { onLeaseChanged(); };
  handlers.onSessionLost = [this]() { onLeaseChanged(); };
  handlers.onCatalogue = [this]() {
    if (mTaskRunner) {
      mTaskRunner->onCatalogueChanged(
        [this](const std::string& aName) { return mControlLink->catalogue().findEntry(aName); });
    }
  };
  handlers.onMessage = [this](const Message& aMessage) { onControlMessage(aMessage); };
  return handlers;
}

bool
AgentService::fillOpen(SessionOpen::Fields& aFields) const
{
  if (mTaskRunner && !mTaskRunner->isClaimed()) {
    return false;
  }
  const bool sameAddress = mSettings.advertisedAddress().empty();
  aFields.target = valueOf(TargetDescription::create(
    { .targetId = mSettings.processId(),
      .targetKind = mSettings.targetKind(),
      .entryName = mSettings.entryName(),
      .agentAddress = sameAddress ? mSettings.listenAddress() : mSettings.advertisedAddress(),
      .dataCentre = mSettings.dataCentre(),
      .rack = mSettings.rack(),
      .capacity = mSettings.capacity(),
      .slots = mSettings.slots(),
      .connections = mSettings.connections() }));
  if (mTaskRunner) {
    aFields.running = mTaskRunner->running();
  }
  return true;
}

void
AgentService::fillHeartbeat(SessionHeartbeat::Fields& aFields)
{
  // Otherwise control would keep placing tasks on an unresponsive worker.
  aFields.leaving =
    mShutdownStartedAt.has_value() || (mTaskRunner && mTaskRunner->isWorkerUnresponsive());
  const TargetUsage current = usage();
  const MonotonicTime now = mLoop.now();
  if (current != mLastSentUsage && now.msSince(mUsageSentAt) >= kUsageIntervalMs) {
    aFields.usage = current;
    mLastSentUsage = current;
    mUsageSentAt = now;
  }
}

TargetUsage
AgentService::usage() const
{
  if (mTaskRunner) {
    return mTaskRunner->usage();
  }
  return valueOf(TargetUsage::create({ .outstanding = mForwarder->outstanding() }));
}

SessionLease
AgentService::lease() const
{
  return { .mSession = mControlLink->session(), .mLeaseUntil = mControlLink->leaseUntil() };
}

void
AgentService::onLeaseChanged()
{
  if (mFinished) {
    return;
  }
  if (mTaskRunner) {
    mTaskRunner->onLeaseChanged(lease());
  }
  sendStatus();
}

void
AgentService::onControlMessage(const Message& aMessage)
{
  const auto findEntry = [this](const std::string& aName) {
    return mControlLink->catalogue().findEntry(aName);
  };
  if (!mTaskRunner || !mTaskRunner->handle(aMessage, findEntry)) {
    logWarning("unexpected message from control", { { "type", typeName(aMessage) } });
  }
}

void
AgentService::onGatewayMessage(MessageConnection& aConnection, const Message& aMessage)
{
  const RequestDispatch* dispatch = std::get_if<RequestDispatch>(&aMessage);
  if (dispatch == nullptr || !mForwarder) {
    logWarning("unexpected message from a gateway",
               { { "peer", aConnection.peer() }, { "type", typeName(aMessage) } });
    aConnection.close("unexpected message type");
    return;
  }
  // If the gateway disconnects, its request still runs to completion and the reply is dropped.
  const std::weak_ptr<MessageConnection> gateway = aConnection.weak_from_this();
  const auto reply = [gateway](const Message& aReply) {
    if (const MessageConnectionPointer connection = gateway.lock()) {
      connection->send(aReply);
    }
  };
  mForwarder->dispatch(
    *dispatch, lease(), mControlLink->catalogue().findEntry(dispatch->entryName()), reply);
}

AgentStatus
AgentService::status() const
{
  return valueOf(AgentStatus::create({ .clockMs = mLoop.now().ms(),
                                       .session = mControlLink ? mControlLink->session() : 0,
                                       .outstanding = mForwarder ? mForwarder->outstanding() : 0,
                                       .slots = mForwarder ? mForwarder->slots() : 0,
                                       .leaving = mShutdownStartedAt.has_value() }));
}

void
AgentService::sendStatus()
{
  const AgentStatus message = status();
  // Copied because send() may close a connection, which changes the server's set.
  const auto connections = mMessageServer->connections();
  for (const MessageConnectionPointer& connection : connections) {
    connection->send(message);
  }
}

void
AgentService::tick()
{
  if (mTaskRunner) {
    mTaskRunner->tick();
  }
  sendStatus();
}

void
AgentService::beginShutdown()
{
  if (mShutdownStartedAt) {
    return;
  }
  logInfo("shutdown started");
  mShutdownStartedAt = mLoop.now();
  if (mForwarder) {
    mForwarder->beginShutdown();
  }
  if (mTaskRunner) {
    mTaskRunner->beginShutdown();
  }
  mControlLink->sendHeartbeat();
  sendStatus();
  mShutdownTimer = mLoop.runEvery(kShutdownCheckIntervalMs, [this]() {
    const std::int64_t elapsedMs = mLoop.now().msSince(*mShutdownStartedAt);
    // Gateways keep sending requests until they learn of the shutdown. Those requests must be
    // refused rather than lost with the connection.
    const bool isAnnounced = elapsedMs >= 2 * mSettings.lease().heartbeatMs();
    if (isAnnounced && !hasWork()) {
      finishShutdown(false);
    } else if (elapsedMs >= mSettings.shutdownMs()) {
      finishShutdown(true);
    }
  });
}

bool
AgentService::hasWork() const
{
  if (mTaskRunner) {
    return mTaskRunner->isClaimed() && !mTaskRunner->isIdle();
  }
  const auto isUnsent = [](const MessageConnectionPointer& aConnection) {
    return aConnection->isOpen() && aConnection->unsentBytes() > 0;
  };
  const auto& connections = mMessageServer->connections();
  return mForwarder->outstanding() > 0 ||
         std::any_of(connections.begin(), connections.end(), isUnsent);
}

void
AgentService::finishShutdown(bool aAborted)
{
  if (mFinished) {
    return;
  }
  mFinished = true;
  mAborted = aAborted;
  logInfo("shutdown finished", { { "cutOff", aAborted } });
  // This may run inside a callback of one of these objects, so they are not destroyed before the
  // event loop has stopped.
  mControlLink->close();
  mMessageServer->stopAccepting();
  mFlushTimer = mLoop.runAt(mLoop.now().plusMs(kFlushDelayMs), [this]() { mLoop.stop(); });
}

void
AgentService::answerHttp(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  const auto answer = [&aResponder](int aStatus, const std::string& aBody) {
    aResponder->answer(valueOf(HttpAnswer::create({ .status = aStatus, .body = aBody })));
  };
  if (aRequest.mPath == "/metrics") {
    const bool holdsLease = mControlLink->holdsLease(mLoop.now());
    mMetrics.set("agent_lease_valid", "", holdsLease ? 1 : 0);
    mMetrics.set("agent_control_bytes_sent", "", static_cast<double>(mControlLink->bytesSent()));
    mMetrics.set(
      "agent_control_bytes_received", "", static_cast<double>(mControlLink->bytesReceived()));
    setClientMetrics(mLoop.transfers(), mMetrics);
    answer(kStatusOk, mMetrics.text());
  } else if (aRequest.mPath == "/healthz") {
    answer(mControlLink->holdsLease(mLoop.now()) ? kStatusOk : kStatusUnavailable, "");
  } else {
    answer(kStatusNotFound, "");
  }
}

} // namespace magnoliadrum
