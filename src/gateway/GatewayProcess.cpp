#include "gateway/GatewayProcess.h"

#include "faults/faults.h"
#include "gateway/CallerAnswers.h"
#include "gateway/CallerRequest.h"
#include "gateway/OperatorInterface.h"
#include "observability/observability.h"
#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <string_view>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kTickPeriodMs = 10;

/** Agents send a status every heartbeat period. A target gets no requests after its agent has sent
 * none for this many periods. */
constexpr std::int64_t kMaxMissedStatuses = 3;

/** Interval in heartbeats at which all counters are sent instead of only the changed ones, because
 * a new leader has none and messages may be lost. */
constexpr std::uint64_t kHeartbeatsPerFullReport = 20;

constexpr std::int64_t kOperatorTimeoutMs = 10000;
constexpr std::size_t kMaxPendingOperatorRequests = 256;

/**
 * Margin of the HTTP server's body limit over the setting maxBodyBytes. The server closes the
 * connection without an answer when its limit is exceeded. With the margin, a caller whose body is
 * slightly too large gets an answer, and operators' requests fit whatever the setting is.
 */
constexpr std::size_t kBodyMarginBytes = std::size_t{ 1024 } * 1024;

/** Time during which the end of an intent is resent to control. After that the intent stays open
 * and an operator must settle it. */
constexpr std::int64_t kIntentEndTimeoutMs = 60000;

/** Delay before the process exits, so that the last responses leave the socket buffers. */
constexpr std::int64_t kFlushDelayMs = 250;

std::vector<std::uint64_t>
randomSeeds()
{
  constexpr std::size_t kSeedCount = 8;
  std::random_device device;
  std::vector<std::uint64_t> seeds(kSeedCount);
  std::generate(seeds.begin(), seeds.end(), [&]() { return device(); });
  return seeds;
}

RandomEngine
randomEngine()
{
  const std::vector<std::uint64_t> seeds = randomSeeds();
  std::seed_seq sequence(seeds.begin(), seeds.end());
  return RandomEngine(sequence);
}

Hello
ownHello(const GatewaySettings& aSettings, const std::string& aIncarnation)
{
  return valueOf(Hello::create({ .processKind = ProcessKind::eGateway,
                                 .processId = aSettings.processId(),
                                 .incarnation = aIncarnation }));
}

} // namespace

Result<std::unique_ptr<GatewayProcess>>
GatewayProcess::start(EventLoop& aLoop, GatewaySettings aSettings)
{
  std::unique_ptr<GatewayProcess> process(
    new GatewayProcess(aLoop, std::move(aSettings), newIncarnation()));
  GatewayProcess* self = process.get();
  const std::size_t bodyBytes =
    static_cast<std::size_t>(self->mSettings.maxBodyBytes()) + kBodyMarginBytes;
  Result<std::unique_ptr<HttpServer>> server =
    HttpServer::listen(aLoop,
                       self->mSettings.httpAddress(),
                       bodyBytes,
                       [self](HttpRequest aRequest, const HttpResponderPointer& aResponder) {
                         self->onHttpRequest(std::move(aRequest), aResponder);
                       });
  if (!isOk(server)) {
    return errorOf(server);
  }
  self->mServer = takeValue(std::move(server));
  self->mTickTimer = aLoop.runEvery(kTickPeriodMs, [self]() { self->onTick(); });
  self->mControlLink->start();
  logInfo("gateway started", { { "address", self->mSettings.httpAddress() } });
  return process;
}

GatewayProcess::GatewayProcess(EventLoop& aLoop,
                               GatewaySettings aSettings,
                               std::string aIncarnation)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mIncarnation(std::move(aIncarnation))
  , mControlLink(createControlLink())
  , mRouter({ .mIncarnation = mIncarnation,
              .mQueueLength = static_cast<std::size_t>(mSettings.queueLength()),
              .mRetryShare = mSettings.retryBudgetShare(),
              .mAgentSilenceMs = mSettings.lease().heartbeatMs() * kMaxMissedStatuses },
            randomEngine(),
            *this)
  , mAgents(aLoop, ownHello(mSettings, mIncarnation), agentHandlers())
{
}

std::unique_ptr<ControlLink>
GatewayProcess::createControlLink()
{
  ControlLinkHandlers handlers;
  handlers.fillOpen = [](SessionOpen::Fields& /*aFields*/) { return true; };
  handlers.fillHeartbeat = [this](SessionHeartbeat::Fields& aFields) { fillHeartbeat(aFields); };
  handlers.onCatalogue = [this]() { mRouter.setCatalogue(mControlLink->catalogue()); };
  handlers.onTargets = [this]() {
    mRouter.setTargets(mControlLink->targets(), mLoop.now());
    mAgents.setTargets(mControlLink->targets(), mLoop.now());
  };
  return ControlLink::create(mLoop,
                             { .mProcessKind = ProcessKind::eGateway,
                               .mProcessId = mSettings.processId(),
                               .mIncarnation = mIncarnation,
                               .mControlAddresses = controlAddresses(mSettings),
                               .mLeaseMs = mSettings.lease().leaseMs(),
                               .mHeartbeatMs = mSettings.lease().heartbeatMs(),
                               .mSilenceMs = mSettings.lease().leaderSilenceMs() },
                             std::move(handlers));
}

