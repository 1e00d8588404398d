#include "gateway/RequestRouter.h"

#include "gateway/CallerAnswers.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

namespace {

/** Limits the memory of queued requests. */
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 64 } * 1024 * 1024;

/** Limits the memory of all requests without a response; requests beyond it are refused. */
constexpr std::size_t kMaxUnansweredBytes = 2 * kMaxQueuedBytes;

/** Time for a target to register or reconnect before requests to an entry without a usable target
 * are refused. */
constexpr std::int64_t kNoTargetTimeoutMs = 1000;

/** Time after the deadline for the agent's message that it gave up the attempt to arrive. */
constexpr std::int64_t kLateAnswerGraceMs = 5000;

RequestLimit
limitOf(const CatalogueRecord& aRecord)
{
  if (aRecord.entry()) {
    const EntryLimits& limits = aRecord.entry()->limits();
    return { limits.requestsPerSecond(), limits.concurrentRequests() };
  }
  if (aRecord.quota()) {
    return { aRecord.quota()->requestsPerSecond(), aRecord.quota()->concurrentRequests() };
  }
  return {};
}

} // namespace

RequestRouter::RequestRouter(RouterOptions aOptions, RandomEngine aEngine, RouterActions& aActions)
  : mOptions(std::move(aOptions))
  , mActions(aActions)
  , mTargets(std::move(aEngine), mOptions.mAgentSilenceMs)
  , mQueue({ mOptions.mQueueLength, kMaxQueuedBytes })
{
}

void
RequestRouter::setCatalogue(const CatalogueCopy& aCatalogue)
{
  mCatalogue = &aCatalogue;
  static const std::string kQuotaPrefix = "quota:";
  for (const auto& [name, record] : aCatalogue.records()) {
    if (name.starts_with(kQuotaPrefix)) {
      mLimiter.setOwnerLimit(name.substr(kQuotaPrefix.size()), limitOf(record));
    } else {
      mLimiter.setEntryLimit(name, limitOf(record));
    }
  }
  mLimiter.removeIdle();
}

void
RequestRouter::setTargets(const std::vector<TargetStatus>& aTargets, MonotonicTime aNow)
{
  mTargets.setTargets(aTargets);
  mNoTargetSince.clear();
  for (const std::string& name : mQueue.waitingEntries()) {
    dispatchQueued(name, aNow);
  }
}

void
RequestRouter::connectionOpened(const std::string& aTargetId, std::uint64_t aConnection)
{
  mTargets.connectionOpened(aTargetId, aConnection);
}

void
RequestRouter::submit(std::uint64_t aRequest, CallerRequest aCall, MonotonicTime aNow)
{
  assert(!mRequests.contains(aRequest));
  const CatalogueEntry* entry =
    mCatalogue == nullptr ? nullptr : mCatalogue->findEntry(aCall.mEntryName);
  if (const auto reason = admissionRefusal(aCall, entry, aNow)) {
    refuseAtAdmission(aRequest, aCall, entry, *reason, aNow);
    return;
  }
  const bool isRepeatable = entry->repeatable() && !aCall.mMustNotRepeat;
  Request state;
  state.mEntry = *entry;
  state.mAttemptTracker = AttemptTracker(isRepeatable);
  state.mCall = std::move(aCall);
  mDeadlines.emplace(state.mCall.mDeadline, aRequest);
  mUnansweredBytes += state.mCall.bytes();
  Request& stored = mRequests.emplace(aRequest, std::move(state)).first->second;
  if (isRepeatable) {
    enqueue(aRequest, aNow);
  } else {
    beginIntent(aRequest, stored);
  }
}

