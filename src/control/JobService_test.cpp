#include "control/OrderMessages.h"
#include "control/control_fixture_test.h"
#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <utility>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ConnectionId kRelay = 11;
constexpr ConnectionId kOtherRelay = 12;
constexpr ConnectionId kCaller = 21;
constexpr std::int64_t kWorkerClockMs = 50000;

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

/** A leader with a queue catalogue and the sessions of two relays. */
struct JobServiceFixture : ControlServiceFixture
{
  JobServiceFixture()
  {
    deliver(kCaller,
            buildValue<QueueCatalogueSubmit>(
              { .requestId = "c1",
                .catalogue = queueCatalogue(1, { jobQueue("urgent"), jobQueue("tally", 2) }) }));
    mSession = open(kRelay, admitRelay("relay-1"));
    mOtherSession = open(kOtherRelay, admitRelay("relay-2"));
    mSent.clear();
  }

  /** Advances the clock and sends heartbeats, so that the sessions of the relays stay open. */
  void waitWithHeartbeats(std::int64_t aMs)
  {
    constexpr std::int64_t kStepMs = 100;
    for (std::int64_t elapsedMs = 0; elapsedMs < aMs; elapsedMs += kStepMs) {
      heartbeat(kRelay, mSession, "relay-1");
      heartbeat(kOtherRelay, mOtherSession, "relay-2");
      advance(kStepMs);
    }
  }

  /** Sends a report of a worker and returns the orders in reply. */
  std::vector<WorkerOrders> report(ConnectionId aRelay,
                                   const WorkerDescription& aWorker,
                                   WorkerReport::Fields aReport = {})
  {
    aReport.worker = aWorker;
    takeMessages<WorkerOrders>(aRelay);
    deliver(aRelay, buildValue<WorkerReport>(std::move(aReport)));
    return takeMessages<WorkerOrders>(aRelay);
  }

  /** Reports a new worker, then its empty lists under the leader's fence, which is kept in mFence.
   */
  void registerWorker(ConnectionId aRelay, const WorkerDescription& aWorker)
  {
    const std::vector<WorkerOrders> orders = report(aRelay, aWorker);
    BOOST_REQUIRE(!orders.empty());
    mFence = orders.back().fence();
    report(aRelay, aWorker, { .listFence = mFence, .clockMs = kWorkerClockMs });
  }

  JobReply submit(const std::string& aRequestId,
                  const JobDescription& aJob,
                  const std::string& aQueue = "urgent")
  {
    deliver(kCaller,
            buildValue<JobSubmit>({ .requestId = aRequestId,
                                    .queue = buildValue<QueueSelector>({ .name = aQueue }),
                                    .job = aJob }));
    const std::vector<JobReply> replies = takeMessages<JobReply>(kCaller);
    BOOST_REQUIRE(replies.size() == 1u);
    return replies.front();
  }

  /** Whether the metrics contain the line, without the prefix of all names. */
  bool hasMetric(const std::string& aLine)
  {
    return mService.metricsText().find("magnoliadrum_" + aLine) != std::string::npos;
  }

  JobState stateOf(const std::string& aJobId) { return jobs().find(aJobId)->state(); }
  const JobRegistry& jobs() const { return mState.jobs(); }

  std::vector<StartOrder> takeStarts(ConnectionId aRelay)
  {
    std::vector<StartOrder> starts;
    for (const WorkerOrders& orders : takeMessages<WorkerOrders>(aRelay)) {
      starts.insert(starts.end(), orders.starts().begin(), orders.starts().end());
    }
    return starts;
  }

  /** The answer after which a worker never starts run 1 of the task, to an order to start or to
   * stop it. */
  static OrderAnswer closingAnswer(OrderKind aKind,
                                   const std::string& aTask,
                                   std::int64_t aClockMs = 0)
  {
    return buildValue<OrderAnswer>(
      { .kind = aKind,
        .task = aTask,
        .run = 1,
        .result = aKind == OrderKind::eStop ? OrderResult::eAccepted : OrderResult::eClosed,
        .clockMs = aClockMs });
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

/** A pool of three workers of which only w1 has room for a task. It starts what it is told to start
 * and either fails or keeps its runs. */
struct PoolFixture : JobServiceFixture
{
  static constexpr std::int64_t kStepMs = 100;

  PoolFixture()
  {
    for (const WorkerDescription& description : workers()) {
      registerWorker(kRelay, description);
      mFences[description.workerId()] = mFence;
    }
  }

  static std::vector<WorkerDescription> workers()
  {
    std::vector<WorkerDescription> workers = { worker("w1") };
    for (const char* name : { "w2", "w3" }) {
      WorkerDescription::Fields fields = worker(name).fields();
      fields.capacity = buildValue<Resources>({ .cpuMilli = 10, .memoryMb = 10000 });
      workers.push_back(buildValue<WorkerDescription>(std::move(fields)));
    }
    return workers;
  }

  void play(std::int64_t aMs)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMs; elapsedMs += kStepMs) {
      waitWithHeartbeats(kStepMs);
      mClockMs += kStepMs;
      takeStartedRuns(takeMessages<WorkerOrders>(kRelay));
      for (const WorkerDescription& description : workers()) {
        WorkerReport::Fields lists{ .listFence = mFences[description.workerId()],
                                    .clockMs = mClockMs };
        if (description.workerId() == "w1") {
          lists.ended = mEnds;
          for (const auto& [task, run] : mRuns) {
            lists.running.push_back(running(task, run));
          }
        }
        takeStartedRuns(report(kRelay, description, std::move(lists)));
      }
    }
  }

