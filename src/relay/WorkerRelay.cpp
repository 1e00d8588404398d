#include "relay/WorkerRelay.h"

#include "observability/observability.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace magnoliadrum {

void
WorkerRelay::onRegistration(const WorkerDescription& aWorker,
                            const std::string& aAddress,
                            std::int64_t aSequence)
{
  if (mWorker && aWorker.bornMs() < mWorker->bornMs()) {
    logInfo("late announcement of an earlier worker",
            { { "worker", aWorker.workerId() }, { "born", aWorker.bornMs() } });
    return;
  }
  if (isNewLife(aWorker)) {
    begin(aWorker, aAddress);
  } else if (aSequence <= mSequence) {
    return;
  }
  mSequence = aSequence;
  const bool changed = mWorker->draining() != aWorker.draining();
  mWorker = aWorker;
  if (changed) {
    logInfo("worker drains",
            { { "worker", aWorker.workerId() }, { "remainingMs", aWorker.drainRemainingMs() } });
  }
  if (changed || mFence == 0) {
    report(nullptr, 0);
  }
}

bool
WorkerRelay::isNewLife(const WorkerDescription& aWorker) const
{
  return !mWorker || mWorker->workerId() != aWorker.workerId() ||
         mWorker->bornMs() != aWorker.bornMs();
}

void
WorkerRelay::begin(const WorkerDescription& aWorker, const std::string& aAddress)
{
  Result<std::unique_ptr<WorkerCalls>> calls = mContext.connect(aAddress, aWorker.workerId());
  if (!isOk(calls)) {
    logWarning("worker cannot be called", errorOf(calls));
    mCalls.reset();
  } else {
    mCalls = takeValue(std::move(calls));
  }
  logInfo("worker announced itself",
          { { "worker", aWorker.workerId() },
            { "born", aWorker.bornMs() },
            { "address", aAddress },
            { "pool", aWorker.poolName() } });
  mWorker = aWorker;
  mSequence = 0;
  mFence = 0;
  mLeaseUntilMs = 0;
  mAckedEnds = 0;
  mReportedEnds = 0;
  mListsInProgress = 0;
  mStarting.clear();
  mAnswers.clear();
}

void
WorkerRelay::onDeparture(const std::string& aWorkerId)
{
  if (!mWorker || mWorker->workerId() != aWorkerId) {
    return;
  }
  logInfo("worker leaves", { { "worker", aWorkerId } });
  WorkerDescription::Fields fields = mWorker->fields();
  fields.draining = true;
  fields.gone = true;
  mWorker = valueOf(WorkerDescription::create(std::move(fields)));
  report(nullptr, 0);
}

void
WorkerRelay::onSession()
{
  if (mWorker) {
    report(nullptr, 0);
  }
}

void
WorkerRelay::onOrders(const WorkerOrders& aOrders)
{
  const bool isForThisLife = mWorker && mCalls && aOrders.worker() == mWorker->workerId() &&
                             aOrders.bornMs() == mWorker->bornMs();
  if (!isForThisLife || aOrders.fence() < mFence) {
    logInfo("orders are not for the present life or leader",
            { { "worker", aOrders.worker() },
              { "born", aOrders.bornMs() },
              { "fence", aOrders.fence() },
              { "seen", mFence } });
    return;
  }
  mAnswered = true;
  mLeaseUntilMs = std::max(mLeaseUntilMs, aOrders.leaseUntilMs());
  mAckedEnds = std::max(mAckedEnds, aOrders.ackedEnds());
  if (aOrders.fence() > mFence) {
    mFence = aOrders.fence();
    // The worker must see the new fence now, not when the request in progress is over.
    requestLists(0);
  }
  carryOut(aOrders);
  if (mListsInProgress == 0 && mayRequestLists(mContext.now())) {
    requestLists(kListWaitMs);
  }
}

void
WorkerRelay::carryOut(const WorkerOrders& aOrders)
{
  for (const StopOrder& order : aOrders.stops()) {
    stop(order);
  }
  for (const PaceOrder& order : aOrders.paces()) {
    pace(order);
  }
  for (const StartOrder& order : aOrders.starts()) {
    start(order, aOrders.leaseUntilMs());
  }
}

void
WorkerRelay::start(const StartOrder& aOrder, std::int64_t aLeaseUntilMs)
{
  if (mWorker->draining()) {
    note(OrderKind::eStart, aOrder.task(), aOrder.run(), OrderResult::eUnhealthy, 0);
    return;
  }
  const std::string name = aOrder.task() + "/" + std::to_string(aOrder.run());
  if (!mStarting.insert(name).second) {
    return;
  }
  mCalls->start(
    aOrder,
    mFence,
    // The lease that the order came with: an order that was held up must not get a later one.
    aLeaseUntilMs,
    [this, name, task = aOrder.task(), run = aOrder.run()](OrderResult aResult,
                                                           std::int64_t aClockMs) {
      mStarting.erase(name);
      note(OrderKind::eStart, task, run, aResult, aClockMs);
    });
}

