#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "relay/WorkerClient.h"

#include <string>

namespace magnoliadrum::platform {

/** A worker's announcement. */
struct Registration
{
  WorkerDescription worker;
  /** IP:port at which the worker takes calls. */
  std::string address;
  /** Rises with each announcement of a life. */
  std::int64_t sequence = 0;
};

/** Reads an announcement. The error eInvalid lists every fault; nothing of it may be used then. */
Result<Registration>
decodeRegistration(const std::string& aWorkerId,
                   const std::string& aBody,
                   const std::string& aPeer);

std::string
encodeStart(const StartOrder& aOrder, std::int64_t aFence, std::int64_t aLeaseUntilMs);

std::string
encodeStop(const StopOrder& aOrder, std::int64_t aFence);

std::string
encodePace(const PaceOrder& aOrder, std::int64_t aFence);

std::string
encodeRunListRequest(const RunListRequest& aRequest);

/** Reads a worker's lists. Rows that cannot be read are logged and left out. */
Result<RunLists>
decodeRunLists(const std::string& aBody, const std::string& aPeer);

/** A worker's answer to an order. */
struct OrderOutcome
{
  OrderResult result = OrderResult::eNoAnswer;
  /** Worker's clock; 0 when the answer does not tell it. */
  std::int64_t clockMs = 0;
};

OrderOutcome
decodeOrderOutcome(std::int64_t aStatus, const std::string& aBody);

} // namespace magnoliadrum::platform
