#pragma once

#include "observability/LatencyHistogram.h"
#include "transport/transport.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What a load generator sends. */
struct LoadOptions
{
  std::vector<std::string> mGateways;
  std::string mEntryName;
  /** Requests per second; sent at their times whether or not earlier ones are answered. */
  double mRequestsPerSecond = 100;
  std::int64_t mDurationMs = 1000;
  std::int64_t mDeadlineMs = 1000;
  /** Share of requests that may not be repeated; these carry an idempotency key. */
  double mNonRepeatableShare = 0;
  /** A request without an outcome is sent again this often under its key, to another gateway. */
  int mResends = 0;
  std::uint64_t mSeed = 1;
  /** One JSON line per request and result; empty for none. */
  std::string mHistoryFile;
};

/** What came back. */
struct LoadResult
{
  std::int64_t mSent = 0;
  std::int64_t mDone = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  /** The connection to the gateway broke or no answer came in time. */
  std::int64_t mNoAnswer = 0;
  /** Answers that belong to another request; always a fault. */
  std::int64_t mMixedUp = 0;
  LatencyHistogram mLatency;
};

/** An open-loop generator of caller requests against the gateways, spread at random like the
 * platform's balancer. */
class LoadGenerator
{
public:
  static Result<std::unique_ptr<LoadGenerator>> create(EventLoop& aLoop, LoadOptions aOptions);

  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /** Starts to send; calls aDone when every request has its result. */
  void start(std::function<void()> aDone);

  const LoadResult& result() const { return mResult; }

private:
  struct Request
  {
    std::int64_t mNumber = 0;
    std::string mKey;
    bool mRepeatable = true;
    MonotonicTime mSentAt;
    int mResendsLeft = 0;
  };

  LoadGenerator(EventLoop& aLoop, LoadOptions aOptions);

  void scheduleNext();
  void sendNew();
  void send(const Request& aRequest);
  void onResult(const Request& aRequest, const Result<HttpAnswer>& aResult);
  void finish(const Request& aRequest, const std::string& aOutcome, bool aMixedUp);
  void finishWhenIdle();
  void writeHistory(const Request& aRequest, const char* aEvent, const std::string& aOutcome);

  EventLoop& mLoop;
  LoadOptions mOptions;
  LoadResult mResult;
  std::vector<std::unique_ptr<HttpClient>> mClients;
  std::mt19937_64 mEngine;
  std::ofstream mHistory;
  std::string mRunId;
  std::function<void()> mDone;
  EventHandlePointer mNext;
  std::map<std::int64_t, EventHandlePointer> mResendTimers;
  MonotonicTime mStartedAt;
  std::int64_t mInProgress = 0;
  bool mSending = true;
};

} // namespace magnoliadrum
