#include "relay/WorkerRelay.h"

#include "observability/observability.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace magnoliadrum {

namespace {

/** Whether the worker never starts the run after this answer. */
bool
closesRun(OrderKind aKind, OrderResult aResult)
{
  return aKind == OrderKind::eStop ? aResult == OrderResult::eAccepted
                                   : aResult == OrderResult::eClosed;
}

std::string
runName(const std::string& aTask, std::int64_t aRun)
{
  return aTask + "/" + std::to_string(aRun);
}

} // namespace

void
WorkerRelay::onRegistration(const WorkerDescription& aWorker,
                            const std::string& aAddress,
                            std::int64_t aSequence)
{
  if (isOutdated(aWorker)) {
    logInfo("registration of an earlier worker incarnation ignored",
            { { "worker", aWorker.workerId() }, { "born", aWorker.bornMs() } });
    return;
  }
  if (isNewIncarnation(aWorker) && isInTouch()) {
    postponeRegistration(aWorker, aAddress, aSequence);
    return;
  }
  if (isNewIncarnation(aWorker)) {
    beginIncarnation(aWorker, aAddress);
  } else if (aSequence <= mRegistrationSequence || mWorker->gone()) {
    return;
  }
  mRegistrationSequence = aSequence;
  mIsEndAnnounced = aWorker.draining();
  const bool isDrainingChanged = mWorker->draining() != aWorker.draining();
  mWorker = aWorker;
  if (isDrainingChanged) {
    logInfo("worker draining state changed",
            { { "worker", aWorker.workerId() }, { "remainingMs", aWorker.drainRemainingMs() } });
  }
  if (isDrainingChanged || mFence == 0) {
    sendReport(nullptr, 0);
  }
}

bool
WorkerRelay::isOutdated(const WorkerDescription& aWorker) const
{
  const bool hasOrders =
    mFence > 0 || mContext.now().msSince(mRegisteredAt) < kNoOrdersMs || isInTouch();
  return mWorker && aWorker.bornMs() < mWorker->bornMs() && hasOrders;
}

bool
WorkerRelay::isInTouch() const
{
  return mWorker && !mWorker->draining() && !mIsUnreachable && mWorkerClock &&
         mContext.now().msSince(mWorkerClock->receivedAt) <= kInTouchMs;
}

void
WorkerRelay::postponeRegistration(const WorkerDescription& aWorker,
                                  const std::string& aAddress,
                                  std::int64_t aSequence)
{
  mPostponedCount++;
  const bool isKnown = mPostponed && mPostponed->worker.workerId() == aWorker.workerId() &&
                       mPostponed->worker.bornMs() == aWorker.bornMs();
  if (!isKnown) {
    logWarning("registration of another incarnation does not displace the worker in touch",
               { { "worker", mWorker->workerId() },
                 { "other", aWorker.workerId() },
                 { "born", aWorker.bornMs() },
                 { "pool", aWorker.poolName() } });
  }
  mPostponed = PostponedRegistration{
    aWorker, aAddress, aSequence, mContext.now().plusMs(kKeepRegistrationMs)
  };
}

void
WorkerRelay::handlePostponedRegistration()
{
  if (!mPostponed || isInTouch()) {
    return;
  }
  const PostponedRegistration registration = *std::exchange(mPostponed, std::nullopt);
  if (mContext.now() <= registration.keepUntil) {
    onRegistration(registration.worker, registration.address, registration.sequence);
  }
}

bool
WorkerRelay::isNewIncarnation(const WorkerDescription& aWorker) const
{
  return !mWorker || mWorker->workerId() != aWorker.workerId() ||
         mWorker->bornMs() != aWorker.bornMs();
}

