#include "jobs/FailedSearches.h"

#include "jobs/JobsFixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;
using namespace magnoliadrum::fixture;

namespace {

JobStep
step(std::int64_t aCpuMilli, std::int64_t aMemoryMb, std::int64_t aMaxPerWorker = 0)
{
  JobStep::Fields fields = stepOf(4, aCpuMilli, aMemoryMb);
  fields.maxPerWorker = aMaxPerWorker;
  return valueOf(JobStep::create(fields));
}

JobStep
opportunisticStep(const std::string& aImage)
{
  JobStep::Fields fields = stepOf(4, 1000, 10);
  fields.opportunistic = true;
  fields.image = aImage;
  return valueOf(JobStep::create(fields));
}

} // namespace

BOOST_AUTO_TEST_SUITE(failed_searches)

BOOST_AUTO_TEST_CASE(failed_search_holds_for_larger_tasks_of_its_kind)
{
  const std::string pool = "desk";
  const JobStep middle = step(2000, 200);
  FailedSearches failed;
  failed.add(pool, middle);
  const JobStep larger = step(2000, 300);
  const JobStep lessMemory = step(3000, 100);
  const JobStep less = step(1000, 200);
  const JobStep limited = step(2000, 200, 1);
  BOOST_TEST(failed.contain(pool, larger));
  BOOST_TEST(failed.contain(pool, limited));
  BOOST_TEST(!failed.contain(pool, lessMemory));
  BOOST_TEST(!failed.contain(pool, less));
  BOOST_TEST(!failed.contain("other", larger));
}

BOOST_AUTO_TEST_CASE(limit_for_each_worker_says_nothing_of_other_steps)
{
  const std::string pool = "desk";
  const JobStep limited = step(1000, 100, 1);
  const JobStep other = step(1000, 100);
  FailedSearches failed;
  failed.add(pool, limited);
  BOOST_TEST(!failed.contain(pool, other));
}

BOOST_AUTO_TEST_CASE(images_of_opportunistic_steps_are_told_apart)
{
  const std::string pool = "desk";
  const JobStep first = opportunisticStep("first");
  const JobStep second = opportunisticStep("second");
  FailedSearches failed;
  failed.add(pool, first);
  BOOST_TEST(failed.contain(pool, first));
  BOOST_TEST(!failed.contain(pool, second));
}

BOOST_AUTO_TEST_SUITE_END()
