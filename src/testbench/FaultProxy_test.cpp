#include "testbench/FaultProxy.h"
#include "testbench/FrameSplitter.h"
#include "transport/LoopbackHost.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

const std::string kServer = loopbackHost(1) + ":7001";
const std::string kProxy = loopbackHost(1) + ":7002";
constexpr std::int64_t kTestLimitMs = 20000;

/** A server behind the proxy and a client in front of it; collects the ids that arrive at the
 * server. */
struct ProxyFixture
{
  ProxyFixture()
    : mLoop(takeValue(EventLoop::create()))
    , mProxy(takeValue(FaultProxy::create(*mLoop, { { "server", kProxy, kServer } })))
    , mLimit(mLoop->runAt(mLoop->now().plusMs(kTestLimitMs), [this]() {
      mTimedOut = true;
      mLoop->stop();
    }))
  {
    MessageHandlers server = ignoring();
    server.onMessage = [this](MessageConnection& /*aConnection*/, const Message& aMessage) {
      mArrived.push_back(std::get<StatusQuery>(aMessage).requestId());
      stopWhenArrived();
    };
    mServer = takeValue(MessageServer::listen(*mLoop, kServer, hello("server"), server));
  }

  static MessageHandlers ignoring()
  {
    return { [](MessageConnection& /*aConnection*/) {},
             [](MessageConnection& /*aConnection*/, const Message& /*aMessage*/) {},
             [](MessageConnection& /*aConnection*/, const Error& /*aError*/) {} };
  }

  static Hello hello(const std::string& aName)
  {
    return valueOf(Hello::create({ ProcessKind::eTool, aName, "1" }));
  }

  /** Connects and sends the messages a, b and c. */
  void sendThree()
  {
    MessageHandlers client = ignoring();
    client.onOpen = [](MessageConnection& aConnection) {
      for (const char* id : { "a", "b", "c" }) {
        aConnection.send(valueOf(StatusQuery::create({ .requestId = id })));
      }
    };
    client.onClosed = [this](MessageConnection& /*aConnection*/, const Error& /*aError*/) {
      mClientClosed = true;
      mLoop->stop();
    };
    mClient = takeValue(MessageConnection::connect(*mLoop, kProxy, hello("client"), client));
  }

  void stopWhenArrived()
  {
    if (mArrived.size() == mExpected) {
      mLoop->stop();
    }
  }

  void run()
  {
    mLoop->run();
    BOOST_REQUIRE(!mTimedOut);
  }

  std::unique_ptr<EventLoop> mLoop;
  std::unique_ptr<FaultProxy> mProxy;
  std::unique_ptr<MessageServer> mServer;
  MessageConnectionPointer mClient;
  std::vector<std::string> mArrived;
  std::size_t mExpected = 3;
  bool mClientClosed = false;
  bool mTimedOut = false;
  EventHandlePointer mLimit;
};

/** Frames that precede the first message of the client: the handshake and Hello. */
constexpr std::int64_t kOpeningFrames = 2;

FaultRule
ruleOf(FaultKind aKind)
{
  FaultRule rule;
  rule.mKind = aKind;
  rule.mDirection = FaultDirection::eToServer;
  rule.mAfterFrames = kOpeningFrames;
  rule.mTimes = 1;
  return rule;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(frames_pass_unchanged_without_rules, ProxyFixture)
{
  sendThree();
  run();
  BOOST_TEST(mArrived == std::vector<std::string>({ "a", "b", "c" }),
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(frame_is_duplicated, ProxyFixture)
{
  mExpected = 4;
  mProxy->setRules({ ruleOf(FaultKind::eDuplicate) });
  sendThree();
  run();
  BOOST_TEST(mArrived == std::vector<std::string>({ "a", "a", "b", "c" }),
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(frame_is_reordered, ProxyFixture)
{
  mProxy->setRules({ ruleOf(FaultKind::eReorder) });
  sendThree();
  run();
  BOOST_TEST(mArrived == std::vector<std::string>({ "b", "a", "c" }),
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(truncated_frame_closes_the_connection_without_a_message, ProxyFixture)
{
  mProxy->setRules({ ruleOf(FaultKind::eTruncate) });
  sendThree();
  run();
  BOOST_TEST(mClientClosed);
  BOOST_TEST(mArrived.empty());
}

// Guards against a cut that loses or reveals bytes instead of holding them back.
BOOST_FIXTURE_TEST_CASE(cut_holds_frames_until_it_is_healed, ProxyFixture)
{
  constexpr std::int64_t kCutMs = 300;
  FaultRule cut = ruleOf(FaultKind::eCut);
  mProxy->setRules({ cut });
  sendThree();
  const EventHandlePointer heal = mLoop->runAt(mLoop->now().plusMs(kCutMs), [this]() {
    BOOST_TEST(mArrived.empty());
    mProxy->setRules({});
  });
  run();
  BOOST_TEST(mArrived.size() == 3U);
}

BOOST_AUTO_TEST_CASE(frames_are_found_in_any_partition_of_the_bytes)
{
  const std::string handshake = "GET / HTTP/1.1\r\n\r\n";
  const std::string shortFrame = std::string("\x82\x03", 2) + "abc";
  const std::string longFrame = std::string("\x82\x7e\x01\x00", 4) + std::string(256, 'x');
  const std::string all = handshake + shortFrame + longFrame;
  for (std::size_t step = 1; step < 40; step++) {
    FrameSplitter splitter;
    std::vector<std::string> pieces;
    for (std::size_t position = 0; position < all.size(); position += step) {
      for (const std::string& piece : splitter.add(std::string_view(all).substr(position, step))) {
        pieces.push_back(piece);
      }
    }
    BOOST_REQUIRE(pieces.size() == 3U);
    BOOST_TEST(pieces[2] == longFrame);
  }
}
