#pragma once

#include "agent/SessionLease.h"
#include "generated/generated.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnoliadrum {

/**
 * The last check of a request before it goes to the executor.
 *
 * Everything that is checked here may have changed after the gateway chose the target: the lease,
 * the catalogue, the deadline and the requests that other gateways sent. A refusal proves that the
 * request was not run, because it was never handed on.
 */
class AdmissionGate
{
public:
  /** What the executor serves and holds. */
  struct Limits
  {
    std::string mEntryName;
    std::string mDataCentre;
    std::int64_t mSlots = 0;
    std::int64_t mConnections = 0;
  };

  explicit AdmissionGate(Limits aLimits);

  /**
   * Notes the arrival of a dispatch. Returns false when its id has arrived before; such a copy must
   * be dropped without an answer. A refusal would say "not run" of a request that is running, and
   * running it would contradict an earlier refusal.
   */
  bool recordArrival(const RequestDispatch& aRequest, MonotonicTime aNow);

  /**
   * Checks a request and, when it is admitted, counts it as outstanding until release().
   *
   * @param aEntry the entry's content in the agent's copy of the catalogue, null when it has none
   * @return nothing when the request is admitted, else why it is refused
   */
  std::optional<RefusalReason> admit(const RequestDispatch& aRequest,
                                     const SessionLease& aLease,
                                     const CatalogueEntry* aEntry,
                                     MonotonicTime aNow);

  /** Ends an admitted request; the executor no longer works on it. An unknown id has no effect. */
  void release(const std::string& aRequestId);

  /** Refuses every further request; those outstanding are not affected. */
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
