#include "control/OrderMessages.h"

#include "state/BuildValue.h"

#include <utility>

namespace magnoliadrum {

namespace {

/** Upper bound of the encoded names and numbers of an order beside its texts. */
constexpr std::size_t kOrderOverheadBytes = 100;

std::size_t
sizeOf(const StartOrder& aOrder)
{
  return kOrderOverheadBytes + aOrder.task().size() + aOrder.payload().size() +
         aOrder.checkpoint().size() + aOrder.ticket().size();
}

template<typename Order>
std::size_t
sizeOf(const Order& aOrder)
{
  return kOrderOverheadBytes + aOrder.task().size();
}

class OrderSplitter
{
public:
  explicit OrderSplitter(WorkerOrders::Fields aEmptyOrders)
    : mEmptyOrders(std::move(aEmptyOrders))
    , mCurrent(mEmptyOrders)
  {
  }

  template<typename Order>
  void add(std::vector<Order> aOrders, std::vector<Order> WorkerOrders::Fields::*aList)
  {
    for (Order& order : aOrders) {
      const std::size_t bytes = sizeOf(order);
      if (mBytes > 0 && mBytes + bytes > kMaxOrderMessageBytes) {
        finishMessage();
      }
      mBytes += bytes;
      (mCurrent.*aList).push_back(std::move(order));
    }
  }

  std::vector<WorkerOrders> takeMessages()
  {
    finishMessage();
    return std::move(mMessages);
  }

private:
  void finishMessage()
  {
    mMessages.push_back(buildValue<WorkerOrders>(std::exchange(mCurrent, mEmptyOrders)));
    mBytes = 0;
  }

  const WorkerOrders::Fields mEmptyOrders;
  WorkerOrders::Fields mCurrent;
  std::size_t mBytes = 0;
  std::vector<WorkerOrders> mMessages;
};

} // namespace

std::vector<WorkerOrders>
splitOrders(WorkerOrders::Fields aOrders)
{
  std::vector<StopOrder> stops = std::exchange(aOrders.stops, {});
  std::vector<PaceOrder> paces = std::exchange(aOrders.paces, {});
  std::vector<StartOrder> starts = std::exchange(aOrders.starts, {});
  OrderSplitter splitter(std::move(aOrders));
  splitter.add(std::move(stops), &WorkerOrders::Fields::stops);
  splitter.add(std::move(paces), &WorkerOrders::Fields::paces);
  splitter.add(std::move(starts), &WorkerOrders::Fields::starts);
  return splitter.takeMessages();
}

} // namespace magnoliadrum
