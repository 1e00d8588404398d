#include "jobs/JobScheduler.h"

#include "core/core.h"
#include "jobs/CrashAttribution.h"
#include "jobs/DueJobs.h"
#include "jobs/FailedSearches.h"
#include "jobs/RoomPlanner.h"
#include "jobs/TrialPlanner.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace magnoliadrum {

namespace {

/** The tasks of a step that are placed together. */
enum class TaskSelection
{
  eRestarts,  /**< Those that have had a run. */
  eFirstRuns, /**< Those that have not. */
  eAll
};

/** A step that may start now and has open tasks. */
struct ReadyStep
{
  const Job* job = nullptr;
  std::int64_t occurrence = 0;
  std::int64_t step = 0;
  std::int64_t priority = 0;
  JobOutlook outlook = JobOutlook::eOnTime;
  /** Order among steps with the same outlook. */
  double order = 0;
  /** The objective of its job has not passed. */
  bool isWithinObjective = true;
  TaskSelection selection = TaskSelection::eAll;

  const JobStep& description() const { return job->steps()[static_cast<std::size_t>(step)]; }

  /** Whether a task of the step is selected, neither done nor active, and may start. */
  bool isWaiting(const JobTaskRecord::Fields& aRecord) const
  {
    const bool isSelected = selection == TaskSelection::eAll ||
                            (selection == TaskSelection::eFirstRuns) == (aRecord.run == 0);
    return isSelected && !aRecord.done && !aRecord.active &&
           !CrashAttribution::awaitsEvidence(aRecord);
  }

  /** Number of tasks for which isWaiting() holds. */
  std::int64_t waitingTasks() const
  {
    std::int64_t waiting = 0;
    TaskId task{ job->jobId(), occurrence, step, 0 };
    for (task.index = 0; task.index < description().count(); task.index++) {
      waiting += isWaiting(*job->find(task)) ? 1 : 0;
    }
    return waiting;
  }

