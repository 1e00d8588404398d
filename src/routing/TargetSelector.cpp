#include "routing/TargetSelector.h"

namespace magnoliadrum {

namespace {

std::size_t
randomIndex(std::size_t aCount, RandomEngine& aEngine)
{
  return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(aEngine);
}

/** Returns two different random indices, or the same one twice if there is only one candidate. */
std::pair<std::size_t, std::size_t>
randomIndexPair(std::size_t aCount, RandomEngine& aEngine)
{
  const std::size_t first = randomIndex(aCount, aEngine);
  if (aCount == 1) {
    return { first, first };
  }
  const std::size_t other = randomIndex(aCount - 1, aEngine);
  return { first, other < first ? other : other + 1 };
}

double
relativeLoad(const TargetCandidate& aCandidate)
{
  assert(aCandidate.mSlots > 0);
  return aCandidate.mOutstanding / static_cast<double>(aCandidate.mSlots);
}

} // namespace

std::size_t
RandomSelection::select(std::span<const TargetCandidate> aCandidates, RandomEngine& aEngine) const
{
  return randomIndex(aCandidates.size(), aEngine);
}

std::size_t
LeastOutstandingOfTwo::select(std::span<const TargetCandidate> aCandidates,
                              RandomEngine& aEngine) const
{
  const auto [first, second] = randomIndexPair(aCandidates.size(), aEngine);
  return aCandidates[second].mOutstanding < aCandidates[first].mOutstanding ? second : first;
}

std::size_t
LeastRelativeLoadOfTwo::select(std::span<const TargetCandidate> aCandidates,
                               RandomEngine& aEngine) const
{
  const auto [first, second] = randomIndexPair(aCandidates.size(), aEngine);
  return relativeLoad(aCandidates[second]) < relativeLoad(aCandidates[first]) ? second : first;
}

std::size_t
LeastRelativeLoadOfAll::select(std::span<const TargetCandidate> aCandidates,
                               RandomEngine& aEngine) const
{
  // A random start breaks ties; otherwise all gateways would send to the same idle target.
  const std::size_t start = randomIndex(aCandidates.size(), aEngine);
  std::size_t best = start;
  for (std::size_t step = 1; step < aCandidates.size(); step++) {
    const std::size_t index = (start + step) % aCandidates.size();
    if (relativeLoad(aCandidates[index]) < relativeLoad(aCandidates[best])) {
      best = index;
    }
  }
  return best;
}

} // namespace magnoliadrum
