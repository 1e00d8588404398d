#include "gateway/gateway.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace magnoliadrum;

namespace {

constexpr std::int64_t kTestTimeoutMs = 20000;
constexpr std::int64_t kHeartbeatMs = 50;
constexpr std::int64_t kLeaseMs = 1500;
constexpr std::size_t kMaxBodyBytes = 300000;

/** Returns a loopback address with an unused port, since several tests may run on the same host. */
std::string
freeAddress()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  BOOST_REQUIRE(::bind(socket, generic, length) == 0);
  BOOST_REQUIRE(::getsockname(socket, generic, &length) == 0);
  ::close(socket);
  return SocketAddress::format(generic);
}

struct Addresses
{
  std::string mGateway = freeAddress();
  std::string mControl = freeAddress();
  std::string mAgent = freeAddress();
};

Hello
helloOf(ProcessKind aKind, const std::string& aProcessId)
{
  return valueOf(
    Hello::create({ .processKind = aKind, .processId = aProcessId, .incarnation = "1" }));
}

/** A control leader that grants a session, announces one entry and one target, and grants every
 * idempotency key. */
class StubControl
{
public:
  StubControl(EventLoop& aLoop, const Addresses& aAddresses)
    : mAddresses(aAddresses)
    , mServer(takeValue(MessageServer::listen(aLoop,
                                              mAddresses.mControl,
                                              helloOf(ProcessKind::eControl, "control"),
                                              handlers())))
  {
  }

  std::vector<IntentEnd> mIntentEnds;
  std::int64_t mReportedRequests = 0;
  bool mSessionClosed = false;
  bool mGrantsSessions = true;

private:
  MessageHandlers handlers()
  {
    return { [](MessageConnection& /*aConnection*/) {},
             [this](MessageConnection& aConnection, const Message& aMessage) {
               onMessage(aConnection, aMessage);
             },
             [](MessageConnection& /*aConnection*/, const Error& /*aError*/) {} };
  }

  void onMessage(MessageConnection& aConnection, const Message& aMessage)
  {
    if (const SessionOpen* open = std::get_if<SessionOpen>(&aMessage)) {
      if (mGrantsSessions) {
        grantSession(aConnection, *open);
      }
    } else if (const SessionHeartbeat* heartbeat = std::get_if<SessionHeartbeat>(&aMessage)) {
      for (const ServiceCounters& counters : heartbeat->counters()) {
        mReportedRequests = counters.total();
      }
      aConnection.send(valueOf(SessionRenewed::create(
        { .session = 1, .leaseUntilMs = heartbeat->sentAtMs() + kLeaseMs, .term = 1 })));
    } else if (const IntentBegin* begin = std::get_if<IntentBegin>(&aMessage)) {
      aConnection.send(
        valueOf(IntentStatus::create({ .requestId = begin->requestId(), .granted = true })));
    } else if (const IntentEnd* end = std::get_if<IntentEnd>(&aMessage)) {
      mIntentEnds.push_back(*end);
      aConnection.send(
        valueOf(IntentStatus::create({ .requestId = end->requestId(), .granted = false })));
    } else if (const ChangeSubmit* change = std::get_if<ChangeSubmit>(&aMessage)) {
      const ChangeAnswer answer =
        valueOf(ChangeAnswer::create({ .changeId = "c",
                                       .outcome = ChangeOutcome::eConflict,
                                       .version = 7,
                                       .catalogueVersion = 9 }));
      aConnection.send(
        valueOf(ChangeResult::create({ .requestId = change->requestId(), .answer = answer })));
    } else if (std::holds_alternative<SessionClose>(aMessage)) {
      mSessionClosed = true;
    }
  }

