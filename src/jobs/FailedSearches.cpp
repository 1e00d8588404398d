#include "jobs/FailedSearches.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

/** Declared size, since an opportunistic task also needs processor time that is unused. */
ResourceAmount
sizeOf(const JobStep& aStep)
{
  return ResourceAmount::of(aStep.resources());
}

} // namespace

FailedSearches::Kind
FailedSearches::kindOf(const std::string& aPoolName, const JobStep& aStep)
{
  return { aPoolName,
           aStep.requiredLabel(),
           aStep.opportunistic() ? std::string_view(aStep.image()) : std::string_view(),
           aStep.longRunning() };
}

bool
FailedSearches::contain(const std::string& aPoolName, const JobStep& aStep) const
{
  const auto sizes = mSizes.find(kindOf(aPoolName, aStep));
  return sizes != mSizes.end() &&
         std::any_of(
           sizes->second.begin(),
           sizes->second.end(),
           [size = sizeOf(aStep)](const ResourceAmount& aFailed) { return aFailed.fitsIn(size); });
}

void
FailedSearches::add(const std::string& aPoolName, const JobStep& aStep)
{
  // A limit for each worker may have excluded workers that take the tasks of another step.
  if (aStep.maxPerWorker() > 0 || contain(aPoolName, aStep)) {
    return;
  }
  std::vector<ResourceAmount>& sizes = mSizes[kindOf(aPoolName, aStep)];
  std::erase_if(
    sizes, [size = sizeOf(aStep)](const ResourceAmount& aFailed) { return size.fitsIn(aFailed); });
  sizes.push_back(sizeOf(aStep));
}

} // namespace magnoliadrum
