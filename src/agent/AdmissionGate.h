#pragma once

#include "agent/SessionLease.h"
#include "generated/generated.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnoliadrum {

/**
 * The final check of a request before it is forwarded to the executor.
 *
 * The lease, the catalogue, the time left until the deadline and the free capacity may all have
 * changed since the gateway chose this target. A refused request was never forwarded, so a refusal
 * guarantees that it has not run.
 */
class AdmissionGate
{
public:
  /** The entry that the executor serves, its data centre and its capacity. */
  struct Limits
  {
    std::string mEntryName;
    std::string mDataCentre;
    std::int64_t mSlots = 0;
    std::int64_t mConnections = 0;
  };

  explicit AdmissionGate(Limits aLimits);

  /**
   * Records the request id of a dispatch. Returns false if the id was received before. The caller
   * must then drop the duplicate without an answer: a refusal would report "not run" for a request
   * that may be running, and running it might contradict an earlier refusal.
   */
  bool recordArrival(const RequestDispatch& aRequest, MonotonicTime aNow);

  /**
   * Checks a request. An admitted request counts as outstanding until release().
   *
   * @param aEntry the request's entry in the agent's copy of the catalogue, null if it has none
   * @return the reason for the refusal, or nothing if the request is admitted
   */
  std::optional<RefusalReason> admit(const RequestDispatch& aRequest,
                                     const SessionLease& aLease,
                                     const CatalogueEntry* aEntry,
                                     MonotonicTime aNow);

  /** Call when the executor no longer works on an admitted request. Ignores unknown ids. */
  void release(const std::string& aRequestId);

  /** Refuses all further requests. Outstanding requests are not affected. */
  void beginShutdown();

  bool isShuttingDown() const { return mShuttingDown; }
  std::int64_t outstanding() const { return static_cast<std::int64_t>(mOutstanding.size()); }
  const Limits& limits() const { return mLimits; }

private:
  std::optional<RefusalReason> checkSession(const RequestDispatch& aRequest,
                                            const SessionLease& aLease,
                                            const CatalogueEntry* aEntry,
                                            MonotonicTime aNow) const;
  std::optional<RefusalReason> checkEntry(const RequestDispatch& aRequest,
                                          const CatalogueEntry* aEntry) const;
  std::optional<RefusalReason> checkCapacity(const RequestDispatch& aRequest) const;

  Limits mLimits;
  bool mShuttingDown = false;
  std::set<std::string> mOutstanding;
  std::set<std::string> mSeenIds;
  std::multimap<Deadline, std::string> mIdExpiry;
};

} // namespace magnoliadrum
