#include "transport/LoopbackHost.h"
#include "transport/transport.h"

#include <boost/test/unit_test.hpp>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <functional>

using namespace magnoliadrum;

namespace {

const std::string kAddress = loopbackHost(1) + ":7001";
const std::string kSilentAddress = loopbackHost(1) + ":7002";
constexpr std::size_t kMaxBody = 1000;

/** The whole test ends at this deadline even when the awaited callback never comes. */
constexpr std::int64_t kTestLimitMs = 20000;

struct LoopFixture
{
  LoopFixture()
    : mLoop(takeValue(EventLoop::create()))
    , mLimit(mLoop->runAt(mLoop->now().plusMs(kTestLimitMs), [this]() {
      mTimedOut = true;
      mLoop->stop();
    }))
  {
  }

  void runUntilStopped()
  {
    mLoop->run();
    BOOST_REQUIRE(!mTimedOut);
  }

  std::unique_ptr<EventLoop> mLoop;
  bool mTimedOut = false;
  EventHandlePointer mLimit;
};

Hello
helloOf(const std::string& aProcessId)
{
  return valueOf(Hello::create(
    { .processKind = ProcessKind::eTool, .processId = aProcessId, .incarnation = "1" }));
}

MessageHandlers
ignoringHandlers()
{
  return { [](MessageConnection& /*aConnection*/) {},
           [](MessageConnection& /*aConnection*/, const Message& /*aMessage*/) {},
           [](MessageConnection& /*aConnection*/, const Error& /*aError*/) {} };
}

HttpCall
getCall(EventLoop& aLoop, const std::string& aPath, std::int64_t aLimitMs = 5000)
{
  return { "GET", aPath, {}, "", aLoop.now().plusMs(aLimitMs) };
}

} // namespace

BOOST_FIXTURE_TEST_CASE(messages_arrive_in_both_directions, LoopFixture)
{
  MessageHandlers echo = ignoringHandlers();
  echo.onMessage = [](MessageConnection& aConnection, const Message& aMessage) {
    aConnection.send(aMessage);
  };
  const auto server = takeValue(MessageServer::listen(*mLoop, kAddress, helloOf("server"), echo));
  const Message sent = valueOf(StatusQuery::create({ .requestId = "q1" }));
  Message received = sent;
  MessageHandlers client = ignoringHandlers();
  client.onOpen = [&](MessageConnection& aConnection) {
    BOOST_TEST(aConnection.peerHello().processId() == "server");
    aConnection.send(sent);
  };
  client.onMessage = [&](MessageConnection& /*aConnection*/, const Message& aMessage) {
    received = aMessage;
    mLoop->stop();
  };
  const auto connection =
    takeValue(MessageConnection::connect(*mLoop, kAddress, helloOf("client"), client));
  BOOST_TEST(!connection->send(sent), "a connection that is not open yet must refuse to send");
  runUntilStopped();
  BOOST_TEST((received == sent));
}

