#include "agent/AgentService.h"
#include "transport/LoopbackHost.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace magnoliadrum;

// Runs the agent in one event loop with a simulated control leader, gateway and target.

namespace {

const std::string kControlAddress = loopbackHost(1) + ":7001";
const std::string kAgentAddress = loopbackHost(1) + ":7002";
const std::string kTargetAddress = loopbackHost(1) + ":7003";
constexpr std::int64_t kSession = 3;
constexpr std::int64_t kTestTimeoutMs = 20000;

Hello
hello(ProcessKind aKind)
{
  return valueOf(
    Hello::create({ .processKind = aKind, .processId = toText(aKind), .incarnation = "1" }));
}

CatalogueRecord
record(const std::string& aName, EntryKind aKind)
{
  const CatalogueEntry entry = valueOf(CatalogueEntry::create({ .name = aName,
                                                                .owner = "guild",
                                                                .kind = aKind,
                                                                .workClass = WorkClass::eBatch,
                                                                .dataCentres = { "Waco" } }));
  return valueOf(CatalogueRecord::create(
    { .recordName = aName, .version = 1, .catalogueVersion = 1, .entry = entry }));
}

struct Fixture
{
  Fixture()
    : mLoop(takeValue(EventLoop::create()))
    , mTimeout(mLoop->runAt(mLoop->now().plusMs(kTestTimeoutMs), [this]() {
      BOOST_ERROR("the test did not end in time");
      mLoop->stop();
    }))
  {
    configureLogging("agent_test", "error");
    MessageHandlers handlers = ignoringHandlers();
    handlers.onMessage = [this](MessageConnection& aConnection, const Message& aMessage) {
      onControlMessage(aConnection, aMessage);
    };
    mControl = takeValue(
      MessageServer::listen(*mLoop, kControlAddress, hello(ProcessKind::eControl), handlers));
  }

  static MessageHandlers ignoringHandlers()
  {
    return { [](MessageConnection&) {},
             [](MessageConnection&, const Message&) {},
             [](MessageConnection&, const Error&) {} };
  }

  /** Grants and renews the session, acknowledges reports and records the events. */
  void onControlMessage(MessageConnection& aConnection, const Message& aMessage)
  {
    const std::int64_t leaseUntilMs = mLoop->now().plusMs(1000).ms();
    if (std::holds_alternative<SessionOpen>(aMessage)) {
      mEvents.push_back("open");
      aConnection.send(valueOf(
        SessionGranted::create({ .session = kSession, .leaseUntilMs = leaseUntilMs, .term = 1 })));
      aConnection.send(
        valueOf(CatalogueUpdate::create({ .term = 1,
                                          .complete = true,
                                          .fromVersion = 0,
                                          .toVersion = 1,
                                          .records = { record("basket", EntryKind::eService),
                                                       record("plan", EntryKind::eBatch) } })));
      mLeaderConnection = aConnection.shared_from_this();
    } else if (std::holds_alternative<SessionHeartbeat>(aMessage)) {
      aConnection.send(valueOf(
        SessionRenewed::create({ .session = kSession, .leaseUntilMs = leaseUntilMs, .term = 1 })));
      if (mOnReady && std::get<SessionHeartbeat>(aMessage).catalogueVersion() == 1) {
        std::exchange(mOnReady, nullptr)();
      }
    } else if (const TaskReport* report = std::get_if<TaskReport>(&aMessage)) {
      mEvents.push_back(std::string("report ") + toText(report->state()) + " " +
                        report->checkpoint());
      aConnection.send(valueOf(TaskReportAck::create(
        { .taskId = report->taskId(), .epoch = report->epoch(), .state = report->state() })));
      if (mOnReport) {
        mOnReport(*report);
      }
    } else if (std::holds_alternative<SessionClose>(aMessage)) {
      mEvents.push_back("close");
    }
  }

