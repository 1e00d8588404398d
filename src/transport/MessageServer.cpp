#include "transport/MessageServer.h"

#include "transport/SocketAddress.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <system_error>
#include <utility>

namespace magnoliadrum {

namespace {
constexpr int kBacklog = 1024;
} // namespace

MessageServer::MessageServer(EventLoop& aLoop,
                             std::string aAddress,
                             Hello aOwnHello,
                             MessageHandlers aHandlers)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mOwnHello(std::move(aOwnHello))
  , mHandlers(std::move(aHandlers))
{
}

MessageServer::~MessageServer()
{
  stopAccepting();
}

Result<std::unique_ptr<MessageServer>>
MessageServer::listen(EventLoop& aLoop,
                      const std::string& aAddress,
                      Hello aOwnHello,
                      MessageHandlers aHandlers)
{
  const Result<SocketAddress> address = SocketAddress::parse(aAddress);
  if (!isOk(address)) {
    return errorOf(address);
  }
  std::unique_ptr<MessageServer> server(
    new MessageServer(aLoop, aAddress, std::move(aOwnHello), std::move(aHandlers)));
  const auto onAccept = [](evconnlistener* /*aListener*/,
                           evutil_socket_t aSocket,
                           sockaddr* aPeer,
                           int /*aLength*/,
                           void* aSelf) {
    static_cast<MessageServer*>(aSelf)->onAccepted(aSocket, SocketAddress::format(aPeer));
  };
  server->mListener =
    evconnlistener_new_bind(aLoop.base(),
                            onAccept,
                            server.get(),
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                            kBacklog,
                            valueOf(address).data(),
                            valueOf(address).length());
  if (server->mListener == nullptr) {
    const std::string reason = std::generic_category().message(EVUTIL_SOCKET_ERROR());
    return Error::create(ErrorCode::eIo, "listen", aAddress, reason);
  }
  return server;
}

void
MessageServer::stopAccepting()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
    mListener = nullptr;
  }
}

void
MessageServer::onAccepted(int aSocket, const std::string& aPeer)
{
  // close() calls no handler, so connections that this side closed are released here.
  std::erase_if(mConnections, [](const MessageConnectionPointer& aConnection) {
    return aConnection->isClosed();
  });
  mConnections.insert(
    MessageConnection::accept(mLoop, aSocket, aPeer, mOwnHello, connectionHandlers()));
}

MessageHandlers
MessageServer::connectionHandlers()
{
  MessageHandlers handlers = mHandlers;
  handlers.onClosed = [this](MessageConnection& aConnection, const Error& aError) {
    const MessageConnectionPointer keep = aConnection.shared_from_this();
    mConnections.erase(keep);
    mHandlers.onClosed(aConnection, aError);
  };
  return handlers;
}

} // namespace magnoliadrum
