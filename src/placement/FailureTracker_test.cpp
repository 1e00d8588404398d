#include "placement/FailureTracker.h"

#include <boost/test/unit_test.hpp>

namespace magnoliadrum {

namespace {

constexpr std::uint32_t kBadWorker = 1;
constexpr std::uint32_t kGoodWorker = 2;
constexpr std::uint32_t kEntry = 7;

} // namespace

BOOST_AUTO_TEST_SUITE(FailureTrackerTest)

// Guards against a worker that fails every task immediately and, being empty, attracts more tasks.
BOOST_AUTO_TEST_CASE(workerThatFailsEverythingIsQuarantinedAndProbed)
{
  FailureTracker tracker;
  tracker.taskSucceeded(kGoodWorker, kEntry);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(tracker.admits(kBadWorker, kEntry, 0));
    tracker.taskFailed(kBadWorker, kEntry, 0);
  }
  BOOST_TEST(tracker.isQuarantined(kBadWorker, 1000));
  BOOST_TEST(!tracker.admits(kBadWorker, kEntry, 1000));
  BOOST_TEST(tracker.takeProbeTargets(31000).size() == 1U);
  BOOST_TEST(tracker.admits(kBadWorker, kEntry, 31000));
  tracker.taskPlaced(kBadWorker, 31000);
  BOOST_TEST(!tracker.admits(kBadWorker, kEntry, 32000));
  tracker.taskFailed(kBadWorker, kEntry, 33000);
  BOOST_TEST(!tracker.admits(kBadWorker, kEntry, 90000));
  BOOST_TEST(tracker.admits(kBadWorker, kEntry, 94000));
  tracker.taskSucceeded(kBadWorker, kEntry);
  BOOST_TEST(tracker.admits(kBadWorker, kEntry, 94000));
}

// Guards against quarantining good workers because of an entry that fails everywhere.
BOOST_AUTO_TEST_CASE(entryThatFailsEverywhereIsFaultyAndNoWorkerIsQuarantined)
{
  FailureTracker tracker;
  for (std::uint32_t target = 0; target < 5; ++target) {
    for (int i = 0; i < 10; ++i) {
      tracker.taskFailed(target, kEntry, 0);
    }
  }
  BOOST_TEST(tracker.isFaulty(kEntry));
  for (std::uint32_t target = 0; target < 5; ++target) {
    BOOST_TEST(!tracker.isQuarantined(target, 0));
  }
  BOOST_TEST(tracker.retryDelayMs(0, 1) < tracker.retryDelayMs(0, 4));
  tracker.taskSucceeded(0, kEntry);
  BOOST_TEST(!tracker.isFaulty(kEntry));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
