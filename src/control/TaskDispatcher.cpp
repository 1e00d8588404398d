#include "control/TaskDispatcher.h"

#include "state/BuildValue.h"

#include <utility>

namespace magnoliadrum {

void
TaskDispatcher::startTerm(const ControlState& aState)
{
  endTerm();
  for (const auto& [number, session] : aState.sessions().all()) {
    for (const std::string& taskId : aState.tasks().heldBy(number)) {
      onTaskChanged(taskId, aState);
    }
  }
}

void
TaskDispatcher::endTerm()
{
  mOrders.clear();
  mUnassignedTasks.clear();
}

std::optional<TaskDispatcher::OrderKind>
TaskDispatcher::requiredOrder(const TaskRecord& aTask)
{
  if (aTask.state() == TaskState::eCompleted) {
    return OrderKind::ePublish;
  }
  if (!isHeld(aTask.state())) {
    return std::nullopt;
  }
  if (aTask.stopRequested()) {
    return OrderKind::eStop;
  }
  if (aTask.state() == TaskState::ePlaced) {
    return OrderKind::eStart;
  }
  return std::nullopt;
}

void
TaskDispatcher::onTaskChanged(const std::string& aTaskId, const ControlState& aState)
{
  const TaskRecord* task = aState.tasks().find(aTaskId);
  const std::optional<OrderKind> kind = task != nullptr ? requiredOrder(*task) : std::nullopt;
  if (!kind) {
    mOrders.erase(aTaskId);
    return;
  }
  Order& order = mOrders[aTaskId];
  const bool isUnchanged =
    order.mSession == task->session() && order.mEpoch == task->epoch() && order.mKind == *kind;
  if (!isUnchanged) {
    order = Order{ task->session(), task->epoch(), *kind, std::nullopt };
  }
}

void
TaskDispatcher::addUnassignedTask(std::int64_t aSession, const RunningTask& aTask)
{
  mUnassignedTasks[{ aSession, aTask.taskId() }] =
    Order{ aSession, aTask.epoch(), OrderKind::eStop, std::nullopt };
}

void
TaskDispatcher::onReport(std::int64_t aSession, const TaskReport& aReport)
{
  const auto position = mUnassignedTasks.find({ aSession, aReport.taskId() });
  const bool isStillOnWorker =
    aReport.state() == TaskState::eRunning || aReport.state() == TaskState::eCompleted;
  if (position != mUnassignedTasks.end() && position->second.mEpoch == aReport.epoch() &&
      !isStillOnWorker) {
    mUnassignedTasks.erase(position);
  }
}

void
TaskDispatcher::onSessionReconnected(std::int64_t aSession)
{
  for (auto& [taskId, order] : mOrders) {
    if (order.mSession == aSession) {
      order.mSentAt.reset();
    }
  }
  for (auto& [name, order] : mUnassignedTasks) {
    if (order.mSession == aSession) {
      order.mSentAt.reset();
    }
  }
}

void
TaskDispatcher::onSessionClosed(std::int64_t aSession)
{
  std::erase_if(mUnassignedTasks,
                [aSession](const auto& aItem) { return aItem.first.first == aSession; });
}

bool
TaskDispatcher::isDue(const Order& aOrder, MonotonicTime aNow)
{
  return !aOrder.mSentAt || aNow.msSince(*aOrder.mSentAt) >= kResendMs;
}

std::optional<Message>
TaskDispatcher::buildMessage(const TaskRecord& aTask, OrderKind aKind, const Catalogue& aCatalogue)
{
  if (aKind == OrderKind::ePublish) {
    return buildValue<TaskPublish>(
      { .session = aTask.session(), .taskId = aTask.taskId(), .epoch = aTask.epoch() });
  }
  if (aKind == OrderKind::eStop) {
    return buildValue<TaskStop>(
      { .session = aTask.session(),
        .taskId = aTask.taskId(),
        .epoch = aTask.epoch(),
        .mode = aTask.cancelRequested() ? StopMode::eKill : StopMode::eCheckpoint });
  }
  const CatalogueEntry* entry = aCatalogue.findEntry(aTask.entryName());
  if (entry == nullptr) {
    return std::nullopt;
  }
  return buildValue<TaskStart>(
    { .session = aTask.session(),
      .taskId = aTask.taskId(),
      .epoch = aTask.epoch(),
      .entryName = aTask.entryName(),
      .entryKind = entry->kind(),
      .workClass = entry->workClass(),
      .resources = entry->resources(),
      .checkpoint = aTask.checkpoint(),
      .payload = aTask.payload().empty() ? entry->payload() : aTask.payload() });
}

std::vector<AgentOrder>
TaskDispatcher::takeDueOrders(const ControlState& aState, MonotonicTime aNow)
{
  std::vector<AgentOrder> due;
  for (auto& [taskId, order] : mOrders) {
    const TaskRecord* task = aState.tasks().find(taskId);
    if (task == nullptr || !isDue(order, aNow)) {
      continue;
    }
    const SessionRecord* session = aState.sessions().find(order.mSession);
    const bool isEvacuated = session != nullptr && aState.sessions().isInEvacuated(*session);
    if (order.mKind == OrderKind::eStart && isEvacuated) {
      // The policy moves the task, which replaces this order by a stop.
      continue;
    }
    if (std::optional<Message> message = buildMessage(*task, order.mKind, aState.catalogue())) {
      due.push_back({ order.mSession, std::move(*message) });
    }
    order.mSentAt = aNow;
  }
  for (auto& [name, order] : mUnassignedTasks) {
    if (!isDue(order, aNow)) {
      continue;
    }
    due.push_back({ order.mSession,
                    buildValue<TaskStop>({ .session = order.mSession,
                                           .taskId = name.second,
                                           .epoch = order.mEpoch,
                                           .mode = StopMode::eKill }) });
    order.mSentAt = aNow;
  }
  return due;
}

} // namespace magnoliadrum
