#include "platform/platform.h"
#include "state/BuildValue.h"
#include "transport/LoopbackHost.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace magnoliadrum;
using namespace magnoliadrum::platform;
using nlohmann::json;

namespace {

const char* const kPeer = "test";

json
route(const std::string& aName, const std::string& aPrefix)
{
  return { { "Name", aName },         { "Host", "Nony24.example" },
           { "PathPrefix", aPrefix }, { "Type", "non_idempotent" },
           { "TimeoutMs", 3000 },     { "TargetLatencyMs", 250 },
           { "Priority", 0 },         { "Service", "pool" },
           { "MaxAttempts", 3 },      { "Stretch", 1.5 } };
}

json
catalogueDocument()
{
  return { { "Version", 7 },
           { "Routes", { route("a", "/a/") } },
           { "Services", { { { "Name", "pool" }, { "HealthPath", "/healthz" } } } },
           { "Limits", { { "MaxHeaderBytes", 16384 } } },
           { "Unknown", true } };
}

std::string
catalogueFault(const json& aDocument)
{
  const Result<QueueCatalogue> decoded = decodeCatalogue(aDocument.dump(), kPeer);
  return isOk(decoded) ? "" : errorOf(decoded).detail();
}

json
registration()
{
  return { { "Service", "pool" },
           { "Address", "10.0.0.1:80" },
           { "Zone", "waco" },
           { "State", "ready" },
           { "Capacity", { { "Cpu", 16000 }, { "MemMb", 32768 }, { "Gpu", 1 } } },
           { "Labels", { "a", "r1-3" } },
           { "born", 1700000000000 },
           { "Seq", 4 } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_codecs)

BOOST_AUTO_TEST_CASE(job_is_decoded_with_all_fields)
{
  const Result<JobDescription> decoded =
    decodeJob("5c0e7a21d94b36f8",
              R"({"Spec":"text","RepeatCount":3,"FirstRunMs":5000,"IntervalMs":700,"Steps":[
        {"Count":4,"Cpu":500,"MemMb":256,"Gpu":1,"EstimateMs":900,"DataRack":"r1-3","Image":"i",
         "TargetMs":150,"LongRunning":true,"MaxUnavailable":0,"MaxPerServer":2},
        {"Count":2,"After":[0],"Checkpointing":true,"Fills":true,"Gang":true,"SameRack":true,
         "AllowDuplicates":true,"RequiredLabel":"a","New":1}]})",
              kPeer);
  BOOST_REQUIRE(isOk(decoded));
  const JobDescription& job = valueOf(decoded);
  BOOST_TEST(job.payload() == "text");
  BOOST_TEST(job.occurrences() == 3);
  BOOST_TEST(job.firstDueMs() == 5000);
  BOOST_TEST(job.intervalMs() == 700);
  const JobStep& first = job.steps()[0];
  BOOST_TEST(first.resources().cpuMilli() == 500);
  BOOST_TEST(first.resources().memoryMb() == 256);
  BOOST_TEST(first.resources().accelerators() == 1);
  BOOST_TEST(first.preferredRack() == "r1-3");
  BOOST_TEST(first.latencyObjectiveMs() == 150);
  BOOST_TEST(first.longRunning());
  BOOST_TEST(first.maxUnavailable().has_value());
  BOOST_TEST(first.maxPerWorker() == 2);
  const JobStep& second = job.steps()[1];
  BOOST_TEST(second.after() == std::vector<std::int64_t>({ 0 }), boost::test_tools::per_element());
  BOOST_TEST(second.checkpoints());
  BOOST_TEST(second.opportunistic());
  BOOST_TEST(second.gang());
  BOOST_TEST(second.sameRack());
  BOOST_TEST(second.allowsDuplicates());
  BOOST_TEST(second.requiredLabel() == "a");
  BOOST_TEST(!second.maxUnavailable().has_value());
}

