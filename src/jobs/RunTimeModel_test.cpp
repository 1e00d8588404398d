#include "jobs/RunTimeModel.h"

#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

/** A job of two steps that declare 1,000 ms. */
Job
jobWithId(const std::string& aId)
{
  return Job::accept(
    jobQueue("tally"), jobOf(aId, { stepOf(4, 1000, 10), stepOf(4, 1000, 10) }), 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_time_model)

BOOST_AUTO_TEST_CASE(without_observations_the_declared_estimate_holds)
{
  const RunTimeEstimate estimate = RunTimeModel().runTime(jobWithId("j"), 0, 0);
  BOOST_TEST(estimate.medianMs == 1000, boost::test_tools::tolerance(0.001));
  BOOST_TEST(estimate.observations == 0);
}

// Load: jobs whose declared run times are wrong by a factor that differs from job to job. Without
// what one run shows, the remaining path of a job is wrong until its step has ended.
BOOST_AUTO_TEST_CASE(the_progress_of_one_run_corrects_its_step)
{
  const Job job = jobWithId("j");
  RunTimeModel model;
  model.observe(job, { "j", 0, 0, 2 }, 1000, 25, false);
  BOOST_TEST(model.runTime(job, 0, 0).medianMs > 2000);
  BOOST_TEST(model.runTime(job, 0, 1).medianMs < 1100, "the other step is not known to be wrong");
  model.observe(job, { "j", 0, 0, 2 }, 4000, 100, true);
  model.observe(job, { "j", 0, 0, 3 }, 4000, 100, true);
  BOOST_TEST(model.runTime(job, 0, 0).medianMs == 4000, boost::test_tools::tolerance(0.2));
}

BOOST_AUTO_TEST_CASE(ends_refute_the_estimates_of_a_queue_for_later_jobs)
{
  RunTimeModel model;
  for (int number = 0; number < 40; number++) {
    const Job job = jobWithId("j" + std::to_string(number));
    model.observe(job, { job.jobId(), 0, 0, 0 }, 3000, 100, true);
    model.forget(job.jobId());
  }
  const RunTimeEstimate estimate = model.runTime(jobWithId("later"), 0, 0);
  BOOST_TEST(estimate.medianMs == 3000, boost::test_tools::tolerance(0.2));
  BOOST_TEST(estimate.logDeviation < RunTimeModel().runTime(jobWithId("later"), 0, 0).logDeviation);
}

// A new leader starts from what the log holds instead of the declared estimates.
BOOST_AUTO_TEST_CASE(saved_figures_give_the_same_estimate)
{
  RunTimeModel model;
  const Job job = jobWithId("j");
  model.observe(job, { "j", 0, 0, 0 }, 3000, 100, true);
  model.observeCpuShare(job, { "j", 0, 0, 0 }, 0.5);
  LearnedFigures::Fields figures;
  model.writeTo(figures);
  const RunTimeModel restored = RunTimeModel::fromFigures(valueOf(LearnedFigures::create(figures)));
  model.forget("j");
  BOOST_TEST((restored.runTime(job, 0, 0) == model.runTime(job, 0, 0)));
  BOOST_TEST(restored.cpuShare(job, 0) == model.cpuShare(job, 0));
}

BOOST_AUTO_TEST_CASE(a_run_beyond_all_estimates_still_has_time_left)
{
  const RunTimeEstimate estimate{ .medianMs = 1000, .logDeviation = 0.5 };
  BOOST_TEST(estimate.remainingMs(0) > 1000);
  BOOST_TEST(estimate.remainingMs(900) < estimate.remainingMs(0));
  BOOST_TEST(estimate.remainingMs(100000) > 0);
  BOOST_TEST(estimate.quantileMs(0.5) == 1000, boost::test_tools::tolerance(0.001));
  BOOST_TEST(estimate.quantileMs(0.9) > estimate.quantileMs(0.1));
}

BOOST_AUTO_TEST_SUITE_END()
