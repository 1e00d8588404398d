#include "platform/CallerServer.h"

#include "observability/observability.h"
#include "platform/HostName.h"
#include "platform/JobCodec.h"
#include "platform/JsonAnswers.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>

namespace magnoliadrum::platform {

namespace {

/** Largest accepted request body: room for the payload and a few thousand steps. */
constexpr std::size_t kMaxBodyBytes = std::size_t{ 1 } << 20U;
constexpr std::size_t kMaxReadinessBodyBytes = 1024;

/** Timeout of a request without a Deadline-Ms header. */
constexpr std::int64_t kDefaultTimeoutMs = 3000;
/** Subtracted from the caller's timeout, so that the answer arrives before the caller gives up. */
constexpr std::int64_t kAnswerMarginMs = 150;
/** Longest timeout that a caller may request. */
constexpr std::int64_t kMaxTimeoutMs = 60000;

/** How long a shutdown keeps accepting connections: the platform probes once a second and takes a
 * VM out of rotation after two failed probes. */
constexpr std::int64_t kReadinessGraceMs = 2500;
/** Retry-After of requests that reached no leader: about the duration of an election. */
constexpr std::int64_t kRetryAfterMs = 1000;
/** Period at which a shutdown checks for requests in progress. */
constexpr std::int64_t kShutdownPollMs = 20;

constexpr std::size_t kJobIdLength = 16;

bool
isJobId(const std::string& aText)
{
  return aText.size() == kJobIdLength && std::all_of(aText.begin(), aText.end(), [](char aDigit) {
           return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
         });
}

std::string
hostNameOf(const HttpRequest& aRequest)
{
  const std::string host = aRequest.header("Host").value_or("");
  return lowerCaseHost(host.substr(0, host.find(':')));
}

std::int64_t
timeoutMsOf(const HttpRequest& aRequest)
{
  const std::string text = aRequest.header("Deadline-Ms").value_or("");
  std::int64_t timeoutMs = 0;
  const std::from_chars_result result =
    std::from_chars(text.data(), text.data() + text.size(), timeoutMs);
  if (result.ec != std::errc() || timeoutMs <= 0) {
    return kDefaultTimeoutMs;
  }
  return std::min(timeoutMs, kMaxTimeoutMs);
}

/** The message for a request, or the error answer when it cannot be translated. */
using Translation = std::variant<Message, HttpAnswer>;

template<typename Type>
Translation
toMessage(const Result<Type>& aResult)
{
  if (!isOk(aResult)) {
    return errorAnswer(kStatusBadRequest, errorOf(aResult).detail());
  }
  return Message(valueOf(aResult));
}

Translation
translate(const HttpRequest& aRequest, const std::string& aRequestId)
{
  const Result<QueueSelector> queue =
    QueueSelector::create({ .name = "", .host = hostNameOf(aRequest), .path = aRequest.mPath });
  if (!isOk(queue)) {
    return errorAnswer(kStatusNotFound, "host and path match no queue");
  }
  const std::string jobId = aRequest.mPath.substr(aRequest.mPath.rfind('/') + 1);
  if (aRequest.mMethod == "GET" && !isJobId(jobId)) {
    return toMessage(QueueQuery::create({ .requestId = aRequestId, .queue = valueOf(queue) }));
  }
  if (!isJobId(jobId)) {
    return errorAnswer(kStatusBadRequest,
                       "the path does not end with a job id (16 lower-case hexadecimal digits)");
  }
  if (aRequest.mMethod == "GET") {
    return toMessage(
      JobQuery::create({ .requestId = aRequestId, .queue = valueOf(queue), .jobId = jobId }));
  }
  if (aRequest.mMethod == "DELETE") {
    return toMessage(
      JobCancel::create({ .requestId = aRequestId, .queue = valueOf(queue), .jobId = jobId }));
  }
  if (aRequest.mMethod != "POST") {
    return errorAnswer(kStatusMethodNotAllowed, "method not allowed: " + aRequest.mMethod);
  }
  const Result<JobDescription> job = decodeJob(jobId, aRequest.mBody, aRequest.mPeer);
  if (!isOk(job)) {
    return errorAnswer(kStatusBadRequest, errorOf(job).detail());
  }
  return toMessage(
    JobSubmit::create({ .requestId = aRequestId, .queue = valueOf(queue), .job = valueOf(job) }));
}

HttpAnswer
answerOf(const JobReply& aReply)
{
  switch (aReply.outcome()) {
    case JobOutcome::eAccepted:
      return jsonAnswer(kStatusOk);
    case JobOutcome::eKnown:
      return jsonAnswer(kStatusOk, encodeJobState(aReply.state()));
    case JobOutcome::ePending:
      return jsonAnswer(kStatusOk, encodeWaitingJobs(aReply.waiting()));
    case JobOutcome::eUnknownJob:
      return errorAnswer(kStatusGone, "unknown job");
    case JobOutcome::eUnknownQueue:
      return errorAnswer(kStatusNotFound, aReply.detail());
    case JobOutcome::eNoCatalogue:
      return errorAnswer(kStatusServiceUnavailable, aReply.detail(), aReply.retryAfterMs());
    case JobOutcome::eRefused:
      return errorAnswer(kStatusTooManyRequests, aReply.detail(), aReply.retryAfterMs());
  }
  return errorAnswer(kStatusServiceUnavailable, "unexpected job outcome");
}

HttpAnswer
answerOf(const Result<Message>& aResult)
{
  if (!isOk(aResult)) {
    const Error& error = errorOf(aResult);
    if (error.code() == ErrorCode::eInvalid) {
      return errorAnswer(kStatusBadRequest, error.detail());
    }
    if (error.code() == ErrorCode::eNotSent) {
      // The request reached no leader, so it had no effect and can be repeated.
      return errorAnswer(kStatusServiceUnavailable, error.detail(), kRetryAfterMs);
    }
    // The request may have taken effect, so the answer must not state that it was not executed.
    return errorAnswer(kStatusGatewayTimeout, error.detail());
  }
  const JobReply* reply = std::get_if<JobReply>(&valueOf(aResult));
  return reply != nullptr
           ? answerOf(*reply)
           : errorAnswer(kStatusGatewayTimeout, "unexpected reply from the control leader");
}

} // namespace

CallerServer::CallerServer(EventLoop& aLoop, Options aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
{
}

Result<std::unique_ptr<CallerServer>>
CallerServer::start(EventLoop& aLoop, Options aOptions)
{
  std::unique_ptr<CallerServer> server(new CallerServer(aLoop, std::move(aOptions)));
  const Result<Done> listening = server->listen();
  if (!isOk(listening)) {
    return errorOf(listening);
  }
  return server;
}

Result<Done>
CallerServer::listen()
{
  auto callers =
    HttpServer::listen(mLoop,
                       mOptions.callerAddress,
                       kMaxBodyBytes,
                       [this](const HttpRequest& aRequest, const HttpResponderPointer& aResponder) {
                         onRequest(aRequest, aResponder);
                       });
  if (!isOk(callers)) {
    return errorOf(callers);
  }
  mCallerServer = takeValue(std::move(callers));
  if (mOptions.readinessAddress.empty()) {
    return Done{};
  }
  auto readiness = HttpServer::listen(
    mLoop,
    mOptions.readinessAddress,
    kMaxReadinessBodyBytes,
    [this](const HttpRequest& /*aRequest*/, const HttpResponderPointer& aResponder) {
      answerReadiness(*aResponder);
    });
  if (!isOk(readiness)) {
    return errorOf(readiness);
  }
  mReadinessServer = takeValue(std::move(readiness));
  return Done{};
}

void
CallerServer::answerReadiness(HttpResponder& aResponder) const
{
  const bool isReady = !mIsShuttingDown && mOptions.isReady();
  aResponder.answer(
    isReady ? jsonAnswer(kStatusOk)
            : errorAnswer(kStatusServiceUnavailable, "no control leader, or shutting down"));
}

void
CallerServer::onRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder)
{
  mRequestCount++;
  const std::string requestId =
    "caller-" + mOptions.incarnation + "-" + std::to_string(mRequestCount);
  const Translation translation = translate(aRequest, requestId);
  if (const HttpAnswer* answer = std::get_if<HttpAnswer>(&translation)) {
    logInfo("caller request rejected",
            { { "method", aRequest.mMethod },
              { "path", aRequest.mPath },
              { "status", answer->status() },
              { "detail", answer->body() } });
    aResponder->answer(*answer);
    return;
  }
  const Message& message = std::get<Message>(translation);
  const MonotonicTime now = mLoop.now();
  const bool isSubmission = std::holds_alternative<JobSubmit>(message);
  const std::int64_t timeoutMs = std::max<std::int64_t>(1, timeoutMsOf(aRequest) - kAnswerMarginMs);
  const Deadline deadline = (isSubmission ? mOptions.earliestArrival() : now).plusMs(timeoutMs);
  if (deadline <= now) {
    // Its caller has given up and may have cancelled the job at another gateway.
    logInfo("job not handed in: its deadline passed while this process stood still",
            { { "path", aRequest.mPath }, { "lateMs", now.msSince(deadline) } });
    aResponder->answer(errorAnswer(
      kStatusServiceUnavailable, "the deadline passed before the request was read", kRetryAfterMs));
    return;
  }
  send(message, aRequest.mPath, deadline, aResponder);
}

void
CallerServer::send(const Message& aMessage,
                   const std::string& aPath,
                   Deadline aDeadline,
                   const HttpResponderPointer& aResponder)
{
  mRequestsInProgress++;
  const MonotonicTime receivedAt = mLoop.now();
  mOptions.call(aMessage,
                aDeadline,
                [this, aResponder, receivedAt, aPath, type = typeName(aMessage)](
                  const Result<Message>& aResult) {
                  mRequestsInProgress--;
                  const HttpAnswer answer = answerOf(aResult);
                  if (answer.status() != kStatusOk) {
                    logInfo("caller request failed",
                            { { "type", type },
                              { "path", aPath },
                              { "status", answer.status() },
                              { "tookMs", mLoop.now().msSince(receivedAt) },
                              { "hasLeader", mOptions.isReady() },
                              { "detail", answer.body() } });
                  }
                  aResponder->answer(answer);
                });
}

void
CallerServer::beginShutdown(std::function<void()> aDone)
{
  if (std::exchange(mIsShuttingDown, true)) {
    return;
  }
  mOnShutdownComplete = std::move(aDone);
  mCallerServer->announceStop();
  mShutdownTimer = mLoop.runAt(mLoop.now().plusMs(kReadinessGraceMs), [this]() {
    mCallerServer->stopAccepting();
    completeShutdownWhenIdle();
  });
}

void
CallerServer::completeShutdownWhenIdle()
{
  if (mRequestsInProgress == 0) {
    mOnShutdownComplete();
    return;
  }
  mShutdownTimer =
    mLoop.runAt(mLoop.now().plusMs(kShutdownPollMs), [this]() { completeShutdownWhenIdle(); });
}

} // namespace magnoliadrum::platform
