#pragma once

#include "generated/generated.h"
#include "testbench/HistoryWriter.h"
#include "transport/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <tuple>

namespace magnoliadrum {

/** What a simulated task does; read from the JSON text of its payload. */
struct SimulatedWork
{
  /** Processor time needed at full speed; 0 to run until it is stopped. */
  std::int64_t mRunMs = 1000;
  bool mFails = false;
  /** What it really uses; the declared resources where the payload gives none. */
  Resources mUsed;

  /** Reads the payload; fields that are absent, or a payload that is no JSON, get the defaults. */
  static SimulatedWork read(const std::string& aPayload,
                            const std::string& aKind,
                            const Resources& aDeclared);
};

/**
 * A stand-in for a worker that implements section 10.2 of the design.
 *
 * It starts every task at once, whether it fits or not; tasks that use more processors than there
 * are slow each other down. It enforces claims, epochs and leases, and reports usage with a lag.
 */
class FakeWorker
{
public:
  struct Options
  {
    std::string mListenAddress{};
    std::string mHistoryFile{};
    std::string mDataCentre{};
    Resources mCapacity{};
    /** Usage is reported as it was this long ago. */
    std::int64_t mUsageLagMs = 2000;
    /** Share of starts that fail at once. */
    double mFailShare = 0;
    /** Time to write a checkpoint. */
    std::int64_t mCheckpointMs = 20;
    /** Ended tasks stay listed for this long. */
    std::int64_t mKeepEndedMs = 60000;
    std::uint64_t mSeed = 1;
  };

  static Result<std::unique_ptr<FakeWorker>> start(EventLoop& aLoop, const Options& aOptions);

  FakeWorker(const FakeWorker&) = delete;
  FakeWorker& operator=(const FakeWorker&) = delete;

private:
  struct Key
  {
    std::string mTaskId;
    std::int64_t mEpoch = 0;

    friend bool operator<(const Key& aLeft, const Key& aRight)
    {
      return std::tie(aLeft.mTaskId, aLeft.mEpoch) < std::tie(aRight.mTaskId, aRight.mEpoch);
    }
  };

  struct Task
  {
    TaskState mState = TaskState::eRunning;
    std::string mEntryName;
    Resources mDeclared;
    SimulatedWork mWork;
    double mDoneMs = 0;
    std::int64_t mThrottleCpuMilli = 0;
    std::string mCheckpoint;
    std::string mDetail;
    bool mStopping = false;
    MonotonicTime mLeaseUntil;
    MonotonicTime mEndedAt;
    /** Usage that the listing shows, delayed. */
    Resources mShownUsed;
    std::int64_t mAliveAtMs = 0;
    EventHandlePointer mStopTimer;
    EventHandlePointer mUsageTimer;
  };

  using TaskItem = std::map<Key, Task>::value_type;

  FakeWorker(EventLoop& aLoop, Options aOptions, std::unique_ptr<HistoryWriter> aHistory);

  void onRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  void onOperation(const std::string& aPath,
                   const nlohmann::json& aBody,
                   const HttpResponderPointer& aResponder);
  void startTask(const nlohmann::json& aBody, const HttpResponderPointer& aResponder);
  void stopTask(const nlohmann::json& aBody, const HttpResponderPointer& aResponder);
  void finishStop(const Key& aKey, const HttpResponderPointer& aResponder);
  void publish(const nlohmann::json& aBody, const HttpResponderPointer& aResponder);
  void throttle(const nlohmann::json& aBody, const HttpResponderPointer& aResponder);
  void extendLease(MonotonicTime aLeaseUntil);
  nlohmann::json listing() const;
  void step();
  void stepTask(TaskItem& aItem, double aElapsedMs, double aSpeed);
  void showUsage(TaskItem& aItem);
  void end(TaskItem& aItem, TaskState aState, const char* aEvent, const std::string& aCheckpoint);
  void writeEvent(const char* aEvent, const TaskItem& aItem, const std::string& aCheckpoint);
  TaskItem* find(const nlohmann::json& aBody);

  EventLoop& mLoop;
  Options mOptions;
  std::unique_ptr<HistoryWriter> mHistory;
  std::mt19937_64 mEngine;
  std::unique_ptr<HttpServer> mServer;
  EventHandlePointer mStep;
  MonotonicTime mSteppedAt;
  std::int64_t mToken = 0;
  std::map<Key, Task> mTasks;
};

} // namespace magnoliadrum
