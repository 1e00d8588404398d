#pragma once

#include "gateway/CallerRequest.h"
#include "gateway/EntryStatistics.h"
#include "gateway/TargetTable.h"
#include "routing/routing.h"
#include "session/CatalogueCopy.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace magnoliadrum {

/** Actions that RequestRouter requests from the gateway process. */
class RouterActions
{
public:
  virtual ~RouterActions() = default;

  /** Sends the response to a caller. Called exactly once per request unless the caller
   * disconnected. */
  virtual void respond(std::uint64_t aRequest, const HttpAnswer& aAnswer) = 0;

  /**
   * Sends a message on the connection to an agent. Returns false if no byte of it was or will be
   * written. Must not call RequestRouter::connectionLost() before it returns.
   */
  virtual bool dispatch(std::uint64_t aConnection, const RequestDispatch& aMessage) = 0;

  /**
   * Asks control to grant the idempotency key of a request. The answer is passed to
   * RequestRouter::intentAnswered().
   */
  virtual void beginIntent(std::uint64_t aRequest,
                           const IntentBegin& aMessage,
                           Deadline aDeadline) = 0;

  /**
   * Reports the outcome of a request to control, repeatedly until control has committed it, and
   * then calls RequestRouter::intentEnded().
   */
  virtual void endIntent(std::uint64_t aRequest, const IntentEnd& aMessage) = 0;
};

/** State of the gateway's lease, taken from its session with control. */
struct LeaseView
{
  bool mHeld = false;
  /** The lease expired but the leader has not ended the session, so control is unreachable. */
  bool mControlUnreachable = false;
};

/** Settings of a RequestRouter. */
struct RouterOptions
{
  /** Prefix that makes request ids unique across all gateways and their restarts. */
  std::string mIncarnation;
  std::size_t mQueueLength = 0;
  /** Allowed retries per first attempt, between 0 and 1. */
  double mRetryShare = 0;
  /** A target whose agent has sent no status for this long gets no requests. */
  std::int64_t mAgentSilenceMs = 1;
};

/**
 * Processes callers' requests in a gateway: admission, intent, queue, dispatch, retries and
 * response. An intent is the record at control that reserves the idempotency key of a
 * non-repeatable request and stores its outcome.
 *
 * Performs no I/O and reads no clock: events and the time are passed in, and effects are requested
 * through RouterActions. A request is identified by the number from nextRequest(). It is kept after
 * its response while an attempt is in progress, so that the slot stays counted as in use and the
 * outcome of a non-repeatable request is recorded when it becomes known.
 */
class RequestRouter
{
public:
  RequestRouter(RouterOptions aOptions, RandomEngine aEngine, RouterActions& aActions);

  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  void setLease(LeaseView aLease) { mLease = aLease; }

  /** Applies a catalogue. aCatalogue must outlive the router. */
  void setCatalogue(const CatalogueCopy& aCatalogue);

  void setTargets(const std::vector<TargetStatus>& aTargets, MonotonicTime aNow);
  void connectionOpened(const std::string& aTargetId, std::uint64_t aConnection);
  void connectionLost(std::uint64_t aConnection, MonotonicTime aNow);

  /** Handles a message from an agent. */
  void agentMessage(std::uint64_t aConnection, const Message& aMessage, MonotonicTime aNow);

  /** Returns a new request number, to be passed to submit(). */
  std::uint64_t nextRequest() { return ++mLastRequest; }

  /** Admits or refuses a request. RouterActions::respond() may be called before this returns. */
  void submit(std::uint64_t aRequest, CallerRequest aCall, MonotonicTime aNow);

  /** Handles the disconnection of a request's caller. */
  void callerGone(std::uint64_t aRequest, MonotonicTime aNow);

  void intentAnswered(std::uint64_t aRequest,
                      const Result<IntentStatus>& aStatus,
                      MonotonicTime aNow);
  void intentEnded(std::uint64_t aRequest);

  /** Handles expired deadlines and queued requests. Called every few milliseconds. */
  void tick(MonotonicTime aNow);

  /** Refuses all new requests. Requests that are already admitted continue. */
  void beginShutdown() { mShuttingDown = true; }

  /** Ends all requests as if their deadlines had passed, for a shutdown that takes too long. */
  void cutOff(MonotonicTime aNow);

  /**
   * Whether every request has its response, its intent is committed and no attempt is in progress
   * except abandoned ones.
   */
  bool isIdle() const { return mRequests.empty(); }

  /** Whether a connection has attempts in progress. */
  bool isInUse(std::uint64_t aConnection) const;

  EntryStatistics& statistics() { return mStatistics; }
  void writeMetrics(MetricsRegistry& aMetrics) const;

private:
  enum class IntentState
  {
    eNone,      /**< No key is needed, control denied it, or the end of the intent is committed. */
    eBeginning, /**< Control was asked for the key and may or may not have granted it. */
    eHeld,      /**< Control granted the key, or may have granted it. */
    eEnding     /**< The end was reported to control and is not committed yet. */
  };

  struct Request
  {
    CallerRequest mCall;
    CatalogueEntry mEntry;
    AttemptTracker mAttemptTracker{ false };
    IntentState mIntent = IntentState::eNone;
    bool mAttemptInProgress = false;
    bool mResponded = false;
    bool mCallerDisconnected = false;
    /** Targets to which the request was sent; the next attempt prefers another one. */
    std::set<std::string> mTriedTargets;
    /** Ended attempts that count towards kMaxAttempts. */
    int mCountedAttempts = 0;
    RefusalReason mLastRefusal = RefusalReason::eDeadlinePassed;
    /** Response to send once the end of the intent is committed. */
    std::optional<HttpAnswer> mPendingAnswer;
  };

