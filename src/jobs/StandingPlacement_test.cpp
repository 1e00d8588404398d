#include "jobs/StandingPlacement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace magnoliadrum;

namespace {

constexpr int kTasksPerWorker = 4;

std::vector<WorkerCandidate>
emptyWorkers(int aCount)
{
  std::vector<WorkerCandidate> workers;
  for (int number = 0; number < aCount; number++) {
    WorkerCandidate worker;
    worker.worker = "w" + std::to_string(number);
    worker.poolName = "desk";
    workers.push_back(worker);
  }
  return workers;
}

int
tasksOn(const WorkerCandidate& aWorker)
{
  int tasks = 0;
  for (const auto& [image, runs] : aWorker.servingRuns) {
    tasks += static_cast<int>(runs);
  }
  return tasks;
}

/** Places a task of an image on the worker with the lowest cost, the fullest of equals. */
void
place(std::vector<WorkerCandidate>& aWorkers, const std::string& aImage)
{
  const bool isApart = StandingPlacement::keepsImagesApart(aWorkers, "desk", aImage);
  WorkerCandidate* best = nullptr;
  double bestCost = 0;
  for (WorkerCandidate& worker : aWorkers) {
    const double usedShare = static_cast<double>(tasksOn(worker)) / (2 * kTasksPerWorker);
    const double cost = StandingPlacement::imageCost(worker, aImage, isApart) - usedShare;
    if (tasksOn(worker) < kTasksPerWorker && (best == nullptr || cost < bestCost)) {
      best = &worker;
      bestCost = cost;
    }
  }
  BOOST_REQUIRE(best != nullptr);
  best->servingRuns[aImage]++;
}

/** Places aTasks tasks of aImages images in turn. */
std::vector<WorkerCandidate>
fill(int aWorkers, int aImages, int aTasks)
{
  std::vector<WorkerCandidate> workers = emptyWorkers(aWorkers);
  for (int task = 0; task < aTasks; task++) {
    place(workers, "image" + std::to_string(task % aImages));
  }
  return workers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(standing_placement)

// Standing tasks of nine images take nearly all of a pool of 72 workers. Packed in the order of
// their arrival, three and more images meet on each worker, and a batch image that presses on two
// of the nine finds hardly a worker on which it presses on nobody.
BOOST_AUTO_TEST_CASE(nine_images_that_fill_a_large_pool_hardly_meet)
{
  constexpr int kWorkers = 72;
  const std::vector<WorkerCandidate> workers = fill(kWorkers, 9, kWorkers * kTasksPerWorker);
  const auto harmless =
    std::count_if(workers.begin(), workers.end(), [](const WorkerCandidate& aWorker) {
      return !aWorker.servingRuns.contains("image0") && !aWorker.servingRuns.contains("image1");
    });
  BOOST_TEST(harmless >= kWorkers / 2);
}

// With few workers for each image, workers of its own for each would leave no worker free of
// standing tasks.
BOOST_AUTO_TEST_CASE(a_small_pool_packs_standing_tasks)
{
  const std::vector<WorkerCandidate> workers = fill(11, 6, 12);
  const auto free =
    std::count_if(workers.begin(), workers.end(), [](const WorkerCandidate& aWorker) {
      return aWorker.servingRuns.empty();
    });
  BOOST_TEST(free >= 7);
}

BOOST_AUTO_TEST_SUITE_END()
