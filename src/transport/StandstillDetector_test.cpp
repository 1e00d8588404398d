#include "transport/StandstillDetector.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

BOOST_AUTO_TEST_SUITE(standstill_detector)

BOOST_AUTO_TEST_CASE(what_is_read_after_a_standstill_may_have_waited_for_all_of_it)
{
  const MonotonicTime start = MonotonicTime::fromMs(1000);
  constexpr std::int64_t kGapMs = 3400;
  StandstillDetector detector;
  BOOST_TEST((detector.earliestArrival(start) == start));
  detector.onTick(start);
  const MonotonicTime later = start.plusMs(StandstillDetector::kShortestMs - 1);
  BOOST_TEST((detector.earliestArrival(later) == later), "an ordinary delay");
  const MonotonicTime end = start.plusMs(kGapMs);
  BOOST_TEST((detector.earliestArrival(end) == start), "read before the first tick");
  detector.onTick(end);
  const MonotonicTime backlog = end.plusMs(StandstillDetector::kBacklogMs);
  detector.onTick(backlog);
  BOOST_TEST((detector.earliestArrival(backlog) == start), "read after its connection");
  BOOST_TEST((detector.earliestArrival(backlog.plusMs(1)) == backlog.plusMs(1)));
}

BOOST_AUTO_TEST_SUITE_END()