BOOST_AUTO_TEST_CASE(invalid_job_is_rejected_with_path_of_fault)
{
  for (const char* body :
       { "", "[]", "{", "{}", R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})" }) {
    BOOST_TEST(!isOk(decodeJob("j", body, kPeer)), body);
  }
  const Result<JobDescription> decoded = decodeJob("j", R"({"Steps":[{"Count":"x"}]})", kPeer);
  BOOST_TEST(errorOf(decoded).detail().find("Steps[0].Count") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(catalogue_is_decoded_and_source_document_kept)
{
  const std::string text = catalogueDocument().dump();
  const Result<QueueCatalogue> decoded = decodeCatalogue(text, kPeer);
  BOOST_REQUIRE(isOk(decoded));
  BOOST_TEST(valueOf(decoded).version() == 7);
  BOOST_TEST(valueOf(decoded).source() == text);
  const JobQueue& queue = valueOf(decoded).queues().front();
  BOOST_TEST(queue.host() == "nony24.example", "host names are stored in lower case");
  BOOST_TEST(queue.poolName() == "pool");
  BOOST_TEST(queue.maxAttempts() == 3);
  BOOST_TEST(queue.stretch() == 1.5);
}

BOOST_AUTO_TEST_CASE(truncated_or_incomplete_catalogue_is_rejected)
{
  const std::string text = catalogueDocument().dump();
  for (std::size_t size = 0; size < text.size(); size++) {
    BOOST_TEST(!isOk(decodeCatalogue(text.substr(0, size), kPeer)), "size " << size);
  }
  json noTimeout = catalogueDocument();
  noTimeout["Routes"][0]["TimeoutMs"] = 0;
  BOOST_TEST(!catalogueFault(noTimeout).empty());
  json noVersion = catalogueDocument();
  noVersion.erase("Version");
  BOOST_TEST(!catalogueFault(noVersion).empty());
}

BOOST_AUTO_TEST_CASE(registration_is_decoded)
{
  const Result<Registration> decoded = decodeRegistration("i-1", registration().dump(), kPeer);
  BOOST_REQUIRE(isOk(decoded));
  BOOST_TEST(valueOf(decoded).address == "10.0.0.1:80");
  BOOST_TEST(valueOf(decoded).sequence == 4);
  const WorkerDescription& worker = valueOf(decoded).worker;
  BOOST_TEST(worker.workerId() == "i-1");
  BOOST_TEST(worker.bornMs() == 1700000000000);
  BOOST_TEST(worker.rack() == "r1-3");
  BOOST_TEST(worker.capacity().accelerators() == 1);
  BOOST_TEST(!worker.draining());
}

BOOST_AUTO_TEST_CASE(registration_with_missing_or_invalid_fields_is_rejected)
{
  for (const char* name : { "Service", "Address", "State" }) {
    json missing = registration();
    missing.erase(name);
    BOOST_TEST(!isOk(decodeRegistration("i-1", missing.dump(), kPeer)), name);
    json mistyped = registration();
    mistyped[name] = 5;
    BOOST_TEST(!isOk(decodeRegistration("i-1", mistyped.dump(), kPeer)), name);
  }
  json unknown = registration();
  unknown["State"] = "resting";
  BOOST_TEST(!isOk(decodeRegistration("i-1", unknown.dump(), kPeer)));
  BOOST_TEST(!isOk(decodeRegistration("i-1", "\xff\xfe", kPeer)));
}

BOOST_AUTO_TEST_CASE(run_lists_are_decoded_without_invalid_rows)
{
  const Result<RunLists> decoded = decodeRunLists(
    R"({"ClockMs":482113,"born":17,"Running":[["a.0.1.17",2,"cp",41,120],["b.0.0.0"],7],
        "EndedRuns":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"vanished",""]]})",
    kPeer);
  BOOST_REQUIRE(isOk(decoded));
  const RunLists& lists = valueOf(decoded);
  BOOST_TEST(lists.clockMs == 482113);
  BOOST_TEST(lists.bornMs == 17);
  BOOST_REQUIRE(lists.running.size() == 1u);
  BOOST_TEST(lists.running.front().figure() == 120);
  BOOST_REQUIRE(lists.ended.size() == 1u);
  BOOST_TEST((lists.ended.front().how() == RunEnd::eDone));
}

BOOST_AUTO_TEST_CASE(order_answers_map_to_results)
{
  const auto resultOf = [](std::int64_t aStatus, const char* aBody) {
    return decodeOrderOutcome(aStatus, aBody).result;
  };
  BOOST_TEST((resultOf(200, R"({"ClockMs":5})") == OrderResult::eAccepted));
  BOOST_TEST((resultOf(409, R"({"ClockMs":5,"Reason":"fence"})") == OrderResult::eFenced));
  BOOST_TEST((resultOf(409, R"({"ClockMs":5,"Reason":"old"})") == OrderResult::eClosed));
  BOOST_TEST((resultOf(409, R"({"ClockMs":5,"Reason":"late"})") == OrderResult::eLate));
  BOOST_TEST((resultOf(409, R"({"ClockMs":5,"Reason":"room"})") == OrderResult::eRoom));
  BOOST_TEST((resultOf(409, R"({"ClockMs":5,"Reason":"ticket"})") == OrderResult::eTicket));
  BOOST_TEST((resultOf(400, "") == OrderResult::eInvalid));
  BOOST_TEST((resultOf(421, "") == OrderResult::eOtherLife));
  BOOST_TEST((resultOf(503, "") == OrderResult::eUnhealthy));
  BOOST_TEST(decodeOrderOutcome(409, R"({"ClockMs":482113,"Reason":"old"})").clockMs == 482113);
}

