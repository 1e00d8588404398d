#pragma once

#include "placement/PlacementContext.h"
#include "placement/TaskPlacer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Brings the account up to date with a view and learns from what changed. */
class ViewIntake
{
public:
  ViewIntake(PlacementContext& aContext, TaskPlacer& aPlacer)
    : mContext(aContext)
    , mPlacer(aPlacer)
  {
  }

  void takeIn(const PlacementView& aView);

  /** Makes placements available again that no view confirmed in time. */
  void repeatUnconfirmed();

private:
  void dropUnlisted(const PlacementView& aView);
  void removeWorker(std::int64_t aSession);
  void takeInWorker(const WorkerView& aView);
  void takeInUsage(WorkerIndex aWorker, const WorkerView& aView);
  void takeInTaskUsage(TaskIndex aTask, const TaskUsage& aUsage);
  void takeInTask(const TaskView& aView);
  void takeInPending(TaskIndex aTask, const TaskView& aView);
  void takeInHeld(TaskIndex aTask, const TaskView& aView);
  void takeInEnd(TaskIndex aTask, const TaskView& aView);
  void noteSuccess(std::uint32_t aTarget, const TaskAccount& aTask);
  void noteFailure(TaskIndex aTask, std::int64_t aAttempts);
  void forget(TaskIndex aTask);

  /** A held task whose worker no view has listed yet. */
  struct Orphan
  {
    std::string taskId;
    std::int64_t epoch;
  };

  void adoptOrphans(WorkerIndex aWorker);

  PlacementContext& mContext;
  TaskPlacer& mPlacer;
  /** By session. */
  std::map<std::int64_t, std::vector<Orphan>> mOrphans;
};

} // namespace magnoliadrum
