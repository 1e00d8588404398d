#pragma once

#include "generated/generated.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace magnoliadrum::platform {

/**
 * The platform's interface for callers on a gateway: translates requests about jobs into messages
 * to the control leader and its answers back. Answers the readiness probe, too.
 */
class CallerServer
{
public:
  /** Sends a message to the control leader; the callback gets its answer, or an error at the
   * deadline. */
  using ControlCall =
    std::function<void(const Message&, Deadline, std::function<void(const Result<Message>&)>)>;

  struct Options
  {
    /** IP:port for callers. */
    std::string callerAddress;
    /** IP:port of the readiness probe; empty for none. */
    std::string readinessAddress;
    /** Makes request ids unique among all processes. */
    std::string incarnation;
    ControlCall call;
    /** Whether requests can be served now. */
    std::function<bool()> isReady;
  };

  static Result<std::unique_ptr<CallerServer>> start(EventLoop& aLoop, Options aOptions);

  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /**
   * Graceful shutdown: fails the readiness probe, goes on to serve until the platform sends no more
   * callers, answers what is in progress, then calls aDone.
   */
  void beginShutdown(std::function<void()> aDone);

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
