#pragma once

#include "observability/observability.h"
#include "relay/WorkerClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** What a relay needs from its process. */
struct RelayContext
{
  std::function<MonotonicTime()> now;
  /** Sends a message to the control leader; false when there is no session. */
  std::function<bool(const Message&)> send;
  /** Makes the calls to the worker aId at aAddress (IP:port). */
  std::function<Result<std::unique_ptr<WorkerClient>>(const std::string& aAddress,
                                                      const std::string& aId)>
    createClient;
};

/**
 * Carries orders of the control leader to the worker on the same VM and reports what the worker
 * says. Holds nothing that must survive: a new relay learns the worker from its next registration
 * and the orders from the leader.
 *
 * Decides one thing itself: a worker whose draining it has acknowledged gets no further start.
 */
class WorkerRelay
{
public:
  /** How long a worker may hold a request for its lists; bounds how old its figures are. */
  static constexpr std::int64_t kMaxListWaitMs = 250;
  /** The next lists are asked for after this time when no order has come. */
  static constexpr std::int64_t kListRefreshMs = 300;
  /** Answers to orders are collected for this long before they are reported. */
  static constexpr std::int64_t kAnswerBatchMs = 30;
  /** Period of tick(). */
  static constexpr std::int64_t kTickMs = 20;

  explicit WorkerRelay(RelayContext aContext)
    : mContext(std::move(aContext))
  {
  }

  WorkerRelay(const WorkerRelay&) = delete;
  WorkerRelay& operator=(const WorkerRelay&) = delete;

  /** The worker announced itself; aSequence rises with each announcement of a life. */
  void onRegistration(const WorkerDescription& aWorker,
                      const std::string& aAddress,
                      std::int64_t aSequence);

  /** The worker said that it ends now. */
  void onDeregistration(const std::string& aWorkerId);

  void onOrders(const WorkerOrders& aOrders);

  /** A session with a leader is open; it learns the worker at once. */
  void onSession();

  void tick();

  bool hasWorker() const { return mWorker.has_value(); }

  /** Sets the gauges and counters of the relay. */
  void setMetrics(MetricsRegistry& aMetrics) const;

private:
  bool isNewIncarnation(const WorkerDescription& aWorker) const;
  void beginIncarnation(const WorkerDescription& aWorker, const std::string& aAddress);
  void sendOrders(const WorkerOrders& aOrders);
  void sendStart(const StartOrder& aOrder, std::int64_t aLeaseUntilMs);
  void sendStop(const StopOrder& aOrder);
  void sendPace(const PaceOrder& aOrder);
  void recordAnswer(OrderKind aKind,
                    const std::string& aTask,
                    std::int64_t aRun,
                    OrderResult aResult,
                    std::int64_t aClockMs);
  void requestRunLists(std::int64_t aWaitMs);
  void onRunLists(std::int64_t aFence, const Result<RunLists>& aResult);
  void sendReport(const RunLists* aLists, std::int64_t aFence);
  bool shouldRequestRunLists(MonotonicTime aNow) const;

  RelayContext mContext;
  std::optional<WorkerDescription> mWorker;
  std::int64_t mRegistrationSequence = 0;
  std::unique_ptr<WorkerClient> mClient;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::int64_t mAckedEnds = 0;
  /** Highest number of an end that was reported. */
  std::int64_t mReportedEnds = 0;
  /** Requests for the lists without an answer. */
  int mListRequestsInProgress = 0;
  /** Orders have come since the last lists. */
  bool mHasOrdersSinceListRequest = false;
  MonotonicTime mLastListAt;
  /** Starts on their way, as TASK/RUN, so that a repeated order makes no second call. */
  std::set<std::string> mStartsInProgress;
  std::vector<OrderAnswer> mAnswers;
  /** Orders by kind and result, since the start of the process. */
  std::map<std::pair<OrderKind, OrderResult>, std::int64_t> mOrderCounts;
  MonotonicTime mAnswersSince;
};

} // namespace magnoliadrum
