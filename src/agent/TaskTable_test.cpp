#include "agent/TaskTable.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

constexpr std::int64_t kSession = 5;
constexpr MonotonicTime kNow = MonotonicTime::fromMs(1000);
constexpr std::int64_t kLeaseMs = 1000;
constexpr std::int64_t kWorkerTimeoutMs = 500;

Resources
resources(std::int64_t aCpu, std::int64_t aMemory = 10, std::int64_t aAccelerators = 0)
{
  return valueOf(
    Resources::create({ .cpuMilli = aCpu, .memoryMb = aMemory, .accelerators = aAccelerators }));
}

CatalogueEntry
entryIn(const std::string& aDataCentre)
{
  return valueOf(CatalogueEntry::create({ .name = "plan",
                                          .owner = "guild",
                                          .kind = EntryKind::eBatch,
                                          .workClass = WorkClass::eBatch,
                                          .dataCentres = { aDataCentre } }));
}

template<typename Action>
std::vector<Action>
actionsOfType(const std::vector<TaskAction>& aActions)
{
  std::vector<Action> found;
  for (const TaskAction& action : aActions) {
    if (const Action* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

struct Fixture
{
  Fixture()
  {
    mTable.onListing({}, mTable.beginListing(), kNow);
    mTable.onLeaseChanged({ kSession, kNow.plusMs(kLeaseMs) }, kNow);
  }

  TaskDecision start(const std::string& aTask,
                     std::int64_t aEpoch,
                     const Resources& aResources = resources(100),
                     std::int64_t aSession = kSession)
  {
    const TaskStart message = valueOf(TaskStart::create({ .session = aSession,
                                                          .taskId = aTask,
                                                          .epoch = aEpoch,
                                                          .entryName = "plan",
                                                          .workClass = WorkClass::eBatch,
                                                          .resources = aResources }));
    return mTable.start(message, &mEntry, mTime);
  }

  void startAndRun(const std::string& aTask, std::int64_t aEpoch)
  {
    BOOST_REQUIRE((start(aTask, aEpoch) == TaskDecision::eAccepted));
    mTable.onStartResult(aTask, aEpoch, WorkerCallOutcome::eSucceeded, "", mTime);
    acknowledge(aTask, aEpoch, TaskState::eRunning);
    mTable.takeActions();
  }

  TaskDecision stop(const std::string& aTask, std::int64_t aEpoch, StopMode aMode)
  {
    return mTable.stop(valueOf(TaskStop::create(
                         { .session = kSession, .taskId = aTask, .epoch = aEpoch, .mode = aMode })),
                       mTime);
  }

  TaskDecision publish(const std::string& aTask, std::int64_t aEpoch)
  {
    return mTable.publish(
      valueOf(TaskPublish::create({ .session = kSession, .taskId = aTask, .epoch = aEpoch })),
      mTime);
  }

  void acknowledge(const std::string& aTask, std::int64_t aEpoch, TaskState aState)
  {
    mTable.acknowledge(
      valueOf(TaskReportAck::create({ .taskId = aTask, .epoch = aEpoch, .state = aState })), mTime);
  }

  void checkReport(TaskState aState, const std::string& aCheckpoint = "")
  {
    const auto reports = actionsOfType<ReportAction>(mTable.takeActions());
    BOOST_REQUIRE(reports.size() == 1);
    BOOST_TEST(toText(reports[0].mReport.state()) == toText(aState));
    BOOST_TEST(reports[0].mReport.checkpoint() == aCheckpoint);
  }

  MonotonicTime mTime = kNow;
  CatalogueEntry mEntry = entryIn("Waco");
  TaskTable mTable{ { .mCapacity = resources(1000, 100, 1),
                      .mDataCentre = "Waco",
                      .mLeaseMs = kLeaseMs,
                      .mWorkerTimeoutMs = kWorkerTimeoutMs } };
};

} // namespace

// Guards against starting a task by a message of an ended session or after the lease has expired.
BOOST_FIXTURE_TEST_CASE(start_without_the_current_session_or_lease_is_refused, Fixture)
{
  BOOST_TEST((start("a", 1, resources(1), kSession - 1) == TaskDecision::eWrongSession));
  mTime = kNow.plusMs(kLeaseMs);
  BOOST_TEST((start("a", 2) == TaskDecision::eNoLease));
  BOOST_TEST(actionsOfType<StartAction>(mTable.takeActions()).empty());
}

// Guards against starting an epoch twice because of a duplicate or delayed message.
BOOST_FIXTURE_TEST_CASE(epoch_is_started_once, Fixture)
{
  startAndRun("a", 3);
  BOOST_TEST((start("a", 3) == TaskDecision::eRepeated));
  checkReport(TaskState::eRunning);
  BOOST_TEST((start("a", 2) == TaskDecision::eStaleEpoch));
  BOOST_TEST(mTable.takeActions().empty());
}

// Guards against overcommitting the VM's CPU, memory or accelerators.
BOOST_FIXTURE_TEST_CASE(start_that_does_not_fit_is_refused, Fixture)
{
  startAndRun("a", 1);
  BOOST_TEST((start("cpu", 1, resources(901)) == TaskDecision::eDoesNotFit));
  checkReport(TaskState::eRefused);
  BOOST_TEST((start("memory", 1, resources(1, 91)) == TaskDecision::eDoesNotFit));
  BOOST_TEST((start("accelerators", 1, resources(1, 1, 2)) == TaskDecision::eDoesNotFit));
  BOOST_TEST((start("exact", 1, resources(900, 90, 1)) == TaskDecision::eAccepted));
}

// Guards against starting a task while the resources of a claimed task are unknown.
BOOST_FIXTURE_TEST_CASE(claimed_task_of_unknown_size_blocks_starts, Fixture)
{
  mTable.onWorkerClaimed({ { .mTaskId = "old", .mEpoch = 4 } }, kNow);
  BOOST_TEST((start("a", 1) == TaskDecision::eDoesNotFit));
  BOOST_TEST((start("old", 4) == TaskDecision::eRepeated));
  mTable.onListing({ { .mTaskId = "old", .mEpoch = 4, .mState = TaskState::eFailed } },
                   mTable.beginListing(),
                   kNow);
  BOOST_TEST((start("b", 1) == TaskDecision::eAccepted));
}

// Guards against running a task in a data centre that a newer catalogue no longer allows.
BOOST_FIXTURE_TEST_CASE(task_outside_its_allowed_data_centres_is_refused_or_stopped, Fixture)
{
  startAndRun("a", 1);
  mEntry = entryIn("Temple");
  BOOST_TEST((start("b", 1) == TaskDecision::eNotAllowed));
  mTable.takeActions();
  mTable.onCatalogueChanged([this](const std::string& /*aName*/) { return &mEntry; }, mTime);
  BOOST_TEST(actionsOfType<StopAction>(mTable.takeActions()).size() == 1);
}

// Guards against a task that runs unnoticed because its stop arrived before its start.
BOOST_FIXTURE_TEST_CASE(stop_before_the_start_makes_the_start_ineffective, Fixture)
{
  BOOST_TEST((stop("a", 2, StopMode::eKill) == TaskDecision::eUnknownTask));
  checkReport(TaskState::eStopped);
  BOOST_TEST((start("a", 2) == TaskDecision::eRepeated));
  BOOST_TEST(actionsOfType<StartAction>(mTable.takeActions()).empty());
}

// Guards against releasing a reservation while the task may still run.
BOOST_FIXTURE_TEST_CASE(reservation_is_held_until_the_stop_is_confirmed, Fixture)
{
  startAndRun("a", 1);
  stop("a", 1, StopMode::eCheckpoint);
  mTable.onStopResult("a", 1, WorkerCallOutcome::eUnknown, "", mTime);
  BOOST_TEST(mTable.reserved().cpuMilli == 100);
  mTable.takeActions();
  mTable.tick(mTime);
  BOOST_TEST(actionsOfType<StopAction>(mTable.takeActions()).size() == 1);
  mTable.onStopResult("a", 1, WorkerCallOutcome::eSucceeded, "checkpoint-1", mTime);
  BOOST_TEST(mTable.reserved().cpuMilli == 0);
  checkReport(TaskState::eStopped, "checkpoint-1");
}

// Guards against running a task twice by retrying a start call whose outcome is unknown.
BOOST_FIXTURE_TEST_CASE(start_with_unknown_outcome_is_resolved_by_a_listing, Fixture)
{
  start("a", 1);
  start("b", 1);
  mTable.takeActions();
  mTable.onStartResult("a", 1, WorkerCallOutcome::eUnknown, "", mTime);
  mTable.onStartResult("b", 1, WorkerCallOutcome::eUnknown, "", mTime);
  mTable.tick(mTime);
  BOOST_TEST(mTable.takeActions().empty());
  mTable.onListing({ { .mTaskId = "a", .mEpoch = 1 } }, mTable.beginListing(), mTime);
  const std::vector<TaskAction> actions = mTable.takeActions();
  BOOST_TEST(actionsOfType<ReportAction>(actions).size() == 1);
  BOOST_REQUIRE(actionsOfType<StopAction>(actions).size() == 1);
  BOOST_TEST(actionsOfType<StopAction>(actions)[0].mTaskId == "b");
}

// Guards against ending a task because a listing requested before its start does not contain it.
BOOST_FIXTURE_TEST_CASE(outdated_listing_is_ignored, Fixture)
{
  const std::int64_t sequence = mTable.beginListing();
  startAndRun("a", 1);
  mTable.onListing({}, sequence, mTime);
  BOOST_TEST(mTable.takeActions().empty());
  mTable.onListing({}, mTable.beginListing(), mTime);
  checkReport(TaskState::eStopped);
}

// Guards against publishing an output before control has committed the completion, and against a
// lost confirmation of the publication.
BOOST_FIXTURE_TEST_CASE(output_is_published_only_on_request, Fixture)
{
  startAndRun("a", 1);
  mTable.onListing({ { .mTaskId = "a", .mEpoch = 1, .mState = TaskState::eCompleted } },
                   mTable.beginListing(),
                   mTime);
  checkReport(TaskState::eCompleted);
  BOOST_TEST(mTable.reserved().cpuMilli == 0);
  BOOST_TEST((publish("a", 1) == TaskDecision::eAccepted));
  mTable.onPublishResult("a", 1, WorkerCallOutcome::eUnknown, mTime);
  mTable.tick(mTime);
  BOOST_TEST(actionsOfType<PublishAction>(mTable.takeActions()).size() == 2);
  mTable.onPublishResult("a", 1, WorkerCallOutcome::eSucceeded, mTime);
  checkReport(TaskState::ePublished);
  BOOST_TEST((publish("a", 1) == TaskDecision::eRepeated));
  checkReport(TaskState::ePublished);
}

// Guards against a late kill that discards an output although control has committed its
// publication.
BOOST_FIXTURE_TEST_CASE(completed_task_is_discarded_only_after_the_acknowledgement, Fixture)
{
  startAndRun("a", 1);
  mTable.onListing({ { .mTaskId = "a", .mEpoch = 1, .mState = TaskState::eCompleted } },
                   mTable.beginListing(),
                   mTime);
  mTable.takeActions();
  stop("a", 1, StopMode::eKill);
  checkReport(TaskState::eCompleted);
  acknowledge("a", 1, TaskState::eCompleted);
  stop("a", 1, StopMode::eKill);
  BOOST_TEST(actionsOfType<StopAction>(mTable.takeActions()).size() == 1);
}

// Guards against a state change that control never learns of, also across a change of session.
BOOST_FIXTURE_TEST_CASE(report_is_resent_until_acknowledged, Fixture)
{
  startAndRun("a", 1);
  mTable.onListing({ { .mTaskId = "a", .mEpoch = 1, .mState = TaskState::eFailed } },
                   mTable.beginListing(),
                   mTime);
  checkReport(TaskState::eFailed);
  mTable.onLeaseChanged({ kSession + 1, mTime.plusMs(kLeaseMs) }, mTime);
  checkReport(TaskState::eFailed);
  mTime = mTime.plusMs(kLeaseMs);
  mTable.tick(mTime);
  BOOST_TEST(mTable.takeActions().empty(), "a report was sent without a valid lease");
  mTable.onLeaseChanged({ kSession + 1, mTime.plusMs(kLeaseMs) }, mTime);
  mTable.tick(mTime);
  checkReport(TaskState::eFailed);
  acknowledge("a", 1, TaskState::eRunning);
  BOOST_TEST(!mTable.isIdle());
  acknowledge("a", 1, TaskState::eFailed);
  BOOST_TEST(mTable.isIdle());
}

// Guards against keeping the tasks of a dead worker forever, and against ending them while the
// worker may still run them.
BOOST_FIXTURE_TEST_CASE(tasks_of_an_unresponsive_worker_end_with_its_last_lease, Fixture)
{
  startAndRun("a", 1);
  mTime = kNow.plusMs(kWorkerTimeoutMs);
  BOOST_TEST((start("b", 1) == TaskDecision::eWorkerUnresponsive));
  mTable.takeActions();
  mTable.onLeaseChanged({ kSession, mTime.plusMs(kLeaseMs) }, mTime);
  mTime = kNow.plusMs(kLeaseMs);
  mTable.tick(mTime);
  const std::vector<TaskAction> actions = mTable.takeActions();
  BOOST_TEST(actionsOfType<LeaseAction>(actions).empty());
  BOOST_TEST(mTable.reserved().cpuMilli == 100);
  acknowledge("b", 1, TaskState::eRefused);
  mTime = mTime.plusMs(1);
  mTable.tick(mTime);
  checkReport(TaskState::eStopped);
  mTable.onListing({ { .mTaskId = "a", .mEpoch = 1 } }, mTable.beginListing(), mTime);
  BOOST_TEST(actionsOfType<StopAction>(mTable.takeActions()).size() == 1);
}

// Guards against a shutdown that loses the progress of tasks or accepts new ones.
BOOST_FIXTURE_TEST_CASE(shutdown_stops_tasks_with_a_checkpoint_and_refuses_starts, Fixture)
{
  startAndRun("a", 1);
  start("b", 1);
  mTable.takeActions();
  mTable.beginShutdown(mTime);
  const auto stops = actionsOfType<StopAction>(mTable.takeActions());
  BOOST_REQUIRE(stops.size() == 1);
  BOOST_TEST(toText(stops[0].mMode) == "checkpoint");
  BOOST_TEST((start("c", 1) == TaskDecision::eShuttingDown));
  mTable.onStartResult("b", 1, WorkerCallOutcome::eSucceeded, "", mTime);
  BOOST_TEST(actionsOfType<StopAction>(mTable.takeActions()).size() == 1);
  BOOST_TEST(!mTable.isIdle());
}
