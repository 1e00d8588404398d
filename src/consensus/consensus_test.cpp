#include "consensus/ConsensusSimulation_test.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace magnoliadrum;

namespace {

void
simulate(int aReplicas)
{
  const char* const seeds = std::getenv("CONSENSUS_SEEDS");
  const std::uint64_t count = seeds == nullptr ? 40 : std::strtoull(seeds, nullptr, 10);
  std::array<std::int64_t, 5> totals{};
  for (std::uint64_t seed = 1; seed <= count; seed++) {
    BOOST_TEST_CONTEXT("seed " << seed << ", replicas " << aReplicas)
    {
      Simulation simulation(seed, aReplicas);
      simulation.run(30000, true);
      simulation.expectConvergence();
      totals[0] += simulation.committed();
      totals[1] += simulation.installedSnapshots();
      totals[2] += simulation.crashes();
      totals[3] += static_cast<std::int64_t>(simulation.elections());
      totals[4] += simulation.membershipChanges();
    }
  }
  BOOST_TEST_MESSAGE("seeds 1 to " << count << ", " << aReplicas << " replicas: " << totals[0]
                                   << " entries, " << totals[1] << " snapshots, " << totals[2]
                                   << " crashes, " << totals[3] << " elections, " << totals[4]
                                   << " membership changes");
  for (const std::int64_t total : totals) {
    BOOST_TEST(total > 0, "a kind of event never occurred");
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(three_replicas_agree_under_random_faults)
{
  simulate(3);
}

BOOST_AUTO_TEST_CASE(five_replicas_agree_under_random_faults)
{
  simulate(5);
}
