#pragma once

#include "generated/TasksTypes.h"
#include "transport/EventLoop.h"
#include "transport/HttpConnectionGuard.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct evhttp;
struct evhttp_request;

namespace magnoliadrum {

/** A whole HTTP request. */
struct HttpRequest
{
  std::string mMethod;
  /** Path without the query, percent-decoding not applied. */
  std::string mPath;
  /** Text behind '?', empty when there is none. */
  std::string mQuery;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  std::string mPeer;

  /** Value of the first header of that name (any case). */
  std::optional<std::string> header(const std::string& aName) const;

  /** Decoded value of a query parameter. */
  std::optional<std::string> queryParameter(const std::string& aName) const;
};

/** Answers one request, now or later. Dropping it without an answer sends status 500. */
class HttpResponder
{
public:
  /** aStopping becomes true when the server stops; then the answer tells the caller that the
   * connection ends. */
  HttpResponder(evhttp_request* aRequest,
                std::shared_ptr<const bool> aStopping,
                HttpConnectionGuard::Admission aAdmission);
  HttpResponder(const HttpResponder&) = delete;
  HttpResponder& operator=(const HttpResponder&) = delete;
  ~HttpResponder();

  /** Sends the answer. Later calls and calls after the caller has gone do nothing. */
  void answer(const HttpAnswer& aAnswer);

  /** Whether the caller is still connected and has no answer yet. */
  bool isPending() const { return mRequest != nullptr; }

  /** Calls aCallback once when the caller disconnects before the answer. */
  void onGone(std::function<void()> aCallback) { mOnGone = std::move(aCallback); }

private:
  evhttp_request* mRequest;
  std::shared_ptr<const bool> mStopping;
  /** Held as long as the request takes memory. */
  HttpConnectionGuard::Admission mAdmission;
  std::function<void()> mOnGone;
};

using HttpResponderPointer = std::shared_ptr<HttpResponder>;

/** An HTTP server on evhttp. */
class HttpServer
{
public:
  using Handler = std::function<void(HttpRequest, HttpResponderPointer)>;

  /**
   * Starts to listen on aAddress (IP:port). A body over aMaxBodyBytes gets status 413. A request
   * for which the account of the process has no capacity gets status 503 and does not reach
   * aHandler.
   */
  static Result<std::unique_ptr<HttpServer>> listen(EventLoop& aLoop,
                                                    const std::string& aAddress,
                                                    std::size_t aMaxBodyBytes,
                                                    Handler aHandler);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /** From now on each answer closes its connection; new connections are still accepted. */
  void announceStop() { *mStopping = true; }

  /**
   * Refuses new connections from now on. Requests on open connections are still handled, and their
   * answers close the connection, so that no caller sends another request on one that is about to
   * end.
   */
  void stopAccepting();

private:
  HttpServer(EventLoop& aLoop, std::size_t aMaxBodyBytes, Handler aHandler);

  void onRequest(evhttp_request* aRequest);

  /** Closes its connections and frees mServer. */
  struct ServerDeleter
  {
    void operator()(evhttp* aServer) const;
  };

  Handler mHandler;
  /** Declared before mServer, which must be freed first. */
  std::unique_ptr<HttpConnectionGuard> mGuard;
  std::unique_ptr<evhttp, ServerDeleter> mServer;
  void* mSocket = nullptr;
  std::shared_ptr<bool> mStopping = std::make_shared<bool>(false);
};

} // namespace magnoliadrum
