#pragma once

#include "jobs/WorkerCandidate.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>
#include <vector>

namespace magnoliadrum {

/**
 * The searches of a scheduling round that have found no worker.
 *
 * Within a round room only shrinks, so a search also fails for a task of the same kind that needs
 * at least as much. Tasks that wait are mostly alike, so a full pool is searched once for each kind
 * of task instead of once for each task. The descriptions of the steps outlive this object.
 */
class FailedSearches
{
public:
  /** Whether a search for a task of the step is known to fail. */
  bool contain(const std::string& aPoolName, const JobStep& aStep) const;

  /** Adds a failed search among all workers of a pool. */
  void add(const std::string& aPoolName, const JobStep& aStep);

private:
  /** What decides, beside its size, which workers may run a task: pool, label, image of an
   * opportunistic step, and whether it is long-running. */
  using Kind = std::tuple<std::string_view, std::string_view, std::string_view, bool>;

  static Kind kindOf(const std::string& aPoolName, const JobStep& aStep);

  /** Sizes for which the search has failed, none of which includes another one. */
  std::map<Kind, std::vector<ResourceAmount>> mSizes;
};

} // namespace magnoliadrum
