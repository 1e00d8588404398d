#include "relay/WorkerRelay.h"

#include <boost/test/unit_test.hpp>
#include <utility>

using namespace magnoliadrum;

namespace {

/** Records the calls to a worker; the test answers them by calling the stored callbacks. */
class RecordingWorkerClient : public WorkerClient
{
public:
  struct Record
  {
    std::vector<std::string> orders;
    std::vector<OrderCallback> orderCallbacks;
    std::vector<RunListRequest> listRequests;
    std::vector<std::function<void(Result<RunLists>)>> listCallbacks;
  };

  explicit RecordingWorkerClient(Record& aRecord)
    : mRecord(aRecord)
  {
  }

  void start(const StartOrder& aOrder,
             std::int64_t aFence,
             std::int64_t /*aLeaseUntilMs*/,
             OrderCallback aCallback) override
  {
    recordOrder("start " + aOrder.task(), aFence, std::move(aCallback));
  }
  void stop(const StopOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override
  {
    recordOrder("stop " + aOrder.task(), aFence, std::move(aCallback));
  }
  void pace(const PaceOrder& aOrder, std::int64_t aFence, OrderCallback aCallback) override
  {
    recordOrder("pace " + aOrder.task(), aFence, std::move(aCallback));
  }
  void listRuns(const RunListRequest& aRequest,
                std::function<void(Result<RunLists>)> aCallback) override
  {
    mRecord.listRequests.push_back(aRequest);
    mRecord.listCallbacks.push_back(std::move(aCallback));
  }

private:
  void recordOrder(const std::string& aText, std::int64_t aFence, OrderCallback aCallback)
  {
    mRecord.orders.push_back(aText + " fence " + std::to_string(aFence));
    mRecord.orderCallbacks.push_back(std::move(aCallback));
  }

  Record& mRecord;
};

WorkerDescription
workerDescription(const std::string& aId, std::int64_t aBornMs, bool aDraining = false)
{
  return valueOf(WorkerDescription::create(
    { .workerId = aId, .bornMs = aBornMs, .poolName = "desk", .draining = aDraining }));
}

WorkerOrders
workerOrders(std::int64_t aFence, std::int64_t aBornMs = 5, const std::string& aStart = "")
{
  WorkerOrders::Fields fields{ .worker = "w", .bornMs = aBornMs, .fence = aFence };
  fields.leaseUntilMs = 9000;
  if (!aStart.empty()) {
    fields.starts = { valueOf(StartOrder::create({ .task = aStart, .run = 1 })) };
  }
  return valueOf(WorkerOrders::create(std::move(fields)));
}

struct RelayFixture
{
  RelayFixture()
    : mRelay({ .now = [this]() { return mNow; },
               .send =
                 [this](const Message& aMessage) {
                   if (!mHasSession) {
                     return false;
                   }
                   mReports.push_back(std::get<WorkerReport>(aMessage));
                   return true;
                 },
               .createClient =
                 [this](const WorkerDescription& /*aWorker*/, const std::string& /*aAddress*/) {
                   return Result<std::unique_ptr<WorkerClient>>(
                     std::make_unique<RecordingWorkerClient>(mRecord));
                 } })
  {
  }

  /** Answers the latest list request in progress. */
  void answerListRequest(std::int64_t aBornMs = 5, std::int64_t aClockMs = 1000)
  {
    const auto callback = std::move(mRecord.listCallbacks.back());
    mRecord.listCallbacks.pop_back();
    RunLists lists;
    lists.bornMs = aBornMs;
    lists.clockMs = aClockMs;
    callback(lists);
  }

  /** The number of answers to orders that were reported. */
  std::size_t reportedAnswers() const
  {
    std::size_t count = 0;
    for (const WorkerReport& report : mReports) {
      count += report.answers().size();
    }
    return count;
  }

  void failListRequest(ErrorCode aCode)
  {
    const auto callback = std::move(mRecord.listCallbacks.back());
    mRecord.listCallbacks.pop_back();
    callback(Error::create(aCode, "worker lists", "127.0.0.1:1", "failed by the test"));
  }

