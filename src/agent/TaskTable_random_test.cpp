#include "agent/TaskTable.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <set>

using namespace magnoliadrum;

// A simulated control leader, network and worker around a TaskTable. Messages and calls are
// delayed, repeated and lost; agent and worker restart; the worker freezes; leases end.

namespace {

constexpr std::int64_t kLeaseMs = 300;
constexpr std::int64_t kPeriodMs = 50;
constexpr std::int64_t kCapacityCpu = 1000;
constexpr int kTasks = 8;
constexpr std::int64_t kFaultsUntilMs = 20000;
constexpr std::int64_t kEndMs = 30000;
constexpr unsigned kSeeds = 40;

using Key = std::pair<std::string, std::int64_t>;

struct Placement
{
  std::int64_t mEpoch = 0;
  std::int64_t mSession = 0;
  std::int64_t mCpu = 0;
  bool mCompleted = false;
  bool mFinal = false;
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
    every(kPeriodMs, [this]() { agentPeriod(); });
    every(kPeriodMs, [this]() { controlPeriod(); });
    every(kPeriodMs, [this]() { workerPeriod(); });
    while (!mQueue.empty() && mQueue.begin()->first <= kEndMs) {
      const auto event = mQueue.begin();
      mNow = MonotonicTime::fromMs(event->first);
      const std::function<void()> action = std::move(event->second);
      mQueue.erase(event);
      action();
      carryOut();
    }
    BOOST_TEST(mTable.isIdle());
    BOOST_TEST(mPublished.size() > 20U, "the faults left hardly any task to check");
    BOOST_TEST(std::all_of(mPlacements.begin(), mPlacements.end(), [](const auto& aItem) {
      return aItem.second.mFinal;
    }));
    for (const auto& [key, dueBy] : mUnacknowledged) {
      BOOST_ERROR("report of " << key.first << " was not repeated until its acknowledgement");
    }
  }

private:
  struct Run
  {
    TaskState mState = TaskState::eRunning;
    std::int64_t mCpu = 0;
    MonotonicTime mLeaseUntil;
    MonotonicTime mEndsAt;
  };

  std::int64_t chance(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(mRandom);
  }
  bool faulty(int aOneIn) { return mNow.ms() < kFaultsUntilMs && chance(aOneIn) == 0; }

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

  /** Delivers with a delay; sometimes never, sometimes a second time much later. */
  void deliver(const std::function<void()>& aAction)
  {
    if (!faulty(10)) {
      after(1 + chance(30), aAction);
    }
    if (faulty(10)) {
      after(100 + chance(2000), aAction);
    }
  }

  void controlPeriod()
  {
    if (faulty(60)) {
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
      mTable.leaseChanged({ mSession, mNow.plusMs(kLeaseMs - 20) }, mNow);
    }
    if (mNow.ms() < kFaultsUntilMs) {
      addTasks();
    }
    for (auto& [taskId, placement] : mPlacements) {
      drive(taskId, placement);
    }
  }

  /** Replaces finished tasks by new ones. */
  void addTasks()
  {
    const auto isOpen = [](const auto& aItem) { return !aItem.second.mFinal; };
    auto open = std::count_if(mPlacements.begin(), mPlacements.end(), isOpen);
    for (; open < kTasks; open++) {
      const std::string taskId = "t" + std::to_string(mPlacements.size());
      mPlacements[taskId].mCpu = 100 + 100 * chance(5);
    }
  }

  void endSession()
  {
    for (auto& [taskId, placement] : mPlacements) {
      if (placement.mSession == mSession) {
        placement.mSession = 0;
        placement.mFinal = placement.mFinal || placement.mCompleted;
      }
    }
    mSession = 0;
  }

  void openSession()
  {
    const std::int64_t ended = mSession;
    mSession = ++mLastSession;
    std::set<Key> listed;
    for (const RunningTask& task : mTable.running()) {
      listed.insert({ task.taskId(), task.epoch() });
    }
    for (auto& [taskId, placement] : mPlacements) {
      if (ended != 0 && placement.mSession == ended) {
        const bool moves = listed.erase({ taskId, placement.mEpoch }) > 0;
        placement.mSession = moves ? mSession : 0;
        placement.mFinal = placement.mFinal || (!moves && placement.mCompleted);
      }
    }
    mLeaderRenewedAt = mNow;
    mTable.leaseChanged({ mSession, mNow.plusMs(kLeaseMs - 20) }, mNow);
    for (const Key& stray : listed) {
      sendStop(stray.first, stray.second, StopMode::eKill);
    }
  }

