#include "relay/OrderQueue.h"

#include "observability/observability.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Removes and returns the first element; the queue must not be empty. */
template<typename Order>
Order
takeFront(std::deque<Order>& aQueue)
{
  Order order = aQueue.front();
  aQueue.pop_front();
  return order;
}

template<typename Left, typename Right>
bool
isSameRun(const Left& aLeft, const Right& aRight)
{
  return aLeft.task() == aRight.task() && aLeft.run() == aRight.run();
}

} // namespace

void
OrderQueue::addStop(const StopOrder& aOrder)
{
  std::erase_if(mStarts, [&aOrder](const WaitingStart& aWaiting) {
    return isSameRun(aWaiting.start.order, aOrder);
  });
  std::erase_if(mPaces, [&aOrder](const PaceOrder& aPace) { return isSameRun(aPace, aOrder); });
  std::erase_if(mStops, [&aOrder](const StopOrder& aStop) { return isSameRun(aStop, aOrder); });
  mStops.push_back(aOrder);
}

void
OrderQueue::addPace(const PaceOrder& aOrder)
{
  std::erase_if(mPaces, [&aOrder](const PaceOrder& aPace) { return isSameRun(aPace, aOrder); });
  mPaces.push_back(aOrder);
}

void
OrderQueue::addStart(const LeasedStart& aStart, Deadline aSendBefore)
{
  const bool isQueued =
    std::any_of(mStarts.begin(), mStarts.end(), [&aStart](const WaitingStart& aWaiting) {
      return isSameRun(aWaiting.start.order, aStart.order);
    });
  if (!isQueued) {
    mStarts.push_back({ aStart, aSendBefore });
  }
}

std::optional<QueuedOrder>
OrderQueue::takeNext(MonotonicTime aNow)
{
  if (!mStops.empty()) {
    return takeFront(mStops);
  }
  if (!mPaces.empty()) {
    return takeFront(mPaces);
  }
  while (!mStarts.empty()) {
    const WaitingStart waiting = takeFront(mStarts);
    if (aNow <= waiting.sendBefore) {
      return waiting.start;
    }
    mExpiredStarts++;
    logInfo("start order dropped: it is too old to be sent",
            { { "task", waiting.start.order.task() }, { "run", waiting.start.order.run() } });
  }
  return std::nullopt;
}

void
OrderQueue::clear()
{
  mStops.clear();
  mPaces.clear();
  mStarts.clear();
}

} // namespace magnoliadrum
