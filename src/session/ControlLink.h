#pragma once

#include "session/CatalogueCopy.h"
#include "transport/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** What a link needs to know; from the settings of the process. */
struct ControlLinkOptions
{
  ProcessKind mProcessKind = ProcessKind::eTool;
  std::string mProcessId;
  std::string mIncarnation;
  std::vector<std::string> mControlAddresses;
  std::int64_t mLeaseMs = 0;
  std::int64_t mHeartbeatMs = 0;
  /** A leader that is silent for this long is taken as lost; 0 for a third of the lease. */
  std::int64_t mSilenceMs = 0;
};

/** Callbacks of a link. All but the first two may be empty. */
struct ControlLinkHandlers
{
  /** Adds the target and the running tasks to an opening; false postpones it. */
  std::function<bool(SessionOpen::Fields&)> fillOpen;

  /** Adds usage, counters and the leaving mark to a heartbeat. */
  std::function<void(SessionHeartbeat::Fields&)> fillHeartbeat;

  /** A session with another number than before is open. */
  std::function<void(std::int64_t)> onSession;

  /** A leader has granted the session on a new connection; it may be another leader. */
  std::function<void()> onGranted;

  /** The lease was extended to the deadline. */
  std::function<void(Deadline)> onLease;

  /** The leader does not know the session any more. */
  std::function<void()> onSessionLost;

  /** The catalogue copy has a new version. */
  std::function<void()> onCatalogue;

  /** The target table changed. */
  std::function<void()> onTargets;

  /** Any other message of the leader that answers no call. */
  std::function<void(const Message&)> onMessage;
};

/**
 * Keeps the connection to the control leader: finds the leader, opens and renews the session,
 * follows the catalogue and, for gateways, the target table, and resends unanswered calls after a
 * leader change.
 */
class ControlLink
{
public:
  using CallCallback = std::function<void(Result<Message>)>;

  static std::unique_ptr<ControlLink> create(EventLoop& aLoop,
                                             ControlLinkOptions aOptions,
                                             ControlLinkHandlers aHandlers);

  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  /** Replaces the addresses that are tried for a leader. Precondition: there is one. */
  void setControlAddresses(std::vector<std::string> aAddresses);

  /** Starts to connect. */
  void start();

  /** Whether the lease holds at aNow. Only then may the process act on what it knows. */
  bool holdsLease(MonotonicTime aNow) const { return mSession != 0 && aNow < mLeaseUntil; }

  Deadline leaseUntil() const { return mLeaseUntil; }

  /** IP:port of the leader that has granted the session on the present connection; else empty. */
  std::string leaderAddress() const;

  /** Number of the session; 0 when there is none. */
  std::int64_t session() const { return mSession; }

  /** Highest term that the process has seen. */
  std::int64_t term() const { return mTerm; }

  const CatalogueCopy& catalogue() const { return mCatalogue; }

  /** The executors that the leader announced last. */
  const std::vector<TargetStatus>& targets() const { return mTargets; }

  /** Bytes over all connections of this link. */
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

  /** Sends a message; false when no session is open on a connection. */
  bool send(const Message& aMessage);

  /**
   * Sends a message that has a requestId and calls aCallback once with its answer, or with an Error
   * at aDeadline: eTimeout when it may have reached a leader, eNotSent when it surely has not.
   * It is sent again after each reconnection, so it must be idempotent.
   * OperationFailed becomes an Error.
   */
  void call(const Message& aMessage, Deadline aDeadline, CallCallback aCallback);

  /** Sends a heartbeat now, for example because the process starts to leave. */
  void sendHeartbeat();

  /** Ends the session at the leader and the connection. The process must not act on the session any
   * more. */
  void close();

private:
  struct PendingCall
  {
    Message mMessage;
    CallCallback mCallback;
    EventHandlePointer mDeadlineTimer;
    /** It may have reached a leader. */
    bool mSent = false;
  };

  ControlLink(EventLoop& aLoop, ControlLinkOptions aOptions, ControlLinkHandlers aHandlers);

  void connect();
  void scheduleReconnect();
  void dropConnection(const std::string& aReason);
  void reconnectToLeader(const std::string& aLeaderAddress);
  void sendSessionOpen();
  void onHeartbeatTimer();
  void onMessage(const Message& aMessage);
  void onGranted(const SessionGranted& aMessage);
  void onRenewed(const SessionRenewed& aMessage);
  void onRefused(const SessionRefused& aMessage);
  void onTargetUpdate(const TargetUpdate& aMessage);
  void extendLease(std::int64_t aLeaseUntilMs, std::int64_t aTerm);
  bool finishCall(const Message& aMessage);
  void failCall(const std::string& aRequestId, const Error& aError);
  void sendCall(PendingCall& aCall);
  void resendCalls();

  EventLoop& mLoop;
  ControlLinkOptions mOptions;
  ControlLinkHandlers mHandlers;
  MessageConnectionPointer mConnection;
  EventHandlePointer mHeartbeatTimer;
  EventHandlePointer mReconnectTimer;
  EventHandlePointer mConnectTimer;
  std::int64_t mConnectTimeoutMs;
  std::size_t mNextAddress = 0;
  std::string mLeaderAddressHint;
  MonotonicTime mLastReceived;
  std::uint64_t mClosedConnectionBytesSent = 0;
  std::uint64_t mClosedConnectionBytesReceived = 0;
  bool mSessionOpenSent = false;
  bool mSessionGranted = false;
  bool mClosed = false;
  std::int64_t mSession = 0;
  Deadline mLeaseUntil;
  std::int64_t mTerm = 0;
  CatalogueCopy mCatalogue;
  std::vector<TargetStatus> mTargets;
  std::int64_t mTargetTerm = 0;
  std::int64_t mTargetVersion = 0;
  std::map<std::string, PendingCall> mPendingCalls;
};

} // namespace magnoliadrum
