#include "routing/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

namespace {
constexpr double kReserveTokens = 10;
/** Limits the burst of retries after a long time without failures. */
constexpr double kMaxTokens = 100;
/** Ten additions of 0.1 give slightly less than 1 in binary floating point. */
constexpr double kRoundingTolerance = 1e-9;
} // namespace

RetryBudget::RetryBudget(double aRetryRatio)
  : mRetryRatio(aRetryRatio)
  , mTokens(aRetryRatio > 0 ? kReserveTokens : 0)
{
  assert(aRetryRatio >= 0 && aRetryRatio <= 1);
}

void
RetryBudget::recordFirstAttempt()
{
  mTokens = std::min(kMaxTokens, mTokens + mRetryRatio);
}

bool
RetryBudget::tryConsumeRetry()
{
  if (mTokens < 1 - kRoundingTolerance) {
    return false;
  }
  mTokens -= 1;
  return true;
}

} // namespace magnoliadrum
