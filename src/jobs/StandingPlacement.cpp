#include "jobs/StandingPlacement.h"

#include <set>

namespace magnoliadrum {

bool
StandingPlacement::keepsImagesApart(const std::vector<WorkerCandidate>& aWorkers,
                                    const std::string& aPool,
                                    const std::string& aImage)
{
  std::set<std::string> images = { aImage };
  std::size_t workers = 0;
  for (const WorkerCandidate& worker : aWorkers) {
    if (worker.poolName != aPool) {
      continue;
    }
    workers++;
    for (const auto& [image, runs] : worker.servingRuns) {
      images.insert(image);
    }
  }
  return workers >= kMinWorkersPerImage * images.size();
}

double
StandingPlacement::imageCost(const WorkerCandidate& aWorker,
                             const std::string& aImage,
                             bool aKeepsImagesApart)
{
  if (!aKeepsImagesApart) {
    constexpr double kOtherImageCost = 1;
    constexpr double kEmptyWorkerCost = 2;
    const double cost = aWorker.servingRuns.empty() ? kEmptyWorkerCost : kOtherImageCost;
    return aWorker.servingRuns.contains(aImage) ? 0 : cost;
  }
  // The images that the task would be beside: none on its own workers and on empty ones, which
  // come after them; then as few as possible.
  const bool isPresent = aWorker.servingRuns.contains(aImage);
  const double others = static_cast<double>(aWorker.servingRuns.size()) - (isPresent ? 1 : 0);
  constexpr double kCostPerOtherImage = 2;
  return kCostPerOtherImage * others + (isPresent ? 0 : 1);
}

} // namespace magnoliadrum
