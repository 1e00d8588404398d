#pragma once

#include "generated/generated.h"
#include "transport/transport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace magnoliadrum {

/** Callbacks of AgentConnections. None of them is called from within send(). */
struct AgentConnectionHandlers
{
  /** The connection to the agent of a target is open. */
  std::function<void(const std::string& aTargetId, std::uint64_t aConnection)> onOpen;
  std::function<void(std::uint64_t aConnection, const Message& aMessage)> onMessage;
  /** An open connection was lost. */
  std::function<void(std::uint64_t aConnection)> onLost;
};

/**
 * Keeps one message connection to the agent of each announced target.
 *
 * Each connection has a number that is never reused. The connection of a target that is no longer
 * announced stays open until no request is in progress on it.
 */
class AgentConnections
{
public:
  AgentConnections(EventLoop& aLoop, Hello aOwnHello, AgentConnectionHandlers aHandlers);

  AgentConnections(const AgentConnections&) = delete;
  AgentConnections& operator=(const AgentConnections&) = delete;

  /** Replaces the announced targets and connects to the agents of new ones. */
  void setTargets(const std::vector<TargetStatus>& aTargets, MonotonicTime aNow);

  /** Sends a message. Returns false if no byte of it was or will be written. */
  bool send(std::uint64_t aConnection, const Message& aMessage);

  /** Reconnects lost connections, and closes outdated ones for which aIsInUse returns false. */
  void tick(MonotonicTime aNow, const std::function<bool(std::uint64_t)>& aIsInUse);

private:
  /** Address of the agent of an announced target, and the state of connecting to it. */
  struct AgentEndpoint
  {
    std::string mAddress;
    std::uint64_t mConnection = 0;
    Deadline mConnectAt;
    std::int64_t mBackoffMs = 0;
  };

  struct Connection
  {
    std::string mTargetId;
    MessageConnectionPointer mMessageConnection;
    bool mOpened = false;
  };

  void connect(const std::string& aTargetId, AgentEndpoint& aEndpoint, MonotonicTime aNow);
  void onOpen(std::uint64_t aConnection, MessageConnection& aMessageConnection);
  void onClosed(std::uint64_t aConnection);
  static void backOff(AgentEndpoint& aEndpoint, MonotonicTime aNow);

  EventLoop& mLoop;
  Hello mOwnHello;
  AgentConnectionHandlers mHandlers;
  std::uint64_t mLastConnection = 0;
  std::map<std::string, AgentEndpoint> mEndpoints;
  std::map<std::uint64_t, Connection> mConnections;
};

} // namespace magnoliadrum