  MonotonicTime mNow = MonotonicTime::fromMs(100000);
  RecordingWorkerClient::Record mRecord;
  std::vector<WorkerReport> mReports;
  bool mHasSession = true;
  WorkerRelay mRelay;
};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_relay)

BOOST_FIXTURE_TEST_CASE(new_fence_is_sent_to_worker_immediately, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  BOOST_TEST(mReports.size() == 1u);
  mRelay.onOrders(workerOrders(7));
  BOOST_REQUIRE(mRecord.listRequests.size() == 1u);
  BOOST_TEST(mRecord.listRequests.front().fence == 7);
  BOOST_TEST(mRecord.listRequests.front().waitMs == 0);
  answerListRequest();
  BOOST_TEST(mReports.back().listFence() == 7);
  BOOST_TEST(mReports.back().clockMs() == 1000);
}

BOOST_FIXTURE_TEST_CASE(orders_with_stale_fence_or_other_incarnation_are_ignored, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  mRelay.onOrders(workerOrders(6, 5, "a.0.0.0"));
  mRelay.onOrders(workerOrders(8, 4, "b.0.0.0"));
  BOOST_TEST(mRecord.orders.empty());
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  BOOST_TEST(mRecord.orders.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(repeated_start_is_not_sent_while_first_is_in_progress, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  BOOST_TEST(mRecord.orders.size() == 1u);
  mRecord.orderCallbacks.back()(OrderResult::eNoAnswer, 0);
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  BOOST_TEST(mRecord.orders.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(start_orders_are_rejected_for_draining_worker, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 2);
  BOOST_TEST(mReports.back().worker().draining());
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  BOOST_TEST(mRecord.orders.empty());
  mNow = mNow.plusMs(WorkerRelay::kAnswerBatchMs);
  mRelay.tick();
  BOOST_REQUIRE(mReports.back().answers().size() == 1u);
  BOOST_TEST((mReports.back().answers().front().result() == OrderResult::eUnhealthy));
}

BOOST_FIXTURE_TEST_CASE(outdated_registrations_are_ignored, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 3);
  mRelay.onRegistration(workerDescription("w", 5, false), "127.0.0.1:1", 2);
  mRelay.onRegistration(workerDescription("old", 4, false), "127.0.0.1:1", 9);
  mRelay.onSession();
  BOOST_TEST(mReports.back().worker().draining());
  BOOST_TEST(mReports.back().worker().workerId() == "w");
}

BOOST_FIXTURE_TEST_CASE(run_lists_of_other_incarnation_are_not_reported, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  const std::size_t before = mReports.size();
  answerListRequest(6);
  BOOST_TEST(mReports.size() == before);
}

// Guards against LIMIT: a start is sent that is based on lists of too long ago, because lists that
// later ones had overtaken set the relay's reading of the worker's clock back.
BOOST_FIXTURE_TEST_CASE(overtaken_run_lists_do_not_set_the_workers_clock_back, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  mRelay.onOrders(workerOrders(8));
  BOOST_REQUIRE(mRecord.listCallbacks.size() == 2u);
  answerListRequest(5, 1000 + WorkerRelay::kMaxBasisAgeMs);
  const std::size_t reports = mReports.size();
  answerListRequest(5, 1000);
  BOOST_TEST(mReports.size() == reports, "the leader knows later lists");
  WorkerOrders::Fields fields = workerOrders(8, 5, "c.0.0.0").fields();
  fields.basisClockMs = 999;
  mRelay.onOrders(valueOf(WorkerOrders::create(std::move(fields))));
  BOOST_TEST(mRecord.orders.empty());
}

// Guards against a start that waits behind unanswered orders and is sent seconds after the run was
// stopped, for example because its job was cancelled.
BOOST_FIXTURE_TEST_CASE(waiting_start_is_not_sent_after_the_stop_of_its_run, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  for (std::size_t index = 0; index <= WorkerRelay::kMaxOrdersInProgress; index++) {
    mRelay.onOrders(workerOrders(7, 5, "c.0.0." + std::to_string(index)));
  }
  BOOST_TEST(mRecord.orders.size() == WorkerRelay::kMaxOrdersInProgress);
  const std::string waiting = "c.0.0." + std::to_string(WorkerRelay::kMaxOrdersInProgress);
  mRelay.onOrders(valueOf(WorkerOrders::create(
    { .worker = "w",
      .bornMs = 5,
      .fence = 7,
      .stops = { valueOf(StopOrder::create({ .task = waiting, .run = 1 })) } })));
  const std::size_t sent = mRecord.orders.size();
  mRecord.orderCallbacks.at(0)(OrderResult::eNoAnswer, 0);
  mRecord.orderCallbacks.at(1)(OrderResult::eNoAnswer, 0);
  BOOST_REQUIRE(mRecord.orders.size() == sent + 1);
  BOOST_TEST(mRecord.orders.back() == "stop " + waiting + " fence 7");
}

BOOST_FIXTURE_TEST_CASE(start_that_waited_too_long_is_not_sent, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  for (std::size_t index = 0; index <= WorkerRelay::kMaxOrdersInProgress; index++) {
    mRelay.onOrders(workerOrders(7, 5, "c.0.0." + std::to_string(index)));
  }
  const std::size_t sent = mRecord.orders.size();
  mNow = mNow.plusMs(WorkerRelay::kMaxStartWaitMs + 1);
  mRecord.orderCallbacks.at(0)(OrderResult::eNoAnswer, 0);
  BOOST_TEST(mRecord.orders.size() == sent);
}

// Guards against orders of two leaders around a change of leader: what an earlier leader ordered
// must not go out under the fence of its successor.
BOOST_FIXTURE_TEST_CASE(waiting_orders_of_an_earlier_leader_are_dropped, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  for (std::size_t index = 0; index <= WorkerRelay::kMaxOrdersInProgress; index++) {
    mRelay.onOrders(workerOrders(7, 5, "c.0.0." + std::to_string(index)));
  }
  const std::size_t sent = mRecord.orders.size();
  mRelay.onOrders(workerOrders(8));
  mRecord.orderCallbacks.at(0)(OrderResult::eNoAnswer, 0);
  BOOST_TEST(mRecord.orders.size() == sent);
}

// Guards against TWICE: a waiting list request was answered with the lists as they were before a
// run began late and was closed, and with a later clock reading than the answer that closed it.
BOOST_FIXTURE_TEST_CASE(closing_answer_is_reported_after_the_lists_requested_before_it,
                        RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  answerListRequest();
  WorkerOrders::Fields orders = workerOrders(7, 5, "rejected.0.0.0").fields();
  orders.stops = { valueOf(StopOrder::create({ .task = "stopped.0.0.0", .run = 1 })) };
  mRelay.onOrders(valueOf(WorkerOrders::create(std::move(orders))));
  BOOST_REQUIRE(mRecord.listRequests.size() == 2u);
  BOOST_REQUIRE(mRecord.orderCallbacks.size() == 2u);
  mRecord.orderCallbacks.at(0)(OrderResult::eAccepted, 1100);
  mRecord.orderCallbacks.at(1)(OrderResult::eClosed, 1100);
  mNow = mNow.plusMs(WorkerRelay::kAnswerBatchMs);
  mRelay.tick();
  BOOST_TEST(reportedAnswers() == 0u, "the lists of the request in progress may be older");
  answerListRequest(5, 1200);
  BOOST_TEST(mReports.back().clockMs() == 1200);
  BOOST_TEST(reportedAnswers() == 0u);
  mRelay.onOrders(workerOrders(7));
  BOOST_TEST(mRecord.listRequests.back().waitMs == 0, "the leader waits for these lists");
  answerListRequest(5, 1300);
  BOOST_TEST(mReports.back().clockMs() == 1300);
  BOOST_TEST(mReports.back().answers().size() == 2u);
}

// Guards against answers that no leader gets to know because a list request fails.
BOOST_FIXTURE_TEST_CASE(closing_answer_is_reported_after_a_failed_list_request, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  mRecord.orderCallbacks.back()(OrderResult::eClosed, 1100);
  failListRequest(ErrorCode::eTimeout);
  mNow = mNow.plusMs(WorkerRelay::kAnswerBatchMs);
  mRelay.tick();
  BOOST_TEST(reportedAnswers() == 1u);
}

BOOST_FIXTURE_TEST_CASE(deregistration_of_draining_worker_is_reported, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 1);
  mRelay.onDeregistration("w");
  BOOST_TEST(mReports.back().worker().gone());
}

// Guards against runs of a live worker that are started elsewhere: the notice of an incarnation
// that has exited is read only after its successor with the same id has registered.
BOOST_FIXTURE_TEST_CASE(late_deregistration_of_earlier_incarnation_keeps_the_runs, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 4);
  mRelay.onRegistration(workerDescription("w", 6), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7, 6));
  mRelay.onDeregistration("w");
  BOOST_TEST(!mReports.back().worker().gone());
  BOOST_TEST(mReports.back().worker().draining());
  mRelay.onRegistration(workerDescription("w", 6), "127.0.0.1:1", 2);
  BOOST_TEST(!mReports.back().worker().draining(), "a later registration ends the doubt");
}

