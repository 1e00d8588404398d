#include "transport/HttpConnectionGuard.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace magnoliadrum {

namespace {

/** The status line and headers of a refusal; the request has not run. */
std::string
refusalText(TransferRefusal aReason)
{
  const auto response = [](const char* aStatus) {
    return std::string("HTTP/1.1 ") + aStatus +
           "\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n";
  };
  switch (aReason) {
    case TransferRefusal::eHeaderFields:
      return response("431 Request Header Fields Too Large");
    case TransferRefusal::eRequestSize:
      return response("413 Content Too Large");
    case TransferRefusal::eSlowHeader:
    case TransferRefusal::eSlowBody:
      return response("408 Request Timeout");
    case TransferRefusal::eUnreadAnswer:
    case TransferRefusal::eMemory:
    case TransferRefusal::eConnections:
      return response("503 Service Unavailable");
  }
  return "";
}

bool
isFreed(bufferevent* aBufferEvent)
{
  bufferevent_event_cb onEvent = nullptr;
  bufferevent_getcb(aBufferEvent, nullptr, nullptr, &onEvent, nullptr);
  return onEvent == nullptr;
}

} // namespace

HttpConnectionGuard::HttpConnectionGuard(EventLoop& aLoop,
                                         evhttp* aServer,
                                         std::size_t aMaxRequestBytes)
  : mLoop(aLoop)
  , mMaxRequestBytes(aMaxRequestBytes)
{
  evhttp_set_bevcb(
    aServer,
    [](event_base* aBase, void* aSelf) {
      return static_cast<HttpConnectionGuard*>(aSelf)->createBufferEvent(aBase);
    },
    this);
  mCheckTimer = mLoop.runEvery(kCheckPeriodMs, [this]() { check(); });
}

HttpConnectionGuard::~HttpConnectionGuard()
{
  for (auto& [bufferEvent, connection] : mConnections) {
    release(*connection);
  }
}

bufferevent*
HttpConnectionGuard::createBufferEvent(event_base* aBase)
{
  bufferevent* bufferEvent = bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE);
  if (bufferEvent == nullptr) {
    return nullptr;
  }
  bufferevent_incref(bufferEvent);
  std::unique_ptr<Connection> connection = std::make_unique<Connection>();
  connection->guard = this;
  connection->bufferEvent = bufferEvent;
  connection->number = mLoop.transfers().open(
    mMaxRequestBytes,
    [bufferEvent](TransferRefusal aReason, bool aCanAnswer) {
      close(bufferEvent, aReason, aCanAnswer);
    },
    mLoop.now());
  evbuffer_add_cb(bufferevent_get_input(bufferEvent), onInput, connection.get());
  evbuffer_add_cb(bufferevent_get_output(bufferEvent), onOutput, connection.get());
  mConnections.emplace(bufferEvent, std::move(connection));
  if (mLoop.transfers().isOverLimit()) {
    postCheck();
  }
  return bufferEvent;
}

void
HttpConnectionGuard::scanHeader(Connection& aConnection, evbuffer* aBuffer, std::size_t aBytes)
{
  constexpr std::size_t kPieces = 8;
  evbuffer_ptr position{};
  const std::size_t length = evbuffer_get_length(aBuffer);
  if (aConnection.header.isComplete() || aBytes == 0 || aBytes > length ||
      evbuffer_ptr_set(aBuffer, &position, length - aBytes, EVBUFFER_PTR_SET) != 0) {
    return;
  }
  std::array<evbuffer_iovec, kPieces> pieces{};
  const int available = evbuffer_peek(
    aBuffer, static_cast<ev_ssize_t>(aBytes), &position, pieces.data(), static_cast<int>(kPieces));
  const std::size_t count = std::min(kPieces, static_cast<std::size_t>(std::max(0, available)));
  std::size_t left = aBytes;
  for (std::size_t index = 0; index < count; index++) {
    const std::size_t size = std::min(left, pieces[index].iov_len);
    aConnection.header.read(
      std::string_view(static_cast<const char*>(pieces[index].iov_base), size));
    left -= size;
  }
}