std::optional<RefusalReason>
RequestRouter::admissionRefusal(const CallerRequest& aCall,
                                const CatalogueEntry* aEntry,
                                MonotonicTime aNow)
{
  if (mShuttingDown) {
    return RefusalReason::eShuttingDown;
  }
  if (aEntry == nullptr) {
    // Without a lease the catalogue may be out of date, so the entry may exist.
    return mLease.mHeld ? RefusalReason::eUnknownEntry : RefusalReason::eNoLease;
  }
  const bool isRepeatable = aEntry->repeatable() && !aCall.mMustNotRepeat;
  if (!leaseAllows(*aEntry, isRepeatable)) {
    return RefusalReason::eNoLease;
  }
  if (aEntry->kind() != EntryKind::eService) {
    return RefusalReason::eInvalidRequest;
  }
  if (!isRepeatable && !aCall.mIdempotencyKey) {
    return RefusalReason::eKeyRequired;
  }
  if (aCall.mDeadline <= aNow) {
    return RefusalReason::eDeadlinePassed;
  }
  if (noTargetTimeoutElapsed(*aEntry, aNow)) {
    return RefusalReason::eNoTarget;
  }
  if (mUnansweredBytes + aCall.bytes() > kMaxUnansweredBytes) {
    return RefusalReason::eQueueFull;
  }
  return mLimiter.admit(aEntry->name(), aEntry->owner(), aNow);
}

bool
RequestRouter::leaseAllows(const CatalogueEntry& aEntry, bool aRepeatable) const
{
  if (mLease.mHeld) {
    return true;
  }
  return mLease.mControlUnreachable && aRepeatable && aEntry.serveWithoutControl() &&
         aEntry.repeatable();
}

bool
RequestRouter::noTargetTimeoutElapsed(const CatalogueEntry& aEntry, MonotonicTime aNow)
{
  if (mTargets.hasUsableTarget(aEntry, aNow)) {
    mNoTargetSince.erase(aEntry.name());
    return false;
  }
  const MonotonicTime since = mNoTargetSince.try_emplace(aEntry.name(), aNow).first->second;
  return aNow.msSince(since) >= kNoTargetTimeoutMs;
}

void
RequestRouter::beginIntent(std::uint64_t aRequest, Request& aState)
{
  const CallerRequest& call = aState.mCall;
  const std::string attempt = mOptions.mIncarnation + "/" + std::to_string(aRequest);
  const Result<IntentBegin> message = IntentBegin::create({ .requestId = attempt + "/begin",
                                                            .key = *call.mIdempotencyKey,
                                                            .entryName = call.mEntryName,
                                                            .attempt = attempt,
                                                            .requestDigest = call.digest() });
  if (!isOk(message)) {
    finishWithoutResult(aRequest, RefusalReason::eInvalidRequest, call.mArrivedAt);
    return;
  }
  aState.mIntent = IntentState::eBeginning;
  mActions.beginIntent(aRequest, valueOf(message), call.mDeadline);
}

void
RequestRouter::intentAnswered(std::uint64_t aRequest,
                              const Result<IntentStatus>& aStatus,
                              MonotonicTime aNow)
{
  const auto position = mRequests.find(aRequest);
  if (position == mRequests.end() || position->second.mIntent != IntentState::eBeginning) {
    return;
  }
  Request& state = position->second;
  if (!isOk(aStatus) || valueOf(aStatus).granted()) {
    // If control did not answer, it may still have granted the key, so the end of the intent is
    // reported in that case too.
    state.mIntent = IntentState::eHeld;
  } else {
    state.mIntent = IntentState::eNone;
  }
  if (state.mAttemptTracker.outcome()) {
    endIntent(aRequest, state, IntentOutcome::eNotRun, nullptr);
    removeIfComplete(aRequest);
    return;
  }
  if (!isOk(aStatus)) {
    finishWithoutResult(aRequest, RefusalReason::eControlUnavailable, aNow);
  } else if (valueOf(aStatus).granted()) {
    enqueue(aRequest, aNow);
  } else {
    finishFromIntent(aRequest, valueOf(aStatus), aNow);
  }
}

