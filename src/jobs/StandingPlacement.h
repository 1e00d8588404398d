#pragma once

#include "jobs/WorkerCandidate.h"

#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Decides how tasks that serve users share the workers of a pool.
 *
 * An opportunistic image presses on some serving images and on others not at all. On a worker with
 * many serving images nearly every opportunistic image presses on one of them, so a serving image
 * gets workers of its own where the pool is large enough. In a small pool, serving tasks share few
 * workers instead, and the others stay free of them.
 */
class StandingPlacement
{
public:
  /** Workers for each serving image from which on images are kept apart. Each image may leave one
   * of its workers partly filled, so at most this share of the pool is not packed. */
  static constexpr std::size_t kMinWorkersPerImage = 4;

  /** Whether a task of the image is placed on an empty worker rather than beside tasks of other
   * images. */
  static bool keepsImagesApart(const std::vector<WorkerCandidate>& aWorkers,
                               const std::string& aPool,
                               const std::string& aImage);

  /** Cost of placing a task of the image on the worker, the part that depends on the images there;
   * differs by at least 1 between workers of different preference. */
  static double imageCost(const WorkerCandidate& aWorker,
                          const std::string& aImage,
                          bool aKeepsImagesApart);
};

} // namespace magnoliadrum
