#pragma once

#include <cassert>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <utility>

namespace magnoliadrum {

/** The source of randomness that is passed to decisions; seeded by the process or the test. */
using RandomEngine = std::mt19937_64;

/** A target that may get the next request. */
struct TargetCandidate
{
  /** Requests in progress, estimated. */
  double mOutstanding = 0;
  /** Requests that the target runs at once; at least 1. */
  std::int64_t mSlots = 1;
};

/** A rule that picks one of several candidates by index. The candidates are not empty. */
template<typename Rule>
concept SelectionRule = requires(const Rule& aRule,
                                 std::span<const TargetCandidate> aCandidates,
                                 RandomEngine& aEngine)
{
  {
    aRule.select(aCandidates, aEngine)
    } -> std::same_as<std::size_t>;
};

/** Picks any candidate with equal probability. */
struct RandomSelection
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Picks the one with fewer requests in progress of two random candidates. */
struct LeastOutstandingOfTwo
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Picks the one with fewer requests in progress per slot of two random candidates. */
struct LeastRelativeLoadOfTwo
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Picks the candidate with the fewest requests in progress per slot of all, any of several. */
struct LeastRelativeLoadOfAll
{
  std::size_t select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const;
};

/** Picks the target of a request by aRule. Holds the engine, so that a seed repeats all choices. */
template<SelectionRule Rule>
class TargetSelector
{
public:
  explicit TargetSelector(RandomEngine aEngine, Rule aRule = Rule())
    : mEngine(std::move(aEngine))
    , mRule(std::move(aRule))
  {
  }

  /** Returns the index of the chosen candidate. Precondition: aCandidates is not empty. */
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
