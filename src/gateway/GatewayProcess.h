#pragma once

#include "gateway/AgentConnections.h"
#include "gateway/RequestRouter.h"
#include "session/session.h"
#include "transport/transport.h"

#include <map>
#include <memory>
#include <string>

namespace magnoliadrum {

/** The gateway process: connects RequestRouter with HTTP, the agents and control. */
class GatewayProcess : private RouterActions
{
public:
  /** Starts listening for HTTP requests and connecting to control. */
  static Result<std::unique_ptr<GatewayProcess>> start(EventLoop& aLoop, GatewaySettings aSettings);

  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess() override = default;

  /**
   * Starts a graceful shutdown: refuses new requests, finishes those in progress, then closes the
   * session and stops the loop. Requests still in progress after GatewaySettings::shutdownMs() are
   * aborted, so that the loop stops in any case.
   */
  void beginShutdown();

  /** Sets whether the other servers of the process have no request in progress; a shutdown waits
   * for them, too. */
  void setOthersIdle(std::function<bool()> aAreOthersIdle)
  {
    mAreOthersIdle = std::move(aAreOthersIdle);
  }

  /** Sends a request to the control leader, see ControlLink::call(). */
  void call(const Message& aMessage, Deadline aDeadline, ControlLink::CallCallback aCallback);

  void setControlAddresses(std::vector<std::string> aAddresses)
  {
    mControlLink->setControlAddresses(std::move(aAddresses));
  }

  /** See ControlLink::setAddressReader(). */
  void setAddressReader(std::function<std::vector<std::string>()> aReadAddresses)
  {
    mControlLink->setAddressReader(std::move(aReadAddresses));
  }

  /** Whether this gateway holds a valid lease from the control leader. */
  bool holdsLease() const { return mControlLink->holdsLease(mLoop.now()); }

  /** The earliest time at which a request that is read now may have arrived. */
  MonotonicTime earliestArrival() const { return mStandstills.earliestArrival(mLoop.now()); }

  const std::string& incarnation() const { return mIncarnation; }

  /** Whether requests were aborted because the shutdown took too long. */
  bool shutdownTimedOut() const { return mShutdownTimedOut; }

private:
  GatewayProcess(EventLoop& aLoop, GatewaySettings aSettings, std::string aIncarnation);

  std::unique_ptr<ControlLink> createControlLink();
  AgentConnectionHandlers agentHandlers();

  void respond(std::uint64_t aRequest, const HttpAnswer& aAnswer) override;
  bool dispatch(std::uint64_t aConnection, const RequestDispatch& aMessage) override;
  void beginIntent(std::uint64_t aRequest,
                   const IntentBegin& aMessage,
                   Deadline aDeadline) override;
  void endIntent(std::uint64_t aRequest, const IntentEnd& aMessage) override;

  void onHttpRequest(HttpRequest aRequest, const HttpResponderPointer& aResponder);
  void onCallerRequest(HttpRequest&& aRequest, const HttpResponderPointer& aResponder);
  void onOperatorRequest(const HttpRequest& aRequest, const HttpResponderPointer& aResponder);
  HttpAnswer metricsAnswer();
  HttpAnswer healthAnswer() const;

  void updateRouterLease();
  void onTick();
  void continueShutdown(MonotonicTime aNow);
  void fillHeartbeat(SessionHeartbeat::Fields& aFields);

  EventLoop& mLoop;
  GatewaySettings mSettings;
  std::string mIncarnation;
  /** Declared before all members that hold responders, which must not outlive the server. */
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<ControlLink> mControlLink;
  RequestRouter mRouter;
  AgentConnections mAgents;
  EventHandlePointer mTickTimer;
  StandstillDetector mStandstills;
  std::map<std::uint64_t, HttpResponderPointer> mResponders;
  std::uint64_t mLastOperatorRequest = 0;
  std::size_t mPendingOperatorRequests = 0;
  std::uint64_t mHeartbeatCount = 0;
  bool mStopping = false;
  bool mShutdownTimedOut = false;
  std::function<bool()> mAreOthersIdle = []() { return true; };
  Deadline mShutdownDeadline;
  /** Time since which no request has been in progress during a shutdown. */
  std::optional<MonotonicTime> mIdleSince;
};

} // namespace magnoliadrum
