#include "control/ReplicatedCommandLog.h"

#include "storage/storage.h"

#include <cassert>
#include <utility>
#include <variant>

namespace magnoliadrum {

ReplicatedCommandLog::ReplicatedCommandLog(ControlState& aState,
                                           std::function<void(const Error&)> aOnFailure)
  : mState(aState)
  , mOnFailure(std::move(aOnFailure))
{
}

Result<std::unique_ptr<ReplicatedCommandLog>>
ReplicatedCommandLog::create(EventLoop& aLoop,
                             ReplicatorSettings aSettings,
                             std::unique_ptr<ReplicaTransport> aTransport,
                             ControlState& aState,
                             std::function<void(const Error&)> aOnFailure)
{
  std::unique_ptr<ReplicatedCommandLog> log(
    new ReplicatedCommandLog(aState, std::move(aOnFailure)));
  auto replicator =
    Replicator::create(aLoop, std::move(aSettings), std::move(aTransport), log->callbacks());
  if (!isOk(replicator)) {
    return errorOf(replicator);
  }
  log->mReplicator = takeValue(std::move(replicator));
  return log;
}

ReplicatorCallbacks
ReplicatedCommandLog::callbacks()
{
  ReplicatorCallbacks callbacks;
  callbacks.apply = [this](std::int64_t aIndex, std::string_view aCommand) {
    apply(aIndex, aCommand);
  };
  callbacks.encodeSnapshot = [this]() { return mState.encodeSnapshot(); };
  callbacks.restoreSnapshot = [this](std::string_view aSnapshot) {
    return restoreSnapshot(aSnapshot);
  };
  callbacks.leadershipChanged = [this](bool aIsLeader) {
    if (mObserver != nullptr) {
      mObserver->onLeadershipChanged(aIsLeader);
    }
  };
  callbacks.failed = [this](const Error& aError) { mOnFailure(aError); };
  return callbacks;
}

void
ReplicatedCommandLog::apply(std::int64_t aIndex, std::string_view aCommand)
{
  const Result<Command> command = decodeCommand(aCommand, "log.apply", std::to_string(aIndex));
  if (!isOk(command)) {
    // Skipping the command would make this replica's state diverge from the others'.
    mOnFailure(errorOf(command));
    return;
  }
  mLastOutcome = mState.apply(aIndex, valueOf(command));
  if (mObserver != nullptr) {
    mObserver->onApplied(valueOf(command), *mLastOutcome);
  }
}

Result<Done>
ReplicatedCommandLog::restoreSnapshot(std::string_view aSnapshot)
{
  Result<ControlState> state = ControlState::decodeSnapshot(aSnapshot, "local");
  if (!isOk(state)) {
    return errorOf(state);
  }
  mState = takeValue(std::move(state));
  return Done{};
}

CommandResult
ReplicatedCommandLog::toCommandResult(const ProposalResult& aResult) const
{
  if (const ProposalFailure* failure = std::get_if<ProposalFailure>(&aResult)) {
    return CommandFailure{ failure->error, failure->outcomeUnknown };
  }
  // The replicator invokes the callback directly after it has applied the proposal.
  assert(std::get<std::int64_t>(aResult) == mState.appliedIndex());
  assert(mLastOutcome.has_value());
  return *mLastOutcome;
}

void
ReplicatedCommandLog::propose(const Command& aCommand, CommandCallback aCallback)
{
  mReplicator->propose(encodeCommand(aCommand),
                       [this, callback = std::move(aCallback)](const ProposalResult& aResult) {
                         callback(toCommandResult(aResult));
                       });
}

void
ReplicatedCommandLog::changeMembership(const MembershipRequest& aRequest,
                                       std::function<void(const Result<Done>&)> aCallback)
{
  mReplicator->changeMembership(aRequest.operation(),
                                aRequest.replicaId(),
                                aRequest.address(),
                                [callback = std::move(aCallback)](const ProposalResult& aResult) {
                                  if (const auto* failure =
                                        std::get_if<ProposalFailure>(&aResult)) {
                                    callback(failure->error);
                                    return;
                                  }
                                  callback(Done{});
                                });
}

void
ReplicatedCommandLog::stepDown(std::function<void(const Result<Done>&)> aDone)
{
  mReplicator->stepDown(std::move(aDone));
}

void
ReplicatedCommandLog::receive(const Message& aMessage, std::function<void(const Message&)> aReply)
{
  mReplicator->receive(aMessage, std::move(aReply));
}

} // namespace magnoliadrum
