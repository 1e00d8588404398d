#include "transport/WebSocketCodec.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace magnoliadrum {

namespace {

template<typename Endpoint>
class EndpointCodec : public WebSocketCodec
{
public:
  using ConnectionPointer = typename Endpoint::connection_ptr;

  explicit EndpointCodec(Handlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
    mEndpoint.clear_access_channels(websocketpp::log::alevel::all);
    mEndpoint.clear_error_channels(websocketpp::log::elevel::all);
    mEndpoint.set_write_handler(
      [this](websocketpp::connection_hdl /*aHandle*/, const char* aBytes, std::size_t aLength) {
        mHandlers.onBytesToSend(aBytes, aLength);
        return std::error_code();
      });
    mEndpoint.set_open_handler([this](websocketpp::connection_hdl /*aHandle*/) {
      mOpen = true;
      mHandlers.onOpen();
    });
    mEndpoint.set_message_handler(
      [this](websocketpp::connection_hdl /*aHandle*/, typename Endpoint::message_ptr aMessage) {
        mHandlers.onMessage(aMessage->get_payload());
      });
    mEndpoint.set_close_handler(
      [this](websocketpp::connection_hdl /*aHandle*/) { reportClosed("closed by peer"); });
    mEndpoint.set_fail_handler([this](websocketpp::connection_hdl /*aHandle*/) {
      reportClosed("handshake failed: " + mConnection->get_ec().message());
    });
  }

  void receive(const char* aBytes, std::size_t aLength) override
  {
    const ConnectionPointer connection = mConnection;
    connection->read_all(aBytes, aLength);
  }

  bool send(const std::string& aMessage) override
  {
    if (!mOpen || mClosed) {
      return false;
    }
    return !mConnection->send(aMessage, websocketpp::frame::opcode::binary);
  }

  void close(const std::string& aReason) override
  {
    if (!mOpen || mClosed) {
      return;
    }
    constexpr std::size_t kMaxReasonBytes = 100;
    std::error_code ignored;
    mConnection->close(
      websocketpp::close::status::normal, aReason.substr(0, kMaxReasonBytes), ignored);
  }

protected:
  void limitMessages(std::size_t aMaxMessageBytes)
  {
    mEndpoint.set_max_message_size(aMaxMessageBytes);
  }

  void reportClosed(const std::string& aReason)
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    mHandlers.onClosed(aReason);
  }

  Handlers mHandlers;
  Endpoint mEndpoint;
  ConnectionPointer mConnection;
  bool mOpen = false;
  bool mClosed = false;
};

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

class ServerCodec : public EndpointCodec<ServerEndpoint>
{
public:
  ServerCodec(Handlers aHandlers, std::size_t aMaxMessageBytes)
    : EndpointCodec(std::move(aHandlers))
  {
    limitMessages(aMaxMessageBytes);
    mConnection = mEndpoint.get_connection();
  }

  void start() override { mConnection->start(); }
};

class ClientCodec : public EndpointCodec<ClientEndpoint>
{
public:
  ClientCodec(const std::string& aAddress, Handlers aHandlers, std::size_t aMaxMessageBytes)
    : EndpointCodec(std::move(aHandlers))
  {
    limitMessages(aMaxMessageBytes);
    std::error_code error;
    mConnection = mEndpoint.get_connection("ws://" + aAddress + "/", error);
  }

  void start() override
  {
    if (!mConnection) {
      reportClosed("address is not IP:port");
      return;
    }
    mEndpoint.connect(mConnection);
  }
};

} // namespace

std::unique_ptr<WebSocketCodec>
WebSocketCodec::createServer(Handlers aHandlers, std::size_t aMaxMessageBytes)
{
  return std::make_unique<ServerCodec>(std::move(aHandlers), aMaxMessageBytes);
}

std::unique_ptr<WebSocketCodec>
WebSocketCodec::createClient(const std::string& aAddress,
                             Handlers aHandlers,
                             std::size_t aMaxMessageBytes)
{
  return std::make_unique<ClientCodec>(aAddress, std::move(aHandlers), aMaxMessageBytes);
}

} // namespace magnoliadrum
