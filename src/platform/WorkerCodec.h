#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "relay/WorkerClient.h"

#include <string>

namespace magnoliadrum::platform {

/** A worker's registration. */
struct Registration
{
  WorkerDescription worker;
  /** IP:port at which the worker accepts calls. */
  std::string address;
  /** Rises with each registration of a worker incarnation. */
  std::int64_t sequence = 0;
};

/** Decodes a registration. The error eInvalid lists the faults; a registration with a fault is
 * rejected as a whole. */
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

/** Decodes a worker's run lists. Rows that cannot be decoded are logged and skipped. */
Result<RunLists>
decodeRunLists(const std::string& aBody, const std::string& aPeer);

/** A worker's answer to an order. */
struct OrderOutcome
{
  OrderResult result = OrderResult::eNoAnswer;
  /** Worker's clock at the answer in ms; 0 when the answer does not contain it. */
  std::int64_t clockMs = 0;
};

/** Maps the HTTP status and the body of a worker's answer to the result of the order. */
OrderOutcome
decodeOrderOutcome(std::int64_t aStatus, const std::string& aBody);

} // namespace magnoliadrum::platform
