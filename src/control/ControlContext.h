#pragma once

#include "control/CommandLog.h"
#include "core/core.h"
#include "generated/generated.h"
#include "state/state.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace magnoliadrum {

/** Identifies a connection. Ids are unique for the lifetime of the process. */
using ConnectionId = std::uint64_t;

/** Sends messages on the connections of the process. */
class MessageSender
{
public:
  virtual ~MessageSender() = default;

  /** Queues a message. Returns false when the connection is closed. */
  virtual bool send(ConnectionId aConnection, const Message& aMessage) = 0;

  virtual void close(ConnectionId aConnection, const std::string& aReason) = 0;
};

/**
 * Dependencies shared by the components of the control service. The referenced objects must outlive
 * those components.
 */
struct ControlContext
{
  ControlState& mState;
  CommandLog& mLog;
  MessageSender& mMessageSender;
  ControlSettings mSettings;
  std::function<MonotonicTime()> mNow;
  /** Wall clock, for timestamps, reports and job scheduling. Leases use mNow. */
  std::function<std::int64_t()> mWallClockMs;

  /** Whether this replica may serve requests: it is the leader and holds the leader lease. */
  bool isLeaderWithLease() const { return mLog.isLeader() && mLog.hasLeaderLease(); }

  /**
   * When the leases that earlier leaders granted count as renewed at the start of a leadership. An
   * earlier leader may have renewed them until one election timeout after this replica's election,
   * and nobody could renew them while this replica applied its log.
   */
  MonotonicTime inheritedLeasesRenewedAt() const
  {
    return std::max(mLog.electedAt().plusMs(mSettings.electionTimeoutMs()), mNow());
  }
};

} // namespace magnoliadrum