void
WorkerRelay::stop(const StopOrder& aOrder)
{
  mCalls->stop(
    aOrder,
    mFence,
    [this, task = aOrder.task(), run = aOrder.run()](OrderResult aResult, std::int64_t aClockMs) {
      note(OrderKind::eStop, task, run, aResult, aClockMs);
    });
}

void
WorkerRelay::pace(const PaceOrder& aOrder)
{
  mCalls->pace(
    aOrder,
    mFence,
    [this, task = aOrder.task(), run = aOrder.run()](OrderResult aResult, std::int64_t aClockMs) {
      note(OrderKind::ePace, task, run, aResult, aClockMs);
    });
}

void
WorkerRelay::note(OrderKind aKind,
                  const std::string& aTask,
                  std::int64_t aRun,
                  OrderResult aResult,
                  std::int64_t aClockMs)
{
  mOrderCounts[{ aKind, aResult }]++;
  if (aResult != OrderResult::eAccepted) {
    logInfo("order is not accepted",
            { { "kind", toText(aKind) },
              { "task", aTask },
              { "run", aRun },
              { "result", toText(aResult) },
              { "clock", aClockMs },
              { "fence", mFence },
              { "leaseUntil", mLeaseUntilMs } });
  }
  if (aKind == OrderKind::ePace) {
    return;
  }
  if (mAnswers.empty()) {
    mAnswersSince = mContext.now();
  }
  mAnswers.push_back(valueOf(OrderAnswer::create(
    { .kind = aKind, .task = aTask, .run = aRun, .result = aResult, .clockMs = aClockMs })));
}

void
WorkerRelay::requestLists(std::int64_t aWaitMs)
{
  mAnswered = false;
  mListsInProgress++;
  mCalls->list(
    { .fence = mFence, .ackedEnds = mAckedEnds, .leaseUntilMs = mLeaseUntilMs, .waitMs = aWaitMs },
    [this, fence = mFence](const Result<WorkerLists>& aResult) {
      mListsInProgress--;
      mListedAt = mContext.now();
      onLists(fence, aResult);
    });
}

void
WorkerRelay::onLists(std::int64_t aFence, const Result<WorkerLists>& aResult)
{
  if (!isOk(aResult)) {
    logInfo("worker gives no lists",
            { { "worker", mWorker->workerId() },
              { "code", errorCodeName(errorOf(aResult).code()) },
              { "detail", errorOf(aResult).detail() } });
    return;
  }
  const WorkerLists& lists = valueOf(aResult);
  if (lists.bornMs != mWorker->bornMs()) {
    logInfo("lists of another life are not used",
            { { "worker", mWorker->workerId() },
              { "born", lists.bornMs },
              { "announced", mWorker->bornMs() } });
    return;
  }
  if (!lists.ended.empty()) {
    mReportedEnds = std::max(mReportedEnds, lists.ended.back().number());
  }
  report(&lists, aFence);
}

void
WorkerRelay::report(const WorkerLists* aLists, std::int64_t aFence)
{
  WorkerReport::Fields fields{ .worker = *mWorker, .answers = mAnswers };
  if (aLists != nullptr) {
    fields.listFence = aFence;
    fields.clockMs = aLists->clockMs;
    fields.running = aLists->running;
    fields.ended = aLists->ended;
  }
  const Result<WorkerReport> message = WorkerReport::create(std::move(fields));
  if (!isOk(message)) {
    logError("report cannot be sent", errorOf(message));
    return;
  }
  if (mContext.send(valueOf(message))) {
    mAnswers.clear();
  }
}

void
WorkerRelay::setMetrics(MetricsRegistry& aMetrics) const
{
  aMetrics.set("relay_has_worker", "", mWorker ? 1 : 0);
  aMetrics.set("relay_fence", "", static_cast<double>(mFence));
  for (const auto& [key, count] : mOrderCounts) {
    aMetrics.set("relay_orders",
                 std::string("kind=\"") + toText(key.first) + "\",result=\"" + toText(key.second) +
                   "\"",
                 static_cast<double>(count));
  }
}

bool
WorkerRelay::mayRequestLists(MonotonicTime aNow) const
{
  const bool isAcknowledged = mAnswered && mAckedEnds >= mReportedEnds;
  return mWorker && mCalls && mFence > 0 && !mWorker->gone() &&
         (isAcknowledged || aNow.msSince(mListedAt) >= kNextListMs);
}

void
WorkerRelay::tick()
{
  const MonotonicTime now = mContext.now();
  if (mListsInProgress == 0 && mayRequestLists(now)) {
    requestLists(kListWaitMs);
  }
  if (!mAnswers.empty() && now.msSince(mAnswersSince) >= kAnswerDelayMs) {
    mAnswersSince = now;
    report(nullptr, 0);
  }
}

} // namespace magnoliadrum
