#pragma once

#include "generated/TasksTypes.h"
#include "transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What to send. */
struct HttpCall
{
  std::string mMethod;
  /** Path with the query. */
  std::string mPath;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  Deadline mDeadline;
};

/**
 * An HTTP client for one address with a bounded pool of connections, on evhttp.
 *
 * The callback gets the whole answer, or an Error whose code tells what the target can have seen:
 * eRefused: no byte of the request was written; eUnavailable, eTimeout: it was written at least in
 * part and no whole answer came. An answer that ends with the connection, without a length, does
 * not count as whole.
 */
class HttpClient
{
public:
  using Callback = std::function<void(Result<HttpAnswer>)>;

  /** Precondition: aMaxConnections is positive. Connects on demand. */
  static Result<std::unique_ptr<HttpClient>> create(EventLoop& aLoop,
                                                    const std::string& aAddress,
                                                    std::size_t aMaxConnections);

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Drops the calls in progress without calling their callbacks. */
  ~HttpClient();

  /** Sends a request; refused with eRefused when all connections are in use. */
  void send(const HttpCall& aCall, Callback aCallback);

  /** Calls in progress. */
  std::size_t inProgress() const;

  /**
   * Whether an idle connection is open at this moment by the kernel's account, which may know of an
   * end that the event loop has not handled yet. A connection ends with the process at its other
   * end.
   */
  bool hasOpenIdleConnection() const;

private:
  class Connection;
  struct State;

  explicit HttpClient(std::shared_ptr<State> aState);

  /** Makes the next call open a connection instead of failing on one that has ended. */
  void discardEndedConnections();

  std::shared_ptr<State> mState;
};

} // namespace magnoliadrum
