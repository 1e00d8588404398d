#include "fleetmodel/fleetmodel.h"
#include "jobs/JobsFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr std::size_t kWorkers = 4;
constexpr ResourceAmount kWorkerCapacity{ 4000, 100000, 0 };

/** The users' bound for the end of a cancelled job, cancel_ms and StopMs. */
constexpr std::int64_t kCancelledMs = 3900;

/** Copies of submissions and cancellings that come in any order, among changes of the leader.
 * Without a cut relay the orders of a leader reach all workers. */
class CancelledJobsPlay
{
public:
  explicit CancelledJobsPlay(unsigned aSeed)
    : mRandom(aSeed)
  {
    // Commits take a step, so requests meet proposals that are not committed.
    mFleet.modelBusyLeader(0);
    mFleet.run(2000);
  }

  /** Returns the tasks that run too long after the acknowledged cancelling of their job. */
  std::string play()
  {
    constexpr int kEvents = 120;
    for (int event = 0; event < kEvents; event++) {
      const std::string job = "j" + std::to_string(below(kEvents / 3));
      switch (below(8)) {
        case 0:
          mFleet.changeLeader();
          break;
        case 1:
        case 2:
          mFleet.cancel(job);
          break;
        case 3:
          // Both are under way at the same time.
          mFleet.submit(standingJobOf(job, 1, 200));
          mFleet.cancel(job);
          break;
        default:
          mFleet.submit(standingJobOf(job, 1, 200));
          break;
      }
      run(below(300));
    }
    run(2 * kCancelledMs);
    return mFleet.violations() + mLateTasks;
  }

private:
  std::int64_t below(std::int64_t aLimit)
  {
    return static_cast<std::int64_t>(mRandom() % static_cast<unsigned>(aLimit));
  }

  void run(std::int64_t aMs)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMs; elapsedMs += FleetModel::kStepMs) {
      mFleet.run(FleetModel::kStepMs);
      mNowMs += FleetModel::kStepMs;
      for (const JobReply& reply : mFleet.takeReplies()) {
        const bool isCancelling = reply.requestId().starts_with("c-");
        const bool isAcknowledged =
          reply.outcome() == JobOutcome::eAccepted || reply.outcome() == JobOutcome::eUnknownJob;
        if (isCancelling && isAcknowledged) {
          mCancelledAtMs.emplace(reply.requestId().substr(2), mNowMs);
        }
      }
      for (const auto& [job, atMs] : mCancelledAtMs) {
        const std::string task = job + ".0.0.0";
        if (mNowMs - atMs > kCancelledMs && mFleet.isRunning(task)) {
          mLateTasks += task + " runs at " + std::to_string(mNowMs) + "\n";
        }
      }
    }
  }

  std::mt19937 mRandom;
  FleetModel mFleet{ kWorkers, kWorkerCapacity };
  std::int64_t mNowMs = 0;
  std::map<std::string, std::int64_t> mCancelledAtMs;
  std::string mLateTasks;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cancelled_jobs)

// Guards against UNASKED: a task of a job whose cancelling was acknowledged, whichever of the
// copies of its submission and its cancelling comes first.
BOOST_AUTO_TEST_CASE(no_task_runs_after_its_cancelling_was_acknowledged)
{
  for (unsigned seed = 1; seed <= 20; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(CancelledJobsPlay(seed).play() == "");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
