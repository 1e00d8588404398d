#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "placement/ResourceAmount.h"
#include "relay/relay.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** How a ModelWorker differs from what the platform states, or leaves open. Orders should not
 * depend on either. */
struct ModelWorkerDeviations
{
  /** The worker takes a run again whose end was acknowledged. */
  bool forgetsAcknowledgedEnds = false;
  /** The worker reads its lists when the request comes, and its clock when it answers. */
  bool readsListsAtRequest = false;
};

/** What a ModelWorker needs from the model around it. */
struct ModelWorkerContext
{
  std::function<MonotonicTime()> now;
  /** Runs a function after a time in ms. */
  std::function<void(std::int64_t, std::function<void()>)> runLater;
  /** Called when the worker begins a run. */
  std::function<void(const std::string& aTask, std::int64_t aRun)> onStarted;
  /** Called for each run that the worker holds when it crashes. */
  std::function<void(const std::string& aTask)> onCrashed;
  /** Size and run time of a task; a run time of 0 never ends. */
  std::function<ResourceAmount(const std::string& aTask)> sizeOf;
  std::function<std::int64_t(const std::string& aTask)> runTimeMs;
  /** Whether the worker crashes after it has begun a run of the task, and after which time in ms.
   * Negative for no crash. */
  std::function<std::int64_t(const std::string& aTask)> crashDelayMs;
  ModelWorkerDeviations deviations;
  std::string poolName;
};

/**
 * One incarnation of a worker of the platform, in virtual time. It follows the platform's protocol
 * for orders, leases, fences and run lists, and starts whatever it is told to start, whether it
 * fits or not.
 */
class ModelWorker
{
public:
  /** Time in ms from an order to its effect, and from there to the answer. */
  static constexpr std::int64_t kCallMs = 2;
  /** Time in ms that a stop takes. */
  static constexpr std::int64_t kStopMs = 300;
  /** Time in ms after which a caller gives up an unanswered order. */
  static constexpr std::int64_t kOrderTimeoutMs = 1000;

  ModelWorker(ModelWorkerContext aContext, std::string aWorkerId, ResourceAmount aCapacity);

  WorkerDescription description() const;
  const std::string& workerId() const { return mWorkerId; }
  std::int64_t bornMs() const { return mBornAt.ms(); }
  bool isUp() const { return mIsUp; }

  void setCapacity(const ResourceAmount& aCapacity) { mCapacity = aCapacity; }
  const ResourceAmount& capacity() const { return mCapacity; }

  /** Sum of the sizes of all runs, including those that are being stopped. */
  ResourceAmount used() const;
  bool runs(const std::string& aTask) const { return mRuns.contains(aTask); }

  /** Ends the incarnation: its runs are gone and its connections break. */
  void crash();

  /** Announces the planned end of the incarnation. */
  void announceEnd() { mIsDraining = true; }

  /** Ends the incarnation as announced. */
  void leave();

  /** Ends the runs that are over and, after the lease, all others. */
  void tick();

  /** The next start order is carried out this much later, in ms, and is never answered. */
  void delayNextStart(std::int64_t aMs) { mNextStartDelayMs = aMs; }

  void start(const StartOrder& aOrder,
             std::int64_t aFence,
             std::int64_t aLeaseUntilMs,
             WorkerClient::OrderCallback aCallback);
  void stop(const StopOrder& aOrder, std::int64_t aFence, WorkerClient::OrderCallback aCallback);
  void listRuns(const RunListRequest& aRequest, std::function<void(Result<RunLists>)> aCallback);

private:
  struct ModelRun
  {
    std::int64_t run = 0;
    MonotonicTime startedAt;
    bool isStopping = false;
  };

  std::int64_t clockMs() const { return mContext.now().msSince(mBornAt); }
  OrderResult execute(const StartOrder& aOrder, std::int64_t aFence, std::int64_t aLeaseUntilMs);
  void end(const std::string& aTask, RunEnd aHow);
  RunLists lists() const;

  ModelWorkerContext mContext;
  std::string mWorkerId;
  ResourceAmount mCapacity;
  MonotonicTime mBornAt;
  bool mIsUp = true;
  bool mIsDraining = false;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::map<std::string, ModelRun> mRuns;
  /** Highest run of each task that was stopped or has ended; only later ones are taken. */
  std::map<std::string, std::int64_t> mClosedRuns;
  std::vector<ListedEnd> mEnds;
  std::int64_t mEndCount = 0;
  std::int64_t mNextStartDelayMs = 0;
  /** Functions that fail the calls in progress when the worker crashes. */
  std::map<std::int64_t, std::function<void()>> mPendingCalls;
  std::int64_t mCallCount = 0;
};

} // namespace magnoliadrum
