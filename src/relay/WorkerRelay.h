#pragma once

#include "observability/observability.h"
#include "relay/OrderQueue.h"
#include "relay/StartedRuns.h"
#include "relay/WorkerClient.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** Functions that the relay process provides to WorkerRelay. */
struct RelayContext
{
  std::function<MonotonicTime()> now;
  /** Sends a message to the control leader; returns false when no session is open. */
  std::function<bool(const Message&)> send;
  /** Creates a client for this incarnation of a worker at aAddress (IP:port). */
  std::function<Result<std::unique_ptr<WorkerClient>>(const WorkerDescription& aWorker,
                                                      const std::string& aAddress)>
    createClient;
  /** Longest time in ms from stop() until the process may exit. */
  std::int64_t longestStopMs = 5000;
};

/**
 * Forwards orders of the control leader to the worker on the same VM and reports the worker's run
 * lists and answers. Holds no state that must survive a restart: a new relay learns of the worker
 * from its next registration and gets the orders from the leader.
 *
 * The only decision it makes itself: once it has accepted a registration with the state draining,
 * it rejects every further start order for that worker.
 */
class WorkerRelay
{
public:
  /** Longest wait of a list request at the worker, in ms; bounds the age of the reported figures.
   */
  static constexpr std::int64_t kMaxListWaitMs = 250;
  /** The run lists are requested again this long (ms) after the last answer when the leader has not
   * acknowledged the report. */
  static constexpr std::int64_t kListRefreshMs = 300;
  /** Answers to orders are batched for this long (ms) before they are reported. */
  static constexpr std::int64_t kAnswerBatchMs = 30;
  /** Answers in one report; the others follow with the next ones. Bounds the size of a report after
   * a long time without a session. */
  static constexpr std::size_t kMaxReportedAnswers = 2000;
  /** Orders that the worker may leave unanswered at a time; the others wait. */
  static constexpr std::size_t kMaxOrdersInProgress = 6;
  /** A start order that has waited for this long (ms) is not sent. The leader repeats it, unless it
   * has stopped the run meanwhile. */
  static constexpr std::int64_t kMaxStartWaitMs = 1000;
  /** Reports name the crash suspects of an earlier incarnation for this long (ms) after its
   * successor has registered, so that a leader elected meanwhile learns of them too. */
  static constexpr std::int64_t kReportSuspectsMs = 15000;
  /** A start order is not sent this long (ms) after the lists on which it is based. A delayed order
   * must not bring a worker over a capacity that has shrunk meanwhile. */
  static constexpr std::int64_t kMaxBasisAgeMs = 2000;
  /** The crash suspects are certain if the last lists came at most this long (ms) before. After a
   * longer gap, such as a standstill of this VM, a suspect may have ended before the crash. */
  static constexpr std::int64_t kFreshListsMs = 600;
  /** A worker is in touch while its latest lists are at most this old (ms). */
  static constexpr std::int64_t kInTouchMs = 1000;
  /** A registration that did not displace the worker is kept for this long (ms), longer than the
   * longest wait for the failure of a list request. */
  static constexpr std::int64_t kKeepRegistrationMs = 2000;
  /** An incarnation for which no leader has sent orders for this long (ms) gives way to any other
   * one. The system may know nothing of its pool, and its birth may lie in the future. */
  static constexpr std::int64_t kNoOrdersMs = 3000;
  /** Time in ms between two reports of a worker that has left, until a leader has committed the
   * ends of its runs. As long as a leader waits after the worker's notice. */
  static constexpr std::int64_t kRepeatDepartureMs = 500;
  /** A departure is repeated for this long (ms): a leader that cannot be reached for longer learns
   * of it when it opens a session. */
  static constexpr std::int64_t kReportDepartureMs = 15000;
  /** Period of tick() in ms. */
  static constexpr std::int64_t kTickMs = 20;

  explicit WorkerRelay(RelayContext aContext)
    : mContext(std::move(aContext))
  {
  }

  WorkerRelay(const WorkerRelay&) = delete;
  WorkerRelay& operator=(const WorkerRelay&) = delete;

