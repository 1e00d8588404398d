#include "core/MonotonicTime.h"

#include <chrono>
#include <ctime>

namespace magnoliadrum {

namespace {
constexpr std::int64_t kMsPerSecond = 1000;
constexpr std::int64_t kNsPerMs = 1000000;
} // namespace

MonotonicTime
MonotonicTime::now()
{
  timespec reading{};
  // Unlike CLOCK_MONOTONIC it counts the time for which the VM is suspended. A lease that expired
  // meanwhile must not count as valid after the resume.
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return fromMs(reading.tv_sec * kMsPerSecond + reading.tv_nsec / kNsPerMs);
}

std::int64_t
wallClockMs()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace magnoliadrum
