#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace magnoliadrum {

/** The running and ended runs that a worker lists. */
struct RunLists
{
  /** Start of the worker's incarnation in ms since 1970. */
  std::int64_t bornMs = 0;
  /** Worker's clock when it answered, in ms. */
  std::int64_t clockMs = 0;
  std::vector<ListedRun> running;
  /** Ended runs that were not acknowledged yet, oldest first. */
  std::vector<ListedEnd> ended;
  /** Whether the worker holds further ended runs that the list leaves out. */
  bool hasMoreEnds = false;
};

/** A request for the worker's run lists, which can also extend the lease. */
struct RunListRequest
{
  /** Fencing token of the leader; the worker rejects requests with a lower one than it has seen. */
  std::int64_t fence = 0;
  /** Ended runs up to this number are acknowledged; the worker may discard them. */
  std::int64_t ackedEnds = 0;
  /** New end of the lease on the worker's clock; 0 leaves the lease unchanged. */
  std::int64_t leaseUntilMs = 0;
  /** How long the worker may wait for another run to end before it answers. */
  std::int64_t waitMs = 0;
};

/**
 * Sends orders and list requests to one incarnation of the worker on the relay's VM: none of them
 * reaches another incarnation, also one under the same id at the same address. The destructor
 * abandons the calls in progress without calling their callbacks.
 */
class WorkerClient
{
public:
  /** Receives the result of an order and the worker's clock at the answer, 0 when it is unknown. */
  using OrderCallback = std::function<void(OrderResult, std::int64_t)>;

  virtual ~WorkerClient() = default;

  /** Starts a run under a lease that ends at aLeaseUntilMs on the worker's clock. */
  virtual void start(const StartOrder& aOrder,
                     std::int64_t aFence,
                     std::int64_t aLeaseUntilMs,
                     OrderCallback aCallback) = 0;
  virtual void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) = 0;
  /** Limits a run to a share of its speed. */
  virtual void pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) = 0;
  /** Requests the run lists. Fails with eRefused if no connection could be opened and with
   * eUnavailable if the connection failed before the answer. */
  virtual void listRuns(const RunListRequest& aRequest,
                        std::function<void(Result<RunLists>)> aCallback) = 0;
};

} // namespace magnoliadrum
