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
  eDone,   /**< An executor ran it and its complete response is here. */
  eNotRun, /**< It is proven that no executor ran it. */
  eUnknown /**< An executor may have run it. */
};

/** What to do after an event of a request. */
enum class RequestAction
{
  eIgnore,  /**< The event is late, duplicate or from another connection; nothing changes. */
  eRespond, /**< The caller gets the outcome now. */
  eRetry    /**< Another attempt is allowed. */
};

/**
 * The life of one request: its attempts and what is known about each.
 *
 * Keeps two rules. "Not run" is the outcome only when each attempt was refused by its agent or was
 * never written to a connection. A non-repeatable request is dispatched again only in that same
 * case. Events come with the attempt and the connection on which they arrived; an event on another
 * connection than the attempt's, a second event and an event after the outcome have no effect.
 */
class AttemptTracker
{
public:
  explicit AttemptTracker(bool aRepeatable);

  /** Whether a new attempt may start: no outcome yet, none in progress, none that forbids a repeat.
   */
  bool mayDispatch() const;

  /** Starts an attempt on a connection and returns its number. Precondition: mayDispatch(). */
  std::size_t beginAttempt(std::uint64_t aConnection);

  /** The connection did not take the attempt's message, so no byte of it was sent. */
  RequestAction recordNotWritten(std::size_t aAttempt, std::uint64_t aConnection);

  /** The agent refused the attempt before an executor got it. */
  RequestAction recordRefusal(std::size_t aAttempt, std::uint64_t aConnection);

  /** The complete response arrived. */
  RequestAction recordResponse(std::size_t aAttempt, std::uint64_t aConnection);

  /** The executor got the attempt, and its response is lost or incomplete. */
  RequestAction recordFailure(std::size_t aAttempt, std::uint64_t aConnection);

  /** The connection was lost; applies to the attempt in progress on it. */
  RequestAction recordConnectionLost(std::uint64_t aConnection);

  /**
   * Ends the request without a response: its deadline passed, its caller is gone or no further
   * attempt is possible. Returns the outcome, which is final. Precondition: no outcome yet.
   */
  RequestOutcome finish();

  /** The outcome; nothing while the request is in progress. */
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
