#include "transport/MessageConnection.h"

#include "transport/SocketAddress.h"

#include <array>
#include <cassert>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::size_t kReadBytes = 65536;

void
disableNagle(bufferevent* aBufferEvent)
{
  const int on = 1;
  setsockopt(bufferevent_getfd(aBufferEvent), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/** Creates a socket that is bound to aSourceHost, or returns -1 so that libevent creates one at
 * connect. */
Result<int>
createSocket(const std::string& aSourceHost, const std::string& aPeer)
{
  if (aSourceHost.empty()) {
    return -1;
  }
  // The address needs a port to be parsed; port 0 then lets the system choose a free one.
  const bool isIpv6 = aSourceHost.find(':') != std::string::npos;
  const std::string text = isIpv6 ? "[" + aSourceHost + "]:1" : aSourceHost + ":1";
  const Result<SocketAddress> source = SocketAddress::parse(text);
  if (!isOk(source)) {
    return errorOf(source);
  }
  const SocketAddress unbound = valueOf(source).withPort(0);
  const evutil_socket_t descriptor =
    ::socket(unbound.data()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  // Without this option each bind to port 0 would take a port that no other destination can share.
  setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  if (descriptor < 0 || ::bind(descriptor, unbound.data(), unbound.length()) != 0) {
    const std::string reason = std::generic_category().message(errno);
    if (descriptor >= 0) {
      evutil_closesocket(descriptor);
    }
    return Error::create(ErrorCode::eIo, "bind " + aSourceHost, aPeer, reason);
  }
  return descriptor;
}

} // namespace

MessageConnection::MessageConnection(EventLoop& aLoop,
                                     std::string aAddress,
                                     Hello aOwnHello,
                                     MessageHandlers aHandlers)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mOwnHello(std::move(aOwnHello))
  , mHandlers(std::move(aHandlers))
{
  assert(mHandlers.onOpen && mHandlers.onMessage && mHandlers.onClosed);
}

MessageConnection::~MessageConnection()
{
  release();
}

Result<std::shared_ptr<MessageConnection>>
MessageConnection::connect(EventLoop& aLoop,
                           const std::string& aAddress,
                           Hello aOwnHello,
                           MessageHandlers aHandlers)
{
  const Result<SocketAddress> address = SocketAddress::parse(aAddress);
  if (!isOk(address)) {
    return errorOf(address);
  }
  std::shared_ptr<MessageConnection> connection(
    new MessageConnection(aLoop, aAddress, std::move(aOwnHello), std::move(aHandlers)));
  connection->mIsClient = true;
  const Result<int> descriptor = createSocket(aLoop.sourceHost(), aAddress);
  if (!isOk(descriptor)) {
    return errorOf(descriptor);
  }
  bufferevent* stream =
    bufferevent_socket_new(aLoop.base(), valueOf(descriptor), BEV_OPT_CLOSE_ON_FREE);
  if (stream == nullptr) {
    return Error::create(ErrorCode::eIo, "connect", aAddress, "bufferevent_socket_new failed");
  }
  connection->mCodec =
    WebSocketCodec::createClient(aAddress, connection->codecHandlers(), kMaxMessageBytes);
  connection->attach(stream);
  connection->armHelloTimeout();
  const SocketAddress& parsed = valueOf(address);
  if (bufferevent_socket_connect(stream, parsed.data(), parsed.length()) != 0) {
    return Error::create(ErrorCode::eUnavailable, "connect", aAddress, "connect failed");
  }
  return connection;
}

std::shared_ptr<MessageConnection>
MessageConnection::accept(EventLoop& aLoop,
                          int aSocket,
                          const std::string& aAddress,
                          Hello aOwnHello,
                          MessageHandlers aHandlers)
{
  std::shared_ptr<MessageConnection> connection(
    new MessageConnection(aLoop, aAddress, std::move(aOwnHello), std::move(aHandlers)));
  bufferevent* stream = bufferevent_socket_new(aLoop.base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  connection->mCodec = WebSocketCodec::createServer(connection->codecHandlers(), kMaxMessageBytes);
  connection->attach(stream);
  disableNagle(stream);
  connection->armHelloTimeout();
  connection->mCodec->start();
  return connection;
}

WebSocketCodec::Handlers
MessageConnection::codecHandlers()
{
  WebSocketCodec::Handlers handlers;
  handlers.onBytesToSend = [this](const char* aBytes, std::size_t aLength) {
    if (mBufferEvent != nullptr) {
      mBytesSent += aLength;
      bufferevent_write(mBufferEvent, aBytes, aLength);
    }
  };
  handlers.onOpen = [this]() { mCodec->send(encodeMessage(Message(mOwnHello))); };
  handlers.onMessage = [this](const std::string& aBytes) { onCodecMessage(aBytes); };
  handlers.onClosed = [this](const std::string& aReason) {
    fail(ErrorCode::eUnavailable, "receive", aReason);
  };
  return handlers;
}

void
MessageConnection::attach(bufferevent* aBufferEvent)
{
  assert(aBufferEvent != nullptr);
  mBufferEvent = aBufferEvent;
  bufferevent_setcb(
    aBufferEvent,
    [](bufferevent* /*aStream*/, void* aSelf) {
      static_cast<MessageConnection*>(aSelf)->onReadable();
    },
    nullptr,
    [](bufferevent* /*aStream*/, short aEvents, void* aSelf) {
      static_cast<MessageConnection*>(aSelf)->onEvent(aEvents);
    },
    this);
  bufferevent_enable(aBufferEvent, EV_READ | EV_WRITE);
}

void
MessageConnection::armHelloTimeout()
{
  mHelloTimeout = mLoop.runAt(mLoop.now().plusMs(kHelloTimeoutMs), [this]() {
    const MessageConnectionPointer keep = shared_from_this();
    fail(ErrorCode::eTimeout, "hello", "peer sent no Hello in time");
  });
}

void
MessageConnection::onReadable()
{
  const MessageConnectionPointer keep = shared_from_this();
  std::array<char, kReadBytes> buffer{};
  while (!mClosed) {
    const std::size_t length = bufferevent_read(mBufferEvent, buffer.data(), buffer.size());
    if (length == 0) {
      break;
    }
    mBytesReceived += length;
    mCodec->receive(buffer.data(), length);
  }
}

void
MessageConnection::onEvent(short aEvents)
{
  const MessageConnectionPointer keep = shared_from_this();
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    disableNagle(mBufferEvent);
    mCodec->start();
    return;
  }
  if ((aEvents & BEV_EVENT_ERROR) != 0) {
    const int code = EVUTIL_SOCKET_ERROR();
    fail(ErrorCode::eUnavailable, "connection", std::generic_category().message(code));
    return;
  }
  if ((aEvents & BEV_EVENT_EOF) != 0) {
    fail(ErrorCode::eUnavailable, "connection", "closed by peer");
  }
}

void
MessageConnection::onCodecMessage(const std::string& aBytes)
{
  if (mClosed) {
    return;
  }
  Result<Message> message = decodeMessage(aBytes, "decode message", peer());
  if (!isOk(message)) {
    fail(ErrorCode::eInvalid, "decode message", errorOf(message).detail());
    return;
  }
  const Hello* hello = std::get_if<Hello>(&valueOf(message));
  if (hello != nullptr) {
    onHello(*hello);
    return;
  }
  if (!mOpen) {
    fail(ErrorCode::eInvalid, "hello", "first message is not Hello");
    return;
  }
  mHandlers.onMessage(*this, takeValue(std::move(message)));
}

void
MessageConnection::onHello(const Hello& aHello)
{
  if (mOpen) {
    fail(ErrorCode::eInvalid, "hello", "second Hello");
    return;
  }
  mPeerHello = aHello;
  mHelloTimeout.reset();
  mOpen = true;
  mHandlers.onOpen(*this);
}

bool
MessageConnection::send(const Message& aMessage)
{
  if (!isOpen()) {
    return false;
  }
  if (unsentBytes() > kMaxUnsentBytes) {
    const MessageConnectionPointer keep = shared_from_this();
    fail(ErrorCode::eUnavailable, "send", "peer does not read");
    return false;
  }
  const std::string bytes = encodeMessage(aMessage);
  if (bytes.size() > kMaxMessageBytes) {
    return false;
  }
  return mCodec->send(bytes);
}

void
MessageConnection::close(const std::string& aReason)
{
  if (mClosed) {
    return;
  }
  mCodec->close(aReason);
  mClosed = true;
  if (mBufferEvent != nullptr && bufferevent_getfd(mBufferEvent) >= 0) {
    evbuffer* output = bufferevent_get_output(mBufferEvent);
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(mBufferEvent));
  }
  release();
}

std::string
MessageConnection::peer() const
{
  return mPeerHello ? mPeerHello->processId() + "@" + mAddress : mAddress;
}

const Hello&
MessageConnection::peerHello() const
{
  assert(mPeerHello);
  return *mPeerHello;
}

std::size_t
MessageConnection::unsentBytes() const
{
  if (mBufferEvent == nullptr) {
    return 0;
  }
  return evbuffer_get_length(bufferevent_get_output(mBufferEvent));
}

void
MessageConnection::fail(ErrorCode aCode, const std::string& aStep, const std::string& aDetail)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  const Error error = Error::create(aCode, aStep, peer(), aDetail);
  release();
  mHandlers.onClosed(*this, error);
}

void
MessageConnection::release()
{
  mHelloTimeout.reset();
  if (mBufferEvent == nullptr) {
    return;
  }
  bufferevent_free(mBufferEvent);
  mBufferEvent = nullptr;
}

} // namespace magnoliadrum
