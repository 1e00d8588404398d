#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** A request that waits for a slot. */
struct QueuedRequest
{
  std::uint64_t mRequest = 0;
  std::string mEntryName;
  WorkClass mWorkClass = WorkClass::eBatch;
  Deadline mDeadline;
  /** Memory that the waiting request holds. */
  std::size_t mBytes = 0;
  /** Time that its caller gave it altogether. */
  std::int64_t mTimeoutMs = 0;
};

/** A request that left the queue without being dispatched. */
struct DroppedRequest
{
  std::uint64_t mRequest = 0;
  /** eDeadlinePassed, eShed or, when the new request itself is dropped, eQueueFull. */
  RefusalReason mReason = RefusalReason::eShed;

  friend bool operator==(const DroppedRequest&, const DroppedRequest&) = default;
};

/** What RequestQueue::pop() took out of the queue. */
struct PoppedRequest
{
  /** The request to dispatch; nothing when none can be. */
  std::optional<std::uint64_t> mRequest;
  std::vector<DroppedRequest> mDropped;
};

/**
 * Requests that wait for a slot, bounded per entry by count and altogether by memory.
 *
 * Latency-critical requests leave before batch requests, the lowest request number first, so that a
 * request that comes back after a refusal keeps its place. When a bound is exceeded, batch requests
 * are dropped first and then those with the least time left, because they are the least likely to
 * be answered in time.
 */
class RequestQueue
{
public:
  struct Bounds
  {
    std::size_t mRequestsPerEntry = 0;
    std::size_t mBytes = 0;
  };

  explicit RequestQueue(Bounds aBounds);

  /** Adds a request and returns what is dropped for it, possibly the request itself. */
  std::vector<DroppedRequest> push(const QueuedRequest& aRequest, MonotonicTime aNow);

  /**
   * Removes the next request of an entry whose deadline has not passed.
   *
   * Under overload a queue in order of arrival hands out requests whose time is nearly up; they
   * time out at the target and waste its slots, until no response is in time any more. So a request
   * with less than aRequiredMs left, or than half of the time that its caller gave it if that is
   * less, is dropped as long as another one waits behind it.
   *
   * @param aRequiredMs usual time of a response of the entry; 0 when it is not known
   */
  PoppedRequest pop(const std::string& aEntryName, MonotonicTime aNow, std::int64_t aRequiredMs);

  /** Removes a request; false when it is not in the queue. */
  bool remove(std::uint64_t aRequest);

  /** Removes and returns all requests whose deadline has passed. */
  std::vector<DroppedRequest> dropExpired(MonotonicTime aNow);

  /** Entries that have requests waiting. */
  std::vector<std::string> waitingEntries() const;

  std::size_t size() const { return mRequests.size(); }
  std::size_t size(const std::string& aEntryName) const;
  std::size_t bytes() const { return mBytes; }

private:
  /** Order of dropping: batch first, then by remaining time. */
  struct DropKey
  {
    bool mLatencyCritical;
    Deadline mDeadline;
    std::uint64_t mRequest;

    friend bool operator<(const DropKey& aLeft, const DropKey& aRight)
    {
      return std::tie(aLeft.mLatencyCritical, aLeft.mDeadline, aLeft.mRequest) <
             std::tie(aRight.mLatencyCritical, aRight.mDeadline, aRight.mRequest);
    }
  };

  /** Order of leaving: latency-critical first, then by number. */
  struct DispatchKey
  {
    bool mBatch;
    std::uint64_t mRequest;

    friend bool operator<(const DispatchKey& aLeft, const DispatchKey& aRight)
    {
      return std::tie(aLeft.mBatch, aLeft.mRequest) < std::tie(aRight.mBatch, aRight.mRequest);
    }
  };

  struct EntryQueue
  {
    std::set<DispatchKey> mByDispatchOrder;
    std::set<DropKey> mByDropOrder;
  };

  static DropKey dropKey(const QueuedRequest& aRequest);
  static DispatchKey dispatchKey(const QueuedRequest& aRequest);

  void insert(const QueuedRequest& aRequest);
  void dropOverflow(const QueuedRequest& aNewRequest, std::vector<DroppedRequest>& aDropped);
  void drop(std::uint64_t aRequest,
            std::uint64_t aNewRequest,
            std::vector<DroppedRequest>& aDropped);

  Bounds mBounds;
  std::size_t mBytes = 0;
  std::unordered_map<std::uint64_t, QueuedRequest> mRequests;
  std::map<std::string, EntryQueue> mEntries;
  std::set<DropKey> mByDropOrder;
  std::set<std::pair<Deadline, std::uint64_t>> mByDeadline;
};

} // namespace magnoliadrum