  void takeStartedRuns(const std::vector<WorkerOrders>& aOrders)
  {
    for (const WorkerOrders& orders : aOrders) {
      for (const StartOrder& start : orders.starts()) {
        const bool isNew = mStarted.emplace(start.task(), start.run()).second;
        if (isNew && mFailsRuns) {
          mEnds.push_back(ended(std::ssize(mEnds) + 1, start.task(), start.run(), RunEnd::eFailed));
        } else if (isNew) {
          mRuns[start.task()] = start.run();
        }
      }
    }
  }

  std::int64_t activeRuns(const std::string& aJobId) const
  {
    std::int64_t active = 0;
    jobs().find(aJobId)->forEachTask([&](const TaskId&, const JobTaskRecord::Fields& aRecord) {
      active += aRecord.active ? 1 : 0;
    });
    return active;
  }

  bool mFailsRuns = false;
  std::int64_t mClockMs = kWorkerClockMs;
  std::map<std::string, std::int64_t> mFences;
  std::map<std::string, std::int64_t> mRuns;
  std::set<std::pair<std::string, std::int64_t>> mStarted;
  std::vector<ListedEnd> mEnds;
};

/** A worker with room, and a caller that cancels jobs. */
struct CancelFixture : JobServiceFixture
{
  CancelFixture()
  {
    registerWorker(kRelay, worker("w1"));
    mSent.clear();
  }

  static QueueSelector selector() { return buildValue<QueueSelector>({ .name = "urgent" }); }

  JobReply cancel(const std::string& aJobId)
  {
    deliver(kCaller,
            buildValue<JobCancel>({ .requestId = "d", .queue = selector(), .jobId = aJobId }));
    return takeMessages<JobReply>(kCaller).at(0);
  }

  JobReply query(const std::string& aJobId)
  {
    deliver(kCaller,
            buildValue<JobQuery>({ .requestId = "q", .queue = selector(), .jobId = aJobId }));
    return takeMessages<JobReply>(kCaller).at(0);
  }
};

/** A worker w1 of the pool "desk" and a worker w2 of the pool "annex", and two queues whose pools
 * the test changes. */
struct TwoPoolsFixture : JobServiceFixture
{
  TwoPoolsFixture()
  {
    setPools("desk", "desk");
    registerWorker(kRelay, worker("w1"));
    mDeskFence = mFence;
    registerAnnexWorker();
    mSent.clear();
  }

  static WorkerDescription annexWorker()
  {
    WorkerDescription::Fields fields = worker("w2").fields();
    fields.poolName = "annex";
    return buildValue<WorkerDescription>(std::move(fields));
  }

  void registerAnnexWorker() { registerWorker(kOtherRelay, annexWorker()); }

  /** Sets the next version of the catalogue. A queue without a pool is removed. */
  void setPools(const std::string& aUrgentPool,
                const std::string& aTallyPool,
                const std::vector<std::string>& aPools = { "desk", "annex" })
  {
    const std::vector<JobQueue> queues =
      queuesInPools({ { jobQueue("urgent"), aUrgentPool }, { jobQueue("tally"), aTallyPool } });
    deliver(kCaller,
            buildValue<QueueCatalogueSubmit>(
              { .requestId = "c", .catalogue = queueCatalogue(++mVersion, queues, aPools) }));
    mSent[kCaller].clear();
  }

  std::string workerOf(const std::string& aJobId) const
  {
    const JobTaskRecord::Fields& record = *jobs().find(aJobId)->find({ aJobId, 0, 0, 0 });
    return record.active ? record.worker : "";
  }

