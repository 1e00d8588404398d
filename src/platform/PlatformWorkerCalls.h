#pragma once

#include "relay/WorkerCalls.h"
#include "transport/transport.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace magnoliadrum::platform {

/** Calls a worker of the platform by HTTP. */
class PlatformWorkerCalls : public WorkerCalls
{
public:
  /** Connections for orders. Orders take about a millisecond, and each new connection costs. */
  static constexpr std::size_t kOrderConnections = 6;
  /** One request for the lists that waits, and one beside it when the fence has changed. */
  static constexpr std::size_t kListConnections = 2;
  /** A worker on the same VM answers an order within milliseconds, or not at all. */
  static constexpr std::int64_t kOrderTimeoutMs = 1000;
  /** Added to the time that the worker may wait before it answers with its lists. */
  static constexpr std::int64_t kListTimeoutMs = 1000;

  /** Error: aAddress is not IP:port. */
  static Result<std::unique_ptr<WorkerCalls>> create(EventLoop& aLoop,
                                                     const std::string& aAddress,
                                                     const std::string& aWorkerId);

  void start(const StartOrder& aOrder,
             std::int64_t aFence,
             std::int64_t aLeaseUntilMs,
             OrderCallback aCallback) override;
  void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override;
  void pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override;
  void list(const ListRequest& aRequest,
            std::function<void(Result<WorkerLists>)> aCallback) override;

private:
  struct Waiting
  {
    std::string path;
    std::string body;
    OrderCallback callback;
  };

  PlatformWorkerCalls(EventLoop& aLoop, std::string aAddress, std::string aWorkerId);

  HttpCall makeCall(std::string aPath, std::string aBody, std::int64_t aTimeoutMs) const;
  void order(std::string aPath, std::string aBody, OrderCallback aCallback);
  void sendWaiting();

  EventLoop& mLoop;
  std::string mAddress;
  std::string mWorkerId;
  std::unique_ptr<HttpClient> mOrders;
  std::unique_ptr<HttpClient> mLists;
  std::deque<Waiting> mWaiting;
  /** Lets callbacks find out that this object is gone. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace magnoliadrum::platform
