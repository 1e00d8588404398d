#pragma once

#include "generated/generated.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace magnoliadrum::platform {

/**
 * The platform's HTTP interface for callers on a gateway: translates job requests into messages to
 * the control leader, and its replies into HTTP answers. Also answers the readiness probe.
 */
class CallerServer
{
public:
  /** Sends a message to the control leader; the callback gets its reply, or an error when the
   * message cannot be sent or the deadline passes. */
  using ControlCall =
    std::function<void(const Message&, Deadline, std::function<void(const Result<Message>&)>)>;

  struct Options
  {
    /** IP:port that serves callers. */
    std::string callerAddress;
    /** IP:port that serves the readiness probe; empty disables it. */
    std::string readinessAddress;
    /** Part of each request id, which makes the ids unique among all processes. */
    std::string incarnation;
    ControlCall call;
    /** The earliest time at which a request that is read now may have arrived. */
    std::function<MonotonicTime()> earliestArrival;
    /** Whether requests can be served now. */
    std::function<bool()> isReady;
  };

  static Result<std::unique_ptr<CallerServer>> start(EventLoop& aLoop, Options aOptions);

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /**
   * Starts a graceful shutdown: fails the readiness probe, keeps serving until the platform has
   * taken the VM out of rotation, completes the requests in progress, then calls aDone.
   */
  void beginShutdown(std::function<void()> aDone);

  /** Whether no request is in progress. After aDone was called, callers may still send one on each
   * connection that is open. */
  bool isIdle() const { return mRequestsInProgress == 0; }

private:
  CallerServer(EventLoop& aLoop, Options aOptions);

  Result<Done> listen();
  void onRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  void answerReadiness(HttpResponder& aResponder) const;
  void send(const Message& aMessage,
            const std::string& aPath,
            Deadline aDeadline,
            const HttpResponderPointer& aResponder);
  void completeShutdownWhenIdle();

  EventLoop& mLoop;
  Options mOptions;
  std::unique_ptr<HttpServer> mCallerServer;
  std::unique_ptr<HttpServer> mReadinessServer;
  std::uint64_t mRequestCount = 0;
  std::size_t mRequestsInProgress = 0;
  bool mIsShuttingDown = false;
  std::function<void()> mOnShutdownComplete;
  EventHandlePointer mShutdownTimer;
};

} // namespace magnoliadrum::platform
