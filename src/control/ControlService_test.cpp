#include "control/control_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr ConnectionId kAgent = 1;
constexpr ConnectionId kOtherAgent = 2;
constexpr ConnectionId kGateway = 3;
/** At least the lease of 1,500 ms plus 1% clock drift, the margin of 100 ms and a tick. */
constexpr std::int64_t kExpiryMs = 1700;

/** Starts with the run kRun in state running at epoch 1 on vm-1. */
struct RunningTaskFixture : ControlServiceFixture
{
  RunningTaskFixture()
  {
    mSession = open(kAgent, admitWorker("vm-1", "i1"));
    submitRun();
    advance(200);
    report(kAgent, mSession, 1, TaskState::eRunning);
    mSent.clear();
  }

  std::int64_t mSession = 0;
};

} // namespace

// Covers the whole path of a run from submission to publication, which involves several classes.
BOOST_FIXTURE_TEST_CASE(run_is_placed_started_completed_and_published, ControlServiceFixture)
{
  const std::int64_t session = open(kAgent, admitWorker("vm-1", "i1"));
  submitRun();
  BOOST_TEST(takeMessages<TaskSubmitted>(kOperator).size() == 1U);
  advance(200);
  BOOST_TEST(takeMessages<TaskStart>(kAgent).size() == 1U);
  report(kAgent, session, 1, TaskState::eRunning);
  report(kAgent, session, 1, TaskState::eCompleted);
  BOOST_TEST(takeMessages<TaskReportAck>(kAgent).size() == 2U);
  advance(100);
  BOOST_TEST(takeMessages<TaskPublish>(kAgent).size() == 1U);
  report(kAgent, session, 1, TaskState::ePublished);
  BOOST_TEST((task().state() == TaskState::ePublished));
}

// Guards against a leader that ends all sessions when it starts to serve, because it applied its
// log for longer than a lease and no process could renew its session meanwhile.
BOOST_FIXTURE_TEST_CASE(sessions_outlive_the_time_in_which_a_new_leader_applies_its_log,
                        ControlServiceFixture)
{
  const std::int64_t session = open(kAgent, admitWorker("vm-1", "i1"));
  mLog.setLeader(false, mNow);
  mLog.setLeader(true, mNow.plusMs(-3000));
  advance(kExpiryMs - 200);
  BOOST_TEST((mState.sessions().find(session) != nullptr));
  advance(400);
  BOOST_TEST((mState.sessions().find(session) == nullptr));
}

// Guards against a process that loses the group when all replicas that it knew are replaced while
// its session stays open.
BOOST_FIXTURE_TEST_CASE(session_learns_replica_addresses_once_after_each_change,
                        ControlServiceFixture)
{
  const auto replicas = [](const std::string& aAddress) {
    return std::vector{ buildValue<ReplicaStatus>({ .replicaId = "r", .address = aAddress }) };
  };
  const auto renewedReplicas = [this]() {
    advance(600);
    heartbeat(kAgent, 1, "vm-1");
    const std::vector<SessionRenewed> renewed = takeMessages<SessionRenewed>(kAgent);
    BOOST_REQUIRE(renewed.size() == 1U);
    return renewed.front().replicas();
  };
  mLog.setReplicas(replicas("10.0.0.1:7"));
  BOOST_REQUIRE(open(kAgent, admitWorker("vm-1", "i1")) == 1);
  const std::vector<SessionGranted> granted = takeMessages<SessionGranted>(kAgent);
  BOOST_REQUIRE(granted.size() == 1U);
  BOOST_TEST(granted.front().replicas().at(0) == "10.0.0.1:7");
  BOOST_TEST(renewedReplicas().empty());
  mLog.setReplicas(replicas("10.0.0.2:7"));
  BOOST_TEST(renewedReplicas().at(0) == "10.0.0.2:7");
  BOOST_TEST(renewedReplicas().empty());
}

// Guards against starting a task a second time while the lease of its first session may be valid.
BOOST_FIXTURE_TEST_CASE(task_is_placed_elsewhere_only_after_the_session_expired, RunningTaskFixture)
{
  const std::int64_t other = open(kOtherAgent, admitWorker("vm-2", "i1"));
  for (int step = 0; step < 14; step++) {
    heartbeat(kOtherAgent, other, "vm-2");
    advance(100);
    BOOST_TEST(task().session() == mSession);
  }
  heartbeat(kOtherAgent, other, "vm-2");
  advance(600);
  heartbeat(kOtherAgent, other, "vm-2");
  BOOST_TEST(task().session() == other);
  BOOST_TEST(task().epoch() == 2);
  BOOST_TEST(takeMessages<TaskStart>(kOtherAgent).size() == 1U);
}

