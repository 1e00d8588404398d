#pragma once

#include "transport/MessageConnection.h"

#include <memory>
#include <string>
#include <unordered_set>

struct evconnlistener;

namespace magnoliadrum {

/** Accepts message connections on one address and keeps each until it ends. */
class MessageServer
{
public:
  /** Starts to listen on aAddress (IP:port). */
  static Result<std::unique_ptr<MessageServer>> listen(EventLoop& aLoop,
                                                       const std::string& aAddress,
                                                       Hello aOwnHello,
                                                       MessageHandlers aHandlers);

  MessageServer(const MessageServer&) = delete;
  MessageServer& operator=(const MessageServer&) = delete;
  ~MessageServer();

  /** Refuses new connections from now on; open ones stay. */
  void stopAccepting();

  /** The open and the half-open connections. */
  const std::unordered_set<MessageConnectionPointer>& connections() const { return mConnections; }

private:
  MessageServer(EventLoop& aLoop, std::string aAddress, Hello aOwnHello, MessageHandlers aHandlers);

  void onAccepted(int aSocket, const std::string& aPeer);
  MessageHandlers connectionHandlers();

  EventLoop& mLoop;
  std::string mAddress;
  Hello mOwnHello;
  MessageHandlers mHandlers;
  evconnlistener* mListener = nullptr;
  std::unordered_set<MessageConnectionPointer> mConnections;
};

} // namespace magnoliadrum
