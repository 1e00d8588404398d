#include "control/GroupPlan.h"

#include <algorithm>

namespace magnoliadrum {

namespace {

bool
isLost(const ReplicaStatus& aMember)
{
  return aMember.contactAgeMs() > GroupPlan::kLostMs;
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
GroupPlan::ask(const std::string& aReplicaId, const std::string& aAddress, MonotonicTime aNow)
{
  mJoiners[aReplicaId] = { aAddress, aNow };
}

std::optional<GroupChange>
GroupPlan::admit(const std::vector<ReplicaStatus>& aMembers) const
{
  for (const auto& [replicaId, joiner] : mJoiners) {
    if (findMember(aMembers, replicaId) != nullptr) {
      continue;
    }
    for (const ReplicaStatus& member : aMembers) {
      if (member.address() == joiner.address) {
        return GroupChange{ MembershipOperation::eRemove,
                            member.replicaId(),
                            "",
                            "another replica runs at its address, so its disk is lost" };
      }
    }
    const bool hasLost = std::any_of(aMembers.begin(), aMembers.end(), isLost);
    if (std::ssize(aMembers) < mVoters + kSpares || hasLost) {
      return GroupChange{ MembershipOperation::eAdd, replicaId, joiner.address, "asks to join" };
    }
  }
  return std::nullopt;
}

std::optional<GroupChange>
GroupPlan::next(const std::vector<ReplicaStatus>& aMembers, MonotonicTime aNow)
{
  std::erase_if(mJoiners,
                [&](const auto& aItem) { return aNow.msSince(aItem.second.askedAt) > kJoinerMs; });
  if (std::optional<GroupChange> admission = admit(aMembers)) {
    return admission;
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
  if (spare != nullptr && reachableVoters < mVoters) {
    return GroupChange{
      MembershipOperation::ePromote, spare->replicaId(), "", "fewer voters answer than are wanted"
    };
  }
  if (lostVoter != nullptr && voters > mVoters) {
    return GroupChange{
      MembershipOperation::eRemove, lostVoter->replicaId(), "", "lost, and its successor votes"
    };
  }
  if (lostSpare != nullptr) {
    return GroupChange{ MembershipOperation::eRemove, lostSpare->replicaId(), "", "lost" };
  }
  return std::nullopt;
}

} // namespace magnoliadrum
