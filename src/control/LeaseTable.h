#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <vector>

namespace magnoliadrum {

/**
 * The leader's volatile record of the leases of all open sessions (the leader's rule in section 5
 * of the design document). A session may end only when its holder's lease has certainly expired.
 */
class LeaseTable
{
public:
  /** Maximum relative difference between the rates of two clocks. */
  static constexpr double kClockDrift = 0.01;
  /** Added to the expiry time to allow for rounding to milliseconds and delayed timers. */
  static constexpr std::int64_t kMarginMs = 100;

  explicit LeaseTable(std::int64_t aLeaseMs);

  /** Starts a leadership term. All sessions count as renewed at aRenewedAt. */
  void startTerm(const std::vector<std::int64_t>& aSessions, MonotonicTime aRenewedAt);

  /** Removes all sessions. */
  void endTerm() { mLeases.clear(); }

  /** Records that a lease is granted or renewed at aNow. Precondition: !isEnding(aSession). */
  void renew(std::int64_t aSession, MonotonicTime aNow);

  /**
   * Marks a session whose end is proposed. It must not be renewed any more, because its holder
   * would keep a lease on a session that ends when the proposal is committed.
   */
  void markEnding(std::int64_t aSession);

  /** The proposal to end the session is known to have failed, so the session may expire again. */
  void unmarkEnding(std::int64_t aSession);

  bool isEnding(std::int64_t aSession) const;

  void remove(std::int64_t aSession) { mLeases.erase(aSession); }

  /** Returns the sessions whose leases have certainly expired and whose end is not proposed. */
  std::vector<std::int64_t> expired(MonotonicTime aNow) const;

  /** Returns the end of a lease on its holder's clock. aSentAtMs is the reading of that clock in
   * the holder's request. */
  std::int64_t leaseUntilMs(std::int64_t aSentAtMs) const { return aSentAtMs + mLeaseMs; }

private:
  struct Lease
  {
    /** When the last grant or renewal was sent; after an election, the latest time at which the
     * predecessor may have sent one. */
    MonotonicTime mLastReplyAt;
    bool mEnding = false;
  };

  std::int64_t mLeaseMs;
  std::map<std::int64_t, Lease> mLeases;
};

} // namespace magnoliadrum