  auto sortKey() const
  {
    // A long-running task has no deadline that it could miss: it serves from its start on. One that
    // has served before is missed by its users.
    return std::tuple(priority,
                      !description().longRunning(),
                      selection,
                      outlook,
                      order,
                      std::string_view(job->jobId()),
                      step);
  }
};

std::vector<ReadyStep>
findReadySteps(const std::vector<DueJob>& aDueJobs, std::int64_t aWallMs)
{
  std::vector<ReadyStep> ready;
  for (const DueJob& due : aDueJobs) {
    for (std::int64_t step = 0; step < std::ssize(due.job->steps()); step++) {
      if (due.job->openTasks(due.occurrence, step) > 0 &&
          due.job->isStepReady(due.occurrence, step)) {
        const JobStep& description = due.job->steps()[static_cast<std::size_t>(step)];
        const bool isLongRunning = description.longRunning();
        ReadyStep entry{ .job = due.job,
                         .occurrence = due.occurrence,
                         .step = step,
                         .priority = due.job->queue().priority(),
                         .outlook = isLongRunning ? JobOutlook::eOnTime : due.outlook,
                         .order = isLongRunning ? static_cast<double>(due.job->acceptedAtMs())
                                                : due.order(),
                         .isWithinObjective = aWallMs <= due.demand.objectiveEndMs };
        if (isLongRunning && !description.gang()) {
          entry.selection = TaskSelection::eRestarts;
          ready.push_back(entry);
          entry.selection = TaskSelection::eFirstRuns;
        }
        ready.push_back(entry);
      }
    }
  }
  std::sort(ready.begin(), ready.end(), [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    return aLeft.sortKey() < aRight.sortKey();
  });
  return ready;
}

/** fits(), and for an opportunistic step also enough processor time that is unused. */
bool
hasCapacity(const WorkerCandidate& aWorker, const JobStep& aStep)
{
  if (!fits(aWorker, aStep)) {
    return false;
  }
  if (aStep.opportunistic()) {
    const double needed =
      JobScheduler::kMinUnusedCpuShare * static_cast<double>(aStep.resources().cpuMilli());
    return unusedCpuMilli(aWorker) >= needed;
  }
  return true;
}

/** isPermitted() for a task of the step. */
bool
isPermitted(const WorkerCandidate& aWorker, const ReadyStep& aReady, const std::string& aStepName)
{
  return isPermitted(aWorker, aReady.job->queue().poolName(), aReady.description(), aStepName);
}

/** isPermitted(), and the worker is neither reserved for the trial of another task nor limited. A
 * task that may have crashed a worker keeps away from others: a second crash then tells more. */
bool
isEligible(const WorkerCandidate& aWorker,
           const ReadyStep& aReady,
           const TaskId& aTask,
           const std::string& aStepName)
{
  const JobStep& step = aReady.description();
  if (aWorker.suspects > 0 && step.longRunning() && !step.gang() &&
      CrashAttribution::needsTrial(*aReady.job->find(aTask))) {
    return false;
  }
  const JobTaskRecord::Fields& record = *aReady.job->find(aTask);
  return !isClosedForTrials(aWorker, step, record) && !isLimited(aWorker, step, record) &&
         isPermitted(aWorker, aReady, aStepName);
}

/** Part of cost() that depends on the load of the worker. */
double
loadCost(const WorkerCandidate& aWorker, const JobStep& aStep, double aInterferenceCost)
{
  const double capacity = std::max<double>(1, static_cast<double>(aWorker.capacity.cpuMilli));
  const double usedShare = static_cast<double>(aWorker.used.cpuMilli) / capacity;
  if (servesUsers(aStep)) {
    // Workers with the image come first, then those with other images, then those without serving
    // tasks; the fullest first in each group.
    constexpr double kOtherImageCost = 1;
    constexpr double kNoServingTasksCost = 2;
    const double affinityCost = aWorker.servingRuns.empty() ? kNoServingTasksCost : kOtherImageCost;
    return (aWorker.servingRuns.contains(aStep.image()) ? 0 : affinityCost) - usedShare;
  }
  return (aStep.longRunning() ? usedShare : 1 - unusedCpuMilli(aWorker) / capacity) +
         aInterferenceCost;
}

/** Cost of placing a task of the step on the worker; the worker with the lowest cost is chosen.
 * The next run of a standing task avoids the worker of the last one and those with failures. */
auto
cost(const WorkerCandidate& aWorker,
     const JobStep& aStep,
     const JobTaskRecord::Fields& aRecord,
     double aInterferenceCost)
{
  const bool isRestart = aStep.longRunning() && aRecord.run > 0;
  const bool isLastWorker =
    isRestart && aRecord.worker == aWorker.worker && aRecord.bornMs == aWorker.startedAtMs;
  const bool isCrashPlace = isRestart && aRecord.crashes > 0 && aRecord.crashPlace == aWorker.relay;
  const bool isSuspect = isRestart && CrashAttribution::needsTrial(aRecord);
  const bool isOutsidePreferredRack =
    !aStep.preferredRack().empty() && aStep.preferredRack() != aWorker.rack;
  return std::tuple(aWorker.failureRank,
                    isLastWorker || isCrashPlace,
                    isRestart ? aWorker.failureTenths : 0,
                    isSuspect ? aWorker.unprovenRuns : 0,
                    isOutsidePreferredRack,
                    loadCost(aWorker, aStep, aInterferenceCost),
                    std::string_view(aWorker.worker));
}

/** Processor time that no task takes or waits for, by pool, in thousandths of a core. Short tasks
 * that wait count until the objective of their job has passed. */
std::map<std::string, std::int64_t>
uncommittedCpuMilli(const std::vector<WorkerCandidate>& aWorkers,
                    const std::vector<ReadyStep>& aReadySteps)
{
  std::map<std::string, std::int64_t> uncommitted;
  for (const ReadyStep& ready : aReadySteps) {
    if (ready.description().longRunning() || ready.isWithinObjective) {
      uncommitted[ready.job->queue().poolName()] -=
        ready.waitingTasks() * requiredResources(ready.description()).cpuMilli;
    }
  }
  for (const WorkerCandidate& worker : aWorkers) {
    uncommitted[worker.poolName] += worker.capacity.cpuMilli - worker.used.cpuMilli;
  }
  return uncommitted;
}

/** Assigns the ready steps one after the other to the workers of a round. */
class SchedulingRound
{
public:
  SchedulingRound(const InterferenceGuard& aGuard,
                  std::vector<WorkerCandidate>& aWorkers,
                  const std::vector<ReadyStep>& aReadySteps)
    : mForecast(aGuard)
    , mWorkers(aWorkers)
    , mRoomPlanner(uncommittedCpuMilli(aWorkers, aReadySteps))
  {
    for (WorkerCandidate& worker : mWorkers) {
      worker.interference = mForecast.loadOf(worker.serving, worker.unobservedShares);
      for (const auto& [task, slowRun] : worker.stragglers) {
        mStragglers.emplace(task, std::pair(&worker, slowRun));
      }
    }
  }