void
HttpConnectionGuard::onInput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aConnection)
{
  if (aInfo->n_added == 0) {
    return;
  }
  Connection& connection = *static_cast<Connection*>(aConnection);
  HttpConnectionGuard& self = *connection.guard;
  scanHeader(connection, aBuffer, aInfo->n_added);
  TransferAccount& transfers = self.mLoop.transfers();
  transfers.receive(connection.number,
                    aInfo->n_added,
                    connection.header.lines(),
                    connection.header.isComplete(),
                    self.mLoop.now());
  const bool needsCheck =
    transfers.isOverLimit() || connection.header.lines() > TransferAccount::kMaxHeaderLines;
  if (needsCheck) {
    self.postCheck();
  }
}

void
HttpConnectionGuard::postCheck()
{
  if (std::exchange(mCheckPosted, true)) {
    return;
  }
  mLoop.post([this, alive = std::weak_ptr<int>(mAlive)]() {
    if (!alive.expired()) {
      mCheckPosted = false;
      check();
    }
  });
}

void
HttpConnectionGuard::onOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aConnection)
{
  const Connection& connection = *static_cast<Connection*>(aConnection);
  EventLoop& loop = connection.guard->mLoop;
  loop.transfers().setUnsent(
    connection.number, evbuffer_get_length(aBuffer), aInfo->n_deleted, loop.now());
}

HttpConnectionGuard::Admission
HttpConnectionGuard::admit(bufferevent* aConnection, std::size_t aBytes)
{
  const auto position = mConnections.find(aConnection);
  if (position == mConnections.end()) {
    return nullptr;
  }
  Connection& connection = *position->second;
  TransferAccount& transfers = mLoop.transfers();
  const bool isAdmitted =
    transfers.admit(connection.number, aBytes, connection.header, mLoop.now());
  evbuffer* input = bufferevent_get_input(aConnection);
  const std::size_t bytesAhead = evbuffer_get_length(input);
  connection.header = HttpHeaderScanner();
  scanHeader(connection, input, bytesAhead);
  transfers.receiveAhead(connection.number, bytesAhead, connection.header, mLoop.now());
  if (!isAdmitted) {
    return nullptr;
  }
  return { &transfers, [number = connection.number](TransferAccount* aTransfers) {
            aTransfers->finish(number, MonotonicTime::now());
          } };
}

void
HttpConnectionGuard::check()
{
  releaseFreedConnections();
  mLoop.transfers().enforce(mLoop.now());
  releaseFreedConnections();
}

void
HttpConnectionGuard::releaseFreedConnections()
{
  std::erase_if(mConnections, [this](const auto& aItem) {
    if (!isFreed(aItem.first)) {
      return false;
    }
    release(*aItem.second);
    return true;
  });
}

void
HttpConnectionGuard::close(bufferevent* aConnection, TransferRefusal aReason, bool aCanAnswer)
{
  if (isFreed(aConnection)) {
    return;
  }
  if (aCanAnswer) {
    // evhttp has written nothing for this request, and it is told next that the connection ends.
    const std::string text = refusalText(aReason);
    [[maybe_unused]] const ssize_t sent =
      ::send(bufferevent_getfd(aConnection), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  bufferevent_trigger_event(aConnection, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

void
HttpConnectionGuard::release(Connection& aConnection)
{
  evbuffer_remove_cb(bufferevent_get_input(aConnection.bufferEvent), onInput, &aConnection);
  evbuffer_remove_cb(bufferevent_get_output(aConnection.bufferEvent), onOutput, &aConnection);
  mLoop.transfers().close(aConnection.number);
  bufferevent_decref(aConnection.bufferEvent);
}

} // namespace magnoliadrum
