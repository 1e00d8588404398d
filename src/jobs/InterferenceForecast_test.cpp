#include "jobs/InterferenceForecast.h"

#include <boost/test/tools/floating_point_comparison.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace magnoliadrum;

BOOST_AUTO_TEST_SUITE(interference_forecast)

// The forecast replaces calls of the guard in scheduling rounds, so both must expect the same.
BOOST_AUTO_TEST_CASE(it_expects_the_same_as_the_guard)
{
  const std::vector<std::string> images = { "a", "b", "c", "d" };
  for (unsigned seed = 1; seed <= 50; seed++) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> share(0.01, 0.3);
    std::uniform_real_distribution<double> latency(10, 200);
    std::uniform_int_distribution<std::size_t> image(0, images.size() - 1);
    InterferenceGuard guard;
    InterferenceGuard::State state;
    std::vector<ServingTask> serving;
    for (int round = 0; round < 30; round++) {
      serving.clear();
      for (int task = 0; task < 5; task++) {
        serving.push_back(
          { "serving-" + images[image(random)], latency(random), 150, std::to_string(task) });
      }
      const double used = share(random);
      guard.observe(state,
                    serving,
                    { { "batch", images[image(random)], used, used, 100 } },
                    MonotonicTime::fromMs(1000 + 300 * round));
    }
    const ImageShares unobserved = { { images[image(random)], share(random) },
                                     { images[image(random)], share(random) } };
    const std::string& added = images[image(random)];
    const double addedShare = share(random);
    ImageShares all = unobserved;
    all[added] += addedShare;

    InterferenceForecast forecast(guard);
    const InterferenceForecast::WorkerLoad load = forecast.loadOf(serving, unobserved);
    const std::size_t number = forecast.numberOf(added);
    BOOST_TEST(forecast.expectedRatio(load, number, addedShare) ==
                 guard.expectedRatio(serving, all),
               boost::test_tools::tolerance(1e-9));
  }
}

BOOST_AUTO_TEST_CASE(a_worker_without_serving_tasks_expects_no_interference)
{
  const InterferenceGuard guard;
  InterferenceForecast forecast(guard);
  const InterferenceForecast::WorkerLoad load = forecast.loadOf({}, { { "a", 0.5 } });
  BOOST_TEST(forecast.expectedRatio(load, forecast.numberOf("a"), 0.5) == 0);
  BOOST_TEST(forecast.worstGrowth(load, forecast.numberOf("a"), 0.5) == 0);
}

BOOST_AUTO_TEST_CASE(added_work_raises_the_expected_ratio)
{
  const InterferenceGuard guard;
  InterferenceForecast forecast(guard);
  InterferenceForecast::WorkerLoad load = forecast.loadOf({ { "serving", 50, 100, "t" } }, {});
  const std::size_t batch = forecast.numberOf("batch");
  const double before = forecast.expectedRatio(load, batch, 0.1);
  forecast.add(load, batch, 0.1);
  BOOST_TEST(forecast.expectedRatio(load, batch, 0.1) > before);
}

BOOST_AUTO_TEST_SUITE_END()
