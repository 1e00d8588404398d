#pragma once

#include "generated/JobsTypes.h"

#include <string>
#include <vector>

namespace magnoliadrum {

/** Most tasks of one job over all its steps and occurrences; bounds what one request can take. */
inline constexpr std::int64_t kMaxTasksPerJob = 50000;

/** Returns every fault of a job beyond the bounds of its fields, each with its path. */
std::vector<std::string>
findFaults(const JobDescription& aJob);

/** Returns every fault of a catalogue beyond the bounds of its fields, each with its path. */
std::vector<std::string>
findFaults(const QueueCatalogue& aCatalogue);

} // namespace magnoliadrum
