#pragma once

#include <cassert>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <utility>

namespace magnoliadrum {

/** Random engine that is passed to routing decisions; seeded by the process or the test. */
using RandomEngine = std::mt19937_64;

/** A target that is eligible for the next request. */
struct TargetCandidate
{
  /** Estimated number of requests in progress. */
  double mOutstanding = 0;
  /** Number of requests that the target runs concurrently; at least 1. */
  std::int64_t mSlots = 1;
};

/** A rule that returns the index of the selected candidate. There is at least one candidate. */
template<typename Rule>
concept SelectionRule = requires(const Rule& aRule,
                                 std::span<const TargetCandidate> aCandidates,
                                 RandomEngine& aEngine)
{
  {
    aRule.select(aCandidates, aEngine)
    } -> std::same_as<std::size_t>;
};

/** Selects each candidate with equal probability. */
struct RandomSelection
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Selects, of two random candidates, the one with fewer requests in progress. */
struct LeastOutstandingOfTwo
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Selects, of two random candidates, the one with fewer requests in progress per slot. */
struct LeastRelativeLoadOfTwo
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Selects the candidate with the fewest requests in progress per slot; breaks ties randomly. */
struct LeastRelativeLoadOfAll
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Selects targets by a rule. Owns the engine, so that a seed reproduces all selections. */
template<SelectionRule Rule>
class TargetSelector
{
public:
  explicit TargetSelector(RandomEngine aEngine, Rule aRule = Rule())
    : mEngine(std::move(aEngine))
    , mRule(std::move(aRule))
  {
  }

  /** Returns the index of the selected candidate. Precondition: aCandidates is not empty. */
  std::size_t select(std::span<const TargetCandidate> aCandidates)
  {
    assert(!aCandidates.empty());
    return mRule.select(aCandidates, mEngine);
  }

private:
  RandomEngine mEngine;
  Rule mRule;
};

} // namespace magnoliadrum
