#include "control/MembershipPlanner.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

bool
isLost(const ReplicaStatus& aMember)
{
  return aMember.contactAgeMs() > MembershipPlanner::kLostAfterMs;
}

const ReplicaStatus*
findMember(const std::vector<ReplicaStatus>& aMembers, const std::string& aReplicaId)
{
  const auto position =
    std::find_if(aMembers.begin(), aMembers.end(), [&](const ReplicaStatus& aMember) {
      return aMember.replicaId() == aReplicaId;
    });
  return position == aMembers.end() ? nullptr : &*position;
}

} // namespace

void
MembershipPlanner::recordJoinRequest(const std::string& aReplicaId,
                                     const std::string& aAddress,
                                     MonotonicTime aNow)
{
  mJoiningReplicas[aReplicaId] = { aAddress, aNow };
}

std::optional<MembershipChange>
MembershipPlanner::changeForJoinRequests(const std::vector<ReplicaStatus>& aMembers) const
{
  for (const auto& [replicaId, joining] : mJoiningReplicas) {
    if (findMember(aMembers, replicaId) != nullptr) {
      continue;
    }
    for (const ReplicaStatus& member : aMembers) {
      if (member.address() == joining.address) {
        return MembershipChange{
          MembershipOperation::eRemove,
          member.replicaId(),
          "",
          "a replica with another id uses its address, so its disk is lost"
        };
      }
    }
    const bool hasLost = std::any_of(aMembers.begin(), aMembers.end(), isLost);
    if (std::ssize(aMembers) < mWantedVoters + kSpareReplicas || hasLost) {
      return MembershipChange{
        MembershipOperation::eAdd, replicaId, joining.address, "requested to join"
      };
    }
  }
  return std::nullopt;
}

std::optional<MembershipChange>
MembershipPlanner::nextChange(const std::vector<ReplicaStatus>& aMembers, MonotonicTime aNow)
{
  std::erase_if(mJoiningReplicas, [&](const auto& aItem) {
    return aNow.msSince(aItem.second.lastRequestAt) > kJoinRequestValidMs;
  });
  if (std::optional<MembershipChange> change = changeForJoinRequests(aMembers)) {
    return change;
  }
  std::int64_t voters = 0;
  std::int64_t reachableVoters = 0;
  const ReplicaStatus* lostVoter = nullptr;
  const ReplicaStatus* lostSpare = nullptr;
  const ReplicaStatus* spare = nullptr;
  for (const ReplicaStatus& member : aMembers) {
    const bool lost = isLost(member);
    voters += member.voter() ? 1 : 0;
    reachableVoters += member.voter() && !lost ? 1 : 0;
    if (lost) {
      (member.voter() ? lostVoter : lostSpare) = &member;
    } else if (!member.voter()) {
      spare = &member;
    }
  }
  if (spare != nullptr && reachableVoters < mWantedVoters) {
    return MembershipChange{ MembershipOperation::ePromote,
                             spare->replicaId(),
                             "",
                             "fewer voters are reachable than required" };
  }
  if (lostVoter != nullptr && voters > mWantedVoters) {
    return MembershipChange{ MembershipOperation::eRemove,
                             lostVoter->replicaId(),
                             "",
                             "lost, and its replacement is a voter" };
  }
  if (lostSpare != nullptr) {
    return MembershipChange{ MembershipOperation::eRemove, lostSpare->replicaId(), "", "lost" };
  }
  return std::nullopt;
}

} // namespace magnoliadrum
