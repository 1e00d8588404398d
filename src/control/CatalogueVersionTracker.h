#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "state/state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Which catalogue version each open session applies, and which update it gets next.
 *
 * A session counts as applying a version when it reports it. A version at which a split update ends
 * does not count, because records of earlier versions may still be missing at it.
 */
class CatalogueVersionTracker
{
public:
  /** An update without an effect in the reports for this long is sent again. */
  static constexpr std::int64_t kResendMs = 1000;
  /** Updates are split at about this size, well below the largest message. */
  static constexpr std::size_t kMaxUpdateBytes = std::size_t{ 1024 } * 1024;

  /** Starts a leadership: nothing is known about the sessions yet. */
  void startTerm(const std::map<std::int64_t, SessionRecord>& aSessions);

  void endTerm() { mSessions.clear(); }

  /** A session was opened; its process gets the whole catalogue. */
  void addSession(std::int64_t aSession, const std::string& aProcessId);
  void removeSession(std::int64_t aSession) { mSessions.erase(aSession); }

  /** Records the version in a heartbeat. */
  void recordReportedVersion(std::int64_t aSession, std::int64_t aVersion);

  /** The session's connection is new, so nothing that was sent before counts. */
  void onReconnected(std::int64_t aSession);

  /** Returns the next update for a session; nothing when there is nothing to send now. */
  std::optional<CatalogueUpdate> nextUpdate(std::int64_t aSession,
                                            const Catalogue& aCatalogue,
                                            std::int64_t aTerm,
                                            MonotonicTime aNow);

  /** Returns the sessions that do not apply a version yet. */
  std::vector<ProcessVersion> sessionsBehind(std::int64_t aVersion) const;

  /** Version that a session applies; 0 when it reported none. */
  std::int64_t appliedVersion(std::int64_t aSession) const;

private:
  struct Progress
  {
    std::string mProcessId;
    /** False until the first report of a session that an earlier leader opened. */
    bool mVersionKnown = false;
    std::int64_t mAppliedVersion = 0;
    std::int64_t mReportedVersion = 0;
    std::int64_t mSentVersion = 0;
    /** Absent when nothing was sent on this connection. */
    std::optional<MonotonicTime> mSentAt;
    /** Versions at which a split update ended. */
    std::set<std::int64_t> mPartialVersions;
  };

  std::map<std::int64_t, Progress> mSessions;
};

} // namespace magnoliadrum
