#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace magnoliadrum {

/**
 * One side of a WebSocket connection as a codec: bytes from the network go in, bytes for the
 * network and whole messages come out. Hides websocketpp, which compiles only as C++17; this header
 * is C++17 too.
 */
class WebSocketCodec
{
public:
  struct Handlers
  {
    std::function<void(const char*, std::size_t)> onBytesToSend;
    std::function<void()> onOpen;
    std::function<void(const std::string&)> onMessage;
    /** The handshake failed, the peer broke the protocol or closed. Called at most once. */
    std::function<void(const std::string&)> onClosed;
  };

  static std::unique_ptr<WebSocketCodec> createServer(Handlers aHandlers,
                                                      std::size_t aMaxMessageBytes);
  static std::unique_ptr<WebSocketCodec> createClient(const std::string& aAddress,
                                                      Handlers aHandlers,
                                                      std::size_t aMaxMessageBytes);

  virtual ~WebSocketCodec() = default;
  WebSocketCodec(const WebSocketCodec&) = delete;
  WebSocketCodec& operator=(const WebSocketCodec&) = delete;

  /** Starts the handshake. */
  virtual void start() = 0;

  /** Takes bytes that came from the network. */
  virtual void receive(const char* aBytes, std::size_t aLength) = 0;

  /** Sends one binary message; false when the connection is not open. */
  virtual bool send(const std::string& aMessage) = 0;

  /** Starts the closing handshake. */
  virtual void close(const std::string& aReason) = 0;

protected:
  WebSocketCodec() = default;
};

} // namespace magnoliadrum
