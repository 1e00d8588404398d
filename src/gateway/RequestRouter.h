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

/** What the router asks of the gateway process. */
class RouterActions
{
public:
  virtual ~RouterActions() = default;

  /** Sends the response to a caller. Called exactly once per request, unless the caller is gone. */
  virtual void respond(std::uint64_t aRequest, const HttpAnswer& aAnswer) = 0;

  /**
   * Sends a message on the connection to an agent; false when no byte of it was or will be written.
   * Must not report the loss of the connection before it returns.
   */
  virtual bool dispatch(std::uint64_t aConnection, const RequestDispatch& aMessage) = 0;

  /** Asks control for the key of a request; the answer goes to RequestRouter::intentAnswered(). */
  virtual void beginIntent(std::uint64_t aRequest,
                           const IntentBegin& aMessage,
                           Deadline aDeadline) = 0;

  /** Reports the outcome to control until it is committed; then calls RequestRouter::intentEnded().
   */
  virtual void endIntent(std::uint64_t aRequest, const IntentEnd& aMessage) = 0;
};

/** Whether the gateway may act, from its session. */
struct LeaseView
{
  bool mHeld = false;
  /** The lease ran out although the leader has not ended the session: control is out of reach. */
  bool mControlUnreachable = false;
};

/** Settings of a router. */
struct RouterOptions
{
  /** Makes the ids of requests unique among all gateways and their restarts. */
  std::string mIncarnation;
  std::size_t mQueueLength = 0;
  double mRetryShare = 0;
  /** A target whose agent is silent for this long gets no requests. */
  std::int64_t mAgentSilenceMs = 1;
};

/**
 * The life of callers' requests in a gateway: admission, intent, queue, dispatch, retries and
 * response.
 *
 * Pure: events and the time come in, RouterActions go out. A request is numbered by submit(). It is
 * kept after its response while an attempt is in progress, so that its slot stays counted and the
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

  /** Takes a message of an agent. */
  void agentMessage(std::uint64_t aConnection, const Message& aMessage, MonotonicTime aNow);

  /** Number for the next request, which submit() takes. */
  std::uint64_t nextRequest() { return ++mLastRequest; }

  /** Takes a request. The response may come before this returns. */
  void submit(std::uint64_t aRequest, CallerRequest aCall, MonotonicTime aNow);

  /** The caller of a request has disconnected. */
  void callerGone(std::uint64_t aRequest, MonotonicTime aNow);

  void intentAnswered(std::uint64_t aRequest,
                      const Result<IntentStatus>& aStatus,
                      MonotonicTime aNow);
  void intentEnded(std::uint64_t aRequest);

  /** Handles deadlines and waiting requests; called every few milliseconds. */
  void tick(MonotonicTime aNow);

  /** Refuses every request from now on; those admitted before are finished. */
  void beginShutdown() { mShuttingDown = true; }

  /** Ends all requests as if their deadlines had passed; for a shutdown that takes too long. */
  void cutOff(MonotonicTime aNow);

  /** Whether every request has its response and every intent is recorded. */
  bool isIdle() const { return mRequests.empty(); }

  /** Whether a connection has attempts in progress. */
  bool isInUse(std::uint64_t aConnection) const;

  EntryStatistics& statistics() { return mStatistics; }
  void writeMetrics(MetricsRegistry& aMetrics) const;

private:
  enum class IntentState
  {
    eNone,      /**< The request needs no key, or the end of the intent is committed. */
    eBeginning, /**< Control may or may not have given the key. */
    eHeld,
    eEnding /**< The end is not committed yet. */
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
    std::set<std::string> mTriedTargets;
    /** Attempts that were not refused for a lack of slots. */
    int mCountedAttempts = 0;
    RefusalReason mLastRefusal = RefusalReason::eDeadlinePassed;
    /** Response that waits until the end of the intent is committed. */
    std::optional<HttpAnswer> mPendingAnswer;
  };

  struct Attempt
  {
    std::uint64_t mRequest = 0;
    std::size_t mNumber = 0;
    std::uint64_t mConnection = 0;
    std::string mTargetId;
    MonotonicTime mStartedAt;
    /** The attempt is given up when nothing is heard of it until then. */
    Deadline mExpiresAt;
    bool mTimeoutRecorded = false;
    std::string mEntryName;
    /** The request went on to another target; this attempt only counts for the load of its own. */
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

  /** How an attempt ended and what the agent said with it. */
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
  void recordLateOutcome(std::uint64_t aRequest, const AttemptReport& aReport);
  void retry(std::uint64_t aRequest, MonotonicTime aNow);

  void finishDone(std::uint64_t aRequest, const HttpAnswer& aAnswer, MonotonicTime aNow);
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
  /** Memory of the requests that have no response yet. */
  std::size_t mUnansweredBytes = 0;
  bool mShuttingDown = false;
  Requests mRequests;
  Attempts mAttempts;
  std::set<std::pair<Deadline, std::uint64_t>> mDeadlines;
  /** Since when an entry with waiting requests has had no usable target. */
  std::map<std::string, MonotonicTime> mNoTargetSince;
  std::map<std::string, std::int64_t> mRefusals;
  std::int64_t mUnexpectedMessages = 0;
  std::int64_t mRetries = 0;
};

} // namespace magnoliadrum
