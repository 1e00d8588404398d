#include "session/ControlLink.h"

#include "observability/observability.h"
#include "session/RequestAnswers.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace magnoliadrum {

namespace {

/** Delay before the next connection attempt: short compared with a lease, but long enough not to
 * overload a replica that is starting. */
constexpr std::int64_t kReconnectDelayMs = 100;

/** The default leader timeout is the lease divided by this, so that another leader can renew the
 * lease before it ends. */
constexpr std::int64_t kLeaderTimeoutDivisor = 3;

/** The next address is tried when a connection is not open after this time, because a VM without
 * power does not refuse connections. The timeout doubles with each attempt that exceeds it, so that
 * a leader can work through many processes that connect at once. */
constexpr std::int64_t kInitialConnectTimeoutMs = 400;
constexpr std::int64_t kMaxConnectTimeoutMs = 3200;

} // namespace

ControlLink::ControlLink(EventLoop& aLoop,
                         ControlLinkOptions aOptions,
                         ControlLinkHandlers aHandlers)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHandlers(std::move(aHandlers))
  , mConnectTimeoutMs(kInitialConnectTimeoutMs)
{
  mAddresses.setConfigured(mOptions.mControlAddresses);
  assert(!mAddresses.isEmpty());
  assert(mHandlers.fillOpen && mHandlers.fillHeartbeat);
}

std::unique_ptr<ControlLink>
ControlLink::create(EventLoop& aLoop, ControlLinkOptions aOptions, ControlLinkHandlers aHandlers)
{
  return std::unique_ptr<ControlLink>(
    new ControlLink(aLoop, std::move(aOptions), std::move(aHandlers)));
}

void
ControlLink::setControlAddresses(std::vector<std::string> aAddresses)
{
  assert(!aAddresses.empty());
  mAddresses.setConfigured(std::move(aAddresses));
}

void
ControlLink::start()
{
  mHeartbeatTimer = mLoop.runEvery(mOptions.mHeartbeatMs, [this]() { onHeartbeatTimer(); });
  connect();
}

void
ControlLink::connect()
{
  std::string address = std::exchange(mLeaderAddressHint, "");
  if (address.empty()) {
    address = takeNextAddress();
  }
  const Hello hello = valueOf(Hello::create({ .processKind = mOptions.mProcessKind,
                                              .processId = mOptions.mProcessId,
                                              .incarnation = mOptions.mIncarnation }));
  MessageHandlers handlers;
  handlers.onOpen = [this](MessageConnection& /*aConnection*/) { sendSessionOpen(); };
  handlers.onMessage = [this](MessageConnection& /*aConnection*/, const Message& aMessage) {
    mLastReceived = mLoop.now();
    onMessage(aMessage);
  };
  handlers.onClosed = [this](MessageConnection& /*aConnection*/, const Error& aError) {
    logDebug("control connection lost",
             { { "peer", aError.peer() }, { "detail", aError.detail() } });
    dropConnection("lost");
  };
  mLastReceived = mLoop.now();
  Result<MessageConnectionPointer> connection =
    MessageConnection::connect(mLoop, address, hello, handlers);
  if (!isOk(connection)) {
    logWarning("cannot connect to a control replica", errorOf(connection));
    scheduleReconnect();
    return;
  }
  mConnection = takeValue(std::move(connection));
  mConnectTimer = mLoop.runAt(mLoop.now().plusMs(mConnectTimeoutMs), [this]() {
    if (mConnection != nullptr && !mConnection->isOpen()) {
      mConnectTimeoutMs = std::min(mConnectTimeoutMs * 2, kMaxConnectTimeoutMs);
      logInfo("connecting to a control replica timed out", { { "peer", mConnection->peer() } });
      dropConnection("no answer");
    }
  });
}

std::string
ControlLink::takeNextAddress()
{
  if (mAddresses.hasTriedAll()) {
    mAddresses.beginRound();
    const std::vector<std::string> addresses =
      mReadAddresses ? mReadAddresses() : std::vector<std::string>();
    if (!addresses.empty() && addresses != mAddresses.configured()) {
      logInfo("control addresses taken from the changed settings file",
              { { "count", addresses.size() }, { "first", addresses.front() } });
      mAddresses.setConfigured(addresses);
    }
  }
  return mAddresses.takeNext();
}

void
ControlLink::scheduleReconnect()
{
  if (!mClosed) {
    mReconnectTimer = mLoop.runAt(mLoop.now().plusMs(kReconnectDelayMs), [this]() { connect(); });
  }
}

void
ControlLink::dropConnection(const std::string& aReason)
{
  mSessionGranted = false;
  mSessionOpenSent = false;
  if (mConnection == nullptr) {
    return;
  }
  const MessageConnectionPointer connection = std::exchange(mConnection, nullptr);
  mClosedConnectionBytesSent += connection->bytesSent();
  mClosedConnectionBytesReceived += connection->bytesReceived();
  connection->close(aReason);
  scheduleReconnect();
}

