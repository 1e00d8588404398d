#include "control/OpenLapses.h"
#include "jobs/JobsFixture.h"
#include "state/BuildValue.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

constexpr std::int64_t kRanMs = 100;

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

WorkerReport
reportOf(const std::string& aWorker, std::int64_t aBornMs, std::vector<CrashSuspects> aCrashes = {})
{
  return buildValue<WorkerReport>(
    { .worker = buildValue<WorkerDescription>(
        { .workerId = aWorker, .bornMs = aBornMs, .poolName = "desk" }),
      .crashSuspects = std::move(aCrashes) });
}

/** Two tasks of the job "j" whose first runs on worker w1, born at 1, beside relay-1 have lapsed.
 */
struct LapsesFixture
{
  LapsesFixture()
  {
    mJobs.apply(submitOf("urgent", jobOf("j", { stepOf(2, 100, 10) })));
    for (std::int64_t index = 0; index < 2; index++) {
      const TaskId task{ "j", 0, 0, index };
      mJobs.apply(
        buildValue<StartRuns>({ .runs = { buildValue<RunStart>({ .task = task.text(),
                                                                 .run = 1,
                                                                 .worker = "w1",
                                                                 .bornMs = 1,
                                                                 .place = "relay-1" }) } }));
      mJobs.apply(buildValue<EndRuns>(
        { .ends = { buildValue<RunEnding>({ .task = task.text(),
                                            .run = 1,
                                            .how = RunEnd::eLapsed,
                                            .ranMs = kRanMs,
                                            .unexplained = UnexplainedLapse::eBegun }) } }));
      mLapses.add(task, mJobs.find("j")->find(task)->lapses->front(), at(0));
    }
  }

  std::vector<LapseFinding> explain(const WorkerReport& aReport,
                                    bool aIsSynced = true,
                                    const std::string& aRelay = "relay-1")
  {
    return mLapses.explain(aReport, aRelay, aIsSynced, mJobs);
  }

  JobRegistry mJobs = registryWithQueues();
  OpenLapses mLapses;
};

} // namespace

BOOST_AUTO_TEST_SUITE(open_lapses)

// Guards against LOST: a worker that was cut off and lived on was taken for one that had crashed.
BOOST_FIXTURE_TEST_CASE(worker_that_is_back_with_its_lists_did_not_crash, LapsesFixture)
{
  BOOST_TEST(explain(reportOf("w1", 1), false).empty(), "no lists since the lapse");
  BOOST_TEST(explain(reportOf("w2", 5), true, "relay-2").empty(), "another worker");
  const std::vector<LapseFinding> findings = explain(reportOf("w1", 1));
  BOOST_REQUIRE(findings.size() == 2u);
  BOOST_TEST((findings.front().cause() == LapseCause::eSurvived));
  BOOST_TEST(explain(reportOf("w1", 1)).empty(), "each lapse is explained once");
  mLapses.reopen({ findings.front() });
  BOOST_TEST(explain(reportOf("w1", 1)).size() == 1u, "the finding was not recorded");
  for (const LapseFinding& finding : findings) {
    mLapses.remove(finding.task(), finding.run());
  }
  BOOST_TEST(mLapses.size() == 0u);
}

// Guards against BUDGET: a crash whose relay was out of touch until the lease had lapsed.
BOOST_FIXTURE_TEST_CASE(relay_names_the_runs_that_were_there_at_the_crash, LapsesFixture)
{
  const CrashSuspects crash =
    buildValue<CrashSuspects>({ .worker = "w1",
                                .bornMs = 1,
                                .runs = { buildValue<SuspectedRun>(
                                  { .task = "j.0.0.1", .run = 1, .begun = true, .ranMs = 200 }) },
                                .certain = true });
  const std::vector<LapseFinding> findings = explain(reportOf("w9", 7, { crash }), false);
  BOOST_REQUIRE(findings.size() == 2u);
  BOOST_TEST(findings.front().task() == "j.0.0.0");
  BOOST_TEST((findings.front().cause() == LapseCause::eSurvived));
  BOOST_TEST((findings.back().cause() == LapseCause::eCrashed));
  BOOST_TEST(findings.back().crashSuspects() == 1);
  BOOST_TEST(findings.back().crashCertain());
  BOOST_TEST(findings.back().ranMs() == 200);
}

BOOST_FIXTURE_TEST_CASE(later_incarnation_shows_a_crash_without_a_witness, LapsesFixture)
{
  BOOST_TEST(explain(reportOf("w9", 7), true, "relay-2").empty(), "at another relay");
  BOOST_TEST(explain(reportOf("w9", 7), false).empty(), "it has not sent its lists");
  const std::vector<LapseFinding> findings = explain(reportOf("w9", 7));
  BOOST_REQUIRE(findings.size() == 2u);
  for (const LapseFinding& finding : findings) {
    BOOST_TEST((finding.cause() == LapseCause::eCrashed));
    BOOST_TEST(finding.crashSuspects() == 2);
    BOOST_TEST(!finding.crashCertain());
    BOOST_TEST(finding.ranMs() == kRanMs);
  }
}

// Guards against sharing the blame with a task that a later run has shown to be harmless.
BOOST_FIXTURE_TEST_CASE(run_that_the_log_no_longer_doubts_takes_no_blame, LapsesFixture)
{
  mJobs.apply(startOf("j.0.0.0", 2));
  mJobs.apply(buildValue<EndRuns>(
    { .ends = { buildValue<RunEnding>(
        { .task = "j.0.0.0", .run = 2, .how = RunEnd::eDone, .harmless = true }) } }));
  const std::vector<LapseFinding> findings = explain(reportOf("w9", 7));
  BOOST_REQUIRE(findings.size() == 2u);
  BOOST_TEST((findings.front().cause() == LapseCause::eSurvived));
  BOOST_TEST((findings.back().cause() == LapseCause::eCrashed));
  BOOST_TEST(findings.back().crashSuspects() == 1);
}

BOOST_FIXTURE_TEST_CASE(lapses_without_evidence_stay_unexplained, LapsesFixture)
{
  BOOST_TEST(mLapses.takeExpired(at(OpenLapses::kEvidenceMs - 1)).empty());
  const std::vector<LapseFinding> findings = mLapses.takeExpired(at(OpenLapses::kEvidenceMs));
  BOOST_REQUIRE(findings.size() == 2u);
  BOOST_TEST((findings.front().cause() == LapseCause::eUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
