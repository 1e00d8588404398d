#include "control/control_fixture_test.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ConnectionId kRelay = 11;
constexpr ConnectionId kOtherRelay = 12;
constexpr ConnectionId kCaller = 21;
constexpr std::int64_t kClockMs = 50000;

AdmitSession
admitRelay(const std::string& aProcessId)
{
  return buildValue<AdmitSession>(
    { .processId = aProcessId, .processKind = ProcessKind::eRelay, .incarnation = "i1" });
}

WorkerDescription
worker(const std::string& aId, std::int64_t aBornMs = 1)
{
  return buildValue<WorkerDescription>(
    { .workerId = aId,
      .bornMs = aBornMs,
      .poolName = "desk",
      .rack = "r1",
      .labels = { "a", "r1" },
      .capacity = buildValue<Resources>({ .cpuMilli = 4000, .memoryMb = 10000 }) });
}

/** A leader with a queue catalogue and two relays, each with a worker. */
struct JobHarness : ServiceHarness
{
  JobHarness()
  {
    deliver(kCaller,
            buildValue<QueueCatalogueSubmit>(
              { .requestId = "c1",
                .catalogue = queueCatalogue(1, { jobQueue("urgent"), jobQueue("tally", 2) }) }));
    mSession = open(kRelay, admitRelay("relay-1"));
    mOtherSession = open(kOtherRelay, admitRelay("relay-2"));
    mSent.clear();
  }

  /** Moves the clock while the sessions of the relays stay open. */
  void wait(std::int64_t aMs)
  {
    constexpr std::int64_t kStepMs = 100;
    for (std::int64_t done = 0; done < aMs; done += kStepMs) {
      heartbeat(kRelay, mSession, "relay-1");
      heartbeat(kOtherRelay, mOtherSession, "relay-2");
      advance(kStepMs);
    }
  }

  /** Reports a worker and returns the orders that follow. */
  std::vector<WorkerOrders> report(ConnectionId aRelay,
                                   const WorkerDescription& aWorker,
                                   WorkerReport::Fields aReport = {})
  {
    aReport.worker = aWorker;
    take<WorkerOrders>(aRelay);
    deliver(aRelay, buildValue<WorkerReport>(std::move(aReport)));
    return take<WorkerOrders>(aRelay);
  }

  /** Announces a worker and gives its (empty) lists under the fence of the leader. */
  void join(ConnectionId aRelay, const WorkerDescription& aWorker)
  {
    const std::vector<WorkerOrders> orders = report(aRelay, aWorker);
    BOOST_REQUIRE(!orders.empty());
    mFence = orders.back().fence();
    report(aRelay, aWorker, { .listFence = mFence, .clockMs = kClockMs });
  }

  JobReply submit(const std::string& aRequestId, const JobDescription& aJob)
  {
    deliver(kCaller,
            buildValue<JobSubmit>({ .requestId = aRequestId,
                                    .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                    .job = aJob }));
    const std::vector<JobReply> replies = take<JobReply>(kCaller);
    BOOST_REQUIRE(replies.size() == 1u);
    return replies.front();
  }

  JobState stateOf(const std::string& aJobId) { return jobs().find(aJobId)->state(); }
  const JobRegistry& jobs() const { return mState.jobs(); }

  std::vector<StartOrder> startsOn(ConnectionId aRelay)
  {
    std::vector<StartOrder> starts;
    for (const WorkerOrders& orders : take<WorkerOrders>(aRelay)) {
      starts.insert(starts.end(), orders.starts().begin(), orders.starts().end());
    }
    return starts;
  }

  static ListedRun running(const std::string& aTask, std::int64_t aRun)
  {
    return buildValue<ListedRun>({ .task = aTask, .run = aRun, .checkpoint = "c" });
  }