  /**
   * Handles a registration. aSequence rises with each registration of an incarnation; registrations
   * that arrive out of order are ignored. One of another incarnation does not displace a worker
   * that is in touch, since it may come from another writer; it counts when the worker is lost soon
   * afterwards, as at a restart.
   */
  void onRegistration(const WorkerDescription& aWorker,
                      const std::string& aAddress,
                      std::int64_t aSequence);

  /**
   * Handles the worker's notice that it is about to exit. A worker announces that it is draining
   * before it exits, so a notice without that may be a delayed one of an earlier incarnation with
   * the same id. It then only ends the starts, and the runs are given up when their lease expires.
   */
  void onDeregistration(const std::string& aWorkerId);

  /** Ignores orders for another incarnation or with a lower fence than the last one. */
  void onOrders(const WorkerOrders& aOrders);

  /** Handles a new session with a leader: reports the worker immediately. */
  void onSession();

  /** Requests run lists and reports batched answers when they are due. */
  void tick();

  /** Handles the signal to stop. The relay goes on until mayExit(). */
  void stop();

  /**
   * Whether the process may exit after stop(). While its worker leaves as announced, the relay
   * stays until a leader has committed the ends of the runs, longestStopMs at most: nobody else
   * can tell a new leader that they are over. Otherwise the runs continue under their lease while
   * the next relay process takes over.
   */
  bool mayExit() const;

  bool hasWorker() const { return mWorker.has_value(); }

  /** Exports the gauges and counters of the relay. */
  void setMetrics(MetricsRegistry& aMetrics) const;

private:
  bool isNewIncarnation(const WorkerDescription& aWorker) const;
  bool isInTouch() const;
  /** Whether a registration of an incarnation that was born earlier must be ignored. */
  bool isOutdated(const WorkerDescription& aWorker) const;
  void postponeRegistration(const WorkerDescription& aWorker,
                            const std::string& aAddress,
                            std::int64_t aSequence);
  /** Handles the postponed registration once the worker is no longer in touch. */
  void handlePostponedRegistration();
  void beginIncarnation(const WorkerDescription& aWorker, const std::string& aAddress);
  /** Keeps the crash suspects of the current incarnation, which a successor replaces. */
  void keepCrashSuspects();
  /** Records whether the worker's process accepts connections; reports a loss immediately. */
  void setReachable(bool aIsReachable);
  void onListRequestFailed(const Error& aError);
  /** Returns the runs that may have crashed the worker, at the time when it became unreachable. */
  CrashSuspects currentSuspects() const;
  void queueOrders(const WorkerOrders& aOrders);
  void queueStart(const StartOrder& aOrder, std::int64_t aLeaseUntilMs, Deadline aSendBefore);
  /** Returns until when starts may be sent that are based on lists at aBasisClockMs of the worker's
   * clock; 0 when the leader does not know it. */
  Deadline startDeadline(std::int64_t aBasisClockMs) const;
  /** Sends queued orders until kMaxOrdersInProgress are unanswered. */
  void sendQueuedOrders();
  void send(const LeasedStart& aStart);
  void send(const StopOrder& aOrder);
  void send(const PaceOrder& aOrder);
  void onOrderAnswered(OrderKind aKind,
                       const std::string& aTask,
                       std::int64_t aRun,
                       OrderResult aResult,
                       std::int64_t aClockMs);
  void recordAnswer(OrderKind aKind,
                    const std::string& aTask,
                    std::int64_t aRun,
                    OrderResult aResult,
                    std::int64_t aClockMs);
  /** Moves the closing answers to mAnswers whose earlier list requests have all ended. */
  void releaseClosingAnswers();
  void addAnswer(OrderAnswer aAnswer);
  void requestRunLists(std::int64_t aWaitMs);
  /** Requests run lists when they are due and no request is in progress. */
  void requestDueRunLists();
  void onRunLists(std::int64_t aFence, MonotonicTime aRequestedAt, const Result<RunLists>& aResult);
  void sendReport(const RunLists* aLists, std::int64_t aFence);
  bool shouldRequestRunLists(MonotonicTime aNow) const;
  void repeatDeparture();

