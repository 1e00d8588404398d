#pragma once

#include "agent/RequestForwarder.h"
#include "agent/TaskRunner.h"
#include "session/session.h"
#include "transport/transport.h"

#include <memory>
#include <optional>
#include <string>

namespace magnoliadrum {

/** The agent process, which connects a target to control and to the gateways. */
class AgentService
{
public:
  static Result<std::unique_ptr<AgentService>> start(EventLoop& aLoop,
                                                     const AgentSettings& aSettings);

  void setControlAddresses(std::vector<std::string> aAddresses)
  {
    mControlLink->setControlAddresses(std::move(aAddresses));
  }

  /** See ControlLink::setAddressReader(). */
  void setAddressReader(std::function<std::vector<std::string>()> aReadAddresses)
  {
    mControlLink->setAddressReader(std::move(aReadAddresses));
  }

  AgentService(const AgentService&) = delete;
  AgentService& operator=(const AgentService&) = delete;

  /**
   * Announces the shutdown, refuses new work, waits for the requests in flight, stops the tasks
   * with a checkpoint, closes the session, and then stops the event loop.
   */
  void beginShutdown();

  /**
   * Whether the shutdown ended with unfinished work or because another agent claimed the worker.
   */
  bool wasAborted() const { return mAborted; }

private:
  AgentService(EventLoop& aLoop, AgentSettings aSettings);

  Result<Done> listen();
  void connectControl();
  ControlLinkHandlers controlHandlers();
  void onControlMessage(const Message& aMessage);
  void onGatewayMessage(MessageConnection& aConnection, const Message& aMessage);
  bool fillOpen(SessionOpen::Fields& aFields) const;
  void fillHeartbeat(SessionHeartbeat::Fields& aFields);
  void onLeaseChanged();
  SessionLease lease() const;
  TargetUsage usage() const;
  AgentStatus status() const;
  void sendStatus();
  void tick();
  bool hasWork() const;
  void finishShutdown(bool aAborted);
  void answerHttp(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);

  EventLoop& mLoop;
  AgentSettings mSettings;
  std::string mIncarnation;
  MetricsRegistry mMetrics;
  /** Set if the target is an executor. */
  std::unique_ptr<RequestForwarder> mForwarder;
  /** Set if the target is a worker. */
  std::unique_ptr<TaskRunner> mTaskRunner;
  std::unique_ptr<ControlLink> mControlLink;
  std::unique_ptr<MessageServer> mMessageServer;
  std::unique_ptr<HttpServer> mHttpServer;
  EventHandlePointer mTickTimer;
  EventHandlePointer mShutdownTimer;
  EventHandlePointer mFlushTimer;
  std::optional<MonotonicTime> mShutdownStartedAt;
  TargetUsage mLastSentUsage;
  MonotonicTime mUsageSentAt;
  bool mFinished = false;
  bool mAborted = false;
};

} // namespace magnoliadrum
