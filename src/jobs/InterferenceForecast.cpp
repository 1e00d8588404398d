#include "jobs/InterferenceForecast.h"

#include <algorithm>
#include <cmath>

namespace magnoliadrum {

std::size_t
InterferenceForecast::numberOf(const std::string& aImage)
{
  const auto [position, isNew] = mNumbers.try_emplace(aImage, mNames.size());
  if (isNew) {
    mNames.push_back(aImage);
  }
  return position->second;
}

const InterferenceForecast::Growth&
InterferenceForecast::growthOf(std::size_t aServing, std::size_t aImage)
{
  if (mGrowths.size() <= aServing) {
    mGrowths.resize(mNames.size());
  }
  std::vector<std::optional<Growth>>& row = mGrowths[aServing];
  if (row.size() <= aImage) {
    row.resize(mNames.size());
  }
  std::optional<Growth>& growth = row[aImage];
  if (!growth) {
    growth = Growth{ .cautious = mGuard.cautiousGrowthPerShare(mNames[aServing], mNames[aImage]),
                     .worst = mGuard.worstGrowthPerShare(mNames[aServing], mNames[aImage]) };
  }
  return *growth;
}

InterferenceForecast::WorkerLoad
InterferenceForecast::loadOf(const std::vector<ServingTask>& aServing,
                             const ImageShares& aUnobserved)
{
  WorkerLoad load;
  for (const ServingTask& task : aServing) {
    const std::size_t image = numberOf(task.image);
    const auto known = std::find_if(load.begin(), load.end(), [image](const ServingImage& aItem) {
      return aItem.image == image;
    });
    if (known == load.end()) {
      load.push_back({ .image = image, .ratio = task.latencyRatio() });
    } else {
      known->ratio = std::max(known->ratio, task.latencyRatio());
    }
  }
  for (const auto& [image, share] : aUnobserved) {
    add(load, numberOf(image), share);
  }
  return load;
}

void
InterferenceForecast::add(WorkerLoad& aLoad, std::size_t aImage, double aShare)
{
  for (ServingImage& serving : aLoad) {
    serving.addedGrowth += growthOf(serving.image, aImage).cautious * aShare;
  }
}

double
InterferenceForecast::expectedRatio(const WorkerLoad& aLoad, std::size_t aImage, double aShare)
{
  double worst = 0;
  for (const ServingImage& serving : aLoad) {
    const double growth = serving.addedGrowth + growthOf(serving.image, aImage).cautious * aShare;
    if (growth >= InterferenceGuard::kHarmlessGrowth || serving.ratio >= 1) {
      worst = std::max(worst, serving.ratio * std::exp(growth));
    }
  }
  return worst;
}

double
InterferenceForecast::worstGrowth(const WorkerLoad& aLoad, std::size_t aImage, double aShare)
{
  double worst = 0;
  for (const ServingImage& serving : aLoad) {
    worst = std::max(worst, growthOf(serving.image, aImage).worst * aShare);
  }
  return worst;
}

} // namespace magnoliadrum
