#include "jobs/JobRules.h"

#include <set>
#include <utility>

namespace magnoliadrum {

std::vector<std::string>
findFaults(const JobDescription& aJob)
{
  std::vector<std::string> faults;
  std::int64_t tasks = 0;
  for (std::size_t step = 0; step < aJob.steps().size(); step++) {
    const std::string path = "steps[" + std::to_string(step) + "]";
    tasks += aJob.steps()[step].count();
    for (const std::int64_t earlier : aJob.steps()[step].after()) {
      if (earlier >= static_cast<std::int64_t>(step)) {
        faults.push_back(path + ".after: step " + std::to_string(earlier) +
                         " does not precede this step");
      }
    }
  }
  if (tasks * aJob.occurrences() > kMaxTasksPerJob) {
    faults.push_back("steps: more than " + std::to_string(kMaxTasksPerJob) + " tasks");
  }
  return faults;
}

std::vector<std::string>
findFaults(const QueueCatalogue& aCatalogue)
{
  std::vector<std::string> faults;
  std::set<std::string> pools;
  for (std::size_t index = 0; index < aCatalogue.pools().size(); index++) {
    const std::string& name = aCatalogue.pools()[index].name();
    if (!pools.insert(name).second) {
      faults.push_back("pools[" + std::to_string(index) + "].name: " + name +
                       " occurs more than once");
    }
  }
  std::set<std::string> names;
  std::set<std::pair<std::string, std::string>> places;
  for (std::size_t index = 0; index < aCatalogue.queues().size(); index++) {
    const JobQueue& queue = aCatalogue.queues()[index];
    const std::string path = "queues[" + std::to_string(index) + "]";
    if (!names.insert(queue.name()).second) {
      faults.push_back(path + ".name: " + queue.name() + " occurs more than once");
    }
    if (!places.insert({ queue.host(), queue.pathPrefix() }).second) {
      faults.push_back(path + ".pathPrefix: another queue has the same host and prefix");
    }
    if (!pools.contains(queue.poolName())) {
      faults.push_back(path + ".poolName: pool " + queue.poolName() + " does not exist");
    }
  }
  return faults;
}

} // namespace magnoliadrum