  void startAgent(TargetKind aKind)
  {
    const AgentSettings settings = valueOf(AgentSettings::create(
      { .processId = "target-1",
        .listenAddress = kAgentAddress,
        .targetKind = aKind,
        .targetAddress = kTargetAddress,
        .entryName = aKind == TargetKind::eExecutor ? "basket" : "",
        .dataCentre = "Waco",
        .rack = "r1",
        .capacity = valueOf(Resources::create({ .cpuMilli = 1000 })),
        .slots = 2,
        .connections = 2,
        .controlAddresses = { kControlAddress },
        .lease = valueOf(LeaseSettings::create({ .leaseMs = 1000, .heartbeatMs = 50 })) }));
    mAgent = takeValue(AgentService::start(*mLoop, settings));
  }

  void startTarget(HttpServer::Handler aHandler)
  {
    mTarget = takeValue(HttpServer::listen(*mLoop, kTargetAddress, 100000, std::move(aHandler)));
  }

  /** Once the agent has the catalogue, connects as a gateway and sends a request. */
  void sendRequest()
  {
    mOnReady = [this]() {
      MessageHandlers handlers = ignoringHandlers();
      handlers.onOpen = [this](MessageConnection& aConnection) {
        aConnection.send(
          valueOf(RequestDispatch::create({ .requestId = "request-1",
                                            .entryName = "basket",
                                            .session = kSession,
                                            .deadlineMs = mLoop->now().plusMs(5000).ms(),
                                            .method = "POST",
                                            .path = "/work",
                                            .body = "hello" })));
      };
      handlers.onMessage = [this](MessageConnection&, const Message& aMessage) {
        if (!std::holds_alternative<AgentStatus>(aMessage)) {
          mReply = aMessage;
          mLoop->stop();
        }
      };
      mGatewayConnection = takeValue(
        MessageConnection::connect(*mLoop, kAgentAddress, hello(ProcessKind::eGateway), handlers));
    };
  }

  void sendStart()
  {
    mLeaderConnection->send(
      valueOf(TaskStart::create({ .session = kSession,
                                  .taskId = "plan/1",
                                  .epoch = 1,
                                  .entryName = "plan",
                                  .workClass = WorkClass::eBatch,
                                  .resources = valueOf(Resources::create({ .cpuMilli = 500 })) })));
  }

  std::unique_ptr<EventLoop> mLoop;
  std::unique_ptr<MessageServer> mControl;
  std::unique_ptr<HttpServer> mTarget;
  std::unique_ptr<AgentService> mAgent;
  MessageConnectionPointer mLeaderConnection;
  MessageConnectionPointer mGatewayConnection;
  std::function<void()> mOnReady;
  std::function<void(const TaskReport&)> mOnReport;
  std::vector<std::string> mEvents;
  std::optional<Message> mReply;
  EventHandlePointer mTimeout;
};

void
answer(const HttpResponderPointer& aResponder, const std::string& aBody, int aStatus = 200)
{
  aResponder->answer(valueOf(HttpAnswer::create({ .status = aStatus, .body = aBody })));
}

} // namespace

// Guards against forwarding a request without its id or body.
BOOST_FIXTURE_TEST_CASE(request_reaches_the_executor_with_its_id, Fixture)
{
  startTarget([](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
    answer(aResponder, aRequest.header("X-Request-Id").value_or("") + " " + aRequest.mBody);
  });
  startAgent(TargetKind::eExecutor);
  sendRequest();
  mLoop->run();
  BOOST_REQUIRE(mReply && std::holds_alternative<RequestAnswer>(*mReply));
  BOOST_TEST(std::get<RequestAnswer>(*mReply).answer().body() == "request-1 hello");
}

// Guards against reporting an unknown outcome for a request that never reached an executor.
BOOST_FIXTURE_TEST_CASE(request_without_a_reachable_executor_is_refused, Fixture)
{
  startAgent(TargetKind::eExecutor);
  sendRequest();
  mLoop->run();
  BOOST_REQUIRE(mReply && std::holds_alternative<RequestRefused>(*mReply));
  BOOST_TEST(toText(std::get<RequestRefused>(*mReply).reason()) == "executor-unreachable");
}

