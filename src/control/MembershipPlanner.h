#pragma once

#include "core/core.h"
#include "generated/generated.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnoliadrum {

/** A change of the control group by one replica. */
struct MembershipChange
{
  MembershipOperation operation = MembershipOperation::eAdd;
  std::string replicaId;
  /** IP:port; only for eAdd. */
  std::string address;
  /** Reason for the change; written to the log. */
  std::string reason;

  friend bool operator==(const MembershipChange&, const MembershipChange&) = default;
};

/**
 * Decides how the membership of the control group changes as replicas are lost and others request
 * to join. Changes are made one at a time, and a lost voter is removed only after its replacement
 * has been promoted.
 *
 * The exception is a join request from the address of a member but with another replica id. The
 * disk of that member is lost for good and two members cannot share an address, so the member is
 * removed first.
 */
class MembershipPlanner
{
public:
  /** A member without contact for more than this counts as lost. Longer than an election takes. */
  static constexpr std::int64_t kLostAfterMs = 2500;
  /** A join request expires after this time; a running replica repeats it more often. */
  static constexpr std::int64_t kJoinRequestValidMs = 3000;
  /** Non-voting members kept in addition to the voters, ready to replace one. */
  static constexpr std::int64_t kSpareReplicas = 2;

  /** The group has 2 * aToleratedFailures + 1 voters, so that it survives that many failures. */
  explicit MembershipPlanner(std::int64_t aToleratedFailures)
    : mWantedVoters(aToleratedFailures * 2 + 1)
  {
  }

  /** Notes a join request, which replaces an earlier one of the same replica. */
  void recordJoinRequest(const std::string& aReplicaId,
                         const std::string& aAddress,
                         MonotonicTime aNow);

  /** The next change; empty when no change is needed or possible. */
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
  /** Replicas whose join request has not expired, by replica id. */
  std::map<std::string, JoiningReplica> mJoiningReplicas;
};

} // namespace magnoliadrum
