#pragma once

#include "placement/PlacementDecision.h"
#include "placement/PlacementLedger.h"
#include "placement/PlacementOptions.h"
#include "placement/SizeEstimator.h"
#include "placement/WaitingTasks.h"
#include "placement/WorkerSelector.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace magnoliadrum {

/** Takes in views and makes the decisions of a round. See PlacementPolicy. */
class PlacementEngine
{
public:
  PlacementEngine(PlacementOptions aOptions, std::mt19937_64 aRandom);

  std::vector<PlacementDecision> decide(const PlacementView& aView, MonotonicTime aNow);
  std::size_t bytes() const;

private:
  /** One of so many workers at most is kept free for a large task. */
  static constexpr std::size_t kWorkersPerHold = 20;
  /** A worker is not kept free longer, because the task may fit elsewhere by then. */
  static constexpr std::int64_t kHoldMs = 1800000;

  void takeIn(const PlacementView& aView);
  void dropUnlisted(const PlacementView& aView);
  void removeWorker(std::int64_t aSession);
  void takeInUsage(WorkerIndex aWorker, const WorkerView& aView);
  void takeInEnd(TaskIndex aTask, const TaskView& aView);
  void takeInWorker(const WorkerView& aView);
  void takeInTask(const TaskView& aView);
  void takeInPending(TaskIndex aTask, const TaskView& aView);
  void takeInHeld(TaskIndex aTask, const TaskView& aView);
  void forget(TaskIndex aTask);
  void repeatUnconfirmed();

  void placeWaiting();
  void placePriority(Priority aPriority);
  bool placeOldest(std::vector<GroupIndex>& aGroups);
  bool placeOne(GroupIndex aGroup);
  bool checkPossible(GroupIndex aGroup);
  void park(TaskIndex aTask);
  void reconsiderParked();
  void hold(EntryIndex aEntry, const ResourceAmount& aNeed);
  void dropHolds();
  void place(TaskIndex aTask, WorkerIndex aWorker, const ResourceAmount& aNeed);
  ResourceAmount needOf(EntryIndex aEntry) const;
  std::int32_t perRackLimit(EntryIndex aEntry) const;
  bool isFull() const { return mDecisions.size() >= mOptions.maxDecisions; }

  PlacementOptions mOptions;
  std::mt19937_64 mRandom;
  PlacementLedger mLedger;
  WaitingTasks mWaiting;
  WorkerSelector mSelector;
  SizeEstimator mSizes;
  /** Workers that are kept free for a large task. */
  std::vector<WorkerIndex> mHolds;
  /** Tasks that no worker can run, by entry. */
  std::map<EntryIndex, std::vector<WaitingGroup::Place>> mParked;
  /** Workers, entries or quotas changed in this round. */
  bool mTopologyChanged = false;
  std::vector<TaskIndex> mUnconfirmed;
  std::vector<PlacementDecision> mDecisions;
  std::int64_t mNowMs = 0;
};

} // namespace magnoliadrum
