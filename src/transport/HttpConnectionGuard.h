#pragma once

#include "transport/EventLoop.h"
#include "transport/HttpHeaderScanner.h"
#include "transport/TransferAccount.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;

namespace magnoliadrum {

/**
 * Keeps the connections of one evhttp server in the account of the process and closes those that
 * the account gives up.
 *
 * evhttp offers no callback for the end of a connection. The guard therefore holds a reference to
 * each bufferevent and notices within kCheckPeriodMs that evhttp has freed it.
 */
class HttpConnectionGuard
{
public:
  static constexpr std::int64_t kCheckPeriodMs = 200;

  /** aServer must not accept connections yet. A request may have aMaxRequestBytes with its header.
   */
  HttpConnectionGuard(EventLoop& aLoop, evhttp* aServer, std::size_t aMaxRequestBytes);
  HttpConnectionGuard(const HttpConnectionGuard&) = delete;
  HttpConnectionGuard& operator=(const HttpConnectionGuard&) = delete;
  /** The server must have been freed. */
  ~HttpConnectionGuard();

  /** Ends the part of an admitted request when it is destroyed. */
  using Admission = std::shared_ptr<void>;

  /** Enters a whole request of a connection into the account; null if it must be refused. */
  Admission admit(bufferevent* aConnection, std::size_t aBytes);

private:
  struct Connection
  {
    HttpConnectionGuard* guard = nullptr;
    bufferevent* bufferEvent = nullptr;
    TransferAccount::ConnectionNumber number = 0;
    HttpHeaderScanner header;
  };

  bufferevent* createBufferEvent(event_base* aBase);
  static void onInput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aConnection);
  static void onOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aConnection);
  /** Lets the header scanner read the last aBytes of the input. */
  static void scanHeader(Connection& aConnection, evbuffer* aBuffer, std::size_t aBytes);
  /** Posts a check, because a connection cannot be closed while its buffer changes. */
  void postCheck();
  void check();
  void releaseFreedConnections();
  static void close(bufferevent* aConnection, TransferRefusal aReason, bool aCanAnswer);
  void release(Connection& aConnection);

  EventLoop& mLoop;
  std::size_t mMaxRequestBytes;
  std::map<bufferevent*, std::unique_ptr<Connection>> mConnections;
  EventHandlePointer mCheckTimer;
  bool mCheckPosted = false;
  /** Expires with the guard, so that callbacks that are still due do nothing. */
  std::shared_ptr<int> mAlive = std::make_shared<int>(0);
};

} // namespace magnoliadrum