// Guards against a heartbeat or reopening that renews a lease after the session's end was proposed.
BOOST_FIXTURE_TEST_CASE(ending_session_is_not_renewed, RunningTaskFixture)
{
  mNow = mNow.plusMs(kExpiryMs);
  mService.tick();
  BOOST_TEST(mPostedFunctions.empty(), "the first tick after a blocked loop ends no session");
  mService.tick();
  mService.onMessage(kAgent,
                     buildValue<SessionHeartbeat>(
                       { .session = mSession, .processId = "vm-1", .sentAtMs = mNow.ms() }));
  BOOST_TEST(takeMessages<SessionRenewed>(kAgent).empty());
  BOOST_TEST(open(kAgent, admitWorker("vm-1", "i1")) == 0);
  runPostedFunctions();
  BOOST_TEST((task().state() == TaskState::ePending));
  BOOST_TEST(open(kAgent, admitWorker("vm-1", "i1")) > mSession);
}

// Guards against a leader change that loses sessions or tasks, and against orders that the old
// leader committed but never sent.
BOOST_FIXTURE_TEST_CASE(leader_change_keeps_sessions_and_tasks, RunningTaskFixture)
{
  mLog.setLeader(false, mNow);
  BOOST_TEST((takeMessages<SessionRefused>(kAgent).at(0).reason() == SessionRefusal::eNotLeader));
  heartbeat(kAgent, mSession, "vm-1");
  BOOST_TEST((takeMessages<SessionRefused>(kAgent).at(0).reason() == SessionRefusal::eNotLeader));
  advance(1000);
  mLog.setLeader(true, mNow);
  advance(kExpiryMs);
  const std::int64_t applied = mState.appliedIndex();
  BOOST_TEST(open(kOtherAgent, admitWorker("vm-1", "i1")) == mSession);
  BOOST_TEST(mState.appliedIndex() == applied);
  BOOST_TEST(task().session() == mSession);
  report(kOtherAgent, mSession, 1, TaskState::eCompleted);
  advance(100);
  BOOST_TEST(takeMessages<TaskPublish>(kOtherAgent).size() == 1U);
}

// Guards against a leader without a majority that grants leases unknown to its successor.
BOOST_FIXTURE_TEST_CASE(leader_without_majority_grants_no_lease_and_answers_no_query,
                        RunningTaskFixture)
{
  mLog.setLeaderLease(false);
  heartbeat(kAgent, mSession, "vm-1");
  BOOST_TEST(takeMessages<SessionRenewed>(kAgent).empty());
  BOOST_TEST(open(kOtherAgent, admitWorker("vm-2", "i1")) == 0);
  deliver(kOperator, buildValue<CatalogueQuery>({ .requestId = "q" }));
  BOOST_TEST((takeMessages<OperationFailed>(kOperator).at(0).code() == FailureCode::eUnavailable));
}

// Guards against an agent restart that stops or loses its placed tasks, or leaves a task running
// that is not placed there.
BOOST_FIXTURE_TEST_CASE(restarted_agent_keeps_placed_tasks_and_stops_the_others, RunningTaskFixture)
{
  const auto listed = [](const char* aTaskId) {
    return buildValue<RunningTask>({ .taskId = aTaskId, .epoch = 1 });
  };
  const std::int64_t session =
    open(kOtherAgent, admitWorker("vm-1", "i2", { listed(kRun), listed("recon/stray") }));
  BOOST_TEST(session > mSession);
  BOOST_TEST(task().session() == session);
  BOOST_TEST(
    (takeMessages<SessionRefused>(kAgent).at(0).reason() == SessionRefusal::eUnknownSession));
  advance(100);
  const std::vector<TaskStop> stops = takeMessages<TaskStop>(kOtherAgent);
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops[0].taskId() == "recon/stray");
}

// Guards against a report of an outdated epoch that is neither acknowledged nor answered with a
// stop: the agent would resend it forever, and the worker would keep a run that was placed again.
BOOST_FIXTURE_TEST_CASE(late_report_is_acknowledged_and_its_run_stopped, RunningTaskFixture)
{
  advance(kExpiryMs);
  const std::int64_t session = open(kAgent, admitWorker("vm-1", "i1"));
  advance(200);
  mSent.clear();
  const std::int64_t epoch = task().epoch();
  BOOST_TEST(epoch == 2);
  report(kAgent, session, 1, TaskState::eCompleted);
  BOOST_TEST(takeMessages<TaskReportAck>(kAgent).size() == 1U);
  BOOST_TEST((task().state() == TaskState::ePlaced));
  advance(100);
  const std::vector<TaskStop> stops = takeMessages<TaskStop>(kAgent);
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops[0].epoch() == 1);
}

