#include "agent/TaskTable.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <set>

using namespace magnoliadrum;

// Simulates a control leader, a network and a worker around a TaskTable. Messages and calls are
// delayed, duplicated and lost, the agent and the worker restart, the worker freezes, and leases
// expire.

namespace {

constexpr std::int64_t kLeaseMs = 300;
constexpr std::int64_t kTickMs = 50;
constexpr std::int64_t kCapacityCpu = 1000;
constexpr int kOpenTasks = 8;
constexpr std::int64_t kFaultsUntilMs = 20000;
constexpr std::int64_t kDurationMs = 30000;
constexpr unsigned kSeeds = 40;

using TaskEpoch = std::pair<std::string, std::int64_t>;

/** A task and its current placement, as control sees them. */
struct Placement
{
  std::int64_t mEpoch = 0;
  std::int64_t mSession = 0;
  std::int64_t mCpu = 0;
  bool mCompleted = false;
  bool mFinished = false;
};

class Simulation
{
public:
  explicit Simulation(unsigned aSeed)
    : mRandom(aSeed)
  {
    addTasks();
  }

  void run()
  {
    every(kTickMs, [this]() { tickAgent(); });
    every(kTickMs, [this]() { tickControl(); });
    every(kTickMs, [this]() { tickWorker(); });
    while (!mQueue.empty() && mQueue.begin()->first <= kDurationMs) {
      const auto event = mQueue.begin();
      mNow = MonotonicTime::fromMs(event->first);
      const std::function<void()> action = std::move(event->second);
      mQueue.erase(event);
      action();
      performActions();
    }
    BOOST_TEST(mTable.isIdle());
    BOOST_TEST(mPublished.size() > 20U, "too few tasks were published for a meaningful check");
    BOOST_TEST(std::all_of(mPlacements.begin(), mPlacements.end(), [](const auto& aItem) {
      return aItem.second.mFinished;
    }));
    for (const auto& [key, reportedAt] : mUnacknowledged) {
      BOOST_ERROR("report of " << key.first << " was not resent until it was acknowledged");
    }
  }

private:
  /** A run of one task epoch on the worker. */
  struct WorkerRun
  {
    TaskState mState = TaskState::eRunning;
    std::int64_t mCpu = 0;
    MonotonicTime mLeaseUntil;
    MonotonicTime mEndsAt;
  };

  /** Returns a uniformly distributed number from 0 to aBelow - 1. */
  std::int64_t randomBelow(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(mRandom);
  }

  /** Returns true with a probability of 1 / aOneIn, and always false after kFaultsUntilMs. */
  bool injectFault(int aOneIn) { return mNow.ms() < kFaultsUntilMs && randomBelow(aOneIn) == 0; }

  void after(std::int64_t aMs, std::function<void()> aAction)
  {
    mQueue.emplace(mNow.ms() + aMs, std::move(aAction));
  }

  void every(std::int64_t aMs, const std::function<void()>& aAction)
  {
    after(aMs, [this, aMs, aAction]() {
      aAction();
      every(aMs, aAction);
    });
  }

  /** Delivers a message with a delay. Some messages are lost, and some are delivered again later.
   */
  void deliver(const std::function<void()>& aAction)
  {
    if (!injectFault(10)) {
      after(1 + randomBelow(30), aAction);
    }
    if (injectFault(10)) {
      after(100 + randomBelow(2000), aAction);
    }
  }

  void tickControl()
  {
    if (injectFault(60)) {
      mOutageUntil = mNow.plusMs(kLeaseMs * 3);
    }
    const bool reachable = mNow >= mOutageUntil;
    if (mSession != 0 && mNow.msSince(mLeaderRenewedAt) > kLeaseMs * 101 / 100 + 100) {
      endSession();
    }
    if (!reachable) {
      return;
    }
    if (mSession == 0) {
      openSession();
    } else {
      mLeaderRenewedAt = mNow;
      mTable.onLeaseChanged({ mSession, mNow.plusMs(kLeaseMs - 20) }, mNow);
    }
    if (mNow.ms() < kFaultsUntilMs) {
      addTasks();
    }
    for (auto& [taskId, placement] : mPlacements) {
      sendNextMessage(taskId, placement);
    }
  }

  /** Replaces finished tasks with new ones. */
  void addTasks()
  {
    const auto isOpen = [](const auto& aItem) { return !aItem.second.mFinished; };
    auto open = std::count_if(mPlacements.begin(), mPlacements.end(), isOpen);
    for (; open < kOpenTasks; open++) {
      const std::string taskId = "t" + std::to_string(mPlacements.size());
      mPlacements[taskId].mCpu = 100 + 100 * randomBelow(5);
    }
  }