  std::int64_t mVersion = 1;
  std::int64_t mDeskFence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(job_service)

// Guards against LOST: a job that was accepted before its queue got another pool waited for room in
// the old one, beside idle workers of the new one.
BOOST_FIXTURE_TEST_CASE(job_accepted_before_its_queue_moved_runs_in_the_new_pool, TwoPoolsFixture)
{
  commitJob(standingJobOf("full", 1, 4000));
  submit("s", jobOf("j", { stepOf(1, 1000, 10) }), "tally");
  BOOST_TEST(workerOf("j") == "");
  setPools("desk", "annex");
  BOOST_TEST(workerOf("j") == "w2");
  BOOST_TEST(workerOf("full") == "w1", "a run stays where it is");
  BOOST_TEST(takeStarts(kOtherRelay).size() == 1u, "ordered at once");
}

// As above, with a change of the leader between the acceptance and the new catalogue, and after it.
BOOST_FIXTURE_TEST_CASE(job_follows_its_queue_under_a_new_leader, TwoPoolsFixture)
{
  commitJob(standingJobOf("full", 1, 4000));
  submit("s", jobOf("j", { stepOf(1, 1000, 10) }), "tally");
  for (const char* pool : { "annex", "desk", "annex" }) {
    mLog.setLeader(false, mNow);
    mLog.setLeader(true, mNow);
    mSession = open(kRelay, admitRelay("relay-1"));
    mOtherSession = open(kOtherRelay, admitRelay("relay-2"));
    setPools("desk", pool);
  }
  registerAnnexWorker();
  BOOST_TEST(workerOf("j") == "w2");
}

// Guards against a second promise of the same room: what is promised to a job follows its queue,
// and the room that its tasks still take in the old pool is not free.
BOOST_FIXTURE_TEST_CASE(promised_room_follows_the_queue, TwoPoolsFixture)
{
  submit("s", standingJobOf("t", 1, 3000), "tally");
  BOOST_TEST(workerOf("t") == "w1");
  setPools("desk", "annex");
  BOOST_TEST((submit("s", standingJobOf("u", 1, 3000), "tally").outcome() == JobOutcome::eRefused));
  BOOST_TEST(
    (submit("s", standingJobOf("v", 1, 3000), "urgent").outcome() == JobOutcome::eRefused));
  report(kRelay,
         worker("w1"),
         { .listFence = mDeskFence,
           .clockMs = kWorkerClockMs + 10,
           .ended = { ended(1, "t.0.0.0", 1, RunEnd::eFailed) } });
  waitWithHeartbeats(100);
  BOOST_TEST(workerOf("t") == "w2");
  BOOST_TEST(
    (submit("s", standingJobOf("w", 1, 3000), "urgent").outcome() == JobOutcome::eAccepted));
}

// Guards against LOST: the job of a removed queue needs workers of a pool that was removed with it,
// and reports of such workers were ignored from their next incarnation on.
BOOST_FIXTURE_TEST_CASE(job_of_a_removed_queue_runs_on_a_new_worker_of_a_removed_pool,
                        TwoPoolsFixture)
{
  setPools("desk", "annex");
  commitJob(standingJobOf("full", 1, 4000), "tally");
  submit("s", jobOf("j", { stepOf(1, 1000, 10) }), "tally");
  setPools("desk", "", { "desk" });
  BOOST_TEST(workerOf("j") == "");
  WorkerDescription::Fields successor = annexWorker().fields();
  successor.workerId = "w3";
  registerWorker(kOtherRelay, buildValue<WorkerDescription>(std::move(successor)));
  BOOST_TEST(workerOf("j") == "w3");
}

// Guards against LOST and UNASKED: a job whose queue was removed runs on and can be cancelled.
BOOST_FIXTURE_TEST_CASE(job_of_a_removed_queue_runs_and_can_be_cancelled, TwoPoolsFixture)
{
  commitJob(standingJobOf("full", 1, 4000));
  submit("s", standingJobOf("t", 1, 1000), "tally");
  commitJob(jobOf("j", { stepOf(1, 1000, 10) }), "tally");
  setPools("desk", "annex");
  setPools("desk", "");
  BOOST_TEST(workerOf("j") == "w2");
  const QueueSelector selector =
    buildValue<QueueSelector>({ .host = "guild.example", .path = "/tally/j" });
  deliver(kCaller, buildValue<JobCancel>({ .requestId = "d", .queue = selector, .jobId = "j" }));
  BOOST_TEST((takeMessages<JobReply>(kCaller).at(0).outcome() == JobOutcome::eAccepted));
  BOOST_TEST((stateOf("j") == JobState::eCancelled));
}

BOOST_FIXTURE_TEST_CASE(a_job_runs_from_its_submission_to_its_completion, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  mSent.clear();
  BOOST_TEST(
    (submit("s1", jobOf("j", { stepOf(1, 1000, 10) })).outcome() == JobOutcome::eAccepted));
  const std::vector<StartOrder> starts = takeStarts(kRelay);
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts.front().task() == "j.0.0.0");
  BOOST_TEST(starts.front().run() == 1);
  BOOST_TEST(starts.front().payload() == "payload of j");
  const auto orders = report(kRelay,
                             worker("w1"),
                             { .listFence = mFence,
                               .clockMs = kWorkerClockMs + 10,
                               .ended = { ended(1, "j.0.0.0", 1, RunEnd::eDone) } });
  BOOST_TEST((stateOf("j") == JobState::eCompleted));
  BOOST_TEST(orders.back().ackedEnds() == 1, "acknowledged once the end is committed");
}

// Guards against a status report of another writer that displaces a worker at its relay.
BOOST_FIXTURE_TEST_CASE(report_for_an_unknown_pool_is_ignored, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  WorkerDescription::Fields other = worker("w2", 900).fields();
  other.poolName = "unknown";
  const std::vector<WorkerOrders> orders =
    report(kRelay, buildValue<WorkerDescription>(std::move(other)));
  BOOST_TEST(orders.empty());
  mSent.clear();
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  BOOST_TEST(takeStarts(kRelay).size() == 1u);
}

// Guards against a denied job: its queue is removed after the job was accepted and before the
// caller, whose answer was lost, sends the request again.
BOOST_FIXTURE_TEST_CASE(job_is_known_after_its_queue_was_removed, JobServiceFixture)
{
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  deliver(kCaller,
          buildValue<QueueCatalogueSubmit>(
            { .requestId = "c2", .catalogue = queueCatalogue(2, { jobQueue("tally", 2) }) }));
  mSent.clear();
  BOOST_TEST(
    (submit("s2", jobOf("j", { stepOf(1, 1000, 10) })).outcome() == JobOutcome::eAccepted));
  BOOST_TEST(
    (submit("s3", jobOf("k", { stepOf(1, 1000, 10) })).outcome() == JobOutcome::eUnknownQueue));
  const auto query = [this](const std::string& aQueue) {
    deliver(kCaller,
            buildValue<JobQuery>({ .requestId = "q",
                                   .queue = buildValue<QueueSelector>({ .name = aQueue }),
                                   .jobId = "j" }));
    return takeMessages<JobReply>(kCaller).at(0).outcome();
  };
  BOOST_TEST((query("urgent") == JobOutcome::eKnown));
  BOOST_TEST((query("other") == JobOutcome::eUnknownQueue));
}

// Guards against tasks that never start because all orders that are due at once, for example after
// a standstill of the relay, exceed the message limit.
BOOST_FIXTURE_TEST_CASE(orders_larger_than_a_message_are_divided, JobServiceFixture)
{
  constexpr std::int64_t kTasks = 1300;
  constexpr std::size_t kPayloadBytes = 4000;
  registerWorker(kRelay, worker("w1"));
  JobDescription::Fields job = jobOf("j", { stepOf(kTasks, 1, 1) }).fields();
  job.payload = std::string(kPayloadBytes, 'x');
  submit("s1", buildValue<JobDescription>(std::move(job)));
  // The relay stands still, and all starts are due again with its next report.
  waitWithHeartbeats(RunTracker::kResendMs);
  std::size_t starts = 0;
  for (const WorkerOrders& orders :
       report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 10 })) {
    BOOST_TEST(encodeMessage(orders).size() <= kMaxOrderMessageBytes);
    starts += orders.starts().size();
  }
  BOOST_TEST(starts == std::size_t{ kTasks });
}