// Guards against duplicate reports that change the state again or are not acknowledged, and against
// reports of agents that do not hold the task.
BOOST_FIXTURE_TEST_CASE(duplicate_reports_and_reports_of_other_agents_have_no_effect,
                        RunningTaskFixture)
{
  report(kAgent, mSession, 1, TaskState::eCompleted);
  report(kAgent, mSession, 1, TaskState::eCompleted);
  BOOST_TEST(takeMessages<TaskReportAck>(kAgent).size() == 2U);
  const std::int64_t other = open(kOtherAgent, admitWorker("vm-2", "i1"));
  report(kOtherAgent, other, 1, TaskState::eStopped);
  report(kOtherAgent, mSession, 1, TaskState::eStopped);
  BOOST_TEST((task().state() == TaskState::eCompleted));
}

// Guards against a change that is called in force before every session has reported it.
BOOST_FIXTURE_TEST_CASE(change_is_sent_and_in_force_once_the_heartbeat_reports_it,
                        ControlServiceFixture)
{
  const std::int64_t gateway = openGateway(kGateway, "g1");
  mSent.clear();
  change(entryChange("c1", 0, taskEntry("recon", EntryKind::eBatch).fields()));
  const std::vector<CatalogueUpdate> updates = takeMessages<CatalogueUpdate>(kGateway);
  BOOST_REQUIRE(updates.size() == 1U);
  BOOST_TEST(updates[0].toVersion() == 1);
  const auto inForce = [this]() {
    deliver(kOperator, buildValue<ChangeStatusQuery>({ .requestId = "q", .catalogueVersion = 1 }));
    return takeMessages<ChangeStatus>(kOperator).at(0).inForce();
  };
  BOOST_TEST(!inForce());
  heartbeat(kGateway, gateway, "g1", 1);
  BOOST_TEST(inForce());
}

// Guards against gateways that send requests to a drained or lost target.
BOOST_FIXTURE_TEST_CASE(target_updates_show_drained_and_lost_executors, ControlServiceFixture)
{
  const std::int64_t gateway = openGateway(kGateway, "g1");
  open(kAgent, admitExecutor("ex-1"));
  // Changes of the target table are sent once per tick.
  mService.tick();
  BOOST_TEST(takeMessages<TargetUpdate>(kGateway).back().targets().size() == 1U);
  deliver(
    kOperator,
    buildValue<TargetDrainRequest>({ .requestId = "d", .targetId = "ex-1", .draining = true }));
  mService.tick();
  BOOST_TEST(takeMessages<TargetUpdate>(kGateway).at(0).targets().at(0).leaving());
  for (int step = 0; step < 20; step++) {
    heartbeat(kGateway, gateway, "g1");
    advance(100);
  }
  BOOST_TEST(takeMessages<TargetUpdate>(kGateway).back().targets().empty());
}

// Guards against a request that runs twice because the attempts of two gateways are granted the
// same key.
BOOST_FIXTURE_TEST_CASE(intent_is_granted_once_and_answered_from_the_log, ControlServiceFixture)
{
  const auto begin = [this](const char* aAttempt) {
    deliver(kGateway,
            buildValue<IntentBegin>({ .requestId = aAttempt,
                                      .key = "k",
                                      .entryName = "pickup",
                                      .attempt = aAttempt,
                                      .requestDigest = "d" }));
    return takeMessages<IntentStatus>(kGateway).at(0);
  };
  BOOST_TEST(begin("a1").granted());
  BOOST_TEST(!begin("a2").granted());
  deliver(kGateway,
          buildValue<IntentEnd>({ .requestId = "e",
                                  .key = "k",
                                  .entryName = "pickup",
                                  .attempt = "a1",
                                  .outcome = IntentOutcome::eDone,
                                  .answer = buildValue<HttpAnswer>({ .status = 201 }) }));
  BOOST_TEST(begin("a2").intent()->answer()->status() == 201);
}

// Guards against a follower that answers from its own state, and against accepting message types
// that control does not handle.
BOOST_FIXTURE_TEST_CASE(follower_fails_queries_and_unexpected_message_closes_connection,
                        ControlServiceFixture)
{
  mLog.setLeader(false, mNow);
  deliver(kOperator, buildValue<StatusQuery>({ .requestId = "q" }));
  BOOST_TEST((takeMessages<OperationFailed>(kOperator).at(0).code() == FailureCode::eNotLeader));
  deliver(kOperator, buildValue<RequestRefused>({ .requestId = "r" }));
  BOOST_TEST((mClosed == std::vector<ConnectionId>{ kOperator }));
}

// Guards against an invalid change that is appended to the log or not answered.
BOOST_FIXTURE_TEST_CASE(invalid_change_is_answered_with_its_faults, ControlServiceFixture)
{
  CatalogueEntry::Fields entry = taskEntry("recon", EntryKind::eBatch).fields();
  entry.serveWithoutControl = true;
  change(entryChange("c1", 0, entry));
  const ChangeAnswer answer = takeMessages<ChangeResult>(kOperator).at(0).answer();
  BOOST_TEST((answer.outcome() == ChangeOutcome::eInvalid));
  BOOST_TEST(answer.faults().size() == 1U);
  BOOST_TEST(mState.appliedIndex() == 0);
}
