#pragma once

#include "jobs/InterferenceGuard.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * What InterferenceGuard expects of added opportunistic tasks, for many workers and tasks at one
 * point in time. Looks up each pair of images once and represents images by numbers, because a
 * scheduling round asks for every waiting step on every worker.
 */
class InterferenceForecast
{
public:
  /** All serving tasks of one image on a worker. */
  struct ServingImage
  {
    std::size_t image = 0;
    /** Largest ratio of latency to objective of its tasks. */
    double ratio = 0;
    /** Growth of the logarithm of the latency by work that the reported latencies do not include.
     */
    double addedGrowth = 0;
  };

  using WorkerLoad = std::vector<ServingImage>;

  /** aGuard must outlive this object and must not change meanwhile. */
  explicit InterferenceForecast(const InterferenceGuard& aGuard)
    : mGuard(aGuard)
  {
  }

  /** The serving tasks of a worker, with the work that their latencies do not include yet. */
  WorkerLoad loadOf(const std::vector<ServingTask>& aServing, const ImageShares& aUnobserved);

  std::size_t numberOf(const std::string& aImage);

  /** Adds aShare of an opportunistic image to a worker. */
  void add(WorkerLoad& aLoad, std::size_t aImage, double aShare);

  /** See InterferenceGuard::expectedRatio(), for aShare of one image more on the worker. */
  double expectedRatio(const WorkerLoad& aLoad, std::size_t aImage, double aShare);

  /** See InterferenceGuard::worstGrowth(). */
  double worstGrowth(const WorkerLoad& aLoad, std::size_t aImage, double aShare);

private:
  /** Growth of the logarithm of a latency per share of the worker's processors. */
  struct Growth
  {
    double cautious = 0;
    double worst = 0;
  };

  const Growth& growthOf(std::size_t aServing, std::size_t aImage);

  const InterferenceGuard& mGuard;
  std::map<std::string, std::size_t> mNumbers;
  /** Names by number. */
  std::vector<std::string> mNames;
  /** By the numbers of the serving and of the opportunistic image. */
  std::vector<std::vector<std::optional<Growth>>> mGrowths;
};

} // namespace magnoliadrum