  void grantSession(MessageConnection& aConnection, const SessionOpen& aOpen) const
  {
    const CatalogueEntry entry =
      valueOf(CatalogueEntry::create({ .name = "svc",
                                       .owner = "guild",
                                       .kind = EntryKind::eService,
                                       .workClass = WorkClass::eLatencyCritical,
                                       .dataCentres = { "Waco" } }));
    const CatalogueRecord record = valueOf(CatalogueRecord::create(
      { .recordName = "svc", .version = 1, .catalogueVersion = 1, .entry = entry }));
    const TargetDescription target =
      valueOf(TargetDescription::create({ .targetId = "agent",
                                          .targetKind = TargetKind::eExecutor,
                                          .entryName = "svc",
                                          .agentAddress = mAddresses.mAgent,
                                          .dataCentre = "Waco",
                                          .rack = "r",
                                          .slots = 8 }));
    aConnection.send(valueOf(SessionGranted::create(
      { .session = 1, .leaseUntilMs = aOpen.sentAtMs() + kLeaseMs, .term = 1 })));
    aConnection.send(valueOf(CatalogueUpdate::create(
      { .term = 1, .complete = true, .fromVersion = 0, .toVersion = 1, .records = { record } })));
    const TargetStatus status = valueOf(TargetStatus::create({ .target = target, .session = 5 }));
    aConnection.send(
      valueOf(TargetUpdate::create({ .term = 1, .version = 1, .targets = { status } })));
  }

  Addresses mAddresses;
  std::unique_ptr<MessageServer> mServer;
};

/** An agent that answers each request after a delay with the request's path as the body. */
class StubAgent
{
public:
  StubAgent(EventLoop& aLoop, const Addresses& aAddresses)
    : mLoop(aLoop)
    , mServer(takeValue(MessageServer::listen(aLoop,
                                              aAddresses.mAgent,
                                              helloOf(ProcessKind::eAgent, "agent"),
                                              handlers())))
    , mStatusTimer(aLoop.runEvery(kHeartbeatMs, [this]() { sendStatus(); }))
  {
  }

  std::int64_t mAnswerDelayMs = 0;
  int mRequests = 0;

private:
  MessageHandlers handlers()
  {
    return { [](MessageConnection& /*aConnection*/) {},
             [this](MessageConnection& aConnection, const Message& aMessage) {
               onMessage(aConnection, aMessage);
             },
             [](MessageConnection& /*aConnection*/, const Error& /*aError*/) {} };
  }

  void onMessage(MessageConnection& aConnection, const Message& aMessage)
  {
    const RequestDispatch& dispatch = std::get<RequestDispatch>(aMessage);
    mRequests++;
    const Message answer = valueOf(RequestAnswer::create(
      { .requestId = dispatch.requestId(),
        .answer = valueOf(HttpAnswer::create({ .status = 200, .body = dispatch.path() })) }));
    const MessageConnectionPointer connection = aConnection.shared_from_this();
    mAnswerTimers.push_back(mLoop.runAt(mLoop.now().plusMs(mAnswerDelayMs),
                                        [connection, answer]() { connection->send(answer); }));
  }

  void sendStatus()
  {
    const Message status = valueOf(AgentStatus::create(
      { .clockMs = mLoop.now().ms(), .session = 5, .outstanding = 0, .slots = 8 }));
    for (const MessageConnectionPointer& connection : mServer->connections()) {
      connection->send(status);
    }
  }

  EventLoop& mLoop;
  std::unique_ptr<MessageServer> mServer;
  EventHandlePointer mStatusTimer;
  std::vector<EventHandlePointer> mAnswerTimers;
};

/** A gateway process with a control leader, an agent and an HTTP client on one event loop. */
struct ProcessFixture
{
  ProcessFixture()
    : mLoop(takeValue(EventLoop::create()))
    , mControl(*mLoop, mAddresses)
    , mAgent(*mLoop, mAddresses)
    , mClient(takeValue(HttpClient::create(*mLoop, mAddresses.mGateway, 8)))
    , mTimeoutTimer(mLoop->runAt(mLoop->now().plusMs(kTestTimeoutMs), [this]() {
      mTimedOut = true;
      mLoop->stop();
    }))
  {
    const LeaseSettings lease =
      valueOf(LeaseSettings::create({ .leaseMs = kLeaseMs, .heartbeatMs = kHeartbeatMs }));
    const GatewaySettings settings =
      valueOf(GatewaySettings::create({ .processId = "gateway",
                                        .httpAddress = mAddresses.mGateway,
                                        .dataCentre = "Waco",
                                        .controlAddresses = { mAddresses.mControl },
                                        .lease = lease,
                                        .maxBodyBytes = kMaxBodyBytes,
                                        .shutdownMs = 3000 }));
    mGateway = takeValue(GatewayProcess::start(*mLoop, settings));
  }

