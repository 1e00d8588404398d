#include "gateway/CallerAnswers.h"
#include "gateway/RequestRouter.h"

#include <cassert>

namespace magnoliadrum {

namespace {

/** Limits the attempts of one request. Attempts that were abandoned, or refused for lack of a slot
 * or connection, do not count. */
constexpr int kMaxAttempts = 4;

constexpr std::int64_t kFirstServerError = 500;

/** A larger response would not fit into one message to control together with the key; the outcome
 * is then recorded as unknown. */
constexpr std::size_t kMaxStoredAnswerBytes = std::size_t{ 3 } * 1024 * 1024;

} // namespace

void
RequestRouter::agentMessage(std::uint64_t aConnection, const Message& aMessage, MonotonicTime aNow)
{
  if (const AgentStatus* status = std::get_if<AgentStatus>(&aMessage)) {
    mTargets.recordStatus(aConnection, *status, aNow);
    for (const std::string& name : mQueue.waitingEntries()) {
      dispatchQueued(name, aNow);
    }
  } else if (const RequestAnswer* answer = std::get_if<RequestAnswer>(&aMessage)) {
    onAttemptReport(aConnection,
                    answer->requestId(),
                    { .mEnd = AttemptEnd::eAnswered,
                      .mAnswer = &answer->answer(),
                      .mOutstanding = answer->outstanding() },
                    aNow);
  } else if (const RequestRefused* refused = std::get_if<RequestRefused>(&aMessage)) {
    onAttemptReport(aConnection,
                    refused->requestId(),
                    { .mEnd = AttemptEnd::eRefused,
                      .mReason = refused->reason(),
                      .mOutstanding = refused->outstanding() },
                    aNow);
  } else if (const RequestFailed* failed = std::get_if<RequestFailed>(&aMessage)) {
    onAttemptReport(aConnection,
                    failed->requestId(),
                    { .mEnd = AttemptEnd::eFailed, .mOutstanding = failed->outstanding() },
                    aNow);
  } else {
    mUnexpectedMessages++;
  }
}

void
RequestRouter::onAttemptReport(std::uint64_t aConnection,
                               const std::string& aId,
                               const AttemptReport& aReport,
                               MonotonicTime aNow)
{
  const auto attempt = mAttempts.find(aId);
  if (attempt == mAttempts.end() || attempt->second.mConnection != aConnection) {
    // The report is late, a duplicate or from an agent that did not receive the attempt.
    mUnexpectedMessages++;
    return;
  }
  endAttempt(attempt, aReport, aNow);
}

void
RequestRouter::connectionLost(std::uint64_t aConnection, MonotonicTime aNow)
{
  mTargets.connectionLost(aConnection);
  // endAttempt() may start another attempt and modify mAttempts, so the ids are collected first.
  std::vector<std::string> lost;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mConnection == aConnection) {
      lost.push_back(id);
    }
  }
  for (const std::string& id : lost) {
    endAttempt(mAttempts.find(id), { .mEnd = AttemptEnd::eLost }, aNow);
  }
}

void
RequestRouter::updateTargetTable(const Attempt& aAttempt,
                                 const AttemptReport& aReport,
                                 MonotonicTime aNow)
{
  mTargets.endAttempt(aAttempt.mTargetId);
  if (aReport.mOutstanding) {
    mTargets.recordLoad(aAttempt.mTargetId, *aReport.mOutstanding, aNow);
  }
  if (aReport.mEnd == AttemptEnd::eRefused || aReport.mEnd == AttemptEnd::eNotWritten) {
    mTargets.recordRefusal(aAttempt.mTargetId, aReport.mReason, aNow);
    if (aReport.mEnd == AttemptEnd::eNotWritten) {
      mTargets.suspend(aAttempt.mTargetId);
    }
    return;
  }
  if (aAttempt.mTimeoutRecorded) {
    return;
  }
  const bool isSuccess =
    aReport.mAnswer != nullptr && aReport.mAnswer->status() < kFirstServerError;
  mTargets.recordResponse(aAttempt.mTargetId, isSuccess, aNow.msSince(aAttempt.mStartedAt), aNow);
}

