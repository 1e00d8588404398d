#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** The next change of the control group. */
struct GroupChange
{
  MembershipOperation operation = MembershipOperation::eAdd;
  std::string replicaId;
  /** IP:port; only for eAdd. */
  std::string address;
  /** Why, for the log. */
  std::string reason;

  friend bool operator==(const GroupChange&, const GroupChange&) = default;
};

/**
 * Decides how the control group follows the replicas that ask to join: one change at a time, and a
 * voter that is lost leaves only after its successor has been promoted.
 *
 * The exception is a replica that asks from the address of a member but under another id: that
 * member's disk is lost for good, and two members cannot share an address.
 */
class GroupPlan
{
public:
  /** A member that has not answered for this long counts as lost; longer than an election. */
  static constexpr std::int64_t kLostMs = 2500;
  /** A replica that asks to join says so again within this time while it is there. */
  static constexpr std::int64_t kJoinerMs = 3000;
  /** Members beyond the voters that are kept ready. */
  static constexpr std::int64_t kSpares = 2;

  /** aLostReplicas may be lost at the same time, so twice as many and one more vote. */
  explicit GroupPlan(std::int64_t aLostReplicas)
    : mVoters(aLostReplicas * 2 + 1)
  {
  }

  /** A replica asks to join. */
  void ask(const std::string& aReplicaId, const std::string& aAddress, MonotonicTime aNow);

  /** The next change, or nothing when the group is as it should be. */
  std::optional<GroupChange> next(const std::vector<ReplicaStatus>& aMembers, MonotonicTime aNow);

private:
  struct Joiner
  {
    std::string address;
    MonotonicTime askedAt;
  };

  std::optional<GroupChange> admit(const std::vector<ReplicaStatus>& aMembers) const;

  std::int64_t mVoters;
  /** By replica id. */
  std::map<std::string, Joiner> mJoiners;
};

} // namespace magnoliadrum
