#include "control/ControlProcess.h"

#include "observability/observability.h"
#include "session/Incarnation.h"
#include "session/RequestAnswers.h"
#include "settings/settings.h"
#include "state/BuildValue.h"

#include <random>
#include <utility>

namespace magnoliadrum {

namespace {
/** Connection id of the requests that this process makes with call(). */
constexpr ConnectionId kLocalConnection = 0;
/** Small, because requests to the metrics endpoint have no body. */
constexpr std::size_t kMaxMetricsBody = 1024;
/** Time to write the refusals that name the new leader to the sockets before the process ends. */
constexpr std::int64_t kShutdownFlushMs = 50;
constexpr std::int64_t kHttpOk = 200;
constexpr std::int64_t kHttpNotFound = 404;
constexpr std::int64_t kHttpUnavailable = 503;
} // namespace

ControlProcess::ControlProcess(EventLoop& aLoop,
                               const ControlSettings& aSettings,
                               ControlState& aState,
                               CommandLog& aLog)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mLog(aLog)
  , mService(ControlContext{ aState,
                             aLog,
                             *this,
                             aSettings,
                             [&aLoop]() { return aLoop.now(); },
                             []() { return wallClockMs(); } },
             std::random_device()())
{
}

Result<std::unique_ptr<ControlProcess>>
ControlProcess::start(EventLoop& aLoop,
                      const ControlSettings& aSettings,
                      ControlState& aState,
                      CommandLog& aLog)
{
  std::unique_ptr<ControlProcess> process(new ControlProcess(aLoop, aSettings, aState, aLog));
  const Result<Done> listening = process->listen();
  if (!isOk(listening)) {
    return errorOf(listening);
  }
  process->mTickTimer =
    aLoop.runEvery(ControlService::kTickMs, [self = process.get()]() { self->mService.tick(); });
  return process;
}

Result<Done>
ControlProcess::listen()
{
  const Hello hello = buildValue<Hello>({ .processKind = ProcessKind::eControl,
                                          .processId = mSettings.processId(),
                                          .incarnation = newIncarnation() });
  MessageHandlers handlers;
  handlers.onOpen = [this](MessageConnection& aConnection) { connectionIdOf(aConnection); };
  handlers.onMessage = [this](MessageConnection& aConnection, const Message& aMessage) {
    mService.onMessage(connectionIdOf(aConnection), aMessage);
  };
  handlers.onClosed = [this](MessageConnection& aConnection, const Error& aError) {
    logDebug("connection closed", { { "peer", aError.peer() }, { "detail", aError.detail() } });
    onClosed(aConnection);
  };
  auto server = MessageServer::listen(mLoop, mSettings.listenAddress(), hello, handlers);
  if (!isOk(server)) {
    return errorOf(server);
  }
  mServer = takeValue(std::move(server));
  if (mSettings.metricsAddress().empty()) {
    return Done{};
  }
  auto httpServer =
    HttpServer::listen(mLoop,
                       mSettings.metricsAddress(),
                       kMaxMetricsBody,
                       [this](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
                         handleHttp(aRequest, *aResponder);
                       });
  if (!isOk(httpServer)) {
    return errorOf(httpServer);
  }
  mHttpServer = takeValue(std::move(httpServer));
  return Done{};
}

ConnectionId
ControlProcess::connectionIdOf(MessageConnection& aConnection)
{
  const auto position = mConnectionIds.find(&aConnection);
  if (position != mConnectionIds.end()) {
    return position->second;
  }
  const ConnectionId id = mNextConnection++;
  mConnectionIds.emplace(&aConnection, id);
  mConnections.emplace(id, aConnection.weak_from_this());
  return id;
}

void
ControlProcess::onClosed(MessageConnection& aConnection)
{
  const auto position = mConnectionIds.find(&aConnection);
  if (position == mConnectionIds.end()) {
    return;
  }
  const ConnectionId id = position->second;
  mConnectionIds.erase(position);
  mConnections.erase(id);
  mService.onConnectionClosed(id);
}

void
ControlProcess::call(const Message& aMessage, Deadline aDeadline, CallCallback aCallback)
{
  const std::string requestId = requestIdOf(aMessage);
  LocalCall& call = mCalls[requestId];
  call.callback = std::move(aCallback);
  call.timeout = mLoop.runAt(aDeadline, [this, requestId]() {
    completeCall(buildValue<OperationFailed>({ .requestId = requestId,
                                               .code = FailureCode::eTimeout,
                                               .step = "control.call",
                                               .peer = mSettings.processId(),
                                               .detail = "no answer before the deadline" }));
  });
  mService.onMessage(kLocalConnection, aMessage);
}

bool
ControlProcess::completeCall(const Message& aMessage)
{
  const auto position = mCalls.find(requestIdOf(aMessage));
  if (position == mCalls.end()) {
    return false;
  }
  // The timeout's callback may be what is running now, so its handle is destroyed later.
  const auto call = mCalls.extract(position);
  mLoop.post(
    [timeout = std::make_shared<EventHandlePointer>(std::move(call.mapped().timeout))]() {});
  call.mapped().callback(aMessage);
  return true;
}

bool
ControlProcess::send(ConnectionId aConnection, const Message& aMessage)
{
  if (aConnection == kLocalConnection) {
    return completeCall(aMessage);
  }
  const auto position = mConnections.find(aConnection);
  const MessageConnectionPointer connection =
    position != mConnections.end() ? position->second.lock() : nullptr;
  const bool isSent = connection != nullptr && connection->send(aMessage);
  if (!isSent && connection != nullptr && connection->isOpen()) {
    logError("message not sent: it exceeds the message limit",
             { { "peer", connection->peer() }, { "bytes", encodeMessage(aMessage).size() } });
  }
  return isSent;
}

void
ControlProcess::close(ConnectionId aConnection, const std::string& aReason)
{
  const auto position = mConnections.find(aConnection);
  const MessageConnectionPointer connection =
    position != mConnections.end() ? position->second.lock() : nullptr;
  if (connection == nullptr) {
    return;
  }
  connection->close(aReason);
  // close() does not call onClosed, so the connection is removed here, after the current callback.
  mLoop.post([this, connection]() { onClosed(*connection); });
}

void
ControlProcess::handleHttp(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  HttpAnswer::Fields answer{ .status = kHttpNotFound };
  if (aRequest.mPath == "/metrics") {
    answer.status = kHttpOk;
    MetricsRegistry clients;
    setClientMetrics(mLoop.transfers(), clients);
    answer.body = mService.metricsText() + clients.text();
  } else if (aRequest.mPath == "/healthz") {
    const bool healthy = !mLog.leaderAddress().empty() && !mShuttingDown;
    answer.status = healthy ? kHttpOk : kHttpUnavailable;
    answer.body = healthy ? "ok\n" : "no leader is known\n";
  }
  aResponder.answer(buildValue<HttpAnswer>(std::move(answer)));
}

void
ControlProcess::shutDown()
{
  if (std::exchange(mShuttingDown, true)) {
    return;
  }
  logInfo("shutting down");
  mLog.stepDown([this](const Result<Done>& aResult) {
    if (!isOk(aResult)) {
      logWarning("leadership transfer failed", errorOf(aResult));
    }
    mServer->stopAccepting();
    mStopTimer = mLoop.runAt(mLoop.now().plusMs(kShutdownFlushMs), [this]() { mLoop.stop(); });
  });
}

} // namespace magnoliadrum