void
RequestRouter::endAttempt(Attempts::iterator aAttempt,
                          const AttemptReport& aReport,
                          MonotonicTime aNow)
{
  const Attempt attempt = aAttempt->second;
  mAttempts.erase(aAttempt);
  updateTargetTable(attempt, aReport, aNow);
  if (attempt.mAbandoned) {
    dispatchQueued(attempt.mEntryName, aNow);
    return;
  }
  Request& state = mRequests.at(attempt.mRequest);
  state.mAttemptInProgress = false;
  state.mLastRefusal = aReport.mReason;
  if (state.mAttemptTracker.outcome()) {
    recordLateOutcome(attempt.mRequest, aReport);
  } else {
    const RequestAction action = recordAttemptEnd(state, attempt, aReport.mEnd);
    assert(action != RequestAction::eIgnore);
    if (action == RequestAction::eRetry) {
      retry(attempt.mRequest, aNow);
    } else if (aReport.mEnd == AttemptEnd::eAnswered) {
      finishDone(attempt.mRequest, *aReport.mAnswer, aNow);
    } else {
      finishUnknown(attempt.mRequest, kStatusBadGateway, "the response was lost", aNow);
    }
  }
  dispatchQueued(attempt.mEntryName, aNow);
}

RequestAction
RequestRouter::recordAttemptEnd(Request& aState, const Attempt& aAttempt, AttemptEnd aEnd)
{
  AttemptTracker& tracker = aState.mAttemptTracker;
  switch (aEnd) {
    case AttemptEnd::eNotWritten:
      return tracker.recordNotWritten(aAttempt.mNumber, aAttempt.mConnection);
    case AttemptEnd::eRefused:
      return tracker.recordRefusal(aAttempt.mNumber, aAttempt.mConnection);
    case AttemptEnd::eAnswered:
      return tracker.recordResponse(aAttempt.mNumber, aAttempt.mConnection);
    case AttemptEnd::eFailed:
      return tracker.recordFailure(aAttempt.mNumber, aAttempt.mConnection);
    case AttemptEnd::eLost:
      return tracker.recordConnectionLost(aAttempt.mConnection);
  }
  return RequestAction::eIgnore;
}

void
RequestRouter::recordLateOutcome(std::uint64_t aRequest, const AttemptReport& aReport)
{
  Request& state = mRequests.at(aRequest);
  const AttemptEnd end = aReport.mEnd;
  if (end == AttemptEnd::eAnswered) {
    endIntent(aRequest, state, IntentOutcome::eDone, aReport.mAnswer);
  } else if (end == AttemptEnd::eRefused || end == AttemptEnd::eNotWritten) {
    endIntent(aRequest, state, IntentOutcome::eNotRun, nullptr);
  } else {
    endIntent(aRequest, state, IntentOutcome::eUnknown, nullptr);
  }
  removeIfComplete(aRequest);
}

void
RequestRouter::retry(std::uint64_t aRequest, MonotonicTime aNow)
{
  Request& state = mRequests.at(aRequest);
  const bool wasRefused = !state.mAttemptTracker.mayHaveRun();
  const RefusalReason reason = wasRefused ? state.mLastRefusal : RefusalReason::eRetryBudget;
  if (state.mCallerDisconnected || (wasRefused && reason == RefusalReason::eDeadlinePassed)) {
    finishWithoutResult(aRequest, RefusalReason::eDeadlinePassed, aNow);
    return;
  }
  if (reason == RefusalReason::eNoSlot || reason == RefusalReason::eNoConnection) {
    // No executor received the request. It waits for a slot like a new one, which adds no load and
    // consumes no retry budget.
    enqueue(aRequest, aNow);
    return;
  }
  state.mCountedAttempts++;
  if (state.mCountedAttempts >= kMaxAttempts) {
    finishWithoutResult(aRequest, reason, aNow);
    return;
  }
  RetryBudget& budget =
    mRetryBudgets.try_emplace(state.mCall.mEntryName, mOptions.mRetryShare).first->second;
  if (!budget.tryConsumeRetry()) {
    finishWithoutResult(aRequest, RefusalReason::eRetryBudget, aNow);
    return;
  }
  mRetries++;
  enqueue(aRequest, aNow);
}

void
RequestRouter::finishDone(std::uint64_t aRequest, const HttpAnswer& aAnswer, MonotonicTime aNow)
{
  Request& state = mRequests.at(aRequest);
  RequestResult result{ RequestOutcome::eDone, std::nullopt, aAnswer.status() };
  result.mLatencyMs = aNow.msSince(state.mCall.mArrivedAt);
  mStatistics.record(state.mEntry, result);
  // Reported before the response, so that a resend through this gateway finds the stored response.
  endIntent(aRequest, state, IntentOutcome::eDone, &aAnswer);
  respond(aRequest, state, doneAnswer(aAnswer));
  removeIfComplete(aRequest);
}

