#include "cli/GatewayClient.h"

#include <cassert>
#include <optional>
#include <utility>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kRetryMs = 200;
constexpr int kStatusUnavailable = 503;

} // namespace

GatewayClient::GatewayClient(std::unique_ptr<EventLoop> aLoop,
                             std::vector<std::string> aGateways,
                             std::int64_t aTimeoutMs)
  : mLoop(std::move(aLoop))
  , mGateways(std::move(aGateways))
  , mTimeoutMs(aTimeoutMs)
{
}

Result<std::unique_ptr<GatewayClient>>
GatewayClient::create(std::vector<std::string> aGateways, std::int64_t aTimeoutMs)
{
  assert(!aGateways.empty());
  for (const std::string& gateway : aGateways) {
    const Result<SocketAddress> address = SocketAddress::parse(gateway);
    if (!isOk(address)) {
      return errorOf(address);
    }
  }
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::create();
  if (!isOk(loop)) {
    return errorOf(loop);
  }
  return std::unique_ptr<GatewayClient>(
    new GatewayClient(takeValue(std::move(loop)), std::move(aGateways), aTimeoutMs));
}

Result<HttpAnswer>
GatewayClient::send(const std::string& aGateway, const HttpCall& aCall)
{
  constexpr std::size_t kOneConnection = 1;
  const std::unique_ptr<HttpClient> client =
    takeValue(HttpClient::create(*mLoop, aGateway, kOneConnection));
  std::optional<Result<HttpAnswer>> result;
  client->send(aCall, [&](Result<HttpAnswer> aResult) {
    result = std::move(aResult);
    mLoop->stop();
  });
  if (!result) {
    mLoop->run();
  }
  return *result;
}

Result<GatewayAnswer>
GatewayClient::request(const std::string& aMethod,
                       const std::string& aPath,
                       const nlohmann::json& aBody)
{
  const Deadline deadline = mLoop->now().plusMs(mTimeoutMs);
  HttpCall call{ aMethod, aPath, {}, aBody.is_null() ? "" : aBody.dump(), deadline };
  Result<GatewayAnswer> last =
    Error::create(ErrorCode::eTimeout, "operator request", mGateways.front(), "no answer");
  do {
    for (const std::string& gateway : mGateways) {
      const Result<HttpAnswer> answer = send(gateway, call);
      if (!isOk(answer)) {
        last = errorOf(answer);
        continue;
      }
      constexpr bool kThrow = false;
      GatewayAnswer decoded{ static_cast<int>(valueOf(answer).status()),
                             nlohmann::json::parse(valueOf(answer).body(), nullptr, kThrow) };
      if (decoded.mBody.is_discarded()) {
        decoded.mBody = valueOf(answer).body();
      }
      last = decoded;
      if (decoded.mStatus != kStatusUnavailable) {
        return last;
      }
    }
    sleepMs(kRetryMs);
  } while (mLoop->now() < deadline);
  return last;
}

void
GatewayClient::sleepMs(std::int64_t aMs)
{
  const EventHandlePointer timer =
    mLoop->runAt(mLoop->now().plusMs(aMs), [this]() { mLoop->stop(); });
  mLoop->run();
}

} // namespace magnoliadrum
