#include "routing/RequestQueue.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

RequestQueue::DropKey
RequestQueue::dropKey(const QueuedRequest& aRequest)
{
  return { aRequest.mWorkClass == WorkClass::eLatencyCritical,
           aRequest.mDeadline,
           aRequest.mRequest };
}

RequestQueue::DispatchKey
RequestQueue::dispatchKey(const QueuedRequest& aRequest)
{
  return { aRequest.mWorkClass == WorkClass::eBatch, aRequest.mRequest };
}

RequestQueue::RequestQueue(Bounds aBounds)
  : mBounds(aBounds)
{
}

std::vector<DroppedRequest>
RequestQueue::push(const QueuedRequest& aRequest, MonotonicTime aNow)
{
  assert(!mRequests.contains(aRequest.mRequest));
  std::vector<DroppedRequest> dropped = dropExpired(aNow);
  if (aRequest.mDeadline <= aNow) {
    dropped.push_back({ aRequest.mRequest, RefusalReason::eDeadlinePassed });
    return dropped;
  }
  insert(aRequest);
  dropOverflow(aRequest, dropped);
  return dropped;
}

PoppedRequest
RequestQueue::pop(const std::string& aEntryName, MonotonicTime aNow, std::int64_t aRequiredMs)
{
  PoppedRequest popped;
  while (!popped.mRequest && size(aEntryName) > 0) {
    const std::uint64_t next = mEntries.at(aEntryName).mByDispatchOrder.begin()->mRequest;
    const QueuedRequest& request = mRequests.at(next);
    const std::int64_t remainingMs = request.mDeadline.msSince(aNow);
    const bool hasTooLittleTime = remainingMs < std::min(aRequiredMs, request.mTimeoutMs / 2);
    const bool hasSuccessor = size(aEntryName) > 1;
    remove(next);
    if (remainingMs <= 0) {
      popped.mDropped.push_back({ next, RefusalReason::eDeadlinePassed });
    } else if (hasSuccessor && hasTooLittleTime) {
      popped.mDropped.push_back({ next, RefusalReason::eShed });
    } else {
      popped.mRequest = next;
    }
  }
  return popped;
}

bool
RequestQueue::remove(std::uint64_t aRequest)
{
  const auto position = mRequests.find(aRequest);
  if (position == mRequests.end()) {
    return false;
  }
  const QueuedRequest& request = position->second;
  const auto entry = mEntries.find(request.mEntryName);
  entry->second.mByDispatchOrder.erase(dispatchKey(request));
  entry->second.mByDropOrder.erase(dropKey(request));
  if (entry->second.mByDispatchOrder.empty()) {
    mEntries.erase(entry);
  }
  mByDropOrder.erase(dropKey(request));
  mByDeadline.erase({ request.mDeadline, request.mRequest });
  mBytes -= request.mBytes;
  mRequests.erase(position);
  return true;
}

std::vector<DroppedRequest>
RequestQueue::dropExpired(MonotonicTime aNow)
{
  std::vector<DroppedRequest> dropped;
  while (!mByDeadline.empty() && mByDeadline.begin()->first <= aNow) {
    const std::uint64_t request = mByDeadline.begin()->second;
    remove(request);
    dropped.push_back({ request, RefusalReason::eDeadlinePassed });
  }
  return dropped;
}

std::vector<std::string>
RequestQueue::waitingEntries() const
{
  std::vector<std::string> names;
  names.reserve(mEntries.size());
  for (const auto& [name, queue] : mEntries) {
    names.push_back(name);
  }
  return names;
}

std::size_t
RequestQueue::size(const std::string& aEntryName) const
{
  const auto entry = mEntries.find(aEntryName);
  return entry == mEntries.end() ? 0 : entry->second.mByDispatchOrder.size();
}

void
RequestQueue::insert(const QueuedRequest& aRequest)
{
  EntryQueue& entry = mEntries[aRequest.mEntryName];
  entry.mByDispatchOrder.insert(dispatchKey(aRequest));
  entry.mByDropOrder.insert(dropKey(aRequest));
  mByDropOrder.insert(dropKey(aRequest));
  mByDeadline.emplace(aRequest.mDeadline, aRequest.mRequest);
  mBytes += aRequest.mBytes;
  mRequests.emplace(aRequest.mRequest, aRequest);
}

void
RequestQueue::dropOverflow(const QueuedRequest& aNewRequest, std::vector<DroppedRequest>& aDropped)
{
  while (size(aNewRequest.mEntryName) > mBounds.mRequestsPerEntry) {
    const EntryQueue& entry = mEntries.at(aNewRequest.mEntryName);
    drop(entry.mByDropOrder.begin()->mRequest, aNewRequest.mRequest, aDropped);
  }
  while (mBytes > mBounds.mBytes) {
    drop(mByDropOrder.begin()->mRequest, aNewRequest.mRequest, aDropped);
  }
}

void
RequestQueue::drop(std::uint64_t aRequest,
                   std::uint64_t aNewRequest,
                   std::vector<DroppedRequest>& aDropped)
{
  remove(aRequest);
  const RefusalReason reason =
    aRequest == aNewRequest ? RefusalReason::eQueueFull : RefusalReason::eShed;
  aDropped.push_back({ aRequest, reason });
}

} // namespace magnoliadrum
