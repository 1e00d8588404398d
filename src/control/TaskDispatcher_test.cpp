#include "control/TaskDispatcher.h"
#include "control/control_fixture_test.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A control state with one task that is placed at epoch 1, and its dispatcher. */
struct PlacedTask
{
  PlacedTask()
  {
    apply(buildValue<ApplyChange>(
      { .change = entryChange("c", 0, taskEntry("recon", EntryKind::eBatch).fields()) }));
    apply(buildValue<CreateTask>({ .taskId = kRun, .entryName = "recon" }));
    apply(admitWorker("vm-1", "i1"));
    apply(buildValue<PlaceTask>({ .taskId = kRun, .epoch = 1, .session = 1 }));
  }

  void apply(const Command& aCommand)
  {
    mState.apply(mState.appliedIndex() + 1, aCommand);
    for (const std::string& taskId : mState.takeChangedTasks()) {
      mDispatcher.onTaskChanged(taskId, mState);
    }
  }

  void move(TaskState aState)
  {
    apply(buildValue<MoveTask>({ .taskId = kRun, .epoch = 1, .state = aState }));
  }

  std::vector<AgentOrder> takeDue() { return mDispatcher.takeDueOrders(mState, mNow); }

  ControlState mState;
  TaskDispatcher mDispatcher;
  MonotonicTime mNow = MonotonicTime::fromMs(50000);
};

} // namespace

// Guards against a lost start message and against one that is sent at every tick.
BOOST_FIXTURE_TEST_CASE(start_is_resent_until_the_agent_reports_it, PlacedTask)
{
  const std::vector<AgentOrder> first = takeDue();
  BOOST_REQUIRE(first.size() == 1U);
  const TaskStart& start = std::get<TaskStart>(first[0].mMessage);
  BOOST_TEST(start.session() == 1);
  BOOST_TEST(start.epoch() == 1);
  BOOST_TEST(start.payload() == "from the entry");
  BOOST_TEST(takeDue().empty());
  mNow = mNow.plusMs(TaskDispatcher::kResendMs);
  BOOST_TEST(takeDue().size() == 1U);
  mDispatcher.onSessionReconnected(1);
  BOOST_TEST(takeDue().size() == 1U);
  move(TaskState::eRunning);
  mNow = mNow.plusMs(TaskDispatcher::kResendMs);
  BOOST_TEST(takeDue().empty());
}

// Guards against a stop request or a completed task for which no message is sent.
BOOST_FIXTURE_TEST_CASE(orders_follow_the_state_of_the_task, PlacedTask)
{
  move(TaskState::eRunning);
  apply(buildValue<RequestStop>({ .taskId = kRun, .epoch = 1 }));
  BOOST_TEST((std::get<TaskStop>(takeDue().at(0).mMessage).mode() == StopMode::eCheckpoint));
  move(TaskState::eCompleted);
  BOOST_TEST(std::get<TaskPublish>(takeDue().at(0).mMessage).epoch() == 1);
  move(TaskState::ePublished);
  mNow = mNow.plusMs(TaskDispatcher::kResendMs);
  BOOST_TEST(takeDue().empty());
}

// Guards against a new leader that does not resend the orders of its predecessor.
BOOST_FIXTURE_TEST_CASE(new_leader_resends_the_orders_of_its_predecessor, PlacedTask)
{
  takeDue();
  TaskDispatcher successor;
  successor.startTerm(mState);
  BOOST_TEST(successor.takeDueOrders(mState, mNow).size() == 1U);
}

// Guards against orders for a session that has ended.
BOOST_FIXTURE_TEST_CASE(orders_end_with_the_session, PlacedTask)
{
  mDispatcher.addUnassignedTask(1, buildValue<RunningTask>({ .taskId = "recon/old", .epoch = 4 }));
  apply(buildValue<ExpireSession>({ .session = 1 }));
  mDispatcher.onSessionClosed(1);
  BOOST_TEST(takeDue().empty());
}

// Guards against a worker that keeps a task which is not placed on it, because a stop was lost.
BOOST_FIXTURE_TEST_CASE(unassigned_task_is_stopped_until_the_agent_reports_its_end, PlacedTask)
{
  move(TaskState::eRunning);
  mDispatcher.addUnassignedTask(1, buildValue<RunningTask>({ .taskId = "recon/old", .epoch = 4 }));
  const auto stop = std::get<TaskStop>(takeDue().at(0).mMessage);
  BOOST_TEST(stop.taskId() == "recon/old");
  BOOST_TEST((stop.mode() == StopMode::eKill));
  const auto reported = [](TaskState aState) {
    return buildValue<TaskReport>(
      { .session = 1, .taskId = "recon/old", .epoch = 4, .state = aState });
  };
  mDispatcher.onReport(1, reported(TaskState::eRunning));
  mNow = mNow.plusMs(TaskDispatcher::kResendMs);
  BOOST_TEST(takeDue().size() == 1U);
  mDispatcher.onReport(1, reported(TaskState::eStopped));
  mNow = mNow.plusMs(TaskDispatcher::kResendMs);
  BOOST_TEST(takeDue().empty());
}
