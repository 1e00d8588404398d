#pragma once

#include "control/CommandLog.h"
#include "transport/transport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliadrum {

/**
 * Asks the leader to take this replica into the group, for as long as the replica hears no leader
 * as a member: after a first start beside an existing group, with an empty disk, or after it was
 * removed while it was away.
 */
class GroupJoiner
{
public:
  /** Period of the requests. */
  static constexpr std::int64_t kRequestPeriodMs = 300;

  /** aSeeds are addresses (IP:port) of replicas, some of which may be gone. aLog outlives this. */
  GroupJoiner(EventLoop& aLoop,
              CommandLog& aLog,
              Hello aOwnHello,
              std::string aOwnAddress,
              std::vector<std::string> aSeeds);

  GroupJoiner(const GroupJoiner&) = delete;
  GroupJoiner& operator=(const GroupJoiner&) = delete;

  /** Replaces the addresses that are tried. */
  void setSeeds(std::vector<std::string> aSeeds);

private:
  bool knowsLeader() const;
  void tick();
  void connect();
  void sendJoinRequest();
  void onMessage(const Message& aMessage);

  EventLoop& mLoop;
  CommandLog& mLog;
  Hello mOwnHello;
  std::string mOwnAddress;
  std::vector<std::string> mSeeds;
  std::size_t mNextSeed = 0;
  /** Address of the leader when a replica named it. */
  std::string mLeaderHint;
  MessageConnectionPointer mConnection;
  std::uint64_t mRequestCount = 0;
  bool mRequestAccepted = false;
  EventHandlePointer mTickTimer;
};

} // namespace magnoliadrum