void
WorkerRelay::beginIncarnation(const WorkerDescription& aWorker, const std::string& aAddress)
{
  keepCrashSuspects();
  Result<std::unique_ptr<WorkerClient>> client = mContext.createClient(aWorker, aAddress);
  if (!isOk(client)) {
    logWarning("cannot create client for worker", errorOf(client));
    mClient.reset();
  } else {
    mClient = takeValue(std::move(client));
  }
  logInfo("worker registered",
          { { "worker", aWorker.workerId() },
            { "born", aWorker.bornMs() },
            { "address", aAddress },
            { "pool", aWorker.poolName() } });
  mWorker = aWorker;
  mRegistrationSequence = 0;
  mRegisteredAt = mContext.now();
  mFence = 0;
  mLeaseUntilMs = 0;
  mAckedEnds = 0;
  mLastReceivedEnd = 0;
  mListRequestsInProgress.clear();
  mOrderQueue.clear();
  mOrdersInProgress = 0;
  mStartsInProgress.clear();
  mStartedRuns.clear();
  mWorkerClock.reset();
  mIsUnreachable = false;
  mIsRefused = false;
  mIsReleased = false;
  mListsRequestedAt = mContext.now();
  mAnswers.clear();
  mClosingAnswers.clear();
  mNeedsListsAtOnce = false;
}

CrashSuspects
WorkerRelay::currentSuspects() const
{
  const MonotonicTime at = mIsUnreachable ? mUnreachableSince : mContext.now();
  return valueOf(CrashSuspects::create(
    { .worker = mWorker->workerId(),
      .bornMs = mWorker->bornMs(),
      .runs = mStartedRuns.suspects(at),
      .certain = mIsUnreachable && mSawCrash,
      .listAgeMs = std::max<std::int64_t>(0, at.msSince(mListsRequestedAt)) }));
}

void
WorkerRelay::keepCrashSuspects()
{
  if (!mWorker || mWorker->draining()) {
    return;
  }
  mCrashCount++;
  const CrashSuspects suspects = currentSuspects();
  logWarning("worker incarnation ended without an announcement",
             { { "worker", suspects.worker() },
               { "born", suspects.bornMs() },
               { "runs", suspects.runs().size() },
               { "first", suspects.runs().empty() ? "" : suspects.runs().front().task() } });
  mEndedIncarnations.push_back({ suspects, mContext.now().plusMs(kReportSuspectsMs) });
}

void
WorkerRelay::setReachable(bool aIsReachable)
{
  if (mIsUnreachable != aIsReachable) {
    return;
  }
  mIsUnreachable = !aIsReachable;
  mIsRefused = false;
  mUnreachableSince = mContext.now();
  mSawCrash = mIsUnreachable && mWorkerClock &&
              mContext.now().msSince(mWorkerClock->receivedAt) <= kFreshListsMs;
  logInfo(aIsReachable ? "worker accepts connections again" : "worker accepts no connections",
          { { "worker", mWorker->workerId() },
            { "born", mWorker->bornMs() },
            { "runs", mStartedRuns.size() },
            { "certain", mSawCrash } });
  if (mIsUnreachable) {
    sendReport(nullptr, 0);
  }
}

void
WorkerRelay::onDeregistration(const std::string& aWorkerId)
{
  if (!mWorker || mWorker->workerId() != aWorkerId) {
    return;
  }
  logInfo("worker deregistered", { { "worker", aWorkerId }, { "wasDraining", mIsEndAnnounced } });
  if (!mWorker->gone()) {
    mGoneAt = mContext.now();
  }
  WorkerDescription::Fields fields = mWorker->fields();
  fields.draining = true;
  fields.gone = mIsEndAnnounced;
  mWorker = valueOf(WorkerDescription::create(std::move(fields)));
  sendReport(nullptr, 0);
}

void
WorkerRelay::stop()
{
  mExitAt = mExitAt.value_or(mContext.now().plusMs(mContext.longestStopMs));
}

bool
WorkerRelay::mayExit() const
{
  if (!mExitAt) {
    return false;
  }
  const bool isDeparting = mWorker && mIsEndAnnounced && !mIsReleased;
  return !isDeparting || mContext.now() >= *mExitAt;
}

void
WorkerRelay::onSession()
{
  if (mWorker) {
    sendReport(nullptr, 0);
  }
}

