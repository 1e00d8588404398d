#include "testbench/FakeExecutor.h"

#include "transport/HttpMessages.h"

#include <algorithm>
#include <cmath>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusInvalid = 400;
constexpr int kStatusFailed = 500;
constexpr double kLognormalSigma = 0.8;

/** Time for the first half of a cut answer to reach the peer before the connection closes. */
constexpr std::int64_t kCutPauseMs = 20;

std::string
headerOf(evhttp_request* aRequest, const char* aName)
{
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(aRequest), aName);
  return value != nullptr ? value : "";
}

/** Returns the caller's name of the request: the query parameter "key", else its idempotency key.
 */
std::string
keyOf(evhttp_request* aRequest)
{
  const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(aRequest));
  evkeyvalq parameters{};
  std::string key = headerOf(aRequest, "Idempotency-Key");
  if (query != nullptr && evhttp_parse_query_str(query, &parameters) == 0) {
    const char* value = evhttp_find_header(&parameters, "key");
    key = value != nullptr ? value : key;
    evhttp_clear_headers(&parameters);
  }
  return key;
}

std::string
dumpText(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

Result<ExecutorBehaviour>
ExecutorBehaviour::withChanges(const nlohmann::json& aChanges) const
{
  ExecutorBehaviour changed = *this;
  try {
    changed.mDistribution = aChanges.value("distribution", mDistribution);
    changed.mMeanServiceMs = aChanges.value("meanServiceMs", mMeanServiceMs);
    changed.mSlowShare = aChanges.value("slowShare", mSlowShare);
    changed.mSlowFactor = aChanges.value("slowFactor", mSlowFactor);
    changed.mFailShare = aChanges.value("failShare", mFailShare);
    changed.mCutShare = aChanges.value("cutShare", mCutShare);
    changed.mCloseShare = aChanges.value("closeShare", mCloseShare);
  } catch (const nlohmann::json::exception& exception) {
    return Error::create(ErrorCode::eInvalid, "executor.behaviour", "local", exception.what());
  }
  return changed;
}

FakeExecutor::FakeExecutor(EventLoop& aLoop,
                           Options aOptions,
                           std::unique_ptr<HistoryWriter> aHistory)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mHistory(std::move(aHistory))
  , mEngine(mOptions.mSeed)
{
}

FakeExecutor::~FakeExecutor()
{
  mRuns.clear();
  if (mServer != nullptr) {
    evhttp_free(mServer);
  }
}

Result<std::unique_ptr<FakeExecutor>>
FakeExecutor::start(EventLoop& aLoop, const Options& aOptions)
{
  Result<std::unique_ptr<HistoryWriter>> history = HistoryWriter::open(aOptions.mHistoryFile);
  if (!isOk(history)) {
    return errorOf(history);
  }
  std::unique_ptr<FakeExecutor> executor(
    new FakeExecutor(aLoop, aOptions, takeValue(std::move(history))));
  const Result<Done> listening = executor->listen();
  if (!isOk(listening)) {
    return errorOf(listening);
  }
  executor->mHistory->write("capacity",
                            { { "kind", "executor" },
                              { "slots", aOptions.mSlots },
                              { "dataCentre", aOptions.mDataCentre } });
  return executor;
}

Result<Done>
FakeExecutor::listen()
{
  const Result<SocketAddress> address = SocketAddress::parse(mOptions.mListenAddress);
  if (!isOk(address)) {
    return errorOf(address);
  }
  mServer = evhttp_new(mLoop.base());
  evhttp_set_allowed_methods(mServer,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
    mServer,
    [](evhttp_request* aRequest, void* aSelf) {
      static_cast<FakeExecutor*>(aSelf)->onRequest(aRequest);
    },
    this);
  const ev_uint16_t port = static_cast<ev_uint16_t>(valueOf(address).port());
  if (evhttp_bind_socket(mServer, valueOf(address).host().c_str(), port) != 0) {
    return Error::create(
      ErrorCode::eIo, "executor.listen", mOptions.mListenAddress, "cannot be bound");
  }
  return Done{};
}

void
FakeExecutor::onRequest(evhttp_request* aRequest)
{
  const std::string path = evhttp_request_get_uri(aRequest);
  if (path == "/fake/behaviour") {
    changeBehaviour(aRequest);
    return;
  }
  const RunPosition run = mRuns.emplace(mRuns.end());
  run->mRequest = aRequest;
  run->mRequestId = headerOf(aRequest, "X-Request-Id");
  run->mKey = keyOf(aRequest);
  run->mEnding = drawEnding();
  run->mAnswer = dumpText({ { "requestId", run->mRequestId },
                            { "key", run->mKey },
                            { "path", path },
                            { "body", readBody(evhttp_request_get_input_buffer(aRequest)) } });
  mHistory->write(
    "received",
    { { "requestId", run->mRequestId }, { "key", run->mKey }, { "running", mRuns.size() } });
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(aRequest),
    [](evhttp_connection* /*aConnection*/, void* aRun) {
      static_cast<Run*>(aRun)->mRequest = nullptr;
    },
    &*run);
  run->mTimer = mLoop.runAt(mLoop.now().plusMs(drawServiceMs()), [this, run]() { finish(run); });
}

