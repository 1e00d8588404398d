#pragma once

#include "control/CommandLog.h"
#include "core/core.h"
#include "generated/generated.h"
#include "state/state.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace magnoliadrum {

/** Names a connection for as long as the process runs. */
using ConnectionId = std::uint64_t;

/** Sends messages on the connections of the process. */
class MessageOutlet
{
public:
  virtual ~MessageOutlet() = default;

  /** Queues a message; false when the connection has ended. */
  virtual bool send(ConnectionId aConnection, const Message& aMessage) = 0;

  virtual void close(ConnectionId aConnection, const std::string& aReason) = 0;
};

/** What the parts of the control service share. The references outlive them. */
struct ControlContext
{
  ControlState& mState;
  CommandLog& mLog;
  MessageOutlet& mOutlet;
  ControlSettings mSettings;
  std::function<MonotonicTime()> mNow;
  /** Wall clock, for reports only. */
  std::function<std::int64_t()> mWallClockMs;

  /** Whether requests can be answered here: this replica leads and a majority confirms it. */
  bool mayAnswer() const { return mLog.isLeader() && mLog.hasLeaderLease(); }
};

} // namespace magnoliadrum