  void place(const ReadyStep& aReady)
  {
    if (aReady.description().gang()) {
      placeGang(aReady);
      return;
    }
    const JobStep& step = aReady.description();
    TaskId task = firstTask(aReady);
    const std::string name = stepName(task);
    bool isUnplaceable = false;
    for (task.index = 0; task.index < step.count(); task.index++) {
      const JobTaskRecord::Fields* record = aReady.job->find(task);
      if (record->active && !record->done) {
        keepRoomForStraggler(aReady, task, name);
      }
      if (!aReady.isWaiting(*record)) {
        continue;
      }
      if (CrashAttribution::needsTrial(*record) &&
          (CrashAttribution::needsOwnWorker(step, *record) || !takeWaitingTrial(task))) {
        continue;
      }
      if (isFull()) {
        return;
      }
      if (!isUnplaceable && assignAnywhere(aReady, task, name)) {
        continue;
      }
      if (step.opportunistic() && isStarved(aReady) &&
          assignDespiteInterference(aReady, task, name)) {
        return;
      }
      if (step.longRunning()) {
        mUnplaced.emplace_back(&aReady, task);
        // The tasks of a step fit the same workers, suspected ones fewer.
        isUnplaceable = isUnplaceable || !CrashAttribution::needsTrial(*record);
        continue;
      }
      addWaitReason(aReady, task, name);
      if (!reserveCapacity(aReady, task, name)) {
        return;
      }
    }
  }

  /** Reserves capacity for the long-running tasks that place() has found no worker for since the
   * last call. Reserved earlier, it would keep a free piece from tasks behind them that fit it. */
  void reserveForUnplaced()
  {
    const ReadyStep* refused = nullptr;
    for (const auto& [ready, task] : std::exchange(mUnplaced, {})) {
      if (isFull()) {
        return;
      }
      if (ready == refused) {
        continue;
      }
      const std::string name = stepName(task);
      addWaitReason(*ready, task, name);
      if (!reserveCapacity(*ready, task, name)) {
        refused = ready;
      }
    }
  }

  /** Assigns the tasks that may have crashed a worker, each where another crash would show it. */
  void placeTrials(const std::vector<ReadyStep>& aReadySteps)
  {
    std::vector<TrialTask> tasks;
    for (const ReadyStep& ready : aReadySteps) {
      for (TrialTask& task : findTrialTasks(ready)) {
        mWaitingTrials.emplace_back(&ready, task);
        tasks.push_back(std::move(task));
      }
    }
    mTrialPlanner.emplace(mWorkers, tasks);
    assignTrials([this](const TrialTask& aTask, const TrialPlanner::Fit& aFit) {
      return mTrialPlanner->choose(aTask, aFit);
    });
  }

  /** Assigns the tasks that placeTrials() has left waiting to workers that nothing else uses.
   * Precondition: placeTrials() and then place() have been called. */
  void placeTrialsOnIdleWorkers()
  {
    assignTrials([this](const TrialTask& aTask, const TrialPlanner::Fit& aFit) {
      return mTrialPlanner->chooseIdle(aTask, aFit);
    });
    for (const auto& [ready, task] : mWaitingTrials) {
      addWaitReason(*ready, task.task, stepName(task.task));
    }
  }

  bool isFull() const { return mPlan.assignments.size() >= JobScheduler::kMaxAssignments; }

  SchedulePlan takePlan()
  {
    mPlan.evictions = mRoomPlanner.evictions();
    return std::move(mPlan);
  }

private:
  static TaskId firstTask(const ReadyStep& aReady)
  {
    return { aReady.job->jobId(), aReady.occurrence, aReady.step, 0 };
  }

