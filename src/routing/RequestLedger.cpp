#include "routing/RequestLedger.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

RequestLedger::RequestLedger(bool aRepeatable)
  : mRepeatable(aRepeatable)
{
}

bool
RequestLedger::mayDispatch() const
{
  return !mOutcome && !hasOpenAttempt() && (mRepeatable || !mayHaveRun());
}

std::size_t
RequestLedger::beginAttempt(std::uint64_t aConnection)
{
  assert(mayDispatch());
  mAttempts.push_back({ aConnection, AttemptState::eOpen });
  return mAttempts.size() - 1;
}

RequestStep
RequestLedger::notWritten(std::size_t aAttempt, std::uint64_t aConnection)
{
  return settle(aAttempt, aConnection, AttemptState::eNotRun);
}

RequestStep
RequestLedger::refused(std::size_t aAttempt, std::uint64_t aConnection)
{
  return settle(aAttempt, aConnection, AttemptState::eNotRun);
}

RequestStep
RequestLedger::answered(std::size_t aAttempt, std::uint64_t aConnection)
{
  return settle(aAttempt, aConnection, AttemptState::eDone);
}

RequestStep
RequestLedger::failed(std::size_t aAttempt, std::uint64_t aConnection)
{
  return settle(aAttempt, aConnection, AttemptState::eUnknown);
}

RequestStep
RequestLedger::connectionLost(std::uint64_t aConnection)
{
  if (!hasOpenAttempt()) {
    return RequestStep::eIgnore;
  }
  return settle(mAttempts.size() - 1, aConnection, AttemptState::eUnknown);
}

RequestOutcome
RequestLedger::finish()
{
  assert(!mOutcome);
  // An attempt that is still open may be running.
  mOutcome = mayHaveRun() ? RequestOutcome::eUnknown : RequestOutcome::eNotRun;
  return *mOutcome;
}

bool
RequestLedger::hasOpenAttempt() const
{
  return !mAttempts.empty() && mAttempts.back().mState == AttemptState::eOpen;
}

bool
RequestLedger::mayHaveRun() const
{
  return std::any_of(mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
    return aAttempt.mState != AttemptState::eNotRun;
  });
}

RequestStep
RequestLedger::settle(std::size_t aAttempt, std::uint64_t aConnection, AttemptState aState)
{
  if (mOutcome || aAttempt >= mAttempts.size()) {
    return RequestStep::eIgnore;
  }
  Attempt& attempt = mAttempts[aAttempt];
  if (attempt.mState != AttemptState::eOpen || attempt.mConnection != aConnection) {
    return RequestStep::eIgnore;
  }
  attempt.mState = aState;
  if (aState == AttemptState::eDone) {
    mOutcome = RequestOutcome::eDone;
    return RequestStep::eRespond;
  }
  if (mayDispatch()) {
    return RequestStep::eRetry;
  }
  mOutcome = RequestOutcome::eUnknown;
  return RequestStep::eRespond;
}

} // namespace magnoliadrum
