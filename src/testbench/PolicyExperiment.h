#pragma once

#include "testbench/ScenarioModel.h"

#include <concepts>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Anything that turns views into decisions. */
template<typename T>
concept TaskPolicy = requires(T aPolicy, const PlacementView& aView, MonotonicTime aNow)
{
  {
    aPolicy.decide(aView, aNow)
    } -> std::same_as<std::vector<PlacementDecision>>;
};

/** The baseline: the first worker with room by declared sizes, in order of submission; no reaction.
 */
class FirstFitPolicy
{
public:
  std::vector<PlacementDecision> decide(const PlacementView& aView, MonotonicTime aNow);
};

/** One row of the comparison. */
struct PolicyScore
{
  std::string policy;
  double p50Ms = 0;
  double p99Ms = 0;
  double p999Ms = 0;
  ScenarioOutcome outcome;
};

/** The result of one experiment. The bounds do not depend on the policy. */
struct PolicyComparison
{
  std::string scenario;
  std::string weights;
  std::uint64_t seed = 0;
  std::vector<PolicyScore> scores;
  double aloneP50Ms = 0;
  double aloneP99Ms = 0;
  double aloneP999Ms = 0;
  double boundCoreHours = 0;
  double ruleBoundCoreHours = 0;
};

/** Runs a scenario with every policy. */
Result<PolicyComparison>
comparePolicies(const std::string& aScenario, const std::string& aWeights, std::uint64_t aSeed);

void
printTable(const PolicyComparison& aComparison, std::ostream& aOut);

void
printJson(const PolicyComparison& aComparison, std::ostream& aOut);

} // namespace magnoliadrum
