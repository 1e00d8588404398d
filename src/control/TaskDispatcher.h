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

/** A message for the agent that holds a session. */
struct AgentOrder
{
  std::int64_t mSession = 0;
  Message mMessage;
};

/**
 * Which orders the agents get about their tasks.
 *
 * The state of a task determines its order: a placed task is started, a task with a stop request is
 * stopped, a completed one is published. An order is sent again until a report has changed the
 * task, so lost messages and a new leader need no further care; agents treat repeated orders as
 * one.
 */
class TaskDispatcher
{
public:
  static constexpr std::int64_t kResendMs = 1000;

  /** Starts a leadership with the tasks of the log. */
  void startTerm(const ControlState& aState);

  void endTerm();

  /** A task has changed or was removed. */
  void onTaskChanged(const std::string& aTaskId, const ControlState& aState);

  /** A worker holds a task that is not placed on it; it is told to stop it until it reports so. */
  void addUnassignedTask(std::int64_t aSession, const RunningTask& aTask);

  /** An agent has reported about a task; ends the orders of noteStray(). */
  void onReport(std::int64_t aSession, const TaskReport& aReport);

  /** The agent has a new connection: all its orders are due. */
  void onSessionReconnected(std::int64_t aSession);

  /** A session has ended. */
  void onSessionClosed(std::int64_t aSession);

  /** Returns the orders that are due and notes that they are sent. */
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

  std::map<std::string, Order> mOrders;
  /** By session and task id. */
  std::map<std::pair<std::int64_t, std::string>, Order> mUnassignedTasks;
};

} // namespace magnoliadrum
