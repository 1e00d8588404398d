#include "platform/PlatformWorkerCalls.h"

#include "platform/WorkerCodec.h"

#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kStartPath = "/-/run-start";
const char* const kStopPath = "/-/run-stop";
const char* const kPacePath = "/-/pace";
/** Extends the lease and returns the lists; the platform calls it "hold". */
const char* const kListPath = "/-/hold";
constexpr std::int64_t kOk = 200;

HttpHeader
header(const char* aName, const std::string& aValue)
{
  return valueOf(HttpHeader::create({ .name = aName, .value = aValue }));
}

} // namespace

PlatformWorkerCalls::PlatformWorkerCalls(EventLoop& aLoop,
                                         std::string aAddress,
                                         std::string aWorkerId)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mWorkerId(std::move(aWorkerId))
{
}

Result<std::unique_ptr<WorkerCalls>>
PlatformWorkerCalls::create(EventLoop& aLoop,
                            const std::string& aAddress,
                            const std::string& aWorkerId)
{
  auto orders = HttpClient::create(aLoop, aAddress, kOrderConnections);
  if (!isOk(orders)) {
    return errorOf(orders);
  }
  auto lists = HttpClient::create(aLoop, aAddress, kListConnections);
  if (!isOk(lists)) {
    return errorOf(lists);
  }
  std::unique_ptr<PlatformWorkerCalls> calls(new PlatformWorkerCalls(aLoop, aAddress, aWorkerId));
  calls->mOrders = takeValue(std::move(orders));
  calls->mLists = takeValue(std::move(lists));
  return std::unique_ptr<WorkerCalls>(std::move(calls));
}

HttpCall
PlatformWorkerCalls::makeCall(std::string aPath, std::string aBody, std::int64_t aTimeoutMs) const
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
PlatformWorkerCalls::start(const StartOrder& aOrder,
                           std::int64_t aFence,
                           std::int64_t aLeaseUntilMs,
                           OrderCallback aCallback)
{
  order(kStartPath, encodeStart(aOrder, aFence, aLeaseUntilMs), std::move(aCallback));
}

void
PlatformWorkerCalls::stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback)
{
  order(kStopPath, encodeStop(aOrder, aFence), std::move(aCallback));
}

void
PlatformWorkerCalls::pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback)
{
  order(kPacePath, encodePace(aOrder, aFence), std::move(aCallback));
}

void
PlatformWorkerCalls::order(std::string aPath, std::string aBody, OrderCallback aCallback)
{
  mWaiting.push_back({ std::move(aPath), std::move(aBody), std::move(aCallback) });
  sendWaiting();
}

void
PlatformWorkerCalls::sendWaiting()
{
  while (!mWaiting.empty() && mOrders->inProgress() < kOrderConnections) {
    Waiting next = std::move(mWaiting.front());
    mWaiting.pop_front();
    mOrders->send(makeCall(std::move(next.path), std::move(next.body), kOrderTimeoutMs),
                  [this, alive = std::weak_ptr<bool>(mAlive), callback = std::move(next.callback)](
                    const Result<HttpAnswer>& aAnswer) {
                    if (alive.expired()) {
                      return;
                    }
                    OrderOutcome outcome;
                    if (isOk(aAnswer)) {
                      outcome =
                        decodeOrderOutcome(valueOf(aAnswer).status(), valueOf(aAnswer).body());
                    }
                    callback(outcome.result, outcome.clockMs);
                    if (!alive.expired()) {
                      sendWaiting();
                    }
                  });
  }
}

void
PlatformWorkerCalls::list(const ListRequest& aRequest,
                          std::function<void(Result<WorkerLists>)> aCallback)
{
  mLists->send(makeCall(kListPath, encodeListRequest(aRequest), aRequest.waitMs + kListTimeoutMs),
               [alive = std::weak_ptr<bool>(mAlive),
                address = mAddress,
                callback = std::move(aCallback)](const Result<HttpAnswer>& aAnswer) {
                 if (alive.expired()) {
                   return;
                 }
                 if (!isOk(aAnswer)) {
                   callback(errorOf(aAnswer));
                   return;
                 }
                 const HttpAnswer& answer = valueOf(aAnswer);
                 if (answer.status() != kOk) {
                   callback(Error::create(ErrorCode::eRefused,
                                          "worker lists",
                                          address,
                                          "status " + std::to_string(answer.status())));
                   return;
                 }
                 callback(decodeLists(answer.body(), address));
               });
}

} // namespace magnoliadrum::platform
