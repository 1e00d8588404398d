#include "transport/HttpClient.h"

#include "transport/HttpMessages.h"
#include "transport/SocketAddress.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cassert>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <poll.h>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;
constexpr ev_ssize_t kMaxAnswerBytes = ev_ssize_t{ 3 } * 1024 * 1024;
constexpr ev_ssize_t kMaxHeaderBytes = 32768;

/** An answer without a length ends with the connection, so a cut one looks the same as a whole one.
 */
bool
statesItsLength(const std::string& aMethod, int aStatus, const std::vector<HttpHeader>& aHeaders)
{
  if (aMethod == "HEAD" || aStatus == kStatusNoContent || aStatus == kStatusNotModified) {
    return true;
  }
  for (const HttpHeader& header : aHeaders) {
    if (boost::algorithm::iequals(header.name(), "Content-Length")) {
      return true;
    }
    if (boost::algorithm::iequals(header.name(), "Transfer-Encoding")) {
      return boost::algorithm::iequals(header.value(), "chunked");
    }
  }
  return false;
}

} // namespace

/** What the client and its connections share; outlives the client while a callback runs. */
struct HttpClient::State
{
  State(EventLoop& aLoop, std::string aAddress, SocketAddress aParsed, std::size_t aMaxConnections)
    : mLoop(aLoop)
    , mAddress(std::move(aAddress))
    , mParsed(std::move(aParsed))
    , mMaxConnections(aMaxConnections)
  {
  }

  EventLoop& mLoop;
  std::string mAddress;
  SocketAddress mParsed;
  std::size_t mMaxConnections;
  std::vector<std::unique_ptr<Connection>> mIdle;
  std::vector<std::unique_ptr<Connection>> mBusy;
};

