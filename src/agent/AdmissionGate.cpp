#include "agent/AdmissionGate.h"

#include <algorithm>
#include <utility>

namespace magnoliadrum {

namespace {

/**
 * Request ids are kept for this long after the deadline. A duplicate that arrives even later is
 * refused because its deadline has passed.
 */
constexpr std::int64_t kIdRetentionMs = 60000;

} // namespace

AdmissionGate::AdmissionGate(Limits aLimits)
  : mLimits(std::move(aLimits))
{
}

bool
AdmissionGate::recordArrival(const RequestDispatch& aRequest, MonotonicTime aNow)
{
  while (!mIdExpiry.empty() && mIdExpiry.begin()->first <= aNow) {
    mSeenIds.erase(mIdExpiry.begin()->second);
    mIdExpiry.erase(mIdExpiry.begin());
  }
  if (!mSeenIds.insert(aRequest.requestId()).second) {
    return false;
  }
  const Deadline deadline = std::max(aNow, MonotonicTime::fromMs(aRequest.deadlineMs()));
  mIdExpiry.emplace(deadline.plusMs(kIdRetentionMs), aRequest.requestId());
  return true;
}

std::optional<RefusalReason>
AdmissionGate::admit(const RequestDispatch& aRequest,
                     const SessionLease& aLease,
                     const CatalogueEntry* aEntry,
                     MonotonicTime aNow)
{
  if (mShuttingDown) {
    return RefusalReason::eLeaving;
  }
  if (const auto reason = checkSession(aRequest, aLease, aEntry, aNow)) {
    return reason;
  }
  if (const auto reason = checkEntry(aRequest, aEntry)) {
    return reason;
  }
  if (MonotonicTime::fromMs(aRequest.deadlineMs()) <= aNow) {
    return RefusalReason::eDeadlinePassed;
  }
  if (const auto reason = checkCapacity(aRequest)) {
    return reason;
  }
  mOutstanding.insert(aRequest.requestId());
  return std::nullopt;
}

void
AdmissionGate::release(const std::string& aRequestId)
{
  mOutstanding.erase(aRequestId);
}

void
AdmissionGate::beginShutdown()
{
  mShuttingDown = true;
}

std::optional<RefusalReason>
AdmissionGate::checkSession(const RequestDispatch& aRequest,
                            const SessionLease& aLease,
                            const CatalogueEntry* aEntry,
                            MonotonicTime aNow) const
{
  if (aLease.mSession == 0) {
    return RefusalReason::eNoLease;
  }
  if (aRequest.session() != aLease.mSession) {
    return RefusalReason::eWrongSession;
  }
  if (aLease.isValidAt(aNow)) {
    return std::nullopt;
  }
  // Such an entry is served from the last known catalogue while control has no quorum.
  const bool isServedWithoutControl =
    aEntry != nullptr && aEntry->serveWithoutControl() && aEntry->repeatable();
  return isServedWithoutControl ? std::nullopt : std::optional(RefusalReason::eNoLease);
}

std::optional<RefusalReason>
AdmissionGate::checkEntry(const RequestDispatch& aRequest, const CatalogueEntry* aEntry) const
{
  if (aRequest.entryName() != mLimits.mEntryName) {
    return RefusalReason::eWrongTarget;
  }
  if (aEntry == nullptr || aEntry->kind() != EntryKind::eService) {
    return RefusalReason::eUnknownEntry;
  }
  const std::vector<std::string>& allowed = aEntry->dataCentres();
  if (std::find(allowed.begin(), allowed.end(), mLimits.mDataCentre) == allowed.end()) {
    return RefusalReason::eWrongTarget;
  }
  return std::nullopt;
}

std::optional<RefusalReason>
AdmissionGate::checkCapacity(const RequestDispatch& aRequest) const
{
  // A second dispatch with the id of an outstanding request would run the request twice.
  if (mOutstanding.contains(aRequest.requestId())) {
    return RefusalReason::eInvalidRequest;
  }
  if (outstanding() >= mLimits.mSlots) {
    return RefusalReason::eNoSlot;
  }
  // Each outstanding request occupies one connection to the executor.
  if (outstanding() >= mLimits.mConnections) {
    return RefusalReason::eNoConnection;
  }
  return std::nullopt;
}

} // namespace magnoliadrum
