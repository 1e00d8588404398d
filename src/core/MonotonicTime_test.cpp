#include "core/MonotonicTime.h"

#include <boost/test/unit_test.hpp>
#include <ctime>

using namespace magnoliadrum;

namespace {

std::int64_t
readBootTimeMs()
{
  constexpr std::int64_t kMsPerSecond = 1000;
  constexpr std::int64_t kNsPerMs = 1000000;
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return reading.tv_sec * kMsPerSecond + reading.tv_nsec / kNsPerMs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(monotonic_time)

// Guards against a process that acts on a lease which expired while its VM was suspended: a leader
// would order runs and answer reads beside its successor. Shows the difference only on a machine
// that was suspended since its start.
BOOST_AUTO_TEST_CASE(it_counts_the_time_for_which_the_vm_was_suspended)
{
  const std::int64_t before = readBootTimeMs();
  const MonotonicTime now = MonotonicTime::now();
  const std::int64_t after = readBootTimeMs();
  BOOST_TEST(now.ms() >= before);
  BOOST_TEST(now.ms() <= after);
}

BOOST_AUTO_TEST_SUITE_END()
