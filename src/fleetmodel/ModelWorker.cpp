#include "fleetmodel/ModelWorker.h"

#include "state/BuildValue.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace magnoliadrum {

ModelWorker::ModelWorker(ModelWorkerContext aContext,
                         std::string aWorkerId,
                         ResourceAmount aCapacity)
  : mContext(std::move(aContext))
  , mWorkerId(std::move(aWorkerId))
  , mCapacity(aCapacity)
  , mBornAt(mContext.now())
{
}

WorkerDescription
ModelWorker::description() const
{
  return buildValue<WorkerDescription>(
    { .workerId = mWorkerId,
      .bornMs = bornMs(),
      .poolName = mContext.poolName,
      .rack = "r1",
      .labels = { "a", "r1" },
      .capacity =
        buildValue<Resources>({ .cpuMilli = mCapacity.cpuMilli, .memoryMb = mCapacity.memoryMb }),
      .draining = mIsDraining });
}

ResourceAmount
ModelWorker::used() const
{
  ResourceAmount sum;
  for (const auto& [task, run] : mRuns) {
    sum = sum.plus(mContext.sizeOf(task));
  }
  return sum;
}

void
ModelWorker::crash()
{
  for (const auto& [task, run] : mRuns) {
    mContext.onCrashed(task);
  }
  leave();
}

void
ModelWorker::leave()
{
  mIsUp = false;
  mRuns.clear();
  for (const auto& [number, fail] : std::exchange(mPendingCalls, {})) {
    fail();
  }
}

void
ModelWorker::tick()
{
  if (!mIsUp) {
    return;
  }
  const std::map<std::string, ModelRun> runs = mRuns;
  for (const auto& [task, run] : runs) {
    const std::int64_t runTimeMs = mContext.runTimeMs(task);
    if (clockMs() > mLeaseUntilMs) {
      end(task, RunEnd::eLapsed);
    } else if (!run.isStopping && runTimeMs > 0 &&
               mContext.now().msSince(run.startedAt) >= runTimeMs) {
      end(task, RunEnd::eDone);
    }
  }
}

void
ModelWorker::end(const std::string& aTask, RunEnd aHow)
{
  const auto position = mRuns.find(aTask);
  if (position == mRuns.end()) {
    return;
  }
  mEndCount++;
  mEnds.push_back(buildValue<ListedEnd>(
    { .number = mEndCount, .task = aTask, .run = position->second.run, .how = aHow }));
  mClosedRuns[aTask] = std::max(mClosedRuns[aTask], position->second.run);
  mRuns.erase(position);
}

OrderResult
ModelWorker::execute(const StartOrder& aOrder, std::int64_t aFence, std::int64_t aLeaseUntilMs)
{
  if (aFence < mFence) {
    return OrderResult::eFenced;
  }
  mFence = aFence;
  const auto known = mRuns.find(aOrder.task());
  if (known != mRuns.end() && known->second.run == aOrder.run()) {
    return OrderResult::eAccepted;
  }
  if (aOrder.run() <= mClosedRuns[aOrder.task()] || known != mRuns.end()) {
    return OrderResult::eClosed;
  }
  mLeaseUntilMs = std::max(mLeaseUntilMs, aLeaseUntilMs);
  if (clockMs() > mLeaseUntilMs) {
    return OrderResult::eLate;
  }
  mRuns[aOrder.task()] = { aOrder.run(), mContext.now(), false };
  mContext.onStarted(aOrder.task(), aOrder.run());
  const std::int64_t crashDelayMs = mContext.crashDelayMs(aOrder.task());
  if (crashDelayMs >= 0) {
    mContext.runLater(crashDelayMs, [this]() {
      if (mIsUp) {
        crash();
      }
    });
  }
  return OrderResult::eAccepted;
}