  /** Assigns the waiting trials for which aChoose returns a worker. */
  void assignTrials(
    const std::function<WorkerCandidate*(const TrialTask&, const TrialPlanner::Fit&)>& aChoose)
  {
    std::erase_if(mWaitingTrials, [this, &aChoose](const auto& aItem) {
      const auto& [ready, task] = aItem;
      const std::string name = stepName(task.task);
      WorkerCandidate* worker =
        aChoose(task, [this, step = ready, &name](const WorkerCandidate& aWorker) {
          return trialFit(aWorker, *step, name);
        });
      if (worker == nullptr) {
        return false;
      }
      addAssignment(*worker, *ready, task.task);
      return true;
    });
  }

  /** Takes a task from those that wait for a trial; false if it is not among them. */
  bool takeWaitingTrial(const TaskId& aTask)
  {
    return std::erase_if(mWaitingTrials,
                         [&aTask](const auto& aItem) { return aItem.second.task == aTask; }) > 0;
  }

  static std::vector<TrialTask> findTrialTasks(const ReadyStep& aReady)
  {
    std::vector<TrialTask> tasks;
    const JobStep& step = aReady.description();
    if (!aReady.job->hasCrashSuspects() || step.gang()) {
      return tasks;
    }
    TaskId task = firstTask(aReady);
    for (task.index = 0; task.index < step.count(); task.index++) {
      const JobTaskRecord::Fields* record = aReady.job->find(task);
      if (aReady.isWaiting(*record) && CrashAttribution::needsTrial(*record)) {
        tasks.push_back({ .task = task,
                          .poolName = aReady.job->queue().poolName(),
                          .crashes = record->crashes,
                          .crashPlace = record->crashPlace,
                          .needsOwnWorker = CrashAttribution::needsOwnWorker(step, *record) });
      }
    }
    return tasks;
  }

  TrialFit trialFit(const WorkerCandidate& aWorker,
                    const ReadyStep& aReady,
                    const std::string& aStepName)
  {
    const JobStep& step = aReady.description();
    // Long-running tasks do not end, so waiting for their capacity would reserve the worker for
    // ever.
    ResourceAmount attainable = aWorker.capacity;
    attainable.cpuMilli -= aWorker.longRunningCpuMilli;
    const bool interferes =
      expectedRatio(aWorker, step, opportunisticImage(step)) > JobScheduler::kMaxExpectedRatio;
    if (aWorker.maxRuns != WorkerReliability::kNoLimit ||
        !isPermitted(aWorker, aReady, aStepName) || !requiredResources(step).fitsIn(attainable) ||
        (interferes && !isStarved(aReady))) {
      return TrialFit::eNever;
    }
    return hasCapacity(aWorker, step) ? TrialFit::eNow : TrialFit::eLater;
  }

  /** Returns the best worker for a task, or null. aExcluded is not considered. */
  WorkerCandidate* findBest(const ReadyStep& aReady,
                            const TaskId& aTask,
                            const std::string& aStepName,
                            std::vector<WorkerCandidate>& aWorkers,
                            const std::optional<std::string>& aRack,
                            const WorkerCandidate* aExcluded = nullptr)
  {
    const JobStep& step = aReady.description();
    const JobTaskRecord::Fields& record = *aReady.job->find(aTask);
    const std::optional<std::size_t> image = opportunisticImage(step);
    WorkerCandidate* best = nullptr;
    double bestInterferenceCost = 0;
    mPlan.examinedWorkers += std::ssize(aWorkers);
    for (WorkerCandidate& worker : aWorkers) {
      if (&worker == aExcluded || (aRack && worker.rack != *aRack) ||
          !isEligible(worker, aReady, aTask, aStepName) || !hasCapacity(worker, step)) {
        continue;
      }
      const double ratio = expectedRatio(worker, step, image);
      if (ratio > JobScheduler::kMaxExpectedRatio) {
        continue;
      }
      const double interferenceCost = ratio + riskCost(worker, step, image);
      if (best == nullptr || cost(worker, step, record, interferenceCost) <
                               cost(*best, step, record, bestInterferenceCost)) {
        best = &worker;
        bestInterferenceCost = interferenceCost;
      }
    }
    return best;
  }

  bool assign(const ReadyStep& aReady,
              const TaskId& aTask,
              const std::string& aStepName,
              std::vector<WorkerCandidate>& aWorkers,
              const std::optional<std::string>& aRack)
  {
    WorkerCandidate* best = findBest(aReady, aTask, aStepName, aWorkers, aRack);
    if (best == nullptr) {
      return false;
    }
    addAssignment(*best, aReady, aTask);
    return true;
  }

