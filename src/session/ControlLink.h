#pragma once

#include "session/CatalogueCopy.h"
#include "session/ControlAddresses.h"
#include "transport/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnoliadrum {

/** Options of a ControlLink, taken from the settings of the process. */
struct ControlLinkOptions
{
  ProcessKind mProcessKind = ProcessKind::eTool;
  std::string mProcessId;
  std::string mIncarnation;
  std::vector<std::string> mControlAddresses;
  std::int64_t mLeaseMs = 0;
  std::int64_t mHeartbeatMs = 0;
  /** A replica that sends nothing for this long is considered lost; 0 for a third of the lease. At
   * least two heartbeat intervals are always allowed. */
  std::int64_t mSilenceMs = 0;
};

/** Callbacks of a ControlLink. All except fillOpen and fillHeartbeat may be empty. */
struct ControlLinkHandlers
{
  /** Fills in the process's part of a SessionOpen message, such as its target and running tasks.
   * Returning false postpones the message to the next heartbeat. */
  std::function<bool(SessionOpen::Fields&)> fillOpen;

  /** Fills in the usage, the counters and the leaving flag of a heartbeat. */
  std::function<void(SessionHeartbeat::Fields&)> fillHeartbeat;

  /** A session with a new number is open. */
  std::function<void(std::int64_t)> onSession;

  /** A leader has granted the session, for example after a reconnection. It may be a different
   * leader than before. */
  std::function<void()> onGranted;

  /** The session was granted or renewed; the lease is valid until the deadline. */
  std::function<void(Deadline)> onLease;

  /** The leader refused the session as unknown or superseded. */
  std::function<void()> onSessionLost;

  /** The catalogue copy has a new version. */
  std::function<void()> onCatalogue;

  /** A newer target table has arrived. */
  std::function<void()> onTargets;

  /** Any other message from the leader that is not the answer to a call. */
  std::function<void(const Message&)> onMessage;
};

/**
 * Maintains the connection to the control leader: finds the leader, opens and renews the session,
 * keeps the catalogue copy and, for gateways, the target table up to date, and resends unanswered
 * calls after a reconnection, for example to a new leader.
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

  /** Replaces the replica addresses to try. Precondition: aAddresses is not empty. */
  void setControlAddresses(std::vector<std::string> aAddresses);

  /**
   * Sets the function that reads the replica addresses again, because a settings file may change
   * without a signal. It is called when no known address has led to a leader, and returns an empty
   * list if the file is invalid.
   */
  void setAddressReader(std::function<std::vector<std::string>()> aReadAddresses)
  {
    mReadAddresses = std::move(aReadAddresses);
  }

  /** Starts connecting and sending heartbeats. */
  void start();

  /** Whether the lease is valid at aNow. The process may act on its session, catalogue and targets
   * only while it is. */
  bool holdsLease(MonotonicTime aNow) const { return mSession != 0 && aNow < mLeaseUntil; }

  Deadline leaseUntil() const { return mLeaseUntil; }

  /** IP:port of the leader that granted the session on the current connection; otherwise empty. */
  std::string leaderAddress() const;

  /** Number of the session; 0 when there is none. */
  std::int64_t session() const { return mSession; }

  /** Highest term of the leaders that granted or renewed the session. */
  std::int64_t term() const { return mTerm; }

  const CatalogueCopy& catalogue() const { return mCatalogue; }

  /** Executors in the latest target table from the leader. */
  const std::vector<TargetStatus>& targets() const { return mTargets; }

  /** Total bytes over the current and all closed connections of this link. */
  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;

  /** Sends a message. Returns false when the session is not granted on an open connection. */
  bool send(const Message& aMessage);

  /**
   * Sends a message that has a requestId and calls aCallback once with its answer, or with an Error
   * at aDeadline: eTimeout when it may have reached a leader, eNotSent when it was never sent.
   * It is sent again each time a leader grants the session, so the operation must be idempotent.
   * OperationFailed is passed on as an Error.
   */
  void call(const Message& aMessage, Deadline aDeadline, CallCallback aCallback);

  /** Sends a heartbeat immediately, for example when the process starts leaving. */
  void sendHeartbeat();

  /** Closes the session at the leader, then the connection. The process must not act on the
   * session afterwards. */
  void close();

private:
  struct PendingCall
  {
    Message mMessage;
    CallCallback mCallback;
    EventHandlePointer mDeadlineTimer;
    /** Whether it was sent at least once and so may have reached a leader. */
    bool mSent = false;
  };

  ControlLink(EventLoop& aLoop, ControlLinkOptions aOptions, ControlLinkHandlers aHandlers);

  void connect();
  std::string takeNextAddress();
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
  ControlAddresses mAddresses;
  std::function<std::vector<std::string>()> mReadAddresses;
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
