#pragma once

#include "agent/TaskActions.h"
#include "transport/transport.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace magnoliadrum {

/** The worker's tasks and their total resource usage. */
struct WorkerListing
{
  std::vector<WorkerTask> mTasks;
  Resources mUsed;
};

/** Outcome of a call to the worker, with the error text if it did not succeed. */
struct WorkerCallResult
{
  WorkerCallOutcome mOutcome = WorkerCallOutcome::eUnknown;
  std::string mDetail;
  /** Set only by a stop call that wrote a checkpoint. */
  std::string mCheckpoint;
};

/** Calls the worker on the same VM over HTTP with JSON bodies. */
class WorkerAdapter
{
public:
  using ListingCallback = std::function<void(Result<WorkerListing>)>;
  using CallResultCallback = std::function<void(const WorkerCallResult&)>;

  /** @param aToken identifies this agent process; must be higher than those of earlier ones */
  static Result<std::unique_ptr<WorkerAdapter>> create(EventLoop& aLoop,
                                                       const std::string& aAddress,
                                                       std::int64_t aToken);

  /** Sets the callback for a worker that has been claimed by an agent with a higher token. */
  void onSuperseded(std::function<void()> aCallback) { mOnSuperseded = std::move(aCallback); }

  /** Claims the worker for this agent and lists its tasks. */
  void claim(ListingCallback aCallback);
  void list(ListingCallback aCallback);

  void start(const StartAction& aAction, CallResultCallback aCallback);
  void stop(const StopAction& aAction, CallResultCallback aCallback);
  void publish(const PublishAction& aAction, CallResultCallback aCallback);
  void throttle(const ThrottleAction& aAction);
  void extendLease(const LeaseAction& aAction);

private:
  WorkerAdapter(EventLoop& aLoop, std::unique_ptr<HttpClient> aClient, std::int64_t aToken);

  void post(const std::string& aPath,
            const nlohmann::json& aBody,
            std::int64_t aTimeoutMs,
            HttpClient::Callback aCallback);
  void call(const std::string& aPath,
            const nlohmann::json& aBody,
            std::int64_t aTimeoutMs,
            CallResultCallback aCallback);
  WorkerCallResult readCallResult(const Result<HttpAnswer>& aResult) const;

  EventLoop& mLoop;
  std::unique_ptr<HttpClient> mClient;
  std::int64_t mToken;
  std::function<void()> mOnSuperseded;
};

} // namespace magnoliadrum
