#include "platform/PlatformWorkerClient.h"

#include "platform/WorkerCodec.h"
#include "relay/relay.h"

#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kStartPath = "/-/run-start";
const char* const kStopPath = "/-/run-stop";
const char* const kPacePath = "/-/pace";
/** Extends the lease and returns the run lists. */
const char* const kListPath = "/-/hold";
constexpr std::int64_t kOk = 200;

HttpHeader
header(const char* aName, const std::string& aValue)
{
  return valueOf(HttpHeader::create({ .name = aName, .value = aValue }));
}

} // namespace

PlatformWorkerClient::PlatformWorkerClient(EventLoop& aLoop,
                                           std::string aAddress,
                                           std::string aWorkerId)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mWorkerId(std::move(aWorkerId))
{
}

Result<std::unique_ptr<WorkerClient>>
PlatformWorkerClient::create(EventLoop& aLoop,
                             const std::string& aAddress,
                             const WorkerDescription& aWorker)
{
  auto orderClient = HttpClient::create(aLoop, aAddress, WorkerRelay::kMaxOrdersInProgress);
  if (!isOk(orderClient)) {
    return errorOf(orderClient);
  }
  auto listClient = HttpClient::create(aLoop, aAddress, kListConnections);
  if (!isOk(listClient)) {
    return errorOf(listClient);
  }
  Result<std::unique_ptr<HttpClient>> proofClient = HttpClient::create(aLoop, aAddress, 1);
  if (!isOk(proofClient)) {
    return errorOf(proofClient);
  }
  std::unique_ptr<PlatformWorkerClient> client(
    new PlatformWorkerClient(aLoop, aAddress, aWorker.workerId()));
  client->mOrderClient = takeValue(std::move(orderClient));
  client->mListClient = takeValue(std::move(listClient));
  client->mProof = std::make_unique<IncarnationProof>(
    takeValue(std::move(proofClient)),
    aWorker.bornMs(),
    aAddress,
    [self = client.get()](const RunListRequest& aRequest) {
      return self->makeHttpCall(kListPath, encodeRunListRequest(aRequest), kProofTimeoutMs);
    });
  return std::unique_ptr<WorkerClient>(std::move(client));
}

HttpCall
PlatformWorkerClient::makeHttpCall(std::string aPath,
                                   std::string aBody,
                                   std::int64_t aTimeoutMs) const
{
  HttpCall call;
  call.mMethod = "POST";
  call.mPath = std::move(aPath);
  call.mHeaders = { header("Content-Type", "application/json"),
                    header("Expect-Instance", mWorkerId) };
  call.mBody = std::move(aBody);
  call.mDeadline = mLoop.now().plusMs(aTimeoutMs);
  return call;
}

void
PlatformWorkerClient::start(const StartOrder& aOrder,
                            std::int64_t aFence,
                            std::int64_t aLeaseUntilMs,
                            OrderCallback aCallback)
{
  sendOrder(kStartPath, encodeStart(aOrder, aFence, aLeaseUntilMs), aFence, std::move(aCallback));
}

void
PlatformWorkerClient::stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback)
{
  sendOrder(kStopPath, encodeStop(aOrder, aFence), aFence, std::move(aCallback));
}

void
PlatformWorkerClient::pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback)
{
  sendOrder(kPacePath, encodePace(aOrder, aFence), aFence, std::move(aCallback));
}

void
PlatformWorkerClient::sendOrder(std::string aPath,
                                std::string aBody,
                                std::int64_t aFence,
                                OrderCallback aCallback)
{
  mProof->whenProven(
    aFence,
    [this, path = std::move(aPath), body = std::move(aBody), callback = std::move(aCallback)](
      const Result<Done>& aProven) {
      if (!isOk(aProven)) {
        callback(OrderResult::eNotSent, 0);
        return;
      }
      sendProvenOrder(path, body, callback);
    });
}

void
PlatformWorkerClient::sendProvenOrder(std::string aPath, std::string aBody, OrderCallback aCallback)
{
  mOrderClient->send(makeHttpCall(std::move(aPath), std::move(aBody), kOrderTimeoutMs),
                     [this, alive = std::weak_ptr<bool>(mAlive), callback = std::move(aCallback)](
                       const Result<HttpAnswer>& aAnswer) {
                       if (alive.expired()) {
                         return;
                       }
                       if (!isOk(aAnswer)) {
                         mProof->onCallFailed();
                       }
                       OrderOutcome outcome;
                       if (isOk(aAnswer)) {
                         outcome =
                           decodeOrderOutcome(valueOf(aAnswer).status(), valueOf(aAnswer).body());
                       } else if (errorOf(aAnswer).code() == ErrorCode::eRefused) {
                         outcome.result = OrderResult::eNotSent;
                       }
                       callback(outcome.result, outcome.clockMs);
                     });
}

void
PlatformWorkerClient::listRuns(const RunListRequest& aRequest,
                               std::function<void(Result<RunLists>)> aCallback)
{
  mProof->whenProven(
    aRequest.fence,
    [this, request = aRequest, callback = std::move(aCallback)](const Result<Done>& aProven) {
      if (!isOk(aProven)) {
        callback(errorOf(aProven));
        return;
      }
      sendProvenListRequest(request, callback);
    });
}

void
PlatformWorkerClient::sendProvenListRequest(const RunListRequest& aRequest,
                                            std::function<void(Result<RunLists>)> aCallback)
{
  mListClient->send(
    makeHttpCall(kListPath, encodeRunListRequest(aRequest), aRequest.waitMs + kListTimeoutMarginMs),
    [this, alive = std::weak_ptr<bool>(mAlive), callback = std::move(aCallback)](
      const Result<HttpAnswer>& aAnswer) {
      if (alive.expired()) {
        return;
      }
      if (!isOk(aAnswer)) {
        mProof->onCallFailed();
        callback(errorOf(aAnswer));
        return;
      }
      const HttpAnswer& answer = valueOf(aAnswer);
      if (answer.status() != kOk) {
        callback(Error::create(ErrorCode::eInvalid,
                               "worker lists",
                               mAddress,
                               "status " + std::to_string(answer.status())));
        return;
      }
      callback(decodeRunLists(answer.body(), mAddress));
    });
}

} // namespace magnoliadrum::platform