BOOST_FIXTURE_TEST_CASE(orders_that_could_not_be_sent_are_due_again_at_once, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  mRefusesMessages = true;
  deliver(kCaller,
          buildValue<JobSubmit>({ .requestId = "s1",
                                  .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                  .job = jobOf("j", { stepOf(1, 1000, 10) }) }));
  mRefusesMessages = false;
  const std::vector<WorkerOrders> orders =
    report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 10 });
  BOOST_REQUIRE(orders.size() == 1u);
  BOOST_TEST(orders.front().starts().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(an_end_is_not_acknowledged_before_it_is_committed, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  mSent.clear();
  mService.onMessage(
    kRelay,
    buildValue<WorkerReport>({ .worker = worker("w1"),
                               .listFence = mFence,
                               .clockMs = kWorkerClockMs + 10,
                               .ended = { ended(1, "j.0.0.0", 1, RunEnd::eDone) } }));
  for (const WorkerOrders& orders : takeMessages<WorkerOrders>(kRelay)) {
    BOOST_TEST(orders.ackedEnds() == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(a_worker_gets_no_run_before_it_has_sent_its_lists_under_the_fence,
                        JobServiceFixture)
{
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const auto orders = report(kRelay, worker("w1"));
  BOOST_TEST(orders.back().starts().empty());
  report(
    kRelay, worker("w1"), { .listFence = orders.back().fence() - 1, .clockMs = kWorkerClockMs });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
  report(kRelay, worker("w1"), { .listFence = orders.back().fence(), .clockMs = kWorkerClockMs });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

// Guards against the violations TWICE and LIMIT after a change of leader: an assignment of the
// previous leader is committed late, after the new leader has proposed the same run number for
// another worker.
BOOST_FIXTURE_TEST_CASE(a_second_assignment_of_a_run_gets_no_start_order, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  registerWorker(kOtherRelay, worker("w2"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const std::string first = jobs().find("j")->find({ "j", 0, 0, 0 })->worker;
  const std::string second = first == "w1" ? "w2" : "w1";
  mSent.clear();
  mLog.propose(
    buildValue<StartRuns>({ .runs = { buildValue<RunStart>(
                              { .task = "j.0.0.0", .run = 1, .worker = second, .bornMs = 1 }) } }),
    [](const CommandResult& /*aResult*/) {});
  runPostedFunctions();
  waitWithHeartbeats(RunTracker::kResendMs * 2);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->worker == first);
  BOOST_TEST(takeStarts(second == "w1" ? kRelay : kOtherRelay).empty());
}

BOOST_FIXTURE_TEST_CASE(a_lease_ends_at_a_time_of_the_workers_clock, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  const auto orders =
    report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 300 });
  BOOST_TEST(orders.back().leaseUntilMs() ==
             kWorkerClockMs + 300 + ControlServiceFixture::settings().workerLeaseMs());
}

BOOST_FIXTURE_TEST_CASE(a_silent_workers_runs_are_reassigned_only_after_its_lease,
                        JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  report(
    kRelay,
    worker("w1"),
    { .listFence = mFence, .clockMs = kWorkerClockMs + 10, .running = { running("j.0.0.0", 1) } });
  registerWorker(kOtherRelay, worker("w2"));
  const std::int64_t leaseMs = ControlServiceFixture::settings().workerLeaseMs();
  waitWithHeartbeats(leaseMs);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->worker == "w1");
  waitWithHeartbeats(leaseMs / 10);
  registerWorker(kOtherRelay, worker("w2"));
  const JobTaskRecord::Fields* record = jobs().find("j")->find({ "j", 0, 0, 0 });
  BOOST_TEST(record->worker == "w2");
  BOOST_TEST(record->run == 2);
  BOOST_TEST(record->checkpoint == "c",
             "it continues from the last checkpoint that the lost worker reported");
}

// Guards against a start order that is sent after the lease has expired. A relay that was
// disconnected still receives it later, and it would start a run that counts as ended.
BOOST_FIXTURE_TEST_CASE(a_lost_worker_gets_no_order_until_it_is_registered_again, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const std::int64_t fence = mFence;
  waitWithHeartbeats(ControlServiceFixture::settings().workerLeaseMs() * 11 / 10);
  BOOST_TEST(!jobs().find("j")->hasActiveRuns());
  mSent.clear();
  submit("s2", jobOf("k", { stepOf(1, 1000, 10) }));
  waitWithHeartbeats(500);
  BOOST_TEST(takeMessages<WorkerOrders>(kRelay).empty());
  BOOST_TEST(jobs().find("k")->find({ "k", 0, 0, 0 })->run == 0);
  const auto orders =
    report(kRelay, worker("w1"), { .listFence = fence, .clockMs = kWorkerClockMs + 9000 });
  BOOST_REQUIRE(!orders.empty());
  BOOST_TEST(orders.back().fence() > fence);
  BOOST_TEST(orders.back().starts().empty());
}

BOOST_FIXTURE_TEST_CASE(an_unanswered_start_order_does_not_create_a_new_run, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  mSent.clear();
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  BOOST_TEST(takeStarts(kRelay).size() == 1u);
  waitWithHeartbeats(RunTracker::kResendMs);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 10 });
  const auto orders =
    report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 20 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

// The next run number is assigned only after a list that is newer than the worker's refusal and
// does not contain the run.
BOOST_FIXTURE_TEST_CASE(a_closed_run_ends_only_after_a_later_list, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const OrderAnswer closed = closingAnswer(OrderKind::eStart, "j.0.0.0", kWorkerClockMs + 50);
  report(kRelay, worker("w1"), { .answers = { closed } });
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 40 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 60 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 2);
}

// Guards against TWICE: a start took effect late, in the millisecond in which the run was closed,
// and lists with the same clock reading, made before, were taken for evidence that it never began.
BOOST_FIXTURE_TEST_CASE(lists_with_the_clock_of_a_closing_answer_end_no_run, JobServiceFixture)
{
  for (const OrderKind kind : { OrderKind::eStop, OrderKind::eStart }) {
    BOOST_TEST_CONTEXT(toText(kind))
    {
      const std::string job = std::string("j-") + toText(kind);
      const std::string task = job + ".0.0.0";
      registerWorker(kRelay, worker("w1", mNow.ms()));
      const WorkerDescription current = worker("w1", mNow.ms());
      submit("s-" + job, jobOf(job, { stepOf(1, 1000, 10) }));
      constexpr std::int64_t kClosedAtMs = kWorkerClockMs + 50;
      report(kRelay, current, { .answers = { closingAnswer(kind, task, kClosedAtMs) } });
      report(kRelay, current, { .listFence = mFence, .clockMs = kClosedAtMs });
      BOOST_TEST(jobs().find(job)->find({ job, 0, 0, 0 })->run == 1);
      report(kRelay,
             current,
             { .listFence = mFence,
               .clockMs = kClosedAtMs + 1,
               .ended = { ended(1, task, 1, RunEnd::eDone) } });
      BOOST_TEST((stateOf(job) == JobState::eCompleted));
      waitWithHeartbeats(100);
    }
  }
}

// Guards against TWICE: a closing answer without a readable clock was older than all lists, so the
// next ones ended a run that was being stopped.
BOOST_FIXTURE_TEST_CASE(closing_answer_without_a_clock_reading_ends_no_run, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const std::vector<WorkerOrders> orders =
    report(kRelay, worker("w1"), { .answers = { closingAnswer(OrderKind::eStart, "j.0.0.0") } });
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 10 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
  BOOST_TEST(orders.back().stops().size() == 1u, "a stop is answered with a clock reading");
}

// Guards against LIMIT: the room of a run that was being stopped was taken for free on the evidence
// of lists with the clock reading of the accepted stop, made before the run began late.
BOOST_FIXTURE_TEST_CASE(lists_with_the_clock_of_an_accepted_stop_free_no_room, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("low", { stepOf(1, 3000, 10) }), "tally");
  submit("s2", jobOf("high", { stepOf(1, 3000, 10) }));
  const OrderAnswer stopped = closingAnswer(OrderKind::eStop, "low.0.0.0", kWorkerClockMs + 50);
  report(kRelay, worker("w1"), { .answers = { stopped } });
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 50 });
  report(kRelay,
         worker("w1"),
         { .listFence = mFence,
           .clockMs = kWorkerClockMs + 51,
           .running = { running("low.0.0.0", 1) } });
  BOOST_TEST(jobs().find("high")->find({ "high", 0, 0, 0 })->run == 0, "the room is still in use");
  report(kRelay,
         worker("w1"),
         { .listFence = mFence,
           .clockMs = kWorkerClockMs + 900,
           .ended = { ended(1, "low.0.0.0", 1, RunEnd::eStopped) } });
  BOOST_TEST(jobs().find("high")->find({ "high", 0, 0, 0 })->run == 1);
}