void
FakeExecutor::changeBehaviour(evhttp_request* aRequest)
{
  const std::string body = readBody(evhttp_request_get_input_buffer(aRequest));
  const nlohmann::json changes = nlohmann::json::parse(body, nullptr, false);
  const Result<ExecutorBehaviour> changed = mOptions.mBehaviour.withChanges(changes);
  if (!isOk(changed)) {
    evhttp_send_reply(aRequest, kStatusInvalid, errorOf(changed).text().c_str(), nullptr);
    return;
  }
  mOptions.mBehaviour = valueOf(changed);
  mHistory->write("behaviour", { { "changes", changes } });
  evhttp_send_reply(aRequest, kStatusOk, "OK", nullptr);
}

FakeExecutor::Ending
FakeExecutor::drawEnding()
{
  const ExecutorBehaviour& behaviour = mOptions.mBehaviour;
  double draw = std::uniform_real_distribution<double>(0, 1)(mEngine);
  if (draw < behaviour.mFailShare) {
    return Ending::eFail;
  }
  draw -= behaviour.mFailShare;
  if (draw < behaviour.mCutShare) {
    return Ending::eCut;
  }
  draw -= behaviour.mCutShare;
  return draw < behaviour.mCloseShare ? Ending::eClose : Ending::eAnswer;
}

std::int64_t
FakeExecutor::drawServiceMs()
{
  const ExecutorBehaviour& behaviour = mOptions.mBehaviour;
  double serviceMs = behaviour.mMeanServiceMs;
  if (behaviour.mDistribution == "exponential") {
    serviceMs *= std::exponential_distribution<double>(1)(mEngine);
  } else if (behaviour.mDistribution == "lognormal") {
    const double mu = -kLognormalSigma * kLognormalSigma / 2;
    serviceMs *= std::lognormal_distribution<double>(mu, kLognormalSigma)(mEngine);
  }
  if (std::uniform_real_distribution<double>(0, 1)(mEngine) < behaviour.mSlowShare) {
    serviceMs *= behaviour.mSlowFactor;
  }
  const double load = static_cast<double>(mRuns.size()) / static_cast<double>(mOptions.mSlots);
  return std::lround(serviceMs * std::max(1.0, load));
}

void
FakeExecutor::finish(RunPosition aRun)
{
  Run run = std::move(*aRun);
  mRuns.erase(aRun);
  const bool isGone = run.mRequest == nullptr;
  static constexpr const char* kNames[] = { "answered", "failed", "cut", "closed" };
  const char* outcome = isGone ? "gone" : kNames[static_cast<int>(run.mEnding)];
  mHistory->write("finished",
                  { { "requestId", run.mRequestId }, { "key", run.mKey }, { "outcome", outcome } });
  if (isGone) {
    return;
  }
  evhttp_connection* connection = evhttp_request_get_connection(run.mRequest);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  switch (run.mEnding) {
    case Ending::eAnswer:
      answer(run, kStatusOk);
      break;
    case Ending::eFail:
      answer(run, kStatusFailed);
      break;
    case Ending::eCut:
      cut(run);
      break;
    case Ending::eClose:
      evhttp_connection_free(connection);
      break;
  }
}

void
FakeExecutor::answer(Run& aRun, int aStatus)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aRun.mRequest);
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aRun.mAnswer.data(), aRun.mAnswer.size());
  evhttp_send_reply(aRun.mRequest, aStatus, nullptr, body);
  evbuffer_free(body);
}

void
FakeExecutor::cut(Run& aRun)
{
  evkeyvalq* headers = evhttp_request_get_output_headers(aRun.mRequest);
  evhttp_add_header(headers, "Content-Length", std::to_string(aRun.mAnswer.size()).c_str());
  evhttp_send_reply_start(aRun.mRequest, kStatusOk, nullptr);
  evbuffer* half = evbuffer_new();
  evbuffer_add(half, aRun.mAnswer.data(), aRun.mAnswer.size() / 2);
  evhttp_send_reply_chunk(aRun.mRequest, half);
  evbuffer_free(half);
  // The run goes back into the list, so that a connection that the peer closes is not touched.
  const RunPosition waiting = mRuns.emplace(mRuns.end(), std::move(aRun));
  evhttp_connection* connection = evhttp_request_get_connection(waiting->mRequest);
  evhttp_connection_set_closecb(
    connection,
    [](evhttp_connection* /*aConnection*/, void* aRun) {
      static_cast<Run*>(aRun)->mRequest = nullptr;
    },
    &*waiting);
  waiting->mTimer = mLoop.runAt(mLoop.now().plusMs(kCutPauseMs), [this, waiting, connection]() {
    const bool isOpen = waiting->mRequest != nullptr;
    mRuns.erase(waiting);
    if (isOpen) {
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      evhttp_connection_free(connection);
    }
  });
}

} // namespace magnoliadrum
