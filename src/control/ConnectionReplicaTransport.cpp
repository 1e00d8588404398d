#include "control/ConnectionReplicaTransport.h"

#include "observability/observability.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/** Minimum time between two attempts to connect to a replica. */
constexpr std::int64_t kMinConnectIntervalMs = 100;

/**
 * Messages kept for a connection that is not open yet. Enough for the requests of an election and
 * the first entries; messages beyond it are dropped and the consensus protocol sends them again.
 */
constexpr std::size_t kMaxQueuedMessages = 16;

/**
 * Messages to a replica that does not read are dropped once this much is unsent. Well below the
 * connection's own limit, at which the connection would be closed.
 */
constexpr std::size_t kMaxUnsentBytesToReplica = std::size_t{ 20 } << 20;

} // namespace

ConnectionReplicaTransport::ConnectionReplicaTransport(EventLoop& aLoop,
                                                       Hello aOwnHello,
                                                       std::int64_t aReplyTimeoutMs)
  : mLoop(aLoop)
  , mOwnHello(std::move(aOwnHello))
  , mReplyTimeoutMs(aReplyTimeoutMs)
{
}

void
ConnectionReplicaTransport::send(const std::string& aAddress, const Message& aMessage)
{
  Peer& peer = mPeers[aAddress];
  const MonotonicTime now = mLoop.now();
  if (peer.awaitingReplySince && now.msSince(*peer.awaitingReplySince) >= mReplyTimeoutMs) {
    disconnect(peer, "no reply within the reply timeout");
  }
  if (!peer.connection) {
    connect(aAddress, peer);
  }
  if (!peer.connection) {
    return;
  }
  peer.awaitingReplySince = peer.awaitingReplySince.value_or(now);
  if (!peer.connection->isOpen()) {
    if (peer.queued.size() < kMaxQueuedMessages) {
      peer.queued.push_back(aMessage);
    }
    return;
  }
  if (peer.connection->unsentBytes() < kMaxUnsentBytesToReplica) {
    peer.connection->send(aMessage);
  }
}

void
ConnectionReplicaTransport::closeConnectionsExcept(const std::vector<std::string>& aAddresses)
{
  for (auto position = mPeers.begin(); position != mPeers.end();) {
    if (std::find(aAddresses.begin(), aAddresses.end(), position->first) != aAddresses.end()) {
      ++position;
      continue;
    }
    disconnect(position->second, "no longer a member");
    position = mPeers.erase(position);
  }
}

void
ConnectionReplicaTransport::connect(const std::string& aAddress, Peer& aPeer)
{
  const MonotonicTime now = mLoop.now();
  if (now < aPeer.nextAttempt) {
    return;
  }
  aPeer.nextAttempt = now.plusMs(kMinConnectIntervalMs);
  MessageHandlers handlers;
  handlers.onOpen = [this, aAddress](MessageConnection& /*aConnection*/) { onOpen(aAddress); };
  handlers.onMessage = [this, aAddress](MessageConnection& /*aConnection*/,
                                        const Message& aMessage) { onReply(aAddress, aMessage); };
  handlers.onClosed = [this, aAddress](MessageConnection& /*aConnection*/, const Error& aError) {
    onClosed(aAddress, aError);
  };
  auto connection = MessageConnection::connect(mLoop, aAddress, mOwnHello, std::move(handlers));
  if (!isOk(connection)) {
    logWarning("cannot connect to a replica", errorOf(connection));
    return;
  }
  aPeer.connection = takeValue(std::move(connection));
}

void
ConnectionReplicaTransport::disconnect(Peer& aPeer, const std::string& aReason)
{
  if (aPeer.connection) {
    aPeer.connection->close(aReason);
  }
  aPeer.connection.reset();
  aPeer.queued.clear();
  aPeer.awaitingReplySince.reset();
}

void
ConnectionReplicaTransport::onOpen(const std::string& aAddress)
{
  Peer& peer = mPeers[aAddress];
  const std::deque<Message> queued = std::exchange(peer.queued, {});
  for (const Message& message : queued) {
    if (peer.connection) {
      peer.connection->send(message);
    }
  }
}

void
ConnectionReplicaTransport::onReply(const std::string& aAddress, const Message& aMessage)
{
  const auto position = mPeers.find(aAddress);
  if (position == mPeers.end()) {
    return;
  }
  position->second.awaitingReplySince.reset();
  if (mReplyHandler) {
    mReplyHandler(aAddress, aMessage);
  }
}

void
ConnectionReplicaTransport::onClosed(const std::string& aAddress, const Error& aError)
{
  const auto position = mPeers.find(aAddress);
  if (position == mPeers.end()) {
    return;
  }
  logDebug("connection to a replica closed",
           { { "peer", aAddress }, { "detail", aError.detail() } });
  disconnect(position->second, "closed");
}

} // namespace magnoliadrum
