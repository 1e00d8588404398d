#include "testbench/FakeExecutor.h"
#include "testbench/FakeWorker.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace magnoliadrum;

namespace {

constexpr const char* kAddress = "127.0.0.1:39701";
constexpr std::int64_t kLimitMs = 10000;
constexpr int kOk = 200;
constexpr int kConflict = 409;

struct TargetFixture
{
  TargetFixture()
    : mLoop(takeValue(EventLoop::create()))
    , mClient(takeValue(HttpClient::create(*mLoop, kAddress, 4)))
  {
  }

  Result<HttpAnswer> send(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody,
                          const std::vector<HttpHeader>& aHeaders = {})
  {
    std::optional<Result<HttpAnswer>> result;
    const HttpCall call{ aMethod, aPath, aHeaders, aBody, mLoop->now().plusMs(kLimitMs) };
    mClient->send(call, [&](Result<HttpAnswer> aResult) {
      result = std::move(aResult);
      mLoop->stop();
    });
    while (!result) {
      mLoop->run();
    }
    return *result;
  }

  void wait(std::int64_t aMs)
  {
    const EventHandlePointer timer =
      mLoop->runAt(mLoop->now().plusMs(aMs), [this]() { mLoop->stop(); });
    mLoop->run();
  }

  std::unique_ptr<EventLoop> mLoop;
  std::unique_ptr<HttpClient> mClient;
};

struct WorkerFixture : TargetFixture
{
  WorkerFixture()
  {
    const Resources capacity = valueOf(Resources::create({ .cpuMilli = 1000, .memoryMb = 10 }));
    mWorker = takeValue(FakeWorker::start(
      *mLoop, { .mListenAddress = kAddress, .mCapacity = capacity, .mUsageLagMs = 50 }));
  }

  int post(const std::string& aPath, nlohmann::json aBody, std::int64_t aToken = 5)
  {
    aBody["token"] = aToken;
    const Result<HttpAnswer> answer = send("POST", aPath, aBody.dump());
    BOOST_REQUIRE(isOk(answer));
    mBody = nlohmann::json::parse(valueOf(answer).body());
    return static_cast<int>(valueOf(answer).status());
  }

  int start(const std::string& aTask,
            std::int64_t aEpoch,
            const std::string& aPayload,
            const std::string& aCheckpoint = "",
            std::int64_t aLeaseMs = kLimitMs)
  {
    return post("/start",
                { { "taskId", aTask },
                  { "epoch", aEpoch },
                  { "entryName", "plan" },
                  { "kind", "batch" },
                  { "payload", aPayload },
                  { "checkpoint", aCheckpoint },
                  { "resources", { { "cpuMilli", 800 } } },
                  { "leaseUntilMs", mLoop->now().plusMs(aLeaseMs).ms() } });
  }

  nlohmann::json task(const std::string& aTask, std::int64_t aEpoch)
  {
    const Result<HttpAnswer> answer = send("GET", "/tasks", "");
    BOOST_REQUIRE(isOk(answer));
    const nlohmann::json listing = nlohmann::json::parse(valueOf(answer).body());
    for (const nlohmann::json& item : listing.at("tasks")) {
      if (item.at("taskId") == aTask && item.at("epoch") == aEpoch) {
        return item;
      }
    }
    return { { "state", "absent" } };
  }

  std::unique_ptr<FakeWorker> mWorker;
  nlohmann::json mBody;
};

struct ExecutorFixture : TargetFixture
{
  void startWith(const ExecutorBehaviour& aBehaviour)
  {
    mExecutor = takeValue(
      FakeExecutor::start(*mLoop, { .mListenAddress = kAddress, .mBehaviour = aBehaviour }));
  }

  Result<HttpAnswer> request()
  {
    const HttpHeader id =
      valueOf(HttpHeader::create({ .name = "X-Request-Id", .value = "request-1" }));
    return send("POST", "/work?key=k1", "hello", { id });
  }

  std::unique_ptr<FakeExecutor> mExecutor;
};

} // namespace

// Guards against a stand-in that hides overcommitment by refusing it.
BOOST_FIXTURE_TEST_CASE(worker_starts_what_does_not_fit, WorkerFixture)
{
  BOOST_TEST(start("a", 1, "") == kOk);
  BOOST_TEST(start("b", 1, "") == kOk);
  BOOST_TEST(task("b", 1).at("state") == "running");
  wait(100);
  BOOST_TEST(task("b", 1).at("used").at("cpuMilli") == 800);
}