// Guards against a second run of a task that is done: a worker lists only its oldest ends at a
// time, so a confirmed run that is in neither list may be among the others.
BOOST_FIXTURE_TEST_CASE(a_run_missing_from_truncated_lists_is_neither_stopped_nor_ended,
                        JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  std::int64_t clockMs = kWorkerClockMs;
  report(kRelay,
         worker("w1"),
         { .listFence = mFence, .clockMs = clockMs, .running = { running("j.0.0.0", 1) } });
  mSent.clear();
  constexpr std::int64_t kStepMs = 200;
  for (std::int64_t elapsedMs = 0; elapsedMs <= RunTracker::kMissingTimeoutMs * 2;
       elapsedMs += kStepMs) {
    waitWithHeartbeats(kStepMs);
    clockMs += kStepMs;
    const auto orders = report(
      kRelay, worker("w1"), { .listFence = mFence, .clockMs = clockMs, .hasMoreEnds = true });
    BOOST_REQUIRE(!orders.empty());
    BOOST_REQUIRE(orders.back().stops().empty());
  }
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

BOOST_FIXTURE_TEST_CASE(a_later_incarnation_replaces_the_earlier_one_after_sending_its_lists,
                        JobServiceFixture)
{
  registerWorker(kRelay, worker("w1", 1));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  const auto orders = report(kRelay, worker("w1", 2));
  BOOST_TEST(orders.back().fence() > mFence);
  waitWithHeartbeats(100);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->bornMs == 1);
  report(kRelay, worker("w1", 2), { .listFence = orders.back().fence(), .clockMs = 10 });
  waitWithHeartbeats(100);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->bornMs == 2);
  BOOST_TEST(report(kRelay, worker("w1", 1)).empty(),
             "reports of the earlier incarnation are ignored");
}

BOOST_FIXTURE_TEST_CASE(a_draining_worker_gets_no_new_run, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  WorkerDescription::Fields leaving = worker("w1").fields();
  leaving.draining = true;
  report(kRelay, buildValue<WorkerDescription>(leaving));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  waitWithHeartbeats(200);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
}