BOOST_AUTO_TEST_CASE(start_order_and_run_list_request_are_encoded)
{
  const json start = json::parse(
    encodeStart(valueOf(StartOrder::create(
                  { .task = "a.0.1.17", .run = 2, .payload = "(text)", .checkpoint = "cp" })),
                7,
                486000));
  BOOST_TEST(start == json({ { "Task", "a.0.1.17" },
                             { "Run", 2 },
                             { "Spec", "(text)" },
                             { "DeadlineMs", 486000 },
                             { "Fence", 7 },
                             { "Checkpoint", "cp" } }));
  const json list = json::parse(
    encodeRunListRequest({ .fence = 7, .ackedEnds = 57, .leaseUntilMs = 486000, .waitMs = 250 }));
  BOOST_TEST(
    list ==
    json({ { "Fence", 7 }, { "AckCursor", 57 }, { "DeadlineMs", 486000 }, { "WaitMs", 250 } }));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/** A CallerServer whose messages are answered by mReplyFunction, and HTTP clients for it. */
struct CallerServerFixture
{
  CallerServerFixture()
  {
    CallerServer::Options options;
    options.callerAddress = mAddress;
    options.readinessAddress = mReadinessAddress;
    options.incarnation = "i";
    options.call = [this](const Message& aMessage,
                          Deadline /*aDeadline*/,
                          const std::function<void(const Result<Message>&)>& aCallback) {
      mMessages.push_back(aMessage);
      aCallback(mReplyFunction(aMessage));
    };
    options.earliestArrival = [this]() { return mLoop->now().plusMs(-mWaitedMs); };
    options.isReady = [this]() { return mIsReady; };
    mServer = takeValue(CallerServer::start(*mLoop, std::move(options)));
    mClient = takeValue(HttpClient::create(*mLoop, mAddress, 2));
    mProbeClient = takeValue(HttpClient::create(*mLoop, mReadinessAddress, 2));
  }

  HttpAnswer request(HttpClient& aClient,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody = "")
  {
    HttpCall call;
    call.mMethod = aMethod;
    call.mPath = aPath;
    call.mHeaders = { valueOf(HttpHeader::create({ .name = "Deadline-Ms", .value = "1000" })) };
    call.mBody = aBody;
    call.mDeadline = mLoop->now().plusMs(3000);
    std::optional<HttpAnswer> answer;
    aClient.send(call, [this, &answer](const Result<HttpAnswer>& aResult) {
      BOOST_REQUIRE(isOk(aResult));
      answer = valueOf(aResult);
      mLoop->stop();
    });
    mLoop->run();
    BOOST_REQUIRE(answer.has_value());
    return *answer;
  }

  static Result<Message> replyTo(const Message& aMessage, JobReply::Fields aReply)
  {
    aReply.requestId = std::visit(
      [](const auto& aBody) -> std::string {
        if constexpr (requires { aBody.requestId(); }) {
          return aBody.requestId();
        } else {
          return "";
        }
      },
      aMessage);
    return Message(buildValue<JobReply>(std::move(aReply)));
  }

  std::unique_ptr<EventLoop> mLoop = takeValue(EventLoop::create());
  std::string mAddress = loopbackHost(61) + ":18161";
  std::string mReadinessAddress = loopbackHost(61) + ":18167";
  bool mIsReady = true;
  /** How long requests may have waited before they were read. */
  std::int64_t mWaitedMs = 0;
  std::vector<Message> mMessages;
  std::function<Result<Message>(const Message&)> mReplyFunction;
  std::unique_ptr<CallerServer> mServer;
  std::unique_ptr<HttpClient> mClient;
  std::unique_ptr<HttpClient> mProbeClient;
};

const char* const kJobBody = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":5}]})";
const char* const kJobPath = "/a/5c0e7a21d94b36f8";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_callers)

