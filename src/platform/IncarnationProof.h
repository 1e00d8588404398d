#pragma once

#include "relay/WorkerClient.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnoliadrum::platform {

/**
 * Proves that the process at a worker's address is the incarnation for which a call is meant. A
 * restarted worker may have the id and the address of its predecessor, so neither tells them apart.
 * A cursor of acknowledged ends, a lease or a start order of an earlier incarnation would be taken
 * for its own by the later one.
 *
 * A connection ends with the process at its other end. One connection is therefore used for nothing
 * but a request for run lists that acknowledges nothing and extends no lease. While it stays open
 * after an answer of the expected incarnation, calls on other connections reach this incarnation.
 */
class IncarnationProof
{
public:
  using Callback = std::function<void(const Result<Done>&)>;
  using MakeCall = std::function<HttpCall(const RunListRequest&)>;

  /** Precondition: aClient has one connection and no other user. */
  IncarnationProof(std::unique_ptr<HttpClient> aClient,
                   std::int64_t aBornMs,
                   std::string aAddress,
                   MakeCall aMakeCall);

  IncarnationProof(const IncarnationProof&) = delete;
  IncarnationProof& operator=(const IncarnationProof&) = delete;

  /**
   * Calls aCallback at once if the incarnation is proven, else after a request under aFence. What
   * the callback sends in the same turn of the event loop reaches the incarnation. An error has the
   * code of the failed request, or eConflict if another incarnation answered.
   */
  void whenProven(std::int64_t aFence, Callback aCallback);

  /** Requires a new proof after a call has failed: the worker's VM may have restarted without
   * ending its connections. */
  void onCallFailed() { mIsProven = false; }

private:
  void onAnswer(const Result<HttpAnswer>& aAnswer);
  Result<Done> checkAnswer(const HttpAnswer& aAnswer) const;

  std::unique_ptr<HttpClient> mClient;
  std::int64_t mBornMs;
  std::string mAddress;
  MakeCall mMakeCall;
  bool mIsProven = false;
  /** Callers that wait for the request in progress; empty when there is none. */
  std::vector<Callback> mWaiting;
  /** Callbacks hold a weak pointer to this to detect that the object was destroyed. */
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace magnoliadrum::platform
