#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/** The table of executors that gateways get, with a version that grows when the table changes. */
class VersionedTargetTable
{
public:
  /** Starts a leadership; versions count within its term. */
  void startTerm()
  {
    mVersion = 0;
    mTargets.clear();
  }

  /** Returns whether the table differs from the last one. */
  bool update(std::vector<TargetStatus> aTargets)
  {
    if (mVersion > 0 && aTargets == mTargets) {
      return false;
    }
    mTargets = std::move(aTargets);
    mVersion++;
    return true;
  }

  std::int64_t version() const { return mVersion; }
  const std::vector<TargetStatus>& targets() const { return mTargets; }

private:
  std::int64_t mVersion = 0;
  std::vector<TargetStatus> mTargets;
};

} // namespace magnoliadrum
