#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "state/state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** A message to the agent of a session. */
struct AgentOrder
{
  std::int64_t mSession = 0;
  Message mMessage;
};

/**
 * Determines the orders that agents get about their tasks.
 *
 * The order follows from the state of the task: a placed task is started, a task with a stop
 * request is stopped and a completed task is published. An order is resent until a report changes
 * the task, which covers lost messages and changes of leader. Orders are idempotent for the agent.
 */
class TaskDispatcher
{
public:
  static constexpr std::int64_t kResendMs = 1000;

  /** Starts a leadership with the tasks in the replicated state. */
  void startTerm(const ControlState& aState);

  void endTerm();

  /** Updates the order of a task that has changed or was removed. */
  void onTaskChanged(const std::string& aTaskId, const ControlState& aState);

  /** Adds a task that a worker holds although it is not placed there. A stop is sent until the
   * agent reports that the task has ended or the session closes. */
  void addUnassignedTask(std::int64_t aSession, const RunningTask& aTask);

  /** Ends the stop orders of addUnassignedTask() when the report shows that the task has ended. */
  void onReport(std::int64_t aSession, const TaskReport& aReport);

  /** Makes all orders of the session due again, because its agent has a new connection. */
  void onSessionReconnected(std::int64_t aSession);

  /** Drops the stop orders for unassigned tasks of a session that has ended. */
  void onSessionClosed(std::int64_t aSession);

  /** Returns the orders that are due and records them as sent at aNow. */
  std::vector<AgentOrder> takeDueOrders(const ControlState& aState, MonotonicTime aNow);

private:
  enum class OrderKind
  {
    eStart,
    eStop,
    ePublish
  };

  struct Order
  {
    std::int64_t mSession = 0;
    std::int64_t mEpoch = 0;
    OrderKind mKind = OrderKind::eStart;
    std::optional<MonotonicTime> mSentAt;
  };

  static std::optional<OrderKind> requiredOrder(const TaskRecord& aTask);
  static std::optional<Message> buildMessage(const TaskRecord& aTask,
                                             OrderKind aKind,
                                             const Catalogue& aCatalogue);
  static bool isDue(const Order& aOrder, MonotonicTime aNow);

  /** By task id. */
  std::map<std::string, Order> mOrders;
  /** Stop orders by session and task id. */
  std::map<std::pair<std::int64_t, std::string>, Order> mUnassignedTasks;
};

} // namespace magnoliadrum
