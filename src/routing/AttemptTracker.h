#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnoliadrum {

/** What is known about a request when its caller gets the response. */
enum class RequestOutcome
{
  eDone,   /**< An executor ran it and its complete response arrived. */
  eNotRun, /**< It is certain that no executor ran it. */
  eUnknown /**< An executor may have run it. */
};

/** Action to take after an event of a request. */
enum class RequestAction
{
  eIgnore,  /**< None: the event is late, duplicate or from another connection. */
  eRespond, /**< Report the outcome, which is now final, to the caller. */
  eRetry    /**< Another attempt may start. */
};

/**
 * Tracks the attempts of one request and determines the outcome of the request.
 *
 * The outcome is eNotRun only if each attempt was refused by its agent or was never written to a
 * connection. A non-repeatable request is dispatched again only under the same condition. An event
 * is ignored if it arrives on another connection than the attempt's, after another event of the
 * attempt, or after the outcome.
 */
class AttemptTracker
{
public:
  explicit AttemptTracker(bool aRepeatable);

  /**
   * Whether a new attempt may start: there is no outcome, no attempt is in progress, and the
   * request is repeatable or has certainly not run.
   */
  bool mayDispatch() const;

  /** Starts an attempt on a connection and returns its number. Precondition: mayDispatch(). */
  std::size_t beginAttempt(std::uint64_t aConnection);

  /** The connection did not accept the attempt's message, so no byte of it was sent. */
  RequestAction recordNotWritten(std::size_t aAttempt, std::uint64_t aConnection);

  /** The agent refused the attempt before an executor received it. */
  RequestAction recordRefusal(std::size_t aAttempt, std::uint64_t aConnection);

  /** The complete response arrived. */
  RequestAction recordResponse(std::size_t aAttempt, std::uint64_t aConnection);

  /** An executor may have received the attempt; its response is lost, incomplete or given up. */
  RequestAction recordFailure(std::size_t aAttempt, std::uint64_t aConnection);

  /** The connection was lost; applies to the attempt in progress on it. */
  RequestAction recordConnectionLost(std::uint64_t aConnection);

  /**
   * Ends the request without a response: its deadline passed, its caller disconnected or no
   * further attempt is possible. Returns the final outcome. Precondition: no outcome yet.
   */
  RequestOutcome finish();

  /** The outcome, or nothing while the request is in progress. */
  std::optional<RequestOutcome> outcome() const { return mOutcome; }

  bool isRepeatable() const { return mRepeatable; }

  bool hasAttemptInProgress() const;

  /** Whether an executor may have run any attempt. */
  bool mayHaveRun() const;

  std::size_t attemptCount() const { return mAttempts.size(); }

private:
  enum class AttemptState
  {
    eInProgress,
    eNotRun,
    eDone,
    eUnknown
  };

  struct Attempt
  {
    std::uint64_t mConnection;
    AttemptState mState;
  };

  RequestAction completeAttempt(std::size_t aAttempt,
                                std::uint64_t aConnection,
                                AttemptState aState);

  bool mRepeatable;
  std::vector<Attempt> mAttempts;
  std::optional<RequestOutcome> mOutcome;
};

} // namespace magnoliadrum
