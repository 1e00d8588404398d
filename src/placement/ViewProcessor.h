#pragma once

#include "placement/PlacementContext.h"
#include "placement/TaskPlacer.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Applies views to the cluster model and feeds the observed changes to the learned models. */
class ViewProcessor
{
public:
  ViewProcessor(PlacementContext& aContext, TaskPlacer& aPlacer)
    : mContext(aContext)
    , mPlacer(aPlacer)
  {
  }

  void apply(const PlacementView& aView);

  /** Reverts placements and evictions that no view confirmed in time, so they are decided again. */
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

  /** A task assigned to a session that no view has listed yet. */
  struct Orphan
  {
    std::string taskId;
    std::int64_t epoch;
  };

  /** Assigns a new worker the tasks that were listed before it. */
  void adoptOrphans(WorkerIndex aWorker);

  PlacementContext& mContext;
  TaskPlacer& mPlacer;
  /** Orphans by session. */
  std::map<std::int64_t, std::vector<Orphan>> mOrphans;
};

} // namespace magnoliadrum
