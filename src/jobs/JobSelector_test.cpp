#include "jobs/JobSelector.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace magnoliadrum;

namespace {

constexpr double kCores = 10;

/** A job of some core-seconds whose objective ends after some seconds. */
JobDemand
demandOf(double aCoreSeconds, double aObjectiveSeconds, double aValue = 1)
{
  constexpr double kMsPerSecond = 1000;
  const std::int64_t objectiveMs = static_cast<std::int64_t>(aObjectiveSeconds * kMsPerSecond);
  return { .remainingWork = aCoreSeconds * kMsPerSecond,
           .value = aValue,
           .remainingPathMs = 100,
           .objectiveEndMs = objectiveMs,
           .usefulUntilMs = 3 * objectiveMs };
}

std::size_t
countOf(const std::vector<JobOutlook>& aOutlooks, JobOutlook aOutlook)
{
  return static_cast<std::size_t>(std::count(aOutlooks.begin(), aOutlooks.end(), aOutlook));
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_selector)

BOOST_AUTO_TEST_CASE(all_jobs_are_on_time_while_the_capacity_suffices)
{
  const std::vector<JobDemand> demands = { demandOf(10, 10), demandOf(10, 5), demandOf(10, 20) };
  BOOST_TEST(countOf(JobSelector::select(demands, kCores, 0), JobOutlook::eOnTime) == 3u);
}

// A burst of equal jobs that is twice as large as the capacity. Served in parts, all would be late.
BOOST_AUTO_TEST_CASE(a_burst_beyond_the_capacity_leaves_a_part_of_the_jobs_on_time)
{
  const std::vector<JobDemand> demands(20, demandOf(10, 10));
  const std::vector<JobOutlook> outlooks = JobSelector::select(demands, kCores, 0);
  const double fitting = JobSelector::kUsableShare * kCores * 10 / 10;
  BOOST_TEST(countOf(outlooks, JobOutlook::eOnTime) == static_cast<std::size_t>(fitting));
  BOOST_TEST(countOf(outlooks, JobOutlook::eLate) > 0u,
             "some of the others can still be useful later");
}

BOOST_AUTO_TEST_CASE(the_job_with_the_least_value_for_its_work_is_left_out)
{
  const std::vector<JobDemand> demands = { demandOf(30, 10),
                                           demandOf(20, 10, 0.1),
                                           demandOf(20, 10) };
  const std::vector<JobOutlook> outlooks = JobSelector::select(demands, kCores, 0);
  BOOST_TEST((outlooks[0] == JobOutlook::eOnTime));
  BOOST_TEST((outlooks[1] == JobOutlook::eLate));
  BOOST_TEST((outlooks[2] == JobOutlook::eOnTime));
}

BOOST_AUTO_TEST_CASE(a_job_near_its_completion_is_kept_when_new_ones_arrive)
{
  std::vector<JobDemand> demands(12, demandOf(10, 6));
  demands.push_back(demandOf(2, 1));
  demands.back().isStarted = true;
  BOOST_TEST((JobSelector::select(demands, kCores, 0).back() == JobOutlook::eOnTime));
}

BOOST_AUTO_TEST_CASE(a_job_without_enough_time_for_its_longest_path_is_not_on_time)
{
  JobDemand demand = demandOf(1, 2);
  demand.remainingPathMs = 1000;
  BOOST_TEST((JobSelector::select({ demand }, kCores, 0).front() == JobOutlook::eOnTime));
  BOOST_TEST((JobSelector::select({ demand }, kCores, 1900).front() == JobOutlook::eLate));
  BOOST_TEST((JobSelector::select({ demand }, kCores, 6000).front() == JobOutlook::eOverdue));
}

BOOST_AUTO_TEST_CASE(without_capacity_no_job_is_on_time)
{
  BOOST_TEST((JobSelector::select({ demandOf(1, 10) }, 0, 0).front() == JobOutlook::eOverdue));
  BOOST_TEST(JobSelector::select({}, kCores, 0).empty());
}

// The work of the selected jobs fits into the capacity up to each deadline, for any mix of jobs.
BOOST_AUTO_TEST_CASE(the_selected_jobs_always_fit_into_the_capacity)
{
  for (unsigned seed = 1; seed <= 200; seed++) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> work(1, 100);
    std::uniform_real_distribution<double> seconds(1, 30);
    std::vector<JobDemand> demands;
    for (int count = 0; count < 30; count++) {
      demands.push_back(demandOf(work(random), seconds(random)));
    }
    const std::vector<JobOutlook> outlooks = JobSelector::select(demands, kCores, 0);
    for (const JobDemand& last : demands) {
      double workUntil = 0;
      for (std::size_t index = 0; index < demands.size(); index++) {
        if (outlooks[index] == JobOutlook::eOnTime &&
            demands[index].objectiveEndMs <= last.objectiveEndMs) {
          workUntil += demands[index].remainingWork;
        }
      }
      BOOST_REQUIRE_MESSAGE(workUntil <= JobSelector::kUsableShare * kCores *
                                           static_cast<double>(last.objectiveEndMs),
                            "seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
