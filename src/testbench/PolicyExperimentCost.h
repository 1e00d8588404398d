#pragma once

#include <cstdint>
#include <ostream>

namespace magnoliadrum {

/**
 * Measures what decisions cost against the number of workers (11 to 7,100) and of waiting tasks (to
 * 50,000), and prints a table: time to take in the cluster, microseconds per decision while tasks
 * are placed, time of a round in which nothing fits, and bytes of the account per worker and task.
 */
void
printPlacementCost(std::uint64_t aSeed, std::ostream& aOut);

} // namespace magnoliadrum
