#include "routing/RequestLimiter.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

namespace {

constexpr double kMsPerSecond = 1000;
/** Fractions of a token that add up to 1 can give slightly less in binary floating point. */
constexpr double kRoundingTolerance = 1e-9;

/** Requests that a bucket holds; with less than one, a rate below 1/s would admit nothing. */
double
bucketCapacity(const RequestLimit& aLimit)
{
  return std::max(1.0, aLimit.mRequestsPerSecond);
}

} // namespace

void
RequestLimiter::Usage::setLimit(RequestLimit aLimit)
{
  if (aLimit.mRequestsPerSecond != mLimit.mRequestsPerSecond) {
    // A bucket that had no rate limit before starts full; any other keeps its tokens.
    mInitialized = mInitialized && mLimit.mRequestsPerSecond > 0;
  }
  mLimit = aLimit;
}

void
RequestLimiter::Usage::refill(MonotonicTime aNow)
{
  if (!mInitialized) {
    mTokens = bucketCapacity(mLimit);
    mInitialized = true;
  } else {
    const double elapsedMs =
      static_cast<double>(std::max<std::int64_t>(0, aNow.msSince(mRefilledAt)));
    mTokens += elapsedMs * mLimit.mRequestsPerSecond / kMsPerSecond;
    mTokens = std::min(mTokens, bucketCapacity(mLimit));
  }
  mRefilledAt = std::max(mRefilledAt, aNow);
}

std::optional<RefusalReason>
RequestLimiter::Usage::refusalReason() const
{
  if (mLimit.mConcurrentRequests > 0 && mInProgress >= mLimit.mConcurrentRequests) {
    return RefusalReason::eConcurrencyLimit;
  }
  if (mLimit.mRequestsPerSecond > 0 && mTokens < 1 - kRoundingTolerance) {
    return RefusalReason::eRateLimit;
  }
  return std::nullopt;
}

void
RequestLimiter::Usage::consume()
{
  mInProgress++;
  if (mLimit.mRequestsPerSecond > 0) {
    mTokens -= 1;
  }
}

void
RequestLimiter::Usage::release()
{
  assert(mInProgress > 0);
  mInProgress--;
}

void
RequestLimiter::setEntryLimit(const std::string& aEntryName, RequestLimit aLimit)
{
  mEntries[aEntryName].setLimit(aLimit);
}

void
RequestLimiter::setOwnerLimit(const std::string& aOwner, RequestLimit aLimit)
{
  mOwners[aOwner].setLimit(aLimit);
}

std::optional<RefusalReason>
RequestLimiter::admit(const std::string& aEntryName, const std::string& aOwner, MonotonicTime aNow)
{
  Usage& entry = mEntries[aEntryName];
  Usage& owner = mOwners[aOwner];
  entry.refill(aNow);
  owner.refill(aNow);
  if (const auto reason = entry.refusalReason()) {
    return reason;
  }
  if (const auto reason = owner.refusalReason()) {
    return reason;
  }
  entry.consume();
  owner.consume();
  return std::nullopt;
}

void
RequestLimiter::release(const std::string& aEntryName, const std::string& aOwner)
{
  const auto entry = mEntries.find(aEntryName);
  const auto owner = mOwners.find(aOwner);
  assert(entry != mEntries.end() && owner != mOwners.end());
  entry->second.release();
  owner->second.release();
}

void
RequestLimiter::removeIdle()
{
  const auto isIdle = [](const auto& aItem) {
    return aItem.second.mInProgress == 0 && aItem.second.mLimit == RequestLimit{};
  };
  std::erase_if(mEntries, isIdle);
  std::erase_if(mOwners, isIdle);
}

} // namespace magnoliadrum