// Guards against a peer that connects and never speaks holding a connection for ever.
BOOST_FIXTURE_TEST_CASE(silent_peer_is_disconnected, LoopFixture)
{
  MessageHandlers handlers = ignoringHandlers();
  std::string step;
  handlers.onClosed = [&](MessageConnection& /*aConnection*/, const Error& aError) {
    step = aError.step();
    mLoop->stop();
  };
  const auto server =
    takeValue(MessageServer::listen(*mLoop, kSilentAddress, helloOf("server"), handlers));
  bufferevent* silent = bufferevent_socket_new(mLoop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const SocketAddress address = valueOf(SocketAddress::parse(kSilentAddress));
  BOOST_REQUIRE(bufferevent_socket_connect(silent, address.data(), address.length()) == 0);
  runUntilStopped();
  bufferevent_free(silent);
  BOOST_TEST(step == "hello");
}

// Guards against a malformed handshake crashing the server or going unreported.
BOOST_FIXTURE_TEST_CASE(garbage_closes_the_connection_with_an_error, LoopFixture)
{
  MessageHandlers handlers = ignoringHandlers();
  std::optional<Error> seen;
  handlers.onClosed = [&](MessageConnection& /*aConnection*/, const Error& aError) {
    seen = aError;
    mLoop->stop();
  };
  const auto server =
    takeValue(MessageServer::listen(*mLoop, kAddress, helloOf("server"), handlers));
  bufferevent* peer = bufferevent_socket_new(mLoop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const SocketAddress address = valueOf(SocketAddress::parse(kAddress));
  BOOST_REQUIRE(bufferevent_socket_connect(peer, address.data(), address.length()) == 0);
  const std::string garbage = "\x01\x02 no http\r\n\r\n";
  bufferevent_write(peer, garbage.data(), garbage.size());
  runUntilStopped();
  bufferevent_free(peer);
  BOOST_REQUIRE(seen);
  BOOST_TEST(seen->peer().find("127.0.0.1:") == 0U);
}

// Guards against connections that this side closes being kept for ever.
BOOST_FIXTURE_TEST_CASE(closed_connections_are_released_by_the_server, LoopFixture)
{
  MessageHandlers closing = ignoringHandlers();
  closing.onOpen = [](MessageConnection& aConnection) {
    const MessageConnectionPointer connection = aConnection.shared_from_this();
    connection->close("test");
  };
  const auto server =
    takeValue(MessageServer::listen(*mLoop, kAddress, helloOf("server"), closing));
  MessageHandlers client = ignoringHandlers();
  client.onClosed = [&](MessageConnection& /*aConnection*/, const Error& /*aError*/) {
    mLoop->stop();
  };
  constexpr int kConnections = 5;
  for (int number = 0; number < kConnections; number++) {
    const auto connection =
      takeValue(MessageConnection::connect(*mLoop, kAddress, helloOf("client"), client));
    runUntilStopped();
  }
  BOOST_TEST(server->connections().size() <= 1U);
}

BOOST_FIXTURE_TEST_CASE(refused_connection_is_reported, LoopFixture)
{
  MessageHandlers handlers = ignoringHandlers();
  std::optional<Error> seen;
  handlers.onClosed = [&](MessageConnection& /*aConnection*/, const Error& aError) {
    seen = aError;
    mLoop->stop();
  };
  const auto connection = takeValue(
    MessageConnection::connect(*mLoop, loopbackHost(1) + ":7099", helloOf("c"), handlers));
  runUntilStopped();
  BOOST_TEST((seen && seen->code() == ErrorCode::eUnavailable));
}

BOOST_FIXTURE_TEST_CASE(http_request_and_answer_arrive_whole, LoopFixture)
{
  const auto server = takeValue(HttpServer::listen(
    *mLoop, kAddress, kMaxBody, [](const HttpRequest& aRequest, const HttpResponderPointer& aOut) {
      const std::string text =
        aRequest.mMethod + " " + aRequest.mPath + " " + *aRequest.queryParameter("x");
      aOut->answer(valueOf(HttpAnswer::create({ .status = 201, .body = text + aRequest.mBody })));
    }));
  const auto client = takeValue(HttpClient::create(*mLoop, kAddress, 1));
  HttpCall call = getCall(*mLoop, "/a/b?x=1%202");
  call.mMethod = "POST";
  call.mBody = "!";
  std::optional<Result<HttpAnswer>> result;
  client->send(call, [&](Result<HttpAnswer> aResult) {
    result = std::move(aResult);
    mLoop->stop();
  });
  runUntilStopped();
  BOOST_REQUIRE((result && isOk(*result)));
  BOOST_TEST(valueOf(*result).status() == 201);
  BOOST_TEST(valueOf(*result).body() == "POST /a/b 1 2!");
}

// Guards against a caller that sends its next request on a connection which a planned stop then
// closes.
BOOST_FIXTURE_TEST_CASE(stopping_server_announces_the_end_of_the_connection, LoopFixture)
{
  std::unique_ptr<HttpServer> server;
  server = takeValue(HttpServer::listen(
    *mLoop, kAddress, kMaxBody, [&](const HttpRequest&, const HttpResponderPointer& aOut) {
      server->stopAccepting();
      aOut->answer(valueOf(HttpAnswer::create({ .status = 200 })));
    }));
  const auto client = takeValue(HttpClient::create(*mLoop, kAddress, 1));
  bool announced = false;
  client->send(getCall(*mLoop, "/"), [&](const Result<HttpAnswer>& aResult) {
    BOOST_REQUIRE(isOk(aResult));
    for (const HttpHeader& header : valueOf(aResult).headers()) {
      announced = announced || (header.name() == "Connection" && header.value() == "close");
    }
    mLoop->stop();
  });
  runUntilStopped();
  BOOST_TEST(announced);
}

// Guards against reporting "not run" for a request that the target may have seen, and the other way
// round.
BOOST_FIXTURE_TEST_CASE(errors_tell_whether_the_request_was_written, LoopFixture)
{
  const auto server = takeValue(HttpServer::listen(
    *mLoop, kAddress, kMaxBody, [](const HttpRequest&, const HttpResponderPointer& aOut) {
      static std::vector<HttpResponderPointer> sUnanswered;
      sUnanswered.push_back(aOut);
    }));
  const auto silent = takeValue(HttpClient::create(*mLoop, kAddress, 1));
  const auto absent = takeValue(HttpClient::create(*mLoop, loopbackHost(1) + ":7099", 1));
  std::optional<ErrorCode> silentCode;
  std::optional<ErrorCode> absentCode;
  constexpr std::int64_t kShortMs = 200;
  silent->send(getCall(*mLoop, "/", kShortMs), [&](const Result<HttpAnswer>& aResult) {
    silentCode = errorOf(aResult).code();
    mLoop->stop();
  });
  absent->send(getCall(*mLoop, "/", kShortMs),
               [&](const Result<HttpAnswer>& aResult) { absentCode = errorOf(aResult).code(); });
  runUntilStopped();
  BOOST_TEST((silentCode == ErrorCode::eTimeout));
  BOOST_TEST((absentCode == ErrorCode::eRefused));
}

// Guards against passing on an answer that the target cut in the middle.
BOOST_FIXTURE_TEST_CASE(cut_answers_are_errors, LoopFixture)
{
  const SocketAddress address = valueOf(SocketAddress::parse(kAddress));
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  BOOST_REQUIRE(::bind(listener, address.data(), address.length()) == 0);
  BOOST_REQUIRE(::listen(listener, 8) == 0);
  const std::vector<std::string> answers = { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                                             "HTTP/1.1 200 OK\r\n\r\nno length",
                                             "HTTP/1.1 200 OK\r\nTransfer-Enc" };
  const auto client = takeValue(HttpClient::create(*mLoop, kAddress, 1));
  for (const std::string& answer : answers) {
    std::optional<ErrorCode> code;
    client->send(getCall(*mLoop, "/"), [&](const Result<HttpAnswer>& aResult) {
      code = isOk(aResult) ? std::nullopt : std::optional(errorOf(aResult).code());
      mLoop->stop();
    });
    const EventHandlePointer peer = mLoop->runAt(mLoop->now().plusMs(50), [&]() {
      const int socket = ::accept(listener, nullptr, nullptr);
      (void)::send(socket, answer.data(), answer.size(), 0);
      ::shutdown(socket, SHUT_WR);
      ::close(socket);
    });
    runUntilStopped();
    BOOST_TEST((code == ErrorCode::eUnavailable), "answer: " << answer);
  }
  ::close(listener);
}

BOOST_FIXTURE_TEST_CASE(oversized_body_is_refused, LoopFixture)
{
  bool handled = false;
  const auto server = takeValue(HttpServer::listen(
    *mLoop, kAddress, kMaxBody, [&](const HttpRequest&, const HttpResponderPointer&) {
      handled = true;
    }));
  const auto client = takeValue(HttpClient::create(*mLoop, kAddress, 1));
  HttpCall call = getCall(*mLoop, "/");
  call.mMethod = "POST";
  call.mBody = std::string(kMaxBody + 1, 'x');
  client->send(call, [&](const Result<HttpAnswer>& aResult) {
    BOOST_TEST((isOk(aResult) ? valueOf(aResult).status() == 413 : true));
    mLoop->stop();
  });
  runUntilStopped();
  BOOST_TEST(!handled);
}