// Guards against a crash without a trace: the reports name the runs that were started shortly
// before, while the worker is down and after its successor has registered.
BOOST_FIXTURE_TEST_CASE(reports_name_the_runs_started_shortly_before_a_crash, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  mRecord.orderCallbacks.back()(OrderResult::eNoAnswer, 0);
  failListRequest(ErrorCode::eUnavailable);
  BOOST_TEST(mReports.back().unreachable());
  BOOST_TEST(mReports.back().crashSuspects().empty(), "a connection that breaks is no evidence");
  mNow = mNow.plusMs(WorkerRelay::kListRefreshMs);
  mRelay.tick();
  failListRequest(ErrorCode::eRefused);
  BOOST_REQUIRE(mReports.back().crashSuspects().size() == 1u);
  BOOST_TEST(mReports.back().crashSuspects().front().runs().front().task() == "c.0.0.0");
  mRelay.onRegistration(workerDescription("v", 6), "127.0.0.1:1", 1);
  BOOST_TEST(!mReports.back().unreachable());
  BOOST_REQUIRE(mReports.back().crashSuspects().size() == 1u);
  BOOST_TEST(mReports.back().crashSuspects().front().worker() == "w");
  BOOST_TEST(mReports.back().crashSuspects().front().runs().front().task() == "c.0.0.0");
  mNow = mNow.plusMs(WorkerRelay::kReportSuspectsMs + 1);
  mRelay.onSession();
  BOOST_TEST(mReports.back().crashSuspects().empty());
}