  RelayContext mContext;
  std::optional<WorkerDescription> mWorker;
  std::int64_t mRegistrationSequence = 0;
  MonotonicTime mRegisteredAt;
  struct PostponedRegistration
  {
    WorkerDescription worker;
    std::string address;
    std::int64_t sequence = 0;
    Deadline keepUntil;
  };
  std::optional<PostponedRegistration> mPostponed;
  /** Number of registrations that did not displace a worker in touch. */
  std::int64_t mPostponedCount = 0;
  std::unique_ptr<WorkerClient> mClient;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::int64_t mAckedEnds = 0;
  /** Highest number of an ended run received in run lists. */
  std::int64_t mLastReceivedEnd = 0;
  /** Numbers of the list requests in progress, in the order in which they were sent. */
  std::set<std::int64_t> mListRequestsInProgress;
  std::int64_t mListRequestCount = 0;
  /** Whether the leader has sent orders since the last list request. */
  bool mHasOrdersSinceListRequest = false;
  /** Worker's clock at the last lists, and when they arrived. */
  struct ClockReading
  {
    std::int64_t clockMs = 0;
    MonotonicTime receivedAt;
  };
  std::optional<ClockReading> mWorkerClock;
  /** When the list request that was answered last was sent: a run that it lists may have ended at
   * any time after that. */
  MonotonicTime mListsRequestedAt;
  /** When the last list request was answered or failed. */
  MonotonicTime mLastListAt;
  OrderQueue mOrderQueue;
  std::size_t mOrdersInProgress = 0;
  /** Start calls in progress, as TASK/RUN, so that a repeated order causes no second call. */
  std::set<std::string> mStartsInProgress;
  StartedRuns mStartedRuns;
  /** The latest list request or order found that the worker's process accepts no connection. */
  bool mIsUnreachable = false;
  /** The lists were fresh when the worker became unreachable. */
  bool mSawCrash = false;
  /** The worker has refused a connection since then. A connection that breaks is no evidence of a
   * crash. */
  bool mIsRefused = false;
  MonotonicTime mUnreachableSince;
  /** Crash suspects of an earlier incarnation, and until when reports name them. */
  struct EndedIncarnation
  {
    CrashSuspects suspects;
    Deadline reportUntil;
  };
  std::vector<EndedIncarnation> mEndedIncarnations;
  /** Number of incarnations that ended without an announcement. */
  std::int64_t mCrashCount = 0;
  /** Answers to orders that were not reported yet. */
  std::vector<OrderAnswer> mAnswers;
  /** An answer after which the worker never starts the run: an accepted stop, or a start rejected
   * as closed. */
  struct ClosingAnswer
  {
    OrderAnswer answer;
    /** Number of the latest list request that was sent before the answer arrived. */
    std::int64_t lastListRequest = 0;
  };
  /** Closing answers that are not reported before the earlier list requests have ended, oldest
   * first. A run that is missing from later lists has never begun, so lists that were read before
   * the run was closed must not be reported after the answer. */
  std::deque<ClosingAnswer> mClosingAnswers;
  /** The next list request is answered at once, so that the leader does not wait for the lists that
   * show which of the closed runs have begun. */
  bool mNeedsListsAtOnce = false;
  /** Number of orders by kind and result since the start of the process. */
  std::map<std::pair<OrderKind, OrderResult>, std::int64_t> mOrderCounts;
  /** Start of the current batching interval of mAnswers. */
  MonotonicTime mAnswersSince;
  /** Set by stop(). */
  std::optional<Deadline> mExitAt;
  /** The latest registration announced the end of the worker. */
  bool mIsEndAnnounced = false;
  /** When the worker gave notice that it exits. */
  MonotonicTime mGoneAt;
  /** A leader has committed the ends of all runs of the worker, which has left. */
  bool mIsReleased = false;
  MonotonicTime mDepartureReportedAt;
};

} // namespace magnoliadrum