void
ControlLink::reconnectToLeader(const std::string& aLeaderAddress)
{
  mLeaderAddressHint = aLeaderAddress;
  dropConnection("not the leader");
}

void
ControlLink::sendSessionOpen()
{
  if (mConnection == nullptr || !mConnection->isOpen() || mSessionOpenSent) {
    return;
  }
  SessionOpen::Fields fields{ .processId = mOptions.mProcessId,
                              .processKind = mOptions.mProcessKind,
                              .incarnation = mOptions.mIncarnation,
                              .sentAtMs = mLoop.now().ms() };
  if (!mHandlers.fillOpen(fields)) {
    return;
  }
  const Result<SessionOpen> message = SessionOpen::create(std::move(fields));
  if (!isOk(message)) {
    logError("cannot create the message that opens the session", errorOf(message));
    return;
  }
  mSessionOpenSent = mConnection->send(valueOf(message));
}

void
ControlLink::onHeartbeatTimer()
{
  if (mClosed || mConnection == nullptr) {
    return;
  }
  const std::int64_t baseTimeoutMs =
    mOptions.mSilenceMs > 0 ? mOptions.mSilenceMs : mOptions.mLeaseMs / kLeaderTimeoutDivisor;
  const std::int64_t leaderTimeoutMs = std::max(baseTimeoutMs, mOptions.mHeartbeatMs * 2);
  if (mLoop.now().msSince(mLastReceived) > leaderTimeoutMs) {
    logWarning("control replica has sent nothing within the leader timeout",
               { { "peer", mConnection->peer() } });
    dropConnection("silent");
    return;
  }
  if (!mSessionGranted) {
    sendSessionOpen();
    return;
  }
  sendHeartbeat();
}

void
ControlLink::sendHeartbeat()
{
  if (!mSessionGranted || mConnection == nullptr) {
    return;
  }
  SessionHeartbeat::Fields fields{ .session = mSession,
                                   .processId = mOptions.mProcessId,
                                   .sentAtMs = mLoop.now().ms(),
                                   .catalogueVersion = mCatalogue.version(),
                                   .targetVersion = mTargetVersion };
  mHandlers.fillHeartbeat(fields);
  const Result<SessionHeartbeat> message = SessionHeartbeat::create(std::move(fields));
  if (!isOk(message)) {
    logError("cannot create the heartbeat message", errorOf(message));
    return;
  }
  mConnection->send(valueOf(message));
}

void
ControlLink::onMessage(const Message& aMessage)
{
  if (const SessionGranted* granted = std::get_if<SessionGranted>(&aMessage)) {
    onGranted(*granted);
  } else if (const SessionRenewed* renewed = std::get_if<SessionRenewed>(&aMessage)) {
    onRenewed(*renewed);
  } else if (const SessionRefused* refused = std::get_if<SessionRefused>(&aMessage)) {
    onRefused(*refused);
  } else if (const CatalogueUpdate* update = std::get_if<CatalogueUpdate>(&aMessage)) {
    if (mCatalogue.apply(*update) && mHandlers.onCatalogue) {
      mHandlers.onCatalogue();
    }
    // Report the version at once: a change is in force only after the leader knows that this
    // process applies it.
    sendHeartbeat();
  } else if (const TargetUpdate* targets = std::get_if<TargetUpdate>(&aMessage)) {
    onTargetUpdate(*targets);
  } else if (!finishCall(aMessage) && mHandlers.onMessage) {
    mHandlers.onMessage(aMessage);
  }
}

void
ControlLink::onGranted(const SessionGranted& aMessage)
{
  if (aMessage.term() < mTerm) {
    dropConnection("older term");
    return;
  }
  const bool isNew = aMessage.session() != mSession;
  mSessionGranted = true;
  mConnectTimeoutMs = kInitialConnectTimeoutMs;
  mAddresses.onLeaderFound();
  if (!aMessage.replicas().empty()) {
    mAddresses.setLearned(aMessage.replicas());
  }
  if (isNew) {
    mSession = aMessage.session();
    mLeaseUntil = Deadline();
    logInfo("session opened", { { "session", mSession }, { "term", aMessage.term() } });
  }
  extendLease(aMessage.leaseUntilMs(), aMessage.term());
  if (isNew && mHandlers.onSession) {
    mHandlers.onSession(mSession);
  }
  if (mHandlers.onGranted) {
    mHandlers.onGranted();
  }
  resendCalls();
}

void
ControlLink::onRenewed(const SessionRenewed& aMessage)
{
  if (aMessage.session() == mSession) {
    if (!aMessage.replicas().empty() && aMessage.term() >= mTerm) {
      mAddresses.setLearned(aMessage.replicas());
    }
    extendLease(aMessage.leaseUntilMs(), aMessage.term());
  }
}

