#pragma once

#include "control/ControlService.h"
#include "transport/transport.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace magnoliadrum {

/** Connects the control service to the event loop, the message server and the metrics endpoint. */
class ControlProcess : private MessageOutlet
{
public:
  /**
   * Starts to listen. aState and aLog outlive the process object; the log starts to lead or follow
   * by itself. Errors: an address that cannot be listened on.
   */
  static Result<std::unique_ptr<ControlProcess>> start(EventLoop& aLoop,
                                                       const ControlSettings& aSettings,
                                                       ControlState& aState,
                                                       CommandLog& aLog);

  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /** Hands the leadership over, refuses new connections, then stops the loop. */
  void shutDown();

private:
  ControlProcess(EventLoop& aLoop,
                 const ControlSettings& aSettings,
                 ControlState& aState,
                 CommandLog& aLog);

  Result<Done> listen();
  bool send(ConnectionId aConnection, const Message& aMessage) override;
  void close(ConnectionId aConnection, const std::string& aReason) override;
  ConnectionId idOf(MessageConnection& aConnection);
  void onClosed(MessageConnection& aConnection);
  void answerHttp(const HttpRequest& aRequest, HttpResponder& aResponder);

  EventLoop& mLoop;
  ControlSettings mSettings;
  CommandLog& mLog;
  ControlService mService;
  std::unique_ptr<MessageServer> mServer;
  std::unique_ptr<HttpServer> mHttpServer;
  EventHandlePointer mTick;
  EventHandlePointer mStop;
  ConnectionId mNextConnection = 1;
  std::unordered_map<ConnectionId, std::weak_ptr<MessageConnection>> mConnections;
  std::unordered_map<const MessageConnection*, ConnectionId> mIds;
  bool mShuttingDown = false;
};

} // namespace magnoliadrum
