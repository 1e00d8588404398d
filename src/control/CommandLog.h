#pragma once

#include "core/core.h"
#include "generated/generated.h"
#include "state/Outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace magnoliadrum {

/** Why the outcome of a command is not available. */
struct CommandFailure
{
  Error mError;
  /** False: the command never takes effect. True: it may have taken effect, now or later. */
  bool mOutcomeUnknown = false;
};

/** The outcome of a committed command, or the reason why there is none. */
using CommandResult = std::variant<Outcome, CommandFailure>;
using CommandCallback = std::function<void(const CommandResult&)>;

/** Receives the events of a command log. All calls are made on the event loop's thread. */
class CommandLogObserver
{
public:
  virtual ~CommandLogObserver() = default;

  /**
   * A committed command was applied to this replica's state, whichever replica proposed it. Called
   * before the callback of the proposal.
   */
  virtual void onApplied(const Command& aCommand, const Outcome& aOutcome) = 0;

  /**
   * Called with true when this replica has become the leader and has applied all commands of
   * earlier leaders, and with false when it is no longer the leader.
   */
  virtual void onLeadershipChanged(bool aIsLeader) = 0;
};

/** Interface of the control service to the replicated log. Implementations apply the commands. */
class CommandLog
{
public:
  virtual ~CommandLog() = default;

  /** Sets the receiver of events. Must be called once, before the first command. */
  virtual void setObserver(CommandLogObserver* aObserver) = 0;

  /** Proposes a command. The callback is called at most once and never from within propose(). */
  virtual void propose(const Command& aCommand, CommandCallback aCallback) = 0;

  /** Whether this replica is the leader and has applied all commands of earlier leaders. */
  virtual bool isLeader() const = 0;

  /** Whether a majority has replied to requests sent within the last election timeout. */
  virtual bool hasLeaderLease() const = 0;

  /** When this replica last won an election. */
  virtual MonotonicTime electedAt() const = 0;

  virtual std::int64_t term() const = 0;
  virtual std::int64_t commitIndex() const = 0;

  /** Id and address (IP:port) of the leader; empty when unknown. */
  virtual std::string leaderId() const = 0;
  virtual std::string leaderAddress() const = 0;

  virtual std::string replicaId() const = 0;

  virtual std::vector<ReplicaStatus> replicas() const = 0;

  /** Adds, promotes or removes one replica of the group. */
  virtual void changeMembership(const MembershipRequest& aRequest,
                                std::function<void(const Result<Done>&)> aCallback) = 0;

  /**
   * Transfers the leadership to another replica. aDone is called when the transfer has succeeded or
   * failed, and also when this replica is not the leader.
   */
  virtual void stepDown(std::function<void(const Result<Done>&)> aDone) = 0;

  /** Whether a message belongs to the replication protocol and must be passed to receive(). */
  virtual bool accepts(const Message& aMessage) const = 0;

  /** Handles a message from another replica. aReply sends a reply on the same connection. */
  virtual void receive(const Message& aMessage, std::function<void(const Message&)> aReply) = 0;
};

} // namespace magnoliadrum