AgentConnectionHandlers
GatewayProcess::agentHandlers()
{
  AgentConnectionHandlers handlers;
  handlers.onOpen = [this](const std::string& aTargetId, std::uint64_t aConnection) {
    mRouter.connectionOpened(aTargetId, aConnection);
  };
  handlers.onMessage = [this](std::uint64_t aConnection, const Message& aMessage) {
    updateRouterLease();
    mRouter.agentMessage(aConnection, aMessage, mLoop.now());
  };
  handlers.onLost = [this](std::uint64_t aConnection) {
    updateRouterLease();
    mRouter.connectionLost(aConnection, mLoop.now());
  };
  return handlers;
}

void
GatewayProcess::respond(std::uint64_t aRequest, const HttpAnswer& aAnswer)
{
  const auto position = mResponders.find(aRequest);
  if (position == mResponders.end()) {
    return;
  }
  faultPoint("gateway.respond");
  const HttpResponderPointer responder = position->second;
  mResponders.erase(position);
  responder->answer(aAnswer);
}

bool
GatewayProcess::dispatch(std::uint64_t aConnection, const RequestDispatch& aMessage)
{
  const bool isSent = mAgents.send(aConnection, Message(aMessage));
  faultPoint("gateway.dispatch.sent");
  return isSent;
}

void
GatewayProcess::beginIntent(std::uint64_t aRequest, const IntentBegin& aMessage, Deadline aDeadline)
{
  mControlLink->call(
    Message(aMessage), aDeadline, [this, aRequest](const Result<Message>& aAnswer) {
      updateRouterLease();
      if (!isOk(aAnswer)) {
        mRouter.intentAnswered(aRequest, errorOf(aAnswer), mLoop.now());
        return;
      }
      const IntentStatus* status = std::get_if<IntentStatus>(&valueOf(aAnswer));
      if (status != nullptr) {
        faultPoint("gateway.intent.answered");
        mRouter.intentAnswered(aRequest, *status, mLoop.now());
        return;
      }
      mRouter.intentAnswered(
        aRequest,
        Error::create(ErrorCode::eInvalid, "begin intent", "control", "unexpected reply"),
        mLoop.now());
    });
}

void
GatewayProcess::endIntent(std::uint64_t aRequest, const IntentEnd& aMessage)
{
  faultPoint("gateway.intent.end");
  const Deadline deadline = mLoop.now().plusMs(kIntentEndTimeoutMs);
  mControlLink->call(Message(aMessage), deadline, [this, aRequest](const Result<Message>& aAnswer) {
    if (!isOk(aAnswer)) {
      logWarning("failed to record the end of an intent", errorOf(aAnswer));
    }
    mRouter.intentEnded(aRequest);
  });
}

void
GatewayProcess::onHttpRequest(HttpRequest aRequest, const HttpResponderPointer& aResponder)
{
  if (aRequest.mPath.starts_with(kCallPathPrefix)) {
    onCallerRequest(std::move(aRequest), aResponder);
  } else if (aRequest.mPath.starts_with(kOperatorPathPrefix)) {
    onOperatorRequest(aRequest, aResponder);
  } else if (aRequest.mPath == "/metrics") {
    aResponder->answer(metricsAnswer());
  } else if (aRequest.mPath == "/healthz") {
    aResponder->answer(healthAnswer());
  } else {
    aResponder->answer(errorAnswer(
      kStatusNotFound,
      Error::create(ErrorCode::eNotFound, "read request", aRequest.mPeer, "unknown path")));
  }
}

void
GatewayProcess::onCallerRequest(HttpRequest&& aRequest, const HttpResponderPointer& aResponder)
{
  const MonotonicTime now = mLoop.now();
  Result<CallerRequest> call =
    readCallerRequest(std::move(aRequest), earliestArrival(), mSettings.defaultDeadlineMs());
  if (!isOk(call)) {
    aResponder->answer(refusalAnswer(RefusalReason::eInvalidRequest, errorOf(call).detail()));
    return;
  }
  if (valueOf(call).mBody.size() > static_cast<std::size_t>(mSettings.maxBodyBytes())) {
    aResponder->answer(bodyTooLargeAnswer(mSettings.maxBodyBytes()));
    return;
  }
  const std::uint64_t number = mRouter.nextRequest();
  mResponders.emplace(number, aResponder);
  aResponder->onGone([this, number]() {
    mResponders.erase(number);
    mRouter.callerGone(number, mLoop.now());
  });
  updateRouterLease();
  mRouter.submit(number, takeValue(std::move(call)), now);
}