  void endSession()
  {
    for (auto& [taskId, placement] : mPlacements) {
      if (placement.mSession == mSession) {
        placement.mSession = 0;
        placement.mFinished = placement.mFinished || placement.mCompleted;
      }
    }
    mSession = 0;
  }

  /**
   * Opens a new session. Placements of the previous session move to it if the table still lists
   * them; listed tasks without such a placement are stopped.
   */
  void openSession()
  {
    const std::int64_t ended = mSession;
    mSession = ++mLastSession;
    std::set<TaskEpoch> listed;
    for (const RunningTask& task : mTable.running()) {
      listed.insert({ task.taskId(), task.epoch() });
    }
    for (auto& [taskId, placement] : mPlacements) {
      if (ended != 0 && placement.mSession == ended) {
        const bool isTransferred = listed.erase({ taskId, placement.mEpoch }) > 0;
        placement.mSession = isTransferred ? mSession : 0;
        placement.mFinished = placement.mFinished || (!isTransferred && placement.mCompleted);
      }
    }
    mLeaderRenewedAt = mNow;
    mTable.onLeaseChanged({ mSession, mNow.plusMs(kLeaseMs - 20) }, mNow);
    for (const TaskEpoch& unexpected : listed) {
      sendStop(unexpected.first, unexpected.second, StopMode::eKill);
    }
  }

  void sendNextMessage(const std::string& aTaskId, Placement& aPlacement)
  {
    if (aPlacement.mFinished) {
      return;
    }
    if (aPlacement.mSession == 0) {
      aPlacement.mSession = mSession;
      aPlacement.mEpoch++;
    }
    if (aPlacement.mCompleted) {
      const TaskPublish message = valueOf(TaskPublish::create(
        { .session = mSession, .taskId = aTaskId, .epoch = aPlacement.mEpoch }));
      deliver([this, message]() { mTable.publish(message, mNow); });
    } else if (injectFault(20)) {
      sendStop(
        aTaskId, aPlacement.mEpoch, randomBelow(2) == 0 ? StopMode::eKill : StopMode::eCheckpoint);
    } else {
      const TaskStart message =
        valueOf(TaskStart::create({ .session = mSession,
                                    .taskId = aTaskId,
                                    .epoch = aPlacement.mEpoch,
                                    .entryName = "plan",
                                    .workClass = WorkClass::eBatch,
                                    .resources = cpuResources(aPlacement.mCpu) }));
      deliver([this, message]() { mTable.start(message, &mEntry, mNow); });
    }
  }

  void sendStop(const std::string& aTaskId, std::int64_t aEpoch, StopMode aMode)
  {
    const TaskStop message = valueOf(
      TaskStop::create({ .session = mSession, .taskId = aTaskId, .epoch = aEpoch, .mode = aMode }));
    deliver([this, message]() { mTable.stop(message, mNow); });
  }

  void onReport(const TaskReport& aReport)
  {
    if (mNow < mOutageUntil || aReport.session() != mSession) {
      return;
    }
    Placement& placement = mPlacements[aReport.taskId()];
    if (aReport.epoch() == placement.mEpoch && placement.mSession == mSession) {
      commit(aReport.state(), placement);
    } else if (aReport.state() == TaskState::eCompleted) {
      sendStop(aReport.taskId(), aReport.epoch(), StopMode::eKill);
    }
    const TaskReportAck ack = valueOf(TaskReportAck::create(
      { .taskId = aReport.taskId(), .epoch = aReport.epoch(), .state = aReport.state() }));
    deliver([this, ack]() {
      mUnacknowledged.erase({ ack.taskId(), ack.epoch() });
      mTable.acknowledge(ack, mNow);
    });
  }

  /** Applies a reported state to the current placement of a task. */
  static void commit(TaskState aState, Placement& aPlacement)
  {
    if (aState == TaskState::eCompleted) {
      aPlacement.mCompleted = true;
    } else if (aState != TaskState::eRunning) {
      aPlacement.mFinished = aPlacement.mCompleted;
      aPlacement.mSession = 0;
    }
  }

  void tickAgent()
  {
    if (injectFault(200)) {
      restartAgent();
      return;
    }
    mTable.tick(mNow);
    const std::int64_t sequence = mTable.beginListing();
    const std::int64_t agentIncarnation = mAgentIncarnation;
    if (mNow < mFrozenUntil) {
      return;
    }
    const std::vector<WorkerTask> tasks = listing();
    after(randomBelow(40), [this, tasks, sequence, agentIncarnation]() {
      if (agentIncarnation == mAgentIncarnation) {
        mTable.onListing(tasks, sequence, mNow);
      }
    });
  }