  void drive(const std::string& aTaskId, Placement& aPlacement)
  {
    if (aPlacement.mFinal) {
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
    } else if (faulty(20)) {
      sendStop(
        aTaskId, aPlacement.mEpoch, chance(2) == 0 ? StopMode::eKill : StopMode::eCheckpoint);
    } else {
      const TaskStart message = valueOf(TaskStart::create({ .session = mSession,
                                                            .taskId = aTaskId,
                                                            .epoch = aPlacement.mEpoch,
                                                            .entryName = "plan",
                                                            .workClass = WorkClass::eBatch,
                                                            .resources = cpu(aPlacement.mCpu) }));
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

  static void commit(TaskState aState, Placement& aPlacement)
  {
    if (aState == TaskState::eCompleted) {
      aPlacement.mCompleted = true;
    } else if (aState != TaskState::eRunning) {
      aPlacement.mFinal = aPlacement.mCompleted;
      aPlacement.mSession = 0;
    }
  }

  void agentPeriod()
  {
    if (faulty(200)) {
      restartAgent();
      return;
    }
    mTable.tick(mNow);
    const std::int64_t mark = mTable.beginListing();
    const std::int64_t agent = mAgent;
    if (mNow < mFrozenUntil) {
      return;
    }
    const std::vector<WorkerTask> tasks = listing();
    after(chance(40), [this, tasks, mark, agent]() {
      if (agent == mAgent) {
        mTable.listed(tasks, mark, mNow);
      }
    });
  }

  void restartAgent()
  {
    mAgent++;
    mUnacknowledged.clear();
    mTable = TaskTable(options());
    mTable.claimed(listing(), mNow);
    openSession();
  }

  std::vector<WorkerTask> listing() const
  {
    std::vector<WorkerTask> tasks;
    for (const auto& [key, run] : mRuns) {
      tasks.push_back({ .mTaskId = key.first,
                        .mEpoch = key.second,
                        .mState = run.mState,
                        .mReserved = cpu(run.mCpu) });
    }
    return tasks;
  }

  void workerPeriod()
  {
    if (faulty(100)) {
      mFrozenUntil = mNow.plusMs(chance(1500));
    }
    if (mNow < mFrozenUntil) {
      return;
    }
    if (faulty(300)) {
      mWorker++;
      mRuns.clear();
    }
    for (auto& [key, run] : mRuns) {
      if (run.mState != TaskState::eRunning) {
        continue;
      }
      if (run.mLeaseUntil <= mNow) {
        run.mState = TaskState::eStopped;
      } else if (run.mEndsAt <= mNow) {
        run.mState = chance(8) == 0 ? TaskState::eFailed : TaskState::eCompleted;
      }
    }
  }

  /** Carries out a call at the worker. The caller may learn nothing, before or after it happens. */
  void call(const std::function<WorkerCallEnd()>& aWork,
            const std::function<void(WorkerCallEnd)>& aAnswer)
  {
    const std::int64_t agent = mAgent;
    const std::int64_t worker = mWorker;
    const auto answer = [this, agent, aAnswer](WorkerCallEnd aEnd) {
      if (agent == mAgent) {
        aAnswer(aEnd);
      }
    };
    const bool lost = faulty(15);
    if (lost) {
      after(chance(200), [answer]() { answer(WorkerCallEnd::eUnknown); });
    }
    if (!lost && faulty(15)) {
      after(1, [answer]() { answer(WorkerCallEnd::eNotSent); });
      return;
    }
    const std::int64_t frozenMs = std::max<std::int64_t>(0, mFrozenUntil.msSince(mNow));
    after(frozenMs + 1 + chance(lost ? 200 : 20), [this, agent, worker, lost, aWork, answer]() {
      WorkerCallEnd result = WorkerCallEnd::eUnknown;
      if (worker == mWorker) {
        // The worker refuses calls of an agent that no longer holds the claim.
        result = agent == mAgent ? aWork() : WorkerCallEnd::eRejected;
      }
      if (!lost) {
        after(chance(20), [answer, result]() { answer(result); });
      }
    });
  }

  WorkerCallEnd workerStart(const StartAction& aAction)
  {
    const Key key{ aAction.mStart.taskId(), aAction.mStart.epoch() };
    if (mRuns.contains(key)) {
      return WorkerCallEnd::eDone;
    }
    if (aAction.mLeaseUntil <= mNow) {
      return WorkerCallEnd::eRejected;
    }
    BOOST_TEST(mStarted.insert(key).second, key.first << " started twice, epoch " << key.second);
    const std::int64_t size = aAction.mStart.resources().cpuMilli();
    std::int64_t sum = size;
    for (const auto& [other, run] : mRuns) {
      const bool runs = run.mState == TaskState::eRunning && run.mLeaseUntil > mNow;
      BOOST_TEST((!runs || other.first != key.first), key.first << " runs in two epochs");
      sum += runs ? run.mCpu : 0;
    }
    BOOST_TEST(sum <= kCapacityCpu);
    mRuns[key] = { .mCpu = size,
                   .mLeaseUntil = aAction.mLeaseUntil,
                   .mEndsAt = mNow.plusMs(50 + chance(500)) };
    return WorkerCallEnd::eDone;
  }

  WorkerCallEnd workerStop(const StopAction& aAction)
  {
    Run& run = mRuns[{ aAction.mTaskId, aAction.mEpoch }];
    if (run.mState == TaskState::eCompleted && aAction.mMode == StopMode::eCheckpoint) {
      return WorkerCallEnd::eRejected;
    }
    if (run.mState == TaskState::eFailed || run.mState == TaskState::ePublished) {
      return WorkerCallEnd::eRejected;
    }
    run.mState = TaskState::eStopped;
    return WorkerCallEnd::eDone;
  }

  WorkerCallEnd workerPublish(const PublishAction& aAction)
  {
    const auto run = mRuns.find({ aAction.mTaskId, aAction.mEpoch });
    const bool ready = run != mRuns.end() && (run->second.mState == TaskState::eCompleted ||
                                              run->second.mState == TaskState::ePublished);
    if (!ready) {
      return WorkerCallEnd::eRejected;
    }
    if (run->second.mState == TaskState::eCompleted) {
      BOOST_TEST(mPublished.insert(run->first.first).second, "published twice");
    }
    run->second.mState = TaskState::ePublished;
    return WorkerCallEnd::eDone;
  }

  void carryOut()
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
         [this, aAction](WorkerCallEnd aEnd) {
           mTable.startEnded(aAction.mStart.taskId(), aAction.mStart.epoch(), aEnd, "", mNow);
         });
  }

