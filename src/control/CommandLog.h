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

/** Why a command has no outcome. */
struct CommandFailure
{
  Error mError;
  /** False: the command never takes effect. True: it may have taken effect, now or later. */
  bool mOutcomeUnknown = false;
};

/** What a committed command did, or why that is not known. */
using CommandResult = std::variant<Outcome, CommandFailure>;
using CommandCallback = std::function<void(const CommandResult&)>;

/** Is told what the log does. All calls come from the loop thread. */
class CommandLogObserver
{
public:
  virtual ~CommandLogObserver() = default;

  /** A command was applied to the state, on any replica; called before the proposer's callback. */
  virtual void onApplied(const Command& aCommand, const Outcome& aOutcome) = 0;

  /** This replica leads from now on and has applied all earlier commands, or no longer leads. */
  virtual void onLeadership(bool aLeads) = 0;
};

/** The replicated log as the control service needs it. It applies committed commands itself. */
class CommandLog
{
public:
  virtual ~CommandLog() = default;

  /** Must be called once, before the first command. */
  virtual void setObserver(CommandLogObserver* aObserver) = 0;

  /** Proposes a command. The callback is called at most once and never from within propose(). */
  virtual void propose(const Command& aCommand, CommandCallback aCallback) = 0;

  /** Whether this replica leads and has applied all commands of its predecessors. */
  virtual bool isLeader() const = 0;

  /** Whether a majority has replied to this leader within the election timeout. */
  virtual bool hasLeaderLease() const = 0;

  /** When this replica last won an election. */
  virtual MonotonicTime electedAt() const = 0;

  virtual std::int64_t term() const = 0;
  virtual std::int64_t commitIndex() const = 0;

  /** Id and address of the leader; empty when unknown. */
  virtual std::string leaderId() const = 0;
  virtual std::string leaderAddress() const = 0;

  /** Id of this replica. */
  virtual std::string replicaId() const = 0;

  virtual std::vector<ReplicaStatus> replicas() const = 0;

  /** Changes the group by one replica. */
  virtual void changeMembership(const MembershipRequest& aRequest,
                                std::function<void(const Result<Done>&)> aCallback) = 0;

  /** Hands the leadership over; aDone is called when that succeeded, failed or was not needed. */
  virtual void stepDown(std::function<void(const Result<Done>&)> aDone) = 0;

  /** Whether a message belongs to the log, so that receive() takes it. */
  virtual bool accepts(const Message& aMessage) const = 0;

  /** Takes a message of another replica; aReply answers it on the same connection. */
  virtual void receive(const Message& aMessage, std::function<void(const Message&)> aReply) = 0;
};

} // namespace magnoliadrum
