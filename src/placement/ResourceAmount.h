#pragma once

#include "generated/generated.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace magnoliadrum {

/** Resource vector for arithmetic; unlike Resources, its values are not range-checked. */
struct ResourceAmount
{
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;

  static ResourceAmount of(const Resources& aResources)
  {
    return { aResources.cpuMilli(), aResources.memoryMb(), aResources.accelerators() };
  }

  bool fitsIn(const ResourceAmount& aAvailable) const
  {
    return cpuMilli <= aAvailable.cpuMilli && memoryMb <= aAvailable.memoryMb &&
           accelerators <= aAvailable.accelerators;
  }

  ResourceAmount plus(const ResourceAmount& aOther) const
  {
    return { cpuMilli + aOther.cpuMilli,
             memoryMb + aOther.memoryMb,
             accelerators + aOther.accelerators };
  }

  ResourceAmount minus(const ResourceAmount& aOther) const
  {
    return { cpuMilli - aOther.cpuMilli,
             memoryMb - aOther.memoryMb,
             accelerators - aOther.accelerators };
  }

  /** Returns the maximum of each resource. */
  ResourceAmount componentMax(const ResourceAmount& aOther) const
  {
    return { std::max(cpuMilli, aOther.cpuMilli),
             std::max(memoryMb, aOther.memoryMb),
             std::max(accelerators, aOther.accelerators) };
  }

  /** Returns the minimum of each resource. */
  ResourceAmount componentMin(const ResourceAmount& aOther) const
  {
    return { std::min(cpuMilli, aOther.cpuMilli),
             std::min(memoryMb, aOther.memoryMb),
             std::min(accelerators, aOther.accelerators) };
  }

  /** Returns the largest share of aTotal over all resources; resources with total 0 are ignored. */
  double dominantShareOf(const ResourceAmount& aTotal) const
  {
    const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
      return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0.0;
    };
    return std::max({ share(cpuMilli, aTotal.cpuMilli),
                      share(memoryMb, aTotal.memoryMb),
                      share(accelerators, aTotal.accelerators) });
  }

  friend bool operator==(const ResourceAmount&, const ResourceAmount&) = default;

  /** Lexicographic order for use as a map key; unrelated to fitsIn(). */
  friend bool operator<(const ResourceAmount& aLeft, const ResourceAmount& aRight)
  {
    return std::tie(aLeft.cpuMilli, aLeft.memoryMb, aLeft.accelerators) <
           std::tie(aRight.cpuMilli, aRight.memoryMb, aRight.accelerators);
  }
};

} // namespace magnoliadrum
