#pragma once

#include "platform/IncarnationProof.h"
#include "relay/WorkerClient.h"
#include "transport/transport.h"

#include <cstdint>
#include <memory>
#include <string>

namespace magnoliadrum::platform {

/** Calls a worker of the platform over HTTP. */
class PlatformWorkerClient : public WorkerClient
{
public:
  /** One list request that waits at the worker, and a second one when the fence has changed. */
  static constexpr std::size_t kListConnections = 2;
  /** Timeout of an order. A worker on the same VM answers within milliseconds or not at all. */
  static constexpr std::int64_t kOrderTimeoutMs = 1000;
  /** Added to RunListRequest::waitMs for the timeout of a list request. */
  static constexpr std::int64_t kListTimeoutMarginMs = 1000;
  /** Timeout of the call that proves the incarnation. Orders wait for it, and the relay relies on
   * their age. */
  static constexpr std::int64_t kProofTimeoutMs = 500;

  /** Fails when aAddress is not IP:port. */
  static Result<std::unique_ptr<WorkerClient>> create(EventLoop& aLoop,
                                                      const std::string& aAddress,
                                                      const WorkerDescription& aWorker);

  void start(const StartOrder& aOrder,
             std::int64_t aFence,
             std::int64_t aLeaseUntilMs,
             OrderCallback aCallback) override;
  void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override;
  void pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override;
  void listRuns(const RunListRequest& aRequest,
                std::function<void(Result<RunLists>)> aCallback) override;

private:
  PlatformWorkerClient(EventLoop& aLoop, std::string aAddress, std::string aWorkerId);

  HttpCall makeHttpCall(std::string aPath, std::string aBody, std::int64_t aTimeoutMs) const;
  void sendOrder(std::string aPath,
                 std::string aBody,
                 std::int64_t aFence,
                 OrderCallback aCallback);
  void sendProvenOrder(std::string aPath, std::string aBody, OrderCallback aCallback);
  void sendProvenListRequest(const RunListRequest& aRequest,
                             std::function<void(Result<RunLists>)> aCallback);

  EventLoop& mLoop;
  std::string mAddress;
  std::string mWorkerId;
  std::unique_ptr<HttpClient> mOrderClient;
  std::unique_ptr<HttpClient> mListClient;
  std::unique_ptr<IncarnationProof> mProof;
  /** Callbacks hold a weak pointer to this to detect that the object was destroyed. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace magnoliadrum::platform
