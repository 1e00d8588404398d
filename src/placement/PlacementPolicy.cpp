#include "placement/PlacementPolicy.h"

#include "placement/PlacementEngine.h"

#include <utility>

namespace magnoliadrum {

PlacementPolicy::PlacementPolicy(PlacementOptions aOptions, std::mt19937_64 aRandom)
  : mEngine(std::make_unique<PlacementEngine>(std::move(aOptions), aRandom))
{
}

PlacementPolicy::~PlacementPolicy() = default;
PlacementPolicy::PlacementPolicy(PlacementPolicy&&) noexcept = default;
PlacementPolicy&
PlacementPolicy::operator=(PlacementPolicy&&) noexcept = default;

std::vector<PlacementDecision>
PlacementPolicy::decide(const PlacementView& aView, MonotonicTime aNow)
{
  return mEngine->decide(aView, aNow);
}

std::size_t
PlacementPolicy::modelBytes() const
{
  return mEngine->bytes();
}

} // namespace magnoliadrum
