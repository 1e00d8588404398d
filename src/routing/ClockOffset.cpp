#include "routing/ClockOffset.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

constexpr std::int64_t kReadingLifetimeMs = 10000;
/** The rates of two clocks differ by at most 1%. */
constexpr std::int64_t kDriftDivisor = 100;
/** Limits the memory used when a peer sends readings faster than the heartbeat period. */
constexpr std::size_t kMaxReadings = 128;

std::int64_t
maxDriftMs(std::int64_t aElapsedMs)
{
  return (std::max<std::int64_t>(0, aElapsedMs) + kDriftDivisor - 1) / kDriftDivisor;
}

} // namespace

void
ClockOffset::record(MonotonicTime aPeerClock, MonotonicTime aArrivedAt)
{
  const Reading reading{ aPeerClock.msSince(aArrivedAt), aArrivedAt };
  while (!mReadings.empty() &&
         aArrivedAt.msSince(mReadings.front().mArrivedAt) > kReadingLifetimeMs) {
    mReadings.pop_front();
  }
  // An older reading whose offset is not larger can never give the latest deadline again.
  while (!mReadings.empty() && mReadings.back().mOffsetMs <= reading.mOffsetMs) {
    mReadings.pop_back();
  }
  mReadings.push_back(reading);
  if (mReadings.size() > kMaxReadings) {
    mReadings.pop_front();
  }
}

std::optional<Deadline>
ClockOffset::translate(Deadline aDeadline, MonotonicTime aNow) const
{
  std::optional<Deadline> latest;
  for (const Reading& reading : mReadings) {
    if (aNow.msSince(reading.mArrivedAt) > kReadingLifetimeMs) {
      continue;
    }
    // The peer's clock may run slow until the deadline, so the drift covers the time up to it.
    const std::int64_t driftMs = maxDriftMs(aDeadline.msSince(reading.mArrivedAt));
    const Deadline translated = aDeadline.plusMs(reading.mOffsetMs - driftMs);
    latest = latest ? std::max(*latest, translated) : translated;
  }
  return latest;
}

} // namespace magnoliadrum
