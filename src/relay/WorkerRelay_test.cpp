#include "relay/WorkerRelay.h"

#include <boost/test/unit_test.hpp>
#include <utility>

using namespace magnoliadrum;

namespace {

/** Records the calls to a worker and answers when the test says so. */
class RecordedCalls : public WorkerCalls
{
public:
  struct Log
  {
    std::vector<std::string> orders;
    std::vector<OrderCallback> answers;
    std::vector<ListRequest> lists;
    std::vector<std::function<void(Result<WorkerLists>)>> listAnswers;
  };

  explicit RecordedCalls(Log& aLog)
    : mLog(aLog)
  {
  }

  void start(const StartOrder& aOrder,
             std::int64_t aFence,
             std::int64_t /*aLeaseUntilMs*/,
             OrderCallback aCallback) override
  {
    note("start " + aOrder.task(), aFence, std::move(aCallback));
  }
  void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override
  {
    note("stop " + aOrder.task(), aFence, std::move(aCallback));
  }
  void pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override
  {
    note("pace " + aOrder.task(), aFence, std::move(aCallback));
  }
  void list(const ListRequest& aRequest,
            std::function<void(Result<WorkerLists>)> aCallback) override
  {
    mLog.lists.push_back(aRequest);
    mLog.listAnswers.push_back(std::move(aCallback));
  }

private:
  void note(const std::string& aText, std::int64_t aFence, OrderCallback aCallback)
  {
    mLog.orders.push_back(aText + " fence " + std::to_string(aFence));
    mLog.answers.push_back(std::move(aCallback));
  }

  Log& mLog;
};

WorkerDescription
worker(const std::string& aId, std::int64_t aBornMs, bool aDraining = false)
{
  return valueOf(WorkerDescription::create(
    { .workerId = aId, .bornMs = aBornMs, .poolName = "desk", .draining = aDraining }));
}

WorkerOrders
orders(std::int64_t aFence, std::int64_t aBornMs = 5, const std::string& aStart = "")
{
  WorkerOrders::Fields fields{ .worker = "w", .bornMs = aBornMs, .fence = aFence };
  fields.leaseUntilMs = 9000;
  if (!aStart.empty()) {
    fields.starts = { valueOf(StartOrder::create({ .task = aStart, .run = 1 })) };
  }
  return valueOf(WorkerOrders::create(std::move(fields)));
}

struct RelayHarness
{
  RelayHarness()
    : mRelay({ .now = [this]() { return mNow; },
               .send =
                 [this](const Message& aMessage) {
                   mReports.push_back(std::get<WorkerReport>(aMessage));
                   return true;
                 },
               .connect =
                 [this](const std::string& /*aAddress*/, const std::string& /*aId*/) {
                   return Result<std::unique_ptr<WorkerCalls>>(
                     std::make_unique<RecordedCalls>(mLog));
                 } })
  {
  }

  void answerLists(std::int64_t aBornMs = 5)
  {
    const auto answer = std::move(mLog.listAnswers.back());
    mLog.listAnswers.pop_back();
    WorkerLists lists;
    lists.bornMs = aBornMs;
    lists.clockMs = 1000;
    answer(lists);
  }

  MonotonicTime mNow = MonotonicTime::fromMs(100000);
  RecordedCalls::Log mLog;
  std::vector<WorkerReport> mReports;
  WorkerRelay mRelay;
};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_relay)

BOOST_FIXTURE_TEST_CASE(a_new_fence_reaches_the_worker_at_once, RelayHarness)
{
  mRelay.onRegistration(worker("w", 5), "127.0.0.1:1", 1);
  BOOST_TEST(mReports.size() == 1u);
  mRelay.onOrders(orders(7));
  BOOST_REQUIRE(mLog.lists.size() == 1u);
  BOOST_TEST(mLog.lists.front().fence == 7);
  BOOST_TEST(mLog.lists.front().waitMs == 0);
  answerLists();
  BOOST_TEST(mReports.back().listFence() == 7);
  BOOST_TEST(mReports.back().clockMs() == 1000);
}

BOOST_FIXTURE_TEST_CASE(orders_of_an_earlier_leader_or_for_another_life_are_dropped, RelayHarness)
{
  mRelay.onRegistration(worker("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(orders(7));
  mRelay.onOrders(orders(6, 5, "a.0.0.0"));
  mRelay.onOrders(orders(8, 4, "b.0.0.0"));
  BOOST_TEST(mLog.orders.empty());
  mRelay.onOrders(orders(7, 5, "c.0.0.0"));
  BOOST_TEST(mLog.orders.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_repeated_start_makes_no_second_call, RelayHarness)
{
  mRelay.onRegistration(worker("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(orders(7, 5, "c.0.0.0"));
  mRelay.onOrders(orders(7, 5, "c.0.0.0"));
  BOOST_TEST(mLog.orders.size() == 1u);
  mLog.answers.back()(OrderResult::eNoAnswer, 0);
  mRelay.onOrders(orders(7, 5, "c.0.0.0"));
  BOOST_TEST(mLog.orders.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(a_worker_whose_draining_is_acknowledged_starts_nothing, RelayHarness)
{
  mRelay.onRegistration(worker("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(orders(7));
  mRelay.onRegistration(worker("w", 5, true), "127.0.0.1:1", 2);
  BOOST_TEST(mReports.back().worker().draining());
  mRelay.onOrders(orders(7, 5, "c.0.0.0"));
  BOOST_TEST(mLog.orders.empty());
  mNow = mNow.plusMs(WorkerRelay::kAnswerDelayMs);
  mRelay.tick();
  BOOST_REQUIRE(mReports.back().answers().size() == 1u);
  BOOST_TEST((mReports.back().answers().front().result() == OrderResult::eUnhealthy));
}

BOOST_FIXTURE_TEST_CASE(a_late_announcement_changes_nothing, RelayHarness)
{
  mRelay.onRegistration(worker("w", 5, true), "127.0.0.1:1", 3);
  mRelay.onRegistration(worker("w", 5, false), "127.0.0.1:1", 2);
  mRelay.onRegistration(worker("old", 4, false), "127.0.0.1:1", 9);
  mRelay.onSession();
  BOOST_TEST(mReports.back().worker().draining());
  BOOST_TEST(mReports.back().worker().workerId() == "w");
}

BOOST_FIXTURE_TEST_CASE(lists_of_another_life_are_not_reported, RelayHarness)
{
  mRelay.onRegistration(worker("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(orders(7));
  const std::size_t before = mReports.size();
  answerLists(6);
  BOOST_TEST(mReports.size() == before);
}

BOOST_AUTO_TEST_SUITE_END()