void
WorkerRelay::onOrders(const WorkerOrders& aOrders)
{
  const bool isForCurrentIncarnation = mWorker && mClient &&
                                       aOrders.worker() == mWorker->workerId() &&
                                       aOrders.bornMs() == mWorker->bornMs();
  if (isForCurrentIncarnation && aOrders.released()) {
    mIsReleased = true;
    return;
  }
  if (!isForCurrentIncarnation || aOrders.fence() < mFence) {
    logInfo("orders for another worker incarnation or with a stale fence ignored",
            { { "worker", aOrders.worker() },
              { "born", aOrders.bornMs() },
              { "fence", aOrders.fence() },
              { "seen", mFence } });
    return;
  }
  mHasOrdersSinceListRequest = true;
  mLeaseUntilMs = std::max(mLeaseUntilMs, aOrders.leaseUntilMs());
  mAckedEnds = std::max(mAckedEnds, aOrders.ackedEnds());
  if (aOrders.fence() > mFence) {
    mFence = aOrders.fence();
    // What waits here was ordered by an earlier leader and must not be sent under the new fence.
    mOrderQueue.clear();
    // A list request in progress may wait up to kMaxListWaitMs; the worker must see the new fence
    // immediately.
    if (!mWorker->gone()) {
      requestRunLists(0);
    }
  }
  queueOrders(aOrders);
  requestDueRunLists();
}

void
WorkerRelay::queueOrders(const WorkerOrders& aOrders)
{
  for (const StopOrder& order : aOrders.stops()) {
    mOrderQueue.addStop(order);
  }
  for (const PaceOrder& order : aOrders.paces()) {
    mOrderQueue.addPace(order);
  }
  const Deadline sendBefore = startDeadline(aOrders.basisClockMs());
  for (const StartOrder& order : aOrders.starts()) {
    queueStart(order, aOrders.leaseUntilMs(), sendBefore);
  }
  sendQueuedOrders();
}

Deadline
WorkerRelay::startDeadline(std::int64_t aBasisClockMs) const
{
  const MonotonicTime now = mContext.now();
  const Deadline longestWait = now.plusMs(kMaxStartWaitMs);
  if (aBasisClockMs == 0) {
    return longestWait;
  }
  if (!mWorkerClock) {
    // This relay process cannot tell the age of the order yet. The leader repeats it.
    return now.plusMs(-1);
  }
  const std::int64_t ageAtReadingMs = mWorkerClock->clockMs - aBasisClockMs;
  return std::min(longestWait, mWorkerClock->receivedAt.plusMs(kMaxBasisAgeMs - ageAtReadingMs));
}

void
WorkerRelay::queueStart(const StartOrder& aOrder, std::int64_t aLeaseUntilMs, Deadline aSendBefore)
{
  if (mWorker->draining()) {
    recordAnswer(OrderKind::eStart, aOrder.task(), aOrder.run(), OrderResult::eUnhealthy, 0);
    return;
  }
  if (!mStartsInProgress.contains(runName(aOrder.task(), aOrder.run()))) {
    // Keeps the lease that came with the order: a delayed order must not get a later lease.
    mOrderQueue.addStart({ aOrder, aLeaseUntilMs }, aSendBefore);
  }
}

void
WorkerRelay::sendQueuedOrders()
{
  while (mClient && mOrdersInProgress < kMaxOrdersInProgress) {
    const std::optional<QueuedOrder> next = mOrderQueue.takeNext(mContext.now());
    if (!next) {
      return;
    }
    std::visit([this](const auto& aOrder) { send(aOrder); }, *next);
  }
}

void
WorkerRelay::send(const LeasedStart& aStart)
{
  const StartOrder& order = aStart.order;
  if (mWorker->draining()) {
    recordAnswer(OrderKind::eStart, order.task(), order.run(), OrderResult::eUnhealthy, 0);
    return;
  }
  mStartsInProgress.insert(runName(order.task(), order.run()));
  mStartedRuns.onStartSent(order.task(), order.run(), mContext.now());
  mOrdersInProgress++;
  mClient->start(
    order,
    mFence,
    aStart.leaseUntilMs,
    [this, task = order.task(), run = order.run()](OrderResult aResult, std::int64_t aClockMs) {
      mStartsInProgress.erase(runName(task, run));
      mStartedRuns.onStartAnswered(task, run, aResult);
      onOrderAnswered(OrderKind::eStart, task, run, aResult, aClockMs);
    });
}

void
WorkerRelay::send(const StopOrder& aOrder)
{
  mOrdersInProgress++;
  mClient->stop(
    aOrder,
    mFence,
    [this, task = aOrder.task(), run = aOrder.run()](OrderResult aResult, std::int64_t aClockMs) {
      onOrderAnswered(OrderKind::eStop, task, run, aResult, aClockMs);
    });
}

