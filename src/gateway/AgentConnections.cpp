#include "gateway/AgentConnections.h"

#include "observability/observability.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMinBackoffMs = 100;
constexpr std::int64_t kMaxBackoffMs = 2000;

/** An agent that has this much unread gets no further requests until it has read some. */
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
    Peer& peer = mPeers[target.targetId()];
    if (peer.mAddress != target.agentAddress()) {
      // The old connection stays until its requests are over.
      peer = Peer{ .mAddress = target.agentAddress(), .mConnectAt = aNow };
    }
  }
  std::erase_if(mPeers, [&](const auto& aItem) { return !announced.contains(aItem.first); });
  for (auto& [id, peer] : mPeers) {
    if (peer.mConnection == 0 && peer.mConnectAt <= aNow) {
      connect(id, peer, aNow);
    }
  }
}

void
AgentConnections::connect(const std::string& aTargetId, Peer& aPeer, MonotonicTime aNow)
{
  const std::uint64_t number = ++mLastConnection;
  MessageHandlers handlers;
  handlers.onOpen = [this, number](MessageConnection& aLink) { onOpen(number, aLink); };
  handlers.onMessage = [this, number](MessageConnection& /*aLink*/, const Message& aMessage) {
    mHandlers.onMessage(number, aMessage);
  };
  handlers.onClosed = [this, number](MessageConnection& /*aLink*/, const Error& aError) {
    logDebug("agent connection lost", { { "peer", aError.peer() }, { "detail", aError.detail() } });
    // The transport may report this from within send(), whose caller must see its result first.
    mLoop.post([this, number]() { onClosed(number); });
  };
  Result<MessageConnectionPointer> link =
    MessageConnection::connect(mLoop, aPeer.mAddress, mOwnHello, handlers);
  if (!isOk(link)) {
    logWarning("agent connection failed", errorOf(link));
    backOff(aPeer, aNow);
    return;
  }
  aPeer.mConnection = number;
  mConnections.emplace(number, Connection{ aTargetId, takeValue(std::move(link)), false });
}

void
AgentConnections::backOff(Peer& aPeer, MonotonicTime aNow)
{
  aPeer.mConnection = 0;
  aPeer.mBackoffMs = std::clamp(aPeer.mBackoffMs * 2, kMinBackoffMs, kMaxBackoffMs);
  aPeer.mConnectAt = aNow.plusMs(aPeer.mBackoffMs);
}

void
AgentConnections::onOpen(std::uint64_t aConnection, MessageConnection& aLink)
{
  const auto position = mConnections.find(aConnection);
  if (position == mConnections.end()) {
    return;
  }
  Connection& connection = position->second;
  const std::string& processId = aLink.peerHello().processId();
  if (aLink.peerHello().processKind() != ProcessKind::eAgent || processId != connection.mTargetId) {
    // The address belongs to another process now; a request must not reach it.
    logWarning("another process answers at the agent's address",
               { { "target", connection.mTargetId }, { "peer", aLink.peer() } });
    aLink.close("not the expected agent");
    mLoop.post([this, aConnection]() { onClosed(aConnection); });
    return;
  }
  const auto peer = mPeers.find(connection.mTargetId);
  if (peer == mPeers.end() || peer->second.mConnection != aConnection) {
    return;
  }
  peer->second.mBackoffMs = 0;
  connection.mOpened = true;
  logInfo("agent connected", { { "target", connection.mTargetId }, { "peer", aLink.peer() } });
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
  const auto peer = mPeers.find(connection.mTargetId);
  if (peer != mPeers.end() && peer->second.mConnection == aConnection) {
    backOff(peer->second, mLoop.now());
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
  const MessageConnectionPointer link = position->second.mLink;
  return link->isOpen() && link->unsentBytes() <= kMaxUnsentRequestBytes && link->send(aMessage);
}

void
AgentConnections::tick(MonotonicTime aNow, const std::function<bool(std::uint64_t)>& aIsInUse)
{
  for (auto& [id, peer] : mPeers) {
    if (peer.mConnection == 0 && peer.mConnectAt <= aNow) {
      connect(id, peer, aNow);
    }
  }
  std::vector<std::uint64_t> unused;
  for (const auto& [number, connection] : mConnections) {
    const auto peer = mPeers.find(connection.mTargetId);
    const bool isCurrent = peer != mPeers.end() && peer->second.mConnection == number;
    if (!isCurrent && !aIsInUse(number)) {
      unused.push_back(number);
    }
  }
  for (const std::uint64_t number : unused) {
    mConnections.at(number).mLink->close("target is not announced any more");
    onClosed(number);
  }
}

} // namespace magnoliadrum
