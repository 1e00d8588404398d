#include "gateway/AgentConnections.h"

#include "observability/observability.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMinBackoffMs = 100;
constexpr std::int64_t kMaxBackoffMs = 2000;

/** No further requests are sent on a connection while more than this waits to be written. */
constexpr std::size_t kMaxUnsentRequestBytes = std::size_t{ 4 } * 1024 * 1024;

} // namespace

AgentConnections::AgentConnections(EventLoop& aLoop,
                                   Hello aOwnHello,
                                   AgentConnectionHandlers aHandlers)
  : mLoop(aLoop)
  , mOwnHello(std::move(aOwnHello))
  , mHandlers(std::move(aHandlers))
{
  assert(mHandlers.onOpen && mHandlers.onMessage && mHandlers.onLost);
}

void
AgentConnections::setTargets(const std::vector<TargetStatus>& aTargets, MonotonicTime aNow)
{
  std::set<std::string> announced;
  for (const TargetStatus& status : aTargets) {
    const TargetDescription& target = status.target();
    announced.insert(target.targetId());
    AgentEndpoint& endpoint = mEndpoints[target.targetId()];
    if (endpoint.mAddress != target.agentAddress()) {
      // The connection to the old address stays open until its requests have ended.
      endpoint = AgentEndpoint{ .mAddress = target.agentAddress(), .mConnectAt = aNow };
    }
  }
  std::erase_if(mEndpoints, [&](const auto& aItem) { return !announced.contains(aItem.first); });
  for (auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mConnection == 0 && endpoint.mConnectAt <= aNow) {
      connect(id, endpoint, aNow);
    }
  }
}

void
AgentConnections::connect(const std::string& aTargetId,
                          AgentEndpoint& aEndpoint,
                          MonotonicTime aNow)
{
  const std::uint64_t number = ++mLastConnection;
  MessageHandlers handlers;
  handlers.onOpen = [this, number](MessageConnection& aMessageConnection) {
    onOpen(number, aMessageConnection);
  };
  handlers.onMessage = [this, number](MessageConnection& /*aMessageConnection*/,
                                      const Message& aMessage) {
    mHandlers.onMessage(number, aMessage);
  };
  handlers.onClosed = [this, number](MessageConnection& /*aMessageConnection*/,
                                     const Error& aError) {
    logDebug("agent connection lost", { { "peer", aError.peer() }, { "detail", aError.detail() } });
    // The transport may call this from within send(), which must return to its caller first.
    mLoop.post([this, number]() { onClosed(number); });
  };
  Result<MessageConnectionPointer> messageConnection =
    MessageConnection::connect(mLoop, aEndpoint.mAddress, mOwnHello, handlers);
  if (!isOk(messageConnection)) {
    logWarning("agent connection failed", errorOf(messageConnection));
    backOff(aEndpoint, aNow);
    return;
  }
  aEndpoint.mConnection = number;
  mConnections.emplace(number,
                       Connection{ aTargetId, takeValue(std::move(messageConnection)), false });
}

void
AgentConnections::backOff(AgentEndpoint& aEndpoint, MonotonicTime aNow)
{
  aEndpoint.mConnection = 0;
  aEndpoint.mBackoffMs = std::clamp(aEndpoint.mBackoffMs * 2, kMinBackoffMs, kMaxBackoffMs);
  aEndpoint.mConnectAt = aNow.plusMs(aEndpoint.mBackoffMs);
}

void
AgentConnections::onOpen(std::uint64_t aConnection, MessageConnection& aMessageConnection)
{
  const auto position = mConnections.find(aConnection);
  if (position == mConnections.end()) {
    return;
  }
  Connection& connection = position->second;
  const std::string& processId = aMessageConnection.peerHello().processId();
  if (aMessageConnection.peerHello().processKind() != ProcessKind::eAgent ||
      processId != connection.mTargetId) {
    // The address now belongs to another process, which must not receive requests.
    logWarning("unexpected process at the agent's address",
               { { "target", connection.mTargetId }, { "peer", aMessageConnection.peer() } });
    aMessageConnection.close("not the expected agent");
    mLoop.post([this, aConnection]() { onClosed(aConnection); });
    return;
  }
  const auto endpoint = mEndpoints.find(connection.mTargetId);
  if (endpoint == mEndpoints.end() || endpoint->second.mConnection != aConnection) {
    return;
  }
  endpoint->second.mBackoffMs = 0;
  connection.mOpened = true;
  logInfo("agent connected",
          { { "target", connection.mTargetId }, { "peer", aMessageConnection.peer() } });
  mHandlers.onOpen(connection.mTargetId, aConnection);
}

void
AgentConnections::onClosed(std::uint64_t aConnection)
{
  const auto position = mConnections.find(aConnection);
  if (position == mConnections.end()) {
    return;
  }
  const Connection connection = position->second;
  mConnections.erase(position);
  const auto endpoint = mEndpoints.find(connection.mTargetId);
  if (endpoint != mEndpoints.end() && endpoint->second.mConnection == aConnection) {
    backOff(endpoint->second, mLoop.now());
  }
  if (connection.mOpened) {
    mHandlers.onLost(aConnection);
  }
}

bool
AgentConnections::send(std::uint64_t aConnection, const Message& aMessage)
{
  const auto position = mConnections.find(aConnection);
  if (position == mConnections.end()) {
    return false;
  }
  const MessageConnectionPointer messageConnection = position->second.mMessageConnection;
  return messageConnection->isOpen() &&
         messageConnection->unsentBytes() <= kMaxUnsentRequestBytes &&
         messageConnection->send(aMessage);
}

void
AgentConnections::tick(MonotonicTime aNow, const std::function<bool(std::uint64_t)>& aIsInUse)
{
  for (auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mConnection == 0 && endpoint.mConnectAt <= aNow) {
      connect(id, endpoint, aNow);
    }
  }
  std::vector<std::uint64_t> unused;
  for (const auto& [number, connection] : mConnections) {
    const auto endpoint = mEndpoints.find(connection.mTargetId);
    const bool isCurrent = endpoint != mEndpoints.end() && endpoint->second.mConnection == number;
    if (!isCurrent && !aIsInUse(number)) {
      unused.push_back(number);
    }
  }
  for (const std::uint64_t number : unused) {
    mConnections.at(number).mMessageConnection->close("target is no longer announced");
    onClosed(number);
  }
}

} // namespace magnoliadrum
