#pragma once

#include <cstdint>
#include <ostream>

namespace magnoliadrum {

/**
 * Measures what decisions cost against the number of workers (11 to 7,100) and of waiting tasks (to
 * 50,000), and prints a table with one row per pair:
 * - intake ms: time to take in the whole cluster once,
 * - placed, us/placed: placements of the first round, and time of each,
 * - in rounds, us/round: placements in 20 further rounds, in each of which 2% of the placed tasks
 *   end, and time of one such round,
 * - us/idle: time of a round in which nothing changed,
 * - B/worker, B/task: bytes of the account without allocator overhead; the bytes of 560 entries are
 *   part of those per worker.
 */
void
printPlacementCost(std::uint64_t aSeed, std::ostream& aOut);

} // namespace magnoliadrum
