#include "testbench/LoadGenerator.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr double kMsPerSecond = 1000;
constexpr std::size_t kConnectionsPerGateway = 512;

/** Time that a caller waits for the gateway's answer after the request's own deadline. */
constexpr std::int64_t kAnswerGraceMs = 2000;

constexpr std::int64_t kResendPauseMs = 50;

std::string
headerOf(const HttpAnswer& aAnswer, const char* aName)
{
  for (const HttpHeader& header : aAnswer.headers()) {
    if (header.name() == aName) {
      return header.value();
    }
  }
  return "";
}

} // namespace

LoadGenerator::LoadGenerator(EventLoop& aLoop, LoadOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mEngine(mOptions.mSeed)
  , mRunId(boost::uuids::to_string(boost::uuids::random_generator()()))
{
}

Result<std::unique_ptr<LoadGenerator>>
LoadGenerator::create(EventLoop& aLoop, LoadOptions aOptions)
{
  if (aOptions.mGateways.empty() || aOptions.mRequestsPerSecond <= 0) {
    return Error::create(
      ErrorCode::eInvalid, "create load", "local", "needs a gateway and a positive rate");
  }
  std::unique_ptr<LoadGenerator> generator(new LoadGenerator(aLoop, std::move(aOptions)));
  for (const std::string& gateway : generator->mOptions.mGateways) {
    Result<std::unique_ptr<HttpClient>> client =
      HttpClient::create(aLoop, gateway, kConnectionsPerGateway);
    if (!isOk(client)) {
      return errorOf(client);
    }
    generator->mClients.push_back(takeValue(std::move(client)));
  }
  if (!generator->mOptions.mHistoryFile.empty()) {
    generator->mHistory.open(generator->mOptions.mHistoryFile, std::ios::app);
  }
  return generator;
}

void
LoadGenerator::start(std::function<void()> aDone)
{
  mDone = std::move(aDone);
  mStartedAt = mLoop.now();
  scheduleNext();
}

void
LoadGenerator::scheduleNext()
{
  const double offsetMs =
    static_cast<double>(mResult.mSent) * kMsPerSecond / mOptions.mRequestsPerSecond;
  if (offsetMs >= static_cast<double>(mOptions.mDurationMs)) {
    mSending = false;
    finishWhenIdle();
    return;
  }
  const Deadline at = mStartedAt.plusMs(static_cast<std::int64_t>(offsetMs));
  mNext = mLoop.runAt(at, [this]() {
    sendNew();
    scheduleNext();
  });
}

void
LoadGenerator::sendNew()
{
  Request request;
  request.mNumber = mResult.mSent++;
  request.mKey = mRunId + "-" + std::to_string(request.mNumber);
  std::uniform_real_distribution<double> share(0, 1);
  request.mRepeatable = share(mEngine) >= mOptions.mNonRepeatableShare;
  request.mSentAt = mLoop.now();
  request.mResendsLeft = mOptions.mResends;
  mInProgress++;
  writeHistory(request, "sent", "");
  send(request);
}

void
LoadGenerator::send(const Request& aRequest)
{
  std::vector<HttpHeader> headers;
  const auto addHeader = [&headers](const std::string& aName, const std::string& aValue) {
    headers.push_back(valueOf(HttpHeader::create({ .name = aName, .value = aValue })));
  };
  addHeader("X-Deadline-Ms", std::to_string(mOptions.mDeadlineMs));
  addHeader("Idempotency-Key", aRequest.mKey);
  addHeader("X-Repeatable", aRequest.mRepeatable ? "yes" : "no");
  const HttpCall call{ "POST",
                       "/call/" + mOptions.mEntryName + "/work?key=" + aRequest.mKey,
                       headers,
                       aRequest.mKey,
                       mLoop.now().plusMs(mOptions.mDeadlineMs + kAnswerGraceMs) };
  std::uniform_int_distribution<std::size_t> pick(0, mClients.size() - 1);
  mClients[pick(mEngine)]->send(
    call, [this, aRequest](const Result<HttpAnswer>& aResult) { onResult(aRequest, aResult); });
}

void
LoadGenerator::onResult(const Request& aRequest, const Result<HttpAnswer>& aResult)
{
  const std::string outcome = isOk(aResult) ? headerOf(valueOf(aResult), "X-Outcome") : "";
  const bool isFinal = outcome == "done" || outcome == "not-run";
  if (!isFinal && aRequest.mResendsLeft > 0) {
    Request again = aRequest;
    again.mResendsLeft--;
    writeHistory(again, "resent", outcome);
    mResendTimers[again.mNumber] =
      mLoop.runAt(mLoop.now().plusMs(kResendPauseMs), [this, again]() { send(again); });
    return;
  }
  const bool mixedUp =
    outcome == "done" && valueOf(aResult).body().find(aRequest.mKey) == std::string::npos;
  finish(aRequest, outcome, mixedUp);
}

void
LoadGenerator::finish(const Request& aRequest, const std::string& aOutcome, bool aMixedUp)
{
  mInProgress--;
  mResendTimers.erase(aRequest.mNumber);
  if (aOutcome == "done") {
    mResult.mDone++;
    mResult.mLatency.record(static_cast<double>(mLoop.now().msSince(aRequest.mSentAt)));
  } else if (aOutcome == "not-run") {
    mResult.mNotRun++;
  } else if (aOutcome == "unknown") {
    mResult.mUnknown++;
  } else {
    mResult.mNoAnswer++;
  }
  mResult.mMixedUp += aMixedUp ? 1 : 0;
  writeHistory(aRequest, aMixedUp ? "mixed-up" : "result", aOutcome.empty() ? "none" : aOutcome);
  finishWhenIdle();
}

void
LoadGenerator::finishWhenIdle()
{
  if (!mSending && mInProgress == 0 && mDone) {
    const std::function<void()> done = std::exchange(mDone, nullptr);
    mLoop.post(done);
  }
}

void
LoadGenerator::writeHistory(const Request& aRequest,
                            const char* aEvent,
                            const std::string& aOutcome)
{
  if (!mHistory.is_open()) {
    return;
  }
  const nlohmann::json line = {
    { "atMs", mLoop.now().ms() },     { "event", aEvent },
    { "key", aRequest.mKey },         { "repeatable", aRequest.mRepeatable },
    { "entry", mOptions.mEntryName }, { "outcome", aOutcome }
  };
  mHistory << line.dump() << std::endl;
}

} // namespace magnoliadrum
