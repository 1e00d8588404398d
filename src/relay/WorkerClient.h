#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace magnoliadrum {

/** What a worker says it runs and has run. */
struct RunLists
{
  std::int64_t bornMs = 0;
  /** Worker's clock at the answer. */
  std::int64_t clockMs = 0;
  std::vector<ListedRun> running;
  /** Ends that were not acknowledged, oldest first. */
  std::vector<ListedEnd> ended;
};

/** What a request for the lists carries. */
struct RunListRequest
{
  std::int64_t fence = 0;
  /** The worker may forget ends up to this number. */
  std::int64_t ackedEnds = 0;
  /** New end of the lease on the worker's clock; 0 to leave it. */
  std::int64_t leaseUntilMs = 0;
  /** How long the worker may wait for a new end before it answers. */
  std::int64_t waitMs = 0;
};

/**
 * The calls to one life of the worker beside a relay. Dropping the object drops the calls in
 * progress without their callbacks.
 */
class WorkerClient
{
public:
  /** The answer and the worker's clock at it; 0 without an answer. */
  using OrderCallback = std::function<void(OrderResult, std::int64_t)>;

  virtual ~WorkerClient() = default;

  virtual void start(const StartOrder& aOrder,
                     std::int64_t aFence,
                     std::int64_t aLeaseUntilMs,
                     OrderCallback aCallback) = 0;
  virtual void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) = 0;
  virtual void pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) = 0;
  virtual void listRuns(const RunListRequest& aRequest,
                        std::function<void(Result<RunLists>)> aCallback) = 0;
};

} // namespace magnoliadrum
