#pragma once

#include "control/Replicator.h"
#include "transport/transport.h"

#include <deque>
#include <map>

namespace magnoliadrum {

/** Replica transport with one message connection to each of the other replicas. */
class ConnectionReplicaTransport : public ReplicaTransport
{
public:
  /**
   * A connection is replaced when no reply arrives within aReplyTimeoutMs of a message, because
   * after a network partition TCP may wait for minutes before it retransmits.
   */
  ConnectionReplicaTransport(EventLoop& aLoop, Hello aOwnHello, std::int64_t aReplyTimeoutMs);

  void setReplyHandler(ReplyHandler aHandler) override { mReplyHandler = std::move(aHandler); }
  void send(const std::string& aAddress, const Message& aMessage) override;
  void closeConnectionsExcept(const std::vector<std::string>& aAddresses) override;

private:
  struct Peer
  {
    MessageConnectionPointer connection;
    /** Messages to send when the connection opens. */
    std::deque<Message> queued;
    Deadline nextAttempt;
    /** When the first message after the last reply was sent; empty when no reply is due. */
    std::optional<MonotonicTime> awaitingReplySince;
  };

  void connect(const std::string& aAddress, Peer& aPeer);
  void disconnect(Peer& aPeer, const std::string& aReason);
  void onOpen(const std::string& aAddress);
  void onReply(const std::string& aAddress, const Message& aMessage);
  void onClosed(const std::string& aAddress, const Error& aError);

  EventLoop& mLoop;
  Hello mOwnHello;
  std::int64_t mReplyTimeoutMs;
  ReplyHandler mReplyHandler;
  std::map<std::string, Peer> mPeers;
};

} // namespace magnoliadrum