void
RequestRouter::finishFromIntent(std::uint64_t aRequest,
                                const IntentStatus& aStatus,
                                MonotonicTime aNow)
{
  if (!aStatus.digestMatches()) {
    finishWithoutResult(aRequest,
                        RefusalReason::eInvalidRequest,
                        aNow,
                        "the Idempotency-Key belongs to another request");
    return;
  }
  const std::optional<IntentRecord>& intent = aStatus.intent();
  if (intent && intent->outcome() == IntentOutcome::eDone && intent->answer()) {
    finishDone(aRequest, *intent->answer(), aNow);
    return;
  }
  if (intent && intent->outcome() == IntentOutcome::eNotRun) {
    finishWithoutResult(aRequest, RefusalReason::eControlUnavailable, aNow);
    return;
  }
  const bool isOpen = intent && intent->outcome() == IntentOutcome::eOpen;
  finishUnknown(aRequest,
                kStatusConflict,
                isOpen ? "a request with this Idempotency-Key is in progress"
                       : "the outcome of the request with this Idempotency-Key is not known",
                aNow);
}

void
RequestRouter::enqueue(std::uint64_t aRequest, MonotonicTime aNow)
{
  const Request& state = mRequests.at(aRequest);
  // Dispatches directly if a slot is free, because the queue length may be configured as 0.
  if (mQueue.size(state.mCall.mEntryName) == 0 && dispatch(aRequest, aNow)) {
    return;
  }
  addToQueue(aRequest, aNow);
}

void
RequestRouter::addToQueue(std::uint64_t aRequest, MonotonicTime aNow)
{
  const Request& state = mRequests.at(aRequest);
  const QueuedRequest item{ aRequest,
                            state.mCall.mEntryName,
                            state.mEntry.workClass(),
                            state.mCall.mDeadline,
                            state.mCall.bytes(),
                            state.mCall.mDeadline.msSince(state.mCall.mArrivedAt) };
  finishDropped(mQueue.push(item, aNow), aNow);
}

void
RequestRouter::finishDropped(const std::vector<DroppedRequest>& aDropped, MonotonicTime aNow)
{
  for (const DroppedRequest& dropped : aDropped) {
    finishWithoutResult(dropped.mRequest, dropped.mReason, aNow);
  }
}

void
RequestRouter::dispatchQueued(const std::string& aEntryName, MonotonicTime aNow)
{
  while (mQueue.size(aEntryName) > 0) {
    const CatalogueEntry* entry = mCatalogue->findEntry(aEntryName);
    if (entry != nullptr && !mTargets.hasFreeTarget(*entry, aNow)) {
      return;
    }
    const PoppedRequest next =
      mQueue.pop(aEntryName, aNow, mResponseTimes[aEntryName].requiredMs());
    finishDropped(next.mDropped, aNow);
    if (next.mRequest && !dispatch(*next.mRequest, aNow)) {
      // The free target has no recent clock reading; the request is queued until the next one.
      addToQueue(*next.mRequest, aNow);
      return;
    }
  }
}

std::optional<RefusalReason>
RequestRouter::dispatchRefusal(const Request& aState, MonotonicTime aNow) const
{
  const CatalogueEntry* entry = mCatalogue->findEntry(aState.mCall.mEntryName);
  if (entry == nullptr) {
    return RefusalReason::eUnknownEntry;
  }
  if (!leaseAllows(*entry, aState.mIntent == IntentState::eNone)) {
    return RefusalReason::eNoLease;
  }
  if (aState.mCall.mDeadline <= aNow) {
    return RefusalReason::eDeadlinePassed;
  }
  // The entry became non-repeatable after the request was admitted without a key.
  if (!entry->repeatable() && aState.mIntent == IntentState::eNone) {
    return RefusalReason::eKeyRequired;
  }
  return std::nullopt;
}

