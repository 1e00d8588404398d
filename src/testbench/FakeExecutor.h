#pragma once

#include "testbench/HistoryWriter.h"
#include "transport/transport.h"

#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace magnoliadrum {

/** How a fake executor behaves. Shares are between 0 and 1. */
struct ExecutorBehaviour
{
  /** constant, exponential or lognormal */
  std::string mDistribution = "exponential";
  double mMeanServiceMs = 5;
  /** Requests that take mSlowFactor times as long. */
  double mSlowShare = 0;
  double mSlowFactor = 20;
  /** Requests that are answered with status 500. */
  double mFailShare = 0;
  /** Answers of which only the first half is sent before the connection closes. */
  double mCutShare = 0;
  /** Requests whose connection is closed instead of an answer. */
  double mCloseShare = 0;

  /** Returns a copy with the fields of a JSON object replaced. */
  Result<ExecutorBehaviour> withChanges(const nlohmann::json& aChanges) const;
};

/**
 * A stand-in for an executor: an HTTP server that runs every request at once, whatever its slots,
 * and gets slower when it has more requests than slots.
 *
 * An answer holds the request id, the caller's key and the request's body, so that an answer to the
 * wrong request shows. POST /fake/behaviour with a JSON object changes the behaviour.
 */
class FakeExecutor
{
public:
  struct Options
  {
    std::string mListenAddress{};
    std::string mHistoryFile{};
    std::string mDataCentre{};
    std::int64_t mSlots = 8;
    std::uint64_t mSeed = 1;
    ExecutorBehaviour mBehaviour{};
  };

  static Result<std::unique_ptr<FakeExecutor>> start(EventLoop& aLoop, const Options& aOptions);

  FakeExecutor(const FakeExecutor&) = delete;
  FakeExecutor& operator=(const FakeExecutor&) = delete;
  ~FakeExecutor();

private:
  enum class Ending
  {
    eAnswer,
    eFail,
    eCut,
    eClose
  };

  /** A request that is being run. */
  struct Run
  {
    std::string mRequestId;
    std::string mKey;
    std::string mAnswer;
    Ending mEnding = Ending::eAnswer;
    /** Null once the peer has closed the connection. */
    evhttp_request* mRequest = nullptr;
    EventHandlePointer mTimer;
  };

  using RunPosition = std::list<Run>::iterator;

  FakeExecutor(EventLoop& aLoop, Options aOptions, std::unique_ptr<HistoryWriter> aHistory);

  Result<Done> listen();
  void onRequest(evhttp_request* aRequest);
  void changeBehaviour(evhttp_request* aRequest);
  Ending drawEnding();
  std::int64_t drawServiceMs();
  void finish(RunPosition aRun);
  void answer(Run& aRun, int aStatus);
  void cut(Run& aRun);

  EventLoop& mLoop;
  Options mOptions;
  std::unique_ptr<HistoryWriter> mHistory;
  std::mt19937_64 mEngine;
  evhttp* mServer = nullptr;
  std::list<Run> mRuns;
};

} // namespace magnoliadrum