  /** assign() to one of all workers, unless an earlier search shows that none has room. */
  bool assignAnywhere(const ReadyStep& aReady, const TaskId& aTask, const std::string& aStepName)
  {
    const bool isOrdinary = isOrdinaryTask(aReady, aTask);
    const std::string& pool = aReady.job->queue().poolName();
    if (isOrdinary && mFailedSearches.contain(pool, aReady.description())) {
      return false;
    }
    const bool isAssigned = assign(aReady, aTask, aStepName, mWorkers, std::nullopt);
    if (isOrdinary && !isAssigned) {
      mFailedSearches.add(pool, aReady.description());
    }
    return isAssigned;
  }

  /** Whether the history of a task closes no worker to it. */
  static bool isOrdinaryTask(const ReadyStep& aReady, const TaskId& aTask)
  {
    const JobTaskRecord::Fields& record = *aReady.job->find(aTask);
    return !CrashAttribution::needsTrial(record) && !isDoubtful(aReady.description(), record);
  }

  /** Stops a straggler if another worker has room for its next run, and keeps that room until then.
   */
  void keepRoomForStraggler(const ReadyStep& aReady,
                            const TaskId& aTask,
                            const std::string& aStepName)
  {
    const auto found = mStragglers.find(aTask.text());
    if (found == mStragglers.end() || aReady.outlook == JobOutlook::eOverdue ||
        mRestarting >= JobScheduler::kMaxRestarts) {
      return;
    }
    const auto& [worker, slowRun] = found->second;
    WorkerCandidate* best = findBest(aReady, aTask, aStepName, mWorkers, std::nullopt, worker);
    if (best == nullptr) {
      return;
    }
    mRestarting++;
    occupy(*best, aReady.description(), aTask);
    if (!slowRun.isStopping) {
      mPlan.restarts.push_back({ aTask, slowRun.run, best->worker });
    }
  }

  /** Whether the job has no active runs although its pool is mostly free. */
  bool isStarved(const ReadyStep& aReady)
  {
    const std::string& pool = aReady.job->queue().poolName();
    if (aReady.job->hasActiveRuns() || mBusyPools.contains(pool)) {
      return false;
    }
    double used = 0;
    double capacity = 0;
    mPlan.examinedWorkers += std::ssize(mWorkers);
    for (const WorkerCandidate& worker : mWorkers) {
      if (worker.poolName == pool) {
        used += static_cast<double>(worker.used.cpuMilli);
        capacity += static_cast<double>(worker.capacity.cpuMilli);
      }
    }
    const bool isMostlyFree = used < JobScheduler::kMostlyFreeUsage * capacity;
    if (!isMostlyFree) {
      mBusyPools.insert(pool);
    }
    return isMostlyFree;
  }

  /** Assigns an opportunistic task where it interferes least, regardless of objectives and of
   * unused processor time. */
  bool assignDespiteInterference(const ReadyStep& aReady,
                                 const TaskId& aTask,
                                 const std::string& aStepName)
  {
    const JobStep& step = aReady.description();
    const std::optional<std::size_t> image = opportunisticImage(step);
    WorkerCandidate* best = nullptr;
    mPlan.examinedWorkers += std::ssize(mWorkers);
    for (WorkerCandidate& worker : mWorkers) {
      if (!isEligible(worker, aReady, aTask, aStepName) || !fits(worker, step)) {
        continue;
      }
      if (best == nullptr ||
          expectedRatio(worker, step, image) < expectedRatio(*best, step, image)) {
        best = &worker;
      }
    }
    if (best != nullptr) {
      addAssignment(*best, aReady, aTask);
    }
    return best != nullptr;
  }

  /** Takes the capacity for a run of the step. */
  void occupy(WorkerCandidate& aWorker, const JobStep& aStep, const TaskId& aTask)
  {
    addRun(aWorker, aStep, aTask);
    if (const std::optional<std::size_t> image = opportunisticImage(aStep)) {
      mForecast.add(aWorker.interference, *image, cpuShare(aWorker, aStep));
    }
  }

