#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A step whose tasks take a second. */
JobStep
shortStep()
{
  return jobOf("j", { stepOf(1, 1000, 10) }).steps().front();
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_attribution)

// Guards against blaming long-running tasks as much as one that has just begun, and against never
// blaming them.
BOOST_AUTO_TEST_CASE(share_falls_with_the_time_that_a_run_has_worked)
{
  const std::vector<std::int64_t> shares =
    CrashAttribution::shares({ { .ranMs = 20, .hasBegun = true },
                               { .ranMs = 2000, .hasBegun = true },
                               { .ranMs = 20000, .hasBegun = true },
                               { .ranMs = 61000, .hasBegun = true } });
  BOOST_TEST(shares[0] > shares[1]);
  BOOST_TEST(shares[1] > shares[2]);
  BOOST_TEST(shares[2] > 0);
  BOOST_TEST(shares[3] == 0);
}

// Guards against LOST: all tasks that had been started within the second before a crash shared the
// blame alike and were tried apart, so that the cause waited among hundreds of others.
BOOST_AUTO_TEST_CASE(run_that_has_just_begun_takes_most_of_the_blame)
{
  std::vector<RunAtCrash> runs = { { .ranMs = 12, .hasBegun = true } };
  for (std::int64_t index = 1; index <= 15; index++) {
    runs.push_back({ .ranMs = 300 + 100 * index, .hasBegun = true });
  }
  const std::vector<std::int64_t> shares = CrashAttribution::shares(runs);
  BOOST_TEST(3 * shares[0] > 1000);
  BOOST_TEST(2 * shares[0] > 5 * shares[1]);
  for (std::size_t index = 1; index < shares.size(); index++) {
    const JobTaskRecord::Fields task{ .crashes = 1,
                                      .crashAfterMs = runs[index].ranMs,
                                      .suspicion = shares[index] };
    BOOST_TEST(
      CrashAttribution::needsTrial(task) ==
        (runs[index].ranMs < kHarmlessRunMs && shares[index] >= CrashAttribution::kSmallShare),
      index);
  }
  const std::vector<std::int64_t> together = CrashAttribution::shares(
    { { .ranMs = 5, .hasBegun = true }, { .ranMs = 90, .hasBegun = true } });
  BOOST_TEST(together[0] == together[1], "the relay's times are no more exact");
}

// Guards against BUDGET: a task with small shares of many crashes was never tried apart.
BOOST_AUTO_TEST_CASE(task_with_three_early_crashes_is_tried_whatever_its_shares_were)
{
  const auto needsTrial = [](std::int64_t aCrashes, std::int64_t aSuspicion) {
    return CrashAttribution::needsTrial(
      { .crashes = aCrashes, .crashAfterMs = 500, .suspicion = aSuspicion });
  };
  constexpr std::int64_t kSmall = CrashAttribution::kSmallShare;
  BOOST_TEST(!needsTrial(1, kSmall - 1));
  BOOST_TEST(needsTrial(1, kSmall));
  BOOST_TEST(!needsTrial(2, 2 * kSmall - 1));
  BOOST_TEST(needsTrial(2, 2 * kSmall));
  BOOST_TEST(needsTrial(3, 3));
}

// Guards against a job that is given up for a crash beside a task that is known from earlier ones.
BOOST_AUTO_TEST_CASE(task_under_suspicion_takes_the_blame_from_the_runs_beside_it)
{
  const std::vector<std::int64_t> shares =
    CrashAttribution::shares({ { .ranMs = 2000, .hasBegun = true, .suspicion = 500 },
                               { .ranMs = 1000, .hasBegun = true, .harmlessMs = 4000 } });
  BOOST_TEST(shares[0] >= CrashAttribution::kCausingShare);
  BOOST_TEST(shares[1] < 50);
}

// Guards against LOST: a run had ended done, its end was on the way, and its job is given up for
// the crash that followed.
BOOST_AUTO_TEST_CASE(run_that_was_almost_done_may_have_ended_before_the_crash)
{
  BOOST_TEST(CrashAttribution::mayHaveEnded(shortStep(), 900, 60, 300));
  BOOST_TEST(!CrashAttribution::mayHaveEnded(shortStep(), 600, 10, 300));
  BOOST_TEST(CrashAttribution::mayHaveEnded(shortStep(), 600, 0, 300), "it shows no progress");
  BOOST_TEST(!CrashAttribution::mayHaveEnded(shortStep(), 20, 0, 300), "it has just begun");
}

// Guards against a count of suspects that is taken down twice: once when a gang is done, and again
// when another member's run ends.
BOOST_AUTO_TEST_CASE(suspect_of_a_gang_is_counted_once)
{
  JobRegistry jobs = registryWithQueues();
  JobStep::Fields gang = stepOf(2, 1000, 10);
  gang.gang = true;
  jobs.apply(submitOf("urgent", jobOf("g", { gang, stepOf(1, 1000, 10) })));
  const auto end = [&jobs](RunEnding::Fields aEnd) {
    jobs.apply(valueOf(EndRuns::create({ .ends = { valueOf(RunEnding::create(aEnd)) } })));
  };
  const RunEnding::Fields crash{
    .task = "g.0.0.1", .run = 1, .how = RunEnd::eLapsed, .crashSuspects = 3
  };
  jobs.apply(startOf("g.0.0.0", 1));
  jobs.apply(startOf("g.0.0.1", 1));
  jobs.apply(startOf("g.0.1.0", 1));
  end(crash);
  RunEnding::Fields other = crash;
  other.task = "g.0.1.0";
  end(other);
  end({ .task = "g.0.0.0", .run = 1, .how = RunEnd::eBroken });
  jobs.apply(startOf("g.0.0.0", 2));
  jobs.apply(startOf("g.0.0.1", 2));
  end({ .task = "g.0.0.0", .run = 2, .how = RunEnd::eDone, .harmless = true });
  end({ .task = "g.0.0.1", .run = 2, .how = RunEnd::eDone, .harmless = true });
  BOOST_TEST(jobs.find("g")->hasCrashSuspects(), "the task of the other step is still one");
}

BOOST_AUTO_TEST_SUITE_END()