void
WorkerRelay::send(const PaceOrder& aOrder)
{
  mOrdersInProgress++;
  mClient->pace(
    aOrder,
    mFence,
    [this, task = aOrder.task(), run = aOrder.run()](OrderResult aResult, std::int64_t aClockMs) {
      onOrderAnswered(OrderKind::ePace, task, run, aResult, aClockMs);
    });
}

void
WorkerRelay::onOrderAnswered(OrderKind aKind,
                             const std::string& aTask,
                             std::int64_t aRun,
                             OrderResult aResult,
                             std::int64_t aClockMs)
{
  mOrdersInProgress--;
  recordAnswer(aKind, aTask, aRun, aResult, aClockMs);
  sendQueuedOrders();
}

void
WorkerRelay::recordAnswer(OrderKind aKind,
                          const std::string& aTask,
                          std::int64_t aRun,
                          OrderResult aResult,
                          std::int64_t aClockMs)
{
  mOrderCounts[{ aKind, aResult }]++;
  if (aResult != OrderResult::eAccepted) {
    logInfo("order not accepted",
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
  OrderAnswer answer = valueOf(OrderAnswer::create(
    { .kind = aKind, .task = aTask, .run = aRun, .result = aResult, .clockMs = aClockMs }));
  if (closesRun(aKind, aResult) && !mListRequestsInProgress.empty()) {
    mClosingAnswers.push_back({ std::move(answer), mListRequestCount });
    return;
  }
  addAnswer(std::move(answer));
}

void
WorkerRelay::addAnswer(OrderAnswer aAnswer)
{
  if (mAnswers.empty()) {
    mAnswersSince = mContext.now();
  }
  mAnswers.push_back(std::move(aAnswer));
}

void
WorkerRelay::releaseClosingAnswers()
{
  const auto isReleased = [this](const ClosingAnswer& aClosing) {
    return mListRequestsInProgress.empty() ||
           *mListRequestsInProgress.begin() > aClosing.lastListRequest;
  };
  while (!mClosingAnswers.empty() && isReleased(mClosingAnswers.front())) {
    addAnswer(std::move(mClosingAnswers.front().answer));
    mClosingAnswers.pop_front();
    mNeedsListsAtOnce = true;
  }
}

void
WorkerRelay::requestDueRunLists()
{
  if (mListRequestsInProgress.empty() && shouldRequestRunLists(mContext.now())) {
    requestRunLists(mNeedsListsAtOnce ? 0 : kMaxListWaitMs);
  }
}

void
WorkerRelay::requestRunLists(std::int64_t aWaitMs)
{
  mNeedsListsAtOnce = false;
  mHasOrdersSinceListRequest = false;
  mListRequestCount++;
  mListRequestsInProgress.insert(mListRequestCount);
  mClient->listRuns(
    { .fence = mFence, .ackedEnds = mAckedEnds, .leaseUntilMs = mLeaseUntilMs, .waitMs = aWaitMs },
    [this, number = mListRequestCount, fence = mFence, requestedAt = mContext.now()](
      const Result<RunLists>& aResult) {
      mListRequestsInProgress.erase(number);
      mLastListAt = mContext.now();
      onRunLists(fence, requestedAt, aResult);
      // The lists are reported first, without the answers for which they are no evidence.
      releaseClosingAnswers();
    });
}

void
WorkerRelay::onListRequestFailed(const Error& aError)
{
  logInfo("run lists request failed",
          { { "worker", mWorker->workerId() },
            { "code", errorCodeName(aError.code()) },
            { "detail", aError.detail() } });
  const bool isRefused = aError.code() == ErrorCode::eRefused;
  if (isRefused || aError.code() == ErrorCode::eUnavailable) {
    setReachable(false);
  }
  if (isRefused && !std::exchange(mIsRefused, true)) {
    sendReport(nullptr, 0);
  }
}

void
WorkerRelay::onRunLists(std::int64_t aFence,
                        MonotonicTime aRequestedAt,
                        const Result<RunLists>& aResult)
{
  if (!isOk(aResult)) {
    onListRequestFailed(errorOf(aResult));
    return;
  }
  const RunLists& lists = valueOf(aResult);
  if (lists.bornMs != mWorker->bornMs()) {
    logInfo("run lists of another worker incarnation ignored",
            { { "worker", mWorker->workerId() },
              { "born", lists.bornMs },
              { "announced", mWorker->bornMs() } });
    return;
  }
  setReachable(true);
  if (mWorkerClock && lists.clockMs < mWorkerClock->clockMs) {
    logInfo("run lists ignored: later ones have overtaken them",
            { { "worker", mWorker->workerId() },
              { "clock", lists.clockMs },
              { "seen", mWorkerClock->clockMs } });
    return;
  }
  mWorkerClock = ClockReading{ lists.clockMs, mContext.now() };
  mListsRequestedAt = std::max(mListsRequestedAt, aRequestedAt);
  mStartedRuns.onRunLists(lists, mContext.now());
  if (!lists.ended.empty()) {
    mLastReceivedEnd = std::max(mLastReceivedEnd, lists.ended.back().number());
  }
  sendReport(&lists, aFence);
}

void
WorkerRelay::sendReport(const RunLists* aLists, std::int64_t aFence)
{
  const auto answersEnd =
    mAnswers.begin() + static_cast<std::ptrdiff_t>(std::min(mAnswers.size(), kMaxReportedAnswers));
  WorkerReport::Fields fields{ .worker = *mWorker,
                               .answers = { mAnswers.begin(), answersEnd },
                               .goneForMs = mWorker->gone() ? mContext.now().msSince(mGoneAt) : 0,
                               .unreachable = mIsUnreachable };
  // A worker that has left as announced accepts no connections either.
  if (mIsRefused && !mWorker->gone()) {
    fields.crashSuspects.push_back(currentSuspects());
  }
  std::erase_if(mEndedIncarnations, [now = mContext.now()](const EndedIncarnation& aEnded) {
    return now > aEnded.reportUntil;
  });
  for (const EndedIncarnation& ended : mEndedIncarnations) {
    fields.crashSuspects.push_back(ended.suspects);
  }
  if (aLists != nullptr) {
    fields.listFence = aFence;
    fields.clockMs = aLists->clockMs;
    fields.running = aLists->running;
    fields.ended = aLists->ended;
    fields.hasMoreEnds = aLists->hasMoreEnds;
  }
  const Result<WorkerReport> message = WorkerReport::create(std::move(fields));
  if (!isOk(message)) {
    logError("cannot create worker report", errorOf(message));
    return;
  }
  if (mWorker->gone()) {
    mDepartureReportedAt = mContext.now();
  }
  if (mContext.send(valueOf(message))) {
    mAnswers.erase(mAnswers.begin(), answersEnd);
  }
}

void
WorkerRelay::repeatDeparture()
{
  const MonotonicTime now = mContext.now();
  const bool isDue = !mIsReleased && now.msSince(mDepartureReportedAt) >= kRepeatDepartureMs &&
                     now.msSince(mGoneAt) < kReportDepartureMs;
  if (mWorker && mWorker->gone() && isDue) {
    sendReport(nullptr, 0);
  }
}

void
WorkerRelay::setMetrics(MetricsRegistry& aMetrics) const
{
  aMetrics.set("relay_has_worker", "", mWorker ? 1 : 0);
  aMetrics.set("relay_worker_unreachable", "", mIsUnreachable ? 1 : 0);
  aMetrics.set("relay_worker_crashes", "", static_cast<double>(mCrashCount));
  aMetrics.set("relay_postponed_registrations", "", static_cast<double>(mPostponedCount));
  aMetrics.set("relay_fence", "", static_cast<double>(mFence));
  for (const auto& [key, count] : mOrderCounts) {
    aMetrics.set("relay_orders",
                 std::string("kind=\"") + toText(key.first) + "\",result=\"" + toText(key.second) +
                   "\"",
                 static_cast<double>(count));
  }
}

bool
WorkerRelay::shouldRequestRunLists(MonotonicTime aNow) const
{
  const bool isReportAcknowledged = mHasOrdersSinceListRequest && mAckedEnds >= mLastReceivedEnd;
  return mWorker && mClient && mFence > 0 && !mWorker->gone() &&
         (isReportAcknowledged || aNow.msSince(mLastListAt) >= kListRefreshMs);
}

void
WorkerRelay::tick()
{
  const MonotonicTime now = mContext.now();
  handlePostponedRegistration();
  repeatDeparture();
  requestDueRunLists();
  if (!mAnswers.empty() && now.msSince(mAnswersSince) >= kAnswerBatchMs) {
    mAnswersSince = now;
    sendReport(nullptr, 0);
  }
}

} // namespace magnoliadrum