  void restartAgent()
  {
    mAgentIncarnation++;
    mUnacknowledged.clear();
    mTable = TaskTable(options());
    mTable.onWorkerClaimed(listing(), mNow);
    openSession();
  }

  std::vector<WorkerTask> listing() const
  {
    std::vector<WorkerTask> tasks;
    for (const auto& [key, run] : mRuns) {
      tasks.push_back({ .mTaskId = key.first,
                        .mEpoch = key.second,
                        .mState = run.mState,
                        .mReserved = cpuResources(run.mCpu) });
    }
    return tasks;
  }

  void tickWorker()
  {
    if (injectFault(100)) {
      mFrozenUntil = mNow.plusMs(randomBelow(1500));
    }
    if (mNow < mFrozenUntil) {
      return;
    }
    if (injectFault(300)) {
      mWorkerIncarnation++;
      mRuns.clear();
    }
    for (auto& [key, run] : mRuns) {
      if (run.mState != TaskState::eRunning) {
        continue;
      }
      if (run.mLeaseUntil <= mNow) {
        run.mState = TaskState::eStopped;
      } else if (run.mEndsAt <= mNow) {
        run.mState = randomBelow(8) == 0 ? TaskState::eFailed : TaskState::eCompleted;
      }
    }
  }

  /**
   * Simulates a call to the worker. The call may not be sent, or its outcome may be reported as
   * unknown before or after the worker carries it out.
   */
  void call(const std::function<WorkerCallOutcome()>& aOperation,
            const std::function<void(WorkerCallOutcome)>& aOnResult)
  {
    const std::int64_t agentIncarnation = mAgentIncarnation;
    const std::int64_t workerIncarnation = mWorkerIncarnation;
    const auto reply = [this, agentIncarnation, aOnResult](WorkerCallOutcome aOutcome) {
      if (agentIncarnation == mAgentIncarnation) {
        aOnResult(aOutcome);
      }
    };
    const bool lost = injectFault(15);
    if (lost) {
      after(randomBelow(200), [reply]() { reply(WorkerCallOutcome::eUnknown); });
    }
    if (!lost && injectFault(15)) {
      after(1, [reply]() { reply(WorkerCallOutcome::eNotSent); });
      return;
    }
    const std::int64_t frozenMs = std::max<std::int64_t>(0, mFrozenUntil.msSince(mNow));
    after(frozenMs + 1 + randomBelow(lost ? 200 : 20),
          [this, agentIncarnation, workerIncarnation, lost, aOperation, reply]() {
            WorkerCallOutcome result = WorkerCallOutcome::eUnknown;
            if (workerIncarnation == mWorkerIncarnation) {
              // The worker rejects calls from an agent that no longer holds the claim.
              result =
                agentIncarnation == mAgentIncarnation ? aOperation() : WorkerCallOutcome::eRejected;
            }
            if (!lost) {
              after(randomBelow(20), [reply, result]() { reply(result); });
            }
          });
  }

  WorkerCallOutcome workerStart(const StartAction& aAction)
  {
    const TaskEpoch key{ aAction.mStart.taskId(), aAction.mStart.epoch() };
    if (mRuns.contains(key)) {
      return WorkerCallOutcome::eSucceeded;
    }
    if (aAction.mLeaseUntil <= mNow) {
      return WorkerCallOutcome::eRejected;
    }
    BOOST_TEST(mStarted.insert(key).second, key.first << " started twice, epoch " << key.second);
    const std::int64_t requestedCpu = aAction.mStart.resources().cpuMilli();
    std::int64_t totalCpu = requestedCpu;
    for (const auto& [other, run] : mRuns) {
      const bool runs = run.mState == TaskState::eRunning && run.mLeaseUntil > mNow;
      BOOST_TEST((!runs || other.first != key.first), key.first << " runs in two epochs");
      totalCpu += runs ? run.mCpu : 0;
    }
    BOOST_TEST(totalCpu <= kCapacityCpu);
    mRuns[key] = { .mCpu = requestedCpu,
                   .mLeaseUntil = aAction.mLeaseUntil,
                   .mEndsAt = mNow.plusMs(50 + randomBelow(500)) };
    return WorkerCallOutcome::eSucceeded;
  }

  WorkerCallOutcome workerStop(const StopAction& aAction)
  {
    WorkerRun& run = mRuns[{ aAction.mTaskId, aAction.mEpoch }];
    if (run.mState == TaskState::eCompleted && aAction.mMode == StopMode::eCheckpoint) {
      return WorkerCallOutcome::eRejected;
    }
    if (run.mState == TaskState::eFailed || run.mState == TaskState::ePublished) {
      return WorkerCallOutcome::eRejected;
    }
    run.mState = TaskState::eStopped;
    return WorkerCallOutcome::eSucceeded;
  }

