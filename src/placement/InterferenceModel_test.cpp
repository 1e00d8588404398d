#include "placement/InterferenceModel.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

namespace magnoliadrum {

BOOST_AUTO_TEST_SUITE(InterferenceModelTest)

// Guards against attributing latency caused by the service's own load to a neighbour, and against a
// coefficient that keeps its old value after the interference has changed.
BOOST_AUTO_TEST_CASE(coefficientsSeparateNeighboursFromOwnLoadAndFollowChanges)
{
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  InterferenceModel model;
  double trueCoefficient = 3.0;
  for (int i = 0; i < 4000; ++i) {
    if (i == 1000) {
      trueCoefficient = 0.5;
    }
    const double load = uniform(random);
    const std::vector<EntryLoad> others = { { 1, uniform(random) * 0.5 }, { 2, load * 0.5 } };
    const double noise = 0.1 * (uniform(random) - 0.5);
    const double latency = 20 * std::exp(load + trueCoefficient * others[0].share + noise);
    model.learn(9, latency, load, others);
    if (i == 999) {
      BOOST_TEST(std::abs(model.coefficient(9, 1) - 3.0) < 0.2);
    }
  }
  BOOST_TEST(std::abs(model.coefficient(9, 1) - 0.5) < 0.2);
  BOOST_TEST(model.coefficient(9, 2) < 0.5);
  BOOST_TEST(std::abs(model.predictMs(9, 0, {}) - 20) < 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnoliadrum
