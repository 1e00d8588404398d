#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What a deployment consists of. */
struct DeploymentShape
{
  std::string mOwner;
  std::vector<std::string> mDataCentres;
  /** Service entry that the executors serve. */
  std::string mServiceEntry;
  int mControls = 3;
  int mGateways = 2;
  int mExecutors = 11;
  int mWorkers = 11;
  int mVmsPerRack = 3;
  std::int64_t mExecutorSlots = 8;
  std::int64_t mExecutorConnections = 64;
  std::int64_t mWorkerCpuMilli = 0;
  std::int64_t mWorkerMemoryMb = 0;

  /** The Guild's deployment of today. */
  static DeploymentShape guild();

  /** Delta's deployment of today. */
  static DeploymentShape delta();

  /** The same with fewer targets, for tests. */
  DeploymentShape withTargets(int aExecutors, int aWorkers) const;
};

} // namespace magnoliadrum
