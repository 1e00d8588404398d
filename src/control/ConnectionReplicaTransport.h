#pragma once

#include "control/Replicator.h"
#include "transport/transport.h"

#include <deque>
#include <map>

namespace magnoliadrum {

/** Sends messages to the other replicas over one message connection each. */
class ConnectionReplicaTransport : public ReplicaTransport
{
public:
  /**
   * A connection on which a message stays unanswered for aSilenceMs is replaced, because after a
   * network partition TCP may wait for minutes before it sends again.
   */
  ConnectionReplicaTransport(EventLoop& aLoop, Hello aOwnHello, std::int64_t aSilenceMs);

  void setAnswerHandler(AnswerHandler aHandler) override { mAnswerHandler = std::move(aHandler); }
  void send(const std::string& aAddress, const Message& aMessage) override;
  void keepOnly(const std::vector<std::string>& aAddresses) override;

private:
  struct Link
  {
    MessageConnectionPointer connection;
    /** Messages that wait for the connection to open. */
    std::deque<Message> waiting;
    Deadline nextAttempt;
    /** When the first message after the last answer was sent. */
    std::optional<MonotonicTime> unansweredSince;
  };

  void connect(const std::string& aAddress, Link& aLink);
  void disconnect(Link& aLink, const std::string& aReason);
  void onOpen(const std::string& aAddress);
  void onAnswer(const std::string& aAddress, const Message& aMessage);
  void onClosed(const std::string& aAddress, const Error& aError);

  EventLoop& mLoop;
  Hello mOwnHello;
  std::int64_t mSilenceMs;
  AnswerHandler mAnswerHandler;
  std::map<std::string, Link> mLinks;
};

} // namespace magnoliadrum
