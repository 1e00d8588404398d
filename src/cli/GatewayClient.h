#pragma once

#include "transport/transport.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A JSON answer of the operator interface with its HTTP status. */
struct GatewayAnswer
{
  int mStatus = 0;
  nlohmann::json mBody;

  bool isSuccess() const { return mStatus >= 200 && mStatus < 300; }
};

/**
 * A blocking client of the gateways' operator interface. It tries the gateways in turn until one
 * answers, so every operation it sends must be idempotent; catalogue changes are, by their change
 * id.
 */
class GatewayClient
{
public:
  /** Precondition: aGateways is not empty. */
  static Result<std::unique_ptr<GatewayClient>> create(std::vector<std::string> aGateways,
                                                       std::int64_t aTimeoutMs);

  /** Sends a request; aBody is left out when it is null. The error names the last gateway tried. */
  Result<GatewayAnswer> request(const std::string& aMethod,
                                const std::string& aPath,
                                const nlohmann::json& aBody = nullptr);

  /** Waits without using the processor. */
  void sleepMs(std::int64_t aMs);

private:
  GatewayClient(std::unique_ptr<EventLoop> aLoop,
                std::vector<std::string> aGateways,
                std::int64_t aTimeoutMs);

  Result<HttpAnswer> send(const std::string& aGateway, const HttpCall& aCall);

  std::unique_ptr<EventLoop> mLoop;
  std::vector<std::string> mGateways;
  std::int64_t mTimeoutMs;
};

} // namespace magnoliadrum