  /** Adds an assignment to the plan and takes its capacity. */
  void addAssignment(WorkerCandidate& aWorker, const ReadyStep& aReady, const TaskId& aTask)
  {
    occupy(aWorker, aReady.description(), aTask);
    aWorker.unprovenRuns++;
    const JobTaskRecord::Fields& record = *aReady.job->find(aTask);
    if (isDoubtful(aReady.description(), record)) {
      aWorker.youngStandingRuns--;
      aWorker.youngDoubtfulRuns++;
    }
    const bool isSuspect = CrashAttribution::needsTrial(record);
    aWorker.suspects += isSuspect ? 1 : 0;
    aWorker.youngSuspects += isSuspect ? 1 : 0;
    mPlan.overdueAssignments += aReady.outlook == JobOutlook::eOverdue ? 1 : 0;
    mPlan.assignments.push_back({ valueOf(RunStart::create({ .task = aTask.text(),
                                                             .run = aReady.job->nextRun(aTask),
                                                             .worker = aWorker.worker,
                                                             .bornMs = aWorker.startedAtMs,
                                                             .place = aWorker.relay })),
                                  aTask });
  }

  void addWaitReason(const ReadyStep& aReady, const TaskId& aTask, const std::string& aStepName)
  {
    if (mPlan.waiting.size() >= JobScheduler::kMaxWaitReasons) {
      return;
    }
    const JobStep& step = aReady.description();
    WaitReason reason{ .task = aTask,
                       .isLongRunning = step.longRunning(),
                       .outlook = aReady.outlook,
                       .size = requiredResources(step) };
    mPlan.examinedWorkers += std::ssize(mWorkers);
    for (const WorkerCandidate& worker : mWorkers) {
      if (worker.poolName != aReady.job->queue().poolName()) {
        reason.otherPoolWorkers++;
      } else if (!hasLabel(worker, step.requiredLabel())) {
        reason.missingLabelWorkers++;
      } else if (isClosedForTrials(worker, step, *aReady.job->find(aTask))) {
        reason.reservedWorkers++;
      } else if (isLimited(worker, step, *aReady.job->find(aTask))) {
        reason.unreliableWorkers++;
      } else if (!isEligible(worker, aReady, aTask, aStepName)) {
        reason.perWorkerLimitWorkers++;
      } else if (!hasCapacity(worker, step)) {
        reason.fullWorkers++;
      } else {
        reason.interferenceWorkers++;
      }
    }
    mPlan.waiting.push_back(std::move(reason));
  }

  /** Number of the step's image in the forecast; empty for a step that interferes with nothing. */
  std::optional<std::size_t> opportunisticImage(const JobStep& aStep)
  {
    return aStep.opportunistic() ? std::optional(mForecast.numberOf(aStep.image())) : std::nullopt;
  }

  /** Largest ratio of latency to objective on the worker that is expected after placing a task of
   * the step there; 0 for a step that is not opportunistic. */
  double expectedRatio(const WorkerCandidate& aWorker,
                       const JobStep& aStep,
                       const std::optional<std::size_t>& aImage)
  {
    return aImage ? mForecast.expectedRatio(aWorker.interference, *aImage, cpuShare(aWorker, aStep))
                  : 0;
  }

  /** Cost of interference that is absent now but may recur. */
  double riskCost(const WorkerCandidate& aWorker,
                  const JobStep& aStep,
                  const std::optional<std::size_t>& aImage)
  {
    if (!aImage) {
      return 0;
    }
    const double growth =
      mForecast.worstGrowth(aWorker.interference, *aImage, cpuShare(aWorker, aStep));
    return std::min(JobScheduler::kMaxRiskCost, growth);
  }

  /** Reserves capacity for a task that fits nowhere, see RoomPlanner. The task starts in a later
   * round. */
  bool reserveCapacity(const ReadyStep& aReady, const TaskId& aTask, const std::string& aStepName)
  {
    const JobStep& step = aReady.description();
    if (step.opportunistic()) {
      return false;
    }
    const std::string& pool = aReady.job->queue().poolName();
    const bool isOrdinary = isOrdinaryTask(aReady, aTask);
    if (isOrdinary && mFailedReservations.contain(pool, step)) {
      return false;
    }
    const ResourceAmount size = requiredResources(step);
    WorkerCandidate* best = nullptr;
    std::optional<RoomPlan> bestPlan;
    mPlan.examinedWorkers += std::ssize(mWorkers);
    for (WorkerCandidate& worker : mWorkers) {
      if (!isEligible(worker, aReady, aTask, aStepName) || !size.fitsIn(worker.capacity)) {
        continue;
      }
      std::optional<RoomPlan> plan = mRoomPlanner.plan(worker, step, aReady.priority);
      if (plan && (!bestPlan || plan->rank() < bestPlan->rank())) {
        best = &worker;
        bestPlan = std::move(plan);
      }
    }
    if (!bestPlan) {
      if (isOrdinary) {
        mFailedReservations.add(pool, step);
      }
      return false;
    }
    mRoomPlanner.carryOut(*best, *bestPlan);
    occupy(*best, step, aTask);
    return true;
  }

