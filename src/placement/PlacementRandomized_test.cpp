#include "placement/PlacementFixture.h"
#include "placement/ResourceAmount.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

namespace magnoliadrum {

namespace {

/** A randomly changing cluster that tracks its state independently of the policy. */
class RandomCluster : public PlacementFixture
{
public:
  /** With aPartialViews only the first view is complete, as in the control service. */
  RandomCluster(unsigned aSeed, bool aPartialViews)
    : mPartialViews(aPartialViews)
    , mRandom(aSeed)
    , mPolicy(PlacementOptions{}, std::mt19937_64(aSeed))
  {
    for (int i = 0; i < 8; ++i) {
      addEntry(i);
    }
  }

  void step(std::int64_t aNowMs)
  {
    changeWorkers();
    changeTasks();
    reportUsage(aNowMs);
    PlacementView view = mPartialViews && aNowMs > 0 ? changes() : mView;
    mLastView = mView;
    for (const char* service : { "e0", "e1" }) {
      for (const WorkerView& worker : mView.workers) {
        view.services.push_back({ service, worker.session, 5.0 + below(300), 100 });
      }
    }
    for (const PlacementDecision& decision : mPolicy.decide(view, MonotonicTime::fromMs(aNowMs))) {
      std::visit([this](const auto& aDecision) { check(aDecision); }, decision);
    }
  }

  int placed() const { return mPlaced; }
  int evicted() const { return mEvicted; }

private:
  int below(int aLimit) { return static_cast<int>(mRandom() % static_cast<unsigned>(aLimit)); }

  std::int64_t amountBelow(int aLimit) { return below(aLimit); }

  /** Returns the differences from the last view. Removed sessions apply before their tasks. */
  PlacementView changes() const
  {
    PlacementView result;
    result.complete = false;
    result.workers = mView.workers;
    for (const WorkerView& worker : mLastView.workers) {
      const auto isSame = [&](const WorkerView& aOther) {
        return aOther.session == worker.session;
      };
      if (std::none_of(mView.workers.begin(), mView.workers.end(), isSame)) {
        result.removedSessions.push_back(worker.session);
      }
    }
    std::map<std::string, TaskView> before;
    for (const TaskView& task : mLastView.tasks) {
      before.emplace(task.taskId, task);
    }
    for (const TaskView& task : mView.tasks) {
      const auto known = before.find(task.taskId);
      if (known == before.end() || known->second != task) {
        result.tasks.push_back(task);
      }
      before.erase(task.taskId);
    }
    for (const auto& [taskId, removedTask] : before) {
      result.removedTasks.push_back(taskId);
    }
    return result;
  }

  void addEntry(int aNumber)
  {
    CatalogueEntry::Fields fields =
      batch("e" + std::to_string(aNumber), 500 + 100 * amountBelow(aNumber == 7 ? 500 : 100));
    fields.owner = "owner" + std::to_string(aNumber % 3);
    fields.dataCentres = { below(2) == 0 ? "waco" : "temple" };
    if (below(3) == 0) {
      fields.dataCentres = { "waco", "temple" };
    }
    fields.urgent = aNumber == 5;
    fields.kind = aNumber == 6 ? EntryKind::eStanding : EntryKind::eBatch;
    fields.workClass = aNumber < 2 ? WorkClass::eLatencyCritical : WorkClass::eBatch;
    fields.objective = takeValue(Objective::create({ .latencyMs = 100, .share = 0.99 }));
    mView.entries.push_back(entry(fields));
  }

  void changeWorkers()
  {
    if (mView.workers.size() < 6 || below(40) == 0) {
      const Resources capacity =
        resources(13000 + 1000 * amountBelow(40), 13000 + 1000 * amountBelow(40));
      mView.workers.push_back(worker(mNextSession++, below(3) == 0 ? "temple" : "waco", capacity));
    }
    WorkerView& changed =
      mView.workers.at(static_cast<std::size_t>(below(static_cast<int>(mView.workers.size()))));
    changed.draining = below(20) == 0 ? !changed.draining : changed.draining;
    if (below(60) == 0) {
      for (TaskView& task : mView.tasks) {
        if (task.session == changed.session) {
          stop(task);
        }
      }
      std::erase(mView.workers, WorkerView(changed));
    }
  }

  void changeTasks()
  {
    for (int i = below(8); i > 0; --i) {
      mView.tasks.push_back(task("e" + std::to_string(below(8)), mNextTask++));
    }
    for (TaskView& task : mView.tasks) {
      if (task.session != 0 && (task.stopRequested || below(30) == 0)) {
        task.attempts += task.stopRequested ? 0 : 1;
        stop(task);
      }
    }
    std::erase_if(mView.tasks, [this](const TaskView&) { return below(30) == 0; });
  }

  static void stop(TaskView& aTask)
  {
    aTask.session = 0;
    aTask.state = TaskState::ePending;
    aTask.stopRequested = false;
  }

