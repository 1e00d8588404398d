#include "state/state_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

const char* const kRun = "recon/night";

/** A state machine with task kRun running at epoch 1 on vm-1. */
struct RunningTaskFixture : StateMachine
{
  RunningTaskFixture()
  {
    createRun();
    mSession = admit(admitWorker("vm-1", "i1"));
    place(kRun, 1, mSession);
    apply(report(kRun, 1, TaskState::eRunning));
  }

  std::int64_t mSession = 0;
};

} // namespace

// Guards against two tasks for one run key after a resent submission.
BOOST_AUTO_TEST_CASE(run_key_creates_one_task)
{
  StateMachine stateMachine;
  stateMachine.createRun();
  const Outcome again =
    stateMachine.apply(buildValue<CreateTask>({ .taskId = kRun, .entryName = "recon" }));
  BOOST_TEST(!std::get<TaskCreated>(again).mCreated);
  BOOST_TEST(isError(
    stateMachine.apply(buildValue<CreateTask>({ .taskId = "recon/#1", .entryName = "recon" })),
    ErrorCode::eInvalid));
  BOOST_TEST(isError(
    stateMachine.apply(buildValue<CreateTask>({ .taskId = "other/x", .entryName = "recon" })),
    ErrorCode::eInvalid));
}

// Guards against a task that runs on two targets: a held task is not placed again before its run or
// its session has ended.
BOOST_FIXTURE_TEST_CASE(held_task_is_not_placed_again, RunningTaskFixture)
{
  const std::int64_t other = admit(admitWorker("vm-2", "i1"));
  BOOST_TEST(isError(place(kRun, 2, other), ErrorCode::eConflict));
  apply(buildValue<RequestStop>({ .taskId = kRun, .epoch = 1 }));
  BOOST_TEST(isError(place(kRun, 2, other), ErrorCode::eConflict));
  BOOST_TEST(applied(apply(report(kRun, 1, TaskState::eStopped, "cp-1"))));
  BOOST_TEST(isError(place(kRun, 1, other), ErrorCode::eConflict));
  BOOST_TEST(applied(place(kRun, 2, other)));
  BOOST_TEST(task(kRun).checkpoint() == "cp-1");
  BOOST_TEST(task(kRun).evictions() == 1);
}

// Guards against the result of an earlier run that arrives after the task was placed again.
BOOST_FIXTURE_TEST_CASE(late_report_of_an_old_epoch_is_refused, RunningTaskFixture)
{
  expire(mSession);
  const std::int64_t other = admit(admitWorker("vm-2", "i1"));
  place(kRun, 2, other);
  for (const TaskState state : { TaskState::eCompleted, TaskState::eStopped, TaskState::eFailed }) {
    BOOST_TEST(isError(apply(report(kRun, 1, state)), ErrorCode::eConflict));
  }
  BOOST_TEST((task(kRun).state() == TaskState::ePlaced));
}

// Guards against a duplicate report that is counted twice.
BOOST_FIXTURE_TEST_CASE(duplicate_reports_change_nothing, RunningTaskFixture)
{
  apply(report(kRun, 1, TaskState::eFailed));
  BOOST_TEST(!applied(apply(report(kRun, 1, TaskState::eFailed))));
  BOOST_TEST(task(kRun).attempts() == 1);
  place(kRun, 2, mSession);
  apply(report(kRun, 2, TaskState::eCompleted));
  BOOST_TEST(!applied(apply(report(kRun, 2, TaskState::eCompleted))));
  BOOST_TEST(!applied(apply(report(kRun, 2, TaskState::eRunning))));
  apply(report(kRun, 2, TaskState::ePublished));
  BOOST_TEST(!applied(apply(report(kRun, 2, TaskState::eStopped))));
  BOOST_TEST((task(kRun).state() == TaskState::ePublished));
  BOOST_TEST(task(kRun).session() == 0);
}

// Guards against a failing task that is retried without limit.
BOOST_FIXTURE_TEST_CASE(attempts_are_limited_but_evictions_are_not, RunningTaskFixture)
{
  for (std::int64_t epoch = 2; epoch < 6; epoch++) {
    apply(report(kRun, epoch - 1, TaskState::eStopped));
    place(kRun, epoch, mSession);
  }
  apply(report(kRun, 5, TaskState::eRefused));
  BOOST_TEST(task(kRun).attempts() == 0);
  place(kRun, 6, mSession);
  apply(report(kRun, 6, TaskState::eFailed));
  place(kRun, 7, mSession);
  apply(report(kRun, 7, TaskState::eFailed));
  BOOST_TEST((task(kRun).state() == TaskState::eFailed));
}

