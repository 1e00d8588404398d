#include "routing/AttemptTracker.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

AttemptTracker::AttemptTracker(bool aRepeatable)
  : mRepeatable(aRepeatable)
{
}

bool
AttemptTracker::mayDispatch() const
{
  return !mOutcome && !hasAttemptInProgress() && (mRepeatable || !mayHaveRun());
}

std::size_t
AttemptTracker::beginAttempt(std::uint64_t aConnection)
{
  assert(mayDispatch());
  mAttempts.push_back({ aConnection, AttemptState::eInProgress });
  return mAttempts.size() - 1;
}

RequestAction
AttemptTracker::recordNotWritten(std::size_t aAttempt, std::uint64_t aConnection)
{
  return completeAttempt(aAttempt, aConnection, AttemptState::eNotRun);
}

RequestAction
AttemptTracker::recordRefusal(std::size_t aAttempt, std::uint64_t aConnection)
{
  return completeAttempt(aAttempt, aConnection, AttemptState::eNotRun);
}

RequestAction
AttemptTracker::recordResponse(std::size_t aAttempt, std::uint64_t aConnection)
{
  return completeAttempt(aAttempt, aConnection, AttemptState::eDone);
}

RequestAction
AttemptTracker::recordFailure(std::size_t aAttempt, std::uint64_t aConnection)
{
  return completeAttempt(aAttempt, aConnection, AttemptState::eUnknown);
}

RequestAction
AttemptTracker::recordConnectionLost(std::uint64_t aConnection)
{
  if (!hasAttemptInProgress()) {
    return RequestAction::eIgnore;
  }
  return completeAttempt(mAttempts.size() - 1, aConnection, AttemptState::eUnknown);
}

RequestOutcome
AttemptTracker::finish()
{
  assert(!mOutcome);
  // An attempt in progress may be running, so it makes the outcome eUnknown.
  mOutcome = mayHaveRun() ? RequestOutcome::eUnknown : RequestOutcome::eNotRun;
  return *mOutcome;
}

bool
AttemptTracker::hasAttemptInProgress() const
{
  return !mAttempts.empty() && mAttempts.back().mState == AttemptState::eInProgress;
}

bool
AttemptTracker::mayHaveRun() const
{
  return std::any_of(mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
    return aAttempt.mState != AttemptState::eNotRun;
  });
}

RequestAction
AttemptTracker::completeAttempt(std::size_t aAttempt,
                                std::uint64_t aConnection,
                                AttemptState aState)
{
  if (mOutcome || aAttempt >= mAttempts.size()) {
    return RequestAction::eIgnore;
  }
  Attempt& attempt = mAttempts[aAttempt];
  if (attempt.mState != AttemptState::eInProgress || attempt.mConnection != aConnection) {
    return RequestAction::eIgnore;
  }
  attempt.mState = aState;
  if (aState == AttemptState::eDone) {
    mOutcome = RequestOutcome::eDone;
    return RequestAction::eRespond;
  }
  if (mayDispatch()) {
    return RequestAction::eRetry;
  }
  mOutcome = RequestOutcome::eUnknown;
  return RequestAction::eRespond;
}

} // namespace magnoliadrum
