#pragma once

#include "generated/MessagesTypes.h"
#include "transport/EventLoop.h"
#include "transport/WebSocketCodec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

struct bufferevent;

namespace magnoliadrum {

/** Largest encoded message. */
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 4 } * 1024 * 1024;

/** A peer that does not read is disconnected when this much waits for it. */
inline constexpr std::size_t kMaxUnsentBytes = std::size_t{ 32 } * 1024 * 1024;

/** A connection on which both Hello messages have not arrived after this time is closed. */
inline constexpr std::int64_t kHelloTimeoutMs = 3000;

class MessageConnection;

/** Callbacks of a connection. Each may close or release the connection. */
struct MessageHandlers
{
  /** The peer's Hello arrived; messages can be sent. */
  std::function<void(MessageConnection&)> onOpen;

  /** One message other than Hello arrived. */
  std::function<void(MessageConnection&, Message)> onMessage;

  /** The connection failed or the peer closed it. Called at most once, and not after close(). */
  std::function<void(MessageConnection&, const Error&)> onClosed;
};

/** A WebSocket connection that carries CBOR messages. Destroying it closes it. */
class MessageConnection : public std::enable_shared_from_this<MessageConnection>
{
public:
  /**
   * Starts to connect to aAddress (IP:port). The error reports only a malformed address or a lack
   * of resources; everything later comes through onClosed.
   */
  static Result<std::shared_ptr<MessageConnection>> connect(EventLoop& aLoop,
                                                            const std::string& aAddress,
                                                            Hello aOwnHello,
                                                            MessageHandlers aHandlers);

  MessageConnection(const MessageConnection&) = delete;
  MessageConnection& operator=(const MessageConnection&) = delete;
  ~MessageConnection();

  /**
   * Queues a message. Returns false when the connection is not open; then no byte of it was or will
   * be written. After true, the peer may or may not get it.
   */
  bool send(const Message& aMessage);

  /** Closes at once; onClosed is not called. What fits into the socket buffer is still sent. */
  void close(const std::string& aReason);

  /** Whether both Hello messages have been exchanged and the connection has not ended. */
  bool isOpen() const { return mOpen && !mClosed; }

  /** Whether the connection has ended. */
  bool isClosed() const { return mClosed; }

  /** The peer's address, and its process id once it is known. */
  std::string peer() const;

  /** The peer's Hello. Precondition: onOpen was called. */
  const Hello& peerHello() const;

  /** Bytes that wait to be written. */
  std::size_t unsentBytes() const;

  std::uint64_t bytesSent() const { return mBytesSent; }
  std::uint64_t bytesReceived() const { return mBytesReceived; }

private:
  friend class MessageServer;

  MessageConnection(EventLoop& aLoop,
                    std::string aAddress,
                    Hello aOwnHello,
                    MessageHandlers aHandlers);

  static std::shared_ptr<MessageConnection> accept(EventLoop& aLoop,
                                                   int aSocket,
                                                   const std::string& aAddress,
                                                   Hello aOwnHello,
                                                   MessageHandlers aHandlers);

  WebSocketCodec::Handlers codecHandlers();
  void attach(bufferevent* aBufferEvent);
  void armHelloTimeout();
  void onReadable();
  void onEvent(short aEvents);
  void onCodecMessage(const std::string& aBytes);
  void onHello(const Hello& aHello);
  void fail(ErrorCode aCode, const std::string& aStep, const std::string& aDetail);
  void release();

  EventLoop& mLoop;
  std::string mAddress;
  Hello mOwnHello;
  MessageHandlers mHandlers;
  std::unique_ptr<WebSocketCodec> mCodec;
  bufferevent* mBufferEvent = nullptr;
  EventHandlePointer mHelloTimeout;
  std::optional<Hello> mPeerHello;
  bool mIsClient = false;
  bool mOpen = false;
  bool mClosed = false;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
};

using MessageConnectionPointer = std::shared_ptr<MessageConnection>;

} // namespace magnoliadrum