BOOST_FIXTURE_TEST_CASE(jobs_are_submitted_queried_and_cancelled, CallerServerFixture)
{
  mReplyFunction = [](const Message& aMessage) {
    return replyTo(aMessage, { .outcome = JobOutcome::eAccepted });
  };
  BOOST_TEST(request(*mClient, "POST", kJobPath, kJobBody).status() == 200);
  BOOST_TEST(std::get<JobSubmit>(mMessages.back()).job().jobId() == "5c0e7a21d94b36f8");
  BOOST_TEST(std::get<JobSubmit>(mMessages.back()).queue().path() == kJobPath);
  BOOST_TEST(request(*mClient, "DELETE", kJobPath).status() == 200);
  BOOST_TEST(std::holds_alternative<JobCancel>(mMessages.back()));
  mReplyFunction = [](const Message& aMessage) {
    return replyTo(aMessage, { .outcome = JobOutcome::eKnown, .state = JobState::eCompleted });
  };
  BOOST_TEST(request(*mClient, "GET", kJobPath).body() == R"({"State":"completed"})");
  mReplyFunction = [](const Message& aMessage) {
    return replyTo(aMessage, { .outcome = JobOutcome::ePending, .waiting = 12 });
  };
  BOOST_TEST(request(*mClient, "GET", "/a/").body() == R"({"Pending":12})");
}

BOOST_FIXTURE_TEST_CASE(rejected_requests_get_matching_http_status, CallerServerFixture)
{
  const auto statusOf = [this](JobOutcome aOutcome) {
    mReplyFunction = [aOutcome](const Message& aMessage) {
      return replyTo(aMessage, { .outcome = aOutcome, .retryAfterMs = 1500 });
    };
    return request(*mClient, "POST", kJobPath, kJobBody).status();
  };
  BOOST_TEST(statusOf(JobOutcome::eUnknownQueue) == 404);
  BOOST_TEST(statusOf(JobOutcome::eNoCatalogue) == 503);
  BOOST_TEST(statusOf(JobOutcome::eRefused) == 429);
  BOOST_TEST(statusOf(JobOutcome::eUnknownJob) == 410);
  BOOST_TEST(request(*mClient, "POST", kJobPath, "{").status() == 400);
  BOOST_TEST(request(*mClient, "POST", "/a/short", kJobBody).status() == 400);
}

// Guards against reporting a request as not executed when its outcome is unknown: the
// request may have taken effect, so the caller must not get a status that denies it.
BOOST_FIXTURE_TEST_CASE(unknown_outcome_gets_gateway_timeout, CallerServerFixture)
{
  mReplyFunction = [](const Message& /*aMessage*/) -> Result<Message> {
    return Error::create(ErrorCode::eTimeout, "control call", "control", "deadline passed");
  };
  BOOST_TEST(request(*mClient, "POST", kJobPath, kJobBody).status() == 504);
}

// Guards against UNASKED: a gateway that stood still hands in a job that its caller has given up.
BOOST_FIXTURE_TEST_CASE(job_that_waited_beyond_its_deadline_is_not_handed_in, CallerServerFixture)
{
  mReplyFunction = [](const Message& aMessage) {
    return replyTo(aMessage, { .outcome = JobOutcome::eAccepted });
  };
  constexpr std::int64_t kCallersTimeoutMs = 1000;
  mWaitedMs = kCallersTimeoutMs;
  const HttpAnswer answer = request(*mClient, "POST", kJobPath, kJobBody);
  BOOST_TEST(answer.status() == 503);
  BOOST_TEST(mMessages.empty());
  BOOST_TEST(request(*mClient, "DELETE", kJobPath).status() == 200, "a cancelling still counts");
  BOOST_TEST(mMessages.size() == 1u);
  mWaitedMs = kCallersTimeoutMs / 2;
  BOOST_TEST(request(*mClient, "POST", kJobPath, kJobBody).status() == 200);
}

BOOST_FIXTURE_TEST_CASE(readiness_probe_reports_server_readiness, CallerServerFixture)
{
  BOOST_TEST(request(*mProbeClient, "GET", "/-/readyz").status() == 200);
  mIsReady = false;
  BOOST_TEST(request(*mProbeClient, "GET", "/-/readyz").status() == 503);
}

BOOST_FIXTURE_TEST_CASE(server_fails_readiness_and_serves_requests_during_shutdown,
                        CallerServerFixture)
{
  bool isStopped = false;
  mServer->beginShutdown([&isStopped]() { isStopped = true; });
  BOOST_TEST(request(*mProbeClient, "GET", "/-/readyz").status() == 503);
  mReplyFunction = [](const Message& aMessage) {
    return replyTo(aMessage, { .outcome = JobOutcome::eAccepted });
  };
  BOOST_TEST(request(*mClient, "POST", kJobPath, kJobBody).status() == 200);
  const EventHandlePointer end =
    mLoop->runAt(mLoop->now().plusMs(3000), [this]() { mLoop->stop(); });
  mLoop->run();
  BOOST_TEST(isStopped);
}

BOOST_AUTO_TEST_SUITE_END()
