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
struct MembershipChange
{
  MembershipOperation operation = MembershipOperation::eAdd;
  std::string replicaId;
  /** IP:port; only for eAdd. */
  std::string address;
  /** Why, for the log. */
  std::string reason;

  friend bool operator==(const MembershipChange&, const MembershipChange&) = default;
};

/**
 * Decides how the control group follows the replicas that ask to join: one change at a time, and a
 * voter that is lost leaves only after its successor has been promoted.
 *
 * The exception is a replica that asks from the address of a member but under another id: that
 * member's disk is lost for good, and two members cannot share an address.
 */
class MembershipPlanner
{
public:
  /** A member that has not answered for this long counts as lost; longer than an election. */
  static constexpr std::int64_t kLostAfterMs = 2500;
  /** A replica that asks to join says so again within this time while it is there. */
  static constexpr std::int64_t kJoinRequestValidMs = 3000;
  /** Members beyond the voters that are kept ready. */
  static constexpr std::int64_t kSpareReplicas = 2;

  /** aToleratedFailures may be lost at the same time, so twice as many and one more vote. */
  explicit MembershipPlanner(std::int64_t aToleratedFailures)
    : mWantedVoters(aToleratedFailures * 2 + 1)
  {
  }

  /** A replica asks to join. */
  void recordJoinRequest(const std::string& aReplicaId,
                         const std::string& aAddress,
                         MonotonicTime aNow);

  /** The next change, or nothing when the group is as it should be. */
  std::optional<MembershipChange> nextChange(const std::vector<ReplicaStatus>& aMembers,
                                             MonotonicTime aNow);

private:
  struct JoiningReplica
  {
    std::string address;
    MonotonicTime lastRequestAt;
  };

  std::optional<MembershipChange> changeForJoinRequests(
    const std::vector<ReplicaStatus>& aMembers) const;

  std::int64_t mWantedVoters;
  /** By replica id. */
  std::map<std::string, JoiningReplica> mJoiningReplicas;
};

} // namespace magnoliadrum
