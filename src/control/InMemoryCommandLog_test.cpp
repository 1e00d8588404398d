#include "control/InMemoryCommandLog_test.h"

#include <cassert>
#include <utility>

namespace magnoliadrum {

InMemoryCommandLog::InMemoryCommandLog(ControlState& aState,
                                       PostFunction aPost,
                                       std::string aAddress)
  : mState(aState)
  , mPost(std::move(aPost))
  , mAddress(std::move(aAddress))
{
}

void
InMemoryCommandLog::setLeader(bool aIsLeader, MonotonicTime aNow)
{
  mIsLeader = aIsLeader;
  if (aIsLeader) {
    mTerm++;
    mElectedAt = aNow;
  }
  mObserver->onLeadershipChanged(aIsLeader);
}

void
InMemoryCommandLog::propose(const Command& aCommand, CommandCallback aCallback)
{
  assert(mObserver != nullptr);
  mPost([this, aCommand, callback = std::move(aCallback)]() {
    if (!mIsLeader) {
      callback(CommandFailure{
        Error::create(
          ErrorCode::eNotLeader, "log.propose", "local", "this replica is not the leader"),
        false });
      return;
    }
    const Outcome outcome = mState.apply(mState.appliedIndex() + 1, aCommand);
    mObserver->onApplied(aCommand, outcome);
    callback(outcome);
  });
}

void
InMemoryCommandLog::changeMembership(const MembershipRequest& aRequest,
                                     std::function<void(const Result<Done>&)> aCallback)
{
  aCallback(Error::create(ErrorCode::eRefused,
                          "group.change",
                          aRequest.replicaId(),
                          "an in-memory log has a single replica"));
}

void
InMemoryCommandLog::stepDown(std::function<void(const Result<Done>&)> aDone)
{
  aDone(Done{});
}

} // namespace magnoliadrum