// Guards against a second run of a task whose output may have been published.
BOOST_FIXTURE_TEST_CASE(completed_task_of_a_lost_vm_has_an_unknown_outcome, RunningTaskFixture)
{
  apply(report(kRun, 1, TaskState::eCompleted));
  expire(mSession);
  BOOST_TEST((task(kRun).state() == TaskState::eOutcomeUnknown));
  const std::int64_t other = admit(admitWorker("vm-2", "i1"));
  BOOST_TEST(isError(place(kRun, 2, other), ErrorCode::eConflict));
}

// Guards against a batch task that keeps an unknown outcome although its VM was only disconnected:
// the returning worker reports that it still holds the unpublished output, or has published it.
BOOST_AUTO_TEST_CASE(returning_worker_resolves_an_unknown_outcome)
{
  for (const TaskState listed : { TaskState::eCompleted, TaskState::ePublished }) {
    RunningTaskFixture run;
    run.apply(report(kRun, 1, TaskState::eCompleted));
    run.expire(run.mSession);
    BOOST_TEST((run.task(kRun).state() == TaskState::eOutcomeUnknown));
    run.apply(admitWorker("other", "i", { running(kRun, 1, listed) }));
    BOOST_TEST((run.task(kRun).state() == TaskState::eOutcomeUnknown));
    const std::int64_t back = run.admit(admitWorker("vm-1", "i2", { running(kRun, 1, listed) }));
    BOOST_TEST((run.task(kRun).state() == listed));
    BOOST_TEST(run.task(kRun).session() == (listed == TaskState::eCompleted ? back : 0));
  }
}

// Guards against an agent restart that stops tasks which the worker still runs, and against tasks
// that stay placed although the worker lost them.
BOOST_FIXTURE_TEST_CASE(restarted_agent_keeps_the_listed_tasks, RunningTaskFixture)
{
  apply(buildValue<CreateTask>({ .taskId = "recon/lost", .entryName = "recon" }));
  place("recon/lost", 1, mSession);
  const Outcome outcome = apply(admitWorker(
    "vm-1", "i2", { running(kRun, 1), running("recon/stale", 1), running("recon/lost", 7) }));
  const SessionAdmitted& admitted = std::get<SessionAdmitted>(outcome);
  BOOST_TEST(task(kRun).session() == admitted.mRecord.session());
  BOOST_TEST((task(kRun).state() == TaskState::eRunning));
  BOOST_TEST((task("recon/lost").state() == TaskState::ePending));
  BOOST_REQUIRE(admitted.mStrays.size() == 2U);
  BOOST_TEST(admitted.mStrays[0].taskId() == "recon/stale");
  BOOST_TEST(admitted.mStrays[1].taskId() == "recon/lost");
}

// Guards against a worker that keeps running a task which may be placed elsewhere, because its
// session has expired.
BOOST_FIXTURE_TEST_CASE(tasks_of_an_expired_session_are_not_adopted, RunningTaskFixture)
{
  expire(mSession);
  const Outcome outcome = apply(admitWorker("vm-1", "i1", { running(kRun, 1) }));
  BOOST_TEST(std::get<SessionAdmitted>(outcome).mStrays.size() == 1U);
  BOOST_TEST((task(kRun).state() == TaskState::ePending));
}

// Guards against a cancelled task whose output is published.
BOOST_FIXTURE_TEST_CASE(cancelled_task_ends_cancelled_even_when_it_completes_first,
                        RunningTaskFixture)
{
  BOOST_TEST(applied(apply(buildValue<CancelTask>({ .taskId = kRun }))));
  BOOST_TEST(task(kRun).stopRequested());
  BOOST_TEST(!applied(apply(buildValue<CancelTask>({ .taskId = kRun }))));
  apply(report(kRun, 1, TaskState::eCompleted));
  BOOST_TEST((task(kRun).state() == TaskState::eCancelled));
}

// Guards against a stop request that discards a finished run.
BOOST_FIXTURE_TEST_CASE(completion_takes_precedence_over_a_stop_request, RunningTaskFixture)
{
  apply(buildValue<RequestStop>({ .taskId = kRun, .epoch = 1 }));
  apply(report(kRun, 1, TaskState::eCompleted));
  BOOST_TEST((task(kRun).state() == TaskState::eCompleted));
  BOOST_TEST(!task(kRun).stopRequested());
  BOOST_TEST(!applied(apply(buildValue<CancelTask>({ .taskId = kRun }))));
}

