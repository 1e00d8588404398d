#include "control/RunEndMeter.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace magnoliadrum;

namespace {

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

struct RunEndFixture
{
  RunEndFixture() { mRun.incarnation = mWorker; }

  std::int64_t count(const std::string& aName) const
  {
    const LatencyHistogram* latency = mMetrics.latency(aName, "");
    return latency != nullptr ? latency->total() : 0;
  }

  /** Whether the only recorded value is aMs, exact to the bucket of the histogram. */
  bool isOnly(const std::string& aName, double aMs) const
  {
    constexpr double kBucketWidth = 1.12;
    const double recorded = count(aName) == 1 ? mMetrics.latency(aName, "")->quantile(0.5) : 0;
    return recorded >= aMs / kBucketWidth && recorded <= aMs * kBucketWidth;
  }

  MetricsRegistry mMetrics;
  RunEndMeter mMeter{ mMetrics };
  IncarnationKey mWorker{ "w1", 1 };
  TrackedRun mRun;
};

} // namespace

BOOST_AUTO_TEST_SUITE(run_end_meter)

// Guards against a repeated report, or a resent order, that makes the steps seem short.
BOOST_FIXTURE_TEST_CASE(each_step_counts_from_its_first_sign, RunEndFixture)
{
  mRun.firstStopSentAt = at(1000);
  mRun.stopSentAt = at(1700);
  mMeter.onReported(mRun, at(1800));
  mMeter.onReported(mRun, at(2050));
  BOOST_TEST(isOnly("control_run_stop_ms", 800));
  mMeter.onCommitted(mRun, true, at(2100));
  BOOST_TEST(isOnly("control_run_end_commit_ms", 300));
  mMeter.onCommitted(mRun, true, at(2300));
  mMeter.onAssigned(mWorker, at(2500));
  BOOST_TEST(isOnly("control_freed_room_reuse_ms", 400));
  mMeter.onAssigned(mWorker, at(9000));
  BOOST_TEST(count("control_freed_room_reuse_ms") == 1, "the room was in use again");
}

// Guards against ends that no worker reported, and idle workers that no standing task waits for,
// among the latencies.
BOOST_FIXTURE_TEST_CASE(only_reported_ends_and_awaited_room_count, RunEndFixture)
{
  mMeter.onCommitted(mRun, true, at(1000));
  mMeter.onAssigned(mWorker, at(1100));
  BOOST_TEST(count("control_run_end_commit_ms") == 0, "a lapsed run");
  BOOST_TEST(count("control_freed_room_reuse_ms") == 0);
  mMeter.onReported(mRun, at(2000));
  BOOST_TEST(count("control_run_stop_ms") == 0, "a run that ended by itself");
  mMeter.onCommitted(mRun, false, at(2100));
  mMeter.onAssigned(mWorker, at(3000));
  BOOST_TEST(count("control_freed_room_reuse_ms") == 0, "no task waited for the room");
  mMeter.onCommitted(mRun, true, at(3100));
  mMeter.forgetFreed([this](const IncarnationKey& aKey) { return aKey == mWorker; });
  mMeter.onAssigned(mWorker, at(9000));
  BOOST_TEST(count("control_freed_room_reuse_ms") == 0, "the wait ended before");
  mMeter.onCommitted(mRun, true, at(9100));
  mMeter.endTerm();
  mMeter.onAssigned(mWorker, at(9200));
  BOOST_TEST(count("control_freed_room_reuse_ms") == 0, "another leadership");
}

BOOST_AUTO_TEST_SUITE_END()
