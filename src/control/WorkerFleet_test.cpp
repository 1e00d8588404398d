#include "control/WorkerFleet.h"
#include "state/BuildValue.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

constexpr std::int64_t kLeaseMs = 10000;

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

WorkerReport
reportOf(const std::string& aWorker, bool aGone = false)
{
  return buildValue<WorkerReport>(
    { .worker = buildValue<WorkerDescription>(
        { .workerId = aWorker, .bornMs = 1, .poolName = "desk", .gone = aGone }) });
}

/** A leadership that starts at 1 s with runs on the workers w1 and w2. */
struct FleetFixture
{
  FleetFixture()
  {
    mFleet.startTerm(
      { { kFirst, "relay-1" }, { kSecond, "relay-2" } }, 1, at(kStartMs), at(kStartMs));
  }

  static constexpr std::int64_t kStartMs = 1000;
  const IncarnationKey kFirst{ "w1", 1 };
  const IncarnationKey kSecond{ "w2", 1 };
  WorkerFleet mFleet{ kLeaseMs };
};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_fleet)

// Guards against a worker that left before the change of the leader and whose runs count as active
// for a whole lease without a word in the log.
BOOST_FIXTURE_TEST_CASE(unreported_worker_with_runs_is_named_once_in_a_leadership, FleetFixture)
{
  const std::int64_t dueMs = kStartMs + WorkerFleet::kUnreportedAfterMs;
  mFleet.handleReport(reportOf("w1"), "relay-1", 1, at(kStartMs + 100));
  BOOST_TEST(mFleet.takeUnreported(at(dueMs - 1)).empty());
  const std::vector<UnreportedIncarnation> unreported = mFleet.takeUnreported(at(dueMs));
  BOOST_REQUIRE(unreported.size() == 1u);
  BOOST_TEST((unreported.front().key == kSecond));
  BOOST_TEST(unreported.front().relay == "relay-2");
  // The lease with the tolerance for clock drift, less the time since the start.
  BOOST_TEST(unreported.front().leaseLeftMs ==
             10400 + WorkerFleet::kLeaseMarginMs - WorkerFleet::kUnreportedAfterMs);
  BOOST_TEST(mFleet.takeUnreported(at(dueMs + 100)).empty());
  mFleet.startTerm({ { kSecond, "relay-2" } }, 2, at(dueMs), at(dueMs));
  BOOST_TEST(mFleet.takeUnreported(at(dueMs + WorkerFleet::kUnreportedAfterMs)).size() == 1u);
}

// Guards against a silence that counts from the start of the clock when no relay has reported.
BOOST_FIXTURE_TEST_CASE(silence_counts_from_the_latest_report_or_the_start, FleetFixture)
{
  mFleet.handleReport(reportOf("w1"), "relay-1", 1, at(kStartMs + 400));
  BOOST_TEST(mFleet.silentMs(kFirst, at(kStartMs + 1000)) == 600);
  BOOST_TEST(mFleet.silentMs(kSecond, at(kStartMs + 1000)) == 1000);
}

// Guards against a task that seems to run on a worker that has reported its end.
BOOST_FIXTURE_TEST_CASE(worker_that_is_gone_or_unknown_has_left, FleetFixture)
{
  BOOST_TEST(!mFleet.hasLeft(kFirst));
  mFleet.handleReport(reportOf("w1"), "relay-1", 1, at(kStartMs + 100));
  BOOST_TEST(!mFleet.hasLeft(kFirst));
  mFleet.handleReport(reportOf("w1", true), "relay-1", 1, at(kStartMs + 200));
  BOOST_TEST(mFleet.hasLeft(kFirst));
  BOOST_TEST(mFleet.hasLeft({ "w3", 1 }));
  mFleet.markLost(at(kStartMs + 2 * kLeaseMs));
  BOOST_TEST(mFleet.hasLeft(kSecond), "its lease has ended");
}

BOOST_AUTO_TEST_SUITE_END()