void
GatewayProcess::onOperatorRequest(const HttpRequest& aRequest,
                                  const HttpResponderPointer& aResponder)
{
  const std::string requestId =
    mIncarnation + "/operator/" + std::to_string(++mLastOperatorRequest);
  const std::variant<Message, HttpAnswer> read = readOperatorRequest(aRequest, requestId);
  if (const HttpAnswer* answer = std::get_if<HttpAnswer>(&read)) {
    aResponder->answer(*answer);
    return;
  }
  if (mStopping || mPendingOperatorRequests >= kMaxPendingOperatorRequests) {
    const std::string detail =
      mStopping ? "gateway is shutting down" : "too many operator requests in progress";
    aResponder->answer(errorAnswer(
      kStatusUnavailable,
      Error::create(ErrorCode::eRefused, "operator request", mSettings.processId(), detail)));
    return;
  }
  mPendingOperatorRequests++;
  const Message controlRequest = std::get<Message>(read);
  const Deadline deadline = mLoop.now().plusMs(kOperatorTimeoutMs);
  mControlLink->call(
    controlRequest, deadline, [this, controlRequest, aResponder](const Result<Message>& aAnswer) {
      mPendingOperatorRequests--;
      aResponder->answer(operatorAnswer(controlRequest, aAnswer));
    });
}

HttpAnswer
GatewayProcess::metricsAnswer()
{
  MetricsRegistry metrics;
  mRouter.writeMetrics(metrics);
  setClientMetrics(mLoop.transfers(), metrics);
  const bool holdsLease = mControlLink->holdsLease(mLoop.now());
  metrics.set("gateway_lease_held", "", holdsLease ? 1 : 0);
  metrics.set(
    "gateway_catalogue_version", "", static_cast<double>(mControlLink->catalogue().version()));
  return textAnswer(kStatusOk, "text/plain; version=0.0.4", metrics.text());
}

HttpAnswer
GatewayProcess::healthAnswer() const
{
  if (mStopping) {
    return textAnswer(kStatusUnavailable, "text/plain", "shutting down\n");
  }
  if (!mControlLink->holdsLease(mLoop.now())) {
    return textAnswer(kStatusUnavailable, "text/plain", "no lease\n");
  }
  return textAnswer(kStatusOk, "text/plain", "ok\n");
}

void
GatewayProcess::updateRouterLease()
{
  const bool isHeld = mControlLink->holdsLease(mLoop.now());
  mRouter.setLease({ isHeld, !isHeld && mControlLink->session() != 0 });
}

void
GatewayProcess::onTick()
{
  const MonotonicTime now = mLoop.now();
  mStandstills.onTick(now);
  updateRouterLease();
  mRouter.tick(now);
  mAgents.tick(now, [this](std::uint64_t aConnection) { return mRouter.isInUse(aConnection); });
  if (mStopping) {
    continueShutdown(now);
  }
}

void
GatewayProcess::fillHeartbeat(SessionHeartbeat::Fields& aFields)
{
  aFields.counters = mRouter.statistics().report(mHeartbeatCount % kHeartbeatsPerFullReport == 0);
  mHeartbeatCount++;
}

void
GatewayProcess::call(const Message& aMessage,
                     Deadline aDeadline,
                     ControlLink::CallCallback aCallback)
{
  mControlLink->call(aMessage, aDeadline, std::move(aCallback));
}

void
GatewayProcess::beginShutdown()
{
  if (mStopping) {
    return;
  }
  logInfo("shutdown started");
  mStopping = true;
  mShutdownDeadline = mLoop.now().plusMs(mSettings.shutdownMs());
  mRouter.beginShutdown();
  mServer->stopAccepting();
}

void
GatewayProcess::continueShutdown(MonotonicTime aNow)
{
  const bool isIdle = mRouter.isIdle() && mPendingOperatorRequests == 0 && mAreOthersIdle();
  if (!isIdle && !mShutdownTimedOut) {
    mIdleSince.reset();
  } else if (!mIdleSince) {
    mIdleSince = aNow;
  }
  if (!isIdle && !mShutdownTimedOut && aNow >= mShutdownDeadline) {
    logError("shutdown timed out, aborting requests",
             { { "operatorRequests", mPendingOperatorRequests } });
    mShutdownTimedOut = true;
    mIdleSince = aNow;
    mRouter.cutOff(aNow);
  }
  const bool isFlushed = mIdleSince && aNow.msSince(*mIdleSince) >= kFlushDelayMs;
  if (!isFlushed) {
    return;
  }
  mTickTimer.reset();
  mControlLink->sendHeartbeat();
  mControlLink->close();
  logInfo("shutdown finished");
  mLoop.stop();
}

} // namespace magnoliadrum