  void perform(const StopAction& aAction)
  {
    call([this, aAction]() { return workerStop(aAction); },
         [this, aAction](WorkerCallEnd aEnd) {
           mTable.stopEnded(aAction.mTaskId, aAction.mEpoch, aEnd, "", mNow);
         });
  }

  void perform(const PublishAction& aAction)
  {
    call([this, aAction]() { return workerPublish(aAction); },
         [this, aAction](WorkerCallEnd aEnd) {
           mTable.publishEnded(aAction.mTaskId, aAction.mEpoch, aEnd, mNow);
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
      return WorkerCallEnd::eDone;
    };
    call(extend, [](WorkerCallEnd) {});
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

  static Resources cpu(std::int64_t aMilli)
  {
    return valueOf(Resources::create({ .cpuMilli = aMilli }));
  }

  static TaskTable::Options options()
  {
    return { .mCapacity = cpu(kCapacityCpu),
             .mDataCentre = "Waco",
             .mLeaseMs = kLeaseMs,
             .mWorkerSilenceMs = kLeaseMs / 2,
             .mReportRepeatMs = 100,
             .mCompletedRepeatMs = 1000 };
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
  std::int64_t mAgent = 0;
  std::int64_t mWorker = 0;
  std::map<Key, Run> mRuns;
  std::set<Key> mStarted;
  std::set<std::string> mPublished;
  std::map<Key, MonotonicTime> mUnacknowledged;
};

} // namespace

// Guards against overcommitment, starts without a lease, a second start of one epoch, two runs of
// one task and forgotten reports, under restarts, late and repeated messages and lost leases.
BOOST_AUTO_TEST_CASE(task_table_keeps_its_rules_under_random_faults)
{
  for (unsigned seed = 1; seed <= kSeeds; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Simulation(seed).run();
    }
  }
}