// Guards against an old agent process or an old placement that still acts.
BOOST_FIXTURE_TEST_CASE(worker_refuses_lower_tokens_and_epochs, WorkerFixture)
{
  BOOST_TEST(post("/claim", {}, 6) == kOk);
  BOOST_TEST(post("/claim", {}, 5) == kConflict);
  BOOST_TEST(mBody.at("error") == "stale-token");
  BOOST_TEST(post("/stop", { { "taskId", "a" }, { "epoch", 2 }, { "mode", "kill" } }, 6) == kOk);
  const auto startAs = [this](std::int64_t aEpoch) {
    return post("/start",
                { { "taskId", "a" },
                  { "epoch", aEpoch },
                  { "resources", nlohmann::json::object() },
                  { "leaseUntilMs", mLoop->now().plusMs(kLimitMs).ms() } },
                6);
  };
  BOOST_TEST(startAs(1) == kConflict);
  BOOST_TEST(startAs(2) == kOk);
  BOOST_TEST(task("a", 2).at("state") == "stopped", "a start that a stop overtook took effect");
}

// Guards against a task that outlives its lease or is revived.
BOOST_FIXTURE_TEST_CASE(worker_stops_a_task_whose_lease_is_over, WorkerFixture)
{
  BOOST_TEST(start("a", 1, "", "", -1) == kConflict);
  BOOST_TEST(start("b", 1, "", "", 100) == kOk);
  wait(200);
  post("/lease", { { "leaseUntilMs", mLoop->now().plusMs(kLimitMs).ms() } });
  BOOST_TEST(task("b", 1).at("state") == "stopped");
}

// Guards against lost progress after an eviction, and against a second publication.
BOOST_FIXTURE_TEST_CASE(worker_resumes_from_a_checkpoint_and_publishes_on_request, WorkerFixture)
{
  const std::string payload = R"({"runMs":600})";
  BOOST_TEST(start("a", 1, payload) == kOk);
  wait(400);
  BOOST_TEST(post("/stop", { { "taskId", "a" }, { "epoch", 1 }, { "mode", "checkpoint" } }) == kOk);
  const std::string checkpoint = mBody.at("checkpoint").get<std::string>();
  const nlohmann::json second = { { "taskId", "a" }, { "epoch", 2 } };
  BOOST_TEST(start("a", 2, payload, checkpoint) == kOk);
  BOOST_TEST(task("a", 2).at("progress").get<double>() > 0.5);
  BOOST_TEST(post("/publish", second) == kConflict);
  wait(400);
  BOOST_TEST(task("a", 2).at("state") == "completed");
  BOOST_TEST(post("/publish", second) == kOk);
  BOOST_TEST(post("/publish", second) == kOk);
  BOOST_TEST(task("a", 2).at("state") == "published");
}

// Guards against answers in which a mix-up would not show.
BOOST_FIXTURE_TEST_CASE(executor_answers_with_the_request, ExecutorFixture)
{
  startWith({});
  const Result<HttpAnswer> answer = request();
  BOOST_REQUIRE(isOk(answer));
  const nlohmann::json body = nlohmann::json::parse(valueOf(answer).body());
  BOOST_TEST(body.at("requestId") == "request-1");
  BOOST_TEST(body.at("key") == "k1");
  BOOST_TEST(body.at("body") == "hello");
}

// Guards against faults that a caller cannot tell from a whole answer.
BOOST_FIXTURE_TEST_CASE(executor_fails_as_told, ExecutorFixture)
{
  startWith({ .mFailShare = 1 });
  BOOST_TEST(valueOf(request()).status() == 500);
  for (const char* fault :
       { R"({"failShare":0,"cutShare":1})", R"({"cutShare":0,"closeShare":1})" }) {
    BOOST_REQUIRE(isOk(send("POST", "/fake/behaviour", fault)));
    const Result<HttpAnswer> answer = request();
    BOOST_REQUIRE(!isOk(answer));
    BOOST_TEST(errorCodeName(errorOf(answer).code()) == "unavailable");
  }
}