// Guards against reporting "not run" when the executor received the request but the connection
// failed before the answer.
BOOST_FIXTURE_TEST_CASE(request_with_a_lost_answer_has_an_unknown_outcome, Fixture)
{
  startTarget([this](const HttpRequest& /*aRequest*/, const HttpResponderPointer& aResponder) {
    mLoop->post([this, aResponder]() { mTarget.reset(); });
  });
  startAgent(TargetKind::eExecutor);
  sendRequest();
  mLoop->run();
  BOOST_REQUIRE(mReply);
  BOOST_TEST(std::holds_alternative<RequestFailed>(*mReply));
}

// Guards against a planned shutdown that aborts a request in flight.
BOOST_FIXTURE_TEST_CASE(shutdown_waits_for_the_request_in_flight, Fixture)
{
  EventHandlePointer delay;
  startTarget([&](const HttpRequest& /*aRequest*/, const HttpResponderPointer& aResponder) {
    mAgent->beginShutdown();
    delay = mLoop->runAt(mLoop->now().plusMs(300), [aResponder]() { answer(aResponder, "late"); });
  });
  startAgent(TargetKind::eExecutor);
  sendRequest();
  mLoop->run();
  BOOST_REQUIRE(mReply && std::holds_alternative<RequestAnswer>(*mReply));
  BOOST_TEST(std::get<RequestAnswer>(*mReply).answer().body() == "late");
  mLoop->run();
  BOOST_TEST(mEvents.back() == "close");
  BOOST_TEST(!mAgent->wasAborted());
}

// Guards against calling a worker before it is claimed, and against a planned shutdown that stops a
// task without a checkpoint.
BOOST_FIXTURE_TEST_CASE(task_is_started_and_stopped_with_a_checkpoint_at_shutdown, Fixture)
{
  nlohmann::json tasks = nlohmann::json::array();
  startTarget([&](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
    if (aRequest.mPath != "/tasks" && aRequest.mPath != "/lease") {
      mEvents.push_back(aRequest.mPath);
    }
    if (aRequest.mPath == "/start") {
      const nlohmann::json body = nlohmann::json::parse(aRequest.mBody);
      BOOST_TEST(body.at("leaseUntilMs").get<std::int64_t>() > mLoop->now().ms());
      tasks.push_back({ { "taskId", "plan/1" }, { "epoch", 1 }, { "state", "running" } });
    }
    if (aRequest.mPath == "/stop") {
      BOOST_TEST(nlohmann::json::parse(aRequest.mBody).at("mode") == "checkpoint");
      tasks[0]["state"] = "stopped";
      answer(aResponder, R"({"checkpoint":"c1"})");
      return;
    }
    answer(aResponder, nlohmann::json{ { "tasks", tasks } }.dump());
  });
  mOnReady = [this]() { sendStart(); };
  mOnReport = [this](const TaskReport& aReport) {
    if (aReport.state() == TaskState::eRunning) {
      mLoop->post([this]() { mAgent->beginShutdown(); });
    }
  };
  startAgent(TargetKind::eWorker);
  mLoop->run();
  const std::vector<std::string> expected = {
    "/claim", "open", "/start", "report running ", "/stop", "report stopped c1", "close"
  };
  BOOST_TEST(mEvents == expected, boost::test_tools::per_element());
  BOOST_TEST(!mAgent->wasAborted());
}

// Guards against two agents controlling the same worker.
BOOST_FIXTURE_TEST_CASE(agent_ends_when_another_agent_claims_its_worker, Fixture)
{
  startTarget([](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
    const bool isStart = aRequest.mPath == "/start";
    answer(
      aResponder, isStart ? R"({"error":"stale-token"})" : R"({"tasks":[]})", isStart ? 409 : 200);
  });
  mOnReady = [this]() { sendStart(); };
  startAgent(TargetKind::eWorker);
  mLoop->run();
  BOOST_TEST(mAgent->wasAborted());
}