  static ListedEnd ended(std::int64_t aNumber,
                         const std::string& aTask,
                         std::int64_t aRun,
                         RunEnd aHow)
  {
    return buildValue<ListedEnd>({ .number = aNumber, .task = aTask, .run = aRun, .how = aHow });
  }

  std::int64_t mSession = 0;
  std::int64_t mOtherSession = 0;
  std::int64_t mFence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_service)

BOOST_FIXTURE_TEST_CASE(a_job_runs_from_its_submission_to_its_completion, JobHarness)
{
  join(kRelay, worker("w1"));
  mSent.clear();
  BOOST_TEST(
    (submit("s1", jobOf("j", { stepOf(1, 1000, 10) })).outcome() == JobOutcome::eAccepted));
  const std::vector<StartOrder> starts = startsOn(kRelay);
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts.front().task() == "j.0.0.0");
  BOOST_TEST(starts.front().run() == 1);
  BOOST_TEST(starts.front().payload() == "payload of j");
  const auto orders = report(kRelay,
                             worker("w1"),
                             { .listFence = mFence,
                               .clockMs = kClockMs + 10,
                               .ended = { ended(1, "j.0.0.0", 1, RunEnd::eDone) } });
  BOOST_TEST((stateOf("j") == JobState::eCompleted));
  BOOST_TEST(orders.back().ackedEnds() == 1, "acknowledged only once it is in the log");
}

