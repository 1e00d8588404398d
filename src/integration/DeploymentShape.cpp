#include "integration/DeploymentShape.h"

namespace magnoliadrum {

namespace {

constexpr std::int64_t kMilliPerCore = 1000;
constexpr std::int64_t kMbPerGb = 1000;

} // namespace

DeploymentShape
DeploymentShape::guild()
{
  DeploymentShape shape;
  shape.mOwner = "guild";
  shape.mDataCentres = { "Waco", "Temple", "Killeen" };
  shape.mServiceEntry = "pickup-confirmation";
  shape.mWorkerCpuMilli = 32 * kMilliPerCore;
  shape.mWorkerMemoryMb = 125 * kMbPerGb;
  return shape;
}

DeploymentShape
DeploymentShape::delta()
{
  DeploymentShape shape;
  shape.mOwner = "delta";
  shape.mDataCentres = { "Tulcea", "Galați", "Brăila", "Constanța" };
  shape.mServiceEntry = "yield-check";
  shape.mWorkerCpuMilli = 64 * kMilliPerCore;
  shape.mWorkerMemoryMb = 250 * kMbPerGb;
  return shape;
}

DeploymentShape
DeploymentShape::withTargets(int aExecutors, int aWorkers) const
{
  DeploymentShape shape = *this;
  shape.mExecutors = aExecutors;
  shape.mWorkers = aWorkers;
  return shape;
}

} // namespace magnoliadrum
