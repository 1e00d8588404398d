#include "platform/platform.h"
#include "state/BuildValue.h"
#include "transport/LoopbackHost.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

using namespace magnoliadrum;
using namespace magnoliadrum::platform;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxBody = 100000;
constexpr std::int64_t kTestLimitMs = 10000;
constexpr std::int64_t kAckedEnds = 6;

/** A worker whose process is replaced by another incarnation at the same address. */
struct RestartedWorkerFixture
{
  RestartedWorkerFixture()
    : mLimit(mLoop->runAt(mLoop->now().plusMs(kTestLimitMs), [this]() { mLoop->stop(); }))
  {
    boot(5);
    mClient = takeValue(PlatformWorkerClient::create(
      *mLoop,
      mAddress,
      buildValue<WorkerDescription>({ .workerId = "w", .bornMs = 5, .poolName = "desk" })));
  }

  void boot(std::int64_t aBornMs)
  {
    mServer.reset();
    mCalls.clear();
    mServer = takeValue(HttpServer::listen(
      *mLoop,
      mAddress,
      kMaxBody,
      [this, aBornMs](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
        mCalls.emplace_back(aRequest.mPath, json::parse(aRequest.mBody));
        const json body = { { "ClockMs", 1000 },
                            { "born", aBornMs },
                            { "Running", json::array() },
                            { "EndedRuns", json::array() } };
        aResponder->answer(valueOf(HttpAnswer::create({ .status = 200, .body = body.dump() })));
      }));
  }

  Result<RunLists> listRuns()
  {
    std::optional<Result<RunLists>> lists;
    mClient->listRuns({ .fence = 7, .ackedEnds = kAckedEnds, .leaseUntilMs = 9000 },
                      [this, &lists](const Result<RunLists>& aLists) {
                        lists = aLists;
                        mLoop->stop();
                      });
    if (!lists) {
      mLoop->run();
    }
    BOOST_REQUIRE(lists.has_value());
    return *lists;
  }

  std::unique_ptr<EventLoop> mLoop = takeValue(EventLoop::create());
  EventHandlePointer mLimit;
  std::string mAddress = loopbackHost(62) + ":18162";
  std::vector<std::pair<std::string, json>> mCalls;
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<WorkerClient> mClient;
};

} // namespace

BOOST_AUTO_TEST_SUITE(incarnation_proof)

// Guards against done tasks that run again: a worker that restarts under its id before it registers
// must not take a cursor, a lease or an order of its predecessor for its own.
BOOST_FIXTURE_TEST_CASE(restarted_worker_gets_nothing_of_its_predecessor, RestartedWorkerFixture)
{
  BOOST_REQUIRE(isOk(listRuns()));
  BOOST_TEST(mCalls.back().second.at("AckCursor") == kAckedEnds);
  // The event loop has not handled the end of the connections when the next call is made.
  boot(6);
  const Result<RunLists> lists = listRuns();
  BOOST_REQUIRE(!isOk(lists));
  BOOST_TEST((errorOf(lists).code() == ErrorCode::eConflict));
  std::optional<OrderResult> started;
  mClient->start(buildValue<StartOrder>({ .task = "c.0.0.0", .run = 1 }),
                 7,
                 9000,
                 [this, &started](OrderResult aResult, std::int64_t /*aClockMs*/) {
                   started = aResult;
                   mLoop->stop();
                 });
  mLoop->run();
  BOOST_REQUIRE(started.has_value());
  BOOST_TEST((*started == OrderResult::eNotSent));
  BOOST_TEST(mCalls.size() == 2u);
  for (const auto& [path, body] : mCalls) {
    BOOST_TEST(path == "/-/hold");
    BOOST_TEST(body.at("AckCursor") == 0);
    BOOST_TEST(!body.contains("DeadlineMs"));
  }
}

BOOST_FIXTURE_TEST_CASE(same_incarnation_is_proven_again_on_a_new_connection,
                        RestartedWorkerFixture)
{
  BOOST_REQUIRE(isOk(listRuns()));
  BOOST_REQUIRE(isOk(listRuns()));
  BOOST_TEST(mCalls.size() == 3u, "the proof is not repeated while its connection is open");
  boot(5);
  BOOST_REQUIRE(isOk(listRuns()));
  BOOST_REQUIRE(mCalls.size() == 2u);
  BOOST_TEST(mCalls.at(0).second.at("AckCursor") == 0);
  BOOST_TEST(mCalls.at(1).second.at("AckCursor") == kAckedEnds);
}

// Guards against ended runs that are never acknowledged to a worker that closes each connection.
BOOST_FIXTURE_TEST_CASE(worker_without_persistent_connections_gets_the_cursor,
                        RestartedWorkerFixture)
{
  mServer->announceStop();
  for (int round = 0; round < 2; round++) {
    BOOST_REQUIRE(isOk(listRuns()));
    BOOST_TEST(mCalls.back().second.at("AckCursor") == kAckedEnds);
  }
  BOOST_TEST(mCalls.size() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
