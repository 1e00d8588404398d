#include "platform/IncarnationProof.h"

#include "platform/WorkerCodec.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <utility>

namespace magnoliadrum::platform {

namespace {

const char* const kStep = "worker incarnation";
constexpr std::int64_t kOk = 200;

bool
closesConnection(const HttpAnswer& aAnswer)
{
  return std::any_of(
    aAnswer.headers().begin(), aAnswer.headers().end(), [](const HttpHeader& aHeader) {
      return boost::algorithm::iequals(aHeader.name(), "Connection") &&
             boost::algorithm::iequals(aHeader.value(), "close");
    });
}

} // namespace

IncarnationProof::IncarnationProof(std::unique_ptr<HttpClient> aClient,
                                   std::int64_t aBornMs,
                                   std::string aAddress,
                                   MakeCall aMakeCall)
  : mClient(std::move(aClient))
  , mBornMs(aBornMs)
  , mAddress(std::move(aAddress))
  , mMakeCall(std::move(aMakeCall))
{
}

void
IncarnationProof::whenProven(std::int64_t aFence, Callback aCallback)
{
  if (mIsProven && mClient->hasOpenIdleConnection()) {
    aCallback(Done{});
    return;
  }
  mIsProven = false;
  mWaiting.push_back(std::move(aCallback));
  if (mWaiting.size() > 1) {
    return;
  }
  mClient->send(mMakeCall({ .fence = aFence }),
                [this, alive = std::weak_ptr<bool>(mAlive)](const Result<HttpAnswer>& aAnswer) {
                  if (!alive.expired()) {
                    onAnswer(aAnswer);
                  }
                });
}

void
IncarnationProof::onAnswer(const Result<HttpAnswer>& aAnswer)
{
  const Result<Done> proven =
    isOk(aAnswer) ? checkAnswer(valueOf(aAnswer)) : Result<Done>(errorOf(aAnswer));
  mIsProven = isOk(proven);
  const std::weak_ptr<bool> alive = mAlive;
  for (const Callback& callback : std::exchange(mWaiting, {})) {
    if (alive.expired()) {
      return;
    }
    callback(proven);
  }
}

Result<Done>
IncarnationProof::checkAnswer(const HttpAnswer& aAnswer) const
{
  if (aAnswer.status() != kOk) {
    return Error::create(
      ErrorCode::eInvalid, kStep, mAddress, "status " + std::to_string(aAnswer.status()));
  }
  const Result<RunLists> lists = decodeRunLists(aAnswer.body(), mAddress);
  if (!isOk(lists)) {
    return errorOf(lists);
  }
  if (valueOf(lists).bornMs != mBornMs) {
    return Error::create(ErrorCode::eConflict,
                         kStep,
                         mAddress,
                         "born " + std::to_string(valueOf(lists).bornMs) + ", expected " +
                           std::to_string(mBornMs));
  }
  // An answer that was read late, after the end of its process, proves nothing about the present.
  if (!mClient->hasOpenIdleConnection() && !closesConnection(aAnswer)) {
    return Error::create(ErrorCode::eUnavailable, kStep, mAddress, "connection ended");
  }
  return Done{};
}

} // namespace magnoliadrum::platform
