#include "jobs/ShortWorkDemand.h"

#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

double
asDeclared(const std::string& /*aQueue*/)
{
  return 1;
}

/** A job of two cores for half a second. */
JobDescription
shortJob()
{
  JobStep::Fields step = stepOf(2, 1000, 10);
  step.estimateMs = 500;
  return jobOf("j", { step });
}

constexpr std::int64_t kStartMs = 1000000;

} // namespace

BOOST_AUTO_TEST_SUITE(short_work_demand)

BOOST_AUTO_TEST_CASE(rate_is_the_declared_work_of_a_second)
{
  ShortWorkDemand demand;
  for (std::int64_t second = 0; second < 20; second++) {
    for (std::int64_t job = 0; job < 3; job++) {
      demand.add(jobQueue("urgent"), shortJob(), kStartMs + second * 1000 + job * 300);
    }
  }
  const DemandRate rate = demand.rate("desk", 0, kStartMs + 20000, asDeclared);
  BOOST_TEST(rate.meanCpuMilli == 3000, boost::test_tools::tolerance(0.01));
  BOOST_TEST(rate.deviationCpuMilli < 1);
  const auto twice = [](const std::string&) { return 2.0; };
  BOOST_TEST(demand.rate("desk", 0, kStartMs + 20000, twice).meanCpuMilli == 6000,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(demand.rate("other", 0, kStartMs + 20000, asDeclared).meanCpuMilli == 0);
}

BOOST_AUTO_TEST_CASE(demand_follows_its_queue_to_another_pool)
{
  ShortWorkDemand demand;
  for (std::int64_t second = 0; second < 20; second++) {
    demand.add(jobQueue("urgent"), shortJob(), kStartMs + second * 1000);
  }
  demand.followQueues({ inPool(jobQueue("urgent", 3), "annex") });
  BOOST_TEST(demand.rate("desk", 3, kStartMs + 20000, asDeclared).meanCpuMilli == 0);
  BOOST_TEST(demand.rate("annex", 2, kStartMs + 20000, asDeclared).meanCpuMilli == 0);
  BOOST_TEST(demand.rate("annex", 3, kStartMs + 20000, asDeclared).meanCpuMilli == 1000,
             boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(bursts_show_as_a_deviation)
{
  ShortWorkDemand demand;
  for (std::int64_t second = 0; second < 20; second += 2) {
    demand.add(jobQueue("urgent"), shortJob(), kStartMs + second * 1000);
    demand.add(jobQueue("urgent"), shortJob(), kStartMs + second * 1000);
  }
  const DemandRate rate = demand.rate("desk", 0, kStartMs + 20000, asDeclared);
  BOOST_TEST(rate.meanCpuMilli == 1000, boost::test_tools::tolerance(0.1));
  BOOST_TEST(rate.deviationCpuMilli == 1000, boost::test_tools::tolerance(0.2));
}

BOOST_AUTO_TEST_CASE(work_that_does_not_compete_does_not_count)
{
  JobStep::Fields opportunistic = stepOf(2, 1000, 10);
  opportunistic.opportunistic = true;
  ShortWorkDemand demand;
  demand.add(jobQueue("urgent"), jobOf("o", { opportunistic }), kStartMs);
  demand.add(jobQueue("urgent"), standingJobOf("s", 2, 1000), kStartMs);
  demand.add(jobQueue("tally", 2), shortJob(), kStartMs);
  BOOST_TEST(demand.rate("desk", 0, kStartMs + 1000, asDeclared).meanCpuMilli == 0);
  BOOST_TEST(demand.rate("desk", 2, kStartMs + 1000, asDeclared).meanCpuMilli > 0);
}

BOOST_AUTO_TEST_CASE(demand_that_has_ended_is_forgotten)
{
  ShortWorkDemand demand;
  for (std::int64_t second = 0; second < 20; second++) {
    demand.add(jobQueue("urgent"), shortJob(), kStartMs + second * 1000);
  }
  BOOST_TEST(demand.rate("desk", 0, kStartMs + 30000, asDeclared).meanCpuMilli < 400);
  BOOST_TEST(demand.rate("desk", 0, kStartMs + 3600000, asDeclared).meanCpuMilli == 0);
}

// Guards against a second that never ends, and a demand that stays as it was, after a clock was set
// back.
BOOST_AUTO_TEST_CASE(demand_is_measured_on_after_the_clock_was_set_back)
{
  ShortWorkDemand demand;
  for (std::int64_t second = 0; second < 20; second++) {
    demand.add(jobQueue("urgent"), shortJob(), kStartMs + second * 1000);
  }
  constexpr std::int64_t kEarlierMs = kStartMs - 3600000;
  for (std::int64_t second = 0; second < 60; second++) {
    for (std::int64_t job = 0; job < 3; job++) {
      demand.add(jobQueue("urgent"), shortJob(), kEarlierMs + second * 1000);
    }
  }
  const DemandRate rate = demand.rate("desk", 0, kEarlierMs + 60000, asDeclared);
  BOOST_TEST(rate.meanCpuMilli == 3000, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