BOOST_FIXTURE_TEST_CASE(an_end_is_not_acknowledged_before_it_is_in_the_log, JobHarness)
{
  join(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  mSent.clear();
  mService.onMessage(
    kRelay,
    buildValue<WorkerReport>({ .worker = worker("w1"),
                               .listFence = mFence,
                               .clockMs = kClockMs + 10,
                               .ended = { ended(1, "j.0.0.0", 1, RunEnd::eDone) } }));
  for (const WorkerOrders& orders : take<WorkerOrders>(kRelay)) {
    BOOST_TEST(orders.ackedEnds() == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(a_worker_gets_nothing_before_it_gave_its_lists_under_the_fence, JobHarness)
{
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const auto orders = report(kRelay, worker("w1"));
  BOOST_TEST(orders.back().starts().empty());
  report(kRelay, worker("w1"), { .listFence = orders.back().fence() - 1, .clockMs = kClockMs });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
  report(kRelay, worker("w1"), { .listFence = orders.back().fence(), .clockMs = kClockMs });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

// Guards against TWICE and LIMIT after a change of leader: an assignment of the predecessor is
// committed late, when this leader has already proposed another one with the same run number for
// another worker.
BOOST_FIXTURE_TEST_CASE(of_two_assignments_of_a_run_only_the_first_is_ordered, JobHarness)
{
  join(kRelay, worker("w1"));
  join(kOtherRelay, worker("w2"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const std::string first = jobs().find("j")->find({ "j", 0, 0, 0 })->worker;
  const std::string second = first == "w1" ? "w2" : "w1";
  mSent.clear();
  mLog.propose(
    buildValue<StartRuns>({ .runs = { buildValue<RunStart>(
                              { .task = "j.0.0.0", .run = 1, .worker = second, .bornMs = 1 }) } }),
    [](const CommandResult& /*aResult*/) {});
  settle();
  wait(RunTracker::kResendMs * 2);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->worker == first);
  BOOST_TEST(startsOn(second == "w1" ? kRelay : kOtherRelay).empty());
}

BOOST_FIXTURE_TEST_CASE(a_lease_is_counted_on_the_workers_clock, JobHarness)
{
  join(kRelay, worker("w1"));
  const auto orders =
    report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kClockMs + 300 });
  BOOST_TEST(orders.back().leaseUntilMs() ==
             kClockMs + 300 + ServiceHarness::settings().workerLeaseMs());
}

BOOST_FIXTURE_TEST_CASE(a_silent_workers_runs_start_elsewhere_only_after_its_lease, JobHarness)
{
  join(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  report(kRelay,
         worker("w1"),
         { .listFence = mFence, .clockMs = kClockMs + 10, .running = { running("j.0.0.0", 1) } });
  join(kOtherRelay, worker("w2"));
  const std::int64_t leaseMs = ServiceHarness::settings().workerLeaseMs();
  wait(leaseMs);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->worker == "w1");
  wait(leaseMs / 10);
  join(kOtherRelay, worker("w2"));
  const JobTaskRecord::Fields* record = jobs().find("j")->find({ "j", 0, 0, 0 });
  BOOST_TEST(record->worker == "w2");
  BOOST_TEST(record->run == 2);
  BOOST_TEST(record->checkpoint == "c", "it goes on from what the lost worker reported last");
}

// A relay that was cut off gets what was sent to it meanwhile. An order that was sent after the
// lease had ended would start a run that counts as ended.
BOOST_FIXTURE_TEST_CASE(a_lost_worker_gets_no_order_until_it_is_another_life, JobHarness)
{
  join(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const std::int64_t fence = mFence;
  wait(ServiceHarness::settings().workerLeaseMs() * 11 / 10);
  BOOST_TEST(!jobs().find("j")->hasActiveRuns());
  mSent.clear();
  submit("s2", jobOf("k", { stepOf(1, 1000, 10) }));
  wait(500);
  BOOST_TEST(take<WorkerOrders>(kRelay).empty());
  BOOST_TEST(jobs().find("k")->find({ "k", 0, 0, 0 })->run == 0);
  const auto orders =
    report(kRelay, worker("w1"), { .listFence = fence, .clockMs = kClockMs + 9000 });
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST(orders.back().fence() > fence);
  BOOST_TEST(orders.back().starts().empty());
}

BOOST_FIXTURE_TEST_CASE(an_order_without_an_answer_is_sent_again_with_the_same_run, JobHarness)
{
  join(kRelay, worker("w1"));
  mSent.clear();
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  BOOST_TEST(startsOn(kRelay).size() == 1u);
  wait(RunTracker::kResendMs);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kClockMs + 10 });
  const auto orders =
    report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kClockMs + 20 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

// The run number is only free again when a list that is newer than the refusal leaves it out.
BOOST_FIXTURE_TEST_CASE(a_closed_run_is_given_up_after_a_later_list, JobHarness)
{
  join(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const OrderAnswer closed = buildValue<OrderAnswer>({ .kind = OrderKind::eStart,
                                                       .task = "j.0.0.0",
                                                       .run = 1,
                                                       .result = OrderResult::eClosed,
                                                       .clockMs = kClockMs + 50 });
  report(kRelay, worker("w1"), { .answers = { closed } });
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kClockMs + 40 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kClockMs + 60 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 2);
}

BOOST_FIXTURE_TEST_CASE(a_later_life_ends_the_earlier_one_once_it_has_given_its_lists, JobHarness)
{
  join(kRelay, worker("w1", 1));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const auto orders = report(kRelay, worker("w1", 2));
  BOOST_TEST(orders.back().fence() > mFence);
  wait(100);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->bornMs == 1);
  report(kRelay, worker("w1", 2), { .listFence = orders.back().fence(), .clockMs = 10 });
  wait(100);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->bornMs == 2);
  BOOST_TEST(report(kRelay, worker("w1", 1)).empty(), "the earlier life is not taken back");
}

BOOST_FIXTURE_TEST_CASE(a_draining_worker_gets_no_new_run, JobHarness)
{
  join(kRelay, worker("w1"));
  WorkerDescription::Fields leaving = worker("w1").fields();
  leaving.draining = true;
  report(kRelay, buildValue<WorkerDescription>(leaving));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  wait(200);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_jobs_runs_are_stopped_at_once, JobHarness)
{
  join(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(2, 1000, 10) }));
  mSent.clear();
  deliver(kCaller,
          buildValue<JobCancel>({ .requestId = "d1",
                                  .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                  .jobId = "j" }));
  std::size_t stops = 0;
  for (const WorkerOrders& orders : take<WorkerOrders>(kRelay)) {
    stops += orders.stops().size();
  }
  BOOST_TEST(stops == 2u);
  BOOST_TEST((stateOf("j") == JobState::eCancelled));
}

