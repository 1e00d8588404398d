#pragma once

#include "control/ControlService.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace magnoliadrum {

/** Connects the control service to the event loop, the message server and the metrics endpoint. */
class ControlProcess : private MessageSender
{
public:
  /**
   * Starts to listen and to run the service's timer. aState and aLog must outlive the returned
   * object. The log takes part in elections without further calls. Fails when it cannot listen on
   * an address of the settings.
   */
  static Result<std::unique_ptr<ControlProcess>> start(EventLoop& aLoop,
                                                       const ControlSettings& aSettings,
                                                       ControlState& aState,
                                                       CommandLog& aLog);

  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /** Receives the answer to a call. */
  using CallCallback = std::function<void(const Message&)>;

  /**
   * Handles a request of this process as if it had arrived on a connection. The message's
   * requestId must not have been used before. When there is no answer by aDeadline, the callback
   * receives an OperationFailed with the code eTimeout.
   */
  void call(const Message& aMessage, Deadline aDeadline, CallCallback aCallback);

  /** Transfers the leadership, stops accepting connections and then stops the event loop. */
  void shutDown();

private:
  struct LocalCall
  {
    CallCallback callback;
    EventHandlePointer timeout;
  };

  ControlProcess(EventLoop& aLoop,
                 const ControlSettings& aSettings,
                 ControlState& aState,
                 CommandLog& aLog);

  Result<Done> listen();
  bool send(ConnectionId aConnection, const Message& aMessage) override;
  void close(ConnectionId aConnection, const std::string& aReason) override;
  ConnectionId connectionIdOf(MessageConnection& aConnection);
  void onClosed(MessageConnection& aConnection);
  bool completeCall(const Message& aMessage);
  void handleHttp(const HttpRequest& aRequest, HttpResponder& aResponder);

  EventLoop& mLoop;
  ControlSettings mSettings;
  CommandLog& mLog;
  ControlService mService;
  std::unique_ptr<MessageServer> mServer;
  std::unique_ptr<HttpServer> mHttpServer;
  EventHandlePointer mTickTimer;
  EventHandlePointer mStopTimer;
  ConnectionId mNextConnection = 1;
  std::unordered_map<ConnectionId, std::weak_ptr<MessageConnection>> mConnections;
  std::unordered_map<const MessageConnection*, ConnectionId> mConnectionIds;
  /** Pending calls of this process, by requestId. */
  std::map<std::string, LocalCall> mCalls;
  bool mShuttingDown = false;
};

} // namespace magnoliadrum
