#include "control/RoundMeter.h"

#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

struct RoundMeterFixture
{
  RoundMeterFixture()
  {
    mJobs.apply(submitOf("urgent", standingJobOf("s", 1, 1000)));
    mJobs.apply(submitOf("urgent", jobOf("j", { stepOf(2, 1000, 10) })));
    mWaiting.waiting.push_back({ .task = { "j", 0, 0, 1 }, .size = {} });
    mWaiting.examinedWorkers = 7;
    mWaiting.overdueAssignments = 1;
  }

  std::int64_t count(const std::string& aName, const std::string& aLabels = "") const
  {
    const LatencyHistogram* latency = mMetrics.latency(aName, aLabels);
    return latency != nullptr ? latency->total() : 0;
  }

  JobRegistry mJobs = registryWithQueues();
  SchedulePlan mWaiting;
  MetricsRegistry mMetrics;
  RoundMeter mMeter{ mMetrics };
};

} // namespace

BOOST_AUTO_TEST_SUITE(round_meter)

// Guards against a leader that is too slow for its queue and shows no sign of it.
BOOST_FIXTURE_TEST_CASE(gaps_count_only_while_tasks_wait, RoundMeterFixture)
{
  mMeter.onRound({}, at(1000));
  mMeter.onRound(mWaiting, at(5000));
  mMeter.onRound(mWaiting, at(5070));
  mMeter.onRound({}, at(5120));
  mMeter.onRound({}, at(9000));
  BOOST_TEST(count("control_round_gap_ms") == 2);
  const RoundSummary expected{
    .rounds = 5, .examinedWorkers = 14, .overdueAssignments = 2, .longestGapMs = 70
  };
  BOOST_TEST((mMeter.takeSummary() == expected));
  BOOST_TEST((mMeter.takeSummary() == RoundSummary{}));
  BOOST_TEST(mMetrics.counter("control_rounds") == 5);
}

BOOST_FIXTURE_TEST_CASE(first_starts_are_told_apart_by_kind, RoundMeterFixture)
{
  mMeter.onAccepted(*mJobs.find("s"), at(1000));
  mMeter.onAccepted(*mJobs.find("j"), at(1000));
  mMeter.onAssigned(*mJobs.find("j"), at(1300));
  mMeter.onAssigned(*mJobs.find("j"), at(4000));
  mMeter.forget("s");
  mMeter.onAssigned(*mJobs.find("s"), at(5000));
  BOOST_TEST(count("control_first_start_ms", "kind=\"short\"") == 1);
  BOOST_TEST(count("control_first_start_ms", "kind=\"standing\"") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