BOOST_FIXTURE_TEST_CASE(a_cancelled_jobs_runs_are_stopped_at_once, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(2, 1000, 10) }));
  mSent.clear();
  deliver(kCaller,
          buildValue<JobCancel>({ .requestId = "d1",
                                  .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                  .jobId = "j" }));
  std::size_t stops = 0;
  for (const WorkerOrders& orders : takeMessages<WorkerOrders>(kRelay)) {
    stops += orders.stops().size();
  }
  BOOST_TEST(stops == 2u);
  BOOST_TEST((stateOf("j") == JobState::eCancelled));
}

// Guards against UNASKED: a gateway that stood still hands a job in after its caller has cancelled
// it at another gateway, whose answer said that the job is unknown.
BOOST_FIXTURE_TEST_CASE(job_cancelled_before_its_submission_never_runs, CancelFixture)
{
  BOOST_TEST((cancel("j").outcome() == JobOutcome::eUnknownJob));
  BOOST_TEST((query("j").outcome() == JobOutcome::eUnknownJob), "nobody has submitted it");
  mLog.setLeader(false, mNow);
  mLog.setLeader(true, mNow);
  mSession = open(kRelay, admitRelay("relay-1"));
  registerWorker(kRelay, worker("w1"));
  mSent.clear();
  BOOST_TEST((submit("s", standingJobOf("j", 1, 1000)).outcome() == JobOutcome::eAccepted));
  BOOST_TEST((query("j").state() == JobState::eCancelled));
  waitWithHeartbeats(1000);
  BOOST_TEST(takeStarts(kRelay).empty());
  BOOST_TEST((cancel("j").outcome() == JobOutcome::eAccepted), "the cancelling is sent again");
}

// Guards against UNASKED: the submission is proposed and not committed when the cancelling comes.
BOOST_FIXTURE_TEST_CASE(cancelling_covers_a_submission_that_is_not_committed, CancelFixture)
{
  mHoldsPostedFunctions = true;
  deliver(kCaller,
          buildValue<JobSubmit>(
            { .requestId = "s", .queue = selector(), .job = standingJobOf("j", 1, 1000) }));
  deliver(kCaller, buildValue<JobCancel>({ .requestId = "d", .queue = selector(), .jobId = "j" }));
  BOOST_TEST(takeMessages<JobReply>(kCaller).empty(), "nothing is in the log yet");
  mHoldsPostedFunctions = false;
  runPostedFunctions();
  BOOST_TEST((stateOf("j") == JobState::eCancelled));
  BOOST_TEST((takeMessages<JobReply>(kCaller).back().outcome() == JobOutcome::eAccepted));
}

// Guards against room that stays promised to a job that was cancelled before its submission.
BOOST_FIXTURE_TEST_CASE(job_cancelled_before_its_submission_is_promised_no_room, CancelFixture)
{
  mHoldsPostedFunctions = true;
  deliver(kCaller, buildValue<JobCancel>({ .requestId = "d", .queue = selector(), .jobId = "j" }));
  deliver(kCaller,
          buildValue<JobSubmit>(
            { .requestId = "s", .queue = selector(), .job = standingJobOf("j", 1, 3000) }));
  mHoldsPostedFunctions = false;
  runPostedFunctions();
  BOOST_TEST((stateOf("j") == JobState::eCancelled));
  mSent.clear();
  BOOST_TEST((submit("t", standingJobOf("k", 1, 3000)).outcome() == JobOutcome::eAccepted));
}

// Guards against acknowledged cancellings that are forgotten, and against a lock-out of callers
// that cancel a job that is known.
BOOST_FIXTURE_TEST_CASE(cancelling_that_cannot_be_kept_is_not_acknowledged, CancelFixture)
{
  submit("s", jobOf("known", { stepOf(1, 1000, 10) }));
  BOOST_TEST((cancel("first").outcome() == JobOutcome::eUnknownJob));
  for (std::size_t index = 1; index < CancelledIds::kMaxIds; index++) {
    mLog.propose(buildValue<CancelJob>(
                   { .jobId = "unknown" + std::to_string(index), .cancelledAtMs = mWallClockMs() }),
                 [](const CommandResult&) {});
    runPostedFunctions();
  }
  const JobReply refused = cancel("last");
  BOOST_TEST((refused.outcome() == JobOutcome::eRefused));
  BOOST_TEST(refused.retryAfterMs() == CancelledIds::kKeepMs);
  BOOST_TEST((cancel("first").outcome() == JobOutcome::eUnknownJob));
  BOOST_TEST((cancel("known").outcome() == JobOutcome::eAccepted));
  BOOST_TEST((stateOf("known") == JobState::eCancelled));
}

BOOST_FIXTURE_TEST_CASE(a_run_that_is_not_assigned_to_the_worker_is_stopped, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  const auto orders = report(
    kRelay,
    worker("w1"),
    { .listFence = mFence, .clockMs = kWorkerClockMs + 10, .running = { running("x.0.0.0", 3) } });
  BOOST_REQUIRE(!orders.empty());
  std::size_t stops = 0;
  for (const WorkerOrders& order : orders) {
    stops += order.stops().size();
  }
  BOOST_TEST(stops == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_new_leader_continues_the_active_runs, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(2, 1000, 10) }));
  const std::int64_t oldFence = mFence;
  mLog.setLeader(false, mNow);
  mLog.setLeader(true, mNow);
  open(kRelay, admitRelay("relay-1"));
  const auto orders = report(kRelay, worker("w1"));
  BOOST_TEST(orders.back().fence() > oldFence);
  const auto next = report(kRelay,
                           worker("w1"),
                           { .listFence = orders.back().fence(),
                             .clockMs = kWorkerClockMs + 500,
                             .running = { running("j.0.0.0", 1) } });
  std::vector<StartOrder> starts;
  for (const WorkerOrders& order : next) {
    starts.insert(starts.end(), order.starts().begin(), order.starts().end());
  }
  BOOST_REQUIRE(starts.size() == 1u);
  BOOST_TEST(starts.front().task() == "j.0.0.1", "the first order may have been lost");
  BOOST_TEST(starts.front().run() == 1);
}