BOOST_FIXTURE_TEST_CASE(worker_that_left_after_draining_has_no_crash_suspects, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 2);
  mRelay.onRegistration(workerDescription("v", 6), "127.0.0.1:1", 1);
  BOOST_TEST(mReports.back().crashSuspects().empty());
}

// A slow worker answers late but lives, so a timeout alone does not make it unreachable.
BOOST_FIXTURE_TEST_CASE(worker_that_answers_late_is_not_reported_as_unreachable, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  failListRequest(ErrorCode::eTimeout);
  BOOST_TEST(!mReports.back().unreachable());
}

// Guards against a permission that ran out while the relay stood still: the order came in time and
// is read seconds later.
BOOST_FIXTURE_TEST_CASE(start_based_on_old_lists_is_not_sent, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  answerListRequest();
  const auto startBasedOn = [](std::int64_t aClockMs) {
    WorkerOrders::Fields fields = workerOrders(7, 5, "c.0.0.0").fields();
    fields.basisClockMs = aClockMs;
    return valueOf(WorkerOrders::create(std::move(fields)));
  };
  mNow = mNow.plusMs(WorkerRelay::kMaxBasisAgeMs + 1);
  mRelay.onOrders(startBasedOn(1000));
  BOOST_TEST(mRecord.orders.empty());
  mRelay.onOrders(startBasedOn(1000 + WorkerRelay::kMaxBasisAgeMs));
  BOOST_TEST(mRecord.orders.size() == 1u);
}

