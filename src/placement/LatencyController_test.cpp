#include "placement/PlacementFixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>

namespace magnoliadrum {

namespace {

/** One service and one batch task on a worker; reports lag by a number of rounds. */
class LatencyControllerFixture : public PlacementFixture
{
public:
  explicit LatencyControllerFixture(PolicySettings::Fields aWeights, bool aHasOtherWorker)
    : mPolicy(options(aWeights), std::mt19937_64(1))
  {
    CatalogueEntry::Fields service = batch("service", 8000);
    service.kind = EntryKind::eStanding;
    service.workClass = WorkClass::eLatencyCritical;
    service.objective = takeValue(Objective::create({ .latencyMs = 100, .share = 0.99 }));
    mView.entries = { entry(service), entry(batch("noisy", 10000)) };
    mView.workers = { worker(1) };
    if (aHasOtherWorker) {
      mView.workers.push_back(worker(2));
    }
    for (const char* name : { "service", "noisy" }) {
      TaskView running = task(name, 0);
      running.state = TaskState::eRunning;
      running.session = 1;
      running.epoch = 1;
      mView.tasks.push_back(running);
    }
  }

  static PlacementOptions options(PolicySettings::Fields aWeights)
  {
    PlacementOptions result;
    result.settings = takeValue(PolicySettings::create(aWeights));
    return result;
  }

  void runRounds(int aRounds, std::size_t aLagRounds)
  {
    for (int i = 0; i < aRounds; ++i, mNowMs += 1000) {
      const bool isOnFirstWorker = mView.tasks.at(1).session == 1;
      const std::int64_t cpu =
        mCpuLimitMilli > 0 ? std::min<std::int64_t>(mCpuLimitMilli, 20000) : 20000;
      const double share = isOnFirstWorker ? static_cast<double>(cpu) / 32000 : 0;
      mSamples.push_back({ 60 * std::exp(2.0 * share), share });
      const auto [latency, reportedShare] =
        mSamples.at(mSamples.size() - 1 - std::min(aLagRounds, mSamples.size() - 1));
      TargetUsage::Fields usage;
      usage.tasks = { takeValue(TaskUsage::create(
        { .taskId = "noisy/0",
          .used = resources(static_cast<std::int64_t>(reportedShare * 32000), 100),
          .progress = 0.1 })) };
      mView.workers.at(0).usage = takeValue(TargetUsage::create(std::move(usage)));
      mView.workers.at(0).usageAt = MonotonicTime::fromMs(mNowMs);
      mView.services = { { "service", 1, latency, 100 } };
      for (const PlacementDecision& decision :
           mPolicy.decide(mView, MonotonicTime::fromMs(mNowMs))) {
        carryOut(decision);
      }
    }
  }

  void carryOut(const PlacementDecision& aDecision)
  {
    TaskView& noisy = mView.tasks.at(1);
    if (const ThrottleDecision* throttled = std::get_if<ThrottleDecision>(&aDecision)) {
      mCpuLimitMilli = throttled->cpuMilli;
      ++mThrottles;
    } else if (std::holds_alternative<EvictDecision>(aDecision)) {
      noisy.session = 0;
      noisy.state = TaskState::ePending;
      ++noisy.evictions;
      mThrottlesBeforeEviction = mThrottles;
      mCpuLimitMilli = 0;
    } else if (const PlaceDecision* placed = std::get_if<PlaceDecision>(&aDecision)) {
      noisy.session = placed->session;
      noisy.epoch = placed->epoch;
      noisy.state = TaskState::eRunning;
    }
  }

  PlacementPolicy mPolicy;
  PlacementView mView;
  std::int64_t mNowMs = 0;
  std::int64_t mCpuLimitMilli = 0;
  int mThrottles = 0;
  int mThrottlesBeforeEviction = 0;
  /** Latency in ms and CPU share of the batch task, per round. */
  std::vector<std::pair<double, double>> mSamples;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LatencyControllerTest)

// Guards against evicting before throttling, and against placing an evicted task back next to the
// service that it slows down.
BOOST_AUTO_TEST_CASE(throttlesBeforeMovingOnceWhenTailLatencyMatters)
{
  LatencyControllerFixture fixture(
    { .tailLatencyWeight = 10, .evictionWeight = 1, .throughputWeight = 1 }, true);
  fixture.runRounds(600, 3);
  BOOST_TEST(fixture.mView.tasks.at(1).evictions <= 1);
  BOOST_TEST(fixture.mThrottles > 0);
  BOOST_TEST(fixture.mSamples.back().first <= 100);
  BOOST_TEST((fixture.mView.tasks.at(1).evictions == 0 || fixture.mThrottlesBeforeEviction > 0));
}

// Guards against an eviction when evictions have the highest weight and throttling is sufficient,
// and against limits that oscillate because the latency is reported 6 s late.
BOOST_AUTO_TEST_CASE(throttlesWithoutOscillationWhenEvictionsMatter)
{
  LatencyControllerFixture fixture(
    { .tailLatencyWeight = 1, .evictionWeight = 10, .throughputWeight = 5 }, false);
  fixture.runRounds(1200, 6);
  BOOST_TEST(fixture.mView.tasks.at(1).evictions == 0);
  BOOST_TEST(fixture.mThrottles > 0);
  BOOST_TEST(fixture.mThrottles <= 24);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