bool
RequestRouter::dispatch(std::uint64_t aRequest, MonotonicTime aNow)
{
  Request& state = mRequests.at(aRequest);
  if (const auto reason = dispatchRefusal(state, aNow)) {
    finishWithoutResult(aRequest, *reason, aNow);
    return true;
  }
  const CatalogueEntry& entry = *mCatalogue->findEntry(state.mCall.mEntryName);
  const auto choice = mTargets.choose(entry, state.mTriedTargets, state.mCall.mDeadline, aNow);
  if (!choice) {
    return false;
  }
  send(aRequest, *choice, aNow);
  return true;
}

void
RequestRouter::send(std::uint64_t aRequest, const TargetChoice& aChoice, MonotonicTime aNow)
{
  Request& state = mRequests.at(aRequest);
  const std::size_t number = state.mAttemptTracker.attemptCount();
  const std::string id =
    mOptions.mIncarnation + "/" + std::to_string(aRequest) + "/" + std::to_string(number);
  const Result<RequestDispatch> message =
    RequestDispatch::create({ .requestId = id,
                              .entryName = state.mCall.mEntryName,
                              .session = aChoice.mSession,
                              .deadlineMs = aChoice.mDeadline.ms(),
                              .method = state.mCall.mMethod,
                              .path = state.mCall.mPath,
                              .headers = state.mCall.mHeaders,
                              .body = state.mCall.mBody });
  if (!isOk(message)) {
    finishWithoutResult(aRequest, RefusalReason::eInvalidRequest, aNow);
    return;
  }
  if (number == 0) {
    mRetryBudgets.try_emplace(state.mCall.mEntryName, mOptions.mRetryShare)
      .first->second.recordFirstAttempt();
  }
  state.mTriedTargets.insert(aChoice.mTargetId);
  state.mAttemptInProgress = true;
  state.mAttemptTracker.beginAttempt(aChoice.mConnection);
  mTargets.beginAttempt(aChoice);
  const Attempt attempt{ aRequest,
                         number,
                         aChoice.mConnection,
                         aChoice.mTargetId,
                         aNow,
                         state.mCall.mDeadline.plusMs(kLateAnswerGraceMs),
                         false,
                         state.mCall.mEntryName,
                         false };
  const auto position = mAttempts.emplace(id, attempt).first;
  if (!mActions.dispatch(aChoice.mConnection, valueOf(message))) {
    endAttempt(position, { .mEnd = AttemptEnd::eNotWritten }, aNow);
  }
}

void
RequestRouter::tick(MonotonicTime aNow)
{
  finishDropped(mQueue.dropExpired(aNow), aNow);
  while (!mDeadlines.empty() && mDeadlines.begin()->first <= aNow) {
    expireFirst(aNow);
  }
  expireAttempts(aNow);
  abandonSilentAttempts(aNow);
  for (const std::string& name : mQueue.waitingEntries()) {
    dispatchQueued(name, aNow);
    refuseWithoutTarget(name, aNow);
  }
}

void
RequestRouter::expireFirst(MonotonicTime aNow)
{
  const auto [deadline, request] = *mDeadlines.begin();
  mDeadlines.erase(mDeadlines.begin());
  expireRequest(request, std::max(aNow, deadline));
}

void
RequestRouter::cutOff(MonotonicTime aNow)
{
  while (!mDeadlines.empty()) {
    expireFirst(aNow);
  }
}

void
RequestRouter::refuseWithoutTarget(const std::string& aEntryName, MonotonicTime aNow)
{
  const CatalogueEntry* entry = mCatalogue->findEntry(aEntryName);
  if (entry == nullptr || !noTargetTimeoutElapsed(*entry, aNow)) {
    return;
  }
  while (mQueue.size(aEntryName) > 0) {
    const PoppedRequest next = mQueue.pop(aEntryName, aNow, 0);
    finishDropped(next.mDropped, aNow);
    if (next.mRequest) {
      finishWithoutResult(*next.mRequest, RefusalReason::eNoTarget, aNow);
    }
  }
}

bool
RequestRouter::isInUse(std::uint64_t aConnection) const
{
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mConnection == aConnection) {
      return true;
    }
  }
  return false;
}

} // namespace magnoliadrum