// Guards against a status report of another writer that displaces a live worker for good.
BOOST_FIXTURE_TEST_CASE(registration_does_not_displace_a_worker_in_touch, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  answerListRequest();
  mRelay.onRegistration(workerDescription("other", 900), "127.0.0.1:2", 1);
  mRelay.tick();
  BOOST_TEST(mReports.back().worker().workerId() == "w");
  mRelay.onOrders(workerOrders(7, 5, "c.0.0.0"));
  BOOST_TEST(mRecord.orders.size() == 1u);
}

// The registration of a successor may arrive before the end of the connections to its predecessor.
BOOST_FIXTURE_TEST_CASE(successor_takes_over_when_the_worker_is_lost, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onOrders(workerOrders(7));
  answerListRequest();
  mNow = mNow.plusMs(WorkerRelay::kListRefreshMs);
  mRelay.tick();
  mRelay.onRegistration(workerDescription("w", 6), "127.0.0.1:1", 1);
  BOOST_TEST(mReports.back().worker().bornMs() == 5);
  failListRequest(ErrorCode::eUnavailable);
  mRelay.tick();
  BOOST_TEST(mReports.back().worker().bornMs() == 6);
}

BOOST_FIXTURE_TEST_CASE(incarnation_without_orders_gives_way_to_an_earlier_one, RelayFixture)
{
  mRelay.onRegistration(workerDescription("other", 900), "127.0.0.1:2", 1);
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  BOOST_TEST(mReports.back().worker().workerId() == "other");
  mNow = mNow.plusMs(WorkerRelay::kNoOrdersMs);
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 2);
  BOOST_TEST(mReports.back().worker().workerId() == "w");
}

// Guards against a report that grows over the message limit while there is no session, and is then
// never sent.
BOOST_FIXTURE_TEST_CASE(answers_are_reported_in_messages_of_bounded_size, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 1);
  mHasSession = false;
  constexpr std::size_t kAnswers = WorkerRelay::kMaxReportedAnswers + 1;
  for (std::size_t index = 0; index < kAnswers; index++) {
    mRelay.onOrders(workerOrders(7, 5, "c.0.0." + std::to_string(index)));
  }
  mHasSession = true;
  mReports.clear();
  std::size_t reported = 0;
  for (int round = 0; round < 2; round++) {
    mNow = mNow.plusMs(WorkerRelay::kAnswerBatchMs);
    mRelay.tick();
    BOOST_TEST(mReports.back().answers().size() <= WorkerRelay::kMaxReportedAnswers);
    reported += mReports.back().answers().size();
  }
  BOOST_TEST(reported == kAnswers);
}

// Guards against blaming a run that ended while the relay stood still, before the crash.
BOOST_FIXTURE_TEST_CASE(suspects_are_certain_only_after_fresh_lists, RelayFixture)
{
  for (const std::int64_t gapMs : { WorkerRelay::kFreshListsMs, WorkerRelay::kFreshListsMs + 1 }) {
    mRelay.onRegistration(workerDescription("w", 5 + gapMs), "127.0.0.1:1", 1);
    mRelay.onOrders(workerOrders(7, 5 + gapMs));
    answerListRequest(5 + gapMs);
    mRelay.onOrders(workerOrders(7, 5 + gapMs, "c.0.0.0"));
    mRelay.tick();
    mNow = mNow.plusMs(gapMs);
    failListRequest(ErrorCode::eUnavailable);
    mNow = mNow.plusMs(WorkerRelay::kListRefreshMs);
    mRelay.tick();
    failListRequest(ErrorCode::eRefused);
    BOOST_REQUIRE(!mReports.back().crashSuspects().empty());
    BOOST_TEST(mReports.back().crashSuspects().front().certain() ==
               (gapMs == WorkerRelay::kFreshListsMs));
  }
}