// Guards against placements whose declared resources exceed the capacity of the VM.
BOOST_FIXTURE_TEST_CASE(placement_beyond_the_capacity_is_refused, RunningTaskFixture)
{
  for (int number = 0; number < 4; number++) {
    const std::string taskId = "recon/" + std::to_string(number);
    apply(buildValue<CreateTask>({ .taskId = taskId, .entryName = "recon" }));
    const Outcome outcome = place(taskId, 1, mSession);
    BOOST_TEST(applied(outcome) == (number < 3));
  }
}

// Guards against tasks that run outside the allowed data centres of their entry, also after the
// list was shortened.
BOOST_FIXTURE_TEST_CASE(tasks_stay_in_the_allowed_data_centres, RunningTaskFixture)
{
  const std::int64_t outside = admit(admitWorker("vm-2", "i1", {}, "Galati"));
  apply(buildValue<CreateTask>({ .taskId = "recon/b", .entryName = "recon" }));
  BOOST_TEST(isError(place("recon/b", 1, outside), ErrorCode::eRefused));
  CatalogueEntry::Fields entry = batchEntry("recon");
  entry.dataCentres = { "Braila" };
  change(entryChange("narrow", 1, entry));
  BOOST_TEST(task(kRun).stopRequested());
}

// Guards against runs that continue after their entry was deleted.
BOOST_FIXTURE_TEST_CASE(deleted_entry_cancels_its_runs, RunningTaskFixture)
{
  apply(buildValue<CreateTask>({ .taskId = "recon/b", .entryName = "recon" }));
  change(deletion("delete", 1, "recon"));
  BOOST_TEST((task("recon/b").state() == TaskState::eCancelled));
  BOOST_TEST(task(kRun).cancelRequested());
  expire(mSession);
  BOOST_TEST((task(kRun).state() == TaskState::eCancelled));
}

// Guards against a standing task that is not placed again after a failed run, and against surplus
// replicas that keep running.
BOOST_AUTO_TEST_CASE(standing_tasks_follow_the_entry)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, standingEntry("watch", 2)));
  const std::int64_t session = stateMachine.admit(admitWorker("vm-1", "i1"));
  stateMachine.place("watch/#2", 1, session);
  for (std::int64_t epoch = 1; epoch < 12; epoch++) {
    stateMachine.apply(report("watch/#2", epoch, TaskState::eFailed));
    BOOST_TEST(applied(stateMachine.place("watch/#2", epoch + 1, session)));
  }
  BOOST_TEST(isError(stateMachine.apply(buildValue<CancelTask>({ .taskId = "watch/#1" })),
                     ErrorCode::eRefused));
  stateMachine.change(entryChange("c2", 1, standingEntry("watch", 1)));
  BOOST_TEST(stateMachine.task("watch/#2").stopRequested());
  stateMachine.apply(report("watch/#2", 12, TaskState::eStopped));
  BOOST_TEST((stateMachine.state().tasks().find("watch/#2") == nullptr));
}

// Guards against reusing an epoch that an agent has seen for the removed task.
BOOST_AUTO_TEST_CASE(epochs_of_a_task_that_is_created_again_continue)
{
  StateMachine stateMachine;
  stateMachine.change(entryChange("c1", 0, standingEntry("watch", 1)));
  const std::int64_t session = stateMachine.admit(admitWorker("vm-1", "i1"));
  stateMachine.place("watch/#1", 1, session);
  stateMachine.change(deletion("c2", 1, "watch"));
  stateMachine.apply(report("watch/#1", 1, TaskState::eStopped));
  stateMachine.change(entryChange("c3", 0, standingEntry("watch", 1)));
  BOOST_TEST(stateMachine.task("watch/#1").epoch() == 1);
  BOOST_TEST(isError(stateMachine.place("watch/#1", 1, session), ErrorCode::eConflict));
}

BOOST_AUTO_TEST_CASE(impossible_ends_a_batch_task_but_not_a_standing_one)
{
  StateMachine stateMachine;
  stateMachine.createRun();
  stateMachine.change(entryChange("c1", 0, standingEntry("watch", 1)));
  stateMachine.apply(report(kRun, 0, TaskState::eImpossible));
  stateMachine.apply(report("watch/#1", 0, TaskState::eImpossible));
  BOOST_TEST((stateMachine.task(kRun).state() == TaskState::eImpossible));
  BOOST_TEST((stateMachine.task("watch/#1").state() == TaskState::ePending));
}