void
RequestRouter::finishWithoutResult(std::uint64_t aRequest,
                                   RefusalReason aReason,
                                   MonotonicTime aNow,
                                   const std::string& aDetail)
{
  Request& state = mRequests.at(aRequest);
  if (state.mAttemptTracker.finish() == RequestOutcome::eUnknown) {
    finishUnknown(aRequest, kStatusBadGateway, "an attempt was lost and none succeeded", aNow);
    return;
  }
  mRefusals[toText(aReason)]++;
  const HttpAnswer answer = refusalAnswer(aReason, aDetail);
  mStatistics.record(state.mEntry, { RequestOutcome::eNotRun, aReason, answer.status(), 0 });
  endIntent(aRequest, state, IntentOutcome::eNotRun, nullptr);
  if (state.mIntent == IntentState::eEnding && aNow < state.mCall.mDeadline) {
    // The caller may reuse the key as soon as it receives "not-run", so the response waits until
    // control has released the key.
    state.mPendingAnswer = answer;
    return;
  }
  respond(aRequest, state, answer);
  removeIfComplete(aRequest);
}

void
RequestRouter::finishUnknown(std::uint64_t aRequest,
                             int aStatus,
                             const std::string& aDetail,
                             MonotonicTime aNow)
{
  Request& state = mRequests.at(aRequest);
  RequestResult result{ RequestOutcome::eUnknown, std::nullopt, aStatus };
  result.mLatencyMs = aNow.msSince(state.mCall.mArrivedAt);
  mStatistics.record(state.mEntry, result);
  if (!state.mAttemptInProgress) {
    endIntent(aRequest, state, IntentOutcome::eUnknown, nullptr);
  }
  respond(aRequest, state, unknownAnswer(aStatus, aDetail));
  removeIfComplete(aRequest);
}

void
RequestRouter::refuseAtAdmission(std::uint64_t aRequest,
                                 const CallerRequest& aCall,
                                 const CatalogueEntry* aEntry,
                                 RefusalReason aReason,
                                 MonotonicTime aNow)
{
  mRefusals[toText(aReason)]++;
  const HttpAnswer answer = refusalAnswer(aReason);
  if (aEntry != nullptr) {
    const std::int64_t latencyMs = aNow.msSince(aCall.mArrivedAt);
    mStatistics.record(*aEntry, { RequestOutcome::eNotRun, aReason, answer.status(), latencyMs });
  }
  mActions.respond(aRequest, answer);
}

void
RequestRouter::respond(std::uint64_t aRequest, Request& aState, const HttpAnswer& aAnswer)
{
  if (aState.mResponded) {
    return;
  }
  aState.mResponded = true;
  aState.mPendingAnswer.reset();
  mDeadlines.erase({ aState.mCall.mDeadline, aRequest });
  mUnansweredBytes -= aState.mCall.bytes();
  aState.mCall.mBody = std::string();
  if (!aState.mCallerDisconnected) {
    mActions.respond(aRequest, aAnswer);
  }
}

void
RequestRouter::endIntent(std::uint64_t aRequest,
                         Request& aState,
                         IntentOutcome aOutcome,
                         const HttpAnswer* aAnswer)
{
  if (aState.mIntent != IntentState::eHeld) {
    return;
  }
  const std::string attempt = mOptions.mIncarnation + "/" + std::to_string(aRequest);
  IntentEnd::Fields fields{ .requestId = attempt + "/end",
                            .key = *aState.mCall.mIdempotencyKey,
                            .entryName = aState.mCall.mEntryName,
                            .attempt = attempt,
                            .outcome = aOutcome };
  if (aOutcome == IntentOutcome::eDone) {
    assert(aAnswer != nullptr);
    if (aAnswer->body().size() > kMaxStoredAnswerBytes) {
      fields.outcome = IntentOutcome::eUnknown;
    } else {
      fields.answer = *aAnswer;
    }
  }
  aState.mIntent = IntentState::eEnding;
  mActions.endIntent(aRequest, valueOf(IntentEnd::create(std::move(fields))));
}

void
RequestRouter::intentEnded(std::uint64_t aRequest)
{
  const auto position = mRequests.find(aRequest);
  if (position == mRequests.end()) {
    return;
  }
  Request& state = position->second;
  state.mIntent = IntentState::eNone;
  if (state.mPendingAnswer) {
    const HttpAnswer answer = *state.mPendingAnswer;
    respond(aRequest, state, answer);
  }
  removeIfComplete(aRequest);
}

void
RequestRouter::removeIfComplete(std::uint64_t aRequest)
{
  const auto position = mRequests.find(aRequest);
  const Request& state = position->second;
  if (!state.mResponded || state.mAttemptInProgress || state.mIntent != IntentState::eNone) {
    return;
  }
  mLimiter.release(state.mEntry.name(), state.mEntry.owner());
  mRequests.erase(position);
}

void
RequestRouter::callerGone(std::uint64_t aRequest, MonotonicTime aNow)
{
  const auto position = mRequests.find(aRequest);
  if (position == mRequests.end()) {
    return;
  }
  Request& state = position->second;
  state.mCallerDisconnected = true;
  if (state.mAttemptTracker.outcome()) {
    return;
  }
  if (!state.mAttemptInProgress) {
    mQueue.remove(aRequest);
    finishWithoutResult(aRequest, RefusalReason::eDeadlinePassed, aNow);
  }
}

