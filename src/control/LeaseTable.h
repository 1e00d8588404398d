#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <vector>

namespace magnoliadrum {

/**
 * The leader's volatile record of the leases of all open sessions (leader's rule of design section
 * 5). A session may end only after its holder's lease has surely ended.
 */
class LeaseTable
{
public:
  /** Two clocks' rates differ by at most this share. */
  static constexpr double kClockDrift = 0.01;
  /** Added to the wait for rounding to milliseconds and for delayed timers. */
  static constexpr std::int64_t kMarginMs = 100;

  explicit LeaseTable(std::int64_t aLeaseMs);

  /**
   * Starts a leadership. The predecessor may have renewed a session until its own leadership
   * ended, which is at most one election timeout after this leader's election.
   */
  void startTerm(const std::vector<std::int64_t>& aSessions,
                 MonotonicTime aElectedAt,
                 std::int64_t aElectionTimeoutMs);

  /** Forgets all sessions. */
  void endTerm() { mLeases.clear(); }

  /** Records that a grant or a renewal is sent at aNow. Precondition: !isEnding(aSession). */
  void renew(std::int64_t aSession, MonotonicTime aNow);

  /**
   * Marks a session whose end is proposed. It must not be renewed from now on, because its holder
   * would keep a lease on a session that the log ends.
   */
  void markEnding(std::int64_t aSession);

  /** The proposal to end the session surely failed; the session is due again. */
  void unmarkEnding(std::int64_t aSession);

  bool isEnding(std::int64_t aSession) const;

  /** The session has ended. */
  void remove(std::int64_t aSession) { mLeases.erase(aSession); }

  /** Returns the sessions whose holders' leases have surely ended and whose end is not proposed. */
  std::vector<std::int64_t> expired(MonotonicTime aNow) const;

  /** Returns the end of a lease on the clock of its holder, who sent a reading of that clock. */
  std::int64_t leaseUntilMs(std::int64_t aSentAtMs) const { return aSentAtMs + mLeaseMs; }

private:
  struct Lease
  {
    MonotonicTime mLastReplyAt;
    bool mEnding = false;
  };

  std::int64_t mLeaseMs;
  std::map<std::int64_t, Lease> mLeases;
};

} // namespace magnoliadrum
