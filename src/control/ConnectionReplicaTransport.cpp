#include "control/ConnectionReplicaTransport.h"

#include "observability/observability.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/** Pause after a failed connection. */
constexpr std::int64_t kRetryMs = 100;

/** Enough for the requests of an election and the first entries; the rest is sent again later. */
constexpr std::size_t kMaxWaitingMessages = 16;

/** Messages to a replica that does not read are dropped above this, well below the connection's own
 * limit, at which it would be closed. */
constexpr std::size_t kMaxUnsentBytesToReplica = std::size_t{ 20 } << 20;

} // namespace

ConnectionReplicaTransport::ConnectionReplicaTransport(EventLoop& aLoop,
                                                       Hello aOwnHello,
                                                       std::int64_t aSilenceMs)
  : mLoop(aLoop)
  , mOwnHello(std::move(aOwnHello))
  , mSilenceMs(aSilenceMs)
{
}

void
ConnectionReplicaTransport::send(const std::string& aAddress, const Message& aMessage)
{
  Link& link = mLinks[aAddress];
  const MonotonicTime now = mLoop.now();
  if (link.unansweredSince && now.msSince(*link.unansweredSince) >= mSilenceMs) {
    disconnect(link, "no answer");
  }
  if (!link.connection) {
    connect(aAddress, link);
  }
  if (!link.connection) {
    return;
  }
  link.unansweredSince = link.unansweredSince.value_or(now);
  if (!link.connection->isOpen()) {
    if (link.waiting.size() < kMaxWaitingMessages) {
      link.waiting.push_back(aMessage);
    }
    return;
  }
  if (link.connection->unsentBytes() < kMaxUnsentBytesToReplica) {
    link.connection->send(aMessage);
  }
}

void
ConnectionReplicaTransport::keepOnly(const std::vector<std::string>& aAddresses)
{
  for (auto position = mLinks.begin(); position != mLinks.end();) {
    if (std::find(aAddresses.begin(), aAddresses.end(), position->first) != aAddresses.end()) {
      ++position;
      continue;
    }
    disconnect(position->second, "no longer a member");
    position = mLinks.erase(position);
  }
}

void
ConnectionReplicaTransport::connect(const std::string& aAddress, Link& aLink)
{
  const MonotonicTime now = mLoop.now();
  if (now < aLink.nextAttempt) {
    return;
  }
  aLink.nextAttempt = now.plusMs(kRetryMs);
  MessageHandlers handlers;
  handlers.onOpen = [this, aAddress](MessageConnection& /*aConnection*/) { onOpen(aAddress); };
  handlers.onMessage = [this, aAddress](MessageConnection& /*aConnection*/,
                                        const Message& aMessage) { onAnswer(aAddress, aMessage); };
  handlers.onClosed = [this, aAddress](MessageConnection& /*aConnection*/, const Error& aError) {
    onClosed(aAddress, aError);
  };
  auto connection = MessageConnection::connect(mLoop, aAddress, mOwnHello, std::move(handlers));
  if (!isOk(connection)) {
    logWarning("cannot connect to a replica", errorOf(connection));
    return;
  }
  aLink.connection = takeValue(std::move(connection));
}

void
ConnectionReplicaTransport::disconnect(Link& aLink, const std::string& aReason)
{
  if (aLink.connection) {
    aLink.connection->close(aReason);
  }
  aLink.connection.reset();
  aLink.waiting.clear();
  aLink.unansweredSince.reset();
}

void
ConnectionReplicaTransport::onOpen(const std::string& aAddress)
{
  Link& link = mLinks[aAddress];
  const std::deque<Message> waiting = std::exchange(link.waiting, {});
  for (const Message& message : waiting) {
    if (link.connection) {
      link.connection->send(message);
    }
  }
}

void
ConnectionReplicaTransport::onAnswer(const std::string& aAddress, const Message& aMessage)
{
  const auto position = mLinks.find(aAddress);
  if (position == mLinks.end()) {
    return;
  }
  position->second.unansweredSince.reset();
  if (mAnswerHandler) {
    mAnswerHandler(aAddress, aMessage);
  }
}

void
ConnectionReplicaTransport::onClosed(const std::string& aAddress, const Error& aError)
{
  const auto position = mLinks.find(aAddress);
  if (position == mLinks.end()) {
    return;
  }
  logDebug("lost the connection to a replica",
           { { "peer", aAddress }, { "detail", aError.detail() } });
  disconnect(position->second, "closed");
}

} // namespace magnoliadrum