void
RequestRouter::expireRequest(std::uint64_t aRequest, MonotonicTime aNow)
{
  Request& state = mRequests.at(aRequest);
  if (state.mPendingAnswer) {
    const HttpAnswer answer = *state.mPendingAnswer;
    respond(aRequest, state, answer);
    removeIfComplete(aRequest);
    return;
  }
  assert(!state.mAttemptTracker.outcome());
  if (!state.mAttemptInProgress) {
    mQueue.remove(aRequest);
    finishWithoutResult(aRequest, RefusalReason::eDeadlinePassed, aNow);
    return;
  }
  for (auto& [id, attempt] : mAttempts) {
    if (attempt.mRequest == aRequest && !attempt.mAbandoned) {
      attempt.mTimeoutRecorded = true;
      mTargets.recordTimeout(attempt.mTargetId, aNow.msSince(attempt.mStartedAt), aNow);
    }
  }
  state.mAttemptTracker.finish();
  finishUnknown(aRequest, kStatusTimeout, "the deadline passed before the response", aNow);
}

void
RequestRouter::expireAttempts(MonotonicTime aNow)
{
  std::vector<std::string> expired;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt.mExpiresAt <= aNow) {
      expired.push_back(id);
    }
  }
  for (const std::string& id : expired) {
    endAttempt(mAttempts.find(id), { .mEnd = AttemptEnd::eLost }, aNow);
  }
}

bool
RequestRouter::shouldAbandon(const Attempt& aAttempt, MonotonicTime aNow) const
{
  if (aAttempt.mAbandoned || !mTargets.isSilent(aAttempt.mTargetId, aNow)) {
    return false;
  }
  const Request& state = mRequests.at(aAttempt.mRequest);
  if (state.mAttemptTracker.outcome() || !state.mAttemptTracker.isRepeatable() ||
      state.mCallerDisconnected) {
    return false;
  }
  const CatalogueEntry* entry = mCatalogue->findEntry(aAttempt.mEntryName);
  return entry != nullptr && entry->repeatable() && mTargets.hasFreeTarget(*entry, aNow);
}

void
RequestRouter::abandonSilentAttempts(MonotonicTime aNow)
{
  std::vector<std::string> abandonable;
  for (const auto& [id, attempt] : mAttempts) {
    if (shouldAbandon(attempt, aNow)) {
      abandonable.push_back(id);
    }
  }
  for (const std::string& id : abandonable) {
    Attempt& attempt = mAttempts.at(id);
    RetryBudget& budget =
      mRetryBudgets.try_emplace(attempt.mEntryName, mOptions.mRetryShare).first->second;
    // Without retry budget the request keeps waiting, because the response may still arrive.
    if (!shouldAbandon(attempt, aNow) || !budget.tryConsumeRetry()) {
      continue;
    }
    attempt.mAbandoned = true;
    attempt.mTimeoutRecorded = true;
    mTargets.recordTimeout(attempt.mTargetId, aNow.msSince(attempt.mStartedAt), aNow);
    Request& state = mRequests.at(attempt.mRequest);
    state.mAttemptInProgress = false;
    state.mAttemptTracker.recordFailure(attempt.mNumber, attempt.mConnection);
    mRetries++;
    enqueue(attempt.mRequest, aNow);
  }
}

void
RequestRouter::writeMetrics(MetricsRegistry& aMetrics) const
{
  mStatistics.writeMetrics(aMetrics);
  const auto set = [&](const char* aName, const std::string& aLabels, auto aValue) {
    aMetrics.set(aName, aLabels, static_cast<double>(aValue));
  };
  set("gateway_requests_in_progress", "", mRequests.size());
  set("gateway_attempts_in_progress", "", mAttempts.size());
  set("gateway_queue_requests", "", mQueue.size());
  set("gateway_queue_bytes", "", mQueue.bytes());
  set("gateway_retries_total", "", mRetries);
  set("gateway_unexpected_messages_total", "", mUnexpectedMessages);
  for (const auto& [reason, count] : mRefusals) {
    set("gateway_refusals_total", "reason=\"" + reason + "\"", count);
  }
  if (mCatalogue == nullptr) {
    return;
  }
  for (const auto& [name, record] : mCatalogue->records()) {
    if (record.entry() && mTargets.targetCount(name) > 0) {
      const std::string labels = "entry=\"" + name + "\"";
      set("gateway_targets", labels, mTargets.targetCount(name));
      set("gateway_targets_ejected", labels, mTargets.ejectedCount(name));
    }
  }
}

} // namespace magnoliadrum