// Guards against a relay that delays its restart though its worker stays.
BOOST_FIXTURE_TEST_CASE(relay_of_a_worker_that_stays_exits_at_once, RelayFixture)
{
  mRelay.stop();
  BOOST_TEST(mRelay.mayExit());
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  BOOST_TEST(mRelay.mayExit());
}

// Guards against the end of a worker that no leader has committed when its relay exits.
BOOST_FIXTURE_TEST_CASE(relay_of_a_departed_worker_reports_it_until_it_is_released, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 1);
  mRelay.stop();
  BOOST_TEST(!mRelay.mayExit(), "the worker is still there");
  mHasSession = false;
  mRelay.onDeregistration("w");
  mHasSession = true;
  mNow = mNow.plusMs(WorkerRelay::kRepeatDepartureMs);
  mRelay.tick();
  BOOST_REQUIRE(!mReports.empty());
  BOOST_TEST(mReports.back().worker().gone());
  BOOST_TEST(!mRelay.mayExit());
  mRelay.onOrders(
    valueOf(WorkerOrders::create({ .worker = "w", .bornMs = 5, .fence = 1, .released = true })));
  BOOST_TEST(mRelay.mayExit());
  mReports.clear();
  mNow = mNow.plusMs(WorkerRelay::kRepeatDepartureMs);
  mRelay.tick();
  BOOST_TEST(mReports.empty());
}

// Guards against a relay that never exits because no leader answers.
BOOST_FIXTURE_TEST_CASE(relay_of_a_departed_worker_exits_in_time, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 1);
  mRelay.onDeregistration("w");
  mRelay.stop();
  const std::int64_t longestStopMs = RelayContext().longestStopMs;
  mNow = mNow.plusMs(longestStopMs - 1);
  mRelay.stop();
  BOOST_TEST(!mRelay.mayExit());
  mNow = mNow.plusMs(1);
  BOOST_TEST(mRelay.mayExit(), "a second signal does not put off the exit");
}

// Guards against a relay that waits for nothing: without an announcement the runs end with their
// lease.
BOOST_FIXTURE_TEST_CASE(relay_does_not_wait_for_a_worker_that_left_unannounced, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5), "127.0.0.1:1", 1);
  mRelay.onDeregistration("w");
  mRelay.stop();
  BOOST_TEST(mRelay.mayExit());
}

// Guards against a departure that a late registration takes back.
BOOST_FIXTURE_TEST_CASE(late_registration_of_a_departed_worker_is_ignored, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 1);
  mRelay.onDeregistration("w");
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 2);
  mNow = mNow.plusMs(WorkerRelay::kRepeatDepartureMs);
  mRelay.tick();
  BOOST_TEST(mReports.back().worker().gone());
  BOOST_TEST(mReports.back().goneForMs() == WorkerRelay::kRepeatDepartureMs);
}

// Guards against reports without end to leaders that do not release the relay.
BOOST_FIXTURE_TEST_CASE(departure_is_not_repeated_for_ever, RelayFixture)
{
  mRelay.onRegistration(workerDescription("w", 5, true), "127.0.0.1:1", 1);
  mRelay.onDeregistration("w");
  for (std::int64_t ms = 0; ms < WorkerRelay::kReportDepartureMs; ms += WorkerRelay::kTickMs) {
    mNow = mNow.plusMs(WorkerRelay::kTickMs);
    mRelay.tick();
  }
  mReports.clear();
  mNow = mNow.plusMs(2 * WorkerRelay::kRepeatDepartureMs);
  mRelay.tick();
  BOOST_TEST(mReports.empty());
  mRelay.onSession();
  BOOST_TEST(mReports.size() == 1u, "a new leader learns of it");
}

BOOST_AUTO_TEST_SUITE_END()
