#include "testbench/PolicyExperiment.h"

#include <boost/test/unit_test.hpp>

namespace magnoliadrum {

BOOST_AUTO_TEST_SUITE(PolicyExperimentTest)

// Guards against a policy change that lets noisy tasks ruin the service's tail again, or that loses
// tasks on a worker that fails everything, and against figures that a seed does not reproduce.
BOOST_AUTO_TEST_CASE(chosenPolicyKeepsTheTailAndLosesNoTask)
{
  const auto wave = takeValue(comparePolicies("noisy-wave", "guild", 1));
  BOOST_TEST(wave.scores.front().p99Ms < 100);
  BOOST_TEST(wave.scores.back().p99Ms > 100);
  const auto bad = takeValue(comparePolicies("bad-worker", "guild", 1));
  BOOST_TEST(bad.scores.front().outcome.lost == 0);
  BOOST_TEST(bad.scores.back().outcome.lost > 0);
  const auto again = takeValue(comparePolicies("bad-worker", "guild", 1));
  BOOST_TEST(bad.scores.front().p999Ms == again.scores.front().p999Ms);
  BOOST_TEST(bad.scores.front().outcome.completed == again.scores.front().outcome.completed);
}

BOOST_AUTO_TEST_CASE(unknownNamesAreRefused)
{
  BOOST_TEST(!isOk(comparePolicies("no-such", "guild", 1)));
  BOOST_TEST(!isOk(comparePolicies("noisy-wave", "no-such", 1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
