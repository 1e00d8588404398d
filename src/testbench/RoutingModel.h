#pragma once

#include "core/core.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace magnoliadrum::routing_model {

inline constexpr std::int64_t kUsPerMs = 1000;
inline constexpr double kMeanServiceMs = 20;
/** Spread of the logarithm of the service time; the 99th percentile is about 3 times the median. */
inline constexpr double kServiceSigma = 0.5;

/** Runs callbacks in the order of their simulated time. */
class Simulation
{
public:
  std::int64_t nowUs() const { return mNowUs; }
  MonotonicTime now() const { return MonotonicTime::fromMs(mNowUs / kUsPerMs); }

  void after(std::int64_t aDelayUs, std::function<void()> aCallback)
  {
    mEvents.push({ mNowUs + aDelayUs, mNext++, std::move(aCallback) });
  }

  void run()
  {
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNowUs = event.mAtUs;
      event.mCallback();
    }
  }

private:
  struct Event
  {
    std::int64_t mAtUs;
    std::uint64_t mOrder;
    std::function<void()> mCallback;

    bool operator<(const Event& aOther) const
    {
      return std::pair(mAtUs, mOrder) > std::pair(aOther.mAtUs, aOther.mOrder);
    }
  };

  std::int64_t mNowUs = 0;
  std::uint64_t mNext = 0;
  std::priority_queue<Event> mEvents;
};

/** An agent with its executor: takes a request when a slot is free and refuses it otherwise. */
class Executor
{
public:
  Executor(Simulation& aSimulation, std::mt19937_64& aRandom, std::int64_t aSlots)
    : mSimulation(aSimulation)
    , mRandom(aRandom)
    , mSlots(aSlots)
  {
  }

  /** Calls aDone when the request has run; false when it is refused. */
  bool start(std::function<void()> aDone)
  {
    if (mLeaving || mOutstanding >= mSlots) {
      return false;
    }
    mOutstanding++;
    const double mu = std::log(kMeanServiceMs) - kServiceSigma * kServiceSigma / 2;
    const double serviceMs = std::lognormal_distribution<double>(mu, kServiceSigma)(mRandom);
    const std::int64_t serviceUs = static_cast<std::int64_t>(serviceMs * mSlowdown * kUsPerMs);
    mSimulation.after(serviceUs, [this, done = std::move(aDone)]() {
      mOutstanding--;
      done();
    });
    return true;
  }

  std::int64_t slots() const { return mSlots; }
  std::int64_t outstanding() const { return mOutstanding; }
  bool isLeaving() const { return mLeaving; }
  void leave() { mLeaving = true; }
  void setSlowdown(double aFactor) { mSlowdown = aFactor; }

private:
  Simulation& mSimulation;
  std::mt19937_64& mRandom;
  std::int64_t mSlots;
  std::int64_t mOutstanding = 0;
  bool mLeaving = false;
  double mSlowdown = 1;
};

} // namespace magnoliadrum::routing_model