void
ControlLink::extendLease(std::int64_t aLeaseUntilMs, std::int64_t aTerm)
{
  mTerm = std::max(mTerm, aTerm);
  mLeaseUntil = std::max(mLeaseUntil, Deadline::fromMs(aLeaseUntilMs));
  if (mHandlers.onLease) {
    mHandlers.onLease(mLeaseUntil);
  }
}

void
ControlLink::onRefused(const SessionRefused& aMessage)
{
  if (aMessage.reason() == SessionRefusal::eNotLeader) {
    reconnectToLeader(aMessage.leaderAddress());
    return;
  }
  if (aMessage.reason() == SessionRefusal::eBusy) {
    mSessionOpenSent = false;
    return;
  }
  logWarning("session refused",
             { { "session", aMessage.session() }, { "reason", toText(aMessage.reason()) } });
  if (aMessage.session() == mSession && mSession != 0) {
    mSession = 0;
    mLeaseUntil = Deadline();
    if (mHandlers.onSessionLost) {
      mHandlers.onSessionLost();
    }
  }
  mSessionGranted = false;
  mSessionOpenSent = false;
}

void
ControlLink::onTargetUpdate(const TargetUpdate& aMessage)
{
  const auto current = std::pair(mTargetTerm, mTargetVersion);
  if (std::pair(aMessage.term(), aMessage.version()) <= current) {
    return;
  }
  mTargetTerm = aMessage.term();
  mTargetVersion = aMessage.version();
  mTargets = aMessage.targets();
  if (mHandlers.onTargets) {
    mHandlers.onTargets();
  }
}

std::string
ControlLink::leaderAddress() const
{
  return mSessionGranted && mConnection != nullptr ? mConnection->peer() : "";
}

std::uint64_t
ControlLink::bytesSent() const
{
  return mClosedConnectionBytesSent + (mConnection == nullptr ? 0 : mConnection->bytesSent());
}

std::uint64_t
ControlLink::bytesReceived() const
{
  return mClosedConnectionBytesReceived +
         (mConnection == nullptr ? 0 : mConnection->bytesReceived());
}

bool
ControlLink::send(const Message& aMessage)
{
  return mSessionGranted && mConnection != nullptr && mConnection->send(aMessage);
}

void
ControlLink::call(const Message& aMessage, Deadline aDeadline, CallCallback aCallback)
{
  assert(aCallback);
  const std::string requestId = requestIdOf(aMessage);
  assert(!requestId.empty());
  assert(!mPendingCalls.contains(requestId));
  PendingCall pending{ aMessage, std::move(aCallback), nullptr };
  pending.mDeadlineTimer = mLoop.runAt(aDeadline, [this, requestId]() {
    const bool wasSent = mPendingCalls.at(requestId).mSent;
    failCall(requestId,
             wasSent
               ? Error::create(ErrorCode::eTimeout, "control call", "control", "deadline passed")
               : Error::create(ErrorCode::eNotSent,
                               "control call",
                               "control",
                               "not sent: no leader granted the session before the deadline"));
  });
  sendCall(mPendingCalls.emplace(requestId, std::move(pending)).first->second);
}

void
ControlLink::sendCall(PendingCall& aCall)
{
  const bool isSent = send(aCall.mMessage);
  aCall.mSent = aCall.mSent || isSent;
}

bool
ControlLink::finishCall(const Message& aMessage)
{
  const std::string requestId = requestIdOf(aMessage);
  const auto position = mPendingCalls.find(requestId);
  if (requestId.empty() || position == mPendingCalls.end()) {
    return false;
  }
  const OperationFailed* failed = std::get_if<OperationFailed>(&aMessage);
  if (failed != nullptr && failed->code() == FailureCode::eNotLeader) {
    // The call stays pending and is sent again to the next leader.
    reconnectToLeader(failed->leaderAddress());
    return true;
  }
  if (failed != nullptr) {
    failCall(requestId, toError(*failed));
    return true;
  }
  const CallCallback callback = std::move(position->second.mCallback);
  mPendingCalls.erase(position);
  callback(aMessage);
  return true;
}

void
ControlLink::failCall(const std::string& aRequestId, const Error& aError)
{
  const auto position = mPendingCalls.find(aRequestId);
  if (position == mPendingCalls.end()) {
    return;
  }
  const CallCallback callback = std::move(position->second.mCallback);
  mPendingCalls.erase(position);
  callback(aError);
}

void
ControlLink::resendCalls()
{
  for (auto& [requestId, pending] : mPendingCalls) {
    sendCall(pending);
  }
}

void
ControlLink::close()
{
  if (mSession != 0) {
    send(valueOf(SessionClose::create({ .session = mSession, .processId = mOptions.mProcessId })));
  }
  mClosed = true;
  mSession = 0;
  mLeaseUntil = Deadline();
  mHeartbeatTimer.reset();
  mReconnectTimer.reset();
  dropConnection("closed");
}

} // namespace magnoliadrum
