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
 * Tracks which catalogue version each open session has applied, and creates its next update.
 *
 * A version counts as applied when the session reports it. The end version of a partial update does
 * not count, because records changed up to that version may still be missing.
 */
class CatalogueVersionTracker
{
public:
  /** An update is sent again when the session has not reported its version within this time. */
  static constexpr std::int64_t kResendMs = 1000;
  /** Approximate size at which updates are split, well below the maximum message size. */
  static constexpr std::size_t kMaxUpdateBytes = std::size_t{ 1024 } * 1024;

  /** Starts a leadership term. The versions of the open sessions are unknown until they report. */
  void startTerm(const std::map<std::int64_t, SessionRecord>& aSessions);

  void endTerm() { mSessions.clear(); }

  /** Adds a newly opened session, whose process receives the whole catalogue. */
  void addSession(std::int64_t aSession, const std::string& aProcessId);
  void removeSession(std::int64_t aSession) { mSessions.erase(aSession); }

  /** Records the version that a session reported in a heartbeat. */
  void recordReportedVersion(std::int64_t aSession, std::int64_t aVersion);

  /** Discards what was sent, because updates may have been lost with the previous connection. */
  void onReconnected(std::int64_t aSession);

  /** Returns the next update to send to a session, if any. */
  std::optional<CatalogueUpdate> nextUpdate(std::int64_t aSession,
                                            const Catalogue& aCatalogue,
                                            std::int64_t aTerm,
                                            MonotonicTime aNow);

  /** Returns the sessions that have not applied aVersion, each with the version it has applied. */
  std::vector<ProcessVersion> sessionsBehind(std::int64_t aVersion) const;

  /** Returns the version that a session has applied; 0 when it has reported none. */
  std::int64_t appliedVersion(std::int64_t aSession) const;

private:
  struct Progress
  {
    std::string mProcessId;
    /** False for a session opened under an earlier leader, until its first report. */
    bool mVersionKnown = false;
    std::int64_t mAppliedVersion = 0;
    std::int64_t mReportedVersion = 0;
    std::int64_t mSentVersion = 0;
    /** Absent when nothing was sent on the current connection. */
    std::optional<MonotonicTime> mSentAt;
    /** End versions of partial updates. */
    std::set<std::int64_t> mPartialVersions;
  };

  std::map<std::int64_t, Progress> mSessions;
};

} // namespace magnoliadrum