  struct Attempt
  {
    std::uint64_t mRequest = 0;
    std::size_t mNumber = 0;
    std::uint64_t mConnection = 0;
    std::string mTargetId;
    MonotonicTime mStartedAt;
    /** The attempt is treated as lost if the agent has not reported its end by then. */
    Deadline mExpiresAt;
    /** The target's statistics already count this attempt as a timeout. */
    bool mTimeoutRecorded = false;
    std::string mEntryName;
    /** The request continues without this attempt, which only counts towards its target's load. */
    bool mAbandoned = false;
  };

  enum class AttemptEnd
  {
    eNotWritten,
    eRefused,
    eAnswered,
    eFailed,
    eLost
  };

  /** How an attempt ended and the data that the agent reported with it. */
  struct AttemptReport
  {
    AttemptEnd mEnd = AttemptEnd::eLost;
    const HttpAnswer* mAnswer = nullptr;
    RefusalReason mReason = RefusalReason::eNoConnection;
    std::optional<std::int64_t> mOutstanding = std::nullopt;
  };

  using Requests = std::map<std::uint64_t, Request>;
  using Attempts = std::map<std::string, Attempt>;

  std::optional<RefusalReason> admissionRefusal(const CallerRequest& aCall,
                                                const CatalogueEntry* aEntry,
                                                MonotonicTime aNow);
  bool leaseAllows(const CatalogueEntry& aEntry, bool aRepeatable) const;
  /** Whether an entry has had no usable target for too long. Updates mNoTargetSince. */
  bool noTargetTimeoutElapsed(const CatalogueEntry& aEntry, MonotonicTime aNow);
  void refuseAtAdmission(std::uint64_t aRequest,
                         const CallerRequest& aCall,
                         const CatalogueEntry* aEntry,
                         RefusalReason aReason,
                         MonotonicTime aNow);
  void beginIntent(std::uint64_t aRequest, Request& aState);
  void finishFromIntent(std::uint64_t aRequest, const IntentStatus& aStatus, MonotonicTime aNow);

  void enqueue(std::uint64_t aRequest, MonotonicTime aNow);
  void addToQueue(std::uint64_t aRequest, MonotonicTime aNow);
  void finishDropped(const std::vector<DroppedRequest>& aDropped, MonotonicTime aNow);
  void dispatchQueued(const std::string& aEntryName, MonotonicTime aNow);
  std::optional<RefusalReason> dispatchRefusal(const Request& aState, MonotonicTime aNow) const;
  bool dispatch(std::uint64_t aRequest, MonotonicTime aNow);
  void send(std::uint64_t aRequest, const TargetChoice& aChoice, MonotonicTime aNow);

  void onAttemptReport(std::uint64_t aConnection,
                       const std::string& aId,
                       const AttemptReport& aReport,
                       MonotonicTime aNow);
  void endAttempt(Attempts::iterator aAttempt, const AttemptReport& aReport, MonotonicTime aNow);
  void updateTargetTable(const Attempt& aAttempt, const AttemptReport& aReport, MonotonicTime aNow);
  static RequestAction recordAttemptEnd(Request& aState, const Attempt& aAttempt, AttemptEnd aEnd);
  /** Ends the intent of a request whose attempt ended after the request's outcome was final. */
  void recordLateOutcome(std::uint64_t aRequest, const AttemptReport& aReport);
  void retry(std::uint64_t aRequest, MonotonicTime aNow);

  void finishDone(std::uint64_t aRequest, const HttpAnswer& aAnswer, MonotonicTime aNow);
  /** Ends a request as not run, or as unknown if an attempt may have run. */
  void finishWithoutResult(std::uint64_t aRequest,
                           RefusalReason aReason,
                           MonotonicTime aNow,
                           const std::string& aDetail = "");
  void finishUnknown(std::uint64_t aRequest,
                     int aStatus,
                     const std::string& aDetail,
                     MonotonicTime aNow);
  void respond(std::uint64_t aRequest, Request& aState, const HttpAnswer& aAnswer);
  void endIntent(std::uint64_t aRequest,
                 Request& aState,
                 IntentOutcome aOutcome,
                 const HttpAnswer* aAnswer);
  void removeIfComplete(std::uint64_t aRequest);

  void expireFirst(MonotonicTime aNow);
  void expireRequest(std::uint64_t aRequest, MonotonicTime aNow);
  void expireAttempts(MonotonicTime aNow);
  bool shouldAbandon(const Attempt& aAttempt, MonotonicTime aNow) const;
  void abandonSilentAttempts(MonotonicTime aNow);
  void refuseWithoutTarget(const std::string& aEntryName, MonotonicTime aNow);

  RouterOptions mOptions;
  RouterActions& mActions;
  LeaseView mLease;
  const CatalogueCopy* mCatalogue = nullptr;
  TargetTable mTargets;
  RequestLimiter mLimiter;
  RequestQueue mQueue;
  std::map<std::string, RetryBudget> mRetryBudgets;
  std::map<std::string, ResponseTimeEstimator> mResponseTimes;
  EntryStatistics mStatistics;
  std::uint64_t mLastRequest = 0;
  /** Memory in bytes of the admitted requests that have no response yet. */
  std::size_t mUnansweredBytes = 0;
  bool mShuttingDown = false;
  Requests mRequests;
  Attempts mAttempts;
  std::set<std::pair<Deadline, std::uint64_t>> mDeadlines;
  /** Time at which an entry was first found without a usable target. */
  std::map<std::string, MonotonicTime> mNoTargetSince;
  std::map<std::string, std::int64_t> mRefusals;
  std::int64_t mUnexpectedMessages = 0;
  std::int64_t mRetries = 0;
};

} // namespace magnoliadrum
