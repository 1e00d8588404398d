#pragma once

#include "generated/generated.h"

#include <cstdint>
#include <vector>

namespace magnoliadrum {

/** The table of executors sent to the gateways. Its version increases with every change. */
class VersionedTargetTable
{
public:
  /** Starts a leadership term. Versions are only comparable within a term. */
  void startTerm()
  {
    mVersion = 0;
    mTargets.clear();
  }

  /** Replaces the table if it changed or is the first of the term. Returns whether it did. */
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