// Guards against a start that reaches the worker after the acknowledgement of the run's end: only
// the worker's memory of the run then keeps it from a second start.
BOOST_FIXTURE_TEST_CASE(new_leader_orders_no_start_of_a_run_that_is_listed_as_ended,
                        JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(2, 1000, 10) }));
  mLog.setLeader(false, mNow);
  mLog.setLeader(true, mNow);
  open(kRelay, admitRelay("relay-1"));
  const std::vector<WorkerOrders> orders = report(kRelay, worker("w1"));
  const std::vector<WorkerOrders> next =
    report(kRelay,
           worker("w1"),
           { .listFence = orders.back().fence(),
             .clockMs = kWorkerClockMs + 500,
             .running = { running("j.0.0.1", 1) },
             .ended = { ended(1, "j.0.0.0", 1, RunEnd::eDone) } });
  for (const WorkerOrders& order : next) {
    BOOST_TEST(order.starts().empty());
  }
  BOOST_TEST(next.back().ackedEnds() == 1);
}

BOOST_FIXTURE_TEST_CASE(unknown_jobs_and_queues_are_reported, JobServiceFixture)
{
  deliver(kCaller,
          buildValue<JobQuery>({ .requestId = "q1",
                                 .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                 .jobId = "none" }));
  BOOST_TEST((takeMessages<JobReply>(kCaller).at(0).outcome() == JobOutcome::eUnknownJob));
  deliver(kCaller,
          buildValue<QueueQuery>(
            { .requestId = "q2", .queue = buildValue<QueueSelector>({ .name = "none" }) }));
  BOOST_TEST((takeMessages<JobReply>(kCaller).at(0).outcome() == JobOutcome::eUnknownQueue));
}

BOOST_FIXTURE_TEST_CASE(jobs_without_a_started_task_are_counted_as_waiting, JobServiceFixture)
{
  submit("s1", jobOf("a", { stepOf(1, 1000, 10) }));
  submit("s2", jobOf("b", { stepOf(1, 1000, 10) }));
  registerWorker(kRelay, worker("w1"));
  report(
    kRelay,
    worker("w1"),
    { .listFence = mFence, .clockMs = kWorkerClockMs + 10, .running = { running("a.0.0.0", 1) } });
  deliver(kCaller,
          buildValue<QueueQuery>(
            { .requestId = "q1", .queue = buildValue<QueueSelector>({ .name = "urgent" }) }));
  BOOST_TEST(takeMessages<JobReply>(kCaller).at(0).waiting() == 1);
}

BOOST_FIXTURE_TEST_CASE(an_invalid_queue_catalogue_is_rejected, JobServiceFixture)
{
  deliver(
    kCaller,
    buildValue<QueueCatalogueSubmit>(
      { .requestId = "c2", .catalogue = queueCatalogue(9, { jobQueue("a"), jobQueue("a") }) }));
  const std::vector<OperationFailed> failed = takeMessages<OperationFailed>(kCaller);
  BOOST_REQUIRE(failed.size() == 1u);
  BOOST_TEST((failed.front().code() == FailureCode::eInvalid));
  BOOST_TEST(jobs().catalogue()->version() == 1);
}

// Guards against runs that wait for the end of a crashed worker: it is the emptiest one in sight,
// and its relay goes on reporting.
BOOST_FIXTURE_TEST_CASE(a_worker_that_accepts_no_connections_gets_no_new_run, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  report(kRelay, worker("w1"), { .unreachable = true });
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  waitWithHeartbeats(200);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 300 });
  waitWithHeartbeats(100);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1, "a reset connection passes");
}

// Guards against LIMIT: a run that the log does not place on the worker takes capacity until it has
// been stopped, and its size is unknown.
BOOST_FIXTURE_TEST_CASE(a_worker_with_an_unassigned_run_gets_no_new_run, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  report(
    kRelay,
    worker("w1"),
    { .listFence = mFence, .clockMs = kWorkerClockMs + 10, .running = { running("x.0.0.0", 3) } });
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  waitWithHeartbeats(200);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 300 });
  waitWithHeartbeats(100);
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

// Guards against LIMIT: of two lists with the same clock reading the one that arrives last, from an
// earlier process of the relay, was read first and lacks the unassigned run.
BOOST_FIXTURE_TEST_CASE(lists_of_the_same_clock_reading_do_not_hide_an_unassigned_run,
                        JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  report(kRelay,
         worker("w1"),
         { .listFence = mFence,
           .clockMs = kWorkerClockMs + 10,
           .running = { running("gone.0.0.0", 1) } });
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 10 });
  commitJob(jobOf("j", { stepOf(1, 4000, 10) }));
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 0);
  report(kRelay, worker("w1"), { .listFence = mFence, .clockMs = kWorkerClockMs + 11 });
  BOOST_TEST(jobs().find("j")->find({ "j", 0, 0, 0 })->run == 1);
}

// Guards against LIMIT: the start of a run that was assigned before is repeated beside an
// unassigned one.
BOOST_FIXTURE_TEST_CASE(a_worker_with_an_unassigned_run_gets_no_start_order, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", jobOf("j", { stepOf(1, 1000, 10) }));
  waitWithHeartbeats(RunTracker::kResendMs);
  std::size_t starts = 0;
  for (const WorkerOrders& orders : report(kRelay,
                                           worker("w1"),
                                           { .listFence = mFence,
                                             .clockMs = kWorkerClockMs + 10,
                                             .running = { running("x.0.0.0", 3) } })) {
    starts += orders.starts().size();
  }
  BOOST_TEST(starts == 0u);
}

