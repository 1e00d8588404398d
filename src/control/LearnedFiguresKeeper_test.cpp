#include "control/LearnedFiguresKeeper.h"

#include "state/BuildValue.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

LearnedFigures::Fields
figures(double aMean, std::int64_t aAgeMs)
{
  return { .interference = { buildValue<LearnedInterference>(
             { .serving = "frail", .image = "noisy", .mean = aMean, .ageMs = aAgeMs }) } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(learned_figures_keeper)

// Hundreds of reports a second change the figures. Saving each change would fill the log.
BOOST_AUTO_TEST_CASE(saves_are_bounded_in_time_and_need_news)
{
  LearnedFiguresKeeper keeper;
  keeper.startTerm({});
  int saves = 0;
  for (int ms = 0; ms < 10000; ms += 50) {
    if (keeper.nextSave(figures(ms, 0), at(ms), 1000)) {
      keeper.onSaveEnded(true);
      saves++;
    }
  }
  BOOST_TEST(saves == 5);
  BOOST_TEST(keeper.nextSave(figures(20000, 0), at(20000), 1000).has_value());
  keeper.onSaveEnded(true);
  BOOST_TEST(!keeper.nextSave(figures(20000, 700), at(30000), 1000).has_value());
}

// A leader without a majority must not queue a save every two seconds, and the next one that is
// committed holds what the failed one held.
BOOST_AUTO_TEST_CASE(a_save_waits_for_the_previous_one_and_a_failed_one_is_made_up_for)
{
  LearnedFiguresKeeper keeper;
  keeper.startTerm({});
  BOOST_TEST(keeper.nextSave(figures(1, 0), at(0), 1000).has_value());
  BOOST_TEST(!keeper.nextSave(figures(2, 0), at(60000), 1000).has_value());
  keeper.onSaveEnded(false);
  BOOST_TEST(keeper.nextSave(figures(1, 0), at(60000), 1000).has_value());
}

// Wall clocks jump, also between two leaders. No jump may make figures newer than they are.
BOOST_AUTO_TEST_CASE(ages_grow_by_the_time_since_the_save_and_never_shrink)
{
  LearnedFigures::Fields fields = figures(1, 300);
  fields.savedAtMs = 5000;
  const LearnedFigures saved = buildValue<LearnedFigures>(std::move(fields));
  const auto ageAt = [&saved](std::int64_t aWallMs) {
    return LearnedFiguresKeeper::aged(saved, aWallMs).interference.front().ageMs();
  };
  BOOST_TEST(ageAt(6500) == 1800);
  BOOST_TEST(ageAt(0) == 300);
  BOOST_TEST(ageAt(INT64_MAX) > 60000);
}

BOOST_AUTO_TEST_SUITE_END()
