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

  /** Called with the answer to a call. */
  using CallCallback = std::function<void(const Message&)>;

  /**
   * Asks this replica as if over a connection. The message's requestId must be new. The callback is
   * not called when the replica does not answer by aDeadline.
   */
  void call(const Message& aMessage, Deadline aDeadline, CallCallback aCallback);

  /** Hands the leadership over, refuses new connections, then stops the loop. */
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
  /** Calls of this process that wait for an answer, by requestId. */
  std::map<std::string, LocalCall> mCalls;
  bool mShuttingDown = false;
};

} // namespace magnoliadrum