// Guards against a worker that stays limited because it runs nothing but standing tasks, which
// never end well.
BOOST_FIXTURE_TEST_CASE(a_standing_run_that_works_ends_the_limit_of_its_worker, PoolFixture)
{
  mFailsRuns = true;
  submit("s1", jobOf("a", { stepOf(4, 1000, 10) }));
  play(2000);
  BOOST_REQUIRE((stateOf("a") == JobState::eFailed));
  mFailsRuns = false;
  submit("s2", standingJobOf("s", 1, 1000));
  play(WorkerReliability::kStandingSuccessMs / 2);
  BOOST_REQUIRE(activeRuns("s") == 1);
  submit("s3", jobOf("b", { stepOf(3, 1000, 10) }));
  play(500);
  BOOST_TEST(activeRuns("b") <= 1, "the worker is limited");
  play(2500);
  BOOST_TEST(activeRuns("b") == 3);
}

// Guards against a standing task that is started again and again on a worker that fails it, and
// against a pause that keeps it from free room for seconds.
BOOST_FIXTURE_TEST_CASE(a_standing_task_that_fails_is_started_again_after_a_pause, PoolFixture)
{
  mFailsRuns = true;
  submit("s1", standingJobOf("s", 1, 1000));
  play(6000);
  BOOST_TEST(std::ssize(mStarted) <= 6);
  BOOST_TEST(std::ssize(mStarted) >= 4);
}

// Guards against room that no measurement shows: two runs have ended at their workers, and the
// leader takes long to commit the ends while a standing task waits.
BOOST_FIXTURE_TEST_CASE(room_of_ended_runs_and_the_steps_to_its_use_are_measured, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  const std::int64_t fence = mFence;
  registerWorker(kRelay, worker("w2"));
  commitJob(standingJobOf("a", 2, 4000));
  commitJob(standingJobOf("t", 1, 4000));
  std::map<std::string, std::string> tasks;
  for (const char* name : { "a.0.0.0", "a.0.0.1" }) {
    tasks[jobs().find("a")->find(*TaskId::parse(name))->worker] = name;
  }
  BOOST_REQUIRE(tasks.size() == 2u);
  std::int64_t clockMs = kWorkerClockMs;
  const auto listsOf = [&](const std::string& aWorker) {
    return WorkerReport::Fields{ .worker = worker(aWorker),
                                 .listFence = aWorker == "w1" ? fence : mFence,
                                 .clockMs = clockMs };
  };
  for (std::int64_t elapsedMs = 0; elapsedMs <= StandingWaitMeter::kToleratedMs + 500;
       elapsedMs += 100) {
    waitWithHeartbeats(100);
    clockMs += 100;
    for (const auto& [name, task] : tasks) {
      WorkerReport::Fields lists = listsOf(name);
      lists.running = { running(task, 1) };
      deliver(kRelay, buildValue<WorkerReport>(std::move(lists)));
    }
  }
  BOOST_TEST(hasMetric("control_standing_wait_longest_seconds{room=\"twoWorkers\"} 0\n"));
  deliver(kCaller,
          buildValue<JobCancel>({ .requestId = "c2",
                                  .queue = buildValue<QueueSelector>({ .name = "urgent" }),
                                  .jobId = "a" }));
  for (const auto& [name, task] : tasks) {
    WorkerReport::Fields lists = listsOf(name);
    lists.ended = { ended(1, task, 1, RunEnd::eStopped) };
    // Without deliver() the ends stay uncommitted.
    mService.onMessage(kRelay, buildValue<WorkerReport>(std::move(lists)));
  }
  for (std::int64_t elapsedMs = 0; elapsedMs < 500; elapsedMs += 100) {
    mNow = mNow.plusMs(100);
    mService.tick();
  }
  BOOST_TEST(hasMetric("control_standing_wait_longest_seconds{room=\"twoWorkers\"} 0.5\n"));
  BOOST_TEST(hasMetric("control_run_stop_ms_count 2\n"));
  runPostedFunctions();
  BOOST_TEST(hasMetric("control_run_end_commit_ms_count 2\n"));
  BOOST_TEST(jobs().find("t")->find({ "t", 0, 0, 0 })->active);
  BOOST_TEST(hasMetric("control_freed_room_reuse_ms_count 1\n"));
}

// Guards against a wait that is not measured because the leader has not committed the end of the
// runs of a worker that has left.
BOOST_FIXTURE_TEST_CASE(task_of_a_worker_that_has_left_waits, JobServiceFixture)
{
  registerWorker(kRelay, worker("w1"));
  submit("s1", standingJobOf("s", 1, 1000));
  std::int64_t clockMs = kWorkerClockMs;
  const auto lists = [&]() {
    clockMs += 100;
    return WorkerReport::Fields{ .listFence = mFence,
                                 .clockMs = clockMs,
                                 .running = { running("s.0.0.0", 1) } };
  };
  report(kRelay, worker("w1"), lists());
  WorkerDescription::Fields gone = worker("w1").fields();
  gone.gone = true;
  report(kRelay, buildValue<WorkerDescription>(std::move(gone)));
  // Without posted functions the end of the run stays uncommitted.
  for (std::int64_t elapsedMs = 0; elapsedMs <= StandingWaitMeter::kToleratedMs + 500;
       elapsedMs += 100) {
    mNow = mNow.plusMs(100);
    mService.tick();
  }
  BOOST_REQUIRE(jobs().find("s")->find({ "s", 0, 0, 0 })->active);
  BOOST_TEST(hasMetric("control_standing_tasks_overdue 1\n"));
}

BOOST_AUTO_TEST_SUITE_END()
