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

/** A request that waits for a free slot. */
struct QueuedRequest
{
  std::uint64_t mRequest = 0;
  std::string mEntryName;
  WorkClass mWorkClass = WorkClass::eBatch;
  Deadline mDeadline;
  /** Memory that the queued request occupies. */
  std::size_t mBytes = 0;
  /** Total time that the caller allows for the request. */
  std::int64_t mTimeoutMs = 0;
};

/** A request that was removed from the queue without being dispatched. */
struct DroppedRequest
{
  std::uint64_t mRequest = 0;
  /** eDeadlinePassed, eShed, or eQueueFull for a new request that exceeds a bound. */
  RefusalReason mReason = RefusalReason::eShed;

  friend bool operator==(const DroppedRequest&, const DroppedRequest&) = default;
};

/** The requests that RequestQueue::pop() removed from the queue. */
struct PoppedRequest
{
  /** The request to dispatch, or nothing if there is none. */
  std::optional<std::uint64_t> mRequest;
  std::vector<DroppedRequest> mDropped;
};

/**
 * Queues requests that wait for a slot. Limits the number of requests of each entry and the memory
 * of all requests together.
 *
 * Latency-critical requests are dispatched before batch requests, and lower request numbers first,
 * so that a request that is queued again after a refusal keeps its position. When a bound is
 * exceeded, batch requests are dropped first, and among equals the one with the earliest deadline,
 * because it is the least likely to be answered in time.
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

  /** Adds a request. Returns the expired and the dropped requests, possibly including it. */
  std::vector<DroppedRequest> push(const QueuedRequest& aRequest, MonotonicTime aNow);

  /**
   * Removes the next request of an entry whose deadline has not passed.
   *
   * Under overload, a queue in order of arrival dispatches requests that are about to expire; they
   * time out at the target and waste its slots, until no response is in time any more. Therefore a
   * request is dropped if its remaining time is below aRequiredMs and below half of its mTimeoutMs,
   * unless it is the last one of its entry.
   *
   * @param aRequiredMs ResponseTimeEstimator::requiredMs() of the entry; 0 if it is not known
   */
  PoppedRequest pop(const std::string& aEntryName, MonotonicTime aNow, std::int64_t aRequiredMs);

  /** Removes a request; returns false if it is not in the queue. */
  bool remove(std::uint64_t aRequest);

  /** Removes and returns all requests whose deadline has passed. */
  std::vector<DroppedRequest> dropExpired(MonotonicTime aNow);

  /** Names of the entries that have queued requests. */
  std::vector<std::string> waitingEntries() const;

  std::size_t size() const { return mRequests.size(); }
  std::size_t size(const std::string& aEntryName) const;
  std::size_t bytes() const { return mBytes; }

private:
  /** Order of dropping: batch first, then by deadline. */
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

  /** Order of dispatch: latency-critical first, then by request number. */
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
