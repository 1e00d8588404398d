#include "jobs/CancelledIds.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

BOOST_AUTO_TEST_SUITE(cancelled_ids)

// Guards against acknowledged cancellings that are forgotten: callers that cancel many unknown ids
// must not displace those of others.
BOOST_AUTO_TEST_CASE(no_id_is_forgotten_before_its_time)
{
  CancelledIds ids;
  BOOST_TEST(ids.add("first", 1000));
  for (std::size_t index = 1; index < CancelledIds::kMaxIds; index++) {
    BOOST_REQUIRE(ids.add("id" + std::to_string(index), 2000));
  }
  BOOST_TEST(!ids.add("one-too-many", 2000));
  BOOST_TEST(ids.waitMs(2000) == CancelledIds::kKeepMs - 1000);
  BOOST_TEST(ids.add("first", 2000), "a repeated cancelling needs no room");
  BOOST_TEST(ids.contains("first"));
  BOOST_TEST(ids.add("later", 1000 + CancelledIds::kKeepMs));
  BOOST_TEST(!ids.contains("first"));
  BOOST_TEST(ids.records().size() == CancelledIds::kMaxIds);
}

// Guards against a clock that was set back: the wait is bounded.
BOOST_AUTO_TEST_CASE(wait_is_bounded_when_the_clock_was_set_back)
{
  CancelledIds ids;
  for (std::size_t index = 0; index < CancelledIds::kMaxIds; index++) {
    BOOST_REQUIRE(ids.add("id" + std::to_string(index), 1000000000));
  }
  BOOST_TEST(ids.waitMs(0) == CancelledIds::kKeepMs);
}

BOOST_AUTO_TEST_SUITE_END()
