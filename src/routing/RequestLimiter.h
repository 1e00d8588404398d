#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <map>
#include <optional>
#include <string>

namespace magnoliadrum {

/** Rate and concurrency of requests; 0 means no limit. */
struct RequestLimit
{
  double mRequestsPerSecond = 0;
  std::int64_t mConcurrentRequests = 0;

  friend bool operator==(const RequestLimit&, const RequestLimit&) = default;
};

/**
 * Admits requests within the limits of their entry and of the entry's owner.
 *
 * Rates are token buckets that hold one second's worth of requests. A request that either limit
 * refuses uses up neither.
 */
class RequestLimiter
{
public:
  /** Sets the limit of an entry. The tokens of a bucket survive a change of another limit. */
  void setEntryLimit(const std::string& aEntryName, RequestLimit aLimit);

  /** Sets the limit of an owner over all its entries. */
  void setOwnerLimit(const std::string& aOwner, RequestLimit aLimit);

  /** Admits a request or returns why not. Each admitted request must be released once. */
  std::optional<RefusalReason> admit(const std::string& aEntryName,
                                     const std::string& aOwner,
                                     MonotonicTime aNow);

  /** Ends an admitted request. */
  void release(const std::string& aEntryName, const std::string& aOwner);

  /** Forgets the entries and owners that have the default limit and no request in progress. */
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
