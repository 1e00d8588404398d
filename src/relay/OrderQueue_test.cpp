#include "relay/OrderQueue.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

const MonotonicTime kNow = MonotonicTime::fromMs(1000);

LeasedStart
startOf(const std::string& aTask, std::int64_t aRun = 1)
{
  return { valueOf(StartOrder::create({ .task = aTask, .run = aRun })), 9000 };
}

StopOrder
stopOf(const std::string& aTask, std::int64_t aRun = 1)
{
  return valueOf(StopOrder::create({ .task = aTask, .run = aRun }));
}

PaceOrder
paceOf(const std::string& aTask, std::int64_t aPercent)
{
  return valueOf(PaceOrder::create({ .task = aTask, .run = 1, .percent = aPercent }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_queue)

BOOST_AUTO_TEST_CASE(stops_go_before_paces_and_paces_before_starts)
{
  OrderQueue queue;
  queue.addStart(startOf("a.0.0.0"), kNow);
  queue.addPace(paceOf("b.0.0.0", 50));
  queue.addStop(stopOf("c.0.0.0"));
  BOOST_TEST(std::holds_alternative<StopOrder>(*queue.takeNext(kNow)));
  BOOST_TEST(std::holds_alternative<PaceOrder>(*queue.takeNext(kNow)));
  BOOST_TEST(std::holds_alternative<LeasedStart>(*queue.takeNext(kNow)));
  BOOST_TEST(!queue.takeNext(kNow).has_value());
}

BOOST_AUTO_TEST_CASE(a_stop_removes_the_waiting_start_of_its_run_only)
{
  OrderQueue queue;
  queue.addStart(startOf("a.0.0.0", 1), kNow);
  queue.addStart(startOf("a.0.0.0", 2), kNow);
  queue.addStart(startOf("b.0.0.0", 1), kNow);
  queue.addStop(stopOf("a.0.0.0", 1));
  BOOST_TEST(queue.size() == 3u);
  BOOST_TEST((std::get<StopOrder>(*queue.takeNext(kNow)) == stopOf("a.0.0.0", 1)));
  BOOST_TEST((std::get<LeasedStart>(*queue.takeNext(kNow)) == startOf("a.0.0.0", 2)));
  BOOST_TEST((std::get<LeasedStart>(*queue.takeNext(kNow)) == startOf("b.0.0.0", 1)));
}

BOOST_AUTO_TEST_CASE(a_later_pace_replaces_an_earlier_one_of_its_run)
{
  OrderQueue queue;
  queue.addPace(paceOf("a.0.0.0", 100));
  queue.addPace(paceOf("a.0.0.0", 0));
  BOOST_TEST(std::get<PaceOrder>(*queue.takeNext(kNow)).percent() == 0);
  BOOST_TEST(queue.size() == 0u);
}

BOOST_AUTO_TEST_CASE(a_start_is_not_sent_after_its_deadline)
{
  OrderQueue queue;
  queue.addStart(startOf("a.0.0.0"), kNow);
  queue.addStart(startOf("b.0.0.0"), kNow.plusMs(500));
  const std::optional<QueuedOrder> next = queue.takeNext(kNow.plusMs(1));
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((std::get<LeasedStart>(*next) == startOf("b.0.0.0")));
  BOOST_TEST(queue.expiredStarts() == 1);
}

BOOST_AUTO_TEST_CASE(a_repeated_start_waits_once_and_keeps_its_first_deadline)
{
  OrderQueue queue;
  queue.addStart(startOf("a.0.0.0"), kNow);
  queue.addStart(startOf("a.0.0.0"), kNow.plusMs(5000));
  BOOST_TEST(queue.size() == 1u);
  BOOST_TEST(!queue.takeNext(kNow.plusMs(1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