void
ModelWorker::start(const StartOrder& aOrder,
                   std::int64_t aFence,
                   std::int64_t aLeaseUntilMs,
                   WorkerClient::OrderCallback aCallback)
{
  if (!mIsUp) {
    mContext.runLater(kCallMs, [aCallback]() { aCallback(OrderResult::eNotSent, 0); });
    return;
  }
  const std::int64_t delayMs = std::exchange(mNextStartDelayMs, 0);
  const std::int64_t call = mCallCount++;
  mPendingCalls[call] = [aCallback]() { aCallback(OrderResult::eNoAnswer, 0); };
  mContext.runLater(kCallMs + delayMs, [this, call, aOrder, aFence, aLeaseUntilMs, aCallback]() {
    if (!mIsUp) {
      return;
    }
    const OrderResult result = execute(aOrder, aFence, aLeaseUntilMs);
    mContext.runLater(kCallMs, [this, call, result, aCallback]() {
      if (mPendingCalls.erase(call) > 0) {
        aCallback(result, clockMs());
      }
    });
  });
  mContext.runLater(kOrderTimeoutMs, [this, call, aCallback]() {
    if (mPendingCalls.erase(call) > 0) {
      aCallback(OrderResult::eNoAnswer, 0);
    }
  });
}

void
ModelWorker::stop(const StopOrder& aOrder,
                  std::int64_t aFence,
                  WorkerClient::OrderCallback aCallback)
{
  if (!mIsUp) {
    mContext.runLater(kCallMs, [aCallback]() { aCallback(OrderResult::eNotSent, 0); });
    return;
  }
  if (aFence < mFence) {
    mContext.runLater(kCallMs, [aCallback]() { aCallback(OrderResult::eFenced, 0); });
    return;
  }
  mFence = aFence;
  mClosedRuns[aOrder.task()] = std::max(mClosedRuns[aOrder.task()], aOrder.run());
  const auto position = mRuns.find(aOrder.task());
  if (position != mRuns.end() && position->second.run <= aOrder.run()) {
    position->second.isStopping = true;
    mContext.runLater(kStopMs, [this, task = aOrder.task()]() {
      if (mIsUp) {
        end(task, RunEnd::eStopped);
      }
    });
  }
  mContext.runLater(kCallMs,
                    [aCallback, clock = clockMs()]() { aCallback(OrderResult::eAccepted, clock); });
}

RunLists
ModelWorker::lists() const
{
  RunLists lists;
  lists.bornMs = bornMs();
  lists.clockMs = clockMs();
  lists.ended = mEnds;
  for (const auto& [task, run] : mRuns) {
    const std::int64_t runTimeMs = mContext.runTimeMs(task);
    constexpr double kFullPercent = 100;
    const double workedMs = static_cast<double>(mContext.now().msSince(run.startedAt));
    lists.running.push_back(buildValue<ListedRun>(
      { .task = task,
        .run = run.run,
        .percent = runTimeMs > 0 ? kFullPercent * workedMs / static_cast<double>(runTimeMs) : 0 }));
  }
  return lists;
}

void
ModelWorker::listRuns(const RunListRequest& aRequest,
                      std::function<void(Result<RunLists>)> aCallback)
{
  const auto fail = [aCallback](ErrorCode aCode) {
    aCallback(Error::create(aCode, "worker lists", "model", "the worker is down"));
  };
  if (!mIsUp) {
    mContext.runLater(kCallMs, [fail]() { fail(ErrorCode::eRefused); });
    return;
  }
  if (aRequest.fence >= mFence) {
    mFence = aRequest.fence;
    mLeaseUntilMs = std::max(mLeaseUntilMs, aRequest.leaseUntilMs);
    std::erase_if(mEnds, [this, &aRequest](const ListedEnd& aEnd) {
      const bool isAcknowledged = aEnd.number() <= aRequest.ackedEnds;
      if (isAcknowledged && mContext.deviations.forgetsAcknowledgedEnds) {
        mClosedRuns.erase(aEnd.task());
      }
      return isAcknowledged;
    });
  }
  const std::int64_t call = mCallCount++;
  mPendingCalls[call] = [fail]() { fail(ErrorCode::eUnavailable); };
  std::optional<RunLists> earlyLists;
  if (mContext.deviations.readsListsAtRequest) {
    earlyLists = lists();
  }
  mContext.runLater(kCallMs + aRequest.waitMs, [this, call, aCallback, earlyLists]() {
    if (mPendingCalls.erase(call) > 0) {
      RunLists answer = earlyLists.value_or(lists());
      answer.clockMs = clockMs();
      aCallback(answer);
    }
  });
}

} // namespace magnoliadrum
