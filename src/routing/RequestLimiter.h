#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <map>
#include <optional>
#include <string>

namespace magnoliadrum {

/** Limits of the rate and concurrency of requests; 0 means no limit. */
struct RequestLimit
{
  double mRequestsPerSecond = 0;
  std::int64_t mConcurrentRequests = 0;

  friend bool operator==(const RequestLimit&, const RequestLimit&) = default;
};

/**
 * Admits requests within the limits of their entry and of the entry's owner.
 *
 * Rates are limited by token buckets that hold one second's worth of requests, but at least one. A
 * request that is refused by either limit consumes nothing from either.
 */
class RequestLimiter
{
public:
  /**
   * Sets the limit of an entry. A bucket that already limits the rate keeps its tokens, so that a
   * repeated or changed limit does not admit a burst.
   */
  void setEntryLimit(const std::string& aEntryName, RequestLimit aLimit);

  /** Sets the limit of an owner, which applies to all its entries together. */
  void setOwnerLimit(const std::string& aOwner, RequestLimit aLimit);

  /** Admits a request or returns why it is refused. Release each admitted request once. */
  std::optional<RefusalReason> admit(const std::string& aEntryName,
                                     const std::string& aOwner,
                                     MonotonicTime aNow);

  /** Ends an admitted request. */
  void release(const std::string& aEntryName, const std::string& aOwner);

  /** Removes the entries and owners that have no limit and no request in progress. */
  void removeIdle();

private:
  struct Usage
  {
    RequestLimit mLimit;
    double mTokens = 0;
    MonotonicTime mRefilledAt;
    bool mInitialized = false;
    std::int64_t mInProgress = 0;

    void setLimit(RequestLimit aLimit);
    void refill(MonotonicTime aNow);
    std::optional<RefusalReason> refusalReason() const;
    void consume();
    void release();
  };

  std::map<std::string, Usage> mEntries;
  std::map<std::string, Usage> mOwners;
};

} // namespace magnoliadrum
