#pragma once

#include "placement/PlacementContext.h"
#include "placement/TaskPlacer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Brings the account up to date with a view and learns from what changed. */
class ViewProcessor
{
public:
  ViewProcessor(PlacementContext& aContext, TaskPlacer& aPlacer)
    : mContext(aContext)
    , mPlacer(aPlacer)
  {
  }

  void apply(const PlacementView& aView);

  /** Makes placements available again that no view confirmed in time. */
  void expireUnconfirmed();

private:
  void removeUnlisted(const PlacementView& aView);
  void removeWorker(std::int64_t aSession);
  void applyWorker(const WorkerView& aView);
  void applyUsage(WorkerIndex aWorker, const WorkerView& aView);
  void applyTaskUsage(TaskIndex aTask, const TaskUsage& aUsage);
  void applyTask(const TaskView& aView);
  void applyPending(TaskIndex aTask, const TaskView& aView);
  void applyAssigned(TaskIndex aTask, const TaskView& aView);
  void applyEnded(TaskIndex aTask, const TaskView& aView);
  void recordSuccess(std::uint32_t aTarget, const TaskInfo& aTask);
  void recordFailure(TaskIndex aTask, std::int64_t aAttempts);
  void removeTask(TaskIndex aTask);

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
