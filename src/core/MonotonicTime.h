#pragma once

#include <compare>
#include <cstdint>

namespace magnoliadrum {

/**
 * A point on one VM's monotonic clock (CLOCK_BOOTTIME, which also counts suspended time), in
 * milliseconds.
 *
 * All processes of one VM share this clock; readings of two VMs cannot be compared without an
 * offset.
 */
class MonotonicTime
{
public:
  constexpr MonotonicTime() = default;

  static constexpr MonotonicTime fromMs(std::int64_t aMs) { return MonotonicTime(aMs); }

  /** Reads the clock. */
  static MonotonicTime now();

  constexpr std::int64_t ms() const { return mMs; }
  constexpr MonotonicTime plusMs(std::int64_t aMs) const { return MonotonicTime(mMs + aMs); }

  /** Returns the milliseconds from aEarlier to this point; negative when this point is before it.
   */
  constexpr std::int64_t msSince(MonotonicTime aEarlier) const { return mMs - aEarlier.mMs; }

  friend constexpr auto operator<=>(const MonotonicTime&, const MonotonicTime&) = default;

private:
  explicit constexpr MonotonicTime(std::int64_t aMs)
    : mMs(aMs)
  {
  }

  std::int64_t mMs = 0;
};

/** The point in time at which something ends. */
using Deadline = MonotonicTime;

/** Returns the wall clock in milliseconds since 1970, for reports and log lines only. */
std::int64_t
wallClockMs();

} // namespace magnoliadrum
