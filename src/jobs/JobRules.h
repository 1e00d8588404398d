#pragma once

#include "generated/JobsTypes.h"

#include <string>
#include <vector>

namespace magnoliadrum {

/** Maximum number of tasks of a job over all steps and occurrences; bounds the size of the state
 * that a single request can create. */
inline constexpr std::int64_t kMaxTasksPerJob = 50000;

/** Returns all errors in a job that the bounds of its fields do not rule out, each with the path of
 * the field. */
std::vector<std::string>
findFaults(const JobDescription& aJob);

/** Returns all errors in a catalogue that the bounds of its fields do not rule out, each with the
 * path of the field. */
std::vector<std::string>
findFaults(const QueueCatalogue& aCatalogue);

} // namespace magnoliadrum