  void runFor(std::int64_t aMs)
  {
    const EventHandlePointer stop =
      mLoop->runAt(mLoop->now().plusMs(aMs), [this]() { mLoop->stop(); });
    mLoop->run();
    BOOST_REQUIRE(!mTimedOut);
  }

  HttpAnswer call(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  const std::vector<HttpHeader>& aHeaders = {})
  {
    std::optional<HttpAnswer> answer;
    mClient->send({ aMethod, aPath, aHeaders, aBody, mLoop->now().plusMs(5000) },
                  [&](const Result<HttpAnswer>& aResult) {
                    BOOST_REQUIRE(isOk(aResult));
                    answer = valueOf(aResult);
                    mLoop->stop();
                  });
    mLoop->run();
    BOOST_REQUIRE(answer.has_value());
    return *answer;
  }

  static std::string header(const HttpAnswer& aAnswer, const std::string& aName)
  {
    for (const HttpHeader& header : aAnswer.headers()) {
      if (header.name() == aName) {
        return header.value();
      }
    }
    return "";
  }

  std::unique_ptr<EventLoop> mLoop;
  Addresses mAddresses;
  StubControl mControl;
  StubAgent mAgent;
  std::unique_ptr<HttpClient> mClient;
  bool mTimedOut = false;
  EventHandlePointer mTimeoutTimer;
  std::unique_ptr<GatewayProcess> mGateway;
};

