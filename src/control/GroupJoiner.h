#pragma once

#include "control/CommandLog.h"
#include "session/session.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Sends join requests to the leader while this replica knows no leader, as is the case when it is
 * not a member of the group: after its first start when the group already exists, after the loss of
 * its disk, or after it was removed while it was down.
 */
class GroupJoiner
{
public:
  static constexpr std::int64_t kRequestPeriodMs = 300;

  /**
   * aSeeds are addresses (IP:port) of replicas; some of them may no longer exist. When none of them
   * accepts a request, they are read again with aReadSeeds, which returns an empty list if it
   * fails. aLog must outlive this object.
   */
  GroupJoiner(EventLoop& aLoop,
              CommandLog& aLog,
              Hello aOwnHello,
              std::string aOwnAddress,
              std::vector<std::string> aSeeds,
              std::function<std::vector<std::string>()> aReadSeeds);

  GroupJoiner(const GroupJoiner&) = delete;
  GroupJoiner& operator=(const GroupJoiner&) = delete;

  /** Replaces the addresses to which join requests are sent. */
  void setSeeds(std::vector<std::string> aSeeds);

private:
  bool knowsLeader() const;
  void tick();
  void connect();
  void readSeeds();
  void sendJoinRequest();
  void onMessage(const Message& aMessage);

  EventLoop& mLoop;
  CommandLog& mLog;
  Hello mOwnHello;
  std::string mOwnAddress;
  ControlAddresses mSeeds;
  std::function<std::vector<std::string>()> mReadSeeds;
  /** Address of the leader as reported by the last replica that refused; may be empty. */
  std::string mLeaderHint;
  MessageConnectionPointer mConnection;
  std::uint64_t mRequestCount = 0;
  /** Whether the last join request was answered without an error. */
  bool mRequestAccepted = false;
  EventHandlePointer mTickTimer;
};

} // namespace magnoliadrum