  void reportUsage(std::int64_t aNowMs)
  {
    for (WorkerView& worker : mView.workers) {
      TargetUsage::Fields fields;
      for (const TaskView& task : mView.tasks) {
        if (task.session != worker.session) {
          continue;
        }
        std::int64_t cpu = 100 * amountBelow(120);
        if (mCpuLimits[task.taskId] > 0) {
          cpu = std::min(cpu, mCpuLimits[task.taskId]);
        }
        const Resources used = resources(cpu, 100 * amountBelow(100));
        mUsed[task.taskId] = ResourceAmount::of(used);
        fields.tasks.push_back(
          takeValue(TaskUsage::create({ .taskId = task.taskId, .used = used })));
      }
      worker.usage = takeValue(TargetUsage::create(std::move(fields)));
      worker.usageAt = MonotonicTime::fromMs(aNowMs);
    }
  }

  TaskView& find(const std::string& aTaskId)
  {
    for (TaskView& task : mView.tasks) {
      if (task.taskId == aTaskId) {
        return task;
      }
    }
    BOOST_REQUIRE_MESSAGE(false, "decision about the unknown task " + aTaskId);
    return mView.tasks.front();
  }

  const CatalogueEntry& entryOf(const TaskView& aTask) const
  {
    return mView.entries.at(static_cast<std::size_t>(aTask.entryName.at(1) - '0'));
  }

  ResourceAmount sizeOf(const TaskView& aTask) const
  {
    const ResourceAmount declared = ResourceAmount::of(entryOf(aTask).resources());
    const auto used = mUsed.find(aTask.taskId);
    return used == mUsed.end() ? declared : declared.componentMax(used->second);
  }

  void check(const PlaceDecision& aDecision)
  {
    TaskView& placed = find(aDecision.taskId);
    BOOST_REQUIRE(placed.state == TaskState::ePending);
    BOOST_REQUIRE_EQUAL(aDecision.epoch, placed.epoch + 1);
    const auto found =
      std::find_if(mView.workers.begin(), mView.workers.end(), [&](const WorkerView& aWorker) {
        return aWorker.session == aDecision.session;
      });
    BOOST_REQUIRE(found != mView.workers.end());
    BOOST_REQUIRE(!found->draining);
    const std::vector<std::string>& allowed = entryOf(placed).dataCentres();
    BOOST_REQUIRE(std::count(allowed.begin(), allowed.end(), found->target.dataCentre()) == 1);
    ++mPlaced;
    if (below(10) == 0) {
      return; // The command is lost; the task stays pending.
    }
    placed.state = TaskState::eRunning;
    placed.session = aDecision.session;
    placed.epoch = aDecision.epoch;
    mCpuLimits.erase(placed.taskId);
    ResourceAmount total;
    for (const TaskView& task : mView.tasks) {
      total = task.session == aDecision.session ? total.plus(sizeOf(task)) : total;
    }
    BOOST_REQUIRE(total.fitsIn(ResourceAmount::of(found->target.capacity())));
  }

  void check(const EvictDecision& aDecision)
  {
    TaskView& stopped = find(aDecision.taskId);
    BOOST_REQUIRE_EQUAL(stopped.session, aDecision.session);
    BOOST_REQUIRE_EQUAL(stopped.epoch, aDecision.epoch);
    BOOST_REQUIRE(!stopped.stopRequested);
    stopped.stopRequested = true;
    ++stopped.evictions;
    ++mEvicted;
  }

  void check(const ThrottleDecision& aDecision)
  {
    BOOST_REQUIRE_EQUAL(find(aDecision.taskId).session, aDecision.session);
    mCpuLimits[aDecision.taskId] = aDecision.cpuMilli;
    ResourceAmount& used = mUsed[aDecision.taskId];
    used.cpuMilli =
      aDecision.cpuMilli > 0 ? std::min(used.cpuMilli, aDecision.cpuMilli) : used.cpuMilli;
  }

  void check(const ImpossibleDecision& aDecision)
  {
    find(aDecision.taskId).state = TaskState::eImpossible;
    BOOST_REQUIRE(!aDecision.reason.empty());
  }

  void check(const ReconsiderDecision& aDecision)
  {
    BOOST_REQUIRE(find(aDecision.taskId).state == TaskState::eImpossible);
    find(aDecision.taskId).state = TaskState::ePending;
  }

  bool mPartialViews;
  std::mt19937_64 mRandom;
  PlacementPolicy mPolicy;
  PlacementView mView;
  PlacementView mLastView;
  std::map<std::string, ResourceAmount> mUsed;
  std::map<std::string, std::int64_t> mCpuLimits;
  std::int64_t mNextSession = 1;
  int mNextTask = 0;
  int mPlaced = 0;
  int mEvicted = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementRandomizedTest)

// Guards against decisions that exceed the capacity of a VM (counting the larger of declared and
// observed use), use a draining worker or a data centre that is not allowed, place a task that is
// not pending or stop a task twice, while workers, tasks, usage and latencies change at random.
BOOST_AUTO_TEST_CASE(noDecisionViolatesHardLimits)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RandomCluster cluster(seed, seed % 2 == 0);
      for (std::int64_t now = 0; now < 400000; now += 1000) {
        cluster.step(now);
      }
      BOOST_TEST(cluster.placed() > 100);
      BOOST_TEST(cluster.evicted() > 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