BOOST_FIXTURE_TEST_CASE(a_run_that_is_not_assigned_there_is_stopped, JobHarness)
{
  join(kRelay, worker("w1"));
  const auto orders =
    report(kRelay,
           worker("w1"),
           { .listFence = mFence, .clockMs = kClockMs + 10, .running = { running("x.0.0.0", 3) } });
  BOOST_REQUIRE(!orders.empty());
  std::size_t stops = 0;
  for (const WorkerOrders& order : orders) {
    stops += order.stops().size();
  }
  BOOST_TEST(stops == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_new_leader_goes_on_with_the_runs_that_are_there, JobHarness)
{
  join(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(2, 1000, 10) }));
  const std::int64_t oldFence = mFence;
  mLog.setLeads(false, mNow);
  mLog.setLeads(true, mNow);
  open(kRelay, admitRelay("relay-1"));
  const auto orders = report(kRelay, worker("w1"));
  BOOST_TEST(orders.back().fence() > oldFence);
  const auto next = report(kRelay,
                           worker("w1"),
                           { .listFence = orders.back().fence(),
                             .clockMs = kClockMs + 500,
                             .running = { running("j.0.0.0", 1) } });
  std::vector<StartOrder> starts;
  for (const WorkerOrders& order : next) {
    starts.insert(starts.end(), order.starts().begin(), order.starts().end());
  }
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts.front().task() == "j.0.0.1", "its order may have been lost");
  BOOST_TEST(starts.front().run() == 1);
}

BOOST_FIXTURE_TEST_CASE(callers_hear_what_is_not_there, JobHarness)
{
  deliver(kCaller,
          buildValue<JobQuery>({ .requestId = "q1",
                                 .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                 .jobId = "none" }));
  BOOST_TEST((take<JobReply>(kCaller).at(0).outcome() == JobOutcome::eUnknownJob));
  deliver(kCaller,
          buildValue<QueueQuery>(
            { .requestId = "q2", .queue = buildValue<QueueSelector>({ .name = "none" }) }));
  BOOST_TEST((take<JobReply>(kCaller).at(0).outcome() == JobOutcome::eUnknownQueue));
}

BOOST_FIXTURE_TEST_CASE(jobs_without_a_start_are_counted_as_waiting, JobHarness)
{
  submit("s1", jobOf("a", { stepOf(1, 1000, 10) }));
  submit("s2", jobOf("b", { stepOf(1, 1000, 10) }));
  join(kRelay, worker("w1"));
  report(kRelay,
         worker("w1"),
         { .listFence = mFence, .clockMs = kClockMs + 10, .running = { running("a.0.0.0", 1) } });
  deliver(kCaller,
          buildValue<QueueQuery>(
            { .requestId = "q1", .queue = buildValue<QueueSelector>({ .name = "urgent" }) }));
  BOOST_TEST(take<JobReply>(kCaller).at(0).waiting() == 1);
}

BOOST_FIXTURE_TEST_CASE(an_invalid_catalogue_is_refused_with_its_faults, JobHarness)
{
  deliver(
    kCaller,
    buildValue<QueueCatalogueSubmit>(
      { .requestId = "c2", .catalogue = queueCatalogue(9, { jobQueue("a"), jobQueue("a") }) }));
  const std::vector<OperationFailed> failed = take<OperationFailed>(kCaller);
  BOOST_REQUIRE(failed.size() == 1u);
  BOOST_TEST((failed.front().code() == FailureCode::eInvalid));
  BOOST_TEST(jobs().catalogue()->version() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