HttpHeader
headerOf(const std::string& aName, const std::string& aValue)
{
  return valueOf(HttpHeader::create({ .name = aName, .value = aValue }));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(caller_request_is_answered_through_agent_and_counted, ProcessFixture)
{
  runFor(300);
  const HttpAnswer answer = call("POST", "/call/svc/a/b?c=d", "body");
  BOOST_TEST(answer.status() == 200);
  BOOST_TEST(answer.body() == "/a/b?c=d");
  BOOST_TEST(header(answer, "X-Outcome") == "done");
  BOOST_TEST(call("GET", "/healthz").status() == 200);
  const std::string metrics = call("GET", "/metrics").body();
  BOOST_TEST(metrics.find("magnoliadrum_requests_good_total{entry=\"svc\"} 1") !=
             std::string::npos);
  runFor(2 * kHeartbeatMs);
  BOOST_TEST(mControl.mReportedRequests == 1);
}

BOOST_FIXTURE_TEST_CASE(non_repeatable_call_reports_intent_end_with_response, ProcessFixture)
{
  runFor(300);
  const HttpAnswer answer =
    call("POST",
         "/call/svc/x",
         "",
         { headerOf("X-Repeatable", "no"), headerOf("Idempotency-Key", "k") });
  BOOST_TEST(header(answer, "X-Outcome") == "done");
  runFor(100);
  BOOST_REQUIRE(mControl.mIntentEnds.size() == 1);
  BOOST_TEST((mControl.mIntentEnds.front().outcome() == IntentOutcome::eDone));
  BOOST_TEST(mControl.mIntentEnds.front().answer()->body() == "/x");
}

// Guards against malformed requests that reach a target or get an answer without a clear reason.
BOOST_FIXTURE_TEST_CASE(malformed_requests_are_refused_with_a_reason, ProcessFixture)
{
  runFor(300);
  BOOST_TEST(call("GET", "/nonsense").status() == 404);
  BOOST_TEST(call("GET", "/v1/nonsense").status() == 404);
  BOOST_TEST(call("DELETE", "/v1/status").status() == 405);
  BOOST_TEST(call("PUT", "/v1/catalogue/x", "{").status() == 400);
  const HttpAnswer faults = call("PUT", "/v1/catalogue/x", R"({"entry":{"name":3}})");
  BOOST_TEST(faults.status() == 422);
  BOOST_TEST(faults.body().find("entry.name: expected a string") != std::string::npos);
  BOOST_TEST(header(call("GET", "/call/unknown/x"), "X-Reason") == "unknown-entry");
  for (const HttpHeader& header : { headerOf("X-Deadline-Ms", "soon"),
                                    headerOf("X-Deadline-Ms", "99999999999999999999"),
                                    headerOf("X-Repeatable", "perhaps"),
                                    headerOf("Idempotency-Key", std::string(201, 'k')) }) {
    const HttpAnswer answer = call("POST", "/call/svc/x", "", { header });
    BOOST_TEST(answer.status() == 400, header.name());
    BOOST_TEST(ProcessFixture::header(answer, "X-Outcome") == "not-run");
  }
  BOOST_TEST(call("POST", "/call/%zz/x").status() == 400);
  BOOST_TEST(call("POST", "/call/svc/x", std::string(kMaxBodyBytes + 1, 'b')).status() == 413);
  BOOST_TEST(mAgent.mRequests == 0);
}

// Guards against a request that is dispatched after its caller has given up, because it waited
// while the gateway stood still.
BOOST_FIXTURE_TEST_CASE(request_that_waited_beyond_its_deadline_is_not_run, ProcessFixture)
{
  constexpr std::int64_t kDeadlineMs = 400;
  runFor(300);
  std::this_thread::sleep_for(std::chrono::milliseconds(kDeadlineMs + 200));
  const HttpAnswer answer =
    call("POST", "/call/svc/x", "", { headerOf("X-Deadline-Ms", std::to_string(kDeadlineMs)) });
  BOOST_TEST(header(answer, "X-Reason") == "deadline-passed");
  BOOST_TEST(mAgent.mRequests == 0);
  runFor(2 * StandstillDetector::kBacklogMs);
  BOOST_TEST(call("POST", "/call/svc/x").status() == 200);
}

BOOST_FIXTURE_TEST_CASE(operator_request_is_forwarded_to_control, ProcessFixture)
{
  runFor(300);
  const HttpAnswer answer =
    call("PUT", "/v1/catalogue/svc", R"({"changeId":"c","expectedVersion":3})");
  BOOST_TEST(answer.status() == 409);
  BOOST_TEST(answer.body().find("\"version\":7") != std::string::npos);
}

// Without a session the gateway's catalogue and targets may be out of date, so it must not run
// requests.
BOOST_FIXTURE_TEST_CASE(gateway_without_session_refuses_requests, ProcessFixture)
{
  mControl.mGrantsSessions = false;
  runFor(300);
  BOOST_TEST(call("GET", "/healthz").status() == 503);
  const HttpAnswer answer = call("POST", "/call/svc/x");
  BOOST_TEST(header(answer, "X-Reason") == "no-lease");
}

// Guards against a request that comes on an open connection once the other server has reported that
// it is done, and that is cut off without an answer when the process ends.
BOOST_FIXTURE_TEST_CASE(shutdown_waits_for_late_requests_of_other_servers, ProcessFixture)
{
  runFor(300);
  bool isIdle = true;
  mGateway->setOthersIdle([&isIdle]() { return isIdle; });
  mGateway->beginShutdown();
  runFor(100);
  isIdle = false;
  const MonotonicTime requestedAt = mLoop->now();
  const EventHandlePointer answered =
    mLoop->runAt(requestedAt.plusMs(600), [&isIdle]() { isIdle = true; });
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(isIdle);
  BOOST_TEST(mLoop->now().msSince(requestedAt) >= 600);
}

// Guards against a planned shutdown that aborts a request in progress.
BOOST_FIXTURE_TEST_CASE(shutdown_finishes_requests_in_flight, ProcessFixture)
{
  runFor(300);
  mAgent.mAnswerDelayMs = 600;
  std::optional<HttpAnswer> answer;
  mClient->send({ "POST", "/call/svc/slow", {}, "", mLoop->now().plusMs(5000) },
                [&](const Result<HttpAnswer>& aResult) {
                  BOOST_REQUIRE(isOk(aResult));
                  answer = valueOf(aResult);
                });
  runFor(100);
  mGateway->beginShutdown();
  mLoop->run();
  BOOST_REQUIRE(!mTimedOut);
  BOOST_TEST(!mGateway->shutdownTimedOut());
  runFor(50);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->body() == "/slow");
  BOOST_TEST(mControl.mSessionClosed);
}