/** One connection with at most one call in progress. */
class HttpClient::Connection
{
public:
  explicit Connection(State& aState)
    : mState(aState)
  {
    bufferevent* stream = bufferevent_socket_new(aState.mLoop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    mConnection =
      evhttp_connection_base_bufferevent_new(aState.mLoop.base(),
                                             nullptr,
                                             stream,
                                             aState.mParsed.host().c_str(),
                                             static_cast<ev_uint16_t>(aState.mParsed.port()));
    evhttp_connection_set_max_body_size(mConnection, kMaxAnswerBytes);
    evhttp_connection_set_max_headers_size(mConnection, kMaxHeaderBytes);
    // evhttp puts a request into the output buffer only once it is connected.
    const auto onOutput = [](evbuffer* /*aBuffer*/, const evbuffer_cb_info* aInfo, void* aSelf) {
      if (aInfo->n_added > 0) {
        static_cast<Connection*>(aSelf)->mWriting = true;
      }
    };
    evbuffer_add_cb(bufferevent_get_output(stream), onOutput, this);
  }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ~Connection()
  {
    mCallback = nullptr;
    evhttp_connection_free(mConnection);
  }

  void start(const HttpCall& aCall, evhttp_cmd_type aCommand, Callback aCallback)
  {
    mCallback = std::move(aCallback);
    mMethod = aCall.mMethod;
    mWriting = false;
    mTimeout = mState.mLoop.runAt(aCall.mDeadline, [this]() { onTimeout(); });
    const auto onDone = [](evhttp_request* aRequest, void* aSelf) {
      static_cast<Connection*>(aSelf)->onDone(aRequest);
    };
    mRequest = evhttp_request_new(onDone, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(mRequest);
    evhttp_add_header(headers, "Host", mState.mAddress.c_str());
    addHeaders(headers, aCall.mHeaders);
    evbuffer_add(
      evhttp_request_get_output_buffer(mRequest), aCall.mBody.data(), aCall.mBody.size());
    if (evhttp_make_request(mConnection, mRequest, aCommand, aCall.mPath.c_str()) != 0) {
      mRequest = nullptr;
      finish(failure(ErrorCode::eUnavailable, "request could not be started"));
    }
  }

  bool isOpen() const { return socket() >= 0 && !hasEnded(); }

  /** Whether the other end has closed the idle connection and the event loop has not handled it. */
  bool hasEnded() const
  {
    // An idle connection has nothing to read but its end.
    pollfd state{ socket(), POLLIN | POLLRDHUP, 0 };
    return poll(&state, 1, 0) > 0;
  }

private:
  /** Negative when there is no connection; poll() ignores it then. */
  evutil_socket_t socket() const
  {
    return bufferevent_getfd(evhttp_connection_get_bufferevent(mConnection));
  }

  Error failure(ErrorCode aCode, const std::string& aDetail) const
  {
    const ErrorCode code = mWriting ? aCode : ErrorCode::eRefused;
    return Error::create(code, "http call", mState.mAddress, aDetail);
  }

  void onTimeout()
  {
    const Error error = failure(ErrorCode::eTimeout, "deadline passed");
    evhttp_request* request = std::exchange(mRequest, nullptr);
    if (request != nullptr) {
      evhttp_cancel_request(request);
    }
    finish(error);
  }

  void onDone(evhttp_request* aRequest)
  {
    if (mRequest == nullptr) {
      return;
    }
    mRequest = nullptr;
    if (aRequest == nullptr || evhttp_request_get_response_code(aRequest) == 0) {
      finish(failure(ErrorCode::eUnavailable, "connection failed before a whole answer came"));
      return;
    }
    finish(readAnswer(aRequest));
  }

  Result<HttpAnswer> readAnswer(evhttp_request* aRequest) const
  {
    const int status = evhttp_request_get_response_code(aRequest);
    const std::vector<HttpHeader> headers = readHeaders(evhttp_request_get_input_headers(aRequest));
    if (!statesItsLength(mMethod, status, headers)) {
      return failure(ErrorCode::eUnavailable, "answer does not state its length");
    }
    return HttpAnswer::create({ .status = status,
                                .headers = headers,
                                .body = readBody(evhttp_request_get_input_buffer(aRequest)) });
  }

  void finish(Result<HttpAnswer> aResult)
  {
    mTimeout.reset();
    const Callback callback = std::exchange(mCallback, nullptr);
    State& state = mState;
    const auto isThis = [this](const std::unique_ptr<Connection>& aOther) {
      return aOther.get() == this;
    };
    const auto position = std::find_if(state.mBusy.begin(), state.mBusy.end(), isThis);
    assert(position != state.mBusy.end());
    state.mIdle.push_back(std::move(*position));
    state.mBusy.erase(position);
    if (callback) {
      callback(std::move(aResult));
    }
  }

  State& mState;
  evhttp_connection* mConnection;
  evhttp_request* mRequest = nullptr;
  std::string mMethod;
  Callback mCallback;
  EventHandlePointer mTimeout;
  bool mWriting = false;
};

HttpClient::HttpClient(std::shared_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpClient::~HttpClient()
{
  // The destructor may run inside a callback of a connection, so the connections go from the loop.
  const std::shared_ptr<State> state = mState;
  mState->mLoop.post([state]() {
    state->mBusy.clear();
    state->mIdle.clear();
  });
}

Result<std::unique_ptr<HttpClient>>
HttpClient::create(EventLoop& aLoop, const std::string& aAddress, std::size_t aMaxConnections)
{
  assert(aMaxConnections > 0);
  Result<SocketAddress> address = SocketAddress::parse(aAddress);
  if (!isOk(address)) {
    return errorOf(address);
  }
  return std::unique_ptr<HttpClient>(new HttpClient(
    std::make_shared<State>(aLoop, aAddress, takeValue(std::move(address)), aMaxConnections)));
}

void
HttpClient::send(const HttpCall& aCall, Callback aCallback)
{
  assert(aCallback);
  const Result<evhttp_cmd_type> command = commandOf(aCall.mMethod);
  if (!isOk(command)) {
    const Error& cause = errorOf(command);
    aCallback(Error::create(ErrorCode::eRefused, cause.step(), cause.peer(), cause.detail()));
    return;
  }
  if (mState->mBusy.size() >= mState->mMaxConnections) {
    aCallback(Error::create(
      ErrorCode::eRefused, "http call", mState->mAddress, "all connections are in use"));
    return;
  }
  discardEndedConnections();
  if (mState->mIdle.empty()) {
    mState->mIdle.push_back(std::make_unique<Connection>(*mState));
  }
  mState->mBusy.push_back(std::move(mState->mIdle.back()));
  mState->mIdle.pop_back();
  mState->mBusy.back()->start(aCall, valueOf(command), std::move(aCallback));
}

void
HttpClient::discardEndedConnections()
{
  while (!mState->mIdle.empty() && mState->mIdle.back()->hasEnded()) {
    // The connection may be the one whose callback runs, so it is freed from the loop.
    const std::shared_ptr<Connection> ended = std::move(mState->mIdle.back());
    mState->mIdle.pop_back();
    mState->mLoop.post([state = mState, ended]() {});
  }
}

std::size_t
HttpClient::inProgress() const
{
  return mState->mBusy.size();
}

bool
HttpClient::hasOpenIdleConnection() const
{
  return std::any_of(
    mState->mIdle.begin(), mState->mIdle.end(), [](const std::unique_ptr<Connection>& aConnection) {
      return aConnection->isOpen();
    });
}

} // namespace magnoliadrum