  /** Assigns all tasks of a gang or none; in one rack if the step asks for it and a rack has the
   * capacity. */
  void placeGang(const ReadyStep& aReady)
  {
    TaskId task = firstTask(aReady);
    for (task.index = 0; task.index < aReady.description().count(); task.index++) {
      const JobTaskRecord::Fields& member = *aReady.job->find(task);
      if (member.active || CrashAttribution::awaitsEvidence(member)) {
        return;
      }
    }
    if (aReady.description().sameRack()) {
      for (const WorkerCandidate& worker : std::vector<WorkerCandidate>(mWorkers)) {
        if (placeWholeGang(aReady, worker.rack)) {
          return;
        }
      }
    }
    placeWholeGang(aReady, std::nullopt);
  }

  /** Assigns all tasks of a gang, in one rack if given; changes nothing if one does not fit. */
  bool placeWholeGang(const ReadyStep& aReady, const std::optional<std::string>& aRack)
  {
    std::vector<WorkerCandidate> workers = mWorkers;
    const std::size_t before = mPlan.assignments.size();
    TaskId task = firstTask(aReady);
    const std::string name = stepName(task);
    for (task.index = 0; task.index < aReady.description().count(); task.index++) {
      if (!assign(aReady, task, name, workers, aRack)) {
        mPlan.assignments.erase(mPlan.assignments.begin() + static_cast<std::ptrdiff_t>(before),
                                mPlan.assignments.end());
        return false;
      }
    }
    mWorkers = std::move(workers);
    return true;
  }

  InterferenceForecast mForecast;
  std::vector<WorkerCandidate>& mWorkers;
  std::optional<TrialPlanner> mTrialPlanner;
  /** Tasks that wait for a trial, with their step. */
  std::vector<std::pair<const ReadyStep*, TrialTask>> mWaitingTrials;
  /** Long-running tasks without a worker for which nothing is reserved yet, with their step. */
  std::vector<std::pair<const ReadyStep*, TaskId>> mUnplaced;
  /** The stragglers and their workers, by task name. */
  std::map<std::string, std::pair<const WorkerCandidate*, SlowRun>> mStragglers;
  RoomPlanner mRoomPlanner;
  FailedSearches mFailedSearches;
  /** Steps come in the order of their priority, and a lower priority evicts fewer runs. */
  FailedSearches mFailedReservations;
  /** Pools that are not mostly free any more. */
  std::set<std::string_view> mBusyPools;
  /** Number of stragglers that are being stopped. */
  std::size_t mRestarting = 0;
  SchedulePlan mPlan;
};

} // namespace

SchedulePlan
JobScheduler::decide(const JobRegistry& aJobs,
                     const InterferenceGuard& aGuard,
                     std::vector<WorkerCandidate>& aWorkers,
                     std::int64_t aWallMs,
                     const RunTimeModel& aRunTimes)
{
  const std::vector<DueJob> dueJobs = findDueJobs(aJobs, aWorkers, aRunTimes, aWallMs);
  const std::vector<ReadyStep> readySteps = findReadySteps(dueJobs, aWallMs);
  SchedulingRound round(aGuard, aWorkers, readySteps);
  round.placeTrials(readySteps);
  std::optional<std::int64_t> standingPriority;
  for (const ReadyStep& ready : readySteps) {
    if (round.isFull()) {
      break;
    }
    // The long-running steps of a priority come one after the other, before its short ones.
    if (!ready.description().longRunning() || ready.priority != standingPriority) {
      round.reserveForUnplaced();
      standingPriority = ready.priority;
    }
    round.place(ready);
  }
  round.reserveForUnplaced();
  round.placeTrialsOnIdleWorkers();
  return round.takePlan();
}

} // namespace magnoliadrum
