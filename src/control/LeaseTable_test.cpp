#include "control/LeaseTable.h"

#include <boost/test/unit_test.hpp>

using namespace magnoliadrum;

namespace {

constexpr std::int64_t kLeaseMs = 6000;
/** The lease of 6,000 ms plus 1% clock drift and the margin of 100 ms. */
constexpr std::int64_t kWaitMs = 6160;

MonotonicTime
at(std::int64_t aMs)
{
  return MonotonicTime::fromMs(aMs);
}

} // namespace

// Guards against a session that expires while its holder, whose clock is slower, still relies on
// the lease.
BOOST_AUTO_TEST_CASE(session_expires_only_after_lease_drift_and_margin)
{
  LeaseTable leases(kLeaseMs);
  leases.renew(1, at(1000));
  BOOST_TEST(leases.expired(at(1000 + kWaitMs)).empty());
  BOOST_TEST((leases.expired(at(1001 + kWaitMs)) == std::vector<std::int64_t>{ 1 }));
  leases.renew(1, at(2000));
  BOOST_TEST(leases.expired(at(1001 + kWaitMs)).empty());
}

// Guards against a new leader that ends a session which its predecessor has just renewed.
BOOST_AUTO_TEST_CASE(new_leader_honours_leases_of_its_predecessor)
{
  constexpr std::int64_t electionTimeoutMs = 1000;
  LeaseTable leases(kLeaseMs);
  leases.renew(7, at(0));
  leases.startTerm({ 1, 2 }, at(5000 + electionTimeoutMs));
  leases.renew(2, at(5200));
  BOOST_TEST(leases.expired(at(6000 + kWaitMs)).empty());
  BOOST_TEST((leases.expired(at(6001 + kWaitMs)) == std::vector<std::int64_t>{ 1, 2 }));
}

// Guards against proposing the end of a session again at each tick, and against a session that
// stays open forever after a failed proposal.
BOOST_AUTO_TEST_CASE(ending_session_expires_again_only_after_its_proposal_failed)
{
  LeaseTable leases(kLeaseMs);
  leases.renew(1, at(0));
  leases.markEnding(1);
  BOOST_TEST(leases.isEnding(1));
  BOOST_TEST(leases.expired(at(kWaitMs + 1)).empty());
  leases.unmarkEnding(1);
  BOOST_TEST(leases.expired(at(kWaitMs + 1)).size() == 1U);
  leases.remove(1);
  BOOST_TEST(leases.expired(at(kWaitMs + 1)).empty());
}