  WorkerCallOutcome workerPublish(const PublishAction& aAction)
  {
    const auto run = mRuns.find({ aAction.mTaskId, aAction.mEpoch });
    const bool ready = run != mRuns.end() && (run->second.mState == TaskState::eCompleted ||
                                              run->second.mState == TaskState::ePublished);
    if (!ready) {
      return WorkerCallOutcome::eRejected;
    }
    if (run->second.mState == TaskState::eCompleted) {
      BOOST_TEST(mPublished.insert(run->first.first).second, "published twice");
    }
    run->second.mState = TaskState::ePublished;
    return WorkerCallOutcome::eSucceeded;
  }

  void performActions()
  {
    BOOST_TEST(mTable.reserved().cpuMilli <= kCapacityCpu);
    for (const TaskAction& action : mTable.takeActions()) {
      std::visit([this](const auto& aAction) { perform(aAction); }, action);
    }
  }

  void perform(const StartAction& aAction)
  {
    BOOST_TEST((aAction.mLeaseUntil > mNow), "start without a valid lease");
    call([this, aAction]() { return workerStart(aAction); },
         [this, aAction](WorkerCallOutcome aOutcome) {
           mTable.onStartResult(
             aAction.mStart.taskId(), aAction.mStart.epoch(), aOutcome, "", mNow);
         });
  }

  void perform(const StopAction& aAction)
  {
    call([this, aAction]() { return workerStop(aAction); },
         [this, aAction](WorkerCallOutcome aOutcome) {
           mTable.onStopResult(aAction.mTaskId, aAction.mEpoch, aOutcome, "", mNow);
         });
  }

  void perform(const PublishAction& aAction)
  {
    call([this, aAction]() { return workerPublish(aAction); },
         [this, aAction](WorkerCallOutcome aOutcome) {
           mTable.onPublishResult(aAction.mTaskId, aAction.mEpoch, aOutcome, mNow);
         });
  }

  void perform(const LeaseAction& aAction)
  {
    const auto extend = [this, aAction]() {
      for (auto& [key, run] : mRuns) {
        if (run.mLeaseUntil > mNow) {
          run.mLeaseUntil = std::max(run.mLeaseUntil, aAction.mLeaseUntil);
        }
      }
      return WorkerCallOutcome::eSucceeded;
    };
    call(extend, [](WorkerCallOutcome) {});
  }

  void perform(const ThrottleAction& /*aAction*/) {}

  void perform(const ReportAction& aAction)
  {
    const TaskReport report = aAction.mReport;
    if (report.state() != TaskState::eRunning) {
      mUnacknowledged[{ report.taskId(), report.epoch() }] = mNow;
    }
    deliver([this, report]() { onReport(report); });
  }

  static Resources cpuResources(std::int64_t aMilli)
  {
    return valueOf(Resources::create({ .cpuMilli = aMilli }));
  }

  static TaskTable::Options options()
  {
    return { .mCapacity = cpuResources(kCapacityCpu),
             .mDataCentre = "Waco",
             .mLeaseMs = kLeaseMs,
             .mWorkerTimeoutMs = kLeaseMs / 2,
             .mReportResendMs = 100,
             .mCompletedResendMs = 1000 };
  }

  std::mt19937 mRandom;
  MonotonicTime mNow;
  std::multimap<std::int64_t, std::function<void()>> mQueue;
  CatalogueEntry mEntry = valueOf(CatalogueEntry::create({ .name = "plan",
                                                           .owner = "guild",
                                                           .kind = EntryKind::eBatch,
                                                           .workClass = WorkClass::eBatch,
                                                           .dataCentres = { "Waco" } }));
  TaskTable mTable{ options() };
  std::map<std::string, Placement> mPlacements;
  std::int64_t mSession = 0;
  std::int64_t mLastSession = 0;
  MonotonicTime mLeaderRenewedAt;
  MonotonicTime mOutageUntil;
  MonotonicTime mFrozenUntil;
  std::int64_t mAgentIncarnation = 0;
  std::int64_t mWorkerIncarnation = 0;
  std::map<TaskEpoch, WorkerRun> mRuns;
  std::set<TaskEpoch> mStarted;
  std::set<std::string> mPublished;
  std::map<TaskEpoch, MonotonicTime> mUnacknowledged;
};

} // namespace

// Guards against overcommitment, starts without a valid lease, starting an epoch twice, running a
// task in two epochs, publishing an output twice and lost reports, in the presence of restarts,
// delayed, duplicated and lost messages, and expired leases.
BOOST_AUTO_TEST_CASE(task_table_invariants_hold_under_random_faults)
{
  for (unsigned seed = 1; seed <= kSeeds; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Simulation(seed).run();
    }
  }
}
