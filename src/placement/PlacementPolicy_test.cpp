#include "placement/PlacementFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace magnoliadrum {

namespace {

class PolicyFixture : public PlacementFixture
{
public:
  std::vector<PlacementDecision> runRound(std::int64_t aNowMs)
  {
    return mPolicy.decide(mView, MonotonicTime::fromMs(aNowMs));
  }

  PlacementPolicy mPolicy{ PlacementOptions{}, std::mt19937_64(1) };
  PlacementView mView;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementPolicyTest, PolicyFixture)

// Guards against a large task that does not fit and blocks small tasks that do.
BOOST_AUTO_TEST_CASE(largeTaskDoesNotBlockSmallOnes)
{
  mView.entries = { entry(batch("large", 30000)), entry(batch("small", 8000)) };
  mView.workers = { worker(1) };
  mView.tasks = { task("small", 0), task("large", 0), task("small", 1) };
  const auto placed = decisionsOfType<PlaceDecision>(runRound(0));
  BOOST_TEST(placed.size() == 2U);
  BOOST_TEST(placed.at(0).taskId == "small/0");
  BOOST_TEST(placed.at(1).taskId == "small/1");
}

// Guards against a steady flow of small tasks that starves a large one.
BOOST_AUTO_TEST_CASE(largeTaskIsNotStarved)
{
  mView.entries = { entry(batch("large", 30000)), entry(batch("small", 8000)) };
  mView.workers = { worker(1), worker(2) };
  mView.tasks = { task("large", 0) };
  int next = 0;
  bool isPlaced = false;
  for (std::int64_t now = 0; now < 120000 && !isPlaced; now += 1000) {
    // Each round ends the oldest small task and submits one more than fits.
    std::erase_if(mView.tasks, [&](const TaskView& aTask) {
      return aTask.entryName == "small" && aTask.state == TaskState::eRunning &&
             aTask.taskId == "small/" + std::to_string(next - 12);
    });
    mView.tasks.push_back(task("small", next++));
    for (const PlaceDecision& decision : decisionsOfType<PlaceDecision>(runRound(now))) {
      isPlaced = isPlaced || decision.taskId == "large/0";
      for (TaskView& changed : mView.tasks) {
        if (changed.taskId == decision.taskId) {
          changed.state = TaskState::eRunning;
          changed.epoch = decision.epoch;
          changed.session = decision.session;
        }
      }
    }
  }
  BOOST_TEST(isPlaced);
}

// Guards against tasks that wait behind earlier tasks of lower priority.
BOOST_AUTO_TEST_CASE(urgentTasksArePlacedFirstThenLatencyCritical)
{
  CatalogueEntry::Fields urgent = batch("urgent", 20000);
  urgent.urgent = true;
  CatalogueEntry::Fields critical = batch("critical", 20000);
  critical.workClass = WorkClass::eLatencyCritical;
  mView.entries = { entry(batch("batch", 20000)), entry(critical), entry(urgent) };
  mView.workers = { worker(1), worker(2) };
  mView.tasks = { task("batch", 0), task("critical", 0), task("urgent", 0) };
  const auto placed = decisionsOfType<PlaceDecision>(runRound(0));
  BOOST_TEST(placed.size() == 2U);
  BOOST_TEST(placed.at(0).taskId == "urgent/0");
  BOOST_TEST(placed.at(1).taskId == "critical/0");
}

// Guards against tasks that need no accelerators occupying workers that have them.
BOOST_AUTO_TEST_CASE(acceleratorWorkersAreLeftToTasksThatNeedThem)
{
  mView.entries = { entry(batch("plain", 8000)) };
  mView.workers = { worker(1, "waco", resources(64000, 64000, 8)), worker(2) };
  mView.tasks = { task("plain", 0), task("plain", 1), task("plain", 2) };
  for (const PlaceDecision& decision : decisionsOfType<PlaceDecision>(runRound(0))) {
    BOOST_TEST(decision.session == 2);
  }
}

// Guards against an owner that fills the cluster because it submitted first, and against exceeding
// a quota.
BOOST_AUTO_TEST_CASE(ownersGetEqualSharesWithinTheirQuotas)
{
  CatalogueEntry::Fields other = batch("other", 8000);
  other.owner = "delta";
  CatalogueEntry::Fields limited = batch("limited", 4000);
  limited.owner = "small";
  mView.entries = { entry(batch("first", 8000)), entry(other), entry(limited) };
  mView.quotas = { takeValue(
    OwnerQuota::create({ .owner = "small", .resources = resources(4000, 0) })) };
  mView.workers = { worker(1), worker(2) };
  for (int i = 0; i < 20; ++i) {
    mView.tasks.push_back(task("first", i));
  }
  for (int i = 0; i < 20; ++i) {
    mView.tasks.push_back(task("other", i));
    mView.tasks.push_back(task("limited", i));
  }
  std::map<std::string, int> counts;
  for (const PlaceDecision& decision : decisionsOfType<PlaceDecision>(runRound(0))) {
    ++counts[decision.taskId.substr(0, 5)];
  }
  BOOST_TEST(counts["limit"] == 1);
  BOOST_TEST(std::abs(counts["first"] - counts["other"]) <= 1);
  BOOST_TEST(counts["first"] + counts["other"] == 7);
}

// Guards against losing all replicas with one rack.
BOOST_AUTO_TEST_CASE(replicasAreSpreadOverRacks)
{
  CatalogueEntry::Fields standing = batch("watcher", 1000);
  standing.kind = EntryKind::eStanding;
  standing.limits = takeValue(EntryLimits::create({ .replicas = 4 }));
  mView.entries = { entry(standing) };
  for (int session = 3; session < 15; ++session) {
    mView.workers.push_back(worker(session));
  }
  for (int i = 0; i < 4; ++i) {
    mView.tasks.push_back(task("watcher", i));
  }
  std::set<std::int64_t> racks;
  for (const PlaceDecision& decision : decisionsOfType<PlaceDecision>(runRound(0))) {
    racks.insert(decision.session / 3);
  }
  BOOST_TEST(racks.size() == 4U);
}

// Guards against an impossible task without a reason, and against one that stays impossible after a
// suitable worker has registered.
BOOST_AUTO_TEST_CASE(impossibleTaskGetsReasonAndIsReconsidered)
{
  mView.entries = { entry(batch("huge", 40000)) };
  mView.workers = { worker(1), worker(2, "temple", resources(64000, 64000)) };
  mView.tasks = { task("huge", 0) };
  BOOST_TEST(runRound(0).empty());
  const auto impossible = decisionsOfType<ImpossibleDecision>(runRound(20000));
  BOOST_TEST(impossible.size() == 1U);
  BOOST_TEST(impossible.at(0).reason.find("needs 40000 mCPU") == 0U);
  mView.tasks.at(0).state = TaskState::eImpossible;
  BOOST_TEST(runRound(21000).empty());
  mView.workers.push_back(worker(3, "waco", resources(64000, 64000)));
  BOOST_TEST(decisionsOfType<ReconsiderDecision>(runRound(22000)).size() == 1U);
  mView.tasks.at(0).state = TaskState::ePending;
  BOOST_TEST(decisionsOfType<PlaceDecision>(runRound(23000)).at(0).session == 3);
}

// Guards against a lost placement command, after which the task would stay pending forever.
BOOST_AUTO_TEST_CASE(unconfirmedPlacementIsRepeated)
{
  mView.entries = { entry(batch("a", 1000)) };
  mView.workers = { worker(1) };
  mView.tasks = { task("a", 0) };
  BOOST_TEST(decisionsOfType<PlaceDecision>(runRound(0)).at(0).epoch == 1);
  BOOST_TEST(runRound(1000).empty());
  BOOST_TEST(decisionsOfType<PlaceDecision>(runRound(6000)).at(0).epoch == 1);
}

// Guards against a lost stop command, after which the task would count as stopping forever. The
// control service sends partial views, which do not repeat unchanged tasks.
BOOST_AUTO_TEST_CASE(unconfirmedEvictionIsRepeated)
{
  mView.entries = { entry(batch("a", 1000)) };
  mView.workers = { worker(1), worker(2) };
  mView.workers.at(0).draining = true;
  mView.tasks = { task("a", 0) };
  mView.tasks.at(0).state = TaskState::eRunning;
  mView.tasks.at(0).session = 1;
  BOOST_TEST(decisionsOfType<EvictDecision>(runRound(1)).size() == 1U);
  mView = {};
  mView.complete = false;
  BOOST_TEST(runRound(1000).empty());
  BOOST_TEST(decisionsOfType<EvictDecision>(runRound(6000)).size() == 1U);
}

// Guards against an urgent task that waits for running batch tasks, and against evicting another
// task than the cheapest.
BOOST_AUTO_TEST_CASE(urgentTaskPreemptsTheCheapestVictim)
{
  CatalogueEntry::Fields urgent = batch("urgent", 8000);
  urgent.urgent = true;
  mView.entries = { entry(batch("a", 8000)), entry(urgent) };
  mView.workers = { worker(1) };
  for (int i = 0; i < 4; ++i) {
    mView.tasks.push_back(task("a", i));
    mView.tasks.back().state = TaskState::eRunning;
    mView.tasks.back().session = 1;
    mView.tasks.back().evictions = i == 2 ? 0 : 1;
  }
  mView.tasks.push_back(task("urgent", 0));
  const auto evicted = decisionsOfType<EvictDecision>(runRound(1));
  BOOST_REQUIRE(evicted.size() == 1U);
  BOOST_TEST(evicted.at(0).taskId == "a/2");
  mView.tasks.at(2).state = TaskState::ePending;
  mView.tasks.at(2).session = 0;
  const auto placed = decisionsOfType<PlaceDecision>(runRound(500));
  BOOST_REQUIRE(placed.size() == 1U);
  BOOST_TEST(placed.at(0).taskId == "urgent/0");
}

// Guards against reserving a declared size that earlier tasks of the entry showed to be too small.
BOOST_AUTO_TEST_CASE(newTasksReserveTheUseSeenOnEarlierTasks)
{
  mView.entries = { entry(batch("hungry", 1000)) };
  mView.workers = { worker(1), worker(2) };
  mView.tasks = { task("hungry", 0) };
  mView.tasks.at(0).state = TaskState::eRunning;
  mView.tasks.at(0).session = 1;
  for (std::int64_t now = 0; now <= 20000; now += 1000) {
    mView.workers.at(0).usage = takeValue(
      TargetUsage::create({ .tasks = { takeValue(TaskUsage::create(
                              { .taskId = "hungry/0", .used = resources(1000, 16000) })) } }));
    mView.workers.at(0).usageAt = MonotonicTime::fromMs(now);
    runRound(now);
  }
  for (int i = 1; i < 10; ++i) {
    mView.tasks.push_back(task("hungry", i));
  }
  BOOST_TEST(decisionsOfType<PlaceDecision>(runRound(21000)).size() == 3U);
}

// Guards against assigning the same capacity twice when a partial view lists a running task before
// its worker.
BOOST_AUTO_TEST_CASE(taskListedBeforeItsWorkerKeepsItsReservation)
{
  mView.complete = false;
  mView.entries = { entry(batch("a", 20000)) };
  mView.tasks = { task("a", 0), task("a", 1) };
  mView.tasks.at(0).state = TaskState::eRunning;
  mView.tasks.at(0).session = 1;
  runRound(0);
  mView = {};
  mView.complete = false;
  mView.workers = { worker(1) };
  BOOST_TEST(decisionsOfType<PlaceDecision>(runRound(1000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
