#include "control/CatalogueVersionTracker.h"

#include "state/BuildValue.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/** Estimated size of the fixed-size fields of a record, rounded up. */
constexpr std::size_t kRecordOverheadBytes = 2048;

std::size_t
estimatedBytes(const CatalogueRecord& aRecord)
{
  std::size_t bytes = kRecordOverheadBytes;
  if (aRecord.entry()) {
    bytes += aRecord.entry()->payload().size();
    for (const std::string& dataCentre : aRecord.entry()->dataCentres()) {
      bytes += dataCentre.size();
    }
  }
  return bytes;
}

/** Returns how many leading records fit into one update; at least one if there are any. */
std::size_t
countFittingRecords(const std::vector<CatalogueRecord>& aRecords)
{
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < aRecords.size()) {
    bytes += estimatedBytes(aRecords[count]);
    if (count > 0 && bytes > CatalogueVersionTracker::kMaxUpdateBytes) {
      break;
    }
    count++;
  }
  return count;
}

} // namespace

void
CatalogueVersionTracker::startTerm(const std::map<std::int64_t, SessionRecord>& aSessions)
{
  mSessions.clear();
  for (const auto& [number, record] : aSessions) {
    mSessions[number].mProcessId = record.processId();
  }
}

void
CatalogueVersionTracker::addSession(std::int64_t aSession, const std::string& aProcessId)
{
  mSessions[aSession].mProcessId = aProcessId;
  mSessions[aSession].mVersionKnown = true;
}

void
CatalogueVersionTracker::recordReportedVersion(std::int64_t aSession, std::int64_t aVersion)
{
  const auto position = mSessions.find(aSession);
  if (position == mSessions.end()) {
    return;
  }
  Progress& progress = position->second;
  progress.mVersionKnown = true;
  progress.mReportedVersion = std::max(progress.mReportedVersion, aVersion);
  if (!progress.mPartialVersions.contains(aVersion)) {
    progress.mAppliedVersion = std::max(progress.mAppliedVersion, aVersion);
    progress.mPartialVersions.erase(progress.mPartialVersions.begin(),
                                    progress.mPartialVersions.lower_bound(aVersion));
  }
}

void
CatalogueVersionTracker::onReconnected(std::int64_t aSession)
{
  const auto position = mSessions.find(aSession);
  if (position != mSessions.end()) {
    position->second.mSentVersion = 0;
    position->second.mSentAt.reset();
  }
}

std::optional<CatalogueUpdate>
CatalogueVersionTracker::nextUpdate(std::int64_t aSession,
                                    const Catalogue& aCatalogue,
                                    std::int64_t aTerm,
                                    MonotonicTime aNow)
{
  const auto position = mSessions.find(aSession);
  if (position == mSessions.end() || !position->second.mVersionKnown) {
    return std::nullopt;
  }
  Progress& progress = position->second;
  const bool awaitingReport = progress.mSentAt && aNow.msSince(*progress.mSentAt) < kResendMs;
  const std::int64_t from = awaitingReport
                              ? std::max(progress.mSentVersion, progress.mReportedVersion)
                              : progress.mReportedVersion;
  // A process without a catalogue gets an update even if the catalogue is empty, to learn that.
  const bool isFirst = from == 0 && !progress.mSentAt;
  if (from >= aCatalogue.version() && !isFirst) {
    return std::nullopt;
  }
  std::vector<CatalogueRecord> records = aCatalogue.changedSince(from);
  const std::size_t count = countFittingRecords(records);
  const bool isComplete = count == records.size();
  records.resize(count);
  const std::int64_t to = isComplete ? aCatalogue.version() : records.back().catalogueVersion();
  if (!isComplete) {
    progress.mPartialVersions.insert(to);
  }
  progress.mSentVersion = to;
  progress.mSentAt = aNow;
  return buildValue<CatalogueUpdate>({ .term = aTerm,
                                       .complete = from == 0,
                                       .fromVersion = from,
                                       .toVersion = to,
                                       .records = std::move(records) });
}

std::vector<ProcessVersion>
CatalogueVersionTracker::sessionsBehind(std::int64_t aVersion) const
{
  std::vector<ProcessVersion> sessions;
  for (const auto& [number, progress] : mSessions) {
    if (progress.mAppliedVersion < aVersion) {
      sessions.push_back(buildValue<ProcessVersion>(
        { .processId = progress.mProcessId, .catalogueVersion = progress.mAppliedVersion }));
    }
  }
  return sessions;
}

std::int64_t
CatalogueVersionTracker::appliedVersion(std::int64_t aSession) const
{
  const auto position = mSessions.find(aSession);
  return position != mSessions.end() ? position->second.mAppliedVersion : 0;
}

} // namespace magnoliadrum
