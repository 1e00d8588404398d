#include "transport/HttpServer.h"

#include "transport/HttpMessages.h"
#include "transport/SocketAddress.h"

#include <boost/algorithm/string/predicate.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <system_error>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kStatusInternalError = 500;
constexpr int kStatusServiceUnavailable = 503;
constexpr std::size_t kMaxHeaderBytes = 16384;

/** Bytes on the wire for each byte of a body that comes in chunks of one byte, rounded up. */
constexpr std::size_t kMaxChunkOverhead = 8;

/** A caller that sends nothing for this long on an open connection is disconnected. */
constexpr int kIdleTimeoutS = 120;

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                            EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

} // namespace

std::optional<std::string>
HttpRequest::header(const std::string& aName) const
{
  for (const HttpHeader& header : mHeaders) {
    if (boost::algorithm::iequals(header.name(), aName)) {
      return header.value();
    }
  }
  return std::nullopt;
}

std::optional<std::string>
HttpRequest::queryParameter(const std::string& aName) const
{
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(mQuery.c_str(), &parameters) != 0) {
    return std::nullopt;
  }
  const char* value = evhttp_find_header(&parameters, aName.c_str());
  const std::optional<std::string> result =
    value == nullptr ? std::nullopt : std::optional<std::string>(value);
  evhttp_clear_headers(&parameters);
  return result;
}

HttpResponder::HttpResponder(evhttp_request* aRequest,
                             std::shared_ptr<const bool> aStopping,
                             HttpConnectionGuard::Admission aAdmission)
  : mRequest(aRequest)
  , mStopping(std::move(aStopping))
  , mAdmission(std::move(aAdmission))
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection* /*aConnection*/, void* aSelf) {
      HttpResponder* self = static_cast<HttpResponder*>(aSelf);
      self->mRequest = nullptr;
      self->mAdmission.reset();
      const std::function<void()> onGone = std::move(self->mOnGone);
      if (onGone) {
        onGone();
      }
    },
    this);
}

HttpResponder::~HttpResponder()
{
  answer(valueOf(HttpAnswer::create({ .status = kStatusInternalError, .body = "no answer\n" })));
}

void
HttpResponder::answer(const HttpAnswer& aAnswer)
{
  if (mRequest == nullptr) {
    return;
  }
  evhttp_request* request = std::exchange(mRequest, nullptr);
  mAdmission.reset();
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  addHeaders(headers, aAnswer.headers());
  if (*mStopping) {
    evhttp_add_header(headers, "Connection", "close");
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aAnswer.body().data(), aAnswer.body().size());
  evhttp_send_reply(request, static_cast<int>(aAnswer.status()), nullptr, body);
  evbuffer_free(body);
}

HttpServer::HttpServer(EventLoop& aLoop, std::size_t aMaxBodyBytes, Handler aHandler)
  : mHandler(std::move(aHandler))
  , mServer(evhttp_new(aLoop.base()))
{
  mGuard = std::make_unique<HttpConnectionGuard>(
    aLoop, mServer.get(), kMaxHeaderBytes + aMaxBodyBytes * kMaxChunkOverhead);
}

HttpServer::~HttpServer() = default;

void
HttpServer::ServerDeleter::operator()(evhttp* aServer) const
{
  evhttp_free(aServer);
}

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(EventLoop& aLoop,
                   const std::string& aAddress,
                   std::size_t aMaxBodyBytes,
                   Handler aHandler)
{
  const Result<SocketAddress> address = SocketAddress::parse(aAddress);
  if (!isOk(address)) {
    return errorOf(address);
  }
  std::unique_ptr<HttpServer> server(new HttpServer(aLoop, aMaxBodyBytes, std::move(aHandler)));
  evhttp_set_allowed_methods(server->mServer.get(), kAllMethods);
  evhttp_set_max_body_size(server->mServer.get(), static_cast<ev_ssize_t>(aMaxBodyBytes));
  evhttp_set_max_headers_size(server->mServer.get(), kMaxHeaderBytes);
  evhttp_set_timeout(server->mServer.get(), kIdleTimeoutS);
  const auto onRequest = [](evhttp_request* aRequest, void* aSelf) {
    static_cast<HttpServer*>(aSelf)->onRequest(aRequest);
  };
  evhttp_set_gencb(server->mServer.get(), onRequest, server.get());
  const SocketAddress& parsed = valueOf(address);
  server->mSocket = evhttp_bind_socket_with_handle(
    server->mServer.get(), parsed.host().c_str(), static_cast<ev_uint16_t>(parsed.port()));
  if (server->mSocket == nullptr) {
    const std::string reason = std::generic_category().message(EVUTIL_SOCKET_ERROR());
    return Error::create(ErrorCode::eIo, "listen", aAddress, reason);
  }
  return server;
}

void
HttpServer::stopAccepting()
{
  announceStop();
  if (mSocket != nullptr) {
    evhttp_del_accept_socket(mServer.get(), static_cast<evhttp_bound_socket*>(mSocket));
    mSocket = nullptr;
  }
}

void
HttpServer::onRequest(evhttp_request* aRequest)
{
  evhttp_connection* connection = evhttp_request_get_connection(aRequest);
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  HttpConnectionGuard::Admission admission =
    mGuard->admit(evhttp_connection_get_bufferevent(connection), evbuffer_get_length(input));
  if (admission == nullptr) {
    evkeyvalq* headers = evhttp_request_get_output_headers(aRequest);
    evhttp_add_header(headers, "Retry-After", "1");
    evhttp_add_header(headers, "Connection", "close");
    evhttp_send_reply(aRequest, kStatusServiceUnavailable, nullptr, nullptr);
    return;
  }
  HttpRequest request;
  request.mMethod = methodName(evhttp_request_get_command(aRequest));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  request.mPath = path == nullptr ? "" : path;
  request.mQuery = query == nullptr ? "" : query;
  request.mHeaders = readHeaders(evhttp_request_get_input_headers(aRequest));
  request.mBody = readBody(input);
  evbuffer_drain(input, request.mBody.size());
  char* host = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(connection, &host, &port);
  request.mPeer =
    (host == nullptr ? std::string("unknown") : std::string(host)) + ":" + std::to_string(port);
  mHandler(std::move(request),
           std::make_shared<HttpResponder>(aRequest, mStopping, std::move(admission)));
}

} // namespace magnoliadrum
