#include "gateway/TargetTable.h"

#include <algorithm>
#include <cassert>

namespace magnoliadrum {

TargetTable::TargetTable(RandomEngine aEngine, std::int64_t aSilenceMs)
  : mSilenceMs(aSilenceMs)
  , mSelector(std::move(aEngine))
{
  assert(aSilenceMs > 0);
}

void
TargetTable::setTargets(const std::vector<TargetStatus>& aTargets)
{
  for (auto& [id, target] : mTargets) {
    target.mAnnounced = false;
  }
  for (auto& [name, entry] : mEntries) {
    entry.mTargetIds.clear();
  }
  for (const TargetStatus& status : aTargets) {
    const TargetDescription& description = status.target();
    if (description.targetKind() != TargetKind::eExecutor) {
      continue;
    }
    Target& target = mTargets[description.targetId()];
    target.mDescription = description;
    target.mSession = status.session();
    target.mAnnounced = true;
    target.mLeaving = status.leaving();
    target.mLoad.setSlots(description.slots());
    mEntries[description.entryName()].mTargetIds.push_back(description.targetId());
  }
  std::erase_if(mEntries, [](const auto& aItem) { return aItem.second.mTargetIds.empty(); });
  for (auto& [name, entry] : mEntries) {
    entry.mOutlierDetector.setTargets(entry.mTargetIds);
  }
  removeUnusedTargets();
}

void
TargetTable::removeUnusedTargets()
{
  std::erase_if(mTargets, [](const auto& aItem) {
    const Target& target = aItem.second;
    return !target.mAnnounced && target.mConnection == 0 && target.mLoad.ownOutstanding() == 0;
  });
}

void
TargetTable::connectionOpened(const std::string& aTargetId, std::uint64_t aConnection)
{
  assert(aConnection != 0);
  Target& target = mTargets[aTargetId];
  mTargetIdByConnection.erase(target.mConnection);
  target.mConnection = aConnection;
  target.mStatus.reset();
  target.mSuspended = false;
  target.mClockOffset = ClockOffset();
  mTargetIdByConnection[aConnection] = aTargetId;
}

void
TargetTable::connectionLost(std::uint64_t aConnection)
{
  const auto position = mTargetIdByConnection.find(aConnection);
  if (position == mTargetIdByConnection.end()) {
    return;
  }
  Target& target = mTargets.at(position->second);
  target.mConnection = 0;
  target.mStatus.reset();
  mTargetIdByConnection.erase(position);
  removeUnusedTargets();
}

void
TargetTable::recordStatus(std::uint64_t aConnection, const AgentStatus& aStatus, MonotonicTime aNow)
{
  const auto position = mTargetIdByConnection.find(aConnection);
  if (position == mTargetIdByConnection.end()) {
    return;
  }
  Target& target = mTargets.at(position->second);
  target.mStatus = aStatus;
  target.mStatusReceivedAt = aNow;
  target.mSuspended = false;
  target.mClockOffset.record(MonotonicTime::fromMs(aStatus.clockMs()), aNow);
  target.mLoad.recordReport(aStatus.outstanding(), aNow);
}

bool
TargetTable::isSilent(const Target& aTarget, MonotonicTime aNow) const
{
  return !aTarget.mStatus || aNow.msSince(aTarget.mStatusReceivedAt) > mSilenceMs;
}

bool
TargetTable::isSilent(const std::string& aTargetId, MonotonicTime aNow) const
{
  return isSilent(mTargets.at(aTargetId), aNow);
}

bool
TargetTable::isUsable(const Target& aTarget, const CatalogueEntry& aEntry, MonotonicTime aNow) const
{
  if (!aTarget.mAnnounced || aTarget.mLeaving || aTarget.mConnection == 0 || aTarget.mSuspended) {
    return false;
  }
  if (isSilent(aTarget, aNow)) {
    return false;
  }
  // If the agent's session differs from the announced one, the announcement is out of date.
  if (aTarget.mStatus->leaving() || aTarget.mStatus->session() != aTarget.mSession) {
    return false;
  }
  const std::vector<std::string>& allowed = aEntry.dataCentres();
  return aTarget.mLoad.slots() > 0 &&
         std::find(allowed.begin(), allowed.end(), aTarget.mDescription.dataCentre()) !=
           allowed.end();
}

std::vector<std::string>
TargetTable::freeTargets(const CatalogueEntry& aEntry, MonotonicTime aNow) const
{
  std::vector<std::string> free;
  const auto entry = mEntries.find(aEntry.name());
  if (entry == mEntries.end()) {
    return free;
  }
  const OutlierDetector& detector = entry->second.mOutlierDetector;
  std::vector<std::string> freeEjected;
  bool hasNonEjected = false;
  for (const std::string& id : entry->second.mTargetIds) {
    const Target& target = mTargets.at(id);
    if (!isUsable(target, aEntry, aNow)) {
      continue;
    }
    const bool isEjected =
      detector.availability(id, aNow) == OutlierDetector::Availability::eEjected;
    hasNonEjected = hasNonEjected || !isEjected;
    if (target.mLoad.hasFreeSlot(aNow)) {
      (isEjected ? freeEjected : free).push_back(id);
    }
  }
  // If every usable target is ejected, because the others are silent or leaving, a target that is
  // slow or sometimes fails is better than none.
  if (!hasNonEjected) {
    return freeEjected;
  }
  return free;
}

std::optional<TargetChoice>
TargetTable::choose(const CatalogueEntry& aEntry,
                    const std::set<std::string>& aTried,
                    Deadline aDeadline,
                    MonotonicTime aNow)
{
  std::vector<std::string> free = freeTargets(aEntry, aNow);
  const auto isTried = [&](const std::string& aId) { return aTried.contains(aId); };
  if (!std::all_of(free.begin(), free.end(), isTried)) {
    std::erase_if(free, isTried);
  }
  if (free.empty()) {
    return std::nullopt;
  }
  std::vector<TargetCandidate> candidates;
  const OutlierDetector& detector = mEntries.at(aEntry.name()).mOutlierDetector;
  std::optional<std::size_t> probe;
  for (const std::string& id : free) {
    const TargetLoad& load = mTargets.at(id).mLoad;
    if (detector.availability(id, aNow) == OutlierDetector::Availability::eProbe) {
      // A due probe has priority; otherwise a busy entry would never use the ejected target again.
      probe = candidates.size();
    }
    candidates.push_back({ load.outstanding(aNow), load.slots() });
  }
  const std::string& id = free[probe ? *probe : mSelector.select(candidates)];
  const Target& target = mTargets.at(id);
  const std::optional<Deadline> deadline = target.mClockOffset.translate(aDeadline, aNow);
  if (!deadline) {
    return std::nullopt;
  }
  return TargetChoice{ id, target.mConnection, target.mSession, *deadline, probe.has_value() };
}

bool
TargetTable::hasFreeTarget(const CatalogueEntry& aEntry, MonotonicTime aNow) const
{
  return !freeTargets(aEntry, aNow).empty();
}

bool
TargetTable::hasUsableTarget(const CatalogueEntry& aEntry, MonotonicTime aNow) const
{
  const auto entry = mEntries.find(aEntry.name());
  return entry != mEntries.end() && std::any_of(entry->second.mTargetIds.begin(),
                                                entry->second.mTargetIds.end(),
                                                [&](const std::string& aId) {
                                                  return isUsable(mTargets.at(aId), aEntry, aNow);
                                                });
}

void
TargetTable::beginAttempt(const TargetChoice& aChoice)
{
  mTargets.at(aChoice.mTargetId).mLoad.recordDispatch();
  if (aChoice.mIsProbe) {
    findOutlierDetector(aChoice.mTargetId)->beginProbe(aChoice.mTargetId);
  }
}

void
TargetTable::endAttempt(const std::string& aTargetId)
{
  mTargets.at(aTargetId).mLoad.recordEnd();
}

void
TargetTable::recordLoad(const std::string& aTargetId, std::int64_t aOutstanding, MonotonicTime aNow)
{
  mTargets.at(aTargetId).mLoad.recordReport(aOutstanding, aNow);
}

void
TargetTable::recordResponse(const std::string& aTargetId,
                            bool aSuccess,
                            std::int64_t aLatencyMs,
                            MonotonicTime aNow)
{
  if (OutlierDetector* detector = findOutlierDetector(aTargetId)) {
    detector->recordResponse(aTargetId, aSuccess, aLatencyMs, aNow);
  }
}

void
TargetTable::recordTimeout(const std::string& aTargetId,
                           std::int64_t aElapsedMs,
                           MonotonicTime aNow)
{
  if (OutlierDetector* detector = findOutlierDetector(aTargetId)) {
    detector->recordTimeout(aTargetId, aElapsedMs, aNow);
  }
}

void
TargetTable::recordRefusal(const std::string& aTargetId, RefusalReason aReason, MonotonicTime aNow)
{
  OutlierDetector* detector = findOutlierDetector(aTargetId);
  if (detector == nullptr) {
    return;
  }
  if (aReason == RefusalReason::eExecutorUnreachable) {
    detector->recordResponse(aTargetId, false, 0, aNow);
    return;
  }
  detector->cancelProbe(aTargetId);
  TargetLoad& load = mTargets.at(aTargetId).mLoad;
  if (aReason == RefusalReason::eNoSlot || aReason == RefusalReason::eNoConnection) {
    // Whatever load the target reported before, it is full now.
    load.recordReport(load.slots(), aNow);
  } else if (aReason != RefusalReason::eDeadlinePassed) {
    suspend(aTargetId);
  }
}

void
TargetTable::suspend(const std::string& aTargetId)
{
  mTargets.at(aTargetId).mSuspended = true;
}

std::size_t
TargetTable::ejectedCount(const std::string& aEntryName) const
{
  const auto entry = mEntries.find(aEntryName);
  return entry == mEntries.end() ? 0 : entry->second.mOutlierDetector.ejectedCount();
}

std::size_t
TargetTable::targetCount(const std::string& aEntryName) const
{
  const auto entry = mEntries.find(aEntryName);
  return entry == mEntries.end() ? 0 : entry->second.mTargetIds.size();
}

OutlierDetector*
TargetTable::findOutlierDetector(const std::string& aTargetId)
{
  const auto target = mTargets.find(aTargetId);
  if (target == mTargets.end()) {
    return nullptr;
  }
  const auto entry = mEntries.find(target->second.mDescription.entryName());
  return entry == mEntries.end() ? nullptr : &entry->second.mOutlierDetector;
}

} // namespace magnoliadrum
